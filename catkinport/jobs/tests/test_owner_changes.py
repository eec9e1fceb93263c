"""Property-based test of changes of ownership with lost and delayed messages.

Simulated workers carry out orders with fencing tokens under leases; some orders
arrive late or get no answer. Each new owner loads what the former one stored and takes
over the runs that the workers list. After every step the invariants are checked on the
state of the simulated workers.

A worker that crashes starts again under its id, knows nothing of before, and its clock
begins anew. Late orders may reach it then. As docs/platform.md assumes, that is not
before the owner's first calls there, nor later than `ORDER_DELAY_SECONDS`.
"""

from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ...policy.leadership import former_owner_bound
from ...policy.resources import Resources
from ...ports import Reason, Unavailable
from ...ports.fleet_vms import FleetVm, VmState
from ...ports.fleet_workers import (
    Done,
    EndedTask,
    EndKind,
    Rejected,
    Rejection,
    RunningTask,
    WorkerLists,
)
from ..dispatcher import Dispatcher, is_over
from ..model import Job
from ..planner import PlannedStart, Planner
from ..run_stops import STOP_RETRY_SECONDS, StopOrder, find_stops
from ..uncertain_starts import ORDER_DELAY_SECONDS
from ..worker_state import (
    FRESH_CONTACT_SECONDS,
    LEASE_SECONDS,
    MAX_LEASE_SECONDS,
    WorkerRecord,
)
from .builders import POOL, make_configuration, make_job, make_step, make_worker

MAX_FAILURES = 2
LIMIT = Resources(20.0, 0.0, 0.0)
LOST = Unavailable(Reason.TIMEOUT, "worker-start", "w", "", True)
WORKER_IDS = ("w0", "w1", "w2")
LONGEST_LEASE_SECONDS = 10.0
DELIVERIES = ("answered", "answered", "answered", "no answer", "late", "lost")
workers = st.sampled_from(WORKER_IDS)


class Order(NamedTuple):
    """An order to a worker to start or stop a run.

    Args:
        until: time on the worker's clock in seconds at which the lease of a start
            ends.
        sent_at: clock time in seconds.
        sent_to: ``started_at`` of the worker when the order was sent.
    """

    worker_id: str
    token: int
    task: str
    run: int
    until: float
    is_start: bool
    sent_at: float
    sent_to: float


class FakeWorker:
    """Simulated worker with fencing tokens, a lease, and refusal of outdated runs.

    Attributes:
        clock_zero: clock time in seconds at which its own clock was 0.
        is_down: whether it has crashed and not started again.
        is_called: whether the present owner has reached this incarnation, and sent
            there what it sends at first.
    """

    def __init__(self) -> None:
        self.clock_zero = 0.0
        self.is_down = False
        self.is_called = False
        self.token = 0
        self.lease_until = 0.0
        self.running: dict[tuple[str, int], float] = {}
        self.ended: list[EndedTask] = []
        self.refused_run: dict[str, int] = {}
        self.n_ends = 0
        self.started_at = 1.0

    def expire(self, now: float) -> None:
        if now > self.lease_until:
            for key in list(self.running):
                self.end(key, EndKind.LAPSED)

    def end(self, key: tuple[str, int], how: EndKind) -> None:
        del self.running[key]
        self.n_ends += 1
        self.ended.append(EndedTask(self.n_ends, *key, how, ""))
        self._refuse(*key)

    def carry_out(self, order: Order, now: float) -> Done | Rejected:
        self.expire(now)
        if order.token < self.token:
            return Rejected(Rejection.FENCED)
        self.token = order.token
        key = (order.task, order.run)
        if not order.is_start:
            if key in self.running:
                self.end(key, EndKind.STOPPED)
            self._refuse(*key)
            return Done()
        if order.until < now - self.clock_zero:
            return Rejected(Rejection.LATE)
        if key in self.running:
            return Done()
        if order.run <= self.refused_run.get(order.task, 0):
            return Rejected(Rejection.OLD_RUN)
        self.running[key] = now
        self._extend_lease(order.until, now)
        return Done()

    def renew_lease(self, token: int, acknowledged_end: int, until: float, now: float):
        self.expire(now)
        if token < self.token:
            return Rejected(Rejection.FENCED)
        self.token = token
        self._extend_lease(until, now)
        self.ended = [end for end in self.ended if end.number > acknowledged_end]
        running = [RunningTask(*key, "", 0.0, 0.0) for key in self.running]
        return WorkerLists(self.started_at, running, list(self.ended))

    def crash(self, now: float) -> None:
        started_at = self.started_at
        self.__init__()
        self.started_at = started_at + 1.0
        self.clock_zero = now

    def _extend_lease(self, until: float, now: float) -> None:
        granted = min(self.clock_zero + until, now + LONGEST_LEASE_SECONDS)
        self.lease_until = max(self.lease_until, granted)

    def _refuse(self, task: str, run: int) -> None:
        self.refused_run[task] = max(run, self.refused_run.get(task, 0))


class OwnerChanges(RuleBasedStateMachine):
    """Owners that come and go while messages are lost or late."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.token = 0
        self.worker_by_id = {worker_id: FakeWorker() for worker_id in WORKER_IDS}
        self.unreachable_ids: set[str] = set()
        self.late_orders: list[Order] = []
        self.clock_zero_by_id: dict[str, float] = {}
        self.stop_unanswered_at = float("-inf")
        self.job_by_id: dict[str, Job] = {}
        self.canceled_at_by_job: dict[str, float] = {}
        self.stored_rows: dict[str, dict] = {}
        self.stored_done_tasks: set[str] = set()
        self.stored_failed_runs: dict[str, set[int]] = {}

    @initialize()
    def begin(self) -> None:
        self._take_over(is_first=True)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5, 3.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for worker in self.worker_by_id.values():
            worker.expire(self.now)
        self.dispatcher.expire(self.now)
        if self.now > self.former_bound:
            self.dispatcher.resolve_inherited_workers(self.now)

    @rule(worker_id=workers)
    def partition_worker(self, worker_id: str) -> None:
        self.unreachable_ids.add(worker_id)

    @rule(worker_id=workers)
    def heal_partition(self, worker_id: str) -> None:
        self.unreachable_ids.discard(worker_id)

    @rule(worker_id=workers, is_down=st.booleans())
    def crash(self, worker_id: str, is_down: bool) -> None:
        worker = self.worker_by_id[worker_id]
        worker.crash(self.now)
        worker.is_down = is_down
        # The long poll that was under way has no answer.
        self.dispatcher.worker_by_id[worker_id].may_have_restarted = True

    @rule(worker_id=workers)
    def start_again(self, worker_id: str) -> None:
        if self.worker_by_id[worker_id].is_down:
            self.worker_by_id[worker_id].crash(self.now)

    @rule()
    def list_vms(self) -> None:
        vms = []
        for worker_id, worker in self.worker_by_id.items():
            state = VmState.DOWN if worker.is_down else VmState.UP
            shown = "" if worker.is_down else worker_id
            capacity = Resources(16.0, 256.0, 0)
            vm = FleetVm(f"m-{worker_id}", POOL, state, "z", (), capacity, shown)
            vms.append(vm)
        self.dispatcher.update_vms(vms, self.now, self.now)

    @rule(how=st.sampled_from([EndKind.DONE, EndKind.FAILED]), worker_id=workers)
    def end_a_run(self, how: EndKind, worker_id: str) -> None:
        worker = self.worker_by_id[worker_id]
        worker.expire(self.now)
        if worker.running:
            worker.end(min(worker.running), how)

    @rule()
    def carry_out_late(self) -> None:
        if not self.late_orders:
            return
        order = self.late_orders.pop(0)
        worker = self.worker_by_id[order.worker_id]
        if self.now - order.sent_at > ORDER_DELAY_SECONDS or worker.is_down:
            return
        if order.sent_to == worker.started_at or worker.is_called:
            self._deliver(worker, order)
        else:
            self.late_orders.append(order)

    @rule(n_tasks=st.integers(1, 3))
    def submit(self, n_tasks: int) -> None:
        job_id = f"{len(self.job_by_id):016x}"
        steps = [make_step(n_tasks), make_step(1, after=(0,))]
        self.job_by_id[job_id] = make_job(job_id, steps)
        self.dispatcher.add_job(self.job_by_id[job_id], self.now)

    @rule()
    def cancel(self) -> None:
        open_ids = [i for i in self.job_by_id if i not in self.canceled_at_by_job]
        if open_ids:
            self.canceled_at_by_job[open_ids[0]] = self.now
            self.dispatcher.cancel_job(open_ids[0])

    @rule(
        delivery=st.sampled_from(DELIVERIES),
        stop_delivery=st.sampled_from(DELIVERIES),
        is_stored=st.booleans(),
    )
    def run_owner_cycle(
        self, delivery: str, stop_delivery: str, is_stored: bool
    ) -> None:
        """Run one cycle of the owner's loops."""
        self._stop(stop_delivery)
        self._note_called(stop_delivery)
        for worker_id in WORKER_IDS:
            self._poll(worker_id)
        self._plan(delivery)
        if is_stored:
            self._store()

    def _note_called(self, stop_delivery: str) -> None:
        """Note which workers have got the stops that follow their first answer."""
        if stop_delivery != "answered":
            self.stop_unanswered_at = self.now
        if self.now - self.stop_unanswered_at < STOP_RETRY_SECONDS:
            return
        for worker_id, worker in self.worker_by_id.items():
            record = self.dispatcher.worker_by_id[worker_id]
            is_known = record.started_at == worker.started_at
            if is_known and self._is_reachable(worker_id):
                worker.is_called = worker.is_called or record.is_in_contact(self.now)

    def _poll(self, worker_id: str) -> None:
        worker = self.dispatcher.worker_by_id.get(worker_id)
        if worker is None:
            return
        is_fresh = self.now - worker.contact_at <= FRESH_CONTACT_SECONDS
        until = 0.0
        if is_fresh and not worker.may_have_restarted:
            worker.extend_lease(self.now)
            until = self._lease_end(worker_id)
        if not self._is_reachable(worker_id):
            worker.may_have_restarted = True
            return
        fake = self.worker_by_id[worker_id]
        outcome = fake.renew_lease(self.token, worker.stored_end, until, self.now)
        if isinstance(outcome, WorkerLists):
            self.clock_zero_by_id[worker_id] = fake.clock_zero
            self.dispatcher.on_worker_report(worker_id, outcome, self.now, self.now)

    def _lease_end(self, worker_id: str) -> float:
        """Return the end of a lease on the clock that the owner knows."""
        return self.now - self.clock_zero_by_id[worker_id] + LEASE_SECONDS

    def _is_reachable(self, worker_id: str) -> bool:
        is_down = self.worker_by_id[worker_id].is_down
        return not is_down and worker_id not in self.unreachable_ids

    def _plan(self, delivery: str) -> None:
        for start in self.planner.plan(self.now, self.now):
            self._check_start(start)
            start.worker.extend_lease(self.now)
            order = Order(
                start.run.worker_id,
                self.token,
                *start.run.key,
                self._lease_end(start.run.worker_id),
                True,
                self.now,
                self.worker_by_id[start.run.worker_id].started_at,
            )
            outcome = self._send(order, delivery)
            self.dispatcher.on_start_outcome(start.run, outcome, self.now)

    def _stop(self, delivery: str) -> None:
        for stop in list(find_stops(self.dispatcher, self.now)):
            worker = self.dispatcher.worker_by_id[stop.worker_id]
            sent_to = self.worker_by_id[stop.worker_id].started_at
            order = Order(
                stop.worker_id, self.token, *stop.key, 0.0, False, self.now, sent_to
            )
            outcome = self._send(order, delivery)
            if isinstance(outcome, Done):
                starts = self.dispatcher.uncertain_starts
                starts.note_stopped(worker.incarnation, stop.key)
            run = self._find_run(stop)
            if run is not None:
                self.dispatcher.on_stop_outcome(run, outcome, self.now)

    def _store(self) -> None:
        for record in self.dispatcher.dirty_jobs():
            self.stored_rows[record.job.job_id] = record.to_row()
            record.row_version += 1
            record.is_dirty = False
            self.dispatcher.forget_ended(record)
        for worker in self.dispatcher.worker_by_id.values():
            worker.stored_end = worker.processed_end

    @rule(is_ended=st.booleans())
    def change_owner(self, is_ended: bool) -> None:
        # A killed owner is replaced after `TAKEOVER_SECONDS` without a renewal.
        self.now += 0.1 if is_ended else 1.2
        self._take_over(is_first=False)

    @invariant()
    def no_task_runs_twice(self) -> None:
        """Check that no two workers run one task at the same time."""
        seen = set()
        for worker in self.worker_by_id.values():
            worker.expire(self.now)
            for task, _ in worker.running:
                assert task not in seen, f"{task} runs twice"
                seen.add(task)

    @invariant()
    def limit_holds(self) -> None:
        """Check that the account exceeds its limit by one task at most."""
        n_running = sum(len(w.running) for w in self.worker_by_id.values())
        assert n_running * 4.0 <= LIMIT.cores + 4.0

    def _check_start(self, start: PlannedStart) -> None:
        task = start.run.task
        record = start.run.record
        assert task.text not in self.stored_done_tasks, "started again after its end"
        n_failed = len(self.stored_failed_runs.get(task.text, ()))
        assert n_failed < MAX_FAILURES, "started after its last attempt"
        assert record.job.job_id not in self.canceled_at_by_job, (
            "started after its cancel"
        )
        if task.task_id.step == 1:
            first = record.tasks_by_stage[0, 0]
            assert all(t.text in self.done_tasks for t in first), "started out of order"

    @property
    def done_tasks(self) -> set[str]:
        return {
            task.text
            for record in self.dispatcher.job_by_id.values()
            for task in record.all_tasks()
            if task.phase == "done"
        }

    def _send(self, order: Order, delivery: str) -> Done | Rejected | Unavailable:
        is_unreachable = not self._is_reachable(order.worker_id)
        if delivery == "late":
            self.late_orders.append(order)
        if is_unreachable or delivery in ("late", "lost"):
            return LOST
        outcome = self._deliver(self.worker_by_id[order.worker_id], order)
        return LOST if delivery == "no answer" else outcome

    def _deliver(self, worker: FakeWorker, order: Order) -> Done | Rejected:
        return worker.carry_out(order, self.now)

    def _find_run(self, stop: StopOrder):
        worker = self.dispatcher.worker_by_id.get(stop.worker_id)
        return worker.run_by_key.get(stop.key) if worker else None

    def _take_over(self, is_first: bool) -> None:
        self.token += 1
        self.dispatcher = Dispatcher(
            make_configuration(MAX_FAILURES, LIMIT),
            longest_lease=LONGEST_LEASE_SECONDS,
        )
        self.planner = Planner(self.dispatcher)
        # The former owner may have renewed leases until the moment of the change.
        bound = former_owner_bound(self.now, True, MAX_LEASE_SECONDS)
        self.former_bound = bound
        for job_id, job in self.job_by_id.items():
            row = self.stored_rows.get(job_id)
            if row is not None and is_over(row):
                continue
            self.dispatcher.add_job(job, self.now, is_inherited=True)
            if job_id in self.canceled_at_by_job:
                self.dispatcher.cancel_job(job_id)
            if row is not None:
                self.dispatcher.load_state(job_id, row, 1)
                self._record_stored(job_id)
        for record in self.dispatcher.job_by_id.values():
            record.advance_run_numbers()
        for worker_id in WORKER_IDS:
            worker = WorkerRecord(make_worker(worker_id))
            worker.is_enrolled = True
            worker.lease_until = 0.0 if is_first else bound
            self.dispatcher.worker_by_id[worker_id] = worker
            self.worker_by_id[worker_id].is_called = False
            if not is_first:
                self.dispatcher.unresolved_by_id[worker_id] = worker.listed.pool

    def _record_stored(self, job_id: str) -> None:
        for task in self.dispatcher.job_by_id[job_id].all_tasks():
            if task.phase == "done":
                self.stored_done_tasks.add(task.text)
            self.stored_failed_runs.setdefault(task.text, set()).update(
                task.failed_runs
            )


class TestOwnerChanges:
    @pytest.mark.timeout(300)
    def test_invariants_hold_in_random_histories(self):
        """Guards against runs started twice, out of order, unasked or over a limit."""
        run_state_machine_as_test(
            OwnerChanges,
            settings=settings(
                max_examples=300,
                stateful_step_count=40,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )


def begin_with_late_start() -> tuple[OwnerChanges, str]:
    """Return a history and the worker that may still carry out the start of a task."""
    history = OwnerChanges()
    history.begin()
    history.run_owner_cycle("answered", "answered", True)
    history.submit(1)
    history.run_owner_cycle("late", "lost", True)
    (order,) = history.late_orders
    return history, order.worker_id


class TestRestartUnderOneId:
    """Histories that the random search rarely finds."""

    def test_late_start_after_the_vm_was_listed_as_dead(self):
        """Guards against a second run by a late start before the owner's first call."""
        history, worker_id = begin_with_late_start()
        history.list_vms()
        history.crash(worker_id, is_down=True)
        history.pass_time(1.5)
        history.list_vms()
        history.run_owner_cycle("answered", "lost", True)
        history.start_again(worker_id)
        history.worker_by_id[worker_id].is_called = True
        history.carry_out_late()
        assert history.worker_by_id[worker_id].running
        history.no_task_runs_twice()

    def test_late_start_after_the_lease_ended(self):
        """Guards against a second run on a worker that was cut off and restarted."""
        history, worker_id = begin_with_late_start()
        history.partition_worker(worker_id)
        self.pass_and_poll(history, 7)
        self.check_late_start_is_refused(history, worker_id)

    def test_late_start_after_its_stop_was_confirmed(self):
        """Guards against a second run on a worker that has forgotten a stop."""
        history, worker_id = begin_with_late_start()
        history.dispatcher.worker_by_id[worker_id].is_cordoned = True
        self.pass_and_poll(history, 2)
        self.check_late_start_is_refused(history, worker_id)

    def test_lease_on_the_clock_before_a_restart(self):
        """Guards against a second run while a worker that restarted is cut off."""
        history = OwnerChanges()
        history.begin()
        history.pass_time(3.0)
        history.run_owner_cycle("answered", "answered", True)
        for worker_id in WORKER_IDS:
            history.crash(worker_id, is_down=False)
            # Nothing has shown the restart, so the next poll renews the lease.
            record = history.dispatcher.worker_by_id[worker_id]
            record.may_have_restarted = False
        history.run_owner_cycle("answered", "answered", True)
        history.submit(1)
        history.run_owner_cycle("answered", "answered", True)
        (worker_id,) = [i for i, w in history.worker_by_id.items() if w.running]
        history.partition_worker(worker_id)
        for _ in range(12):
            self.pass_and_poll(history, 1)
            history.no_task_runs_twice()

    @staticmethod
    def pass_and_poll(history: OwnerChanges, n_cycles: int) -> None:
        for _ in range(n_cycles):
            history.pass_time(0.5)
            history.pass_time(0.5)
            history.run_owner_cycle("answered", "answered", True)

    @staticmethod
    def check_late_start_is_refused(history: OwnerChanges, worker_id: str) -> None:
        """Restart the worker and check that it refuses the late start when called."""
        others = [w for i, w in history.worker_by_id.items() if i != worker_id]
        assert any(worker.running for worker in others)
        history.crash(worker_id, is_down=False)
        history.heal_partition(worker_id)
        for _ in range(2):
            history.pass_time(0.1)
            history.run_owner_cycle("answered", "answered", True)
        assert history.worker_by_id[worker_id].is_called
        history.carry_out_late()
        assert history.late_orders == []
        history.no_task_runs_twice()
