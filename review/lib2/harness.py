"""Runs a small deployment for a case: the stand-in, daemons, callers and the record.

Every process is started with the command of `deploy/system.toml` and settings made from
`deploy/settings.ini`. All addresses are loopback addresses.
"""

import http.client
import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]

BOUNDS = {
    "HoldMaxMs": 6000,
    "RevokeMs": 5000,
    "GraceS": 6,
    "LeaseMs": 3000,
    "UpkeepS": 2,
    "MoveS": 1.5,
}
"""Bounds of kdc-tbilisi that the settings template names."""

VM_LIMITS = {"CpuShare": 0.537, "Cores": 2, "LinkMbps": 1000.0}
HOST = "queues.example"
KEY = "key-0"
RIVAL_KEY = "key-1"
"""Keys of the two tenants, ``studio`` and ``rival``, which have no limits."""
READY_SECONDS = 20.0

FIRST_PORT, LAST_PORT, PORTS_PER_PROCESS = 15000, 30000, 100
_port_numbers = itertools.count()

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses of a case."""


class NotRunError(Exception):
    """The case could not run, so it shows nothing."""


def is_troubled() -> bool:
    """Return whether the case injects its disruption (``TROUBLE`` is not 0)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.started_at = time.monotonic()

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line; ``at`` is a time of the monotonic clock in seconds."""
        seconds = (time.monotonic() if at is None else at) - self.started_at
        self._file.write(f"{seconds:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Daemon:
    """A daemon process and its addresses."""

    def __init__(self, name: str, process: subprocess.Popen, ports: list[int]) -> None:
        self.name = name
        self.process = process
        self.callers_port, self.ready_port, self.metrics_port = ports


class Deployment:
    """The stand-in of the platform and the daemons that run against it.

    Args:
        record: record of the case.
        standin_arguments: arguments of the program of the stand-in.
    """

    def __init__(self, record: Record, standin_arguments: Sequence[str] = ()) -> None:
        self.record = record
        self.daemon_by_name: dict[str, Daemon] = {}
        self.address = ""
        self._folder = tempfile.TemporaryDirectory(prefix="catkinport-case-")
        self._processes: list[subprocess.Popen] = []
        self._next_address = 0
        self._arguments = list(standin_arguments)
        self._version = 0

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *error: object) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        if folder := os.environ.get("CASE_LOGS"):
            os.makedirs(folder, exist_ok=True)
            subprocess.run(["cp", "-r", f"{self._folder.name}/.", folder], check=False)
        self._folder.cleanup()

    def start_standin(self) -> None:
        """Start the stand-in and learn its address."""
        program = str(Path(__file__).parent / "standin.py")
        log = self._start("standin", [sys.executable, program, *self._arguments], {})
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            found = re.search(r"listening on (\S+)", log.read_text())
            if found:
                self.address = found[1]
                return
            time.sleep(0.02)
        raise NotRunError(f"the stand-in did not start: {log.read_text()[-500:]}")

    def start_daemon(
        self, name: str, store: str = "", vms: str = "", ports: Sequence[int] = ()
    ) -> Daemon:
        """Start a daemon; the addresses of the store and the VMs may be proxies."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "fleet"
        ]
        ports = list(ports) or find_free_ports(3)
        settings = {
            "NodeName": name,
            "Zone": "tbilisi-a",
            "Limits": VM_LIMITS,
            "ListenAddrs": {
                "Front": f"127.0.0.1:{ports[0]}",
                "Ready": f"127.0.0.1:{ports[1]}",
            },
            "PortRange": [ports[2], ports[2]],
            "platform": {"Address": store or self.address},
            "CloudApi": {"Address": vms or self.address},
            "Bounds": BOUNDS,
        }
        path = Path(self._folder.name) / f"{name}.ini"
        path.write_text(render((ROOT / role["template"]).read_text(), settings))
        command = role["run"].split()
        self._start(name, command, {"CATKINPORT_NODE_FILE": str(path)})
        daemon = Daemon(name, self._processes[-1], ports)
        self.daemon_by_name[name] = daemon
        self.record.add(f"daemon {name} started, pid {daemon.process.pid}")
        return daemon

    def start(self, n_daemons: int = 3) -> None:
        """Start the stand-in, the first configuration and the daemons."""
        self.start_standin()
        self.configure()
        for number in range(n_daemons):
            self.start_daemon(f"edge-{number}")
        self.wait_until_ready()

    def wait_until_ready(self) -> None:
        """Wait until all daemons are ready and one of them owns the fleet."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            ports = [d.ready_port for d in self.daemon_by_name.values()]
            is_ready = all(call(p, "GET", "/ready")[0] == 200 for p in ports)
            if is_ready and self.find_owner():
                # The owner reads its rows and reaches the workers.
                time.sleep(2.0)
                return
            time.sleep(0.1)
        for log in sorted(Path(self._folder.name).glob("*.log")):
            self.record.add(f"{log.name}: {log.read_text()[-400:]!r}")
        raise NotRunError("the daemons were not ready in time")

    def find_owner(self) -> Daemon | None:
        """Return the daemon that has claimed the fleet last."""
        row = self.get_row("leader", "fleet", "owner")
        return self.daemon_by_name.get(row["owner"]) if row else None

    def wait_for_owner(self, other_than: str, seconds: float) -> Daemon:
        """Wait until another daemon has claimed the fleet."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            owner = self.find_owner()
            if owner is not None and owner.name != other_than:
                return owner
            time.sleep(0.02)
        raise NotRunError("nobody has taken over")

    def configure(self, service_by_route: Mapping[str, str] | None = None) -> None:
        """Write the next configuration.

        Args:
            service_by_route: the routes and their services; by default ``queue-N`` has
                the service ``pool-N``, for N of 0 and 1.
        """
        self._version += 1
        services = service_by_route or {"queue-0": "pool-0", "queue-1": "pool-1"}
        document = {
            "Version": self._version,
            "Routes": [
                {
                    "Name": name,
                    "Host": HOST,
                    "PathPrefix": f"/{name}/",
                    "Service": service,
                    "MaxAttempts": 3,
                    "Stretch": 1.6,
                    "TargetLatencyMs": 600,
                    "TimeoutMs": 3000,
                }
                for name, service in services.items()
            ],
            "Services": [
                {"Name": "pool-0", "EnforcesCapacity": True},
                {"Name": "pool-1", "EnforcesCapacity": True},
                {"Name": "spare", "EnforcesCapacity": True, "Spare": True},
            ],
            "Tenants": [
                {"Name": "studio", "ApiKeys": [KEY], "Weight": 1},
                {"Name": "rival", "ApiKeys": [RIVAL_KEY], "Weight": 1},
            ],
            "Limits": {},
        }
        self.control("PUT", "/standin/operator/config", document)
        self.record.add(f"op/config version {self._version}: {dict(services)}")

    def control(self, method: str, path: str, body: Any = None) -> Any:
        """Call a control of the stand-in."""
        host, _, port = self.address.rpartition(":")
        status, answer = call(int(port), method, path, body)
        if status != 200:
            raise NotRunError(f"{method} {path} of the stand-in: {status} {answer}")
        return answer

    def get_row(self, table: str, part: str, key: str) -> Any:
        """Return the value of a row of the store; ``None`` if there is none."""
        path = f"/standin/row?table={table}&part={part}&key={key}"
        return self.control("GET", path)["value"]

    def list_events(self, task_prefix: str = "") -> list[dict[str, Any]]:
        """Return what has happened to the runs of tasks, oldest first."""
        events = self.control("GET", "/standin/events")["events"]
        return [e for e in events if e["task"].startswith(task_prefix)]

    def find_run(self, task: str) -> dict[str, Any] | None:
        """Return the start event of the run of a task that is running."""
        started = None
        for event in self.list_events(task):
            if event["what"] == "started":
                started = event
            elif started and event["run"] == started["run"]:
                started = None
        return started

    def wait_for_run(self, task: str, seconds: float) -> dict[str, Any]:
        """Wait until a run of a task has started and return its start event."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            event = self.find_run(task)
            if event is not None:
                return event
            time.sleep(0.02)
        raise NotRunError(f"task {task} was not started in {seconds} s")

    def record_events(self) -> list[dict[str, Any]]:
        """Write all events of runs into the record and return them."""
        events = self.list_events()
        self.record.add("what the runners did:")
        for event in events:
            token = f" token {event['token']}" if event["token"] else ""
            text = f"{event['task']} run {event['run']} on {event['worker']}"
            self.record.add(f"  runner: {event['what']} {text}{token}", event["at"])
        return events

    def call_daemon(
        self, daemon: Daemon, method: str, path: str, body: Any = None, key: str = KEY
    ) -> tuple[int, Any]:
        """Send a request of a caller to a daemon and record it."""
        sent_at = time.monotonic()
        headers = {"Host": HOST, "Authorization": f"Token {key}"}
        status, answer = call(daemon.callers_port, method, path, body, headers)
        self.record.add(f"caller to {daemon.name}: {method} {path}", sent_at)
        self.record.add(f"caller from {daemon.name}: {status or 'no answer'} {answer}")
        return status, answer

    def _start(
        self, name: str, command: Sequence[str], variables: Mapping[str, str]
    ) -> Path:
        log = Path(self._folder.name) / f"{name}-{len(self._processes)}.log"
        paths = [str(ROOT / "target/deps"), str(ROOT)]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": os.pathsep.join(paths),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PYTHONUNBUFFERED": "1",
            **variables,
        }
        with log.open("wb") as output:
            process = subprocess.Popen(
                list(command),
                stdout=output,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=ROOT,
            )
        self._processes.append(process)
        return log


def call(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, Any]:
    """Send one request; return the status, 0 without an answer, and the body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    content = None if body is None else json.dumps(body).encode()
    send_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request(method, path, body=content, headers=send_headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, _decode(data)
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()


def _decode(data: bytes) -> Any:
    try:
        return json.loads(data) if data else None
    except ValueError:
        return None


def find_free_ports(n_ports: int) -> list[int]:
    """Return free ports of the loopback interface.

    They lie below those that the kernel gives to outgoing connections, so that none is
    taken before a daemon listens on it; each process looks in a block of its own.
    """
    n_blocks = (LAST_PORT - FIRST_PORT) // PORTS_PER_PROCESS
    first = FIRST_PORT + os.getpid() % n_blocks * PORTS_PER_PROCESS
    ports: list[int] = []
    while len(ports) < n_ports:
        port = first + next(_port_numbers) % PORTS_PER_PROCESS
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def render(template: str, values: Mapping[str, Any]) -> str:
    """Fill in the settings template: values and sections of a value that is there."""

    def look_up(name: str) -> Any:
        value: Any = values
        for part in name.split("."):
            if isinstance(value, Mapping):
                value = value.get(part)
            elif isinstance(value, Sequence) and not isinstance(value, str):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                return None
        return value

    def fill_section(match: re.Match) -> str:
        value = look_up(match[1])
        return "" if value is None else match[2].replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template)
    return re.sub(
        r"\{\{([\w.]+)\}\}",
        lambda m: "" if look_up(m[1]) is None else str(look_up(m[1])),
        text,
    )


def run_case(
    folder: str,
    play: Callable[[Deployment], bool],
    standin_arguments: Sequence[str] = (),
) -> int:
    """Play a case and return its exit status.

    Args:
        folder: folder of the case, which gets ``record.txt``.
        play: plays the case and returns whether the rule held.
        standin_arguments: arguments of the stand-in.
    """
    record = Record(Path(folder) / "record.txt")
    record.add(f"case starts, trouble: {is_troubled()}")
    try:
        with Deployment(record, standin_arguments) as deployment:
            has_held = play(deployment)
    except NotRunError as error:
        record.add(f"the case could not run: {error}")
        return NOT_RUN
    finally:
        record.add("all processes of the case have ended")
    record.add("RESULT: the rule held" if has_held else "RESULT: the rule was broken")
    record.close()
    return HELD if has_held else BROKEN
