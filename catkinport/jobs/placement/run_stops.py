"""Finds the runs to stop and the filler tasks whose speed changes.

Filler tasks use only processors that other tasks leave idle. They are slowed down while
a task on the same worker is near or above its latency target.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from itertools import islice
from typing import NamedTuple

from ...policy.pacing import FULL_SPEED_PERCENT, LatencyTask, choose_speed_percent
from ...policy.rotation import rotate
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.task import TaskPhase
from ..workers.run import Run, RunKey, RunPhase
from ..workers.worker_failures import note_failed_run
from ..workers.worker_state import WorkerRecord

STOP_RETRY_SECONDS = 0.4
"""Time after which a stop order without an answer is sent again."""

UNCONFIRMED_START_SECONDS = 1.5
"""Longest time for which a start without an answer waits for a report of its worker
before it is stopped, if the worker's answers take no longer than usual. The time covers
a poll and the repetition of a lost one."""

STALL_FACTOR = 1.0
"""A run is stalled if it has made no progress for this many times its estimate."""

MAX_STOPS_PER_JOB = 64
"""Most stop orders for runs of one job on one worker in a round."""

MIN_STALL_SECONDS = 2.5
"""Lower bound of that time. Workers report progress in whole percents, so a healthy run
may show none for a while."""

MayEndRun = Callable[[Run], bool]
"""Returns whether the disruption budget of its step lets a run be ended."""


class StopOrder(NamedTuple):
    """Order to stop a run."""

    worker_id: str
    key: RunKey
    reason: str


class PaceOrder(NamedTuple):
    """Order to run a filler task at ``percent`` of its full speed."""

    worker_id: str
    key: RunKey
    percent: int


class StopTurns:
    """Turns of the workers that get stop orders.

    A job may have thousands of runs to stop. Only some of them are stopped in a round,
    and the next round goes on with another worker, so that the runs of other jobs and
    other workers are stopped as well.

    Args:
        dispatcher: jobs and workers.
        may_end_run: returns whether the disruption budget of its step lets a run be
            ended that may be at work.

    Attributes:
        is_unfinished: whether the latest round may have left out some.
    """

    def __init__(
        self, dispatcher: Dispatcher, may_end_run: MayEndRun = lambda run: True
    ) -> None:
        self._dispatcher = dispatcher
        self._may_end_run = may_end_run
        self._first_worker = ""
        self.is_unfinished = False

    def take(self, now: float, max_stops: int) -> list[StopOrder]:
        """Return at most ``max_stops`` orders that are due, and note them as sent."""
        found = find_stops(self._dispatcher, now, self._first_worker, self._may_end_run)
        stops = list(islice(found, max_stops))
        self.is_unfinished = len(stops) == max_stops
        worker_ids = list(self._dispatcher.worker_by_id)
        if self.is_unfinished and stops[-1].worker_id in worker_ids:
            next_index = worker_ids.index(stops[-1].worker_id) + 1
            self._first_worker = worker_ids[next_index % len(worker_ids)]
        return stops


def find_stops(
    dispatcher: Dispatcher,
    now: float,
    first_worker: str = "",
    may_end_run: MayEndRun = lambda run: True,
) -> Iterator[StopOrder]:
    """Yield the stop orders that are due, and note them as sent at ``now``.

    Args:
        dispatcher: jobs and workers.
        now: clock time in seconds.
        first_worker: id of the worker whose runs come first.
        may_end_run: as that of `StopTurns`.
    """
    yield from _find_orphans(dispatcher, now)
    yield from _find_given_up(dispatcher, now)
    for worker_id in rotate(list(dispatcher.worker_by_id), first_worker):
        worker = dispatcher.worker_by_id[worker_id]
        n_by_job: Counter[str] = Counter()
        for run in worker.run_by_key.values():
            job_id = run.record.job.job_id
            if n_by_job[job_id] >= MAX_STOPS_PER_JOB:
                continue
            reason = _stop_reason(dispatcher, run, now, may_end_run)
            if not reason or run.stopped_at:
                continue
            if now - run.stop_sent_at < STOP_RETRY_SECONDS and run.stop_sent_at:
                continue
            run.stop_sent_at = now
            run.phase = RunPhase.STOPPING
            n_by_job[job_id] += 1
            yield StopOrder(worker.worker_id, run.key, reason)


def find_paces(dispatcher: Dispatcher) -> Iterator[PaceOrder]:
    """Yield the orders that change the speed of filler tasks.

    Speeds are decided once for each report of a worker, from the latencies in it.
    """
    for worker in dispatcher.worker_by_id.values():
        if worker.paced_at == worker.contact_at:
            continue
        worker.paced_at = worker.contact_at
        runs = [r for r in worker.run_by_key.values() if r.known_at]
        serving = [
            LatencyTask(run.load / 1000, run.task.step.target_seconds)
            for run in runs
            if run.task.step.target_seconds > 0
        ]
        for run in runs:
            if not run.task.step.is_filler or run.task.step.target_seconds > 0:
                continue
            pace = FULL_SPEED_PERCENT if run.pace is None else run.pace
            percent = choose_speed_percent(serving, pace)
            if percent != run.pace:
                yield PaceOrder(worker.worker_id, run.key, percent)


def _find_orphans(dispatcher: Dispatcher, now: float) -> Iterator[StopOrder]:
    """Yield stop orders for runs of unknown jobs.

    Such a run comes from a start order that was carried out after its job had ended.
    """
    for (worker_id, key), sent_at in dispatcher.orphan_stop_sent_at.items():
        if worker_id in dispatcher.worker_by_id and now - sent_at >= STOP_RETRY_SECONDS:
            dispatcher.orphan_stop_sent_at[worker_id, key] = now
            yield StopOrder(worker_id, key, "job-unknown")


def _find_given_up(dispatcher: Dispatcher, now: float) -> Iterator[StopOrder]:
    """Yield stop orders for starts that were given up, to workers that have restarted.

    A worker out of contact gets none, as it may be gone; the stop follows its first
    answer.
    """
    starts = dispatcher.uncertain_starts
    for worker_id in starts.worker_ids():
        worker = dispatcher.worker_by_id.get(worker_id)
        if worker is None or not worker.is_in_contact(now):
            continue
        keys = starts.find_stops(worker.incarnation, now, STOP_RETRY_SECONDS)
        for key in keys:
            yield StopOrder(worker.worker_id, key, "start-unsure")


def _stop_reason(
    dispatcher: Dispatcher, run: Run, now: float, may_end_run: MayEndRun
) -> str:
    if run.record.is_cancel_asked:
        return "canceled"
    if run.record.is_final:
        return "job-ended"
    if run.task.phase is TaskPhase.DONE:
        return "task-done"
    worker = dispatcher.worker_by_id[run.worker_id]
    # A stop would be of no use for other tasks: they wait until the start can be
    # carried out no more, and it had better be carried out than be refused.
    is_copied = run.task.step.may_run_twice
    if run.is_start_uncertain and is_copied and _is_unconfirmed(worker, run, now):
        return "start-unsure"
    if run.is_evacuated and not run.stop_sent_at and not may_end_run(run):
        # Other tasks of the step have become unavailable since it was decided.
        run.is_evacuated = False
    if run.is_evacuated:
        return "evacuated"
    if run.phase is RunPhase.STOPPING:
        return "repeat"
    runs = dispatcher.runs_by_task.get(run.task.text, [])
    if len(runs) > 1 and not run.task.step.may_run_twice and run is not runs[0]:
        return "second-run"
    if _is_stalled(dispatcher, run, now):
        return "stalled"
    return ""


def _is_unconfirmed(worker: WorkerRecord, run: Run, now: float) -> bool:
    """Return whether a start without an answer is no longer expected to be confirmed.

    It is confirmed by a report that lists the run, so it isn't stopped before the first
    report whose poll was sent after the answer was given up.
    """
    is_reported = worker.polled_at >= run.given_up_at
    longest_seconds = max(UNCONFIRMED_START_SECONDS, 2 * worker.answer_seconds)
    return is_reported or now - run.given_up_at > longest_seconds


def _is_stalled(dispatcher: Dispatcher, run: Run, now: float) -> bool:
    """Return whether a run has stalled on a worker that is in contact.

    Only reports of the worker show it. Where they come seldom, the run may have made
    progress since. A stall counts as a failed run, and the task avoids the worker from
    then on.
    """
    step = run.task.step
    if step.is_lasting or step.is_filler or not run.known_at or step.is_gang:
        return False
    limit = max(MIN_STALL_SECONDS, STALL_FACTOR * step.estimate_seconds)
    worker = dispatcher.worker_by_id[run.worker_id]
    if worker.contact_at - run.progressed_at <= limit:
        return False
    if not worker.is_in_contact(now):
        return False
    pool_workers = dispatcher.workers_outside_evacuations(worker.listed.pool)
    note_failed_run(worker, run.record, run.task, pool_workers, now)
    run.task.avoided_worker = run.worker_id
    return True
