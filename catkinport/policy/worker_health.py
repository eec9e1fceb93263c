"""Tells a bad worker from a bad job by comparing failures across both."""

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
        self._outcomes_by_vm: dict[str, deque[TaskOutcome]] = defaultdict(deque)
        self._vms_by_failed_job: dict[str, dict[str, float]] = defaultdict(dict)
        self._succeeded_jobs: dict[str, float] = {}
        self._quarantine_by_vm: dict[str, _Quarantine] = {}

    def add(self, outcome: TaskOutcome) -> None:
        """Take in the end of a task."""
        self._outcomes_by_vm[outcome.vm_id].append(outcome)
        if outcome.is_failed:
            failed = self._vms_by_failed_job[outcome.job_id]
            failed[outcome.vm_id] = outcome.ended_at
        else:
            self._succeeded_jobs[outcome.job_id] = outcome.ended_at
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
        if self._suspicion(outcome.job_id, outcome.vm_id) > 0.5:
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

    def _odds(self, vm_id: str) -> float:
        """Return how much likelier a worker's outcomes are if it is bad.

        A failure says little of the worker when the job fails elsewhere too, and a
        success speaks strongly for the worker.
        """
        outcomes = self._outcomes_by_vm[vm_id]
        failed_jobs = {outcome.job_id for outcome in outcomes if outcome.is_failed}
        if len(failed_jobs) < MIN_FAILED_JOBS:
            return 0.0
        odds = 1.0
        for job_id in failed_jobs:
            odds *= BAD_WORKER_FAILURE_RATE / self._suspicion(job_id, vm_id)
        n_succeeded = sum(not outcome.is_failed for outcome in outcomes)
        return float(odds * (1 - BAD_WORKER_FAILURE_RATE) ** n_succeeded)

    def _suspicion(self, job_id: str, vm_id: str) -> float:
        """Return the chance that a job fails on a good worker."""
        if job_id in self._succeeded_jobs:
            return 0.05
        n_elsewhere = len(self._vms_by_failed_job.get(job_id, {}).keys() - {vm_id})
        return (0.2, 0.6, 0.9)[min(2, n_elsewhere)]

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

        Args:
            job_id: the job.
            failed_vms: workers on which it failed.

        Returns:
            The reason once the job failed on enough workers that are good.
        """
        good = sorted(
            vm for vm in set(failed_vms) if self.state_of(vm) is WorkerState.GOOD
        )
        if len(good) < MAX_GOOD_WORKERS_FAILED:
            return None
        return f"failed on {len(good)} good workers: {', '.join(good)}"
