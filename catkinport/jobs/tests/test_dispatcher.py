"""Tests of jobs and runs as workers report them, from start to end."""

import pytest

from ...policy.resources import Resources
from ...ports import Reason, Unavailable
from ...ports.fleet_vms import FleetVm, VmState
from ...ports.fleet_workers import (
    Done,
    EndKind,
    Rejected,
    Rejection,
    RunningTask,
)
from ..dispatch.dispatcher import is_over
from ..dispatch.record import JobRecord
from ..model import JobState
from ..placement.planner import PlannedStart
from ..placement.run_stops import find_paces, find_stops
from ..workers.worker_failures import LAST_WORKER_QUARANTINE_SECONDS
from ..workers.worker_state import UNHEALTHY_PAUSE_SECONDS
from .builders import JOB_ID, Fleet, make_job, make_step, make_worker

UNCERTAIN = Unavailable(Reason.TIMEOUT, "worker-start", "w1", "", True)


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


class TestUncertainStart:
    def test_stop_is_repeated_for_a_worker_that_has_restarted(self):
        """Guards against a late start that a worker carries out after its restart.

        The restarted worker had not seen the stop, so the task ran twice: there and on
        another worker.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN)
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        fleet.dispatcher.on_stop_outcome(start.run, Done(), fleet.now)
        fleet.advance(0.5)
        fleet.poll(start.run.worker_id, started_at=2.0)
        assert fleet.plan() == []
        (again,) = find_stops(fleet.dispatcher, fleet.now)
        assert again.key == stop.key
        fleet.dispatcher.on_stop_outcome(start.run, Done(), fleet.now)
        fleet.advance(0.5)
        fleet.poll(start.run.worker_id, started_at=2.0)
        assert len(fleet.plan()) == 1

    def test_stop_is_repeated_if_a_restarted_worker_runs_the_task(self):
        """Guards against a run that is never stopped, so its job never ends.

        The stop was confirmed, the worker has started again under its id, and the start
        was carried out late before the owner's next poll.
        """
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(
            make_job(steps=[make_step(is_lasting=True)]), fleet.now
        )
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN)
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        fleet.dispatcher.on_stop_outcome(start.run, Done(), fleet.now)
        key = start.run.key
        fleet.running_by_worker["w1"][key] = RunningTask(*key, "", 0.0, 0.0)
        fleet.advance(1.0)
        fleet.poll("w1", started_at=2.0)
        fleet.dispatcher.cancel_job(JOB_ID)
        assert list(find_stops(fleet.dispatcher, fleet.now)) == [
            stop._replace(reason="canceled")
        ]

    def test_task_starts_elsewhere_only_after_the_stop_took_effect(self):
        """Guards against two runs of a task when a start is carried out late."""
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN)
        fleet.poll_all()
        assert fleet.start() == []
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        assert stop.reason == "start-unsure"
        fleet.dispatcher.on_stop_outcome(start.run, Done(), fleet.now)
        fleet.advance(0.1)
        fleet.poll_all()
        (again,) = fleet.start()
        assert again.run.key.run == 2

    def test_start_that_was_not_sent_is_repeated_elsewhere_at_once(self):
        """Guards against repeated starts on a worker that can't be reached."""
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN._replace(may_have_committed=False))
        (again,) = fleet.start()
        assert again.worker.worker_id != start.worker.worker_id

    def test_rejected_start_goes_back_to_waiting(self):
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.answer(start, Rejected(Rejection.NO_ROOM))
        assert len(fleet.start()) == 1


class TestSilentWorker:
    def test_its_tasks_wait_for_the_end_of_the_lease(self):
        """Guards against a second run while a partitioned worker goes on."""
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        other = {"w1": "w2", "w2": "w1"}[start.worker.worker_id]
        for _ in range(4):
            fleet.advance(1.0)
            fleet.poll(other)
            fleet.dispatcher.expire(fleet.now)
            assert fleet.start() == []
        fleet.advance(0.6)
        fleet.poll(other)
        fleet.dispatcher.expire(fleet.now)
        (again,) = fleet.start()
        assert again.worker.worker_id == other

    def test_runs_on_a_dead_vm_are_given_up_before_the_lease_ends(self):
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        worker_id = start.worker.worker_id
        self._list_vm(fleet, worker_id, VmState.UP)
        fleet.advance(1.5)
        self._list_vm(fleet, worker_id, VmState.DOWN)
        assert start.run.key not in fleet.dispatcher.worker_by_id[worker_id].run_by_key

    def test_restarted_worker_has_lost_its_runs(self):
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        fleet.running_by_worker["w1"].clear()
        fleet.poll("w1", started_at=2.0)
        (again,) = fleet.start()
        assert again.run.key.run == start.run.key.run + 1

    def test_restarted_worker_may_have_granted_its_longest_lease(self):
        """Guards against a second run while a worker that restarted goes on.

        A call with a lease on the clock before the restart may have reached it.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.longest_lease = 10.0
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.poll("w1", started_at=2.0)
        fleet.poll("w2", started_at=2.0)
        (start,) = fleet.start()
        other = {"w1": "w2", "w2": "w1"}[start.worker.worker_id]
        for _ in range(10):
            fleet.advance(1.0)
            fleet.poll(other, started_at=2.0)
            fleet.dispatcher.expire(fleet.now)
            assert fleet.start() == []
        fleet.advance(0.7)
        fleet.poll(other, started_at=2.0)
        fleet.dispatcher.expire(fleet.now)
        (again,) = fleet.start()
        assert again.worker.worker_id == other

    @staticmethod
    def _list_vm(fleet, worker_id, state):
        shown = worker_id if state is VmState.UP else ""
        vm = FleetVm("m", "renders", state, "z", (), Resources(16, 256, 0), shown)
        fleet.dispatcher.update_vms([vm], fleet.now, fleet.now)


class TestStall:
    def test_run_without_progress_is_stopped(self):
        """Guards against a worker on which tasks hang forever."""
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        for _ in range(7):
            fleet.advance(0.5)
            fleet.poll_all()
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        assert (stop.key, stop.reason) == (start.run.key, "stalled")


class TestTakeover:
    def test_inherited_job_waits_for_every_worker_of_the_former_owner(self):
        """Guards against a second run of a task on a worker not reached yet."""
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.unresolved_by_id["w2"] = "renders"
        fleet.dispatcher.add_job(make_job(), fleet.now, is_inherited=True)
        fleet.dispatcher.add_job(make_job("00000000000000b2"), fleet.now)
        (start,) = fleet.start()
        assert start.run.record.job.job_id == "00000000000000b2"
        fleet.poll("w2")
        (start,) = fleet.start()
        assert start.run.record.job.job_id == JOB_ID

    def test_reported_run_is_adopted(self):
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        successor = Fleet([make_worker("w1")])
        successor.dispatcher.add_job(make_job(), successor.now, is_inherited=True)
        successor.running_by_worker = fleet.running_by_worker
        successor.poll("w1")
        assert successor.start() == []
        assert start.run.key in successor.dispatcher.worker_by_id["w1"].run_by_key

    def test_runs_of_a_new_owner_have_higher_numbers(self):
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now, is_inherited=True)
        fleet.dispatcher.job_by_id[JOB_ID].advance_run_numbers()
        (start,) = fleet.start()
        assert start.run.key.run > 1

    def test_stored_state_is_the_same_after_it_is_loaded(self):
        job = make_job(steps=[make_step(5), make_step(2, after=(0,))])
        record = JobRecord(job)
        tasks = list(record.all_tasks())
        record.mark_done(tasks[0])
        record.mark_done(tasks[3])
        record.mark_failed(tasks[1], 1, 3)
        record.note_checkpoint(tasks[1], "0a")
        copy = JobRecord(job)
        copy.load_row(record.to_row(), 4)
        assert copy.to_row() == record.to_row()
        assert copy.state is JobState.RUNNING


class TestOwnershipInDoubt:
    def test_jobs_learned_since_the_last_renewal_do_not_start(self):
        """Guards against an owner that starts jobs that its successor starts too."""
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        assert fleet.start(learned_before=fleet.now - 1.0) == []
        assert len(fleet.start(learned_before=fleet.now)) == 1

    def test_age_by_the_wall_clock_does_not_make_a_job_known_earlier(self):
        """Guards against a start of a job that only the successor may start.

        By the clock of this VM the job was accepted before the last renewal, but this
        owner has read it only since then, and so may its successor have done.
        """
        fleet = Fleet([make_worker("w1")])
        renewed_at = fleet.now
        fleet.advance(1.0)
        fleet.dispatcher.add_job(make_job(), fleet.now, age_seconds=3.0)
        assert fleet.start(learned_before=renewed_at) == []
        assert len(fleet.start()) == 1

    def test_task_whose_run_was_given_up_does_not_start_elsewhere(self):
        """Guards against an owner that resumes after a freeze and runs tasks twice.

        The leases of its workers expire on its clock during the freeze, while its
        successor has renewed them.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        other = {"w1": "w2", "w2": "w1"}[start.worker.worker_id]
        renewed_at = fleet.now
        fleet.advance(6.0)
        fleet.poll(other)
        fleet.dispatcher.expire(fleet.now)
        assert fleet.start(learned_before=renewed_at) == []
        assert len(fleet.start()) == 1

    def test_end_of_an_earlier_run_does_not_free_a_task_whose_run_was_given_up(self):
        """Guards against a second run of a task that a successor has adopted.

        The first run lapses on a worker that was cut off for a while, and its end is
        listed after the owner has given up the second run.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        first = give_up_run(fleet)
        renewed_at = fleet.now
        give_up_run(fleet)
        fleet.end(first, EndKind.LAPSED)
        assert fleet.start(learned_before=renewed_at) == []


def give_up_run(fleet):
    """Start the task, and let its worker be silent until the lease has ended."""
    (start,) = fleet.start()
    other = {"w1": "w2", "w2": "w1"}[start.worker.worker_id]
    for _ in range(6):
        fleet.advance(1.0)
        fleet.poll(other)
    fleet.dispatcher.expire(fleet.now)
    return start


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


class TestOrphanedRun:
    def test_run_of_an_unknown_job_is_stopped(self):
        """Guards against a start that is carried out after its job has ended."""
        fleet = Fleet([make_worker("w1")])
        key = ("00000000000000ff.0.0.0", 1)
        fleet.running_by_worker["w1"][key] = RunningTask(*key, "", 0.0, 0.0)
        fleet.poll("w1")
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        assert (stop.worker_id, tuple(stop.key)) == ("w1", key)
        fleet.running_by_worker["w1"].clear()
        fleet.advance(1.0)
        fleet.poll("w1")
        assert list(find_stops(fleet.dispatcher, fleet.now)) == []


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


class TestClosingAcrossOwners:
    def test_cancel_is_not_final_before_all_workers_are_reached(self):
        """Guards against a canceled job whose tasks run on a worker not reached yet.

        The next owner didn't load the job, and its runs no longer counted towards the
        account's limit.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.unresolved_by_id["w2"] = "renders"
        fleet.dispatcher.add_job(make_job(), fleet.now, is_inherited=True)
        fleet.dispatcher.cancel_job(JOB_ID)
        assert fleet.states() == {JOB_ID: "queued"}
        fleet.poll("w2")
        assert fleet.states() == {JOB_ID: "canceled"}

    def test_failed_job_with_runs_to_stop_is_not_over(self):
        fleet = Fleet([make_worker("w1", 8.0)], max_failures=1)
        fleet.dispatcher.add_job(make_job(steps=[make_step(2)]), fleet.now)
        first, second = fleet.start()
        fleet.end(first, EndKind.FAILED)
        record = fleet.dispatcher.job_by_id[JOB_ID]
        assert not is_over(record.to_row())
        fleet.end(second, EndKind.STOPPED)
        assert is_over(record.to_row())
