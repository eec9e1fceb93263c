"""Utilization of a pool whose declared job sizes are up to ten times wrong.

Each queue has its own factor of error, 0.1 to 10, around which the errors of its jobs
vary. Jobs reserve their declared size (baseline), the corrected size (product) or their
true size (bound).
"""

from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from catkinport.policy.placement import Resources, TeamView, plan_placement
from catkinport.policy.size_estimates import SizeEstimates, UsageReport

from .fake_pool import (
    CORES_PER_WORKER,
    MEMORY_PER_WORKER_GB,
    Attempt,
    FakeJob,
    FakePool,
    make_workers,
)
from .registry import Figure, register

N_WORKERS = 36
N_QUEUES = 12
SECONDS = 1800.0
WARM_UP_SECONDS = 600.0
ROUND_SECONDS = 2.0
REPORT_SECONDS = 10.0
WAITING_PER_QUEUE = 12

Estimate = Callable[[FakeJob], Resources]


class Utilization(NamedTuple):
    """Mean fractions of idle cores and of overloaded workers after the warm-up."""

    idle_cores: float
    overloaded_workers: float


class Load:
    """Load generator that keeps ``WAITING_PER_QUEUE`` jobs of each queue waiting."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(seed)
        self._factors = [10 ** self._rng.uniform(-1, 1) for _ in range(N_QUEUES)]
        self._n_jobs = 0

    def update(self, pool: FakePool) -> None:
        """Submit jobs until each queue has ``WAITING_PER_QUEUE`` jobs waiting."""
        n_waiting: dict[str, int] = defaultdict(int)
        for job, _ in pool.waiting.values():
            n_waiting[job.queue] += 1
        for n in range(N_QUEUES):
            for _ in range(WAITING_PER_QUEUE - n_waiting[f"queue-{n}"]):
                pool.submit(self._make_job(n, pool.clock.now()))

    def _make_job(self, n_queue: int, now: float) -> FakeJob:
        self._n_jobs += 1
        cores = self._rng.uniform(0.5, 6.0)
        size = Resources(cores, cores * self._rng.uniform(1.0, 4.0), 0.0)
        error = self._factors[n_queue] * self._rng.lognormvariate(0.0, 0.2)
        declared = Resources(
            min(CORES_PER_WORKER * 0.8, size.cores * error),
            min(MEMORY_PER_WORKER_GB * 0.8, size.memory_gb * error),
            0.0,
        )
        return FakeJob(
            f"job-{self._n_jobs}",
            f"queue-{n_queue}",
            f"team-{n_queue % 6}",
            False,
            True,
            size,
            declared,
            self._rng.uniform(60.0, 300.0),
            now,
        )


def measure(estimate: Estimate, estimates: SizeEstimates, seed: int) -> Utilization:
    """Run a pool whose jobs reserve the size that ``estimate`` returns."""
    teams = [TeamView(f"team-{n}", 1.0, float("inf")) for n in range(6)]
    pool = FakePool(
        make_workers(N_WORKERS), teams, plan_placement, seed, ROUND_SECONDS, estimate
    )
    load = Load(seed)
    idle, overloaded, n_rounds = 0.0, 0.0, 0
    while pool.clock.now() < SECONDS:
        load.update(pool)
        pool.step()
        now = pool.clock.now()
        if now % REPORT_SECONDS == 0:
            for attempt in pool.running.values():
                estimates.add(_report(attempt, now))
        if now >= WARM_UP_SECONDS:
            utilization = _measure_utilization(pool)
            idle += utilization.idle_cores
            overloaded += utilization.overloaded_workers
            n_rounds += 1
    return Utilization(idle / n_rounds, overloaded / n_rounds)


def _report(attempt: Attempt, now: float) -> UsageReport:
    job = attempt.job
    age = now - attempt.checkpointed_at - REPORT_SECONDS
    return UsageReport(job.queue, job.team, job.job_id, job.declared, job.size, age)


def _measure_utilization(pool: FakePool) -> Utilization:
    cores_by_vm: dict[str, float] = defaultdict(float)
    memory_by_vm: dict[str, float] = defaultdict(float)
    for attempt in pool.running.values():
        cores_by_vm[attempt.vm_id] += attempt.job.size.cores
        memory_by_vm[attempt.vm_id] += attempt.job.size.memory_gb
    n_workers = len(pool.workers)
    used_cores = sum(min(CORES_PER_WORKER, cores) for cores in cores_by_vm.values())
    n_overloaded = sum(
        cores > CORES_PER_WORKER * 1.05 or memory_by_vm[vm_id] > MEMORY_PER_WORKER_GB
        for vm_id, cores in cores_by_vm.items()
    )
    return Utilization(
        1 - used_cores / (n_workers * CORES_PER_WORKER), n_overloaded / n_workers
    )


@register("size_estimates")
def run() -> list[Figure]:
    """Measure declared, corrected and true sizes on the same jobs."""
    estimates = SizeEstimates()

    def correct(job: FakeJob) -> Resources:
        size = estimates.correct(job.queue, job.team, job.declared)
        return Resources(
            min(size.cores, CORES_PER_WORKER * 0.8),
            min(size.memory_gb, MEMORY_PER_WORKER_GB * 0.8),
            0.0,
        )

    product = measure(correct, estimates, 1)
    baseline = measure(lambda job: job.declared, SizeEstimates(), 1)
    bound = measure(lambda job: job.size, SizeEstimates(), 1)
    setting = "36 workers, sizes off by up to 10 times"
    return [
        Figure(
            setting,
            "idle part of the processors",
            product.idle_cores,
            baseline.idle_cores,
            bound.idle_cores,
        ),
        Figure(
            setting,
            "part of the workers overloaded",
            product.overloaded_workers,
            baseline.overloaded_workers,
            bound.overloaded_workers,
        ),
    ]
