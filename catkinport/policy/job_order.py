"""Orders the jobs of a pool when demand exceeds its capacity.

The demand of a queue comes in bursts of several times its mean. First in, first out
would then make every job late. Instead, jobs that can still meet their objective go
first, and among these the ones with the least remaining work for their value. Jobs that
can no longer meet theirs use what is left.
"""

from enum import IntEnum
from typing import NamedTuple

LATE_FACTOR = 3.0
"""Multiple of its objective up to which a job counts as late. Beyond it, the job counts
as hopeless."""

MIN_WORK_CORE_SECONDS = 1.0
"""Lower bound of estimated work, to avoid a division by zero if it is unknown."""

BASE_VALUE = 0.3
"""Constant part of a job's value; the rest is proportional to its work."""


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
        account_load: running work of its account, divided by the account's weight.
    """

    accepted_at: float
    objective_seconds: float
    remaining_chain_seconds: float
    remaining_core_seconds: float
    mean_core_seconds: float
    total_core_seconds: float
    priority: int
    is_lasting: bool
    account_load: float = 0.0


def find_prospect(view: JobView, now: float) -> Prospect:
    """Return whether the job is expected to meet its objective.

    The expected time is the age of the job at ``now`` plus its remaining chain.
    """
    if view.is_lasting:
        return Prospect.LASTING
    expected_seconds = now + view.remaining_chain_seconds - view.accepted_at
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


def order_key(view: JobView, now: float) -> tuple[float, ...]:
    """Return the sort key of a job; the smallest is served first.

    Lasting jobs come first, hopeless ones last, in order of acceptance. The others are
    ordered by prospect, priority and value density.
    """
    prospect = find_prospect(view, now)
    if prospect is Prospect.LASTING:
        return (prospect, view.priority, view.accepted_at)
    if prospect is Prospect.HOPELESS:
        return (prospect, view.accepted_at)
    return (prospect, view.priority, -value_density(view), view.accepted_at)
