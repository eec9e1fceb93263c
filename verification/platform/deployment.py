"""The platform's daemons and the simulated platform (the stand-in), as processes.

One daemon at a time is the *owner* of the fleet and gives orders to the workers. A
*wave* of upkeep is an order to maintain a list of VMs by a deadline.
"""

import itertools
import json
import os
import socket
import time
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

import urllib3

from ..processes import ManagedProcess, ProcessGroup

HOST = "queues.example"
"""Host name in the requests of callers."""

SPARE_POOL = "spare"
READY_TIMEOUT_SECONDS = 20.0

FIRST_PORT, LAST_PORT = 15000, 30000
"""Range of the ports that daemons listen on; ``LAST_PORT`` is not part of it.

It lies below the ports that the kernel gives to outgoing connections.
"""

PORTS_PER_PROCESS = 100
"""Size of the block of ports of a process that starts daemons.

The blocks keep several test runs on one machine apart.
"""

_port_counter = itertools.count()

CALL_TIMEOUT_SECONDS = 5.0
"""Timeout of a control request to the stand-in."""


class ApprovalSpec(NamedTuple):
    """Terms of the advice service, in milliseconds.

    Args:
        decide_ms: time that a call takes.
        each_ms: how much longer it takes for each worker named.
        valid_ms: how long a ticket holds.
    """

    decide_ms: int
    each_ms: int
    valid_ms: int


class PlatformSize(NamedTuple):
    """Size of a deployment.

    Args:
        n_daemons: number of daemons.
        n_pools: number of pools, each with one queue.
        n_vms: number of VMs in each pool.
        n_spare_vms: number of VMs in the spare pool.
        seed: seed of the stand-in.
        cores: cores of each VM.
        move_seconds: time that a move of a VM takes.
        upkeep_seconds: time that the upkeep of a VM takes.
        n_zones: number of availability zones, which the VMs are in by turns.
        has_spare_pool: whether there is a spare pool; without one, idle VMs stay up.
        longest_lease_seconds: longest lease that a worker grants.
        daemon_limits: options of the section ``limits`` of each daemon's settings.
        approval: terms of the advice service that approves workers for the steps of all
            queues; ``None`` if none has to.
    """

    n_daemons: int = 3
    n_pools: int = 2
    n_vms: int = 4
    n_spare_vms: int = 2
    seed: int = 1
    cores: float = 16.0
    move_seconds: float = 0.5
    upkeep_seconds: float = 0.5
    n_zones: int = 1
    has_spare_pool: bool = True
    longest_lease_seconds: float = 6.0
    daemon_limits: Mapping[str, int] = MappingProxyType({})
    approval: ApprovalSpec | None = None


class DaemonProcess(NamedTuple):
    """A daemon and the addresses (``host:port``) that it listens on."""

    name: str
    process: ManagedProcess
    caller_address: str
    ready_address: str
    metrics_address: str


class PlatformDeployment:
    """The stand-in and the daemons that run against it.

    Args:
        processes: group that the processes belong to.
        size: number of daemons, pools and VMs.

    Attributes:
        daemon_by_name: the latest process of each daemon.
        platform_address: ``host:port`` of the stand-in.
        withdrawn_at_by_key: times of the monotonic clock, in seconds, at which keys
            were withdrawn.
    """

    def __init__(self, processes: ProcessGroup, size: PlatformSize) -> None:
        self.size = size
        self.daemon_by_name: dict[str, DaemonProcess] = {}
        self.platform_address = ""
        self._processes = processes
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_SECONDS)
        self._version = 0
        self._keys = ["key-0"]
        self._next_key_number = 1
        self._last_wave_number = 0
        self.withdrawn_at_by_key: dict[str, float] = {}

    @property
    def keys(self) -> list[str]:
        """Valid keys of the client account, the newest last."""
        return list(self._keys)

    def start(self) -> None:
        """Start the stand-in and all daemons, and wait until they are ready."""
        self.start_standin()
        for number in range(self.size.n_daemons):
            self.start_daemon(f"entry-{number}")
        self.wait_until_ready()

    def start_standin(self) -> None:
        """Start the stand-in and write its first configuration."""
        size = self.size
        arguments = ["catkinport.platform.standin.main", "--seed", str(size.seed)]
        arguments += ["--pools", str(size.n_pools), "--vms", str(size.n_vms)]
        arguments += ["--spare-vms", str(size.n_spare_vms), "--cores", str(size.cores)]
        arguments += ["--move-seconds", str(size.move_seconds)]
        arguments += ["--upkeep-seconds", str(size.upkeep_seconds)]
        arguments += ["--zones", str(size.n_zones)]
        arguments += ["--max-lease-seconds", str(size.longest_lease_seconds)]
        standin = self._processes.start("platform", arguments)
        self.platform_address = standin.wait_for_line("listening on ")[0]
        self.set_approval_times()
        self.configure()

    def start_daemon(
        self, name: str, table_address: str = "", vms_address: str = ""
    ) -> DaemonProcess:
        """Start a daemon; an earlier process of the same name must have ended.

        A daemon that is started again listens on the same addresses as before.

        Args:
            name: name of the daemon.
            table_address: address of the store; that of the stand-in if empty.
            vms_address: address of the interface for VMs; that of the stand-in if
                empty.
        """
        previous = self.daemon_by_name.get(name)
        addresses = (
            previous[2:] if previous else [f"127.0.0.1:{p}" for p in find_free_ports(3)]
        )
        caller_address, ready_address, metrics_address = addresses
        table = table_address or self.platform_address
        path = self._processes.folder / f"{name}.ini"
        path.write_text(
            f"[daemon]\nname = {name}\nzone = zone-a\n\n"
            f"[listen]\ncallers = {caller_address}\nready = {ready_address}\n"
            f"metrics_port = {metrics_address.rpartition(':')[2]}\n\n"
            f"[services]\ntable = {table}\n"
            f"vms = {vms_address or self.platform_address}\n"
            f"advice = {self.platform_address}\n\n"
            f"[bounds]\nupkeep_seconds = {self.size.upkeep_seconds}\n"
            f"move_seconds = {self.size.move_seconds}\n"
            f"longest_lease_ms = {int(self.size.longest_lease_seconds * 1000)}\n\n"
            "[limits]\n"
            + "".join(f"{k} = {v}\n" for k, v in self.size.daemon_limits.items())
        )
        process = self._processes.start(
            name, ["catkinport.platform.main"], {"CATKINPORT_NODE_FILE": str(path)}
        )
        daemon = DaemonProcess(
            name, process, caller_address, ready_address, metrics_address
        )
        self.daemon_by_name[name] = daemon
        return daemon

    def wait_until_ready(self) -> None:
        """Wait until every running daemon reports that it is ready.

        Raises:
            RuntimeError: if one does not within ``READY_TIMEOUT_SECONDS``.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        waiting = [d for d in self.daemon_by_name.values() if d.process.is_running]
        while waiting and time.monotonic() < deadline:
            waiting = [d for d in waiting if not self.is_ready(d)]
            time.sleep(0.05)
        if waiting:
            tails = "".join(f"\n{d.name}: {d.process.read_tail()}" for d in waiting)
            raise RuntimeError(
                f"daemons not ready in {READY_TIMEOUT_SECONDS} s:{tails}"
            )

    def is_ready(self, daemon: DaemonProcess) -> bool:
        """Return whether a daemon reports that it is ready."""
        try:
            answer = self._http.request("GET", f"http://{daemon.ready_address}/ready")
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def configure(self, **changes: Any) -> None:
        """Write the next version of the configuration.

        Args:
            changes: ``keys``, the valid keys of the client account (default: those of
                the previous version), ``max_cores``, the number of cores that it may
                use (default: no limit), and ``removed_queues``, the names of the queues
                that this version leaves out (default: none).
        """
        self._version += 1
        self._keys = changes.get("keys", self._keys)
        document = self._build_configuration(changes.get("max_cores", 0.0))
        removed = changes.get("removed_queues", ())
        document["Routes"] = [r for r in document["Routes"] if r["Name"] not in removed]
        self.call_standin("PUT", "/standin/operator/config", document)

    def request_upkeep_wave(
        self, number: int, deadline_seconds: float, max_down: int
    ) -> None:
        """Request a wave of upkeep (maintenance) of every VM.

        Args:
            number: number of the wave.
            deadline_seconds: time until every VM must have had its upkeep.
            max_down: largest number of VMs that may be down at a time.
        """
        n_vms = self.size.n_pools * self.size.n_vms + self.size.n_spare_vms
        wave = {
            "Wave": number,
            "Machines": [f"m-{index}" for index in range(n_vms)],
            "DeadlineS": deadline_seconds,
            "Maximum": max_down,
        }
        self.call_standin("PUT", f"/standin/operator/wave/{number}", wave)

    def request_next_upkeep_wave(self, deadline_seconds: float, max_down: int) -> None:
        """Request upkeep of every VM as the wave after the last one."""
        self._last_wave_number += 1
        self.request_upkeep_wave(self._last_wave_number, deadline_seconds, max_down)

    def evacuate_zone(self, zone: str) -> None:
        """Request the evacuation of an availability zone."""
        self.call_standin("PUT", f"/standin/operator/evacuate/{zone}", {})

    def end_zone_evacuation(self, zone: str) -> None:
        """Withdraw the request to evacuate an availability zone."""
        self.call_standin("DELETE", f"/standin/operator/evacuate/{zone}")

    def rotate_keys(self) -> None:
        """Add a new key, then withdraw the older ones."""
        new_key = f"key-{self._next_key_number}"
        self._next_key_number += 1
        withdrawn = self._keys
        self.configure(keys=[*withdrawn, new_key])
        self.configure(keys=[new_key])
        now = time.monotonic()
        self.withdrawn_at_by_key.update(dict.fromkeys(withdrawn, now))

    def reset_faults(self) -> None:
        """End the injected faults of the stand-in; make silent workers reachable."""
        self.call_standin("DELETE", "/standin/faults")
        self.set_approval_times()
        for number in range(self.size.n_pools * self.size.n_vms):
            self.set_vm_faults(f"m-{number}", is_silent=False)

    def set_approval_times(self) -> None:
        """Let the advice service keep to the terms of the deployment's size."""
        if self.size.approval is None:
            return
        decide_ms, each_ms, valid_ms = self.size.approval
        self.set_faults(
            advice_decide_seconds=decide_ms / 1000,
            advice_each_seconds=each_ms / 1000,
            advice_valid_seconds=valid_ms / 1000,
        )

    def set_faults(self, **faults: Any) -> None:
        """Change the injected faults of the stand-in."""
        self.call_standin("PUT", "/standin/faults", faults)

    def set_vm_faults(self, vm_id: str, **change: Any) -> None:
        """Inject a fault into a VM.

        Args:
            vm_id: the VM.
            change: ``crash_seconds``, time for which the VM is down, with ``keeps_id``
                if its worker starts again under the same id and ``is_dark`` if its
                connections are not reset; ``hold_up``, the kinds of calls
                (``starts``, ``polls``) that are held up on their way until the next
                incarnation of its worker is up, which answers them, with
                ``is_at_held_call`` if the first of them brings about the crash;
                ``is_silent``, whether its worker can neither be called nor call; or
                ``cold_seconds``, for how long its worker says that it is slow.
        """
        self.call_standin("PUT", f"/standin/vms/{vm_id}", change)

    def write_worker_entry(self, worker_id: str, **changes: Any) -> None:
        """Add an entry to the list of workers that no worker has written.

        Args:
            worker_id: id that the entry is for.
            changes: fields that differ from those of a worker of the first pool.
        """
        entry = {
            "Service": "pool-0",
            "Address": "127.0.0.1:9",
            "Zone": "zone-a",
            "State": "ready",
            "Capacity": {"Cpu": 16000, "MemMb": 65536},
            "Labels": ["a", "r0"],
            "born": 1,
        }
        self.call_standin("PUT", f"/standin/workers/{worker_id}", entry | changes)

    def list_caller_addresses(self) -> list[str]:
        """Return the caller addresses of the daemons whose process runs."""
        daemons = self.daemon_by_name.values()
        return [d.caller_address for d in daemons if d.process.is_running]

    def list_events(self, first: int = 0) -> list[dict[str, Any]]:
        """Return the events of runs that the workers recorded, from ``first`` on."""
        return self.call_standin("GET", f"/standin/events?first={first}")["events"]

    def list_misdirected_calls(self) -> list[dict[str, Any]]:
        """Return the calls that a worker carried out with values of a former one."""
        return self.call_standin("GET", "/standin/misdirected-calls")["calls"]

    def list_vms(self) -> list[dict[str, Any]]:
        """Return the VMs as they are, whatever the platform's list of them says."""
        return self.call_standin("GET", "/standin/vms")["vms"]

    def find_owner(self) -> DaemonProcess | None:
        """Return the daemon that last claimed ownership of the fleet, else ``None``."""
        row = self.get_row("leader", "fleet", "owner")
        return self.daemon_by_name.get(row["owner"]) if row else None

    def find_wave_state(self, number: int) -> str:
        """Return the reported state of a wave of upkeep; empty if there is none yet."""
        row = self.get_row("status", "", f"wave/{number}")
        return row["State"] if row else ""

    def get_row(self, table: str, part: str, key: str) -> Any:
        """Return the value of a row of the store; ``None`` if there is none."""
        path = f"/standin/row?table={table}&part={part}&key={key}"
        return self.call_standin("GET", path)["value"]

    def call_standin(self, method: str, path: str, body: Any = None) -> Any:
        """Send a control request to the stand-in and return the decoded answer.

        Raises:
            RuntimeError: if the status of the answer is not 200.
        """
        content = None if body is None else json.dumps(body).encode()
        url = f"http://{self.platform_address}{path}"
        answer = self._http.request(method, url, body=content)
        if answer.status != 200:
            raise RuntimeError(
                f"{method} {path}: expected status 200, got {answer.status} "
                f"{answer.data!r}"
            )
        return json.loads(answer.data)

    def _build_configuration(self, max_cores: float) -> dict[str, Any]:
        pools = [f"pool-{number}" for number in range(self.size.n_pools)]
        routes = [
            {
                "Name": f"queue-{number}",
                "Host": HOST,
                "PathPrefix": f"/queue-{number}/",
                "Service": pool,
                "MaxAttempts": 3,
                "Stretch": 1.6,
                "TargetLatencyMs": 600,
                "Priority": 0,
            }
            for number, pool in enumerate(pools)
        ]
        if self.size.approval is not None:
            decide_ms, each_ms, valid_ms = self.size.approval
            terms = {"DecideMs": decide_ms, "EachMs": each_ms, "ValidMs": valid_ms}
            routes = [{**route, "Advice": terms} for route in routes]
        services = [{"Name": pool, "EnforcesCapacity": True} for pool in pools]
        if self.size.has_spare_pool:
            services.append({"Name": SPARE_POOL, "Spare": True})
        account = {"Name": "studio", "ApiKeys": self._keys, "Weight": 1}
        if max_cores:
            account["Maximum"] = {"Cpu": max_cores * 1000}
        return {
            "Version": self._version,
            "Routes": routes,
            "Services": services,
            "Tenants": [account],
            "Limits": {},
        }


def find_free_ports(n_ports: int) -> list[int]:
    """Return free ports of the loopback interface.

    The ports lie below those that the kernel gives to outgoing connections, and each
    process has a block of its own, so that no port is taken by others before a daemon
    listens on it.
    """
    n_blocks = (LAST_PORT - FIRST_PORT) // PORTS_PER_PROCESS
    first = FIRST_PORT + os.getpid() % n_blocks * PORTS_PER_PROCESS
    ports: list[int] = []
    while len(ports) < n_ports:
        port = first + next(_port_counter) % PORTS_PER_PROCESS
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports
