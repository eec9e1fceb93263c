"""Tests of jobs and runs as workers report them, from start to end."""

import pytest

from ...policy.resources import Resources
from ...ports.fleet_workers import (
    Done,
    EndKind,
    Rejected,
    Rejection,
)
from ..placement.round_budget import PlannedStart
from ..placement.run_stops import find_paces, find_stops
from ..workers.worker_failures import LAST_WORKER_QUARANTINE_SECONDS
from ..workers.worker_state import UNHEALTHY_PAUSE_SECONDS
from .builders import JOB_ID, Fleet, make_job, make_step, make_worker


class TestSteps:
    def test_step_waits_for_all_tasks_before_it(self):
        """Guards against a step that starts while an earlier task still runs."""
        fleet = Fleet([make_worker()])
        job = make_job(steps=[make_step(2), make_step(1, after=(0,))])
        fleet.dispatcher.add_job(job, fleet.now)
        first, second = fleet.start()
        fleet.end(first)
        assert fleet.start() == []
        fleet.end(second)
        (third,) = fleet.start()
        assert third.run.key.task == f"{JOB_ID}.0.1.0"
        fleet.end(third)
        assert fleet.states() == {JOB_ID: "completed"}

    def test_occurrence_waits_for_its_time(self):
        """Guards against an occurrence that starts before it is due."""
        fleet = Fleet([make_worker()])
        job = make_job(n_occurrences=2, first_due_at=101.0, interval_seconds=5.0)
        fleet.dispatcher.add_job(job, fleet.now)
        assert fleet.start() == []
        fleet.advance(1.0)
        fleet.poll_all()
        (start,) = fleet.start()
        assert start.run.key.task == f"{JOB_ID}.0.0.0"
        fleet.end(start)
        assert fleet.states() == {JOB_ID: "running"}

    def test_job_is_running_once_a_worker_has_a_task_of_it(self):
        """Guards against lasting jobs that are shown as queued while they run."""
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.start()
        assert fleet.states() == {JOB_ID: "running"}
        assert [r.job.job_id for r in fleet.dispatcher.dirty_jobs()] == [JOB_ID]


class TestFailures:
    def test_job_fails_after_the_last_attempt(self):
        fleet = Fleet([make_worker(f"w{i}") for i in range(4)])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        for _ in range(3):
            (start,) = fleet.start()
            fleet.end(start, EndKind.FAILED)
        assert fleet.states() == {JOB_ID: "failed"}
        assert fleet.start() == []

    def test_failure_that_is_reported_again_counts_once(self):
        """Guards against a new owner that counts a failure which is stored already."""
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        fleet.end(start, EndKind.FAILED)
        row = fleet.dispatcher.job_by_id[JOB_ID].to_row()
        successor = Fleet([make_worker()])
        successor.dispatcher.add_job(make_job(), successor.now, is_inherited=True)
        successor.dispatcher.load_state(JOB_ID, row, 7)
        successor.ended_by_worker = fleet.ended_by_worker
        successor.poll("w1")
        record = successor.dispatcher.job_by_id[JOB_ID]
        assert [len(task.failed_runs) for task in record.all_tasks()] == [1]

    @pytest.mark.parametrize("is_gang", [False, True])
    def test_a_failure_of_a_done_task_does_not_fail_the_job(self, is_gang):
        """Guards against a job that fails for the second copy of a task that is done.

        The first copy to finish counts, so the job goes on to its next step.
        """
        fleet = Fleet([make_worker("w1")], max_failures=1)
        steps = [make_step(is_gang=is_gang, may_run_twice=True), make_step(after=(0,))]
        fleet.dispatcher.add_job(make_job(steps=steps), fleet.now)
        (first,) = fleet.start()
        second = fleet.dispatcher.begin_run(first.worker, first.run.task, fleet.now)
        copy = PlannedStart(first.worker, second, "")
        fleet.answer(copy, Done())
        fleet.end(first)
        fleet.end(copy, EndKind.FAILED)
        assert fleet.states() == {JOB_ID: "running"}
        assert [start.run.task.task_id.step for start in fleet.start()] == [1]

    def test_retry_avoids_the_worker_that_failed(self):
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        fleet.end(start, EndKind.FAILED)
        (again,) = fleet.start()
        assert again.worker.worker_id != start.worker.worker_id

    def test_worker_that_fails_everything_is_quarantined(self):
        """Guards against a broken worker that attracts and fails all work."""
        fleet = Fleet([make_worker("w1")], max_failures=9)
        for number in range(3):
            fleet.dispatcher.add_job(make_job(f"{number:016x}"), fleet.now)
        starts = fleet.start()
        for start in starts[:2]:
            fleet.end(start, EndKind.FAILED)
        fleet.advance(0.5)
        fleet.poll_all()
        assert fleet.start() == []

    @pytest.mark.parametrize("reason", [Rejection.NO_ROOM, Rejection.UNHEALTHY])
    def test_rejected_start_does_not_shorten_a_quarantine(self, reason):
        """Guards against a broken worker that gets tasks again during its quarantine.

        A start that was sent before the quarantine is rejected during it.
        """
        fleet = Fleet([make_worker("w1")], max_failures=9)
        for number in range(3):
            fleet.dispatcher.add_job(make_job(f"{number:016x}"), fleet.now)
        *failing, rejected = fleet.plan()
        for start in failing:
            fleet.answer(start, Done())
            fleet.end(start, EndKind.FAILED)
        fleet.answer(rejected, Rejected(reason))
        fleet.advance(LAST_WORKER_QUARANTINE_SECONDS - 0.1)
        fleet.poll_all()
        assert fleet.start() == []
        fleet.advance(0.2)
        fleet.poll_all()
        assert fleet.start() != []

    def test_rejected_start_does_not_shorten_a_pause(self):
        """Guards against an unhealthy worker that gets tasks again too early."""
        fleet = Fleet([make_worker("w1")])
        for number in range(2):
            fleet.dispatcher.add_job(make_job(f"{number:016x}"), fleet.now)
        first, second = fleet.plan()
        fleet.answer(first, Rejected(Rejection.UNHEALTHY))
        fleet.answer(second, Rejected(Rejection.NO_ROOM))
        fleet.advance(UNHEALTHY_PAUSE_SECONDS - 0.1)
        fleet.poll_all()
        assert fleet.start() == []
        fleet.advance(0.2)
        fleet.poll_all()
        assert fleet.start() != []

    def test_lasting_task_is_restarted_after_any_end(self):
        fleet = Fleet([make_worker()], max_failures=1)
        job = make_job(steps=[make_step(1, is_lasting=True)])
        fleet.dispatcher.add_job(job, fleet.now)
        for how in (EndKind.FAILED, EndKind.DONE, EndKind.LAPSED):
            (start,) = fleet.start()
            fleet.end(start, how)
            fleet.advance(0.5)
            fleet.poll_all()
        assert len(fleet.start()) == 1


class TestCancel:
    def test_runs_are_stopped_before_the_job_counts_as_canceled(self):
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        fleet.dispatcher.cancel_job(JOB_ID)
        assert fleet.states() == {JOB_ID: "running"}
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        assert (stop.key, stop.reason) == (start.run.key, "canceled")
        fleet.end(start, EndKind.STOPPED)
        assert fleet.states() == {JOB_ID: "canceled"}

    def test_no_task_starts_after_it(self):
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.dispatcher.cancel_job(JOB_ID)
        assert fleet.start() == []


class TestLimits:
    def test_account_stays_under_its_limit(self):
        fleet = Fleet([make_worker("w1")], limit=Resources(9.0, 0, 0))
        fleet.dispatcher.add_job(make_job(steps=[make_step(4)]), fleet.now)
        assert len(fleet.start()) == 2

    def test_run_that_is_being_stopped_still_counts(self):
        fleet = Fleet([make_worker("w1")], limit=Resources(4.0, 0, 0))
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.start()
        fleet.dispatcher.cancel_job(JOB_ID)
        list(find_stops(fleet.dispatcher, fleet.now))
        fleet.dispatcher.add_job(make_job("00000000000000b2"), fleet.now)
        assert fleet.start() == []


class TestGang:
    def test_members_start_together_with_one_run_number(self):
        fleet = Fleet([make_worker("w1", 8.0), make_worker("w2", 8.0)])
        fleet.dispatcher.add_job(
            make_job(steps=[make_step(4, is_gang=True)]), fleet.now
        )
        starts = fleet.start()
        assert [start.run.key.run for start in starts] == [1, 1, 1, 1]

    def test_gang_that_does_not_fit_whole_does_not_start(self):
        """Guards against tasks that occupy workers while the rest can't start."""
        fleet = Fleet([make_worker("w1", 8.0)])
        fleet.dispatcher.add_job(
            make_job(steps=[make_step(4, is_gang=True)]), fleet.now
        )
        assert fleet.start() == []

    def test_gang_is_done_once_one_of_its_tasks_is(self):
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(
            make_job(steps=[make_step(2, is_gang=True)]), fleet.now
        )
        first, _ = fleet.start()
        fleet.end(first)
        assert fleet.states() == {JOB_ID: "completed"}


class TestPacing:
    """Guards against filler tasks that slow down tasks with a latency target."""

    def _fleet(self):
        fleet = Fleet([make_worker("w1")])
        serving = make_step(1, is_lasting=True, target_seconds=0.1)
        filler = make_step(1, is_lasting=True, is_filler=True)
        fleet.dispatcher.add_job(make_job(steps=[serving, filler]), fleet.now)
        self.serving, self.filler = fleet.start()
        return fleet

    def _report_tail_latency(self, fleet, milliseconds):
        fleet.advance(1.0)
        key = self.serving.run.key
        running = fleet.running_by_worker["w1"]
        running[key] = running[key]._replace(load=milliseconds)
        fleet.poll("w1")

    def test_fillers_stop_while_a_task_is_over_its_target(self):
        fleet = self._fleet()
        self._report_tail_latency(fleet, 120.0)
        (order,) = find_paces(fleet.dispatcher)
        assert (order.key, order.percent) == (self.filler.run.key, 0)
        fleet.dispatcher.on_pace_done(*order)
        assert list(find_paces(fleet.dispatcher)) == []

    def test_fillers_get_their_speed_back_in_steps(self):
        fleet = self._fleet()
        self._report_tail_latency(fleet, 120.0)
        for order in find_paces(fleet.dispatcher):
            fleet.dispatcher.on_pace_done(*order)
        percents = []
        for _ in range(5):
            self._report_tail_latency(fleet, 20.0)
            for order in find_paces(fleet.dispatcher):
                fleet.dispatcher.on_pace_done(*order)
                percents.append(order.percent)
        assert percents == [25, 50, 75, 100]

    def test_fillers_of_a_former_owner_get_their_speed_back(self):
        """Guards against a filler task that stands still for good.

        The former owner had stopped it, which a successor can't know.
        """
        former = self._fleet()
        fleet = Fleet([make_worker("w1")])
        job = self.filler.run.record.job
        fleet.dispatcher.add_job(job, fleet.now, is_inherited=True)
        fleet.running_by_worker = former.running_by_worker
        self._report_tail_latency(fleet, 20.0)
        (order,) = find_paces(fleet.dispatcher)
        assert (order.key, order.percent) == (self.filler.run.key, 100)
        fleet.dispatcher.on_pace_done(*order)
        self._report_tail_latency(fleet, 20.0)
        assert list(find_paces(fleet.dispatcher)) == []
