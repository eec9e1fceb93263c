"""A small deployment of real daemons and a simulated platform on this machine.

The daemons are *entries*, which answer the requests of callers, and *controllers*,
which run jobs on the workers of the VMs. Each service has a pool of VMs and two queues:
``queue-N`` for urgent requests and ``long-N`` for long jobs.
"""

import json
import random
import signal
import time
from typing import Any, NamedTuple

import urllib3

from catkinport.adapters import HttpClient, HttpTable
from catkinport.fleet.operations import VmChanged, register_vm
from catkinport.ports import ListedVm, VmStatus
from catkinport.settings.keys import create_salt, create_secret, hash_secret

from .client import Caller
from .history import Execution, RowChange
from .processes import ManagedProcess, ProcessGroup

N_ZONES = 3
SERVERS_PER_RACK = 4
OPERATOR = "operator-1"
READY_TIMEOUT_SECONDS = 30.0


class DeploymentSize(NamedTuple):
    """How many processes and teams the deployment has."""

    n_services: int = 2
    n_servers: int = 3
    n_entries: int = 3
    n_controllers: int = 2
    n_teams: int = 3
    max_slots: int = 20
    max_cores: int = 200
    max_request_seconds: int = 20
    lease_seconds: int = 300
    # If false, all VMs of a service share one backend server process.
    has_server_processes: bool = True


class Daemon(NamedTuple):
    """A daemon and the addresses that it listens on.

    ``caller_address`` is empty for a controller.
    """

    name: str
    process: ManagedProcess
    caller_address: str
    admin_address: str


class SubmittedJob(NamedTuple):
    """The API path of a job and the name of the key that it was submitted with."""

    key_name: str
    path: str


class Deployment:
    """Platform, backend servers, workers, entries and controllers.

    Args:
        processes: group that the processes belong to.
        size: number of processes and teams, and their limits.
    """

    def __init__(self, processes: ProcessGroup, size: DeploymentSize) -> None:
        self.size = size
        self.entry_by_name: dict[str, Daemon] = {}
        self.controller_by_name: dict[str, Daemon] = {}
        self.server_address_by_vm: dict[str, str] = {}
        self.worker_address_by_vm: dict[str, str] = {}
        self.caller_by_key: dict[str, Caller] = {}
        self.platform_address = ""
        self._server_process_by_vm: dict[str, ManagedProcess] = {}
        self._processes = processes
        self._http = urllib3.PoolManager(retries=False, timeout=30.0)
        self._operator_secret = create_secret()
        self._operator_salt = create_salt()
        self._cluster_key = create_secret()
        self._document = ""
        self._n_jobs = 0
        self._listed_vm_by_id: dict[str, ListedVm] = {}

    def start(self) -> None:
        """Start all processes, apply the configuration and wait until it is in use."""
        self.start_platform()
        for name in self._build_names("entry", self.size.n_entries):
            self.start_entry(name)
        self.apply_document(self.build_document(), expected_revision=0)
        self._register_vms()
        for name in self._build_names("controller", self.size.n_controllers):
            self.start_controller(name)
        self.wait_until_ready()

    def start_platform(self) -> None:
        """Start the simulated platform, the backend servers and the workers."""
        module = "catkinport.standins.platform"
        platform = self._processes.start("platform", [module])
        self.platform_address = platform.wait_for_line("listening on ")[0]
        for service in range(self.size.n_services):
            self._start_service(service)

    def start_entry(self, name: str) -> Daemon:
        """Start an entry; an earlier process of the same name must have ended."""
        daemon = self._start_daemon(name, "entry")
        self.entry_by_name[name] = daemon
        return daemon

    def start_controller(self, name: str) -> Daemon:
        """Start a controller; an earlier process of the same name must have ended."""
        daemon = self._start_daemon(name, "controller")
        self.controller_by_name[name] = daemon
        return daemon

    def list_caller_addresses(self) -> list[str]:
        """Return the caller addresses of the entries whose process runs."""
        return [
            entry.caller_address
            for entry in self.entry_by_name.values()
            if entry.process.is_running
        ]

    def list_ready_addresses(self) -> list[str]:
        """Return the caller addresses of the entries that report being ready."""
        return [
            entry.caller_address
            for entry in list(self.entry_by_name.values())
            if entry.process.is_running and self._is_ready(entry)
        ]

    def list_callers(self) -> list[Caller]:
        """Return every caller with a valid key."""
        return list(self.caller_by_key.values())

    def wait_until_ready(self) -> None:
        """Wait until every entry answers requests of every service.

        Raises:
            RuntimeError: if one does not within ``READY_TIMEOUT_SECONDS``.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        caller = self.list_callers()[0]
        while time.monotonic() < deadline:
            if self._are_services_ready(caller):
                return
            time.sleep(0.2)
        raise RuntimeError(
            "deployment not ready: not every entry answered requests of every service"
        )

    def set_platform_faults(self, **faults: Any) -> None:
        """Change the injected faults of the simulated platform."""
        self.call("PUT", f"http://{self.platform_address}/standin/faults", faults)

    def set_server_faults(self, vm_id: str, **faults: Any) -> None:
        """Change the injected faults of a backend server."""
        address = self.server_address_by_vm[vm_id]
        self.call("PUT", f"http://{address}/standin/faults", faults)

    def set_vm_status(self, vm_id: str, status: VmStatus) -> None:
        """Change the status of a VM in the platform's list of VMs."""
        listed = self._listed_vm_by_id[vm_id]._replace(status=status)
        url = f"http://{self.platform_address}/vms/{vm_id}"
        self.call("PUT", url, listed._asdict())

    def submit_job(self, run_seconds: float, n_cores: float = 2.0) -> SubmittedJob:
        """Submit a job to a queue of long jobs, with the key of the next team in turn.

        Raises:
            RuntimeError: if the job was refused.
        """
        callers = self.list_callers()
        caller = callers[self._n_jobs % len(callers)]
        self._n_jobs += 1
        queue = caller.queue.replace("queue", "long")
        address = self.list_caller_addresses()[0]
        status, answer = self.call(
            "POST",
            f"http://{address}/v1/queues/{queue}/jobs",
            {"command": "sleep", "cores": n_cores, "run_seconds": run_seconds},
            {"Authorization": f"Bearer {caller.secret}"},
        )
        if status != 202:
            raise RuntimeError(
                f"job refused: expected status 202, got {status} {answer}"
            )
        path = f"/v1/queues/{queue}/jobs/{answer['job_id']}"
        return SubmittedJob(caller.key_name, path)

    def has_result(self, job: SubmittedJob) -> bool:
        """Return whether the result of a job can be fetched."""
        address = self.list_caller_addresses()[0]
        secret = self.caller_by_key[job.key_name].secret
        headers = {"Authorization": f"Bearer {secret}"}
        url = f"http://{address}{job.path}/result"
        return self.call("GET", url, headers=headers)[0] == 200

    def administer(
        self,
        method: str,
        path: str,
        body: Any = None,
        entry: Daemon | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Call the administration API of ``entry``, or of the first entry that runs.

        Returns:
            The HTTP status and the decoded answer.
        """
        running = [e for e in self.entry_by_name.values() if e.process.is_running]
        entry = entry or running[0]
        key = f"{OPERATOR}.{self._operator_secret}"
        all_headers = {"Authorization": f"Bearer {key}", **(headers or {})}
        return self.call(
            method, f"http://{entry.admin_address}{path}", body, all_headers
        )

    def call(
        self,
        method: str,
        url: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Call a URL with a JSON body.

        Returns:
            The HTTP status and the decoded answer; its bytes if it is not JSON.
        """
        content = None if body is None else json.dumps(body).encode()
        answer = self._http.request(method, url, body=content, headers=headers or {})
        try:
            return answer.status, json.loads(answer.data or b"null")
        except ValueError:
            return answer.status, answer.data

    def apply_document(self, document: str, expected_revision: int) -> int:
        """Apply a configuration document through the administration API.

        Returns:
            The new revision.

        Raises:
            RuntimeError: if the document was refused.
        """
        status, answer = self.administer(
            "PUT",
            "/v1/configuration",
            {"document": document, "expected_revision": expected_revision},
            headers={"Idempotency-Key": create_secret()},
        )
        if status != 200:
            raise RuntimeError(
                f"document refused: expected status 200, got {status} {answer}"
            )
        self._document = document
        return int(answer["revision"])

    def list_executions(self) -> list[Execution]:
        """Return what the backend servers ran, of those whose process runs."""
        executions = []
        for vm_id, address in self.server_address_by_vm.items():
            if not self._server_process_by_vm[vm_id].is_running:
                continue
            _, answer = self.call("GET", f"http://{address}/standin/executions")
            executions.extend(_parse_executions(vm_id, answer["executions"]))
        return executions

    def list_row_changes(self, table: str) -> list[RowChange]:
        """Return every committed write of a table that the platform records."""
        url = f"http://{self.platform_address}/standin/history/{table}"
        _, answer = self.call("GET", url)
        return [
            RowChange(version, table, key, value)
            for version, key, value in answer["changes"]
        ]

    def count_store_calls(self) -> dict[str, int]:
        """Return the numbers of reads and writes that the platform counted."""
        url = f"http://{self.platform_address}/standin/counts"
        return self.call("GET", url)[1]

    def count_store_bytes(self) -> dict[str, int]:
        """Return the bytes exchanged between the platform and each client, by name."""
        url = f"http://{self.platform_address}/standin/bytes"
        return self.call("GET", url)[1]

    def pause(self, daemon: Daemon) -> None:
        """Pause the process of a daemon, as if its VM were suspended."""
        daemon.process.send_signal(signal.SIGSTOP)

    def resume(self, daemon: Daemon) -> None:
        """Resume a paused daemon."""
        daemon.process.send_signal(signal.SIGCONT)

    def build_document(self) -> str:
        """Return a configuration document with the teams, services and pools.

        Also creates the API keys, which ``caller_by_key`` holds afterwards.
        """
        salted = hash_secret(self._operator_secret, self._operator_salt)
        sections = [
            "[catkinport]\nformat = 1\n",
            f"[operator {OPERATOR}]\nsalt = {salted.salt}\ndigest = {salted.digest}\n",
            "[pool spare]\nmax_unavailable = 100\nspare = yes\nmin_vms = 0\n",
            "[maintenance]\nperiod_days = 56\n",
        ]
        sections += [self._build_team(index) for index in range(self.size.n_teams)]
        sections += [self._build_service(i) for i in range(self.size.n_services)]
        return "\n".join(sections)

    def _build_team(self, index: int) -> str:
        team, account, key = f"team-{index}", f"account-{index}", f"key-{index}"
        secret = create_secret()
        salted = hash_secret(secret, create_salt())
        queue = f"queue-{index % self.size.n_services}"
        self.caller_by_key[key] = Caller(team, key, f"{key}.{secret}", queue)
        return (
            f"[team {team}]\nweight = 1\nmax_slots = {self.size.max_slots}\n"
            f"max_cores = {self.size.max_cores}\n\n"
            f"[account {account}]\nteam = {team}\n\n"
            f"[key {key}]\naccount = {account}\n"
            f"salt = {salted.salt}\ndigest = {salted.digest}\n"
        )

    def _build_service(self, index: int) -> str:
        service, pool = f"service-{index}", f"pool-{index}"
        return (
            f"[pool {pool}]\nmax_unavailable = 1\nspare = no\nmin_vms = 1\n\n"
            f"[service {service}]\npool = {pool}\nslots = 8\nconnections = 60\n"
            f"max_request_seconds = {self.size.max_request_seconds}\n"
            f"progress_seconds = 5\n\n"
            f"[queue queue-{index}]\naccess = keyed\npriority = urgent\n"
            f"service = {service}\npool = {pool}\n\n"
            f"[queue long-{index}]\naccess = keyed\npriority = long\n"
            f"service = {service}\npool = {pool}\n"
        )

    def _start_service(self, service: int) -> None:
        n_servers = self.size.n_servers
        module = "catkinport.standins.worker"
        arguments = [module, "--platform", self.platform_address]
        workers = self._processes.start(
            f"workers-{service}", [*arguments, "--count", str(n_servers)]
        )
        n_processes = n_servers if self.size.has_server_processes else 1
        servers = [
            self._processes.start(
                f"server-{service}-{index}", ["catkinport.standins.backend_server"]
            )
            for index in range(n_processes)
        ]
        worker_addresses = workers.wait_for_line("listening on ", n_servers)
        for index in range(n_servers):
            server = servers[index % n_processes]
            vm_id = f"vm-{service}-{index}"
            self._server_process_by_vm[vm_id] = server
            address = server.wait_for_line("listening on ")[0]
            self.server_address_by_vm[vm_id] = address
            self.worker_address_by_vm[vm_id] = worker_addresses[index]
            listed = self._describe_vm(vm_id, index)
            self._listed_vm_by_id[vm_id] = listed
            url = f"http://{self.platform_address}/vms/{vm_id}"
            self.call("PUT", url, listed._asdict())

    def _describe_vm(self, vm_id: str, index: int) -> ListedVm:
        return ListedVm(
            vm_id,
            VmStatus.LIVE,
            zone=f"zone-{index % N_ZONES}",
            rack=f"rack-{index // SERVERS_PER_RACK}",
            worker_address=self.worker_address_by_vm[vm_id],
            backend_address=self.server_address_by_vm[vm_id],
            boot_id="1",
            n_cores=64.0,
            memory_gb=256.0,
            n_accelerators=0,
        )

    def _register_vms(self) -> None:
        table = HttpTable(HttpClient(self.platform_address, "operator"))
        for vm_id, listed in self._listed_vm_by_id.items():
            pool = f"pool-{vm_id.split('-')[1]}"
            outcome = register_vm(table, listed, pool, create_secret(), time.time())
            if not isinstance(outcome, VmChanged):
                raise RuntimeError(
                    f"{vm_id} not registered: expected VmChanged, got {outcome}"
                )

    def _start_daemon(self, name: str, role: str) -> Daemon:
        path = self._processes.folder / f"{name}.ini"
        path.write_text(self._build_settings(name, role))
        module = f"catkinport.{role}.main"
        process = self._processes.start(name, [module, "--settings", str(path)])
        caller_address = ""
        if role == "entry":
            caller_address = process.wait_for_line("listening on ")[0]
        admin_address = process.wait_for_line("admin listening on ")[0]
        return Daemon(name, process, caller_address, admin_address)

    def _build_settings(self, name: str, role: str) -> str:
        salted = hash_secret(self._operator_secret, self._operator_salt)
        zone = random.Random(name).randrange(N_ZONES)
        settings = (
            f"[process]\nname = {name}\nzone = zone-{zone}\n\n"
            f"[platform]\ntable = {self.platform_address}\n"
            f"objects = {self.platform_address}\nvm_list = {self.platform_address}\n\n"
            f"[cluster]\nkey = {self._cluster_key}\n\n"
            f"[stop]\nbalancer_lag_seconds = 0.5\ndrain_deadline_seconds = 20\n\n"
            f"[bootstrap]\noperator = {OPERATOR}\nsalt = {salted.salt}\n"
            f"digest = {salted.digest}\n"
        )
        if role == "controller":
            settings += f"\n[controller]\nlease_seconds = {self.size.lease_seconds}\n"
        return settings

    def _is_ready(self, entry: Daemon) -> bool:
        try:
            return self.call("GET", f"http://{entry.admin_address}/readyz")[0] == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _are_services_ready(self, caller: Caller) -> bool:
        headers = {
            "Authorization": f"Bearer {caller.secret}",
            "Catkin-Idempotent": "true",
        }
        for entry in self.entry_by_name.values():
            for index in range(self.size.n_services):
                path = f"/v1/queues/queue-{index}/requests/work"
                url = f"http://{entry.caller_address}{path}"
                if self.call("POST", url, {}, headers)[0] != 200:
                    return False
        return True

    @staticmethod
    def _build_names(role: str, count: int) -> list[str]:
        return [f"{role}-{index}" for index in range(count)]


def _parse_executions(vm_id: str, entries: list[dict]) -> list[Execution]:
    return [
        Execution(
            entry["operation"],
            entry["idempotency_key"],
            entry["team"],
            vm_id,
            entry["started_at"],
            entry["ended_at"],
        )
        for entry in entries
        if entry["operation"]
    ]
