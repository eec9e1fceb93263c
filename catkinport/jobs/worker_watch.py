"""Follows the workers: their list, their leases and what they say of their runs."""

import asyncio
import logging
from typing import Any

from ..policy.resources import Resources
from ..ports import Unavailable
from ..ports.fleet_workers import ListedWorker, WorkerLists
from ..ports.table import Committed, Row, Transaction, Write
from ..runtime.logs import log_event
from .session import RETRY_SECONDS, OwnerSession
from .state_store import StateStore
from .tables import roster_key
from .worker_state import LEASE_SECONDS, RENEW_CONTACT_SECONDS, WorkerBelief

logger = logging.getLogger(__name__)

HOLD_WAIT_SECONDS = 1.0
"""How long a worker may wait for an end before it answers a look at its lists."""

HOLD_PAUSE_SECONDS = 0.15
"""Pause after a look that had no answer."""

LIST_SECONDS = 0.4
"""Time between reads of the list of workers. A worker that drains must get nothing new
within 2 s of its notice."""


class WorkerWatch:
    """Looks at every worker again and again.

    Args:
        session: the ownership.
        store: stores the ends that workers list.
        former_bound: clock time in seconds after which nothing that a former owner
            ordered can run on an unseen worker.
    """

    def __init__(
        self, session: OwnerSession, store: StateStore, former_bound: float
    ) -> None:
        self._session = session
        self._store = store
        self._former_bound = former_bound
        self._holds: dict[str, asyncio.Task[Any]] = {}
        self._roster_by_pool: dict[str, dict[str, Any]] = {}

    def take_roster_row(self, row: Row, now: float) -> None:
        """Take over a pool's workers from the former owner."""
        pool = row.row_key.key
        entries = row.value.get("workers", {})
        self._roster_by_pool[pool] = dict(entries)
        for worker_id, entry in entries.items():
            listed = _worker_from_roster(worker_id, pool, entry)
            belief = WorkerBelief(listed)
            belief.is_enrolled = True
            belief.is_listed = False
            belief.lease_until = self._former_bound
            belief.vm_id = entry.get("vm", "")
            self._session.dispatcher.worker_by_id[worker_id] = belief
            self._session.dispatcher.unresolved_by_id[worker_id] = pool
            self._start_hold(worker_id)

    async def run(self) -> None:
        """Follow the list of workers until the ownership ends."""
        while True:
            listed = await self._session.ports.workers.list_workers()
            if isinstance(listed, Unavailable):
                log_event(logger, "workers not listed", reason=listed.reason)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            await self._take_listed(listed)
            await asyncio.sleep(LIST_SECONDS)

    async def _take_listed(self, listed: list[ListedWorker]) -> None:
        now = self._session.clock.now()
        self._session.dispatcher.update_workers(listed, now)
        self._resolve_old_workers(now)
        for worker_id in list(self._session.dispatcher.worker_by_id):
            self._start_hold(worker_id)
        await self._store_roster()
        self._session.wake.set()

    def _resolve_old_workers(self, now: float) -> None:
        if now > self._former_bound:
            self._session.dispatcher.resolve_all()

    async def _store_roster(self) -> None:
        """Store which workers may run tasks, before they get any."""
        roster_by_pool: dict[str, dict[str, Any]] = {}
        for belief in self._session.dispatcher.worker_by_id.values():
            entries = roster_by_pool.setdefault(belief.listed.pool, {})
            entries[belief.worker_id] = _roster_entry(belief)
        for pool in set(self._roster_by_pool) - set(roster_by_pool):
            roster_by_pool[pool] = {}
        changed = {
            pool: entries
            for pool, entries in roster_by_pool.items()
            if self._roster_by_pool.get(pool) != entries
        }
        if changed:
            writes = [
                Write(roster_key(pool), {"workers": entries})
                for pool, entries in changed.items()
            ]
            transaction = Transaction([self._session.owner_condition()], writes)
            outcome = await self._session.table.commit(transaction)
            if not isinstance(outcome, Committed):
                log_event(logger, "roster not stored", reason=type(outcome).__name__)
                return
            self._roster_by_pool.update(changed)
        for belief in self._session.dispatcher.worker_by_id.values():
            belief.is_enrolled = True

    def _start_hold(self, worker_id: str) -> None:
        task = self._holds.get(worker_id)
        if task is None or task.done():
            self._holds[worker_id] = self._session.spawn(self._hold_loop(worker_id))

    async def _hold_loop(self, worker_id: str) -> None:
        while True:
            belief = self._session.dispatcher.worker_by_id.get(worker_id)
            if belief is None:
                self._holds.pop(worker_id, None)
                return
            if self._session.lease.has_given_up(self._session.clock.now()):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            await self.look(belief)

    async def look(self, belief: WorkerBelief, may_wait: bool = True) -> None:
        """Renew a worker's lease and take in its lists."""
        sent_at = self._session.clock.now()
        is_fresh = (
            sent_at - belief.contact_at <= RENEW_CONTACT_SECONDS + HOLD_WAIT_SECONDS
        )
        lease_seconds = LEASE_SECONDS if is_fresh else 0.0
        if lease_seconds:
            belief.extend_lease(sent_at)
        has_news = belief.processed_end > belief.noted_end or not is_fresh
        wait_seconds = HOLD_WAIT_SECONDS if may_wait and not has_news else 0.0
        outcome = await self._session.ports.workers.hold(
            belief.listed,
            self._session.lease.token,
            belief.noted_end,
            lease_seconds,
            wait_seconds,
        )
        if isinstance(outcome, WorkerLists):
            await self._take_lists(belief, outcome, sent_at)
        elif isinstance(outcome, Unavailable):
            await asyncio.sleep(HOLD_PAUSE_SECONDS)
        else:
            self._session.check_fenced(outcome)
            await asyncio.sleep(RETRY_SECONDS)

    async def _take_lists(
        self, belief: WorkerBelief, lists: WorkerLists, sent_at: float
    ) -> None:
        before = belief.processed_end
        self._session.dispatcher.on_lists(
            belief.worker_id, lists, sent_at, self._session.clock.now()
        )
        self._session.wake.set()
        if belief.processed_end == belief.noted_end:
            return
        if belief.processed_end != before:
            self._session.store_wake.set()
        if not await self._store.wait_until_noted(belief, belief.processed_end):
            # The ends stay listed; until they are stored a look returns at once.
            await asyncio.sleep(RETRY_SECONDS)


def _roster_entry(belief: WorkerBelief) -> dict[str, Any]:
    worker = belief.listed
    return {
        "vm": belief.vm_id,
        "address": worker.address,
        "zone": worker.zone,
        "capacity": list(worker.capacity),
        "labels": list(worker.labels),
    }


def _worker_from_roster(
    worker_id: str, pool: str, entry: dict[str, Any]
) -> ListedWorker:
    return ListedWorker(
        worker_id=worker_id,
        pool=pool,
        address=entry["address"],
        zone=entry["zone"],
        is_draining=False,
        remaining_seconds=0.0,
        capacity=Resources(*entry["capacity"]),
        labels=tuple(entry["labels"]),
        born=0.0,
    )
