"""Simulated fleet in which former owners may still run beside the present one.

The owners are real; the table service, the workers and the links to them are simulated.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from ...policy.resources import NO_RESOURCES
from ...ports import Reason, Unavailable
from ...ports.clock import ManualClock
from ...ports.fleet_workers import EndKind, ListedWorker, StartOrder, WorkerLists
from ...ports.table import Transaction, Write
from ...runtime import Metrics
from ..model import Job, job_to_row
from ..ownership.owner import FleetOwner
from ..ownership.ownership_watch import Claim, OwnershipWatch
from ..ownership.session import OwnerPorts
from ..tables import JOBS_TABLE, job_key
from ..vms.vm_inventory import VmBounds
from ..workers.worker_state import WorkerRecord
from .builders import make_configuration, make_job, make_step, make_worker
from .simulated_store import (
    NO_ANSWER,
    SimulatedStore,
    StoreClient,
    StoreLink,
    run_now,
)
from .simulated_workers import FakeWorker, Order

MAX_FAILURES = 3
WORKER_CORES = 8.0
TASK_SECONDS = 60.0
"""Estimate of a task, long enough that its runs do not count as stalled."""

MAX_LEASE_SECONDS = 10.0
"""Longest lease that a worker grants, on its clock."""

WORKER_AGE_SECONDS = 100.0
"""Time for which a worker has been up as it joins."""

SLOW_CLOCK_RATE = 0.98
NO_WORKER_ANSWER = Unavailable(Reason.TIMEOUT, "worker-call", "w", "", True)
RESTARTED = Unavailable(Reason.RESTARTED, "worker-call", "w")
N_LOOP_TURNS = 4
"""Turns of the event loop after which no call to a simulated system is left."""


class KnownClock(NamedTuple):
    """What a daemon knows of the clock of a worker's incarnation."""

    started_at: float
    shown: float
    read_at: float


class LateCall(NamedTuple):
    """A call that a worker has received and carries out later."""

    worker_id: str
    started_at: float
    carry_out: Callable[[], Any]


class WorkerClient:
    """A daemon's client of the simulated workers; implements `FleetWorkers`.

    Attributes:
        link_by_id: for each worker, ``requests lost`` or ``answers lost`` if so.
        delivery_by_call: what becomes of the calls: ``answered``, ``no answer``,
            ``late`` or ``lost``, by the name of the call.
        compares_clocks: whether an answer to an order with a clock that begins anew
            shows a restart, and no end is acknowledged while the clock is unknown, as
            with the client of the platform. Without that, fewer signs of a restart are
            left, as if the former incarnation was as young as the new one.
        binds_calls: whether a call that was made for a former incarnation is not sent,
            as with the client of the platform, whose connections end with the
            incarnation. Otherwise it reaches the new one, as a call does that is
            carried out late.
        held_answers: event until which the answers to polls are under way; ``None`` if
            they arrive at once.
    """

    def __init__(self, fleet: "RivalFleet", store: StoreClient) -> None:
        self._fleet = fleet
        self._store = store
        self._clock_by_id: dict[str, KnownClock] = {}
        self.link_by_id: dict[str, str] = {}
        self.delivery_by_call: dict[str, str] = {}
        self.compares_clocks = False
        self.binds_calls = fleet.binds_calls
        self.held_answers: asyncio.Event | None = None

    def cut_off(self, worker_ids: Iterable[str], is_answer_lost: bool = False) -> None:
        """Lose all requests to some workers, or their answers, and no others."""
        link = "answers lost" if is_answer_lost else "requests lost"
        self.link_by_id = dict.fromkeys(worker_ids, link)

    async def list_workers(self):
        """Return the workers that are up."""
        if self._store.link is StoreLink.CUT:
            return NO_ANSWER
        return self._fleet.list_workers()

    def bound_answer(self, worker_id):
        """Return the bound of fast answers."""
        return 0.6

    async def renew_lease(
        self, worker, token, acknowledged_end, lease_seconds, wait_seconds
    ):
        """Renew the lease of a worker; return its lists.

        The lists tell the clock of their incarnation. After no answer the clock of the
        worker counts as unknown.
        """
        worker_id = worker.worker_id
        if self.compares_clocks and worker_id not in self._clock_by_id:
            acknowledged_end = 0
        until = self._lease_end(worker, lease_seconds) or 0.0
        is_bound = acknowledged_end > 0 or until > 0
        if is_bound and self._is_kept_back(worker_id):
            outcome = RESTARTED
        else:
            outcome = self._call(
                "hold",
                worker_id,
                lambda: self._fleet.renew_lease(
                    worker_id, token, acknowledged_end, until
                ),
            )
        shown = self._fleet.worker_by_id[worker_id].clock(self._fleet.clock.now())
        if self.held_answers is not None:
            await self.held_answers.wait()
        if isinstance(outcome, Unavailable):
            self._clock_by_id.pop(worker_id, None)
        elif isinstance(outcome, WorkerLists):
            self._clock_by_id[worker_id] = KnownClock(
                outcome.started_at, shown, self._fleet.clock.now()
            )
        return outcome

    async def start(self, worker, token, order: StartOrder, lease_seconds):
        """Start a run."""
        until = self._lease_end(worker, lease_seconds)
        if until is None:
            return NO_WORKER_ANSWER._replace(may_have_committed=False)
        if self._is_kept_back(worker.worker_id):
            del self._clock_by_id[worker.worker_id]
            return RESTARTED
        return self._send(
            "start",
            Order(worker.worker_id, token, order.task, order.run, until, True),
        )

    async def stop(self, worker, token, task, run):
        """Stop a run."""
        return self._send("stop", Order(worker.worker_id, token, task, run, 0.0, False))

    def _is_kept_back(self, worker_id: str) -> bool:
        """Return whether a call is not sent that was made for the known incarnation."""
        known = self._clock_by_id.get(worker_id)
        if known is None or not self.binds_calls:
            return False
        return known.started_at != self._fleet.worker_by_id[worker_id].started_at

    def _send(self, call: str, order: Order):
        worker_id = order.worker_id
        outcome = self._call(call, worker_id, lambda: self._fleet.carry_out(order))
        if isinstance(outcome, Unavailable) or not self.compares_clocks:
            return outcome
        shown = self._fleet.worker_by_id[worker_id].clock(self._fleet.clock.now())
        known = self._clock_by_id.get(worker_id)
        if known is None or shown >= self._lower_bound(known):
            return outcome
        del self._clock_by_id[worker_id]
        return outcome._replace(shows_restart=True)

    def _call(self, call: str, worker_id: str, carry_out: Callable[[], Any]):
        delivery = self.delivery_by_call.get(call, "answered")
        link = self.link_by_id.get(worker_id, "")
        is_down = worker_id in self._fleet.down_ids
        if is_down or link == "requests lost" or delivery == "lost":
            return NO_WORKER_ANSWER
        worker = self._fleet.worker_by_id[worker_id]
        if delivery == "late":
            late = LateCall(worker_id, worker.started_at, carry_out)
            self._fleet.late_calls.append(late)
            return NO_WORKER_ANSWER
        outcome = carry_out()
        if link == "answers lost" or delivery == "no answer":
            return NO_WORKER_ANSWER
        return outcome

    def _lease_end(self, worker: ListedWorker, lease_seconds: float) -> float | None:
        known = self._clock_by_id.get(worker.worker_id)
        if known is None or not lease_seconds or worker.started_at > known.started_at:
            return None
        return self._lower_bound(known) + lease_seconds

    def _lower_bound(self, known: KnownClock) -> float:
        elapsed = self._fleet.clock.now() - known.read_at
        return known.shown + SLOW_CLOCK_RATE * elapsed


class SimulatedOwner:
    """An owner of the fleet whose loops run when the test says so.

    Attributes:
        is_paused: whether it stands still while the other owners run.
    """

    def __init__(self, fleet: "RivalFleet", name: str, claim: Claim) -> None:
        self.store = StoreClient(fleet.store)
        self.workers = WorkerClient(fleet, self.store)
        self.is_paused = False
        self._fleet = fleet
        ports: Any = OwnerPorts(
            self.store, self.workers, None, None, fleet.clock, Metrics()
        )
        configuration = make_configuration(MAX_FAILURES, NO_RESOURCES)
        bounds = VmBounds(2.0, 1.5, 3.0)
        self._owner = FleetOwner(ports, configuration, claim, bounds, 10.0)
        self._watch = self._owner._watch
        self._watch._start_polling = lambda worker_id: None
        self._session = self._owner._session

    @property
    def is_deposed(self) -> bool:
        """Whether it has learned that it was replaced."""
        return self._session.deposed.is_set()

    def run_cycle(self, plans_first: bool = False) -> None:
        """Let each of its loops run once.

        Args:
            plans_first: whether it plans before it polls the workers.
        """
        self._fleet.run(self._run_cycle(plans_first))

    def load(self) -> None:
        """Let it load the state, without any poll."""
        self._fleet.run(self._owner._load())

    def learn_jobs(self) -> None:
        """Let it read the store and then renew its ownership."""
        self._fleet.run(self._read_store())
        self._fleet.run(self._owner._renew())

    def poll_workers(self) -> None:
        """Let it poll the workers and store what they list."""
        self._fleet.run(self._poll_and_store())

    def lose_poll(self, worker_id: str) -> None:
        """Let the poll of one worker that is under way have no answer."""
        delivery_by_call = self.workers.delivery_by_call
        self.workers.delivery_by_call = {**delivery_by_call, "hold": "lost"}
        self.poll_worker(worker_id)
        self.workers.delivery_by_call = delivery_by_call

    def poll_worker(self, worker_id: str) -> None:
        """Let it poll one worker, if it knows it."""
        worker = self._session.dispatcher.worker_by_id.get(worker_id)
        if worker is not None:
            self._fleet.run(self._poll([worker]))

    def plan(self) -> None:
        """Let it plan, and send the starts and stops that it decides on.

        It does nothing once it has learned that it was replaced.
        """
        if not self.is_deposed:
            self._fleet.run(self._plan())

    def plan_before_answer(
        self, worker_id: str, seconds: float, may_wait: bool = True
    ) -> None:
        """Let it plan while the answer of a worker to a poll is under way.

        Args:
            worker_id: the worker; nothing happens if it is unknown.
            seconds: time that passes before and after it plans.
            may_wait: whether the poll is that of its loop, which waits for ends, or
                another one beside it.
        """
        worker = self._session.dispatcher.worker_by_id.get(worker_id)
        if worker is not None:
            self._fleet.run(self._plan_before_answer(worker, seconds, may_wait))

    def release(self) -> None:
        """Release the ownership."""
        self._fleet.run(self._owner._renew(is_released=True))

    async def _run_cycle(self, plans_first: bool) -> None:
        await self._owner._renew()
        if not self._session.loaded_at and not await self._owner._load():
            return
        await self._read_store()
        steps = [self._poll_and_store, self._plan]
        for step in reversed(steps) if plans_first else steps:
            if not self.is_deposed:
                await step()

    async def _read_store(self) -> None:
        sent_at = self._session.clock.now()
        listed = await self.workers.list_workers()
        if not isinstance(listed, Unavailable):
            self._watch._apply_worker_list(listed, sent_at)
            await self._watch.roster.store()
        version = self._owner._job_feed_version
        changes = await self.store.follow(JOBS_TABLE, version, 0.0)
        if not isinstance(changes, Unavailable):
            self._owner._apply_changes(changes)

    async def _poll_and_store(self) -> None:
        await self._poll(list(self._session.dispatcher.worker_by_id.values()))
        await self._owner._store._store_dirty()

    async def _poll(self, workers: list[WorkerRecord]) -> None:
        if self._session.lease.must_stop_renewing(self._session.clock.now()):
            return
        for worker in workers:
            self._session.spawn(self._watch.poll(worker))
        await self._settle()

    async def _plan(self) -> None:
        self._owner._run_orders._plan()
        await self._settle()

    async def _plan_before_answer(
        self, worker: WorkerRecord, seconds: float, may_wait: bool
    ) -> None:
        self.workers.held_answers = asyncio.Event()
        self._session.spawn(self._watch.poll(worker, may_wait))
        await _let_calls_end()
        self._fleet.advance(seconds)
        if not self.is_deposed:
            self._owner._run_orders._plan()
        await _let_calls_end()
        self._fleet.advance(seconds)
        self.workers.held_answers.set()
        self.workers.held_answers = None
        await self._settle()

    async def _settle(self) -> None:
        """Let the calls end, without the pauses that follow some of them."""
        await _let_calls_end()
        paused = list(self._session._tasks)
        self._session.cancel_all()
        if paused:
            await asyncio.wait(paused)


async def _let_calls_end() -> None:
    for _ in range(N_LOOP_TURNS):
        await asyncio.sleep(0)


class RivalFleet:
    """The store, the workers and all owners that are alive.

    A number of an acknowledged end that is above all ends of a worker hides its later
    ends too. The platform's documentation doesn't say whether it does, and that it does
    is the worse case for an owner.

    Attributes:
        binds_calls: ``binds_calls`` of the clients of all later owners.
    """

    def __init__(self, worker_ids: tuple[str, ...]) -> None:
        self.binds_calls = False
        self.clock = ManualClock(1000.0)
        self.store = SimulatedStore()
        self.worker_by_id: dict[str, FakeWorker] = {}
        self.down_ids: set[str] = set()
        self._listed_start_by_id: dict[str, float] = {}
        self._listed_at_by_id: dict[str, float] = {}
        self.late_calls: list[LateCall] = []
        self.owner_by_name: dict[str, SimulatedOwner] = {}
        self.job_by_id: dict[str, Job] = {}
        self.violations: list[str] = []
        self._watch_by_name: dict[str, OwnershipWatch] = {}
        self._claim_client_by_name: dict[str, StoreClient] = {}
        self._n_events = 0
        self._last_start: dict[str, int] = {}
        self._done_at: dict[tuple[str, float, int], int] = {}
        self._noted_tasks: set[str] = set()
        self._loop = asyncio.new_event_loop()
        for worker_id in worker_ids:
            self.join(worker_id)

    def close(self) -> None:
        """Close the event loop."""
        self._loop.close()

    def run(self, coroutine) -> Any:
        """Run a coroutine on the event loop."""
        return self._loop.run_until_complete(coroutine)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.advance(seconds)
        for worker in self.worker_by_id.values():
            worker.expire(self.clock.now())
        self._list_due_incarnations()

    def join(self, worker_id: str, clock_rate: float = 1.0) -> None:
        """Add a worker."""
        if worker_id not in self.worker_by_id:
            self.worker_by_id[worker_id] = FakeWorker(
                clock_rate,
                self.clock.now() - WORKER_AGE_SECONDS,
                MAX_LEASE_SECONDS,
                forgets_later_ends=True,
            )
            self.list_incarnation(worker_id)

    def crash(self, worker_id: str) -> None:
        """Crash a worker; it loses its runs and all calls that it has received.

        Each owner has a poll in flight and learns that it has no answer. Its calls
        between the crash and that are not simulated here, see `restart_unnoticed`.
        """
        if worker_id in self.worker_by_id:
            self.down_ids.add(worker_id)
            self.worker_by_id[worker_id].crash()
            for owner in self.owner_by_name.values():
                owner.poll_worker(worker_id)

    def restart(self, worker_id: str) -> None:
        """Start a crashed worker again, with a clock that starts anew."""
        if worker_id in self.down_ids:
            self.down_ids.discard(worker_id)
            self.worker_by_id[worker_id].booted_at = self.clock.now()
            self.list_incarnation(worker_id)

    def restart_unnoticed(self, worker_id: str, is_listed: bool = True) -> None:
        """Restart a worker between two polls, so that no call fails.

        The next call of each owner was made for the former incarnation and reaches the
        new one.

        Args:
            worker_id: the worker; nothing happens if it is down or has not joined.
            is_listed: whether its entry names the new incarnation at once.
        """
        if worker_id in self.worker_by_id.keys() - self.down_ids:
            self.worker_by_id[worker_id].crash()
            self.worker_by_id[worker_id].booted_at = self.clock.now()
            if is_listed:
                self.list_incarnation(worker_id)

    def list_incarnation(self, worker_id: str, after_seconds: float = 0.0) -> None:
        """Let the entry of a worker name its present incarnation after some time."""
        if worker_id in self.worker_by_id:
            listed_at = self.clock.now() + after_seconds
            self._listed_at_by_id[worker_id] = listed_at
            self._list_due_incarnations()

    def _list_due_incarnations(self) -> None:
        for worker_id, listed_at in list(self._listed_at_by_id.items()):
            if self.clock.now() >= listed_at and worker_id not in self.down_ids:
                del self._listed_at_by_id[worker_id]
                started_at = self.worker_by_id[worker_id].started_at
                self._listed_start_by_id[worker_id] = started_at

    def list_workers(self) -> list[ListedWorker]:
        """Return the entries of the workers that are up."""
        return [
            make_worker(worker_id, WORKER_CORES, started_at=started_at)
            for worker_id, started_at in self._listed_start_by_id.items()
            if worker_id not in self.down_ids
        ]

    def submit(self, n_tasks: int, delay_seconds: float = 0.0) -> None:
        """Store a job that was accepted some time before its row was stored."""
        job_id = f"{len(self.job_by_id):016x}"
        step = make_step(n_tasks)._replace(estimate_seconds=TASK_SECONDS)
        job = make_job(job_id, [step])
        job = job._replace(accepted_at=time.time() - delay_seconds)
        self.job_by_id[job_id] = job
        self.store.commit(Transaction([], [Write(job_key(job_id), job_to_row(job))]))

    def end_a_run(self, worker_id: str, how: EndKind) -> None:
        """End a run of a worker, if it has one."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None or worker_id in self.down_ids:
            return
        worker.expire(self.clock.now())
        if worker.running:
            worker.end(min(worker.running), how)
            self._n_events += 1
            end = (worker_id, worker.started_at, worker.n_ends)
            self._done_at[end] = self._n_events

    def carry_out_late_call(self, reaches_later_incarnation: bool = False) -> None:
        """Carry out the oldest late call.

        Args:
            reaches_later_incarnation: whether the worker carries it out even if it has
                crashed since. docs/platform.md assumes in which cases it doesn't.
        """
        if self.late_calls:
            late = self.late_calls.pop(0)
            worker = self.worker_by_id[late.worker_id]
            is_same = worker.started_at == late.started_at
            is_down = late.worker_id in self.down_ids
            if is_same or (reaches_later_incarnation and not is_down):
                late.carry_out()

    def carry_out(self, order: Order):
        """Let a worker carry out an order."""
        worker = self.worker_by_id[order.worker_id]
        before = set(worker.running)
        outcome = worker.carry_out(order, self.clock.now())
        if set(worker.running) - before:
            self._check_start(order)
        return outcome

    def renew_lease(self, worker_id: str, token: int, end: int, until: float):
        """Let a worker renew its lease and forget ends."""
        worker = self.worker_by_id[worker_id]
        before = {ended.number: ended for ended in worker.ended}
        outcome = worker.renew_lease(token, end, until, self.clock.now())
        for number in before.keys() - {ended.number for ended in worker.ended}:
            # A successor may run a task again once the lease has ended without it.
            is_lapsed = number <= worker.lapsed_end
            if before[number].how is EndKind.DONE and not is_lapsed:
                key = (worker_id, worker.started_at, number)
                self._note_done(before[number].task, self._done_at[key])
        return outcome

    def claim(self, name: str, link: StoreLink = StoreLink.SOUND) -> bool:
        """Let a daemon that is no owner follow the ownership until it may claim.

        Args:
            name: the daemon.
            link: what becomes of its claim.
        """
        if name in self.owner_by_name:
            return False
        if name not in self._watch_by_name:
            self.restart_daemon(name)
        watch = self._watch_by_name[name]
        for _ in range(8):
            run_now(watch.poll())
            if watch._may_claim(0.0):
                self._claim_client_by_name[name].link = link
                claim = run_now(watch._claim())
                self._claim_client_by_name[name].link = StoreLink.SOUND
                if claim is not None:
                    self.owner_by_name[name] = SimulatedOwner(self, name, claim)
                return claim is not None
            self.run_all(0.3)
        return False

    def restart_daemon(self, name: str) -> None:
        """Start a daemon anew; an owner that it was has ended."""
        self.owner_by_name.pop(name, None)
        client = StoreClient(self.store)
        self._claim_client_by_name[name] = client
        self._watch_by_name[name] = OwnershipWatch(
            client, self.clock, name, random.Random(1)
        )

    def run_cycle(self, name: str, plans_first: bool = False) -> None:
        """Let the loops of an owner run once; it ends if it was replaced."""
        owner = self.owner_by_name.get(name)
        if owner is not None:
            owner.run_cycle(plans_first)
            if owner.is_deposed:
                del self.owner_by_name[name]

    def run_all(
        self, seconds: float, n_cycles: int = 1, is_latest_first: bool = False
    ) -> None:
        """Let all owners that are not paused run once after each step of time."""
        for _ in range(n_cycles):
            self.advance(seconds)
            names = list(self.owner_by_name)
            for name in reversed(names) if is_latest_first else names:
                if not self.owner_by_name[name].is_paused:
                    self.run_cycle(name)

    def _check_start(self, order: Order) -> None:
        self._n_events += 1
        self._last_start[order.task] = self._n_events
        if order.task in self._noted_tasks:
            self.violations.append(f"{order.task} started after its end was noted")
        for worker_id, worker in self.worker_by_id.items():
            worker.expire(self.clock.now())
            if worker_id != order.worker_id and worker_id not in self.down_ids:
                self._check_other(order, worker_id, worker)

    def _check_other(self, order: Order, worker_id: str, worker: FakeWorker) -> None:
        for task, run in worker.running:
            if task == order.task:
                self.violations.append(
                    f"{task} runs as {run} on {worker_id} and, since"
                    f" {self.clock.now():.1f}, as {order.run} on {order.worker_id}"
                    f" by token {order.token}"
                )

    def _note_done(self, task: str, ended: int) -> None:
        self._noted_tasks.add(task)
        if self._last_start[task] > ended:
            self.violations.append(f"{task} was started after an end noted later")
