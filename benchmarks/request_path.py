"""Latency and cost of a request through an entry, compared with a direct call.

The entry, the platform stand-in and the backend server are processes of their own. The
load comes from threads of this process, which limits the rate of both paths equally.
"""

import os
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import urllib3

from catkinport.adapters import HttpClient, HttpTable
from catkinport.ports import Transaction, Write
from catkinport.settings.keys import hash_secret
from catkinport.state import CHANGES_WRITE, CONFIGURATION, GENERATION, pool_key

from .registry import Figure, register

SECRET = "s" * 43
SALT = "0a" * 16
DOCUMENT = f"""\
[catkinport]
format = 1

[operator ana]
salt = {SALT}
digest = {"0b" * 32}

[team a]
max_slots = 200
max_cores = 100

[account acc]
team = a

[key k]
account = acc
salt = {SALT}
digest = {hash_secret(SECRET, SALT).digest}

[pool p]
max_unavailable = 1

[pool spare]
spare = yes

[service s]
pool = p
slots = 64
connections = 64

[queue q]
service = s
teams = a
"""
SETTINGS = """\
[process]
name = entry-1
zone = z

[platform]
table = {platform}
objects = {platform}
vm_list = {platform}

[cluster]
key = {key}

[stop]
balancer_lag_seconds = 0
drain_deadline_seconds = 5
"""
MEASURED_SECONDS = 3.0
IDLE_SECONDS = 5.0
CONNECTIONS = (1, 16, 60)


class Usage(NamedTuple):
    """Processor time so far in seconds, and resident memory in MB."""

    cpu_seconds: float
    resident_mb: float


class PathFigures(NamedTuple):
    """Latencies of one path in milliseconds, and its rate in requests per second."""

    median: float
    p99: float
    rate: float


class _Child:
    """A child process that prints ``listening on ADDRESS`` when it is ready."""

    def __init__(self, module: str, *arguments: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        line = self._process.stdout.readline()
        while not line.startswith("listening on "):
            if not line:
                raise RuntimeError(f"{module} ended without listening")
            line = self._process.stdout.readline()
        self.address = line.split()[-1]

    def read_usage(self) -> Usage:
        proc = Path(f"/proc/{self._process.pid}")
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        resident = re.search(r"VmRSS:\s+(\d+)", (proc / "status").read_text())
        return Usage(ticks / os.sysconf("SC_CLK_TCK"), int(resident[1]) / 1024)

    def stop(self) -> None:
        self._process.terminate()
        try:
            self._process.wait(10)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process.stdout.close()


def _write_initial_rows(platform: str, backend: str) -> None:
    vm = {"backend_address": backend, "worker_address": "", "zone": "z", "rack": "r"}
    configuration = {
        "revision": 1,
        "digest": "",
        "change_id": "",
        "document": DOCUMENT,
        "accepted_by": "",
        "operator": "ana",
        "history": [],
    }
    pool = {"serving_vm_by_id": {"vm": vm}, "reason_by_disrupted_vm": {}}
    writes = [
        Write(CONFIGURATION, configuration),
        Write(GENERATION, {"generation": 1}),
        Write(pool_key("p"), pool),
        CHANGES_WRITE,
    ]
    HttpTable(HttpClient(platform)).commit(Transaction([], writes))


def _measure(address: str, path: str, headers: dict, n_connections: int) -> PathFigures:
    host, _, port = address.partition(":")
    ends_at = time.perf_counter() + MEASURED_SECONDS

    def run(_: int) -> list[float]:
        latencies = []
        with urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False, timeout=10
        ) as pool:
            while (started_at := time.perf_counter()) < ends_at:
                answer = pool.request("GET", path, headers=headers)
                if answer.status != 200:
                    raise RuntimeError(
                        f"status must be 200; got {answer.status}: {answer.data!r}"
                    )
                latencies.append(time.perf_counter() - started_at)
        return latencies

    with ThreadPoolExecutor(n_connections) as executor:
        runs = list(executor.map(run, range(n_connections)))
    latencies = sorted(latency for run in runs for latency in run)
    return PathFigures(
        latencies[len(latencies) // 2] * 1000,
        latencies[int(len(latencies) * 0.99)] * 1000,
        len(latencies) / MEASURED_SECONDS,
    )


def _wait_until_answering(address: str, path: str, headers: dict) -> None:
    http = urllib3.PoolManager(retries=False, timeout=10)
    deadline = time.monotonic() + 20
    while http.request("GET", f"http://{address}{path}", headers=headers).status != 200:
        if time.monotonic() > deadline:
            raise RuntimeError("the entry did not become ready in 20 s")
        time.sleep(0.1)


@register("request_path")
def measure_request_path() -> list[Figure]:
    """Measure latency, rate, processor time and memory of an entry."""
    children = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return _measure_all(Path(folder), children)
        finally:
            for child in reversed(children):
                child.stop()


def _measure_all(folder: Path, children: list[_Child]) -> list[Figure]:
    platform = _Child("catkinport.standins.platform")
    children.append(platform)
    backend = _Child("catkinport.standins.backend_server", "--slots", "64")
    children.append(backend)
    _write_initial_rows(platform.address, backend.address)
    settings = folder / "entry.ini"
    settings.write_text(SETTINGS.format(platform=platform.address, key="k" * 32))
    entry = _Child("catkinport.entry.main", "--settings", str(settings))
    children.append(entry)
    path = "/v1/queues/q/requests/x"
    headers = {"Authorization": f"Bearer k.{SECRET}"}
    _wait_until_answering(entry.address, path, headers)
    figures = _idle_figures(entry)
    for n_connections in CONNECTIONS:
        direct = _measure(backend.address, "/x", {}, n_connections)
        before = entry.read_usage()
        through = _measure(entry.address, path, headers, n_connections)
        after = entry.read_usage()
        cpu = (after.cpu_seconds - before.cpu_seconds) / MEASURED_SECONDS
        figures.extend(
            _loaded_figures(n_connections, through, direct, cpu, after.resident_mb)
        )
    return figures


def _idle_figures(entry: _Child) -> list[Figure]:
    before = entry.read_usage()
    time.sleep(IDLE_SECONDS)
    after = entry.read_usage()
    cpu = (after.cpu_seconds - before.cpu_seconds) / IDLE_SECONDS * 100
    return [
        Figure("idle entry", "processor, % of a core", cpu, target=4.9),
        Figure("idle entry", "resident memory, MB", after.resident_mb, target=64.0),
    ]


def _loaded_figures(
    n_connections: int,
    through: PathFigures,
    direct: PathFigures,
    cpu: float,
    resident: float,
) -> Sequence[Figure]:
    setting = f"{n_connections} connections"
    return [
        Figure(setting, "median, ms", through.median, bound=direct.median),
        Figure(setting, "p99, ms", through.p99, bound=direct.p99),
        Figure(
            setting,
            "us per request (1,000,000 / rate)",
            1e6 / through.rate,
            bound=1e6 / direct.rate,
        ),
        Figure(setting, "processor, % of a core", cpu * 100),
        Figure(setting, "resident memory, MB", resident),
    ]
