"""Sends the owner's orders for runs to workers: starts, stops and speeds."""

import asyncio
import contextlib
import logging
import time
from itertools import islice

from ...policy.concurrency_limit import ConcurrencyLimit
from ...ports import Reason, Unavailable
from ...ports.fleet_workers import Done, OrderOutcome, StartOrder
from ...runtime.logs import log_event
from ..placement.planner import Planner
from ..placement.round_budget import PlannedStart
from ..placement.run_stops import (
    MayEndRun,
    PaceOrder,
    StopOrder,
    StopTurns,
    find_paces,
)
from ..placement.share_reporter import ShareReporter
from ..placement.stall_reporter import StallReporter
from ..placement.stalled_pools import StartState
from ..placement.start_delays import StartHold
from ..placement.start_repeats import find_start_repeats
from ..vms.coming_cores import find_coming_cores
from ..vms.vm_inventory import VmInventory
from ..vms.zone_evacuations import ZoneEvacuations
from ..workers.run import RunKey, RunPhase
from ..workers.worker_state import LEASE_SECONDS, Incarnation, WorkerRecord
from .approval_calls import ApprovalCalls
from .round_times import RoundTimes
from .session import OwnerSession
from .worker_watch import WorkerWatch

logger = logging.getLogger(__name__)

MAX_PLAN_INTERVAL_SECONDS = 0.2
"""Longest pause between two rounds of planning."""

MIN_PLAN_INTERVAL_SECONDS = 0.008
"""Shortest pause between two rounds of planning. A round that takes more processor time
is followed by a pause of that time, so that planning takes half of it at most."""

MAX_STOPS_PER_ROUND = 256
"""Most stop orders that are sent in one turn of the event loop."""

MAX_PACES_PER_ROUND = 256
"""Most orders for speeds that are sent in one turn. Those that are left out follow the
next report of their worker."""

MAX_UNCERTAIN_POLLS = 2
"""Most polls of a worker that follow a start without an answer at once. Other starts
may be given up while the first poll is under way."""


class RunOrders:
    """Plans and sends orders for runs.

    Args:
        session: ownership for which the orders are sent.
        watch: polls the workers.
        may_end_run: returns whether the disruption budget of its step lets a run be
            ended that may be at work.
        evacuations: zones that get no starts; ``None`` if there can't be any.
        inventory: VMs and the orders for them; ``None`` if no VM moves.
        looks_ahead: whether placement holds room by the expected ends of tasks.
    """

    def __init__(
        self,
        session: OwnerSession,
        watch: WorkerWatch,
        may_end_run: MayEndRun = lambda run: True,
        evacuations: ZoneEvacuations | None = None,
        inventory: VmInventory | None = None,
        looks_ahead: bool = False,
    ) -> None:
        self._session = session
        self._watch = watch
        self._evacuations = evacuations
        self._inventory = inventory
        self._planner = Planner(session.dispatcher, looks_ahead)
        self._stop_turns = StopTurns(session.dispatcher, may_end_run)
        self._stalls = StallReporter(session.dispatcher)
        self._shares = ShareReporter()
        self._approval_calls = ApprovalCalls(session)
        self._start_limit = ConcurrencyLimit()
        self._stops_in_flight: set[tuple[Incarnation, RunKey]] = set()
        self._uncertain_polls: set[str] = set()
        self._is_starting = True

    async def run(self) -> None:
        """Plan and send orders until the ownership ends."""
        job_by_id = self._session.dispatcher.job_by_id
        round_times = RoundTimes(self._session.ports.metrics)
        try:
            while True:
                await self._wait_for_wake()
                self._session.wake.clear()
                began_at = time.thread_time()
                with round_times.measure(len(job_by_id)):
                    self._plan()
                self._report_stalls()
                self._report_shares()
                taken_seconds = time.thread_time() - began_at
                await asyncio.sleep(max(MIN_PLAN_INTERVAL_SECONDS, taken_seconds))
        finally:
            self._stalls.clear(self._session.ports.metrics)
            if self._evacuations is not None:
                self._evacuations.clear()
            self._shares.clear(self._session.ports.metrics)

    def stop_starting(self) -> None:
        """Send no start from now on; stops and speeds are sent as before."""
        self._is_starting = False

    def are_starts_settled(self) -> bool:
        """Return whether no start is under way, and those without an answer are stored.

        A successor learns of these from the stored states of their jobs.
        """
        unanswered_runs = self._session.dispatcher.unanswered_runs
        is_stored = not any(run.record.is_dirty for run in unanswered_runs)
        return self._start_limit.n_in_flight == 0 and is_stored

    async def _wait_for_wake(self) -> None:
        # `asyncio.wait_for` may swallow the cancellation that ends the ownership.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_PLAN_INTERVAL_SECONDS):
                await self._session.wake.wait()

    def _plan(self) -> None:
        now = self._session.clock.now()
        self._update_evacuations(now)
        self._session.dispatcher.expire(now)
        # A stop counts as sent once it is taken.
        if self._session.may_order():
            self._begin_stops(now)
        paces = islice(find_paces(self._session.dispatcher), MAX_PACES_PER_ROUND)
        for pace in list(paces):
            self._session.spawn(self._send_pace(pace))
        learned_before = (
            self._session.lease.renewed_at
            if self._session.lease.may_be_replaced(now)
            else None
        )
        n_free = self._start_limit.n_free
        if self._is_starting and self._session.may_order() and n_free:
            if self._inventory is not None:
                self._planner.coming_by_pool = find_coming_cores(self._inventory, now)
            starts = self._planner.plan(
                now, time.time(), learned_before, n_free, time.thread_time
            )
            repeats = find_start_repeats(self._session.dispatcher, now)
            for start in repeats + starts:
                self._start_limit.begin()
                self._session.spawn(self._send_start(start))
            if self._planner.is_unfinished:
                self._session.wake.set()
        self._approval_calls.request(self._planner.wanted_approvals, now)
        if self._session.dispatcher.dirty_jobs():
            self._session.store_wake.set()

    def _begin_stops(self, now: float) -> None:
        for stop in self._stop_turns.take(now, MAX_STOPS_PER_ROUND):
            if self._name_stop(stop) not in self._stops_in_flight:
                self._session.spawn(self._send_stop(stop))
        if self._stop_turns.is_unfinished:
            self._session.wake.set()

    def _report_stalls(self) -> None:
        now = self._session.clock.now()
        if not self._stalls.is_due(now):
            return
        hold = None
        if not self._session.may_order():
            hold = StartHold.LEASE_EXPIRED
        elif not self._start_limit.n_free:
            hold = StartHold.STARTS_IN_FLIGHT
        delays = self._planner.delays
        state = StartState(delays.delay_by_job, delays.learned_before, hold)
        self._stalls.measure(state, now, time.time(), self._session.ports.metrics)

    def _report_shares(self) -> None:
        now, metrics = self._session.clock.now(), self._session.ports.metrics
        self._shares.report(self._planner.order.shares_by_pool, now, metrics)

    async def _send_start(self, start: PlannedStart) -> None:
        run, worker = start.run, start.worker
        order = StartOrder(
            run.key.task,
            run.key.run,
            run.record.job.specification,
            run.task.checkpoint,
            start.ticket,
        )
        sent_at = self._session.clock.now()
        # The process may have been paused since the start was planned, or the zone of
        # the worker may be evacuated by now.
        self._update_evacuations(sent_at)
        if self._session.dispatcher.is_evacuated(worker.listed.zone):
            outcome = Unavailable(Reason.EVACUATED, "worker-start", worker.worker_id)
        elif worker.started_at != run.sent_to:
            # Its capacity, labels and ticket may be those of the former incarnation.
            outcome = Unavailable(Reason.NOT_FOUND, "worker-start", worker.worker_id)
        elif self._session.may_order():
            worker.extend_lease(sent_at)
            outcome = await self._session.ports.workers.start(
                worker.listed, self._session.lease.token, order, LEASE_SECONDS
            )
        else:
            outcome = Unavailable(Reason.NOT_OWNER, "worker-start", worker.worker_id)
        now = self._session.clock.now()
        is_answered = not isinstance(outcome, Unavailable)
        self._start_limit.end(now - sent_at, is_answered, now)
        log_event(
            logger,
            "run ordered",
            # Tools of operators cut off the ends of long lines.
            **_describe_failure(outcome),
            request_id=run.record.job.job_id,
            task=run.key.task,
            run=run.key.run,
            worker=worker.worker_id,
            incarnation=run.sent_to,
            token=self._session.lease.token,
            outcome=type(outcome).__name__,
            job_age_seconds=round(sent_at - run.record.accepted_at, 3),
            seconds=round(now - sent_at, 3),
        )
        self._session.check_fenced(outcome)
        self._note_restart(worker, outcome, sent_at)
        self._session.dispatcher.on_start_outcome(run, outcome, now)
        self._session.wake.set()
        if run.is_start_uncertain:
            await self._poll_uncertain(worker)

    def _note_restart(
        self, worker: WorkerRecord, outcome: OrderOutcome, sent_at: float
    ) -> None:
        """Note an incarnation that is not known, if the outcome of an order shows one.

        Either its answer does, or the order was for the former one and wasn't sent.
        """
        if isinstance(outcome, Unavailable):
            is_known = worker.started_known_at > sent_at
            shows_restart = outcome.reason is Reason.RESTARTED and not is_known
        else:
            shows_restart = outcome.shows_restart
        if shows_restart:
            self._watch.note_unknown_incarnation(worker)

    def _update_evacuations(self, now: float) -> None:
        if self._evacuations is not None:
            self._evacuations.update(now)

    async def _poll_uncertain(self, worker: WorkerRecord) -> None:
        """Poll a worker at once whose report decides on starts without an answer."""
        if worker.worker_id in self._uncertain_polls:
            return
        self._uncertain_polls.add(worker.worker_id)
        try:
            for _ in range(MAX_UNCERTAIN_POLLS):
                if _has_undecided_start(worker):
                    await self._watch.poll(worker, may_wait=False)
        finally:
            self._uncertain_polls.discard(worker.worker_id)
        self._session.wake.set()

    async def _send_stop(self, stop: StopOrder) -> None:
        name = self._name_stop(stop)
        self._stops_in_flight.add(name)
        try:
            await self._send_one_stop(stop)
        finally:
            self._stops_in_flight.discard(name)

    def _name_stop(self, stop: StopOrder) -> tuple[Incarnation, RunKey]:
        """Return the incarnation and the run that a stop is for.

        One that is under way to a former incarnation holds none up for the present one.
        """
        worker = self._session.dispatcher.worker_by_id.get(stop.worker_id)
        started_at = worker.started_at if worker else 0.0
        return Incarnation(stop.worker_id, started_at), stop.key

    async def _send_one_stop(self, stop: StopOrder) -> None:
        worker = self._session.dispatcher.worker_by_id.get(stop.worker_id)
        # The process may have been paused since the stop was decided; a stop that is
        # still wanted then is decided again.
        if worker is None or not self._session.may_order():
            return
        run = worker.run_by_key.get(stop.key)
        incarnation = worker.incarnation
        sent_at = self._session.clock.now()
        outcome = await self._session.ports.workers.stop(
            worker.listed, self._session.lease.token, stop.key.task, stop.key.run
        )
        log_event(
            logger,
            "run stop ordered",
            request_id=stop.key.task.partition(".")[0],
            task=stop.key.task,
            run=stop.key.run,
            worker=stop.worker_id,
            incarnation=incarnation.started_at,
            token=self._session.lease.token,
            reason=stop.reason,
            outcome=type(outcome).__name__,
        )
        self._session.check_fenced(outcome)
        self._note_restart(worker, outcome, sent_at)
        if isinstance(outcome, Done):
            uncertain_starts = self._session.dispatcher.uncertain_starts
            uncertain_starts.note_stopped(incarnation, stop.key)
        # A stop that was answered across a restart may have been carried out before it.
        if run is not None and worker.incarnation == incarnation:
            self._session.dispatcher.on_stop_outcome(
                run, outcome, self._session.clock.now()
            )
            if run.is_start_uncertain and isinstance(outcome, Done):
                # The long poll of a worker returns early when a run ends. A run that
                # never began does not end, so the worker is polled at once.
                await self._watch.poll(worker, may_wait=False)
        self._session.wake.set()

    async def _send_pace(self, pace: PaceOrder) -> None:
        worker = self._session.dispatcher.worker_by_id.get(pace.worker_id)
        if worker is None or not self._session.may_order():
            return
        sent_at = self._session.clock.now()
        outcome = await self._session.ports.workers.limit_speed(
            worker.listed,
            self._session.lease.token,
            pace.key.task,
            pace.key.run,
            pace.percent,
        )
        log_event(
            logger,
            "run pace ordered",
            request_id=pace.key.task.partition(".")[0],
            task=pace.key.task,
            run=pace.key.run,
            worker=pace.worker_id,
            percent=pace.percent,
            outcome=type(outcome).__name__,
        )
        self._session.check_fenced(outcome)
        self._note_restart(worker, outcome, sent_at)
        if isinstance(outcome, Done):
            self._session.dispatcher.on_pace_done(*pace)


def _describe_failure(outcome: OrderOutcome) -> dict[str, str]:
    """Return the field of a log line that says why an order was not confirmed."""
    if isinstance(outcome, Done):
        return {}
    return {"reason": outcome.reason.value}


def _has_undecided_start(worker: WorkerRecord) -> bool:
    """Return whether a start without an answer waits for a report of the worker."""
    return any(
        run.is_start_uncertain
        and run.phase is RunPhase.ASKED
        and run.given_up_at >= worker.polled_at
        for run in worker.run_by_key.values()
    )
