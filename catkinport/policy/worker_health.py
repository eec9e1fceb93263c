"""Tells bad workers from bad jobs by comparing failures across workers and jobs.

A bad worker is quarantined: it gets no tasks. After some time it is on probation and
gets one task at a time; it recovers once enough of these trials succeed. A job that
fails on several good workers is parked: it is not tried again.
"""

import math
from collections import defaultdict, deque
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

WINDOW_SECONDS = 1800.0
"""Age after which the outcome of a task no longer counts."""

MIN_FAILED_JOBS = 3
"""Fewest different jobs that must fail on a worker before it is quarantined."""

MIN_LIKELIHOOD_RATIO = 100.0
"""Smallest likelihood ratio, of the outcomes on a bad worker to those on a good one,
from which a worker is quarantined."""

BAD_WORKER_FAILURE_RATE = 0.9
"""Failure rate that a bad worker is assumed to have."""

MAX_GOOD_WORKERS_FAILED = 3
"""Good workers on which a job may fail before it is parked."""

QUARANTINE_SECONDS = 600.0
"""Time in quarantine before the first trial; it doubles with each failed trial."""

MAX_QUARANTINE_SECONDS = 6 * 3600.0
"""Longest time in quarantine, so that a repaired worker is back within a day."""

TRIALS_TO_RECOVER = 3
"""Tasks that have to succeed on probation before a worker recovers."""

MAX_QUARANTINED_FRACTION = 0.2
"""Largest fraction of the workers that is quarantined. If more workers seem bad, the
cause is assumed not to be the workers."""

MAX_OUTCOMES = 32
"""Number of latest outcomes kept per worker; bounds the work of an update."""

DEFAULT_FAILURE_RATE = 0.2
"""Failure rate on good workers of a job that neither succeeded nor failed elsewhere."""

MAX_WORKERS_FAILED = 6
"""Workers, whether proven good or not, on which a job may fail before it is parked."""


class TaskOutcome(NamedTuple):
    """Outcome of a task on a worker, except a cancellation or loss of the worker."""

    job_id: str
    queue: str
    vm_id: str
    is_failed: bool
    ended_at: float


class WorkerState(StrEnum):
    """Health state of a worker."""

    GOOD = "good"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


class _Quarantine(NamedTuple):
    """Quarantine of a worker; ``n_times`` counts those since it was last good."""

    until: float
    n_times: int
    is_on_probation: bool = False
    n_succeeded: int = 0


class WorkerHealth:
    """Health of a pool's workers and jobs, derived from the outcomes of tasks.

    Args:
        n_workers: number of workers in the pool, for the limit on quarantines.
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
        """Record the outcome of a task."""
        self._outcomes_by_vm[outcome.vm_id].append(outcome)
        self._last_by_queue_and_vm[outcome.queue][outcome.vm_id] = outcome
        if outcome.is_failed:
            failed = self._vms_by_failed_job[outcome.job_id]
            failed[outcome.vm_id] = outcome.ended_at
        else:
            self._succeeded_jobs[outcome.job_id] = outcome.ended_at
            self._last_success_by_vm[outcome.vm_id] = outcome.ended_at
        self._record_trial(outcome)

    def _record_trial(self, outcome: TaskOutcome) -> None:
        quarantine = self._quarantine_by_vm.get(outcome.vm_id)
        if quarantine is None or not quarantine.is_on_probation:
            return
        if not outcome.is_failed:
            quarantine = quarantine._replace(n_succeeded=quarantine.n_succeeded + 1)
            self._quarantine_by_vm[outcome.vm_id] = quarantine
            if quarantine.n_succeeded >= TRIALS_TO_RECOVER:
                self._recover(outcome.vm_id)
            return
        if self._good_worker_failure_rate(outcome) > 0.5:
            return
        wait = min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2**quarantine.n_times)
        self._quarantine_by_vm[outcome.vm_id] = _Quarantine(
            outcome.ended_at + wait, quarantine.n_times + 1
        )

    def _recover(self, vm_id: str) -> None:
        del self._quarantine_by_vm[vm_id]
        self._outcomes_by_vm[vm_id].clear()

    def update(self, now: float) -> list[str]:
        """Forget old outcomes, start due probations and quarantine bad workers.

        Args:
            now: current time in seconds, on the clock of the outcomes.

        Returns:
            The VM ids of workers that this call has quarantined.
        """
        self._drop_outcomes(now - WINDOW_SECONDS)
        for vm_id, quarantine in self._quarantine_by_vm.items():
            if not quarantine.is_on_probation and now >= quarantine.until:
                self._quarantine_by_vm[vm_id] = quarantine._replace(
                    is_on_probation=True
                )
        ratio_by_vm = {vm: self._likelihood_ratio(vm) for vm in self._outcomes_by_vm}
        bad = [
            vm
            for vm, ratio in sorted(ratio_by_vm.items(), key=lambda item: -item[1])
            if ratio >= MIN_LIKELIHOOD_RATIO and vm not in self._quarantine_by_vm
        ]
        n_allowed = max(1, int(self._n_workers * MAX_QUARANTINED_FRACTION))
        bad = bad[: max(0, n_allowed - len(self._quarantine_by_vm))]
        for vm_id in bad:
            self._quarantine_by_vm[vm_id] = _Quarantine(now + QUARANTINE_SECONDS, 1)
            self._outcomes_by_vm[vm_id].clear()
        return bad

    def _drop_outcomes(self, before: float) -> None:
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

    def _likelihood_ratio(self, vm_id: str) -> float:
        """Return how much likelier a worker's latest outcomes are if it is bad.

        The result is the largest ratio over all series of outcomes up to the latest
        one, so that successes from before a worker broke do not hide its failures (a
        CUSUM test). Repeated failures of one job count once.
        """
        log_ratio, largest_log_ratio = 0.0, 0.0
        failed_jobs: set[str] = set()
        for outcome in reversed(self._outcomes_by_vm[vm_id]):
            if not outcome.is_failed:
                log_ratio += math.log(1 - BAD_WORKER_FAILURE_RATE)
            elif outcome.job_id not in failed_jobs:
                failed_jobs.add(outcome.job_id)
                log_ratio += math.log(
                    BAD_WORKER_FAILURE_RATE / self._good_worker_failure_rate(outcome)
                )
            if len(failed_jobs) >= MIN_FAILED_JOBS:
                largest_log_ratio = max(largest_log_ratio, log_ratio)
        return math.exp(largest_log_ratio)

    def _good_worker_failure_rate(self, outcome: TaskOutcome) -> float:
        """Return the probability that a job fails on a good worker.

        It is small for a job that has succeeded. For other jobs it rises with the
        number of other workers on which the job failed, and with the fraction of other
        workers on which the latest task of its queue failed. This is counted by worker,
        because a single bad worker on which tasks fail fast causes most of all
        failures.
        """
        if outcome.job_id in self._succeeded_jobs:
            return 0.05
        n_elsewhere = sum(
            vm != outcome.vm_id and vm not in self._quarantine_by_vm
            for vm in self._vms_by_failed_job.get(outcome.job_id, ())
        )
        rate_by_job = (DEFAULT_FAILURE_RATE, 0.6, BAD_WORKER_FAILURE_RATE)[
            min(2, n_elsewhere)
        ]
        others = [
            last.is_failed
            for vm, last in self._last_by_queue_and_vm[outcome.queue].items()
            if vm != outcome.vm_id and vm not in self._quarantine_by_vm
        ]
        rate_by_queue = sum(others) / len(others) if others else 0.0
        return min(BAD_WORKER_FAILURE_RATE, max(rate_by_job, rate_by_queue))

    def state_of(self, vm_id: str) -> WorkerState:
        """Return the health state; a worker on probation may get one task at a time."""
        quarantine = self._quarantine_by_vm.get(vm_id)
        if quarantine is None:
            return WorkerState.GOOD
        if quarantine.is_on_probation:
            return WorkerState.PROBATION
        return WorkerState.QUARANTINED

    def reason_to_park(self, job_id: str, failed_vms: Iterable[str]) -> str | None:
        """Return why a job that failed must not be tried again, or ``None``.

        A worker is proven good for this job once another task succeeded on it after
        the job failed there. Without that rule, a worker that has just broken, but is
        not yet quarantined, would cause good jobs to be parked.

        Args:
            job_id: the job.
            failed_vms: VM ids of the workers on which it failed.

        Returns:
            The reason, if the job has failed on enough good workers.
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
