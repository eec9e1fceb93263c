"""Tests of stops of lasting tasks whose start had no answer."""

import pytest

from ...ports import Reason, Unavailable
from ...ports.fleet_workers import Done, RunningTask
from ..model import Step
from ..ownership.worker_watch import STARTING_SECONDS, _choose_poll_wait
from ..placement.lasting_stops import FRESH_REPORT_SECONDS, LATE_START_SECONDS
from ..placement.run_stops import (
    STOP_RETRY_SECONDS,
    UNCONFIRMED_START_SECONDS,
    StopTurns,
)
from ..workers.run import ORDER_DELAY_SECONDS, RunPhase
from .builders import NEED, make_job
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

    def test_it_is_stopped_within_the_budget(self):
        """Guards against a task that waits although none of its step is away."""
        step = LastingStep(are_others_ready=True)
        step.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        assert step.reasons() == ["start-unsure"]

    def test_a_step_that_tolerates_no_absence_has_no_budget(self):
        """Guards against the end of a task of which none may be away."""
        step = LastingStep(are_others_ready=True, max_away=0)
        step.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        assert step.reasons() == []

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
        step.pass_time(LATE_START_SECONDS)
        step.report()
        assert step.reasons() == []
        assert step.run.phase is RunPhase.RUNNING

    def test_one_that_reports_lack_is_stopped_after_a_bounded_time(self):
        """Guards against a task whose start was lost and that waits for long."""
        step = LastingStep(are_others_ready=False)
        step.pass_time(LATE_START_SECONDS)
        step.report()
        assert step.reasons() == ["start-unsure"]

    def test_an_old_report_does_not_tell_that_it_is_not_at_work(self):
        """Guards against a stop by a report that is older than the work of the task."""
        step = LastingStep(are_others_ready=False)
        step.pass_time(LATE_START_SECONDS)
        step.report()
        step.pass_time(FRESH_REPORT_SECONDS + 0.1)
        assert step.reasons() == []

    def test_a_worker_that_is_far_away_has_older_reports(self):
        """Guards against a task that waits for a report that can't be so fresh."""
        step = LastingStep(are_others_ready=False)
        worker = step.fleet.dispatcher.worker_by_id[step.run.worker_id]
        worker.answer_seconds = 1.2
        step.pass_time(LATE_START_SECONDS)
        step.report()
        step.pass_time(FRESH_REPORT_SECONDS + 0.1)
        assert step.reasons() == ["start-unsure"]

    def test_its_worker_is_polled_often_until_it_is_known(self):
        """Guards against reports that are never fresh enough to decide on it.

        A start is given up within a second, but its worker may answer only later.
        """
        step = LastingStep(are_others_ready=False)
        worker = step.fleet.dispatcher.worker_by_id[step.run.worker_id]
        late = step.fleet.now + STARTING_SECONDS + 0.1
        assert _choose_poll_wait(worker, late, 3000) < FRESH_REPORT_SECONDS

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

    def test_it_is_adopted_after_a_stop_without_an_answer(self):
        """Guards against stops that go on until they end a task at work."""
        step = LastingStep(are_others_ready=True)
        step.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        assert step.reasons() == ["start-unsure"]
        step.carry_out()
        step.pass_time(STOP_RETRY_SECONDS)
        step.report()
        step.pass_time(STOP_RETRY_SECONDS)
        assert step.reasons() == []
        assert step.fleet.plan() == []

    def test_a_stop_is_not_repeated_once_others_are_away(self):
        """Guards against a repetition that asks for no budget.

        The start may have been carried out since the stop, which was lost.
        """
        step = LastingStep(are_others_ready=True)
        step.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        assert step.reasons() == ["start-unsure"]
        for worker_id in step.other_ids:
            running = step.fleet.running_by_worker[worker_id]
            for key, entry in running.items():
                running[key] = entry._replace(percent=0.0)
        step.pass_time(STOP_RETRY_SECONDS)
        assert step.reasons() == []

    def test_a_confirmed_stop_is_not_undone(self):
        """Guards against a run that is taken for alive although it was stopped.

        The report crossed the stop, and the next one lacks the run.
        """
        step = LastingStep(are_others_ready=True)
        step.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        assert step.reasons() == ["start-unsure"]
        step.fleet.dispatcher.on_stop_outcome(step.run, Done(), step.fleet.now)
        step.carry_out()
        step.report()
        assert step.run.is_start_uncertain


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
        step.pass_time(UNCONFIRMED_START_SECONDS + 0.1)
        assert step.reasons() == ["start-unsure"]
        step.carry_out()
        step.report()
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
