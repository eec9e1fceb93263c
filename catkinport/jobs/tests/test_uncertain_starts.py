"""Tests of starts without an answer on workers that restart under the same id."""

import pytest

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
from ..dispatch.task import ORDER_DELAY_SECONDS
from ..placement.ready_tasks import ReadyTask
from ..placement.run_stops import (
    STOP_RETRY_SECONDS,
    UNCONFIRMED_START_SECONDS,
    StopOrder,
    find_stops,
)
from ..placement.stalled_pools import StartState, measure_stalls
from ..workers.worker_state import MAX_LEASE_SECONDS
from .builders import JOB_ID, POOL, QUEUE, Fleet, make_job, make_step, make_worker

UNCERTAIN = Unavailable(Reason.TIMEOUT, "worker-start", "w1", "", True)


class TwoWorkers:
    """A fleet of two workers, on one of which a start had no answer.

    Args:
        is_given_up: whether the call of the start has already been given up.
        may_run_twice: whether two runs of the task may overlap.

    Attributes:
        key: the run that was ordered.
        worker_id: worker to which the start was sent.
        other_id: the other worker.
    """

    def __init__(self, is_given_up: bool = True, may_run_twice: bool = False) -> None:
        self.fleet = Fleet([make_worker("w1"), make_worker("w2")])
        self.dispatcher = self.fleet.dispatcher
        job = make_job(steps=[make_step(may_run_twice=may_run_twice)])
        self.dispatcher.add_job(job, self.fleet.now)
        (start,) = self.fleet.plan()
        self.run = start.run
        self.key = start.run.key
        self.worker_id = start.worker.worker_id
        self.other_id = {"w1": "w2", "w2": "w1"}[self.worker_id]
        self.fleet.advance(0.1)
        if is_given_up:
            self.fleet.answer(start, UNCERTAIN)

    def pass_time(self, seconds: float) -> None:
        """Let time pass without an answer of the worker."""
        self.fleet.advance(seconds)
        self.fleet.poll(self.other_id)
        self.dispatcher.expire(self.fleet.now)

    def list_vm(self, state: VmState) -> None:
        """Read a list of VMs that shows the state of the worker's VM."""
        shown = self.worker_id if state is VmState.UP else ""
        vm = FleetVm("m", POOL, state, "z", (), Resources(16, 256, 0), shown)
        self.dispatcher.update_vms([vm], self.fleet.now, self.fleet.now)

    def carry_out(self) -> None:
        """Let the worker carry out the start."""
        running = RunningTask(*self.key, "", 0.0, 0.0)
        self.fleet.running_by_worker[self.worker_id][self.key] = running

    def report(self, started_at: float = 1.0) -> None:
        """Process a report of the incarnation that started at ``started_at``."""
        self.fleet.advance(0.1)
        self.fleet.poll(self.worker_id, started_at)

    def stops(self) -> list[StopOrder]:
        """Return the stops of the run that are due."""
        stops = find_stops(self.dispatcher, self.fleet.now)
        return [stop for stop in stops if stop.key == self.key]

    def confirm_stop(self) -> None:
        """Let the incarnation that reported last confirm the stop that is due."""
        (stop,) = self.stops()
        worker = self.dispatcher.worker_by_id[stop.worker_id]
        incarnation = worker.incarnation
        self.dispatcher.uncertain_starts.note_stopped(incarnation, stop.key)
        if stop.key in worker.run_by_key:
            self.dispatcher.on_stop_outcome(self.run, Done(), self.fleet.now)

    def give_up(self) -> None:
        """Let the lease of the start end without an answer of the worker."""
        self.pass_time(MAX_LEASE_SECONDS + 0.1)
        assert self.key not in self.dispatcher.worker_by_id[self.worker_id].run_by_key


class TestLateAnswer:
    def test_run_that_the_worker_reports_is_kept(self):
        """Guards against tasks that never end where each answer comes late."""
        workers = TwoWorkers()
        assert workers.stops() == []
        workers.carry_out()
        workers.report()
        assert workers.stops() == []
        workers.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        workers.report()
        assert workers.stops() == []
        assert workers.fleet.plan() == []
        assert not workers.run.is_start_uncertain

    def test_run_that_was_reported_before_the_timeout_is_kept(self):
        """Guards against a stop of a run that its worker has already confirmed."""
        workers = TwoWorkers(is_given_up=False)
        workers.carry_out()
        workers.report()
        workers.dispatcher.on_start_outcome(workers.run, UNCERTAIN, workers.fleet.now)
        workers.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        assert workers.stops() == []
        assert not workers.run.is_start_uncertain

    def test_run_that_the_next_report_lacks_is_awaited(self):
        """Guards against a second run on a worker that restarts after a stop.

        The restarted worker doesn't know of the stop, and may carry the start out
        before any call of the owner.
        """
        workers = TwoWorkers()
        workers.report()
        assert workers.stops() == []
        assert workers.fleet.plan() == []
        workers.carry_out()
        workers.report(started_at=2.0)
        assert workers.stops() == []
        assert not workers.run.is_start_uncertain

    def test_one_that_may_run_twice_is_stopped_after_the_next_report(self):
        """Guards against a copy of a task that is awaited although it may overlap."""
        workers = TwoWorkers(may_run_twice=True)
        workers.report()
        (stop,) = workers.stops()
        assert stop.reason == "start-unsure"

    def test_report_of_a_poll_from_before_the_timeout_stops_nothing(self):
        """Guards against a stop for a report that is older than the start."""
        workers = TwoWorkers()
        lists = WorkerLists(1.0, [], [])
        fleet = workers.fleet
        fleet.dispatcher.on_worker_report(
            workers.worker_id, lists, fleet.now - 0.1, fleet.now
        )
        assert workers.stops() == []

    def test_run_on_a_silent_worker_is_stopped_after_a_bounded_time(self):
        """Guards against a task that waits for a report that never comes."""
        workers = TwoWorkers(may_run_twice=True)
        workers.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        assert len(workers.stops()) == 1

    def test_run_whose_stop_was_sent_stays_stopped(self):
        """Guards against a run that is taken for alive while a stop may reach it."""
        workers = TwoWorkers(may_run_twice=True)
        workers.report()
        assert len(workers.stops()) == 1
        workers.carry_out()
        workers.report()
        assert workers.run.is_start_uncertain
        workers.fleet.advance(STOP_RETRY_SECONDS)
        assert len(workers.stops()) == 1


class TestStopsWithoutAnswer:
    """Guards against a task that never starts again.

    Its start was lost, and the answer to each stop comes after its timeout, so that no
    stop is ever confirmed.
    """

    def pass_time(self, workers: TwoWorkers, seconds: float, started_at: float) -> None:
        """Let time pass in which the worker reports and answers no stop."""
        end = workers.fleet.now + seconds
        while workers.fleet.now < end:
            workers.pass_time(0.4)
            workers.report(started_at)
            workers.stops()

    @pytest.mark.parametrize("started_at", [1.0, 2.0])
    def test_start_is_given_up_once_it_can_be_carried_out_no_more(self, started_at):
        workers = TwoWorkers()
        self.pass_time(workers, ORDER_DELAY_SECONDS - 1.0, started_at)
        assert workers.fleet.plan() == []
        self.pass_time(workers, 2.0, started_at)
        (start,) = workers.fleet.plan()
        assert start.run.key.run == 2


class TestDeadVm:
    def test_task_waits_for_the_late_start_on_the_restarted_worker(self):
        """Guards against a second run on a worker that restarts with a late start."""
        workers = TwoWorkers()
        workers.list_vm(VmState.UP)
        workers.pass_time(1.5)
        workers.list_vm(VmState.DOWN)
        assert workers.fleet.plan() == []
        workers.report(started_at=2.0)
        assert workers.fleet.plan() == []
        workers.carry_out()
        workers.report(started_at=2.0)
        workers.pass_time(ORDER_DELAY_SECONDS)
        workers.report(started_at=2.0)
        assert workers.fleet.plan() == []

    def test_task_starts_elsewhere_once_the_start_can_come_no_more(self):
        """Guards against a task that waits for a worker that never comes back."""
        workers = TwoWorkers()
        workers.list_vm(VmState.UP)
        workers.pass_time(1.5)
        workers.list_vm(VmState.DOWN)
        workers.give_up()
        assert workers.fleet.plan() == []
        workers.pass_time(ORDER_DELAY_SECONDS - MAX_LEASE_SECONDS - 1.5)
        (start,) = workers.fleet.plan()
        assert start.worker.worker_id == workers.other_id


class TestChangedEntry:
    def change_entry(self, workers, **changes):
        """List the worker with other fields, and let the other worker answer."""
        fleet = workers.fleet
        fleet.workers = [
            listed._replace(**changes)
            if listed.worker_id == workers.worker_id
            else listed
            for listed in fleet.workers
        ]
        workers.dispatcher.update_workers(fleet.workers, fleet.now, fleet.now)

    @pytest.mark.parametrize("changes", [{"pool": "off"}, {"address": "h:2"}])
    def test_task_waits_for_the_late_start_on_its_worker(self, changes):
        """Guards against a second run beside a worker that has changed its place.

        The start may reach it in its new pool, or at the address that it had.
        """
        workers = TwoWorkers()
        workers.give_up()
        self.change_entry(workers, **changes)
        waited_seconds = MAX_LEASE_SECONDS + 0.1
        while waited_seconds < ORDER_DELAY_SECONDS - 0.5:
            assert workers.fleet.plan() == []
            workers.pass_time(0.5)
            waited_seconds += 0.5
        workers.pass_time(1.0)
        (start,) = workers.fleet.plan()
        assert start.worker.worker_id == workers.other_id

    def test_task_waits_while_another_worker_has_the_address(self):
        """Guards against a second run beside a start that another worker rejects late.

        Nothing tells whether the order was still sent to the worker that is gone.
        """
        workers = TwoWorkers()
        workers.give_up()
        fleet = workers.fleet
        worker = workers.dispatcher.worker_by_id[workers.worker_id]
        workers.dispatcher.retire_worker(worker.incarnation, fleet.now, fleet.now)
        self.change_entry(workers, worker_id="w9")
        assert workers.worker_id not in workers.dispatcher.worker_by_id
        workers.pass_time(0.5)
        assert workers.fleet.plan() == []
        workers.pass_time(ORDER_DELAY_SECONDS)
        assert len(workers.fleet.plan()) == 1


class TestRestartAfterGivingUp:
    def test_stop_is_sent_to_the_restarted_worker(self):
        """Guards against a late start on a restarted worker after its lease ended."""
        workers = TwoWorkers()
        workers.give_up()
        assert workers.fleet.start() == []
        workers.report(started_at=2.0)
        (stop,) = workers.stops()
        assert (stop.worker_id, stop.reason) == (workers.worker_id, "start-unsure")
        assert workers.fleet.start() == []

    def test_stop_that_was_confirmed_before_the_restart_is_repeated(self):
        """Guards against a restarted worker that doesn't know of a confirmed stop."""
        workers = TwoWorkers()
        workers.dispatcher.cancel_job(JOB_ID)
        workers.report(started_at=1.0)
        workers.confirm_stop()
        workers.report(started_at=1.0)
        assert workers.fleet.states() == {JOB_ID: "canceled"}
        assert workers.stops() == []
        workers.report(started_at=2.0)
        assert len(workers.stops()) == 1

    def test_every_incarnation_gets_a_stop_until_it_confirms_one(self):
        """Guards against a stop that only the first restarted worker has seen."""
        workers = TwoWorkers()
        workers.give_up()
        workers.report(started_at=2.0)
        assert len(workers.stops()) == 1
        assert workers.stops() == []
        workers.report(started_at=2.0)
        workers.fleet.advance(0.5)
        workers.confirm_stop()
        workers.fleet.advance(0.5)
        assert workers.stops() == []
        workers.report(started_at=3.0)
        assert len(workers.stops()) == 1

    def test_a_later_incarnation_waits_for_no_stop_of_the_former_one(self):
        """Guards against a late start in the time until a stop would be sent again.

        The first incarnation after the start has got a stop just before it restarts.
        """
        workers = TwoWorkers()
        workers.give_up()
        workers.report(started_at=2.0)
        assert len(workers.stops()) == 1
        workers.report(started_at=3.0)
        assert len(workers.stops()) == 1
        assert workers.stops() == []

    def test_stop_is_sent_after_the_job_has_ended(self):
        """Guards against a late start of a task that is done elsewhere by then."""
        workers = TwoWorkers(may_run_twice=True)
        workers.give_up()
        (start,) = workers.fleet.start()
        workers.fleet.end(start, EndKind.DONE)
        record = workers.dispatcher.job_by_id[JOB_ID]
        record.is_dirty = False
        workers.dispatcher.forget_ended(record)
        assert JOB_ID not in workers.dispatcher.job_by_id
        workers.report(started_at=2.0)
        assert len(workers.stops()) == 1

    def test_silent_worker_gets_no_stop(self):
        """Guards against calls without use to workers that are gone."""
        workers = TwoWorkers()
        workers.give_up()
        workers.pass_time(1.0)
        assert workers.stops() == []

    def test_stop_is_sent_to_a_worker_that_was_removed_and_listed_again(self):
        """Guards against starts that are forgotten with the record of the worker."""
        workers = TwoWorkers()
        workers.give_up()
        fleet = workers.fleet
        worker = workers.dispatcher.worker_by_id[workers.worker_id]
        workers.dispatcher.retire_worker(worker.incarnation, fleet.now, fleet.now)
        assert workers.worker_id not in workers.dispatcher.worker_by_id
        fleet.workers = [make_worker(workers.worker_id, started_at=2.0)]
        workers.dispatcher.update_workers(fleet.workers, fleet.now, fleet.now)
        workers.report(started_at=2.0)
        assert len(workers.stops()) == 1

    def test_start_that_was_carried_out_needs_no_stop(self):
        """Guards against stops for a start that can't be carried out again."""
        workers = TwoWorkers()
        running = RunningTask(*workers.key, "", 0.0, 0.0)
        workers.fleet.running_by_worker[workers.worker_id][workers.key] = running
        workers.report(started_at=1.0)
        workers.fleet.running_by_worker[workers.worker_id].clear()
        workers.report(started_at=2.0)
        assert workers.stops() == []

    def test_start_that_is_carried_out_after_all_is_logged(self, caplog):
        """Guards against a late start that leaves no trace when a task runs twice."""
        workers = TwoWorkers()
        workers.give_up()
        running = RunningTask(*workers.key, "", 0.0, 0.0)
        workers.fleet.running_by_worker[workers.worker_id][workers.key] = running
        workers.report(started_at=2.0)
        assert "late start carried out" in caplog.messages

    def test_start_is_forgotten_once_it_can_be_carried_out_no_more(self):
        """Guards against a list of starts that grows without end."""
        workers = TwoWorkers()
        workers.give_up()
        workers.pass_time(ORDER_DELAY_SECONDS)
        workers.report(started_at=2.0)
        assert workers.stops() == []


class TestOutcomeAfterGivingUp:
    """The run is given up while the call of its start is still under way."""

    def give_up(self) -> TwoWorkers:
        workers = TwoWorkers(is_given_up=False)
        workers.give_up()
        assert workers.fleet.plan() == []
        return workers

    def test_task_waits_from_the_end_of_the_call_on(self):
        """Guards against a wait that begins before the order was sent."""
        workers = self.give_up()
        workers.pass_time(5.0)
        workers.dispatcher.on_start_outcome(workers.run, UNCERTAIN, workers.fleet.now)
        workers.pass_time(ORDER_DELAY_SECONDS - 0.1)
        assert workers.fleet.plan() == []
        workers.pass_time(0.2)
        assert len(workers.fleet.plan()) == 1

    @pytest.mark.parametrize(
        "outcome",
        [
            Rejected(Rejection.UNHEALTHY),
            UNCERTAIN._replace(may_have_committed=False),
        ],
    )
    def test_task_starts_at_once_if_the_order_had_no_effect(self, outcome):
        """Guards against a wait for an order that was not carried out."""
        workers = self.give_up()
        workers.dispatcher.on_start_outcome(workers.run, outcome, workers.fleet.now)
        assert len(workers.fleet.plan()) == 1


class TestGang:
    def test_it_waits_for_the_late_start_of_a_member(self):
        """Guards against a late member beside the next run of its gang."""
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        job = make_job(steps=[make_step(2, is_gang=True)])
        fleet.dispatcher.add_job(job, fleet.now)
        first, second = fleet.plan()
        fleet.answer(first, Done())
        fleet.answer(second, UNCERTAIN)
        fleet.end(first, EndKind.ALONE)
        fleet.advance(ORDER_DELAY_SECONDS - 0.1)
        fleet.poll_all()
        assert fleet.plan() == []
        fleet.advance(0.2)
        fleet.poll_all()
        assert {start.run.key.run for start in fleet.plan()} == {2}


class TestSuccessor:
    """An owner that loads the stored state of a job with a start without an answer."""

    def load(self, workers: TwoWorkers) -> Fleet:
        """Return the fleet of an owner that succeeds the one of ``workers``."""
        record = workers.dispatcher.job_by_id[JOB_ID]
        assert record.is_dirty
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.now = workers.fleet.now
        fleet.dispatcher.add_job(make_job(), fleet.now, is_inherited=True)
        fleet.dispatcher.load_state(JOB_ID, record.to_row(), 1)
        fleet.dispatcher.job_by_id[JOB_ID].advance_run_numbers()
        fleet.poll_all()
        return fleet

    def test_it_waits_until_the_start_can_come_no_more(self):
        """Guards against a second run by a start that only a former owner knew of."""
        fleet = self.load(TwoWorkers())
        fleet.advance(ORDER_DELAY_SECONDS - 0.1)
        fleet.poll_all()
        assert fleet.plan() == []
        fleet.advance(0.2)
        fleet.poll_all()
        assert len(fleet.plan()) == 1

    def test_the_job_counts_as_waiting(self):
        """Guards against a stored start without an answer that counts as a run."""
        fleet = self.load(TwoWorkers())
        assert fleet.dispatcher.count_waiting() == {QUEUE: 1}

    def test_it_takes_the_late_start_for_the_run_of_its_task(self):
        """Guards against a wait that goes on after the late run has failed."""
        workers = TwoWorkers()
        fleet = self.load(workers)
        fleet.running_by_worker["w1"][workers.key] = RunningTask(
            *workers.key, "", 0.0, 0.0
        )
        fleet.poll_all()
        fleet.running_by_worker["w1"].clear()
        ended = EndedTask(1, *workers.key, EndKind.FAILED, "")
        fleet.ended_by_worker["w1"].append(ended)
        fleet.advance(0.1)
        fleet.poll_all()
        assert len(fleet.plan()) == 1


class TestReport:
    def test_stall_names_the_start_without_an_answer(self):
        """Guards against a task that is held back and that no stall explains."""
        workers = TwoWorkers()
        workers.give_up()
        fleet = workers.fleet
        fleet.poll_all()
        record = workers.dispatcher.job_by_id[JOB_ID]
        ready = ReadyTask(record, workers.run.task, POOL, fleet.now - 2.0)
        state = StartState({})
        (stall,) = measure_stalls(workers.dispatcher, [ready], state, fleet.now)
        assert stall.reason == "start-unanswered"
