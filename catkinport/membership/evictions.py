"""Evictions of silent members, and their removal from the roster afterwards."""

import logging
from collections.abc import Collection

from ..runtime import log_event
from .member_state import MemberState
from .roster_client import RosterClient

_logger = logging.getLogger(__name__)


def evict_or_remove_members(
    state: MemberState, roster: RosterClient, now: float
) -> None:
    """Start an eviction or a removal if one is due and no write is in progress."""
    freshness = state.freshness
    if freshness is None or roster.is_writing:
        return
    silent = freshness.ids_to_evict(now)
    if silent:
        _log_roster_change("eviction of silent members started", silent)
        roster.evict(silent)
        return
    ended = freshness.completed_evictions(
        now, state.configuration.longest_request_seconds
    )
    if ended and freshness.is_store_reachable(now):
        _log_roster_change("removal of evicted members started", ended)
        roster.remove(ended)


def _log_roster_change(event: str, member_ids: Collection[str]) -> None:
    log_event(_logger, event, member_ids=",".join(member_ids))
