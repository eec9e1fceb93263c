"""Counts the workers that get no new tasks, by reason, and shortens the counts."""

from collections import Counter
from collections.abc import Iterable, Mapping

from ..dispatch.dispatcher import Dispatcher
from ..workers.worker_state import WorkerRecord
from .start_blocks import find_start_block

CONTACT_BROKEN = "contact-broken"
"""Reason of a worker that has left a poll unanswered since the latest stored renewal,
while a successor may have replaced this owner."""

NOT_BLOCKED = "none"
"""Reason of a worker that may get new tasks."""


def has_unbroken_contact(worker: WorkerRecord, learned_before: float | None) -> bool:
    """Return whether the worker has kept the token of a possible successor.

    Args:
        worker: the worker.
        learned_before: clock time in seconds of the last stored renewal while a
            successor may already have replaced this owner; ``None`` otherwise.
    """
    return learned_before is None or worker.contact_since <= learned_before


def name_block(
    dispatcher: Dispatcher,
    worker: WorkerRecord,
    now: float,
    learned_before: float | None = None,
) -> str:
    """Return why the worker gets no new tasks, or `NOT_BLOCKED` if it may get some.

    Args:
        dispatcher: jobs and workers.
        worker: the worker.
        now: clock time in seconds.
        learned_before: as of `has_unbroken_contact`.
    """
    block = find_start_block(dispatcher, worker, now)
    if block is not None:
        return block.value
    is_unbroken = has_unbroken_contact(worker, learned_before)
    return NOT_BLOCKED if is_unbroken else CONTACT_BROKEN


def count_blocks(
    dispatcher: Dispatcher,
    workers: Iterable[WorkerRecord],
    now: float,
    learned_before: float | None = None,
) -> Counter[str]:
    """Return the number of workers that get no new tasks, by reason.

    Args:
        dispatcher: jobs and workers.
        workers: workers to count.
        now: clock time in seconds.
        learned_before: as of `has_unbroken_contact`.
    """
    n_by_reason = Counter(
        name_block(dispatcher, worker, now, learned_before) for worker in workers
    )
    del n_by_reason[NOT_BLOCKED]
    return n_by_reason


def format_counts(n_by_reason: Mapping[str, int], max_width: int) -> str:
    """Return the counts, the highest first, with the sum of those that don't fit.

    Args:
        n_by_reason: count of each reason.
        max_width: longest text in characters. The sum of all counts is returned even
            if it is longer.

    Example:
        >>> n_by_reason = {"cordoned": 2, "out-of-contact": 7, "reserved": 1}
        >>> format_counts(n_by_reason, 40)
        'out-of-contact:7,cordoned:2,reserved:1'
        >>> format_counts(n_by_reason, 30)
        'out-of-contact:7,cordoned:2,+1'
    """
    ordered = sorted(n_by_reason.items(), key=lambda item: (-item[1], item[0]))
    for n_named in range(len(ordered), -1, -1):
        parts = [f"{reason}:{n}" for reason, n in ordered[:n_named]]
        n_others = sum(n for _, n in ordered[n_named:])
        if n_others:
            parts.append(f"+{n_others}")
        text = ",".join(parts)
        if len(text) <= max_width:
            break
    return text
