"""Ownership of pools: takes pools over, detects lost ones and releases them.

Each pool has a row that names its owner. Other writes for the pool depend on the
version of that row, so that a former owner can no longer write.
"""

import logging
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..fleet.fence import Fence
from ..membership.interface import MembershipSnapshot
from ..policy.ownership import OwnershipAction, OwnershipView, decide_ownership
from ..ports import (
    ABSENT_VERSION,
    Clock,
    Committed,
    Condition,
    Row,
    RowKey,
    Table,
    Transaction,
    Unavailable,
    Write,
)
from ..runtime import log_event
from ..state import owner_key

logger = logging.getLogger(__name__)

UNCHANGED_READ_SECONDS = 5.0
"""Time between reads of the owners' rows while members and configuration stay the
same and every pool has a live owner. Read every 0.5 s, the rows of 42 pools take 84
reads and 9 KB a second."""


class Ownership(NamedTuple):
    """Ownership of a pool by this controller.

    The epoch increases with each change of the owner and serves as fencing token.
    """

    pool: str
    member_id: str
    epoch: int
    fence: Fence


class OwnershipChanges(NamedTuple):
    """Pools gained and lost in a step, and pools that the caller must release."""

    gained: list[Ownership]
    lost: list[str]
    to_release: list[str]


class OwnershipManager:
    """Reads the owners' rows and takes pools over.

    Args:
        table: client of the table service.
        clock: clock for the wait after an owner was evicted.
    """

    def __init__(self, table: Table, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._ownership_by_pool: dict[str, Ownership] = {}
        self._live_since_by_id: dict[str, float] = {}
        self._left_since_by_id: dict[str, float] = {}
        self._unchanged_inputs: tuple[str, int, frozenset[str]] | None = None
        self._next_read_at = 0.0

    @property
    def ownership_by_pool(self) -> Mapping[str, Ownership]:
        """Pools that this controller owns."""
        return self._ownership_by_pool

    def step(self, snapshot: MembershipSnapshot) -> OwnershipChanges:
        """Compare the owners' rows with the live members and take pools over if due."""
        if snapshot.environment is None or not snapshot.is_fresh(self._clock.now()):
            return OwnershipChanges([], [], [])
        live_ids = self._update_live_ids(snapshot)
        inputs = (snapshot.member_id, snapshot.revision, frozenset(live_ids))
        now = self._clock.now()
        if inputs == self._unchanged_inputs and now < self._next_read_at:
            return OwnershipChanges([], [], [])
        self._unchanged_inputs = None
        pools = sorted(snapshot.environment.pool_by_name)
        rows = self._table.read([owner_key(pool) for pool in pools])
        if isinstance(rows, Unavailable):
            return OwnershipChanges([], [], [])
        lost = self._drop_lost(snapshot, rows)
        gained: list[Ownership] = []
        to_release: list[str] = []
        for pool in pools:
            row = rows.get(owner_key(pool))
            action = self._decide(snapshot, pool, row, live_ids)
            if action == OwnershipAction.RELEASE:
                to_release.append(pool)
            if action == OwnershipAction.KEEP and row is not None:
                # The row names this controller already: both the answer to the
                # take-over and the read after it were lost.
                is_new = pool not in self._ownership_by_pool
                gained += [self._adopt(snapshot, row)] if is_new else []
            if action == OwnershipAction.TAKE:
                ownership = self._take_over(snapshot, pool, row)
                gained += [ownership] if ownership else []
        changes = OwnershipChanges(gained, lost, to_release)
        if not any(changes) and _have_live_owners(pools, rows, live_ids):
            self._unchanged_inputs = inputs
            self._next_read_at = now + UNCHANGED_READ_SECONDS
        return changes

    def release(self, pool: str) -> bool:
        """Release a pool whose actor has stopped; return whether this took effect."""
        ownership = self._ownership_by_pool.pop(pool, None)
        if ownership is None:
            return False
        value = {"member_id": "", "epoch": ownership.epoch}
        writes = [Write(owner_key(pool), value)]
        outcome = self._table.commit(Transaction([ownership.fence.condition], writes))
        log_event(
            logger, "pool release attempted", pool=pool, outcome=type(outcome).__name__
        )
        return isinstance(outcome, Committed)

    def _update_live_ids(self, snapshot: MembershipSnapshot) -> set[str]:
        now = self._clock.now()
        live_ids = {
            member_id
            for member_id, record in snapshot.member_by_id.items()
            if record.role == "controller" and not record.is_evicted
        }
        self._live_since_by_id = {
            member_id: self._live_since_by_id.get(member_id, now)
            for member_id in live_ids
        }
        for member_id in live_ids & self._left_since_by_id.keys():
            del self._left_since_by_id[member_id]
        return live_ids

    def _drop_lost(
        self, snapshot: MembershipSnapshot, rows: Mapping[RowKey, Row]
    ) -> list[str]:
        lost = []
        for pool, ownership in list(self._ownership_by_pool.items()):
            row = rows.get(owner_key(pool))
            is_same_row = row is not None and row.version == ownership.fence.version
            if not is_same_row or ownership.member_id != snapshot.member_id:
                del self._ownership_by_pool[pool]
                lost.append(pool)
                log_event(
                    logger, "pool ownership lost", pool=pool, epoch=ownership.epoch
                )
        return lost

    def _decide(
        self,
        snapshot: MembershipSnapshot,
        pool: str,
        row: Row | None,
        live_ids: set[str],
    ) -> OwnershipAction:
        now = self._clock.now()
        owner_id = row.value["member_id"] if row else ""
        seconds_since_left = 0.0
        if owner_id and owner_id not in live_ids:
            seconds_since_left = now - self._left_since_by_id.setdefault(owner_id, now)
        seconds_live_by_id = {
            member_id: now - since
            for member_id, since in self._live_since_by_id.items()
        }
        view = OwnershipView(
            pool, snapshot.member_id, owner_id, seconds_live_by_id, seconds_since_left
        )
        return decide_ownership(view)

    def _take_over(
        self, snapshot: MembershipSnapshot, pool: str, row: Row | None
    ) -> Ownership | None:
        key = owner_key(pool)
        epoch = (row.value["epoch"] if row else 0) + 1
        value = {"member_id": snapshot.member_id, "epoch": epoch}
        version = row.version if row else ABSENT_VERSION
        if not snapshot.is_fresh(self._clock.now()):
            return None
        outcome = self._table.commit(
            Transaction([Condition(key, version)], [Write(key, value)])
        )
        if isinstance(outcome, Committed):
            return self._record_ownership(
                pool, snapshot, epoch, outcome.versions_by_row_key[key]
            )
        if isinstance(outcome, Unavailable) and outcome.may_have_committed:
            rows = self._table.read([key])
            seen = None if isinstance(rows, Unavailable) else rows.get(key)
            if seen is not None and seen.value == value:
                return self._record_ownership(pool, snapshot, epoch, seen.version)
        return None

    def _adopt(self, snapshot: MembershipSnapshot, row: Row) -> Ownership:
        return self._record_ownership(
            row.row_key.key, snapshot, row.value["epoch"], row.version
        )

    def _record_ownership(
        self, pool: str, snapshot: MembershipSnapshot, epoch: int, version: int
    ) -> Ownership:
        ownership = Ownership(pool, snapshot.member_id, epoch, Fence(pool, version))
        self._ownership_by_pool[pool] = ownership
        log_event(logger, "pool ownership taken", pool=pool, epoch=epoch)
        return ownership


def _have_live_owners(
    pools: Sequence[str], rows: Mapping[RowKey, Row], live_ids: set[str]
) -> bool:
    owners = [rows.get(owner_key(pool)) for pool in pools]
    return all(row and row.value["member_id"] in live_ids for row in owners)
