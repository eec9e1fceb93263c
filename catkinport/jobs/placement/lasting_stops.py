"""Decides whether a lasting task whose start had no answer may be stopped.

Its worker may have carried the start out, and the task may be at work. Then the stop
ends a task that is available, and counts for the disruption budget of its step.
"""

from collections.abc import Callable

from ..workers.run import Run
from ..workers.worker_state import USUAL_ANSWER_SECONDS, WorkerRecord

LATE_START_SECONDS = 1.0
"""Time for which the reports of a worker may lack a start without an answer, before it
is stopped outside of the budget. A start is carried out late where orders are late."""

FRESH_REPORT_SECONDS = 0.5
"""Age up to which a report that lacks a run shows that its task is not at work, if the
worker's answers take no longer than `USUAL_ANSWER_SECONDS`. Workers are polled every
0.25 s while a lasting task starts."""

MayEndRun = Callable[[Run], bool]
"""Returns whether the disruption budget of its step lets a run be ended."""


def may_stop_unconfirmed(
    worker: WorkerRecord, run: Run, now: float, may_end_run: MayEndRun
) -> bool:
    """Return whether a start without an answer may be stopped now.

    Args:
        worker: worker of the run.
        run: the run, which no report since its start has listed.
        now: clock time in seconds.
        may_end_run: returns whether the disruption budget allows it.
    """
    if not run.task.step.is_lasting:
        return True
    return not _may_be_at_work(worker, run, now) or may_end_run(run)


def _may_be_at_work(worker: WorkerRecord, run: Run, now: float) -> bool:
    is_awaited = worker.polled_at < run.given_up_at + LATE_START_SECONDS
    excess = max(0.0, worker.answer_seconds - USUAL_ANSWER_SECONDS)
    return is_awaited or now - worker.polled_at > FRESH_REPORT_SECONDS + excess
