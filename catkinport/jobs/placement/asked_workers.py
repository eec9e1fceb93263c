"""Chooses the workers that a request for approvals of a step names.

Each worker costs time, in this call and in all that wait behind it.
"""

from collections.abc import Mapping, Sequence

from ...policy.worker_choice import (
    CandidateWorker,
    TaskNeed,
    fits,
    is_suitable,
)
from ..configuration import ApprovalTerms
from ..dispatch.approvals import Approvals


def choose_workers_to_ask(
    need: TaskNeed,
    n_tasks: int,
    rooms: Mapping[str, CandidateWorker],
    approved: Mapping[str, CandidateWorker],
    approvals: Approvals,
    terms: ApprovalTerms,
) -> tuple[str, ...]:
    """Return the workers to name: as many as the tasks need, by what was approved.

    Workers without room are left out, unless the tasks last: these wait for room on
    workers that are approved.

    Args:
        need: requirements of a task of the step.
        n_tasks: number of its tasks that wait.
        rooms: workers that may get tasks, by id.
        approved: those of them that are approved now, by id.
        approvals: answers to former requests.
        terms: terms of the queue.
    """
    n_missing = n_tasks - sum(
        _count_fitting(need, room, n_tasks)
        for room in approved.values()
        if fits(need, room)
    )
    if n_missing <= 0:
        return ()
    others = [room for i, room in rooms.items() if i not in approved]
    candidates = [room for room in others if fits(need, room)]
    if need.is_lasting and not approved and not candidates:
        candidates = [room for room in others if is_suitable(need, room)]
    n_fitting_by_id = {
        room.worker_id: _count_fitting(need, room, n_missing) for room in candidates
    }
    if approved and approvals.were_all_asked(need.step, n_fitting_by_id):
        return ()
    by_room = sorted(n_fitting_by_id, key=lambda i: n_fitting_by_id[i], reverse=True)
    ranked = approvals.rank(need.step, by_room)[: terms.most_workers()]
    # Where few workers may run the step, each request names twice as many.
    n_least = max(terms.fewest_workers(), approvals.count_unapproved(need.step))
    n_wanted = n_missing / approvals.approved_share
    return _take_enough(ranked, n_fitting_by_id, n_wanted, n_least)


def _take_enough(
    worker_ids: Sequence[str],
    n_fitting_by_id: Mapping[str, int],
    n_wanted: float,
    n_least: int,
) -> tuple[str, ...]:
    """Return the first of the workers on which so many tasks fit together.

    Args:
        worker_ids: ids of the workers.
        n_fitting_by_id: how many tasks fit on each.
        n_wanted: number of tasks.
        n_least: fewest workers to return, if there are so many.
    """
    n_taken = n_fitting = 0
    for worker_id in worker_ids:
        if n_fitting >= n_wanted and n_taken >= n_least:
            break
        n_taken += 1
        n_fitting += n_fitting_by_id[worker_id]
    return tuple(worker_ids[:n_taken])


def _count_fitting(need: TaskNeed, room: CandidateWorker, most: int) -> int:
    """Return how many tasks of the step fit on a worker, up to ``most``."""
    have = (room.cores, room.memory_gb, room.accelerators)
    n_fitting = most
    for amount, free_amount in zip(need.counted_need, have, strict=True):
        if amount > 0:
            n_fitting = min(n_fitting, int(free_amount / amount))
    if need.max_per_worker:
        n_present = room.n_tasks_by_step.get(need.step, 0)
        n_fitting = min(n_fitting, need.max_per_worker - n_present)
    return max(1, n_fitting)
