"""Orders the jobs of a pool when more is asked than the pool holds.

Pattern: demand of a queue comes in turns of several times its mean. First in first
out then makes every job late; instead the jobs that can still meet their objective go
first, the shortest remaining work of them foremost, and jobs whose objective has passed
fill what is left.
"""

from enum import IntEnum
from typing import NamedTuple

LATE_FACTOR = 3.0
"""Up to this many times its objective a job is late; beyond it is hopeless."""

SMALL_WORK_CORE_SECONDS = 1.0
"""Lower bound of remaining work, so that unknown estimates do not divide by zero."""

BASE_VALUE = 0.3
"""Part of a job's value that does not depend on its size; the rest grows with it."""


class Prospect(IntEnum):
    """What can still become of a job."""

    LASTING = 0
    ON_TIME = 1
    LATE = 2
    HOPELESS = 3


class JobView(NamedTuple):
    """What the order of a job depends on.

    Args:
        accepted_at: time of acceptance in seconds, on the clock of ``now``.
        objective_seconds: time within which it should be complete.
        remaining_chain_seconds: longest chain of work that is still open.
        remaining_core_seconds: work that is still open.
        mean_core_seconds: mean work of a job of its queue.
        total_core_seconds: work of the whole job.
        priority: of its queue; 0 comes first.
        is_lasting: whether its tasks run until it is canceled.
        account_load: what its account has running against the account's weight.
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
    """Return what can still become of the job at ``now``."""
    if view.is_lasting:
        return Prospect.LASTING
    ends_after = now + view.remaining_chain_seconds - view.accepted_at
    if ends_after <= view.objective_seconds:
        return Prospect.ON_TIME
    if ends_after <= LATE_FACTOR * view.objective_seconds:
        return Prospect.LATE
    return Prospect.HOPELESS


def value_density(view: JobView) -> float:
    """Return the value of the job for each core-second that it still needs."""
    mean = max(view.mean_core_seconds, SMALL_WORK_CORE_SECONDS)
    value = BASE_VALUE + (1 - BASE_VALUE) * view.total_core_seconds / mean
    return value / max(view.remaining_core_seconds, SMALL_WORK_CORE_SECONDS)


def order_key(view: JobView, now: float) -> tuple[float, ...]:
    """Return the sort key of a job; the smallest is served first."""
    prospect = find_prospect(view, now)
    if prospect is Prospect.LASTING:
        return (prospect, view.priority, view.accepted_at)
    if prospect is Prospect.HOPELESS:
        return (prospect, view.accepted_at)
    return (prospect, view.priority, -value_density(view), view.accepted_at)
