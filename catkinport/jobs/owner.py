"""The owner of the fleet: loads the state, then runs jobs until it is replaced.

All state changes happen on one event loop, in `Dispatcher` and `Planner`; the
coroutines here carry messages between those two, the table service and the workers.
"""

import asyncio
import contextlib
import logging
import time
from collections.abc import Coroutine
from typing import Any, NamedTuple

from ..policy.leadership import (
    BEAT_SECONDS,
    DOUBT_SECONDS,
    OwnLease,
    former_owner_bound,
)
from ..policy.resources import Resources
from ..ports import Unavailable
from ..ports.async_table import AsyncTable, Changes, HistoryLost, commit_until_known
from ..ports.clock import Clock
from ..ports.fleet_vms import FleetVms, UpkeepDesk
from ..ports.fleet_workers import (
    Done,
    FleetWorkers,
    ListedWorker,
    Rejected,
    Rejection,
    StartOrder,
    WorkerLists,
)
from ..ports.table import Committed, Condition, Conflict, Row, Transaction, Write
from ..runtime import Metrics
from ..runtime.logs import log_event
from .configuration import FleetConfiguration
from .dispatcher import (
    VM_LIST_LAG_SECONDS,
    Dispatcher,
    PaceOrder,
    StopOrder,
    is_over,
)
from .keeper import Keeper, VmBounds, VmOrder
from .model import Job, job_from_row
from .planner import PlannedStart, Planner, Ticket, WantedAdvice
from .record import JobRecord
from .tables import (
    BEAT_KEY,
    CANCEL_SUFFIX,
    JOBS_TABLE,
    OWN_VMS_KEY,
    OWNER_KEY,
    ROSTER_TABLE,
    STATES_TABLE,
    WAVES_TABLE,
    roster_key,
    state_key,
    wave_key,
)
from .worker_state import (
    LEASE_SECONDS,
    MAX_LEASE_SECONDS,
    RENEW_CONTACT_SECONDS,
    WorkerBelief,
)

logger = logging.getLogger(__name__)

HOLD_WAIT_SECONDS = 1.0
"""How long a worker may wait for an end before it answers a look at its lists."""

HOLD_PAUSE_SECONDS = 0.15
"""Pause after a look that had no answer."""

LIST_SECONDS = 0.4
"""Time between reads of the list of workers. A worker that drains must get nothing new
within 2 s of its notice."""

VM_LIST_SECONDS = 0.4
"""Time between reads of the platform's list of VMs, which shows dead ones first; each
read is charged."""

KEEP_SECONDS = 0.25
"""Time between two decisions about VMs."""

FEED_WAIT_SECONDS = 2.0
"""Longest wait of one call that follows the table of jobs."""

FEED_PAUSE_SECONDS = 0.02
"""Pause between such calls, so that jobs that come together are read together."""

RETRY_SECONDS = 0.2
"""Pause after a failed call to the table service."""

PLAN_TICK_SECONDS = 0.2
"""Longest time between two rounds of planning."""

PLAN_GAP_SECONDS = 0.008
"""Shortest time between two rounds of planning; bounds their processor time."""

ROWS_PER_COMMIT = 40
"""States stored in one transaction, which may name 100 rows in all."""

COMMIT_ATTEMPTS = 3
"""Attempts of one commit before its rows are taken up anew."""

RELEASE_SECONDS = 2.5
"""Longest time that a stopping owner tries to give the ownership up."""

STORE_WAIT_SECONDS = 1.0
"""Longest time that a look at a worker waits for its last ends to be stored."""


class OwnerPorts(NamedTuple):
    """What an owner talks to."""

    table: AsyncTable
    workers: FleetWorkers
    vms: FleetVms
    desk: UpkeepDesk
    clock: Clock
    metrics: Metrics


class OwnerBounds(NamedTuple):
    """Times that the platform names, in seconds.

    Args:
        vm_order_gap: shortest time between orders of two owners for one VM.
        vm: times of orders for VMs.
    """

    vm_order_gap: float
    vm: VmBounds


class FleetOwner:
    """Runs all jobs while this daemon holds the ownership.

    Args:
        ports: outside systems.
        configuration: version in force.
        token: fencing token, the version of the owner's row.
        renewed_at: clock time in seconds at which the claim was sent.
        former_changed_at: clock time in seconds at which the former owner was last seen
            to renew, or to have ended; ``None`` if there was none.
        is_former_ended: whether the former owner surely gives no more orders.
        bounds: times that the platform names.
    """

    def __init__(
        self,
        ports: OwnerPorts,
        configuration: FleetConfiguration,
        token: int,
        renewed_at: float,
        former_changed_at: float | None,
        is_former_ended: bool,
        bounds: OwnerBounds,
    ) -> None:
        self._ports = ports
        self._table = ports.table
        self._clock = ports.clock
        self._lease = OwnLease(token, renewed_at)
        self._former_bound = (
            former_owner_bound(former_changed_at, is_former_ended, MAX_LEASE_SECONDS)
            if former_changed_at is not None
            else 0.0
        )
        self.dispatcher = Dispatcher(configuration)
        self._planner = Planner(self.dispatcher)
        may_order_from = float("-inf")
        if former_changed_at is not None:
            # A former owner stops ordering VMs about when its lease is in doubt.
            doubt = 0.0 if is_former_ended else DOUBT_SECONDS
            may_order_from = former_changed_at + doubt + bounds.vm_order_gap
        self._keeper = Keeper(self.dispatcher, bounds.vm, may_order_from)
        self._wake = asyncio.Event()
        self._store_wake = asyncio.Event()
        self._stored = asyncio.Condition()
        self._deposed = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._holds: dict[str, asyncio.Task[Any]] = {}
        self._roster_by_pool: dict[str, dict[str, Any]] = {}
        self._asked_advice: set[str] = set()
        self._feed_version = 0
        self._loaded_at = 0.0

    @property
    def lease(self) -> OwnLease:
        """This owner's lease."""
        return self._lease

    def apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Take over a new version of the configuration."""
        self.dispatcher.apply_configuration(configuration)
        self._wake.set()

    async def run(self, stop: asyncio.Event) -> None:
        """Own the fleet until another daemon takes over or ``stop`` is set."""
        log_event(logger, "ownership begins", token=self._lease.token)
        waiters = [
            asyncio.ensure_future(self._deposed.wait()),
            asyncio.ensure_future(stop.wait()),
        ]
        self._spawn(self._beat_loop())
        self._spawn(self._work())
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for task in [*waiters, *self._tasks, *self._holds.values()]:
            task.cancel()
        if stop.is_set() and not self._deposed.is_set():
            await self._release()
        log_event(
            logger,
            "ownership ends",
            token=self._lease.token,
            reason="replaced" if self._deposed.is_set() else "stopping",
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # A broken invariant must not leave half an owner at work.
        logger.error("owner task failed", exc_info=task.exception())
        self._deposed.set()

    async def _work(self) -> None:
        while not await self._load():
            await asyncio.sleep(RETRY_SECONDS)
        self._spawn(self._feed_loop())
        self._spawn(self._store_loop())
        self._spawn(self._list_loop())
        self._spawn(self._vm_loop())
        self._spawn(self._plan_loop())
        self._spawn(self._keep_loop())

    # Ownership.

    def _owner_condition(self) -> Condition:
        return Condition(OWNER_KEY, self._lease.token)

    async def _beat_loop(self) -> None:
        while True:
            # A stored state renews the ownership too.
            due_at = self._lease.renewed_at + BEAT_SECONDS
            if self._clock.now() >= due_at:
                await self._beat()
                due_at = self._clock.now() + BEAT_SECONDS
            await asyncio.sleep(max(0.01, due_at - self._clock.now()))

    async def _beat(self, is_released: bool = False) -> None:
        sent_at = self._clock.now()
        write = self._beat_write(sent_at, is_released)
        transaction = Transaction([self._owner_condition()], [write])
        outcome = await self._table.commit(transaction)
        if isinstance(outcome, Committed):
            self._lease = self._lease._replace(renewed_at=sent_at)
        elif isinstance(outcome, Conflict):
            log_event(logger, "ownership lost", token=self._lease.token)
            self._deposed.set()
        else:
            log_event(
                logger,
                "ownership not renewed",
                token=self._lease.token,
                reason=outcome.reason,
                peer=outcome.peer,
                renewed_seconds_ago=round(sent_at - self._lease.renewed_at, 2),
            )

    def _beat_write(self, sent_at: float, is_released: bool = False) -> Write:
        value = {
            "token": self._lease.token,
            "sent_at": sent_at,
            "released": is_released,
            "waiting": self.dispatcher.count_waiting(),
        }
        return Write(BEAT_KEY, value)

    async def _release(self) -> None:
        try:
            await asyncio.wait_for(self._beat(is_released=True), RELEASE_SECONDS)
        except TimeoutError:
            log_event(logger, "ownership not released", token=self._lease.token)

    def _is_fenced(self, outcome: Any) -> bool:
        if not isinstance(outcome, Rejected) or outcome.reason is not Rejection.FENCED:
            return False
        # Only a later owner's token makes a worker or the platform refuse this one.
        if not self._deposed.is_set():
            log_event(logger, "order fenced", token=self._lease.token)
        self._deposed.set()
        return True

    # State.

    async def _load(self) -> bool:
        started_at = self._clock.now()
        jobs = await self._table.read_range(JOBS_TABLE)
        states = await self._table.read_range(STATES_TABLE)
        roster = await self._table.read_range(ROSTER_TABLE)
        for outcome in (jobs, states, roster):
            if isinstance(outcome, Unavailable):
                log_event(logger, "state not loaded", reason=outcome.reason)
                return False
        assert not isinstance(jobs, Unavailable)
        assert not isinstance(states, Unavailable)
        assert not isinstance(roster, Unavailable)
        self._feed_version = jobs.version
        over_ids = {row.row_key.key for row in states.rows if is_over(row.value)}
        now = self._clock.now()
        self._loaded_at = now
        # Workers come first: a job may only end once none of them may run it.
        for row in roster.rows:
            self._take_roster_row(row, now)
        for row in jobs.rows:
            self._take_job_row(row, now, True, over_ids)
        for row in states.rows:
            self.dispatcher.load_state(row.row_key.key, row.value, row.version)
        for record in self.dispatcher.job_by_id.values():
            record.skip_runs()
        self.dispatcher.settle_loaded()
        log_event(
            logger,
            "state loaded",
            n_jobs=len(self.dispatcher.job_by_id),
            n_workers=len(self.dispatcher.unresolved_by_id),
            version=jobs.version,
            seconds=round(now - started_at, 3),
        )
        return True

    def _take_job_row(
        self, row: Row, now: float, is_inherited: bool, over_ids: set[str]
    ) -> None:
        key = row.row_key.key
        if row.value is None:
            return
        job_id = key.removesuffix(CANCEL_SUFFIX)
        if job_id in over_ids:
            return
        if key.endswith(CANCEL_SUFFIX):
            self.dispatcher.cancel_job(job_id)
            return
        try:
            job: Job = job_from_row(row.value)
        except (KeyError, TypeError) as error:
            log_event(
                logger,
                "stored job unreadable",
                level=logging.ERROR,
                request_id=job_id,
                reason=repr(error),
            )
            return
        # Callers' daemons and this one have different steady clocks; the time of day
        # tells roughly how long ago the job was accepted.
        age = min(max(0.0, time.time() - job.accepted_at), 3600.0)
        self.dispatcher.add_job(job, now - age, is_inherited)
        self._note_work(job, now)

    def _note_work(self, job: Job, now: float) -> None:
        queue = self.dispatcher.configuration.queue_by_name.get(job.queue)
        if queue is not None:
            work = self.dispatcher.expected_core_seconds(job)
            self._keeper.note_work(queue.pool, work, now)

    def _take_roster_row(self, row: Row, now: float) -> None:
        pool = row.row_key.key
        entries = row.value.get("workers", {})
        self._roster_by_pool[pool] = dict(entries)
        for worker_id, entry in entries.items():
            listed = _worker_from_roster(worker_id, pool, entry)
            belief = WorkerBelief(listed, now)
            belief.is_enrolled = True
            belief.is_listed = False
            belief.lease_until = self._former_bound
            belief.vm_id = entry.get("vm", "")
            self.dispatcher.worker_by_id[worker_id] = belief
            self.dispatcher.unresolved_by_id[worker_id] = pool
            self._start_hold(worker_id)

    async def _feed_loop(self) -> None:
        while True:
            outcome = await self._table.follow(
                JOBS_TABLE, self._feed_version, FEED_WAIT_SECONDS
            )
            if isinstance(outcome, Changes):
                self._take_changes(outcome)
                await asyncio.sleep(FEED_PAUSE_SECONDS)
            elif isinstance(outcome, HistoryLost):
                await self._reread_jobs()
            else:
                log_event(logger, "job feed interrupted", reason=outcome.reason)
                await asyncio.sleep(RETRY_SECONDS)

    def _take_changes(self, changes: Changes) -> None:
        now = self._clock.now()
        for row in changes.rows:
            self._take_job_row(row, now, False, set())
        self._feed_version = changes.version
        if changes.rows:
            self._wake.set()

    async def _reread_jobs(self) -> None:
        log_event(logger, "job feed lost its history", version=self._feed_version)
        jobs = await self._table.read_range(JOBS_TABLE)
        states = await self._table.read_range(STATES_TABLE)
        if isinstance(jobs, Unavailable) or isinstance(states, Unavailable):
            await asyncio.sleep(RETRY_SECONDS)
            return
        over_ids = {row.row_key.key for row in states.rows if is_over(row.value)}
        now = self._clock.now()
        for row in jobs.rows:
            self._take_job_row(row, now, False, over_ids)
        self._feed_version = jobs.version
        self._wake.set()

    async def _store_loop(self) -> None:
        while True:
            await self._store_wake.wait()
            self._store_wake.clear()
            if not await self._store_dirty():
                self._store_wake.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def _store_dirty(self) -> bool:
        """Store all changed states, then let workers forget the ends in them."""
        beliefs = list(self.dispatcher.worker_by_id.values())
        end_by_worker = {b.worker_id: (b, b.born, b.processed_end) for b in beliefs}
        dirty = self.dispatcher.dirty_jobs()
        for first in range(0, len(dirty), ROWS_PER_COMMIT):
            if not await self._store_records(dirty[first : first + ROWS_PER_COMMIT]):
                return False
        for belief, born, end in end_by_worker.values():
            if belief.born == born:
                belief.noted_end = end
        async with self._stored:
            self._stored.notify_all()
        for record in dirty:
            self.dispatcher.forget_ended(record)
        return True

    async def _store_records(self, records: list[JobRecord]) -> bool:
        sent_at = self._clock.now()
        conditions = [self._owner_condition()]
        writes = []
        for record in records:
            key = state_key(record.job.job_id)
            conditions.append(Condition(key, record.row_version))
            writes.append(Write(key, record.to_row()))
            record.is_dirty = False
        # A renewal wakes every daemon, so not each commit carries one.
        is_renewal = sent_at - self._lease.renewed_at >= BEAT_SECONDS / 2
        beat = [self._beat_write(sent_at)] if is_renewal else []
        transaction = Transaction(conditions, [*writes, *beat])
        outcome = await commit_until_known(self._table, transaction, COMMIT_ATTEMPTS)
        if isinstance(outcome, Committed):
            if is_renewal:
                self._lease = self._lease._replace(renewed_at=sent_at)
            for record, write in zip(records, writes, strict=True):
                record.row_version = outcome.versions_by_row_key[write.row_key]
                log_event(
                    logger,
                    "job state stored",
                    request_id=record.job.job_id,
                    state=(write.value or {})["state"],
                    version=record.row_version,
                )
            return True
        for record in records:
            record.is_dirty = True
        if isinstance(outcome, Conflict):
            self._on_store_conflict(records, outcome)
        else:
            log_event(
                logger,
                "job states not stored",
                n_jobs=len(records),
                reason=outcome.reason,
                peer=outcome.peer,
            )
        return False

    def _on_store_conflict(self, records: list[JobRecord], outcome: Conflict) -> None:
        if OWNER_KEY in outcome.versions_by_row_key:
            log_event(logger, "ownership lost", token=self._lease.token)
            self._deposed.set()
            return
        # A commit of ours that had no answer was carried out late.
        for record in records:
            key = state_key(record.job.job_id)
            if key in outcome.versions_by_row_key:
                record.row_version = outcome.versions_by_row_key[key]
        log_event(logger, "late commit found", n_jobs=len(outcome.versions_by_row_key))

    # Workers.

    async def _list_loop(self) -> None:
        while True:
            listed = await self._ports.workers.list_workers()
            if isinstance(listed, Unavailable):
                log_event(logger, "workers not listed", reason=listed.reason)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            await self._take_listed(listed)
            await asyncio.sleep(LIST_SECONDS)

    async def _take_listed(self, listed: list[ListedWorker]) -> None:
        now = self._clock.now()
        self.dispatcher.update_workers(listed, now)
        self._resolve_old_workers(now)
        for worker_id in list(self.dispatcher.worker_by_id):
            self._start_hold(worker_id)
        await self._store_roster()
        self._wake.set()

    def _resolve_old_workers(self, now: float) -> None:
        if now > self._former_bound:
            self.dispatcher.resolve_all()

    async def _store_roster(self) -> None:
        """Store which workers may run tasks, before they get any."""
        roster_by_pool: dict[str, dict[str, Any]] = {}
        for belief in self.dispatcher.worker_by_id.values():
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
            transaction = Transaction([self._owner_condition()], writes)
            outcome = await self._table.commit(transaction)
            if not isinstance(outcome, Committed):
                log_event(logger, "roster not stored", reason=type(outcome).__name__)
                return
            self._roster_by_pool.update(changed)
        for belief in self.dispatcher.worker_by_id.values():
            belief.is_enrolled = True

    def _start_hold(self, worker_id: str) -> None:
        task = self._holds.get(worker_id)
        if task is None or task.done():
            self._holds[worker_id] = self._spawn(self._hold_loop(worker_id))

    async def _hold_loop(self, worker_id: str) -> None:
        while True:
            belief = self.dispatcher.worker_by_id.get(worker_id)
            if belief is None:
                self._holds.pop(worker_id, None)
                return
            if self._lease.has_given_up(self._clock.now()):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            await self._look(belief)

    async def _look(self, belief: WorkerBelief, may_wait: bool = True) -> None:
        sent_at = self._clock.now()
        is_fresh = (
            sent_at - belief.contact_at <= RENEW_CONTACT_SECONDS + HOLD_WAIT_SECONDS
        )
        lease_seconds = LEASE_SECONDS if is_fresh else 0.0
        if lease_seconds:
            belief.extend_lease(sent_at)
        has_news = belief.processed_end > belief.noted_end or not is_fresh
        wait_seconds = HOLD_WAIT_SECONDS if may_wait and not has_news else 0.0
        outcome = await self._ports.workers.hold(
            belief.listed,
            self._lease.token,
            belief.noted_end,
            lease_seconds,
            wait_seconds,
        )
        if isinstance(outcome, WorkerLists):
            await self._take_lists(belief, outcome, sent_at)
        elif isinstance(outcome, Unavailable):
            await asyncio.sleep(HOLD_PAUSE_SECONDS)
        else:
            self._is_fenced(outcome)
            await asyncio.sleep(RETRY_SECONDS)

    async def _take_lists(
        self, belief: WorkerBelief, lists: WorkerLists, sent_at: float
    ) -> None:
        before = belief.processed_end
        self.dispatcher.on_lists(belief.worker_id, lists, sent_at, self._clock.now())
        self._wake.set()
        if belief.processed_end == belief.noted_end:
            return
        if belief.processed_end != before:
            self._store_wake.set()
        target = belief.processed_end
        try:
            async with self._stored:
                await asyncio.wait_for(
                    self._stored.wait_for(lambda: belief.noted_end >= target),
                    STORE_WAIT_SECONDS,
                )
        except TimeoutError:
            # The ends stay listed; until they are stored a look returns at once.
            await asyncio.sleep(RETRY_SECONDS)

    async def _vm_loop(self) -> None:
        while True:
            sent_at = self._clock.now()
            vms = await self._ports.vms.list_vms()
            if isinstance(vms, Unavailable):
                log_event(logger, "vms not listed", reason=vms.reason, peer=vms.peer)
            else:
                if sent_at > self._loaded_at + VM_LIST_LAG_SECONDS:
                    self.dispatcher.update_vms(vms, sent_at, self._clock.now())
                self._keeper.take_vms(vms, sent_at)
                self._wake.set()
            await asyncio.sleep(VM_LIST_SECONDS)

    # Upkeep and moves.

    async def _keep_loop(self) -> None:
        begun = await self._table.read_range(WAVES_TABLE)
        while isinstance(begun, Unavailable):
            await asyncio.sleep(RETRY_SECONDS)
            begun = await self._table.read_range(WAVES_TABLE)
        begun_by_wave = {row.row_key.key: row.value for row in begun.rows}
        own_vms = begun_by_wave.get(OWN_VMS_KEY.key)
        if own_vms is not None:
            self._keeper.restore_own_vms(own_vms["n_by_pool"])
        while True:
            now = self._clock.now()
            for wave in self._ports.desk.list_waves():
                is_new = wave.wave not in self._keeper.wave_by_number
                self._keeper.take_wave(wave, now)
                if is_new:
                    stored = begun_by_wave.get(str(wave.wave), {})
                    self._keeper.restore_begun(wave.wave, stored.get("begun", []))
            if not self._lease.is_in_doubt(now):
                if own_vms is None and self._keeper.own_vms_by_pool:
                    own_vms = await self._store_own_vms()
                for order in self._keeper.plan(now):
                    self._spawn(self._send_vm_order(order))
                for run in self._keeper.find_evacuations():
                    run.is_evacuated = True
                    self._wake.set()
                await self._report_waves()
            await asyncio.sleep(KEEP_SECONDS)

    async def _send_vm_order(self, order: VmOrder) -> None:
        token = self._lease.token
        if order.wave:
            outcome = await self._ports.vms.maintain(order.vm_id, order.wave, token)
        else:
            outcome = await self._ports.vms.move(order.vm_id, order.pool, token)
        log_event(
            logger,
            "vm ordered",
            vm=order.vm_id,
            wave=order.wave,
            pool=order.pool,
            token=token,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )
        if isinstance(outcome, Done):
            self._keeper.on_done(order, self._clock.now())
            self._wake.set()
            if order.wave:
                await self._store_begun(order.wave)
        elif isinstance(outcome, Rejected):
            self._is_fenced(outcome)
            self._keeper.on_rejected(order)

    async def _store_own_vms(self) -> dict[str, Any] | None:
        value = {"n_by_pool": dict(self._keeper.own_vms_by_pool)}
        transaction = Transaction(
            [self._owner_condition()], [Write(OWN_VMS_KEY, value)]
        )
        outcome = await self._table.commit(transaction)
        return value if isinstance(outcome, Committed) else None

    async def _store_begun(self, wave: int) -> None:
        begun = sorted(self._keeper.wave_by_number[wave].begun)
        transaction = Transaction(
            [self._owner_condition()], [Write(wave_key(wave), {"begun": begun})]
        )
        outcome = await self._table.commit(transaction)
        if not isinstance(outcome, Committed):
            # A successor orders the upkeep once more, which the platform answers
            # without another one.
            log_event(logger, "wave progress not stored", wave=wave)

    async def _report_waves(self) -> None:
        for state in self._keeper.wave_by_number.values():
            is_complete = self._keeper.is_complete(state)
            if state.is_reported or (state.is_announced and not is_complete):
                continue
            if await self._ports.desk.report(state.wave.wave, is_complete):
                state.is_announced = True
                state.is_reported = is_complete
                log_event(
                    logger,
                    "wave reported",
                    wave=state.wave.wave,
                    completed=is_complete,
                    n_begun=len(state.begun),
                )

    # Orders.

    async def _plan_loop(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), PLAN_TICK_SECONDS)
            self._wake.clear()
            self._plan()
            await asyncio.sleep(PLAN_GAP_SECONDS)

    def _plan(self) -> None:
        now = self._clock.now()
        self.dispatcher.expire(now)
        for stop in list(self.dispatcher.find_stops(now)):
            self._spawn(self._send_stop(stop))
        for pace in list(self.dispatcher.find_paces()):
            self._spawn(self._send_pace(pace))
        learnt_before = self._lease.renewed_at if self._lease.is_in_doubt(now) else None
        if not self._lease.has_given_up(now):
            for start in self._planner.plan(now, time.time(), learnt_before):
                self._spawn(self._send_start(start))
        for wanted in self._planner.wanted_advice.values():
            self._ask_advice(wanted)
        if self.dispatcher.dirty_jobs():
            self._store_wake.set()

    async def _send_start(self, start: PlannedStart) -> None:
        run, belief = start.run, start.belief
        order = StartOrder(
            run.key.task,
            run.key.run,
            run.record.job.specification,
            run.task.saved,
            start.ticket,
        )
        sent_at = self._clock.now()
        belief.extend_lease(sent_at)
        outcome = await self._ports.workers.start(
            belief.listed, self._lease.token, order, LEASE_SECONDS
        )
        now = self._clock.now()
        log_event(
            logger,
            "run ordered",
            request_id=run.record.job.job_id,
            task=run.key.task,
            run=run.key.run,
            worker=belief.worker_id,
            token=self._lease.token,
            outcome=type(outcome).__name__,
            job_age_seconds=round(sent_at - run.record.first_seen_at, 3),
            seconds=round(now - sent_at, 3),
        )
        self._is_fenced(outcome)
        self.dispatcher.on_start_outcome(run, outcome, now)
        self._wake.set()

    async def _send_stop(self, stop: StopOrder) -> None:
        belief = self.dispatcher.worker_by_id.get(stop.worker_id)
        if belief is None:
            return
        run = belief.run_by_key.get(stop.key)
        outcome = await self._ports.workers.stop(
            belief.listed, self._lease.token, stop.key.task, stop.key.run
        )
        log_event(
            logger,
            "run stop ordered",
            request_id=stop.key.task.partition(".")[0],
            task=stop.key.task,
            run=stop.key.run,
            worker=stop.worker_id,
            reason=stop.reason,
            outcome=type(outcome).__name__,
        )
        self._is_fenced(outcome)
        if run is not None:
            self.dispatcher.on_stop_outcome(run, outcome, self._clock.now())
            if run.is_unsure and isinstance(outcome, Done):
                # A run that never began has no end to wait for.
                await self._look(belief, may_wait=False)
        self._wake.set()

    async def _send_pace(self, pace: PaceOrder) -> None:
        belief = self.dispatcher.worker_by_id.get(pace.worker_id)
        if belief is None:
            return
        outcome = await self._ports.workers.pace(
            belief.listed,
            self._lease.token,
            pace.key.task,
            pace.key.run,
            pace.percent,
        )
        log_event(
            logger,
            "run paced",
            request_id=pace.key.task.partition(".")[0],
            task=pace.key.task,
            run=pace.key.run,
            worker=pace.worker_id,
            percent=pace.percent,
            outcome=type(outcome).__name__,
        )
        self._is_fenced(outcome)
        if isinstance(outcome, Done):
            self.dispatcher.on_pace_done(pace)

    def _ask_advice(self, wanted: WantedAdvice) -> None:
        if wanted.stage in self._asked_advice:
            return
        self._asked_advice.add(wanted.stage)
        self._spawn(self._get_advice(wanted))

    async def _get_advice(self, wanted: WantedAdvice) -> None:
        sent_at = self._clock.now()
        outcome = await self._ports.workers.advise(wanted.stage, wanted.worker_ids)
        if isinstance(outcome, Unavailable):
            log_event(
                logger,
                "advice not given",
                step=wanted.stage,
                reason=outcome.reason,
                peer=outcome.peer,
            )
            await asyncio.sleep(RETRY_SECONDS)
        else:
            valid_until = sent_at + wanted.valid_seconds
            tickets = {w: Ticket(text, valid_until) for w, text in outcome.items()}
            self._planner.keep_tickets(wanted.stage, tickets)
            self._wake.set()
        self._asked_advice.discard(wanted.stage)


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


def owner_row(name: str) -> dict[str, Any]:
    """Return the value of the owner's row."""
    return {"owner": name}
