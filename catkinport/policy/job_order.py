"""Orders the jobs of a pool when demand exceeds its capacity.

The demand of a queue comes in bursts of several times its mean. First in, first out
would then make every job late. Instead, jobs that can still meet their objective go
first, and among these the ones with the least remaining work for their value. Jobs that
can no longer meet theirs use what is left. Where several accounts wait for a pool that
is short, the jobs that `account_shares` finds to be surplus or beyond the share of
their account wait behind the others of the same prospect.
"""

from enum import IntEnum
from typing import NamedTuple

from .account_shares import AccountTurn

LATE_FACTOR = 3.0
"""Multiple of its objective up to which a job counts as late. Beyond it, the job counts
as hopeless."""

MIN_WORK_CORE_SECONDS = 1.0
"""Lower bound of estimated work, to avoid a division by zero if it is unknown."""

BASE_VALUE = 0.3
"""Constant part of a job's value; the rest is proportional to its work."""

SURPLUS_WAIT_SECONDS = 10.0
"""Time by which hopeless surplus jobs are ordered as if accepted later. A bound, unlike
a place behind all others, so that none of them waits for good."""


class Prospect(IntEnum):
    """Expected outcome of a job compared with its objective."""

    LASTING = 0
    ON_TIME = 1
    LATE = 2
    HOPELESS = 3


class JobView(NamedTuple):
    """Properties of a job that determine its order.

    Args:
        accepted_at: time of acceptance in seconds, on the clock of ``now``.
        objective_seconds: time within which it should be complete.
        remaining_chain_seconds: time of the longest chain of steps not yet complete.
        remaining_core_seconds: work that is not yet complete.
        mean_core_seconds: mean work of a job of its queue.
        total_core_seconds: work of the whole job.
        priority: priority of its queue; 0 comes first.
        is_lasting: whether its tasks run until it is canceled.
    """

    accepted_at: float
    objective_seconds: float
    remaining_chain_seconds: float
    remaining_core_seconds: float
    mean_core_seconds: float
    total_core_seconds: float
    priority: int
    is_lasting: bool


def find_prospect(view: JobView, now: float, wait_seconds: float = 0.0) -> Prospect:
    """Return whether the job is expected to meet its objective.

    The expected time is the age of the job at ``now`` plus the wait until its tasks can
    start plus its remaining chain.
    """
    if view.is_lasting:
        return Prospect.LASTING
    starts_at = now + wait_seconds
    expected_seconds = starts_at + view.remaining_chain_seconds - view.accepted_at
    if expected_seconds <= view.objective_seconds:
        return Prospect.ON_TIME
    if expected_seconds <= LATE_FACTOR * view.objective_seconds:
        return Prospect.LATE
    return Prospect.HOPELESS


def value_density(view: JobView) -> float:
    """Return the value of the job for each core-second that it still needs."""
    mean = max(view.mean_core_seconds, MIN_WORK_CORE_SECONDS)
    value = BASE_VALUE + (1 - BASE_VALUE) * view.total_core_seconds / mean
    return value / max(view.remaining_core_seconds, MIN_WORK_CORE_SECONDS)


def order_key(
    view: JobView,
    now: float,
    turn: AccountTurn = AccountTurn.WITHIN_SHARE,
    prospect: Prospect | None = None,
) -> tuple[float, ...]:
    """Return the sort key of a job; the smallest is served first.

    Lasting jobs come first, hopeless ones last, in order of acceptance. The others are
    ordered by prospect, priority and value density. Surplus jobs of an account wait
    behind all jobs of their prospect, those beyond its share behind the other jobs of
    their priority.

    Args:
        view: the job.
        now: time in seconds.
        turn: its place by its account, where accounts compete.
        prospect: its expected outcome; ``None`` for the one without any wait.
    """
    if prospect is None:
        prospect = find_prospect(view, now)
    if prospect is Prospect.LASTING:
        return (prospect, view.priority, view.accepted_at)
    is_surplus = turn is AccountTurn.SURPLUS
    if prospect is Prospect.HOPELESS:
        return (prospect, view.accepted_at + is_surplus * SURPLUS_WAIT_SECONDS)
    return (
        prospect,
        is_surplus,
        view.priority,
        turn,
        -value_density(view),
        view.accepted_at,
    )
