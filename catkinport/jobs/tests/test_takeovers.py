"""Tests of jobs and runs across a change of the owner."""

from ...ports.fleet_workers import (
    EndKind,
)
from ..dispatch.dispatcher import is_over
from ..dispatch.record import JobRecord
from ..model import JobState
from .builders import JOB_ID, Fleet, make_job, make_step, make_worker


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

    def test_task_starts_elsewhere_once_a_later_renewal_is_stored(self):
        """Guards against tasks that never start again while the store is slow.

        Each renewal is older than `MAY_BE_REPLACED_SECONDS` by its answer then, so that
        the ownership is always in doubt.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        give_up_run(fleet)
        fleet.advance(0.1)
        renewed_at = fleet.now
        fleet.advance(1.0)
        assert len(fleet.start(learned_before=renewed_at)) == 1

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
