"""Follows who owns the fleet, and claims the ownership when it is free.

The ownership is two rows of the table service: the owner's row, which is replaced at
each claim, and a row that the owner renews.
"""

import asyncio
import logging
import random
from typing import Any, NamedTuple

from ...policy.leadership import TAKEOVER_SECONDS, OwnerRows, OwnerWatch
from ...policy.takeover_time import TakeoverTime, decode_takeover_seconds
from ...ports import Unavailable
from ...ports.async_table import AsyncTable, Changes, HistoryLost, commit_until_known
from ...ports.clock import Clock
from ...ports.table import ABSENT_VERSION, Committed, Condition, Row, Transaction, Write
from ...runtime.logs import log_event
from ..tables import CANDIDATE_KEY, HEARTBEAT_KEY, LEADER_TABLE, OWNER_KEY

logger = logging.getLogger(__name__)

FOLLOW_SECONDS = 0.3
"""Longest wait of one long-poll call on the change feed of the two rows."""

RETRY_SECONDS = 0.2
"""Pause after a call to the table service that had no answer."""

CLAIM_JITTER_SECONDS = 0.25
"""Daemons delay a claim by a random time up to this, so that they do not all claim at
the same moment."""

MAX_CLAIM_JITTER_SECONDS = 2.0
"""Largest such delay. The limit doubles after each failed claim up to this, because
claims may get no answer when too many are sent at once."""

DOUBLE_JITTER_LATENCY_SECONDS = 0.05
"""Latency of the table service, in seconds, at which delays of claims double."""

MAX_CLAIM_DELAY_SECONDS = 2.0
"""Longest random delay of a claim, however slow the table service is."""

CANDIDACY_SHARE = 0.3
"""Probability with which a daemon becomes a candidate at a renewal that asks for one,
so that not all of them write the row at the same moment."""

CLAIM_ATTEMPTS = 2
"""Commits tried for one claim while its outcome is unknown."""


class Claim(NamedTuple):
    """A claim that made this daemon the owner.

    Args:
        token: fencing token.
        sent_at: clock time in seconds at which the claim was sent.
        former_changed_at: clock time in seconds at which the latest renewal of the
            former owner, or its end, was seen; ``None`` if there was no former owner.
        is_former_ended: whether neither the former owner nor one before it can renew
            a lease any more.
        takeover_seconds: time without a renewal after which others may replace this
            owner, as the claim states.
    """

    token: int
    sent_at: float
    former_changed_at: float | None
    is_former_ended: bool
    takeover_seconds: float = TAKEOVER_SECONDS


class QueueDepths(NamedTuple):
    """Numbers of jobs that have not begun, as the owner stored them with a renewal.

    Args:
        n_by_queue: number of jobs by queue.
        seen_at: clock time in seconds at which this daemon read them.
    """

    n_by_queue: dict[str, int]
    seen_at: float


class OwnershipWatch:
    """Watcher of the ownership, which claims it for this daemon when it is free.

    Args:
        table: client of the table service.
        clock: steady clock.
        name: name of this daemon.
        rng: source of the random delays of claims.
        claim_delay_seconds: time for which this daemon lets daemons on stronger VMs
            claim first.

    Attributes:
        depths: numbers of waiting jobs as last read; ``None`` before the first read.
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
        self._latest_renewal: dict[str, Any] = {}
        self.depths: QueueDepths | None = None

    async def wait_for_claim(self, stop: asyncio.Event) -> Claim | None:
        """Follow the ownership until this daemon holds it or ``stop`` is set.

        Returns:
            The successful claim; ``None`` if ``stop`` was set.
        """
        max_jitter = CLAIM_JITTER_SECONDS
        jitter = self._rng.uniform(0, max_jitter)
        while not stop.is_set():
            if not await self.poll():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if not self._may_claim(jitter):
                await self._stand_as_candidate()
                continue
            claim = await self._claim()
            if claim is not None:
                return claim
            max_jitter = min(max_jitter * 2, MAX_CLAIM_JITTER_SECONDS)
            jitter = self._rng.uniform(0, max_jitter)
        return None

    def _may_claim(self, jitter: float) -> bool:
        owner_rows = self._watch.owner_rows
        is_earlier_process = owner_rows is not None and owner_rows.is_earlier_process
        # A daemon whose earlier process was the owner claims without a random delay,
        # so it comes before the others unless its VM is small: a smaller VM waits
        # longer before it claims (see ``policy/leadership.py``). A slow table service
        # makes claims wait for each other, so their delays grow with its latency.
        factor = 1 + self._watch.latency_seconds / DOUBLE_JITTER_LATENCY_SECONDS
        scaled_jitter = min(jitter * factor, MAX_CLAIM_DELAY_SECONDS)
        wait_seconds = 0.0 if is_earlier_process else scaled_jitter
        wait_seconds += self._claim_delay_seconds
        return self._watch.may_claim(self._clock.now(), wait_seconds)

    def find_candidate_token(self) -> int:
        """Return the token of the owner that a candidate can succeed; 0 for none."""
        row = self._row_by_key.get(CANDIDATE_KEY.key)
        return (row.value or {}).get("token", 0) if row else 0

    def find_stored_renewal(self, token: int) -> float | None:
        """Return when the latest renewal that was seen in its row was sent.

        Args:
            token: fencing token of the owner whose renewals count.

        Returns:
            Clock time of that owner in seconds; ``None`` if none was seen.
        """
        if self._latest_renewal.get("token") != token:
            return None
        return self._latest_renewal.get("sent_at")

    async def _stand_as_candidate(self) -> None:
        """Tell an owner that falls behind that this daemon can take over.

        The owner releases the ownership only then, as it would otherwise stop all
        orders for nothing.
        """
        owner_rows = self._watch.owner_rows
        if owner_rows is None or self._claim_delay_seconds:
            return
        token = owner_rows.owner_version
        value = self._latest_renewal
        is_wanted = bool(value.get("wants_successor")) and value.get("token") == token
        if not is_wanted or self.find_candidate_token() == token:
            return
        if self._rng.random() >= CANDIDACY_SHARE:
            return
        former = self._row_by_key.get(CANDIDATE_KEY.key)
        conditions = [
            Condition(OWNER_KEY, token),
            Condition(CANDIDATE_KEY, former.version if former else ABSENT_VERSION),
        ]
        write = Write(CANDIDATE_KEY, {"token": token, "name": self._name})
        outcome = await self._table.commit(Transaction(conditions, [write]))
        log_event(
            logger,
            "ownership candidacy stored",
            token=token,
            outcome=type(outcome).__name__,
        )

    async def poll(self) -> bool:
        """Read the rows, or wait for a change; return whether there was an answer."""
        if self._version is None:
            return await self._read()
        owner_rows = self._watch.owner_rows
        is_free = (
            owner_rows is None or not owner_rows.owner_version or owner_rows.is_released
        )
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
        renewal_row = self._row_by_key.get(HEARTBEAT_KEY.key)
        value = self._find_latest_renewal(renewal_row)
        owner_version = owner.version if owner else ABSENT_VERSION
        owner_value: dict[str, Any] = (owner.value if owner else None) or {}
        # Until an owner has renewed once, an earlier owner wrote the heartbeat row.
        is_own_renewal = value.get("token") == owner_version
        owner_rows = OwnerRows(
            owner_version,
            renewal_row.version if renewal_row else ABSENT_VERSION,
            bool(value.get("released")) and is_own_renewal,
            owner_value.get("owner") == self._name,
            bool(value.get("resolved")) and is_own_renewal,
            decode_takeover_seconds(
                (value if is_own_renewal else owner_value).get("takeover_seconds")
            ),
        )
        former = self._watch.owner_rows
        self._watch.observe(owner_rows, now)
        if former is None or former.owner_version != owner_version:
            log_event(
                logger,
                "owner seen",
                owner=owner_value.get("owner", ""),
                token=owner_version,
            )
        # A claim changes only the owner's row, and the numbers are as old as before.
        is_renewed = (
            former is None or former.heartbeat_version != owner_rows.heartbeat_version
        )
        if is_renewed and "waiting" in value:
            self.depths = QueueDepths(value["waiting"], now)

    def _find_latest_renewal(self, row: Row | None) -> dict[str, Any]:
        """Return the value of the renewal that the owner has sent last.

        The row may hold an earlier one that was stored late.
        """
        value: dict[str, Any] = (row.value if row else None) or {}
        latest = self._latest_renewal
        is_earlier = value.get("token") == latest.get("token") and (
            value.get("sent_at", 0.0) < latest.get("sent_at", 0.0)
        )
        if not is_earlier:
            self._latest_renewal = value
        return self._latest_renewal

    async def _claim(self) -> Claim | None:
        owner_rows = self._watch.owner_rows
        assert owner_rows is not None
        sent_at = self._clock.now()
        takeover_seconds = TakeoverTime(self._watch.latency_seconds).stated_seconds
        value = {
            "owner": self._name,
            "claimed_at": sent_at,
            "takeover_seconds": takeover_seconds,
        }
        transaction = Transaction(
            [
                Condition(OWNER_KEY, owner_rows.owner_version),
                Condition(HEARTBEAT_KEY, owner_rows.heartbeat_version),
            ],
            [Write(OWNER_KEY, value)],
        )
        outcome = await commit_until_known(self._table, transaction, CLAIM_ATTEMPTS)
        log_event(
            logger,
            "ownership claim attempted",
            former_token=owner_rows.owner_version,
            released=owner_rows.is_released,
            silent_seconds=round(sent_at - self._watch.changed_at, 2),
            outcome=type(outcome).__name__,
        )
        if not isinstance(outcome, Committed):
            self._version = None
            return None
        is_first = owner_rows.owner_version == ABSENT_VERSION
        # An earlier process of this daemon ended before this process started.
        ended_at = sent_at if owner_rows.is_earlier_process else self._watch.changed_at
        return Claim(
            outcome.versions_by_row_key[OWNER_KEY],
            sent_at,
            None if is_first else ended_at,
            owner_rows.is_former_ended,
            takeover_seconds,
        )
