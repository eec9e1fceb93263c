"""Divides an upper limit among holders so that the units in use never exceed it.

A holder is a cluster member. The units that each holder may use are its amount, also
called its allowance, and one stored row holds the amounts of all holders.

Each holder changes only its own amount, except that the amounts of evicted members are
reclaimed. An amount is never below what running work uses. Therefore the running work
of other holders uses at most the amounts that were read, as long as holders take only
free units. Once the limit has been lowered, those amounts may add up to more than the
new limit, so amounts that were read under a higher limit are not used.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

HEADROOM_FACTOR = 1.25
MIN_HEADROOM_UNITS = 1


class HolderNeed(NamedTuple):
    """Units of a limit that a holder needs.

    Args:
        in_use: units that running work holds now.
        wanted: units that running and waiting work could use; at least ``in_use``.
    """

    in_use: int
    wanted: int


def free_amount(limit: int, amount_by_holder: Mapping[str, int]) -> int:
    """Return the units that no holder has; 0 if they hold more than a lowered limit."""
    return max(0, limit - sum(amount_by_holder.values()))


class AllowanceSnapshot(NamedTuple):
    """The amounts in the row, as one holder read them.

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
) -> AllowanceSnapshot:
    """Return the amounts in the row as seen by ``holder`` under ``limit``."""
    own = amount_by_holder.get(holder, 0)
    return AllowanceSnapshot(limit, own, sum(amount_by_holder.values()) - own)


def usable_amount(limit: int, reading: AllowanceSnapshot) -> int:
    """Return how many units a holder may use under ``limit``.

    After the limit was lowered, no unit may be used until the row is read again, and
    then only units that the amounts of other holders leave below the new limit.

    Example:
        >>> usable_amount(10, AllowanceSnapshot(10, own=4, others=6))
        4
        >>> usable_amount(8, AllowanceSnapshot(10, own=4, others=6))
        0
        >>> usable_amount(8, AllowanceSnapshot(8, own=4, others=6))
        2
    """
    if limit < reading.limit:
        return 0
    return max(0, min(reading.own, limit - reading.others))


def adjust_amount(
    limit: int,
    amount_by_holder: Mapping[str, int],
    holder: str,
    need: HolderNeed,
    ceiling: int | None = None,
) -> dict[str, int]:
    """Return the row with a new amount for ``holder``.

    The holder takes the units that it needs, plus headroom, as far as they are free,
    and returns units that it does not need. It keeps the units that running work uses.
    If the limit was lowered below the sum of the amounts, it gives up its proportional
    part of the excess.

    Args:
        limit: the upper limit, at least 0.
        amount_by_holder: the row as it was read.
        holder: the holder whose amount may change.
        need: what the holder needs.
        ceiling: most units to hold while a peer lacks units, see ``fair_share``.

    Returns:
        The new row, which is equal to the old one if nothing has to change.

    Example:
        >>> adjust_amount(10, {"e-2": 6}, "e-1", HolderNeed(in_use=0, wanted=8))
        {'e-2': 6, 'e-1': 4}
    """
    _validate(limit, need)
    own = amount_by_holder.get(holder, 0)
    total = sum(amount_by_holder.values())
    most = own + max(0, limit - total)
    target = target_amount(need)
    if ceiling is not None:
        target = min(target, ceiling)
    if total > limit:
        target = min(target, own * limit // total)
    # The amount covers running work, so that no other holder takes units in use.
    amount = min(most, max(need.in_use, target))
    return _with_amount(amount_by_holder, holder, amount)


def target_amount(need: HolderNeed) -> int:
    """Return the wanted units plus headroom; 0 if none are wanted."""
    if need.wanted == 0:
        return 0
    headroom = max(MIN_HEADROOM_UNITS, math.ceil(need.wanted * (HEADROOM_FACTOR - 1)))
    return need.wanted + headroom


def fair_share(
    limit: int,
    amount_by_holder: Mapping[str, int],
    holder: str,
    need: HolderNeed,
    wanted: int,
) -> int:
    """Return how many units ``holder`` should keep while a peer lacks units.

    The limit is divided in proportion to need. The need of all others is estimated as
    the units that they hold plus the units that the peer lacks. A holder that uses all
    its units gives some up too; otherwise the callers of its peer would wait until the
    holder is idle.

    Args:
        limit: the upper limit, at least 0.
        amount_by_holder: the row as it was read.
        holder: the holder that was asked.
        need: what the holder needs itself.
        wanted: units that the peer lacks, at least 0.

    Example:
        >>> fair_share(4, {"e-1": 4}, "e-1", HolderNeed(4, 12), wanted=12)
        2
        >>> fair_share(4, {"e-1": 2, "e-2": 2}, "e-1", HolderNeed(2, 12), wanted=10)
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
    """Return the row without holders whose lease and requests have ended."""
    gone = set(gone_holders)
    return {
        holder: amount
        for holder, amount in amount_by_holder.items()
        if holder not in gone
    }


def is_reclaimable(
    gone_seconds: float, lease_seconds: float, longest_request_seconds: float
) -> bool:
    """Return whether a holder gone for ``gone_seconds`` can have no running work.

    Its lease has ended after ``lease_seconds``, and the last request that it admitted
    has then ended after ``longest_request_seconds``, at its deadline. 2% are added
    because clocks run at different rates.
    """
    return gone_seconds > 1.02 * (lease_seconds + longest_request_seconds)


def _with_amount(
    amount_by_holder: Mapping[str, int], holder: str, amount: int
) -> dict[str, int]:
    row = {**amount_by_holder, holder: amount}
    if amount <= 0:
        del row[holder]
    return row


def _validate(limit: int, need: HolderNeed) -> None:
    if limit < 0:
        raise ValueError(f"limit must be >= 0, got {limit!r}")
    if not 0 <= need.in_use <= need.wanted:
        raise ValueError(f"need must have 0 <= in_use <= wanted, got {need!r}")
