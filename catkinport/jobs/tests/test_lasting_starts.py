"""Tests of lasting tasks whose start had no answer."""

import pytest

from ...ports import Reason, Unavailable
from ...ports.fleet_workers import Done, Rejected, Rejection, RunningTask
from ..dispatch.task import ORDER_DELAY_SECONDS
from ..model import Step
from ..ownership.worker_watch import (
    STARTING_POLL_WAIT_SECONDS,
    STARTING_SECONDS,
    _choose_poll_wait,
)
from ..placement.round_budget import PlannedStart
from ..placement.run_stops import UNCONFIRMED_START_SECONDS, StopTurns
from ..placement.start_repeats import find_start_repeats
from ..workers.run import RunPhase
from ..workers.worker_state import UNCERTAIN_WORKER_PAUSE_SECONDS
from .builders import JOB_ID, NEED, make_job
from .test_owner_load import FailingTable, make_owner
from .vm_fleet import VmFleet

NO_ANSWER = Unavailable(Reason.TIMEOUT, "worker-start", "w", "", True)
N_TASKS = 3


class LastingStep:
    """A step of lasting tasks, the start of the last of which had no answer.

    Args:
        are_others_ready: whether the other tasks are at work.

    Attributes:
        run: the run whose start had no answer.
    """

    def __init__(self, are_others_ready: bool, max_away: int = 1) -> None:
        self.fleet = VmFleet(N_TASKS)
        step = Step(
            N_TASKS, NEED, 1.0, is_lasting=True, max_per_worker=1, max_away=max_away
        )
        self.fleet.dispatcher.add_job(make_job(steps=[step]), self.fleet.now)
        *others, last = self.fleet.plan()
        for start in others:
            self.fleet.answer(start, Done())
        if are_others_ready:
            self.fleet.make_lasting_tasks_available()
        self.run = last.run
        self.other_ids = [start.worker.worker_id for start in others]
        # The answer is given up after the latest report.
        self.fleet.advance(0.1)
        self.fleet.answer(last, NO_ANSWER)
        self._turns = StopTurns(
            self.fleet.dispatcher, self.fleet.vm_planner.may_end_run
        )

    def pass_time(self, seconds: float) -> None:
        """Let time pass in which the worker answers nothing."""
        self.fleet.advance(seconds)
        for worker_id in self.other_ids:
            self.fleet.poll(worker_id)

    def report(self) -> None:
        """Let the worker report what it runs."""
        self.fleet.poll(self.run.worker_id)

    def carry_out(self, percent: float = 100.0) -> None:
        """Let the worker carry out the start."""
        entry = RunningTask(*self.run.key, "", percent, 0.0)
        self.fleet.running_by_worker[self.run.worker_id][self.run.key] = entry

    def reasons(self) -> list[str]:
        """Return the reasons of the stops that are due."""
        return [stop.reason for stop in self._turns.take(self.fleet.now, 10)]

    def find_repeats(self) -> list[PlannedStart]:
        """Return the repetitions of the start that are due."""
        return find_start_repeats(self.fleet.dispatcher, self.fleet.now)

    def report_and_repeat(self) -> PlannedStart:
        """Let a report lack the run, and return the repetition that follows."""
        self.pass_time(UNCERTAIN_WORKER_PAUSE_SECONDS)
        self.report()
        (repeat,) = self.find_repeats()
        return repeat

    def restart(self, **fields) -> None:
        """Restart the worker, list its entry with ``fields``, and let it report."""
        worker_id = self.run.worker_id
        self.fleet.running_by_worker[worker_id].clear()
        self.fleet.workers = [
            worker._replace(started_at=2.0, **fields)
            if worker.worker_id == worker_id
            else worker
            for worker in self.fleet.workers
        ]
        self.fleet.list_workers()
        self.fleet.poll(worker_id, started_at=2.0)


class TestStartWithoutAnswer:
    def test_it_is_not_stopped_while_it_may_be_at_work(self):
        """Guards against the end of a task at work while others of its step are away.

        An owner that falls behind has no answer to its polls either, and stopped the
        task after `UNCONFIRMED_START_SECONDS`.
        """
        step = LastingStep(are_others_ready=False)
        step.carry_out()
        step.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        assert step.reasons() == []
        assert step.fleet.plan() == []
        step.report()
        step.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        assert step.reasons() == []
        assert not step.run.is_start_uncertain
        assert step.run.phase is RunPhase.RUNNING

    @pytest.mark.parametrize("max_away", [0, 1])
    def test_no_stop_ends_it(self, max_away):
        """Guards against a stop after which the task starts beside its late run.

        The worker may restart, and then knows nothing of the stop. The disruption
        budget of the step does not matter.
        """
        step = LastingStep(are_others_ready=True, max_away=max_away)
        for _ in range(10):
            step.pass_time(1.0)
            step.report()
            assert step.reasons() == []
            assert step.fleet.plan() == []

    def test_one_that_is_carried_out_late_is_kept(self):
        """Guards against a task that is stopped and started again within a second.

        A poll that was sent after the answer was given up returned before the worker
        carried the start out.
        """
        step = LastingStep(are_others_ready=False)
        step.pass_time(0.1)
        step.report()
        assert step.reasons() == []
        step.carry_out()
        step.pass_time(0.1)
        step.report()
        step.pass_time(1.0)
        step.report()
        assert step.reasons() == []
        assert step.run.phase is RunPhase.RUNNING
        assert step.find_repeats() == []

    def test_a_task_starts_elsewhere_once_no_order_can_arrive(self):
        """Guards against a task that waits for good for a worker that refuses it."""
        step = LastingStep(are_others_ready=True)
        worker = step.fleet.dispatcher.worker_by_id[step.run.worker_id]
        worker.is_cordoned = True
        step.pass_time(ORDER_DELAY_SECONDS + 0.1)
        step.report()
        worker.is_cordoned = False
        (start,) = step.fleet.plan()
        assert start.run.key.run == 2

    def test_its_worker_is_polled_often_until_it_is_known(self):
        """Guards against a repetition that waits for the end of a long poll.

        A start is given up within a second, but its worker may answer only later.
        """
        step = LastingStep(are_others_ready=False)
        worker = step.fleet.dispatcher.worker_by_id[step.run.worker_id]
        late = step.fleet.now + STARTING_SECONDS + 0.1
        assert _choose_poll_wait(worker, late, 3000) == STARTING_POLL_WAIT_SECONDS

    @pytest.mark.parametrize(
        ("n_workers", "wait_seconds"), [(300, 0.25), (1000, 0.5), (3000, 1.0)]
    )
    def test_starting_tasks_are_polled_as_often_as_the_owner_can(
        self, n_workers, wait_seconds
    ):
        """Guards against a new owner that has no time but for polls."""
        step = LastingStep(are_others_ready=False)
        worker = step.fleet.dispatcher.worker_by_id[step.other_ids[0]]
        assert _choose_poll_wait(worker, step.fleet.now, n_workers) == wait_seconds


class TestRepetition:
    def test_it_follows_a_report_that_lacks_the_run(self):
        """Guards against a lost start for which the others wait for 12 s."""
        step = LastingStep(are_others_ready=False)
        step.pass_time(UNCERTAIN_WORKER_PAUSE_SECONDS)
        assert step.find_repeats() == []
        step.report()
        (repeat,) = step.find_repeats()
        assert (repeat.run, repeat.worker.worker_id) == (step.run, step.run.worker_id)
        step.fleet.answer(repeat, Done())
        assert step.run.phase is RunPhase.RUNNING
        assert not step.run.is_start_uncertain

    def test_one_that_is_under_way_is_not_repeated(self):
        """Guards against a burst of orders for one run."""
        step = LastingStep(are_others_ready=False)
        repeat = step.report_and_repeat()
        step.pass_time(1.0)
        step.report()
        assert step.find_repeats() == []
        step.fleet.answer(repeat, NO_ANSWER)
        assert step.report_and_repeat().run is step.run

    @pytest.mark.parametrize(
        "outcome",
        [
            Rejected(Rejection.NO_ROOM),
            Rejected(Rejection.UNHEALTHY),
            NO_ANSWER._replace(may_have_committed=False),
        ],
    )
    def test_one_that_has_no_effect_frees_no_task(self, outcome):
        """Guards against a start elsewhere while the first order may be carried out."""
        step = LastingStep(are_others_ready=False)
        step.fleet.answer(step.report_and_repeat(), outcome)
        step.pass_time(1.0)
        step.report()
        assert step.fleet.plan() == []
        (repeat,) = step.find_repeats()
        assert repeat.run is step.run

    def test_it_goes_to_the_incarnation_that_answers(self):
        """Guards against a task that waits because its worker has restarted."""
        step = LastingStep(are_others_ready=False)
        step.pass_time(UNCERTAIN_WORKER_PAUSE_SECONDS)
        step.restart()
        (repeat,) = step.find_repeats()
        assert repeat.run.sent_to == 2.0

    def test_it_does_not_go_to_a_worker_without_the_label(self):
        """Guards against a start on a worker that has restarted as another kind."""
        step = LastingStep(are_others_ready=False)
        step.run.task.step = step.run.task.step._replace(required_label="a")
        step.pass_time(UNCERTAIN_WORKER_PAUSE_SECONDS)
        step.restart(labels=("b", "r1"))
        assert step.find_repeats() == []

    @pytest.mark.parametrize("change", ["draining", "canceled", "silent"])
    def test_it_does_not_go_where_no_task_may_start(self, change):
        """Guards against starts on a draining worker, or of a canceled job."""
        step = LastingStep(are_others_ready=False)
        step.pass_time(UNCERTAIN_WORKER_PAUSE_SECONDS)
        step.report()
        worker = step.fleet.dispatcher.worker_by_id[step.run.worker_id]
        if change == "draining":
            worker.listed = worker.listed._replace(is_draining=True)
        elif change == "canceled":
            step.fleet.dispatcher.cancel_job(JOB_ID)
        else:
            worker.note_no_answer()
        assert step.find_repeats() == []

    def test_task_waits_while_a_former_order_may_reach_a_later_incarnation(self):
        """Guards against a second run by the first order after the run was lost.

        The repeated order was answered, and its worker restarts. Whether the first
        order is still under way is not known.
        """
        step = LastingStep(are_others_ready=False)
        first_until = step.run.given_up_at + ORDER_DELAY_SECONDS
        step.fleet.answer(step.report_and_repeat(), Done())
        step.carry_out()
        step.report()
        step.pass_time(1.0)
        step.restart()
        assert (
            step.run.key
            not in step.fleet.dispatcher.worker_by_id[step.run.worker_id].run_by_key
        )
        assert step.fleet.plan() == []
        # The wait counts from the order without an answer, and not from the restart.
        step.pass_time(first_until - step.fleet.now + 0.1)
        step.fleet.poll(step.run.worker_id, started_at=2.0)
        (start,) = step.fleet.plan()
        assert start.run.key.run == 2


class TestOwner:
    def test_its_stops_ask_for_the_budget(self):
        """Guards against an owner whose stops are decided without the budget."""
        owner = make_owner(FailingTable())
        asked = owner._run_orders._stop_turns._may_end_run
        assert asked == owner._vm_planner.may_end_run


class TestBudget:
    def _run_of_other(self, step):
        worker = step.fleet.dispatcher.worker_by_id[step.other_ids[0]]
        return next(iter(worker.run_by_key.values()))

    @pytest.mark.parametrize("seconds", [1.0, ORDER_DELAY_SECONDS - 1.0])
    def test_a_run_whose_stop_may_be_carried_out_counts_as_away(self, seconds):
        """Guards against two tasks of a step that are ended where one may be.

        The report of a run as ready does not tell that a stop without an answer will
        not end it.
        """
        step = LastingStep(are_others_ready=True)
        step.carry_out()
        step.report()
        step.run.stop_sent_at = step.fleet.now
        step.pass_time(seconds)
        step.report()
        may_end_run = step.fleet.vm_planner.may_end_run
        assert not may_end_run(self._run_of_other(step))
        step.pass_time(ORDER_DELAY_SECONDS)
        step.report()
        assert may_end_run(self._run_of_other(step))

    def test_a_vm_stays_up_while_the_stop_of_another_task_is_under_way(self):
        """Guards against an upkeep beside a stop that has not ended its task yet."""
        step = LastingStep(are_others_ready=True)
        step.carry_out()
        for _ in range(3):
            step.pass_time(0.3)
            step.report()
        step.run.phase = RunPhase.STOPPING
        vm = step.fleet.dispatcher.worker_by_id[step.other_ids[0]].vm_id
        step.fleet.request_wave([vm])
        assert step.fleet.step() + step.fleet.step() == []
