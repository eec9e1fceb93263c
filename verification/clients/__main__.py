"""Measure a daemon beside crowds of 1,500 clients, at the limits of the smallest VM."""

import random
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass

import cappa

from ..platform.caller import PlatformCaller
from ..platform.deployment import HOST, PlatformDeployment, PlatformSize
from ..processes import ProcessGroup
from .crowds import Crowd, Kind, build_kinds
from .usage import read_usage

MEMORY_MB = 160
MAX_DESCRIPTORS = 4100
N_CLIENTS = 1500
SEND_SECONDS = 20.0
HOLD_SECONDS = 3.0
SETTLE_SECONDS = 2.0
SUBMIT_PAUSE_SECONDS = 0.25
N_SUBMISSIONS_AFTER = 5

SIZE = PlatformSize(
    n_daemons=1,
    n_pools=1,
    n_vms=2,
    n_spare_vms=0,
    daemon_limits={"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS},
)


class Submitter:
    """Submits ordinary jobs and counts the statuses, each attempt once.

    Args:
        deployment: where the jobs are submitted.
    """

    def __init__(self, deployment: PlatformDeployment) -> None:
        self.n_by_status: Counter[int] = Counter()
        self.longest_seconds = 0.0
        self._rng = random.Random(1)
        self._caller = PlatformCaller(deployment.list_caller_addresses, self._rng)
        self._is_over = threading.Event()

    def submit(self) -> None:
        """Submit a job of its own id."""
        job_id = f"{self._rng.getrandbits(64):016x}"
        step = {"Count": 1, "Cpu": 100, "MemMb": 1, "EstimateMs": 50}
        body = {"Spec": "seconds=0.05", "Steps": [step]}
        began_at = time.monotonic()
        status, _ = self._caller.call("POST", "queue-0", job_id, "key-0", body)
        seconds = time.monotonic() - began_at
        self.longest_seconds = max(self.longest_seconds, seconds)
        self.n_by_status[status] += 1

    def run(self) -> None:
        """Submit jobs until `stop`."""
        while not self._is_over.wait(SUBMIT_PAUSE_SECONDS):
            self.submit()

    def stop(self) -> None:
        """End `run`."""
        self._is_over.set()


def measure(name: str, kinds: list[Kind], n_clients: int) -> bool:
    """Let one crowd come and go; print a line, and return whether all bounds held."""
    with ProcessGroup() as processes:
        deployment = PlatformDeployment(processes, SIZE)
        deployment.start()
        time.sleep(SETTLE_SECONDS)
        (daemon,) = deployment.daemon_by_name.values()
        pid = daemon.process.pid
        beside, after = Submitter(deployment), Submitter(deployment)
        thread = threading.Thread(target=beside.run)
        n_descriptors = 0
        with Crowd(daemon.caller_address, kinds, n_clients) as crowd:
            thread.start()
            try:
                n_connected = crowd.connect()
                crowd.send(SEND_SECONDS)
                if daemon.process.is_running:
                    n_descriptors = read_usage(pid).n_descriptors
                time.sleep(HOLD_SECONDS)
            finally:
                beside.stop()
                thread.join()
        for _ in range(N_SUBMISSIONS_AFTER):
            after.submit()
        if not daemon.process.is_running:
            print(f"| {name} | the daemon ended |", flush=True)
            return False
        usage = read_usage(pid)
        n_descriptors = max(n_descriptors, usage.n_descriptors)
    print(
        f"| {name} | {n_connected} | {usage.peak_kb / 1024:.1f} | {n_descriptors} "
        f"| {_format(beside)} | {_format(after)} |",
        flush=True,
    )
    is_small = usage.peak_kb < MEMORY_MB * 1024 and n_descriptors < MAX_DESCRIPTORS
    return is_small and set(beside.n_by_status) | set(after.n_by_status) == {200}


def _format(submitter: Submitter) -> str:
    counts = sorted(submitter.n_by_status.items())
    statuses = ", ".join(f"{n} x {status or 'no answer'}" for status, n in counts)
    return f"{statuses}; at most {submitter.longest_seconds:.2f} s"


@cappa.command(name="verification.clients")
@dataclass
class MeasureCommand:
    """Measure one kind of crowd after the other, then all kinds at once.

    Args:
        clients: number of clients of each crowd.
    """

    clients: int = N_CLIENTS

    def __call__(self) -> None:
        """Print a table; exit with status 1 if a bound was exceeded."""
        kinds = build_kinds(HOST, "/queue-0/", "key-0")
        crowds = {name: [kind] for name, kind in kinds.items()}
        crowds["all"] = list(kinds.values())
        print("| crowd | connected | peak MB | descriptors | beside | after |")
        print("|---|---|---|---|---|---|", flush=True)
        results = [measure(name, c, self.clients) for name, c in crowds.items()]
        sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    cappa.invoke(MeasureCommand)
