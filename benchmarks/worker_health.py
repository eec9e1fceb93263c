"""Time to quarantine bad workers, false quarantines and good jobs parked.

A quarantined worker gets no new jobs; a parked job is not retried.
Bad workers fail every task after a second. Their slots are soon free again, so they
get more jobs than good workers.
"""

from collections import defaultdict, deque
from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple, Protocol

from catkinport.policy.worker_health import TaskOutcome, WorkerHealth, WorkerState
from catkinport.ports.clock import ManualClock

from .registry import Figure, register

N_WORKERS = 150
SLOTS_PER_WORKER = 8
N_BAD_WORKERS = 4
BAD_JOB_FRACTION = 0.03
FAILURE_PROBABILITY = 0.01
WORKERS_BREAK_AT = 300.0
RUN_SECONDS = 1800.0
BAD_RELEASE_AT = 900.0
"""Time from which all jobs of one queue fail, as after a bad release of a program."""


class HealthPolicy(Protocol):
    """Policy that decides which workers to quarantine and which jobs to park."""

    def add(self, outcome: TaskOutcome) -> None:
        """Record the end of a task."""
        ...

    def update(self, now: float) -> list[str]:
        """Return the workers that are newly quarantined."""
        ...

    def state_of(self, vm_id: str) -> WorkerState:
        """Return the health of a worker."""
        ...

    def reason_to_park(self, job_id: str, failed_vms: Iterable[str]) -> str | None:
        """Return why a job must not be retried; ``None`` if it may be."""
        ...


class CountFailures:
    """Baseline that quarantines a worker after 3 failures in 10 minutes.

    It parks a job, which is then not retried, after 3 failures.
    """

    def __init__(self) -> None:
        self._failed_at_by_vm: dict[str, deque[float]] = defaultdict(deque)
        self._quarantined: set[str] = set()

    def add(self, outcome: TaskOutcome) -> None:
        """Count a failure."""
        if outcome.is_failed:
            self._failed_at_by_vm[outcome.vm_id].append(outcome.ended_at)

    def update(self, now: float) -> list[str]:
        """Return the workers that newly reached 3 failures in 10 minutes."""
        bad = []
        for vm_id, failed_at in self._failed_at_by_vm.items():
            while failed_at and failed_at[0] < now - 600:
                failed_at.popleft()
            if len(failed_at) >= 3 and vm_id not in self._quarantined:
                bad.append(vm_id)
        self._quarantined.update(bad)
        return bad

    def state_of(self, vm_id: str) -> WorkerState:
        """Return the health of a worker."""
        is_bad = vm_id in self._quarantined
        return WorkerState.QUARANTINED if is_bad else WorkerState.GOOD

    def reason_to_park(self, job_id: str, failed_vms: Iterable[str]) -> str | None:
        """Return a reason to park after 3 failures on any workers."""
        return "failed 3 times" if len(list(failed_vms)) >= 3 else None


class Outcome(NamedTuple):
    """Seconds from the first failure of each bad worker to quarantine, and counts."""

    times_to_quarantine: Sequence[float]
    n_false_quarantines: int
    n_good_jobs_parked: int
    n_bad_jobs_parked: int
    n_failures_on_bad_workers: int


class _Job(NamedTuple):
    job_id: str
    queue: str
    is_bad: bool
    failed_vms: tuple[str, ...] = ()


class _Fleet:
    """Simulated fleet that runs jobs on all workers that are not quarantined."""

    def __init__(self, policy: HealthPolicy, seed: int) -> None:
        self.policy = policy
        self.clock = ManualClock()
        self._rng = Random(seed)
        self.vms = [f"vm-{n:03d}" for n in range(N_WORKERS)]
        self.bad_vms = set(self._rng.sample(self.vms, N_BAD_WORKERS))
        self.quarantined_at: dict[str, float] = {}
        self.first_failure_at: dict[str, float] = {}
        self.n_failures_on_bad = 0
        self.parked: list[_Job] = []
        self._running: list[tuple[float, _Job, str, bool]] = []
        self._retries: list[_Job] = []
        self._n_jobs = 0

    def step(self) -> None:
        """Advance by a second: end tasks, update quarantines and start jobs."""
        self.clock.advance(1.0)
        now = self.clock.now()
        ended = [task for task in self._running if task[0] <= now]
        self._running = [task for task in self._running if task[0] > now]
        for _, job, vm_id, is_failed in ended:
            self._end(job, vm_id, is_failed)
        for vm_id in self.policy.update(now):
            self.quarantined_at.setdefault(vm_id, now)
        self._start_jobs()

    def _end(self, job: _Job, vm_id: str, is_failed: bool) -> None:
        now = self.clock.now()
        self.policy.add(TaskOutcome(job.job_id, job.queue, vm_id, is_failed, now))
        if not is_failed:
            return
        if vm_id in self.bad_vms and now >= WORKERS_BREAK_AT:
            self.first_failure_at.setdefault(vm_id, now)
            self.n_failures_on_bad += 1
        job = job._replace(failed_vms=(*job.failed_vms, vm_id))
        if self.policy.reason_to_park(job.job_id, job.failed_vms):
            self.parked.append(job)
        else:
            self._retries.append(job)

    def _start_jobs(self) -> None:
        n_running: dict[str, int] = defaultdict(int)
        for _, _, vm_id, _ in self._running:
            n_running[vm_id] += 1
        for vm_id in self.vms:
            state = self.policy.state_of(vm_id)
            if state is WorkerState.QUARANTINED:
                continue
            slots = 1 if state is WorkerState.PROBATION else SLOTS_PER_WORKER
            while n_running[vm_id] < slots:
                n_running[vm_id] += 1
                self._start(vm_id)

    def _start(self, vm_id: str) -> None:
        now = self.clock.now()
        job = self._next_job(vm_id)
        seconds = self._rng.expovariate(1 / 60.0) + 1.0
        is_failed = job.is_bad or self._rng.random() < FAILURE_PROBABILITY
        if vm_id in self.bad_vms and now >= WORKERS_BREAK_AT:
            is_failed, seconds = True, 1.0
        elif is_failed:
            seconds = min(seconds, self._rng.uniform(1.0, 20.0))
        self._running.append((now + seconds, job, vm_id, is_failed))

    def _next_job(self, vm_id: str) -> _Job:
        for index, job in enumerate(self._retries):
            if vm_id not in job.failed_vms:
                return self._retries.pop(index)
        self._n_jobs += 1
        queue = f"queue-{self._rng.randrange(10)}"
        is_bad = self._rng.random() < BAD_JOB_FRACTION
        if queue == "queue-0" and self.clock.now() >= BAD_RELEASE_AT:
            is_bad = True
        return _Job(f"job-{self._n_jobs}", queue, is_bad)


def measure(policy: HealthPolicy, seed: int) -> Outcome:
    """Run a simulated fleet whose bad workers break at ``WORKERS_BREAK_AT``."""
    fleet = _Fleet(policy, seed)
    for _ in range(int(RUN_SECONDS)):
        fleet.step()
    times = [
        fleet.quarantined_at.get(vm_id, RUN_SECONDS) - fleet.first_failure_at[vm_id]
        for vm_id in fleet.bad_vms
        if vm_id in fleet.first_failure_at
    ]
    return Outcome(
        times,
        len(fleet.quarantined_at.keys() - fleet.bad_vms),
        sum(not job.is_bad for job in fleet.parked),
        sum(job.is_bad for job in fleet.parked),
        fleet.n_failures_on_bad,
    )


@register("worker_health")
def run() -> list[Figure]:
    """Measure 4 bad workers of 150, 3% bad jobs and a bad release on one queue."""
    baseline = measure(CountFailures(), 1)
    product = measure(WorkerHealth(N_WORKERS), 1)
    setting = f"{N_BAD_WORKERS} bad of {N_WORKERS} workers, 3% bad jobs, a bad queue"
    return [
        Figure(
            setting,
            "time to quarantine, worst, s",
            max(product.times_to_quarantine),
            max(baseline.times_to_quarantine),
            0.0,
            30.0,
            is_promise=True,
        ),
        Figure(
            setting,
            "false quarantines",
            product.n_false_quarantines,
            baseline.n_false_quarantines,
            0,
            0,
            is_promise=True,
        ),
        Figure(
            setting,
            "good jobs parked",
            product.n_good_jobs_parked,
            baseline.n_good_jobs_parked,
            0,
            0,
        ),
        Figure(
            setting,
            "failures on bad workers",
            product.n_failures_on_bad_workers,
            baseline.n_failures_on_bad_workers,
        ),
        Figure(
            setting,
            "bad jobs parked (information)",
            product.n_bad_jobs_parked,
            baseline.n_bad_jobs_parked,
        ),
    ]
