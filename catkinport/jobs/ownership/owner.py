"""The owner of the fleet: loads the state, then runs jobs until it is replaced.

The owner is the one daemon, elected by a lease row in the table service, that gives
orders to the workers and VMs. All state changes happen on one event loop, in
`Dispatcher`, `Planner` and `VmPlanner`; the loops started here carry messages between
those, the table service and the workers.
"""

import asyncio
import logging

from ...policy.leadership import (
    HEARTBEAT_SECONDS,
    OverloadWatch,
    OwnLease,
    former_owner_bound,
)
from ...ports import Unavailable
from ...ports.async_table import Changes, HistoryLost, Snapshot
from ...ports.table import Committed, Conflict, Transaction
from ...runtime import Metrics
from ...runtime.collector_pauses import (
    exempt_living_objects,
    visit_all_objects,
)
from ...runtime.logs import log_event
from ...runtime.loop_lag import LoopLag
from ...runtime.loop_slices import iterate_in_slices
from ..configuration import FleetConfiguration
from ..dispatch.dispatcher import Dispatcher
from ..tables import JOBS_TABLE, ROSTER_TABLE, STATES_TABLE
from ..vms.vm_inventory import VmBounds
from ..vms.vm_planner import VmPlanner
from ..vms.zone_evacuations import ZoneEvacuations
from ..workers.worker_state import MAX_LEASE_SECONDS
from .early_cancel_removal import EarlyCancelRemoval
from .job_rows import JobRows, find_finished_ids
from .ownership_watch import Claim, OwnershipWatch
from .queue_store import QueueStore
from .run_orders import RunOrders
from .session import RETRY_SECONDS, OwnerPorts, OwnerSession
from .state_store import StateStore, heartbeat_write
from .vm_orders import VmOrders
from .worker_watch import WorkerWatch

logger = logging.getLogger(__name__)

JOB_FEED_WAIT_SECONDS = 2.0
"""Longest wait of one long-poll call on the change feed of the table of jobs."""

JOB_FEED_PAUSE_SECONDS = 0.02
"""Pause between such calls, so that jobs that arrive together are read together."""

ACCEPT_SECONDS = 1.0
"""Time from the acceptance of a job to the write of its row, other than after faults.
"""

UNANSWERED_HEARTBEAT_SECONDS = 2 * HEARTBEAT_SECONDS
"""Time after which a renewal without an answer is followed by another one. Renewals
that follow sooner would fill the queue of a slow table service."""

STOP_WAIT_SECONDS = 3.5
"""Longest time for which a stopping owner goes on until a renewal is stored, which
shows that the table service can store its release too. Short enough that the process
ends within its stop grace period."""

STOP_POLL_SECONDS = 0.02
"""Interval at which a stopping owner checks whether that renewal is stored."""

RELEASE_SECONDS = 2.5
"""Timeout of the write with which a stopping owner releases the ownership."""


class FleetOwner:
    """Runner of all jobs while this daemon holds the ownership.

    Args:
        ports: outside systems.
        configuration: the current configuration.
        claim: the claim that made this daemon the owner.
        bounds: times that the platform specifies for orders to VMs.
        longest_lease: longest lease in seconds that a worker grants.
        lag: measures how late the event loop of this daemon is.
        is_on_small_vm: whether this VM may be too slow for the fleet, so that the owner
            hands over to a daemon on a larger one if it falls behind.
        looks_ahead: whether placement holds room by the expected ends of tasks.
    """

    def __init__(
        self,
        ports: OwnerPorts,
        configuration: FleetConfiguration,
        claim: Claim,
        bounds: VmBounds,
        longest_lease: float,
        lag: LoopLag | None = None,
        is_on_small_vm: bool = False,
        looks_ahead: bool = False,
    ) -> None:
        lease = OwnLease(claim.token, claim.sent_at, claim.takeover_seconds)
        dispatcher = Dispatcher(configuration, ports.metrics, longest_lease)
        dispatcher.note_former_orders(claim.sent_at)
        self._session = OwnerSession(ports, dispatcher, lease)
        self._vm_planner = VmPlanner(dispatcher, bounds)
        self._store = StateStore(self._session)
        self._watch = WorkerWatch(
            self._session,
            self._store,
            _former_owner_bound(claim, MAX_LEASE_SECONDS),
            _former_owner_bound(claim, 0.0),
        )
        self._queues = QueueStore(self._session)
        self._early_cancel_removal = EarlyCancelRemoval(ports.table, ports.clock)
        self._zone_evacuations = ZoneEvacuations(
            dispatcher,
            self._vm_planner.inventory,
            ports.evacuations,
            ports.metrics,
        )
        self._run_orders = RunOrders(
            self._session,
            self._watch,
            self._vm_planner.may_end_run,
            self._zone_evacuations,
            self._vm_planner.inventory,
            looks_ahead,
        )
        # A claim that was repeated may have been carried out just before its answer.
        held_until = ports.clock.now() + bounds.order_gap
        self._vm_orders = VmOrders(self._session, self._vm_planner, held_until)
        self._job_rows = JobRows(dispatcher, self._vm_planner.mover)
        self._snapshot_by_table: dict[str, Snapshot] = {}
        self._are_queues_loaded = False
        self._job_feed_version = 0
        # All rows up to that version were read by a call sent at this clock time.
        self._jobs_read_at = claim.sent_at
        self._feed_sent_at = claim.sent_at
        self._read_version_by_key: dict[str, int] = {}
        self._lag = lag or LoopLag(Metrics())
        self._overload = OverloadWatch()
        self._is_on_small_vm = is_on_small_vm
        self._handover = asyncio.Event()

    def apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a new version of the configuration."""
        self._session.dispatcher.apply_configuration(configuration)
        self._queues.check_soon()
        self._session.wake.set()

    def hand_over(self, token: int) -> None:
        """Release the ownership, if this owner still falls behind.

        A successor waits for the leases of workers that it does not reach, and longer
        if this owner has not reached all of them either. So it hands over only then.

        Args:
            token: fencing token of the owner that a candidate can succeed.
        """
        session = self._session
        if token != session.lease.token or self._handover.is_set():
            return
        if session.wants_successor and session.is_resolved:
            log_event(
                logger,
                "ownership handover begins",
                token=token,
                lag_seconds=round(self._lag.seconds, 2),
            )
            self._handover.set()

    def follow_ownership(self, watch: OwnershipWatch) -> None:
        """Take over what a daemon that follows the rows of the ownership has seen."""
        renewed_at = watch.find_stored_renewal(self._session.lease.token)
        if renewed_at is not None:
            self._session.note_renewal_seen(renewed_at)
        self.hand_over(watch.find_candidate_token())

    async def run(self, stop: asyncio.Event) -> None:
        """Run the fleet until another daemon takes over or ``stop`` is set."""
        log_event(logger, "ownership begins", token=self._session.lease.token)
        metrics = self._session.ports.metrics
        metrics.increment("ownerships", "Times that this daemon began to own.", {})
        waiters = [
            asyncio.ensure_future(self._session.deposed.wait()),
            asyncio.ensure_future(stop.wait()),
            asyncio.ensure_future(self._handover.wait()),
        ]
        self._session.spawn(self._renewal_loop())
        self._session.spawn(self._follow_lag())
        self._session.spawn(self._load_and_run())
        try:
            await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
            await self._await_renewal()
        finally:
            for waiter in waiters:
                waiter.cancel()
            await self._session.end()
            visit_all_objects()
        is_deposed = self._session.deposed.is_set()
        if not is_deposed:
            await self._release()
        reason = "stopping" if stop.is_set() else "handed-over"
        log_event(
            logger,
            "ownership ended",
            token=self._session.lease.token,
            reason="replaced" if is_deposed else reason,
        )

    async def _follow_lag(self) -> None:
        self._lag.reset()
        while True:
            await self._lag.sample()
            now = self._session.clock.now()
            self._overload.note(self._lag.seconds, now)
            is_overloaded = self._overload.is_lasting(now)
            self._session.wants_successor = self._is_on_small_vm and is_overloaded

    async def _load_and_run(self) -> None:
        while not await self._load():
            await asyncio.sleep(RETRY_SECONDS)
        # No loop may decide by the state alone while a zone is evacuated.
        self._zone_evacuations.update(self._session.clock.now())
        for loop in (
            self._job_feed_loop(),
            self._store.run(),
            self._queues.run(),
            self._early_cancel_removal.run(),
            self._watch.run(),
            self._watch.roster.run(),
            self._run_orders.run(),
            self._vm_orders.follow_vm_list(),
            self._vm_orders.run(),
        ):
            self._session.spawn(loop)

    async def _renewal_loop(self) -> None:
        while True:
            # A commit of job states may renew the ownership too. A renewal without an
            # answer may still be stored, so the next one waits for a while.
            due_at = max(
                self._session.lease.renewed_at + HEARTBEAT_SECONDS,
                self._session.renewal_sent_at + UNANSWERED_HEARTBEAT_SECONDS,
            )
            if self._session.clock.now() >= due_at:
                # The next renewal must not wait for the answer to this one.
                self._session.spawn(self._renew())
                due_at = self._session.clock.now() + HEARTBEAT_SECONDS
            await asyncio.sleep(max(0.01, due_at - self._session.clock.now()))

    async def _renew(self, is_released: bool = False) -> None:
        sent_at = self._session.clock.now()
        write = heartbeat_write(self._session, sent_at, is_released)
        self._session.note_renewal_sent(sent_at)
        transaction = Transaction([self._session.owner_condition()], [write])
        outcome = await self._session.table.commit(transaction)
        if isinstance(outcome, Committed):
            self._session.note_renewed(sent_at)
        elif isinstance(outcome, Conflict):
            self._session.depose("renewal-conflict")
        else:
            log_event(
                logger,
                "ownership not renewed",
                token=self._session.lease.token,
                reason=outcome.reason,
                peer=outcome.peer,
                renewed_seconds_ago=round(sent_at - self._session.lease.renewed_at, 2),
            )

    async def _await_renewal(self) -> None:
        """Wait until a renewal is stored, for `STOP_WAIT_SECONDS` at most.

        Jobs go on meanwhile: while the table service is unreachable, no other daemon
        can take over either. Then no task starts any more, and the starts under way
        get their outcomes: the successor has to know of those without an answer.
        """
        stopped_at = self._session.clock.now()
        while not self._session.deposed.is_set():
            is_stored = self._session.lease.renewed_at >= stopped_at
            waited_seconds = self._session.clock.now() - stopped_at
            if is_stored:
                self._run_orders.stop_starting()
            is_ready = is_stored and self._run_orders.are_starts_settled()
            if is_ready or waited_seconds > STOP_WAIT_SECONDS:
                return
            await asyncio.sleep(STOP_POLL_SECONDS)

    async def _release(self) -> None:
        try:
            await asyncio.wait_for(self._renew(is_released=True), RELEASE_SECONDS)
        except TimeoutError:
            log_event(logger, "ownership not released", token=self._session.lease.token)

    async def _load(self) -> bool:
        """Load the state; return whether all of it was read.

        Only this owner can write the states and the roster, and the feed continues
        after the read of the jobs, so the tables are read at once and what was read
        stays valid after a failure.
        """
        started_at = self._session.clock.now()
        tables = (JOBS_TABLE, STATES_TABLE, ROSTER_TABLE)
        reads = [self._read_once(table) for table in tables]
        *_, is_queue_read = await asyncio.gather(*reads, self._load_queues())
        if not is_queue_read or not self._snapshot_by_table.keys() >= set(tables):
            return False
        jobs, states, roster = map(self._snapshot_by_table.pop, tables)
        with exempt_living_objects():
            await self._restore(jobs, states, roster)
        # A report before would name runs of jobs that are not known yet.
        self._watch.poll_all()
        log_event(
            logger,
            "state loaded",
            n_jobs=len(self._session.dispatcher.job_by_id),
            n_workers=len(self._session.dispatcher.unresolved_by_id),
            version=jobs.version,
            seconds=round(self._session.clock.now() - started_at, 3),
        )
        return True

    async def _restore(
        self, jobs: Snapshot, states: Snapshot, roster: Snapshot
    ) -> None:
        """Restore the state from its rows, in slices between which others run."""
        self._note_jobs_read(jobs)
        finished_ids = find_finished_ids(states)
        self._store.note_read(
            row for row in states.rows if row.row_key.key not in finished_ids
        )
        now = self._session.clock.now()
        # Workers are loaded before the jobs, because a job may end only once none of
        # the former owner's workers can still be running its tasks.
        for row in roster.rows:
            self._watch.restore_roster_row(row)
        # The renewals of the ownership go on between the slices.
        async for row in iterate_in_slices(jobs.rows):
            self._job_rows.apply(row, now, True, finished_ids)
        async for row in iterate_in_slices(states.rows):
            self._session.dispatcher.load_state(row.row_key.key, row.value, row.version)
        records = list(self._session.dispatcher.job_by_id.values())
        async for record in iterate_in_slices(records):
            record.advance_run_numbers()
        self._session.dispatcher.finish_closing_jobs()
        # A renewal before would tell too few waiting jobs.
        self._session.loaded_at = now

    async def _read_once(self, table: str) -> None:
        """Read a table, unless an earlier attempt to load the state has read it."""
        if table in self._snapshot_by_table:
            return
        outcome = await self._session.table.read_range(table)
        if not isinstance(outcome, Unavailable):
            self._snapshot_by_table[table] = outcome
            return
        log_event(
            logger,
            "state not loaded",
            table=table,
            reason=outcome.reason,
            detail=outcome.detail,
        )

    async def _load_queues(self) -> bool:
        if not self._are_queues_loaded:
            self._are_queues_loaded = await self._queues.load()
        if not self._are_queues_loaded:
            log_event(logger, "queues not loaded")
        return self._are_queues_loaded

    async def _job_feed_loop(self) -> None:
        while True:
            await self._follow_jobs()

    async def _follow_jobs(self) -> None:
        """Wait for the next changes of the table of jobs, and apply them."""
        self._feed_sent_at = self._session.clock.now()
        outcome = await self._session.table.follow(
            JOBS_TABLE, self._job_feed_version, JOB_FEED_WAIT_SECONDS
        )
        if isinstance(outcome, Changes):
            self._apply_changes(outcome)
            await asyncio.sleep(JOB_FEED_PAUSE_SECONDS)
        elif isinstance(outcome, HistoryLost):
            await self._reread_jobs()
        else:
            log_event(logger, "job feed interrupted", reason=outcome.reason)
            await asyncio.sleep(RETRY_SECONDS)

    def _note_jobs_read(self, jobs: Snapshot) -> None:
        """Let the feed continue after a read of all jobs.

        The parts of the table are read one by one, and the feed continues from the
        oldest of their versions. It repeats rows of the other parts, and a job may have
        ended by then.
        """
        self._job_feed_version = jobs.version
        self._read_version_by_key = {
            row.row_key.key: row.version
            for row in jobs.rows
            if row.version > jobs.version
        }

    def _apply_changes(self, changes: Changes) -> None:
        now = self._session.clock.now()
        max_age_seconds = now - self._jobs_read_at + ACCEPT_SECONDS
        for row in changes.rows:
            if row.version > self._read_version_by_key.get(row.row_key.key, 0):
                self._job_rows.apply(row, now, False, set(), max_age_seconds)
        self._job_feed_version = changes.version
        self._jobs_read_at = self._feed_sent_at
        if changes.rows:
            self._session.wake.set()

    async def _reread_jobs(self) -> None:
        log_event(logger, "job feed lost its history", version=self._job_feed_version)
        job_by_id = self._session.dispatcher.job_by_id
        known_ids = set(job_by_id)
        jobs = await self._session.table.read_range(JOBS_TABLE)
        states = await self._session.table.read_range(STATES_TABLE)
        if isinstance(jobs, Unavailable) or isinstance(states, Unavailable):
            await asyncio.sleep(RETRY_SECONDS)
            return
        # A job may have ended after its state was read and before the answer arrived.
        ended_ids = known_ids - job_by_id.keys()
        finished_ids = find_finished_ids(states) | ended_ids
        now = self._session.clock.now()
        for row in jobs.rows:
            self._job_rows.apply(row, now, False, finished_ids)
        self._note_jobs_read(jobs)
        self._session.wake.set()


def _former_owner_bound(claim: Claim, lease_seconds: float) -> float:
    if claim.former_changed_at is None:
        return 0.0
    return former_owner_bound(
        claim.former_changed_at, claim.is_former_ended, lease_seconds
    )
