"""Repeats start orders that had no answer, with the same run to the same worker.

A worker answers a start as done if the run is there already, so that all orders for a
run are one run on its incarnation. An earlier order may still be carried out by a later
incarnation, so that the task has no other start meanwhile. Two things are left:

* The run of a task may end as done, and then its worker restart. So this end is not
  acknowledged until no order can be carried out any more
  (`WorkerRecord.held_ends`). The later ends on the worker wait with it, and the worker
  is polled without a wait, so that orders are repeated on a part of the workers only.
  On the others, a task waits for its only order.
* The members of a gang end together, and one of them may stand for all. The orders of
  gangs are not repeated.
"""

from collections import Counter

from ..dispatch.dispatcher import Dispatcher
from ..workers.run import Run, RunPhase
from ..workers.worker_state import WorkerRecord
from .round_budget import PlannedStart
from .start_blocks import find_start_block

MAX_HOLDING_FRACTION = 1 / 6
"""Part of the workers of a pool, rounded up, whose ends of runs may wait to be
acknowledged because of repeated orders."""


class _HoldingWorkers:
    """Workers of each pool whose ends of runs wait, or may have to.

    Args:
        dispatcher: jobs and workers.
        now: clock time in seconds.
    """

    def __init__(self, dispatcher: Dispatcher, now: float) -> None:
        workers = dispatcher.worker_by_id.values()
        self._n_by_pool = Counter(worker.listed.pool for worker in workers)
        self._ids = {w.worker_id for w in workers if _may_hold_ends(w, now)}
        self._n_holding_by_pool = Counter(
            worker.listed.pool for worker in workers if worker.worker_id in self._ids
        )

    def admit(self, worker: WorkerRecord) -> bool:
        """Return whether an order may be repeated on a worker, and count the worker."""
        if worker.worker_id in self._ids:
            return True
        pool = worker.listed.pool
        n_allowed = MAX_HOLDING_FRACTION * self._n_by_pool[pool]
        if self._n_holding_by_pool[pool] >= n_allowed:
            return False
        self._n_holding_by_pool[pool] += 1
        self._ids.add(worker.worker_id)
        return True


def _may_hold_ends(worker: WorkerRecord, now: float) -> bool:
    """Return whether ends of a worker wait, or a repeated order may make them wait."""
    return worker.holds_ends(now) or any(
        run.task.is_start_repeated and run.late_start_until > now
        for run in worker.run_by_key.values()
        if not run.task.step.is_lasting
    )


def find_start_repeats(dispatcher: Dispatcher, now: float) -> list[PlannedStart]:
    """Return the repetitions that are due, and note them as ordered.

    Each follows a report of the worker that lacks the run. They go to the present
    incarnation of the worker.

    Args:
        dispatcher: jobs and workers.
        now: clock time in seconds.
    """
    repeats = []
    holding = None
    for run in dispatcher.unanswered_runs:
        worker = dispatcher.worker_by_id[run.worker_id]
        if not _is_wanted(worker, run) or not _may_take(dispatcher, worker, run, now):
            continue
        ticket = _find_ticket(dispatcher, worker, run, now)
        if ticket is None:
            continue
        if not run.task.step.is_lasting:
            holding = holding or _HoldingWorkers(dispatcher, now)
            if not holding.admit(worker):
                continue
        run.asked_at = now
        run.is_start_under_way = True
        run.sent_to = worker.started_at
        run.task.is_start_repeated = True
        run.record.is_dirty = True
        repeats.append(PlannedStart(worker, run, ticket))
    return repeats


def _is_wanted(worker: WorkerRecord, run: Run) -> bool:
    """Return whether a report lacks the run, and no order for it is under way."""
    if run.task.step.may_run_twice or run.task.step.is_gang:
        return False
    if run.phase is not RunPhase.ASKED or run.record.is_closing:
        return False
    return not run.is_start_under_way and run.given_up_at <= worker.polled_at


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
