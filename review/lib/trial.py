"""A trial: the stand-in of the platform, daemons as separate processes, and a client.

The daemons start with the command of `deploy/system.toml` and with settings that are
made from its template. All addresses are loopback addresses. Each call of the client,
each fault and each run is written to ``record.txt`` in the folder of the case.
"""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "queues.example"
KEY = "key-0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "HoldMaxMs": 6000,
    "RevokeMs": 5000,
    "GraceS": 6,
    "LeaseMs": 3000,
    "UpkeepS": 0.5,
    "MoveS": 0.5,
}
"""Bounds of the small sites, but for the times of the stand-in's upkeeps and moves."""


class Trial:
    """Processes of one trial, and its record.

    Args:
        folder: folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.began_at = time.monotonic()
        self.platform = ""
        self.callers: dict[str, str] = {}
        self.daemons: dict[str, subprocess.Popen[bytes]] = {}
        self._ports: dict[str, tuple[int, int, int]] = {}
        self._processes: list[subprocess.Popen[bytes]] = []
        self._scratch = Path(tempfile.mkdtemp(prefix="review-"))
        self._record = (folder / "record.txt").open("w")
        self.note(f"trial begins, TROUBLE={int(self.is_troubled)}")

    def now(self) -> float:
        """Return seconds since the trial began."""
        return time.monotonic() - self.began_at

    def note(self, text: str) -> None:
        """Write a line to the record, and to standard output."""
        line = f"{self.now():8.3f} {text}"
        self._record.write(line + "\n")
        self._record.flush()
        print(line, flush=True)

    def start_platform(self, *arguments: str) -> None:
        """Start the stand-in."""
        script = str(ROOT / "review" / "lib" / "standin.py")
        log = self._scratch / "platform.log"
        self._spawn([sys.executable, script, *arguments], log, {})
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            found = re.search(r"listening on (\S+)", log.read_text())
            if found:
                self.platform = found[1]
                return
            time.sleep(0.05)
        raise RuntimeError(f"the stand-in did not start: {log.read_text()[-500:]}")

    def start_daemon(self, name: str, table: str = "") -> None:
        """Start a daemon; one that is started again keeps its addresses."""
        ports = self._ports.setdefault(name, find_free_ports())
        fields = {
            "NodeName": name,
            "Zone": "zone-a",
            "Limits": {"CpuShare": 0.537, "Cores": 2, "LinkMbps": 1000.0},
            "ListenAddrs": {
                "Front": f"127.0.0.1:{ports[0]}",
                "Ready": f"127.0.0.1:{ports[1]}",
            },
            "PortRange": [ports[2], ports[2]],
            "platform": {"Address": table or self.platform},
            "CloudApi": {"Address": self.platform},
            "Advice": "",
            "Bounds": BOUNDS,
        }
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        settings = self._scratch / f"{name}.ini"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        self.callers[name] = fields["ListenAddrs"]["Front"]
        self.daemons[name] = self._spawn(
            role["run"].split(),
            self._scratch / f"{name}.log",
            {"CATKINPORT_NODE_FILE": str(settings)},
        )

    def start_daemons(self, n_daemons: int = 3) -> None:
        """Start daemons, and wait until all are ready and one owns the fleet."""
        for number in range(n_daemons):
            self.start_daemon(f"entry-{number}")
        self.wait_for(lambda: all(map(self.is_ready, self.daemons)), 20, "readiness")
        self.wait_for(lambda: self.find_owner() != "", 10, "an owner")

    def is_ready(self, name: str) -> bool:
        """Return whether a daemon reports that it is ready."""
        address = f"127.0.0.1:{self._ports[name][1]}"
        return exchange(address, "GET", "/ready")[0] == 200

    def wait_for(
        self, condition: Callable[[], bool], seconds: float, what: str
    ) -> None:
        """Wait until a condition holds.

        Raises:
            RuntimeError: if it doesn't hold in time, so that the case can't run.
        """
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"{what} did not come within {seconds} s")
            time.sleep(0.05)

    def find_owner(self) -> str:
        """Return the name of the daemon that claimed the ownership last."""
        row = self.control("GET", "/standin/row?table=leader&part=fleet&key=owner")
        return (row["value"] or {}).get("owner", "")

    def kill(self, name: str) -> None:
        """Kill a daemon with SIGKILL."""
        self.note(f"fault: SIGKILL to {name}")
        self.daemons[name].send_signal(signal.SIGKILL)
        self.daemons[name].wait()

    def control(self, method: str, path: str, body: Any = None) -> Any:
        """Send a control request to the stand-in."""
        status, answer = exchange(self.platform, method, path, body)
        if status != 200:
            raise RuntimeError(f"{method} {path} of the stand-in: status {status}")
        return answer

    def set_faults(self, **faults: Any) -> None:
        """Switch faults of the stand-in on or off."""
        self.note(f"fault: {faults}")
        self.control("PUT", "/standin/faults", faults)

    def change_vm(self, vm_id: str, **change: Any) -> None:
        """Crash or silence a VM."""
        self.note(f"fault: {vm_id} {change}")
        self.control("PUT", f"/standin/vms/{vm_id}", change)

    def configure(self, version: int, services: dict[str, str], pools: int = 2) -> None:
        """Write a configuration.

        Args:
            version: its version.
            services: pool of each queue, by the queue's name.
            pools: number of pools.
        """
        routes = [
            {
                "Name": name,
                "Host": HOST,
                "PathPrefix": f"/{name}/",
                "Service": pool,
                "MaxAttempts": 3,
                "Stretch": 1.6,
                "TargetLatencyMs": 600,
                "Priority": 0,
            }
            for name, pool in services.items()
        ]
        document = {
            "Version": version,
            "Routes": routes,
            "Services": [
                {"Name": f"pool-{number}", "EnforcesCapacity": True}
                for number in range(pools)
            ]
            + [{"Name": "spare", "Spare": True}],
            "Tenants": [{"Name": "studio", "ApiKeys": [KEY], "Weight": 1}],
            "Limits": {},
        }
        self.control("PUT", "/standin/operator/config", document)
        self.note(f"operator: configuration {version} confirmed, queues {services}")

    def call(
        self, name: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Call a daemon as a client does."""
        headers = {"Host": HOST, "Authorization": f"Token {KEY}"}
        answer = exchange(self.callers[name], method, path, body, headers)
        sent = "" if body is None else " " + json.dumps(body)
        self.note(f"client: {method} {path}{sent} at {name} -> {answer[0]} {answer[1]}")
        return answer

    def submit(self, queue: str, job_id: str, spec: str, **step: Any) -> None:
        """Submit a job with one step; retry until it is accepted."""
        body = {"Spec": spec, "Steps": [{"MemMb": 256, "EstimateMs": 300, **step}]}
        for attempt in range(40):
            name = list(self.callers)[attempt % len(self.callers)]
            if self.daemons[name].poll() is None:
                status, _ = self.call(name, "POST", f"/{queue}/{job_id}", body)
                if 200 <= status < 300:
                    return
            time.sleep(0.2)
        raise RuntimeError(f"{job_id} was not accepted")

    def list_events(self) -> list[dict[str, Any]]:
        """Return what the workers have recorded of their runs, oldest first."""
        return self.control("GET", "/standin/events")["events"]

    def list_cores(self, pool: str) -> dict[str, float]:
        """Return the cores of each VM of a pool that is up and has a worker."""
        machines = self.control("GET", "/machines")["Machines"]
        cores = {
            one["Machine"]: one["Capacity"]["Cpu"] / 1000
            for one in machines
            if one["Pool"] == pool and one["State"] == "up" and one["Id"]
        }
        self.note(f"platform: VMs of {pool} that are up, and their cores: {cores}")
        return cores

    def count_running(self, vm_id: str) -> int:
        """Return how many runs are at work on a VM."""
        prefix = f"i-{vm_id}-"
        events = [e for e in self.list_events() if e["worker"].startswith(prefix)]
        n_started = sum(e["what"] == "started" for e in events)
        return n_started - sum(e["what"] not in ("started", "noted") for e in events)

    def to_trial_time(self, at: float) -> float:
        """Convert a time of the stand-in's events, which is of the same clock."""
        return at - self.began_at

    def close(self) -> None:
        """Write the runs to the record, and end all processes."""
        try:
            if self.platform:
                for event in self.list_events():
                    at = self.to_trial_time(event["at"])
                    self._record.write(
                        f"{at:8.3f} run: {event['task']} run {event['run']} "
                        f"{event['what']} at {event['worker']} token {event['token']}\n"
                    )
        except (RuntimeError, OSError):
            self.note("the runs could not be read")
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._scratch, keep, dirs_exist_ok=True)
        shutil.rmtree(self._scratch, ignore_errors=True)
        self._record.close()

    def _spawn(
        self, command: list[str], log: Path, variables: dict[str, str]
    ) -> subprocess.Popen[bytes]:
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        paths = [str(ROOT / "target" / "deps"), str(ROOT)]
        environment.update(PYTHONPATH=os.pathsep.join(paths), PYTHONUNBUFFERED="1")
        environment.update(variables)
        with log.open("ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(process)
        return process


def note_overlaps(trial: Trial, min_seconds: float) -> int:
    """Return how many pairs of runs of one task were at work at the same time.

    Args:
        trial: the trial.
        min_seconds: shorter overlaps don't count.
    """
    spans: dict[tuple[str, int, str], list[float]] = {}
    for event in trial.list_events():
        run_id = (event["task"], event["run"], event["worker"])
        if event["what"] == "started":
            spans[run_id] = [event["at"], float("inf")]
        elif event["what"] != "noted" and run_id in spans:
            spans[run_id][1] = event["at"]
    n_overlaps = 0
    ordered = sorted(spans.items(), key=lambda item: item[1])
    for index, (first, one) in enumerate(ordered):
        for second, other in ordered[index + 1 :]:
            seconds = min(one[1], other[1]) - other[0]
            if first[0] == second[0] and seconds > min_seconds:
                n_overlaps += 1
                trial.note(
                    f"rule TWICE broken: {first[0]} run {first[1]} at {first[2]} and "
                    f"run {second[1]} at {second[2]} together for {seconds:.2f} s"
                )
    return n_overlaps


def run(folder: Path, case: Callable[[Trial], int]) -> int:
    """Run a case; return its exit status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    trial = Trial(folder)
    try:
        status = case(trial)
    except Exception:
        trial.note("the case could not run: " + traceback.format_exc())
        status = NOT_RUN
    finally:
        if "status" in locals():
            trial.note(f"exit status {status}")
        trial.close()
    return status


def exchange(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Send one request on a new connection; return status 0 if there is no answer."""
    connection = http.client.HTTPConnection(address, timeout=3.0)
    content = None if body is None else json.dumps(body).encode()
    try:
        connection.request(method, path, content, headers or {})
        answer = connection.getresponse()
        data = answer.read()
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
    try:
        return answer.status, json.loads(data) if data else None
    except ValueError:
        return answer.status, None


def find_free_ports() -> tuple[int, int, int]:
    """Return three free ports of the loopback interface."""
    sockets = [socket.socket() for _ in range(3)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports[0], ports[1], ports[2]


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as the deploy page says, as far as the project uses it."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        value = find(match[1])
        return match[2].replace("{{.}}", str(value)) if value is not None else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(
        r"\{\{([\w.]+)\}\}",
        lambda m: "" if find(m[1]) is None else str(find(m[1])),
        text,
    )
