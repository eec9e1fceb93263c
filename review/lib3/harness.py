"""Starts the platform's stand-in and the daemons as processes, and calls them.

The daemons run with the command of the deploy file and with settings as its template
gives them for a small deployment. Everything listens on loopback addresses.
"""

import http.client
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
HOST = "queues.example"
KEY = "key-0"
READY_SECONDS = 20.0
CALL_SECONDS = 4.0
LONGEST_SECONDS = 110
"""Time after which a case is given up, with all processes that it has started."""

FIRST_PORT, LAST_PORT = 20000, 32000
"""Range of the ports of daemons; ``LAST_PORT`` is not part of it."""

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses: the rule held, it was broken, and the case could not run."""

SETTINGS = """\
[daemon]
name = {name}
zone = zone-a
processor_share = 0.537
processor_speed = 2
link_mbps = 1000.0

[listen]
callers = {callers}
ready = {ready}
metrics_port = {metrics_port}

[services]
table = {platform}
vms = {vms}
advice = {advice}

[bounds]
longest_lease_ms = 10000
revoked_key_ms = 5000
stop_grace_seconds = 6
vm_order_gap_ms = 3000
upkeep_seconds = 2
move_seconds = 1.5

[limits]
memory_mb = 300
max_fds = 4100
"""


class CaseError(Exception):
    """The case could not run."""


class Answer(NamedTuple):
    """Answer to a call; status 0 if there was none."""

    status: int
    body: Mapping[str, Any]


class Daemon(NamedTuple):
    """A daemon and its addresses."""

    name: str
    callers: str
    ready: str


class Record:
    """Text file with what was sent, answered and run.

    Args:
        path: the file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line with the time in seconds since the start of the case."""
        now = time.monotonic() if at is None else at
        self._file.write(f"{now - self._began_at:8.3f} {text}\n")
        self._file.flush()


class Deployment:
    """The stand-in and the daemons; ends all of them when it is closed.

    Args:
        record: record of the case.
        n_vms: VMs of the one pool.
        cores: cores of each VM.
        n_daemons: number of daemons.
        make_vms_proxy: returns the address of a proxy before the interface for VMs,
            given the address of that; ``None`` for no proxy.
        advice: address of the advice service; empty for none.
        advice_terms: terms of advice of the queue; ``None`` if it needs none.
    """

    def __init__(
        self,
        record: Record,
        n_vms: int,
        cores: float,
        n_daemons: int = 3,
        make_vms_proxy: Callable[[str], str] | None = None,
        advice: str = "",
        advice_terms: Mapping[str, int] | None = None,
    ) -> None:
        self.record = record
        self._advice = advice
        self._advice_terms = advice_terms
        self._make_vms_proxy = make_vms_proxy
        self._vms = ""
        self.daemons: list[Daemon] = []
        self._sizes = (n_vms, cores, n_daemons)
        self._processes: list[subprocess.Popen[bytes]] = []
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = Path(tempfile.mkdtemp(prefix="catkinport-case-"))
        self._platform = ""

    def __enter__(self) -> "Deployment":
        """Start all processes and wait until the daemons are ready."""
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End all processes."""
        self.close()

    def close(self) -> None:
        """End all processes that were started, and remove their files."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def _start(self) -> None:
        n_vms, cores, n_daemons = self._sizes
        log = self._run_process(
            "platform",
            [
                "python3",
                str(ROOT / "review/lib3/standin.py"),
                *("--vms", str(n_vms), "--cores", str(cores)),
            ],
        )
        self._platform = wait_for(lambda: find_line(log, "listening on "), "stand-in")
        if self._make_vms_proxy is not None:
            self._vms = self._make_vms_proxy(self._platform)
        self._configure()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["fleet"]["run"])
        for number in range(n_daemons):
            self._start_daemon(f"entry-{number}", command)
        for daemon in self.daemons:
            wait_for(lambda d=daemon: self._is_ready(d), f"{daemon.name} to be ready")
        wait_for(self._is_owned, "an owner that has loaded its state")
        self.record.write(f"started {n_daemons} daemons, {n_vms} VMs of {cores} cores")

    def _run_process(
        self, name: str, command: Sequence[str], variables: Mapping[str, str] = {}
    ) -> Path:
        log = self._folder / f"{name}.log"
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = f"{ROOT}{os.pathsep}{ROOT / 'target/deps'}"
        environment["PYTHONUNBUFFERED"] = "1"
        arguments = [sys.executable if c == "python3" else c for c in command]
        with log.open("wb") as output:
            process = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env={**environment, **variables},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(process)
        self._process_by_name[name] = process
        return log

    def _start_daemon(self, name: str, command: Sequence[str]) -> None:
        ports = find_free_ports(3)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        path = self._folder / f"{name}.ini"
        settings = SETTINGS.format(
            name=name,
            callers=addresses[0],
            ready=addresses[1],
            metrics_port=ports[2],
            platform=self._platform,
            vms=self._vms or self._platform,
            advice=self._advice,
        )
        path.write_text(settings)
        self._run_process(name, command, {"CATKINPORT_NODE_FILE": str(path)})
        self.daemons.append(Daemon(name, addresses[0], addresses[1]))

    def _is_ready(self, daemon: Daemon) -> bool:
        return call(daemon.ready, "GET", "/ready").status == 200

    def _is_owned(self) -> bool:
        answers = [self.show_waiting(daemon) for daemon in self.daemons]
        return all(answer.status == 200 for answer in answers)

    def _configure(self) -> None:
        queue: dict[str, Any] = {
            "Name": "queue-0",
            "Host": HOST,
            "PathPrefix": "/queue-0/",
            "Service": "pool-0",
            "MaxAttempts": 3,
            "Stretch": 1.6,
            "TargetLatencyMs": 600,
        }
        if self._advice_terms is not None:
            queue["Advice"] = dict(self._advice_terms)
        self.control(
            "PUT",
            "/standin/operator/config",
            {
                "Version": 1,
                "Routes": [queue],
                "Services": [{"Name": "pool-0", "EnforcesCapacity": True}],
                "Tenants": [{"Name": "studio", "ApiKeys": [KEY], "Weight": 1}],
                "Limits": {},
            },
        )

    def control(self, method: str, path: str, body: Any = None) -> Mapping[str, Any]:
        """Send a control request to the stand-in.

        Raises:
            CaseError: if it is not answered with status 200.
        """
        answer = call(self._platform, method, path, body)
        if answer.status != 200:
            raise CaseError(f"{method} {path}: status {answer.status}")
        return answer.body

    def find_owner(self) -> str:
        """Return the name of the daemon that claimed the ownership last."""
        path = "/standin/row?table=leader&part=fleet&key=owner"
        row = self.control("GET", path)["value"]
        return str(row["owner"]) if row else ""

    def kill(self, name: str) -> None:
        """Kill a process that this deployment has started."""
        self._process_by_name[name].kill()
        self._process_by_name[name].wait()

    def list_events(self, first: int = 0) -> list[dict[str, Any]]:
        """Return the events of runs on the workers, from number ``first`` on."""
        return list(self.control("GET", f"/standin/events?first={first}")["events"])

    def list_vms(self) -> list[Mapping[str, Any]]:
        """Return the VMs as they are."""
        return list(self.control("GET", "/standin/vms")["vms"])

    def submit(self, daemon: Daemon, job_id: str, body: Mapping[str, Any]) -> Answer:
        """Submit a job, once."""
        return call(daemon.callers, "POST", f"/queue-0/{job_id}", body, KEY)

    def cancel(self, daemon: Daemon, job_id: str) -> Answer:
        """Cancel a job, once."""
        return call(daemon.callers, "DELETE", f"/queue-0/{job_id}", None, KEY)

    def show_state(self, daemon: Daemon, job_id: str) -> Answer:
        """Ask a daemon for the state of a job."""
        return call(daemon.callers, "GET", f"/queue-0/{job_id}", None, KEY)

    def show_waiting(self, daemon: Daemon) -> Answer:
        """Ask a daemon for the number of jobs that have not begun."""
        return call(daemon.callers, "GET", "/queue-0/", None, KEY)


def call(
    address: str, method: str, path: str, body: Any = None, key: str = ""
) -> Answer:
    """Send one request on a connection of its own."""
    headers = {"Host": HOST, "Content-Type": "application/json"}
    if key:
        headers["Authorization"] = f"Token {key}"
        headers["X-Catkinport-Deadline-Ms"] = str(int(CALL_SECONDS * 1000))
    content = None if body is None else json.dumps(body).encode()
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_SECONDS)
    try:
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        decoded = json.loads(response.read() or b"{}")
        return Answer(response.status, decoded if isinstance(decoded, dict) else {})
    except (OSError, http.client.HTTPException, ValueError):
        return Answer(0, {})
    finally:
        connection.close()


def find_free_ports(n_ports: int) -> list[int]:
    """Return ports of the loopback interface that nothing listens on.

    They lie below those that the kernel gives to outgoing connections, as one of these
    could take a port before its daemon listens on it.
    """
    sockets: list[socket.socket] = []
    while len(sockets) < n_ports:
        probe = socket.socket()
        try:
            probe.bind(("127.0.0.1", random.randrange(FIRST_PORT, LAST_PORT)))
        except OSError:
            probe.close()
            continue
        sockets.append(probe)
    ports = [int(probe.getsockname()[1]) for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


def find_line(log: Path, start: str) -> str:
    """Return the rest of the first line of a log that begins with ``start``."""
    lines = log.read_text(errors="replace").splitlines()
    return next((line[len(start) :] for line in lines if line.startswith(start)), "")


def wait_for(find: Callable[[], Any], what: str, seconds: float = READY_SECONDS) -> Any:
    """Return the first true result of ``find``.

    Raises:
        CaseError: if there is none in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = find()
        if found:
            return found
        time.sleep(0.05)
    raise CaseError(f"waited {seconds} s for {what}")


def _give_up(number: int, frame: object) -> None:
    """Leave the case by an exception, so that it ends what it has started."""
    raise CaseError(f"given up by {signal.Signals(number).name}")


def run_case(folder: Path, play: Callable[[Record, bool], bool]) -> int:
    """Play a case and return its exit status.

    Args:
        folder: folder of the case, which gets the record.
        play: plays it, with the disruption or without; returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _give_up)
    signal.alarm(LONGEST_SECONDS)
    try:
        has_held = play(record, has_trouble)
    except Exception as error:
        # An error of the case itself must not pass for a broken rule.
        record.write(f"could not run: {error!r}")
        return NOT_RUN
    record.write("the rule held" if has_held else "THE RULE WAS BROKEN")
    return HELD if has_held else BROKEN
