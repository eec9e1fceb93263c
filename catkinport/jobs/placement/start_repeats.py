"""Repeats the start orders of lasting tasks that had no answer.

A worker answers a start as done if the run is there already, so that all orders for a
run are one run on its incarnation. The task can't wait until the first order can be
carried out no more, as others rely on it meanwhile.

The orders for other tasks are not repeated. Their run may end soon, and the worker may
restart after it: a second order that is carried out then is a second run of work that
was done.
"""

from ..dispatch.dispatcher import Dispatcher
from ..workers.run import Run, RunPhase
from ..workers.worker_state import WorkerRecord
from .round_budget import PlannedStart
from .start_blocks import find_start_block


def find_start_repeats(dispatcher: Dispatcher, now: float) -> list[PlannedStart]:
    """Return the repetitions that are due, and note them as ordered.

    Each follows a report of the worker that lacks the run. They go to the present
    incarnation of the worker.

    Args:
        dispatcher: jobs and workers.
        now: clock time in seconds.
    """
    repeats = []
    for run in dispatcher.unanswered_runs:
        worker = dispatcher.worker_by_id[run.worker_id]
        if not _is_wanted(worker, run) or not _may_take(dispatcher, worker, run, now):
            continue
        ticket = _find_ticket(dispatcher, worker, run, now)
        if ticket is None:
            continue
        run.asked_at = now
        run.sent_to = worker.started_at
        run.n_start_orders += 1
        repeats.append(PlannedStart(worker, run, ticket))
    return repeats


def _is_wanted(worker: WorkerRecord, run: Run) -> bool:
    """Return whether a report lacks the run, and no order for it is under way."""
    if not run.task.step.is_lasting or run.task.step.is_gang:
        return False
    if run.phase is not RunPhase.ASKED or run.record.is_closing:
        return False
    return run.asked_at <= run.given_up_at <= worker.polled_at


def _may_take(
    dispatcher: Dispatcher, worker: WorkerRecord, run: Run, now: float
) -> bool:
    """Return whether the worker may get the run, also if it has restarted."""
    if find_start_block(dispatcher, worker, now) is not None:
        return False
    label = run.task.step.required_label
    # What the other runs leave free is counted without the run itself.
    has_room = min(worker.free()) >= 0
    return has_room and (not label or label in worker.listed.labels)


def _find_ticket(
    dispatcher: Dispatcher, worker: WorkerRecord, run: Run, now: float
) -> str | None:
    """Return the approval to send: empty if none is needed, ``None`` if it lacks."""
    queue = dispatcher.queue_of(run.record)
    if queue is None:
        return None
    if queue.approval is None:
        return ""
    ticket = dispatcher.approvals.find_valid(
        run.task.stage_name, worker.worker_id, now, worker.restart_noted_at
    )
    return ticket.text if ticket else None
