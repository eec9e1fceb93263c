"""Decides which controller owns a pool."""

import hashlib
from collections.abc import Collection, Mapping
from enum import StrEnum
from typing import NamedTuple

FRESHNESS_SECONDS = 2.0
"""Length of a freshness lease."""

TAKEOVER_WAIT_SECONDS = FRESHNESS_SECONDS * 1.02
"""A waiter counts 2% more than the length of the lease, because clocks drift."""

HAND_OVER_WAIT_SECONDS = 10.0
"""A preferred owner must be live for this long before a pool is handed to it, so
that a controller that restarts repeatedly does not attract pools."""


class OwnershipAction(StrEnum):
    """What a controller does about a pool."""

    KEEP = "keep"
    TAKE = "take"
    WAIT = "wait"
    RELEASE = "release"
    IGNORE = "ignore"


class OwnershipView(NamedTuple):
    """What a controller knows of a pool's ownership.

    Args:
        pool: name of the pool.
        own_id: id of this controller.
        owner_id: id in the owner's row, empty when nobody owns the pool.
        seconds_live_by_id: how long this controller has seen each live one.
        seconds_since_owner_left: time since this controller saw the owner evicted or
            absent from the roster; 0 while it is live.
    """

    pool: str
    own_id: str
    owner_id: str
    seconds_live_by_id: Mapping[str, float]
    seconds_since_owner_left: float


def choose_owner(pool: str, controller_ids: Collection[str]) -> str:
    """Return the preferred owner by rendezvous hashing, empty without controllers.

    A controller that joins or leaves changes the owner of its own pools only.

    Example:
        >>> choose_owner("renders", ["c-1"])
        'c-1'
        >>> choose_owner("renders", [])
        ''
    """
    return max(controller_ids, key=lambda name: (_weight(pool, name), name), default="")


def decide_ownership(view: OwnershipView) -> OwnershipAction:
    """Decide what ``view.own_id`` does about the pool.

    Example:
        >>> view = OwnershipView("p", "c-1", "", {"c-1": 0.0}, 0.0)
        >>> decide_ownership(view).value
        'take'
    """
    live = view.seconds_live_by_id
    if view.own_id not in live:
        return OwnershipAction.IGNORE
    preferred = choose_owner(view.pool, live)
    if view.owner_id == view.own_id:
        is_settled = live[preferred] >= HAND_OVER_WAIT_SECONDS
        should_release = preferred != view.own_id and is_settled
        return OwnershipAction.RELEASE if should_release else OwnershipAction.KEEP
    if view.owner_id in live or preferred != view.own_id:
        return OwnershipAction.IGNORE
    if view.owner_id and view.seconds_since_owner_left < TAKEOVER_WAIT_SECONDS:
        return OwnershipAction.WAIT
    return OwnershipAction.TAKE


def _weight(pool: str, controller_id: str) -> bytes:
    return hashlib.blake2b(f"{pool}\0{controller_id}".encode()).digest()
