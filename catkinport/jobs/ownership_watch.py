"""Follows who owns the fleet, and claims the ownership when it is free."""

import asyncio
import logging
import random
from typing import Any, NamedTuple

from ..policy.leadership import OwnerSighting, OwnerWatch
from ..ports import Unavailable
from ..ports.async_table import AsyncTable, Changes, HistoryLost, commit_until_known
from ..ports.clock import Clock
from ..ports.table import ABSENT_VERSION, Committed, Condition, Row, Transaction, Write
from ..runtime.logs import log_event
from .tables import BEAT_KEY, LEADER_TABLE, OWNER_KEY

logger = logging.getLogger(__name__)

FOLLOW_SECONDS = 0.3
"""Longest wait of one look at the ownership."""

RETRY_SECONDS = 0.2
"""Pause after a look that had no answer."""

CLAIM_SPREAD_SECONDS = 0.25
"""Daemons claim at different moments within this time."""

MAX_CLAIM_SPREAD_SECONDS = 2.0
"""Largest spread, after claims that had no answer because too many came at once."""

SLOW_SECONDS = 0.05
"""Latency of the store at which claims are spread twice as far."""

CLAIM_ATTEMPTS = 2
"""Attempts of one claim."""


class Claim(NamedTuple):
    """A successful claim.

    Args:
        token: fencing token.
        sent_at: clock time in seconds at which the claim was sent.
        former_changed_at: clock time in seconds at which the former owner was last seen
            to renew, or to have ended; ``None`` if there was none.
        is_former_ended: whether the former owner surely gives no more orders.
    """

    token: int
    sent_at: float
    former_changed_at: float | None
    is_former_ended: bool


class QueueDepths(NamedTuple):
    """Jobs of each queue that have not begun, as the owner wrote them.

    Args:
        n_by_queue: number of jobs by queue.
        seen_at: clock time in seconds at which this daemon saw them.
    """

    n_by_queue: dict[str, int]
    seen_at: float


class OwnershipWatch:
    """Watches the rows of the ownership.

    Args:
        table: client of the table service.
        clock: steady clock.
        name: name of this daemon.
        rng: source of the spread of claims.
        claim_delay_seconds: how long this daemon lets stronger ones claim first.
    """

    def __init__(
        self,
        table: AsyncTable,
        clock: Clock,
        name: str,
        rng: random.Random,
        claim_delay_seconds: float = 0.0,
    ) -> None:
        self._table = table
        self._clock = clock
        self._name = name
        self._claim_delay_seconds = claim_delay_seconds
        self._rng = rng
        self._watch = OwnerWatch()
        self._row_by_key: dict[str, Row] = {}
        self._version: int | None = None
        self.depths: QueueDepths | None = None

    async def wait_for_claim(self, stop: asyncio.Event) -> Claim | None:
        """Watch until this daemon owns the fleet, or ``stop`` is set."""
        largest = CLAIM_SPREAD_SECONDS
        spread = self._rng.uniform(0, largest)
        while not stop.is_set():
            if not await self.look():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if not self._may_claim(spread):
                continue
            claim = await self._claim()
            if claim is not None:
                return claim
            largest = min(largest * 2, MAX_CLAIM_SPREAD_SECONDS)
            spread = self._rng.uniform(0, largest)
        return None

    def _may_claim(self, spread: float) -> bool:
        sighting = self._watch.sighting
        is_own_former = sighting is not None and sighting.is_own_former
        # Nobody else claims sooner than the VM of a former owner that is strong enough.
        # On a slow store claims wait for each other, so they are spread further.
        slow_spread = spread * (1 + self._watch.latency_seconds / SLOW_SECONDS)
        wait_seconds = 0.0 if is_own_former else slow_spread
        wait_seconds += self._claim_delay_seconds
        return self._watch.may_claim(self._clock.now(), wait_seconds)

    async def look(self) -> bool:
        """Read or follow the rows once; return whether there was an answer."""
        if self._version is None:
            return await self._read()
        sighting = self._watch.sighting
        is_free = sighting is None or not sighting.owner_version or sighting.is_released
        wait_seconds = 0.05 if is_free else FOLLOW_SECONDS
        sent_at = self._clock.now()
        outcome = await self._table.follow(LEADER_TABLE, self._version, wait_seconds)
        if isinstance(outcome, Changes) and not outcome.rows:
            self._watch.note_latency(self._clock.now() - sent_at - wait_seconds)
        if isinstance(outcome, HistoryLost):
            self._version = None
            return True
        if not isinstance(outcome, Changes):
            return False
        self._version = outcome.version
        for row in outcome.rows:
            self._row_by_key[row.row_key.key] = row
        self._observe()
        return True

    async def _read(self) -> bool:
        snapshot = await self._table.read_range(LEADER_TABLE)
        if isinstance(snapshot, Unavailable):
            return False
        self._version = snapshot.version
        self._row_by_key = {row.row_key.key: row for row in snapshot.rows}
        self._observe()
        return True

    def _observe(self) -> None:
        now = self._clock.now()
        owner = self._row_by_key.get(OWNER_KEY.key)
        beat = self._row_by_key.get(BEAT_KEY.key)
        value: dict[str, Any] = (beat.value if beat else None) or {}
        owner_version = owner.version if owner else ABSENT_VERSION
        sighting = OwnerSighting(
            owner_version,
            beat.version if beat else ABSENT_VERSION,
            bool(value.get("released")) and value.get("token") == owner_version,
            bool(owner) and (owner.value or {}).get("owner") == self._name,
        )
        former = self._watch.sighting
        self._watch.observe(sighting, now)
        if former is None or former.owner_version != owner_version:
            log_event(
                logger,
                "owner seen",
                owner=(owner.value if owner else {}).get("owner", ""),
                token=owner_version,
            )
        if sighting != former:
            self.depths = QueueDepths(value.get("waiting", {}), now)

    async def _claim(self) -> Claim | None:
        sighting = self._watch.sighting
        assert sighting is not None
        sent_at = self._clock.now()
        transaction = Transaction(
            [
                Condition(OWNER_KEY, sighting.owner_version),
                Condition(BEAT_KEY, sighting.beat_version),
            ],
            [Write(OWNER_KEY, {"owner": self._name, "claimed_at": sent_at})],
        )
        outcome = await commit_until_known(self._table, transaction, CLAIM_ATTEMPTS)
        log_event(
            logger,
            "ownership claimed",
            former_token=sighting.owner_version,
            released=sighting.is_released,
            silent_seconds=round(sent_at - self._watch.changed_at, 2),
            outcome=type(outcome).__name__,
        )
        if not isinstance(outcome, Committed):
            self._version = None
            return None
        is_first = sighting.owner_version == ABSENT_VERSION
        # A former process of this daemon ended before this one began to watch.
        ended_at = sent_at if sighting.is_own_former else self._watch.changed_at
        return Claim(
            outcome.versions_by_row_key[OWNER_KEY],
            sent_at,
            None if is_first else ended_at,
            sighting.is_former_ended,
        )
