"""Daemons of entry VMs and the stand-in of the platform, as processes."""

import itertools
import json
import os
import socket
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

import urllib3

from ..processes import ManagedProcess, ProcessGroup

HOST = "queues.example"
"""Host name under which callers ask for the queues."""

SPARE_POOL = "spare"
READY_SECONDS = 20.0
"""Longest wait until all daemons are ready."""

FIRST_PORT, LAST_PORT = 15000, 30000
"""Ports that daemons may listen on."""

PORTS_PER_PROCESS = 100
"""Ports of one process that starts daemons; several soaks may run at once."""

_port_counter = itertools.count()

CALL_SECONDS = 5.0
"""Longest wait for the answer to a control of the stand-in."""


class PlatformSize(NamedTuple):
    """How much of everything a deployment has."""

    n_daemons: int = 3
    n_pools: int = 2
    n_vms: int = 4
    n_spare_vms: int = 2
    seed: int = 1


class DaemonProcess(NamedTuple):
    """A running daemon and where it listens."""

    name: str
    process: ManagedProcess
    callers: str
    ready: str
    metrics: str


class PlatformDeployment:
    """The stand-in and the daemons that run against it.

    Args:
        processes: group that the processes belong to.
        size: how much there is of everything.
    """

    def __init__(self, processes: ProcessGroup, size: PlatformSize) -> None:
        self.size = size
        self.daemon_by_name: dict[str, DaemonProcess] = {}
        self.platform_address = ""
        self._processes = processes
        self._pool = urllib3.PoolManager(retries=False, timeout=CALL_SECONDS)
        self._version = 0
        self._keys = ["key-0"]
        self._n_keys = 1
        self._n_waves = 0
        self.withdrawn_at_by_key: dict[str, float] = {}

    @property
    def keys(self) -> list[str]:
        """Keys of the client account that are in force."""
        return list(self._keys)

    def start(self) -> None:
        """Start everything and wait until it is ready."""
        self.start_standin()
        for number in range(self.size.n_daemons):
            self.start_daemon(f"entry-{number}")
        self.wait_until_ready()

    def start_standin(self) -> None:
        """Start the stand-in of the platform with a configuration."""
        size = self.size
        arguments = ["catkinport.platform.standin.main", "--seed", str(size.seed)]
        arguments += ["--pools", str(size.n_pools), "--vms", str(size.n_vms)]
        arguments += ["--spare-vms", str(size.n_spare_vms)]
        standin = self._processes.start("platform", arguments)
        self.platform_address = standin.wait_for_line("listening on ")[0]
        self.configure()

    def start_daemon(
        self, name: str, table_address: str = "", vms_address: str = ""
    ) -> DaemonProcess:
        """Start a daemon; one of that name must have ended.

        Args:
            name: name of its VM.
            table_address: where it reaches the store; the stand-in itself if empty.
            vms_address: where it reaches the interface for VMs.
        """
        former = self.daemon_by_name.get(name)
        addresses = former[2:] if former else [f"127.0.0.1:{p}" for p in free_ports(3)]
        callers, ready, metrics = addresses
        table = table_address or self.platform_address
        path = self._processes.folder / f"{name}.ini"
        path.write_text(
            f"[daemon]\nname = {name}\nzone = zone-a\n\n"
            f"[listen]\ncallers = {callers}\nready = {ready}\n"
            f"metrics_port = {metrics.rpartition(':')[2]}\n\n"
            f"[services]\ntable = {table}\n"
            f"vms = {vms_address or self.platform_address}\n\n"
            "[bounds]\nupkeep_seconds = 0.5\nmove_seconds = 0.5\n"
        )
        process = self._processes.start(
            name, ["catkinport.platform.main"], {"CATKINPORT_NODE_FILE": str(path)}
        )
        daemon = DaemonProcess(name, process, callers, ready, metrics)
        self.daemon_by_name[name] = daemon
        return daemon

    def wait_until_ready(self) -> None:
        """Wait until every running daemon takes calls.

        Raises:
            RuntimeError: if one does not in time.
        """
        deadline = time.monotonic() + READY_SECONDS
        waiting = [d for d in self.daemon_by_name.values() if d.process.is_running]
        while waiting and time.monotonic() < deadline:
            waiting = [d for d in waiting if not self.is_ready(d)]
            time.sleep(0.05)
        if waiting:
            tails = "".join(f"\n{d.name}: {d.process.read_tail()}" for d in waiting)
            raise RuntimeError(f"not ready in {READY_SECONDS} s:{tails}")

    def is_ready(self, daemon: DaemonProcess) -> bool:
        """Return whether a daemon says that it takes calls."""
        try:
            answer = self._pool.request("GET", f"http://{daemon.ready}/ready")
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def configure(self, **changes: Any) -> None:
        """Write the next version of the configuration.

        Args:
            changes: ``keys`` of the client account, ``max_cores`` that it may use.
        """
        self._version += 1
        self._keys = changes.get("keys", self._keys)
        document = self._build_configuration(changes.get("max_cores", 0.0))
        self.control("PUT", "/standin/operator/config", document)

    def request_wave(self, number: int, deadline_seconds: float, max_down: int) -> None:
        """Ask for the upkeep of every VM."""
        n_vms = self.size.n_pools * self.size.n_vms + self.size.n_spare_vms
        wave = {
            "Wave": number,
            "Machines": [f"m-{index}" for index in range(n_vms)],
            "DeadlineS": deadline_seconds,
            "Maximum": max_down,
        }
        self.control("PUT", f"/standin/operator/wave/{number}", wave)

    def request_next_wave(self, deadline_seconds: float, max_down: int) -> None:
        """Ask for the upkeep of every VM once more."""
        self._n_waves += 1
        self.request_wave(self._n_waves, deadline_seconds, max_down)

    def rotate_keys(self) -> None:
        """Give out a new key, then take the older ones away."""
        new_key = f"key-{self._n_keys}"
        self._n_keys += 1
        former = self._keys
        self.configure(keys=[*former, new_key])
        self.configure(keys=[new_key])
        now = time.monotonic()
        self.withdrawn_at_by_key.update(dict.fromkeys(former, now))

    def reset_faults(self) -> None:
        """End all faults of the stand-in."""
        self.control("DELETE", "/standin/faults")
        for number in range(self.size.n_pools * self.size.n_vms):
            self.change_vm(f"m-{number}", is_silent=False)

    def set_faults(self, **faults: Any) -> None:
        """Change faults of the stand-in."""
        self.control("PUT", "/standin/faults", faults)

    def change_vm(self, vm_id: str, **change: Any) -> None:
        """Crash a VM or silence its worker."""
        self.control("PUT", f"/standin/vms/{vm_id}", change)

    def list_running(self) -> list[str]:
        """Return where callers reach the daemons that run."""
        daemons = self.daemon_by_name.values()
        return [d.callers for d in daemons if d.process.is_running]

    def list_events(self) -> list[dict[str, Any]]:
        """Return every start and end of a run that the workers have seen."""
        return self.control("GET", "/standin/events")["events"]

    def find_owner(self) -> DaemonProcess | None:
        """Return the daemon that claimed the fleet last; ``None`` for none yet."""
        row = self.show_row("leader", "fleet", "owner")
        return self.daemon_by_name.get(row["owner"]) if row else None

    def find_wave_state(self, number: int) -> str:
        """Return what was reported of a wave; empty for nothing yet."""
        row = self.show_row("status", "", f"wave/{number}")
        return row["State"] if row else ""

    def show_row(self, table: str, part: str, key: str) -> Any:
        """Return the value of a row of the store; ``None`` if there is none."""
        path = f"/standin/row?table={table}&part={part}&key={key}"
        return self.control("GET", path)["value"]

    def control(self, method: str, path: str, body: Any = None) -> Any:
        """Call a control of the stand-in.

        Raises:
            RuntimeError: if it refuses.
        """
        content = None if body is None else json.dumps(body).encode()
        url = f"http://{self.platform_address}{path}"
        answer = self._pool.request(method, url, body=content)
        if answer.status != 200:
            raise RuntimeError(f"{method} {path}: {answer.status} {answer.data!r}")
        return json.loads(answer.data)

    def _build_configuration(self, max_cores: float) -> Mapping[str, Any]:
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
        services = [{"Name": pool, "EnforcesCapacity": True} for pool in pools]
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


def free_ports(n_ports: int) -> list[int]:
    """Return ports of the loopback interface that are free right now.

    They lie below those that the kernel gives to connections, and in a block of their
    own for each process, so that none is taken before it is listened on.
    """
    n_blocks = (LAST_PORT - FIRST_PORT) // PORTS_PER_PROCESS
    first = FIRST_PORT + os.getpid() % n_blocks * PORTS_PER_PROCESS
    ports: list[int] = []
    while len(ports) < n_ports:
        port = first + next(_port_counter) % PORTS_PER_PROCESS
        with socket.socket() as trial:
            try:
                trial.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports
