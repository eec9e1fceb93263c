"""Decides which controller owns a pool and when it may take the pool over.

The owner of a pool is the one controller that manages it. Controllers that see the same
live controllers choose the same preferred owner. A row in the store names the present
owner.
"""

import hashlib
from collections.abc import Collection, Mapping
from enum import StrEnum
from typing import NamedTuple

FRESHNESS_SECONDS = 2.0
"""Length of the freshness lease, which a controller must hold to act as an owner."""

TAKEOVER_WAIT_SECONDS = FRESHNESS_SECONDS * 1.02
"""Time after which the lease of an evicted owner has ended. It is 2% longer than the
lease, because clocks drift."""

HAND_OVER_WAIT_SECONDS = 10.0
"""A preferred owner must be live for this long before a pool is handed to it, so
that a controller that restarts repeatedly does not attract pools."""


class OwnershipAction(StrEnum):
    """What a controller does about the ownership of a pool.

    With ``WAIT`` it takes the pool over once the former owner's lease has ended.
    """

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
        owner_id: id of the controller that the pool's row names as owner; empty when
            the pool has no owner.
        seconds_live_by_id: for each live controller, how many seconds this controller
            has seen it live.
        seconds_since_owner_left: seconds since this controller saw that the owner was
            evicted or absent from the roster; 0 while the owner is live.
    """

    pool: str
    own_id: str
    owner_id: str
    seconds_live_by_id: Mapping[str, float]
    seconds_since_owner_left: float


def choose_owner(pool: str, controller_ids: Collection[str]) -> str:
    """Return the preferred owner by rendezvous hashing; empty without controllers.

    When a controller joins or leaves, only the pools that it gains or loses change
    their preferred owner.

    Example:
        >>> choose_owner("renders", ["c-1"])
        'c-1'
        >>> choose_owner("renders", [])
        ''
    """
    return max(controller_ids, key=lambda name: (_weight(pool, name), name), default="")


def decide_ownership(view: OwnershipView) -> OwnershipAction:
    """Decide what the controller ``view.own_id`` does about the pool.

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
        is_live_long_enough = live[preferred] >= HAND_OVER_WAIT_SECONDS
        should_release = preferred != view.own_id and is_live_long_enough
        return OwnershipAction.RELEASE if should_release else OwnershipAction.KEEP
    if view.owner_id in live or preferred != view.own_id:
        return OwnershipAction.IGNORE
    if view.owner_id and view.seconds_since_owner_left < TAKEOVER_WAIT_SECONDS:
        return OwnershipAction.WAIT
    return OwnershipAction.TAKE


def _weight(pool: str, controller_id: str) -> bytes:
    return hashlib.blake2b(f"{pool}\0{controller_id}".encode()).digest()
