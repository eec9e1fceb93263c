"""Divides an upper limit among holders so that their sum never exceeds it.

Only a holder changes its own amount, except that the amounts of evicted members
are reclaimed, and an amount is never below what running work uses. So what others
run is at most what a reading says they hold, as long as they take only what is free.
After a limit was lowered that no longer bounds their running work to the new limit,
so a reading made under a higher limit is not used.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

HEADROOM_FACTOR = 1.25
HEADROOM_MINIMUM = 1


class HolderNeed(NamedTuple):
    """What a holder needs of a limit.

    Args:
        in_use: units that running work holds now.
        wanted: units that running and waiting work could use; at least ``in_use``.
    """

    in_use: int
    wanted: int


def free_amount(limit: int, amount_by_holder: Mapping[str, int]) -> int:
    """Return what no holder has taken; 0 when a lowered limit is exceeded."""
    return max(0, limit - sum(amount_by_holder.values()))


class Reading(NamedTuple):
    """A holder's view of the row.

    Args:
        limit: the limit that was in force when the row was read.
        own: the holder's amount.
        others: the sum of the other amounts.
    """

    limit: int
    own: int
    others: int


def read_amounts(
    limit: int, amount_by_holder: Mapping[str, int], holder: str
) -> Reading:
    """Return what ``holder`` sees in the row under ``limit``."""
    own = amount_by_holder.get(holder, 0)
    return Reading(limit, own, sum(amount_by_holder.values()) - own)


def usable_amount(limit: int, reading: Reading) -> int:
    """Return how many units a holder may use under ``limit``.

    Nothing may be used after the limit was lowered, until the row is read again;
    then, nothing of what other holders have not yet returned.

    Example:
        >>> usable_amount(10, Reading(10, own=4, others=6))
        4
        >>> usable_amount(8, Reading(10, own=4, others=6))
        0
        >>> usable_amount(8, Reading(8, own=4, others=6))
        2
    """
    if limit < reading.limit:
        return 0
    return max(0, min(reading.own, limit - reading.others))


def divide(
    limit: int,
    amount_by_holder: Mapping[str, int],
    holder: str,
    need: HolderNeed,
    ceiling: int | None = None,
) -> dict[str, int]:
    """Return the row with the amount that ``holder`` should have now.

    The holder takes its need with headroom, at most what is free, and returns what
    it does not need, but never less than running work uses. When the limit was
    lowered below the sum, it gives up its part of the excess.

    Args:
        limit: the upper limit, at least 0.
        amount_by_holder: the row as it was read.
        holder: the holder whose amount may change.
        need: what the holder needs.
        ceiling: most units to hold while a peer is short, see ``fair_amount``.

    Returns:
        The new row; equal to the old one when nothing has to change.

    Example:
        >>> divide(10, {"e-2": 6}, "e-1", HolderNeed(in_use=0, wanted=8))
        {'e-2': 6, 'e-1': 4}
    """
    _check(limit, need)
    own = amount_by_holder.get(holder, 0)
    total = sum(amount_by_holder.values())
    most = own + max(0, limit - total)
    target = target_amount(need)
    if ceiling is not None:
        target = min(target, ceiling)
    if total > limit:
        target = min(target, own * limit // total)
    # The amount covers running work, so that nobody takes what it still uses.
    amount = min(most, max(need.in_use, target))
    return _with_amount(amount_by_holder, holder, amount)


def target_amount(need: HolderNeed) -> int:
    """Return the need with headroom; 0 when nothing is wanted."""
    if need.wanted == 0:
        return 0
    headroom = max(HEADROOM_MINIMUM, math.ceil(need.wanted * (HEADROOM_FACTOR - 1)))
    return need.wanted + headroom


def fair_amount(
    limit: int,
    amount_by_holder: Mapping[str, int],
    holder: str,
    need: HolderNeed,
    wanted: int,
) -> int:
    """Return how many units ``holder`` should keep while a peer is short.

    The limit is divided in proportion to need. What others need is taken to be what
    they hold and what the peer is short of. A holder that keeps its units busy gives
    some up too, because its peer's callers would otherwise wait until it is idle.

    Args:
        limit: the upper limit, at least 0.
        amount_by_holder: the row as it was read.
        holder: the holder that was asked.
        need: what the holder needs itself.
        wanted: units that the peer is short of, at least 0.

    Example:
        >>> fair_amount(4, {"e-1": 4}, "e-1", HolderNeed(4, 12), wanted=12)
        2
        >>> fair_amount(4, {"e-1": 2, "e-2": 2}, "e-1", HolderNeed(2, 12), wanted=10)
        2
    """
    own = amount_by_holder.get(holder, 0)
    others = sum(amount_by_holder.values()) - own
    all_needs = need.wanted + others + max(0, wanted)
    if all_needs == 0:
        return own
    return min(own, limit * need.wanted // all_needs)


def reclaim(
    amount_by_holder: Mapping[str, int], gone_holders: Iterable[str]
) -> dict[str, int]:
    """Return the row without the holders whose lease and requests have ended."""
    gone = set(gone_holders)
    return {
        holder: amount
        for holder, amount in amount_by_holder.items()
        if holder not in gone
    }


def is_reclaimable(
    gone_seconds: float, lease_seconds: float, longest_request_seconds: float
) -> bool:
    """Return whether a holder that left ``gone_seconds`` ago can hold no work.

    Its lease has ended after ``lease_seconds`` (2% are added for clocks that run at
    different rates), and the last request that it admitted ends at its deadline.
    """
    return gone_seconds > 1.02 * (lease_seconds + longest_request_seconds)


def _with_amount(
    amount_by_holder: Mapping[str, int], holder: str, amount: int
) -> dict[str, int]:
    row = {**amount_by_holder, holder: amount}
    if amount <= 0:
        del row[holder]
    return row


def _check(limit: int, need: HolderNeed) -> None:
    if limit < 0:
        raise ValueError(f"limit must be >= 0, got {limit!r}")
    if not 0 <= need.in_use <= need.wanted:
        raise ValueError(f"need must have 0 <= in_use <= wanted, got {need!r}")
