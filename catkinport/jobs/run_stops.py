"""Finds the runs to stop and the filling tasks to pace."""

from collections.abc import Iterator
from typing import NamedTuple

from ..policy.pacing import ServingTask, choose_pace
from .dispatcher import Dispatcher
from .record import TaskPhase
from .worker_state import Run, RunKey, RunPhase

STOP_RETRY_SECONDS = 0.4
"""Time after which an unanswered stop is sent again."""

STALL_FACTOR = 1.0
"""A run without progress for this many times its estimate stands still."""

MIN_STALL_SECONDS = 2.5
"""Shortest time without progress that counts, as workers report in whole percents."""


class StopOrder(NamedTuple):
    """Stops a run."""

    worker_id: str
    key: RunKey
    reason: str


class PaceOrder(NamedTuple):
    """Lets a filling task work at ``percent`` of its speed."""

    worker_id: str
    key: RunKey
    percent: int


def find_stops(dispatcher: Dispatcher, now: float) -> Iterator[StopOrder]:
    """Yield the stop orders that are due."""
    yield from _find_strays(dispatcher, now)
    for belief in dispatcher.worker_by_id.values():
        for run in belief.run_by_key.values():
            reason = _stop_reason(dispatcher, run, now)
            if not reason or run.stopped_at:
                continue
            if now - run.stop_sent_at < STOP_RETRY_SECONDS and run.stop_sent_at:
                continue
            run.stop_sent_at = now
            run.phase = RunPhase.STOPPING
            yield StopOrder(belief.worker_id, run.key, reason)


def find_paces(dispatcher: Dispatcher) -> Iterator[PaceOrder]:
    """Yield the orders that change the speed of filling tasks.

    Speeds are decided once for each look at a worker, on what it listed then.
    """
    for belief in dispatcher.worker_by_id.values():
        if belief.paced_at == belief.contact_at:
            continue
        belief.paced_at = belief.contact_at
        runs = [r for r in belief.run_by_key.values() if r.known_at]
        serving = [
            ServingTask(run.gauge / 1000, run.task.step.target_seconds)
            for run in runs
            if run.task.step.target_seconds > 0
        ]
        for run in runs:
            if not run.task.step.is_filler or run.task.step.target_seconds > 0:
                continue
            percent = choose_pace(serving, run.pace)
            if percent != run.pace:
                yield PaceOrder(belief.worker_id, run.key, percent)


def _find_strays(dispatcher: Dispatcher, now: float) -> Iterator[StopOrder]:
    """Yield stops of runs of no known job: orders that were carried out late."""
    for (worker_id, key), sent_at in dispatcher.stray_sent_at.items():
        if worker_id in dispatcher.worker_by_id and now - sent_at >= STOP_RETRY_SECONDS:
            dispatcher.stray_sent_at[worker_id, key] = now
            yield StopOrder(worker_id, key, "job-unknown")


def _stop_reason(dispatcher: Dispatcher, run: Run, now: float) -> str:
    if run.record.is_cancel_asked:
        return "canceled"
    if run.record.is_final:
        return "job-ended"
    if run.task.phase is TaskPhase.DONE:
        return "task-done"
    if run.is_unsure:
        return "start-unsure"
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


def _is_stalled(dispatcher: Dispatcher, run: Run, now: float) -> bool:
    step = run.task.step
    if step.is_lasting or step.is_filler or not run.known_at or step.is_gang:
        return False
    limit = max(MIN_STALL_SECONDS, STALL_FACTOR * step.estimate_seconds)
    if now - run.progressed_at <= limit:
        return False
    belief = dispatcher.worker_by_id[run.worker_id]
    if not belief.is_in_contact(now):
        return False
    run.task.avoided_worker = run.worker_id
    belief.note_outcome(False, now)
    return True
