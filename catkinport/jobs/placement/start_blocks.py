"""Decides whether a worker may get new tasks under the configuration of its pool.

The workers of most pools reject a task that doesn't fit. Those of the others start
whatever they are told to, so they get tasks only while their free room is known.
"""

from ..dispatch.dispatcher import Dispatcher
from ..workers.worker_state import StartBlock, WorkerRecord

MAX_CAPACITY_AGE_SECONDS = 2.0
"""Maximum age of a capacity by which a worker gets tasks that it wouldn't reject. A
start must respect a smaller capacity from 3 s after the change on, and may take
`START_SECONDS` from the decision to the worker."""

START_SECONDS = 1.0
"""Longest time that a start takes to a worker whose answers don't take longer. Where
they do, the capacity must be younger."""


def find_start_block(
    dispatcher: Dispatcher, worker: WorkerRecord, now: float
) -> StartBlock | None:
    """Return why the worker may get no new tasks, or ``None`` if it may.

    An evacuated zone and an unknown room come before a quarantine and a cordon, as a
    caller may disregard these two.
    """
    block = worker.find_block(now)
    if block not in (None, StartBlock.QUARANTINED, StartBlock.CORDONED):
        return block
    if dispatcher.is_evacuated(worker.listed.zone):
        return StartBlock.EVACUATED
    if _may_overcommit(dispatcher, worker) and not _is_room_known(
        dispatcher, worker, now
    ):
        return StartBlock.ROOM_UNKNOWN
    return block


def _may_overcommit(dispatcher: Dispatcher, worker: WorkerRecord) -> bool:
    """Return whether the worker starts tasks that exceed its capacity.

    That is unknown of a pool that was removed from the configuration.
    """
    pool = dispatcher.configuration.pool_by_name.get(worker.listed.pool)
    return pool is None or not pool.forbids_overcommit


def _is_room_known(dispatcher: Dispatcher, worker: WorkerRecord, now: float) -> bool:
    return (
        _is_capacity_known(worker, now)
        and not _has_unknown_runs(dispatcher, worker)
        and not _has_late_starts(dispatcher, worker)
    )


def _is_capacity_known(worker: WorkerRecord, now: float) -> bool:
    excess = max(0.0, worker.answer_seconds - START_SECONDS)
    return now - worker.listed_at <= MAX_CAPACITY_AGE_SECONDS - excess


def _has_unknown_runs(dispatcher: Dispatcher, worker: WorkerRecord) -> bool:
    """Return whether it runs tasks of unknown jobs, whose needs are unknown too."""
    keys = dispatcher.orphan_stop_sent_at
    return any(worker_id == worker.worker_id for worker_id, _ in keys)


def _has_late_starts(dispatcher: Dispatcher, worker: WorkerRecord) -> bool:
    """Return whether it may carry out starts that were given up before it restarted."""
    return dispatcher.uncertain_starts.may_be_carried_out(worker.incarnation)
