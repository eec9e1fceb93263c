"""Tells a bad worker from a bad job by comparing failures across both."""

import math
from collections import defaultdict, deque
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

WINDOW_SECONDS = 1800.0
"""Age after which an outcome no longer counts."""

MIN_FAILED_JOBS = 3
"""Different jobs that must fail on a worker before it can be quarantined."""

MIN_ODDS = 100.0
"""How much likelier the outcomes must be on a bad worker than on a good one."""

BAD_WORKER_FAILURE_RATE = 0.9
"""Failure rate that a bad worker is assumed to have."""

MAX_GOOD_WORKERS_FAILED = 3
"""Good workers on which a job may fail before it is parked."""

PROBATION_SECONDS = 600.0
"""Time in quarantine before the first trial; doubles with each failed trial."""

MAX_PROBATION_SECONDS = 6 * 3600.0
"""Longest time between trials, so that a repaired worker comes back within a day."""

TRIALS_TO_RECOVER = 3
"""Tasks of different jobs that have to succeed on probation."""

MAX_QUARANTINED_FRACTION = 0.2
"""Beyond this part of the workers the cause is taken to lie elsewhere."""


MAX_OUTCOMES = 32
"""Latest outcomes kept per worker; bounds the work of an update."""

FAILURE_CHANCE = 0.2
"""Least chance of failure on a good worker that is granted to any job."""

MAX_WORKERS_FAILED = 6
"""Workers, proven good or not, on which a job may fail before it is parked."""


class TaskOutcome(NamedTuple):
    """How a task ended on a worker. Lost workers and cancellations are left out."""

    job_id: str
    queue: str
    vm_id: str
    is_failed: bool
    ended_at: float


class WorkerState(StrEnum):
    """Health of a worker."""

    GOOD = "good"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


class _Quarantine(NamedTuple):
    until: float
    n_times: int
    is_on_probation: bool = False
    n_succeeded: int = 0


class WorkerHealth:
    """Outcomes of a pool's tasks and what follows from them.

    Args:
        n_workers: workers of the pool, for the limit on quarantines.
    """

    def __init__(self, n_workers: int) -> None:
        if n_workers < 1:
            raise ValueError(f"n_workers must be >= 1, got {n_workers!r}")
        self._n_workers = n_workers
        self._outcomes_by_vm: dict[str, deque[TaskOutcome]] = defaultdict(
            lambda: deque(maxlen=MAX_OUTCOMES)
        )
        self._last_by_queue_and_vm: dict[str, dict[str, TaskOutcome]] = defaultdict(
            dict
        )
        self._last_success_by_vm: dict[str, float] = {}
        self._vms_by_failed_job: dict[str, dict[str, float]] = defaultdict(dict)
        self._succeeded_jobs: dict[str, float] = {}
        self._quarantine_by_vm: dict[str, _Quarantine] = {}

    def add(self, outcome: TaskOutcome) -> None:
        """Take in the end of a task."""
        self._outcomes_by_vm[outcome.vm_id].append(outcome)
        self._last_by_queue_and_vm[outcome.queue][outcome.vm_id] = outcome
        if outcome.is_failed:
            failed = self._vms_by_failed_job[outcome.job_id]
            failed[outcome.vm_id] = outcome.ended_at
        else:
            self._succeeded_jobs[outcome.job_id] = outcome.ended_at
            self._last_success_by_vm[outcome.vm_id] = outcome.ended_at
        self._judge_trial(outcome)

    def _judge_trial(self, outcome: TaskOutcome) -> None:
        held = self._quarantine_by_vm.get(outcome.vm_id)
        if held is None or not held.is_on_probation:
            return
        if not outcome.is_failed:
            held = held._replace(n_succeeded=held.n_succeeded + 1)
            self._quarantine_by_vm[outcome.vm_id] = held
            if held.n_succeeded >= TRIALS_TO_RECOVER:
                self._recover(outcome.vm_id)
            return
        if self._suspicion(outcome) > 0.5:
            return
        wait = min(MAX_PROBATION_SECONDS, PROBATION_SECONDS * 2**held.n_times)
        self._quarantine_by_vm[outcome.vm_id] = _Quarantine(
            outcome.ended_at + wait, held.n_times + 1
        )

    def _recover(self, vm_id: str) -> None:
        del self._quarantine_by_vm[vm_id]
        self._outcomes_by_vm[vm_id].clear()

    def update(self, now: float) -> list[str]:
        """Forget old outcomes, start due probations and quarantine bad workers.

        Args:
            now: seconds on the clock of the outcomes.

        Returns:
            Workers that are quarantined by this call.
        """
        self._forget(now - WINDOW_SECONDS)
        for vm_id, held in self._quarantine_by_vm.items():
            if not held.is_on_probation and now >= held.until:
                self._quarantine_by_vm[vm_id] = held._replace(is_on_probation=True)
        odds_by_vm = {vm: self._odds(vm) for vm in self._outcomes_by_vm}
        bad = [
            vm
            for vm, odds in sorted(odds_by_vm.items(), key=lambda item: -item[1])
            if odds >= MIN_ODDS and vm not in self._quarantine_by_vm
        ]
        n_allowed = max(1, int(self._n_workers * MAX_QUARANTINED_FRACTION))
        bad = bad[: max(0, n_allowed - len(self._quarantine_by_vm))]
        for vm_id in bad:
            self._quarantine_by_vm[vm_id] = _Quarantine(now + PROBATION_SECONDS, 1)
            self._outcomes_by_vm[vm_id].clear()
        return bad

    def _forget(self, before: float) -> None:
        for outcomes in self._outcomes_by_vm.values():
            while outcomes and outcomes[0].ended_at < before:
                outcomes.popleft()
        for job_id in [j for j, at in self._succeeded_jobs.items() if at < before]:
            del self._succeeded_jobs[job_id]
        for job_id, vms in list(self._vms_by_failed_job.items()):
            if max(vms.values()) < before:
                del self._vms_by_failed_job[job_id]
        for last_by_vm in self._last_by_queue_and_vm.values():
            for vm_id in [
                v for v, last in last_by_vm.items() if last.ended_at < before
            ]:
                del last_by_vm[vm_id]

    def _odds(self, vm_id: str) -> float:
        """Return how much likelier a worker's latest outcomes are if it is bad.

        The largest odds over all latest stretches count, so that successes from before
        a worker broke do not hide its failures (a CUSUM test).
        """
        logarithm, largest = 0.0, 0.0
        failed_jobs: set[str] = set()
        for outcome in reversed(self._outcomes_by_vm[vm_id]):
            if not outcome.is_failed:
                logarithm += math.log(1 - BAD_WORKER_FAILURE_RATE)
            elif outcome.job_id not in failed_jobs:
                failed_jobs.add(outcome.job_id)
                logarithm += math.log(
                    BAD_WORKER_FAILURE_RATE / self._suspicion(outcome)
                )
            if len(failed_jobs) >= MIN_FAILED_JOBS:
                largest = max(largest, logarithm)
        return math.exp(largest)

    def _suspicion(self, outcome: TaskOutcome) -> float:
        """Return the chance that a job fails on a good worker.

        It rises with the other workers on which the job failed, and with the part of
        the other workers on which its queue's latest task failed: counted by worker,
        since one bad worker that fails fast yields most of all failures.
        """
        if outcome.job_id in self._succeeded_jobs:
            return 0.05
        n_elsewhere = sum(
            vm != outcome.vm_id and vm not in self._quarantine_by_vm
            for vm in self._vms_by_failed_job.get(outcome.job_id, ())
        )
        by_job = (FAILURE_CHANCE, 0.6, BAD_WORKER_FAILURE_RATE)[min(2, n_elsewhere)]
        others = [
            last.is_failed
            for vm, last in self._last_by_queue_and_vm[outcome.queue].items()
            if vm != outcome.vm_id and vm not in self._quarantine_by_vm
        ]
        by_queue = sum(others) / len(others) if others else 0.0
        return min(BAD_WORKER_FAILURE_RATE, max(by_job, by_queue))

    def state_of(self, vm_id: str) -> WorkerState:
        """Return the health of a worker; on probation it may get one task."""
        held = self._quarantine_by_vm.get(vm_id)
        if held is None:
            return WorkerState.GOOD
        if held.is_on_probation:
            return WorkerState.PROBATION
        return WorkerState.QUARANTINED

    def reason_to_park(self, job_id: str, failed_vms: Iterable[str]) -> str | None:
        """Return why a job that failed must not be tried again, or ``None``.

        A worker is proven good for this job once another task succeeded on it after
        the job failed there. Without that, a worker that has just broken would get
        good jobs parked.

        Args:
            job_id: the job.
            failed_vms: workers on which it failed.

        Returns:
            The reason once the job failed on enough workers that are good.
        """
        failed = {vm for vm in failed_vms if self.state_of(vm) is WorkerState.GOOD}
        failed_at = self._vms_by_failed_job.get(job_id, {})
        proven = {
            vm
            for vm in failed
            if self._last_success_by_vm.get(vm, -math.inf) > failed_at.get(vm, math.inf)
        }
        if len(proven) >= MAX_GOOD_WORKERS_FAILED:
            return f"failed on {len(proven)} good workers: {', '.join(sorted(proven))}"
        if len(failed) >= MAX_WORKERS_FAILED:
            return f"failed on {len(failed)} workers: {', '.join(sorted(failed))}"
        return None
