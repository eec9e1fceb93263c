"""Tests of the times without new tasks of workers on which runs fail."""

from ...ports.fleet_workers import EndKind, Rejected, Rejection
from .builders import Fleet, make_job, make_step, make_worker

N_WORKERS = 10


def add_hopeless_jobs(fleet: Fleet, n_jobs: int, n_tasks: int = 1) -> set[str]:
    ids = {f"{number:016x}" for number in range(n_jobs)}
    for job_id in sorted(ids):
        job = make_job(job_id, steps=[make_step(n_tasks)])
        fleet.dispatcher.add_job(job, fleet.now)
    return ids


def fail_all(fleet: Fleet, hopeless_ids: set[str]) -> None:
    """Start tasks, and let those of hopeless jobs fail, until none of them is left."""
    for _ in range(20):
        fleet.advance(0.1)
        fleet.poll_all()
        for start in fleet.start():
            if start.run.record.job.job_id in hopeless_ids:
                fleet.end(start, EndKind.FAILED)


def quarantine(fleet: Fleet, worker_id: str) -> None:
    worker = fleet.dispatcher.worker_by_id[worker_id]
    worker.note_outcome(False, fleet.now)
    assert worker.note_outcome(False, fleet.now)


def count_usable(fleet: Fleet) -> int:
    workers = fleet.dispatcher.worker_by_id.values()
    return sum(worker.may_start(fleet.now) for worker in workers)


class TestPauses:
    def test_rejected_start_does_not_end_a_quarantine(self):
        """Guards against a pause for lack of room that replaces a quarantine."""
        fleet = Fleet([make_worker()], max_failures=9)
        for number in range(3):
            fleet.dispatcher.add_job(make_job(f"{number:016x}"), fleet.now)
        first, second, third = fleet.plan()
        for start in (first, second):
            fleet.end(start, EndKind.FAILED)
        fleet.answer(third, Rejected(Rejection.NO_ROOM))
        fleet.advance(1.0)
        fleet.poll_all()
        assert fleet.plan() == []


class TestHopelessJobs:
    def test_wave_of_them_leaves_most_of_the_pool_usable(self):
        """Guards against hopeless jobs that put a whole pool into quarantine."""
        fleet = Fleet([make_worker(f"w{i}") for i in range(N_WORKERS)])
        ids = add_hopeless_jobs(fleet, 30)
        fail_all(fleet, ids)
        assert count_usable(fleet) >= 0.8 * N_WORKERS

    def test_large_one_counts_against_one_worker(self):
        """Guards against one hopeless job of many tasks that blocks all workers."""
        fleet = Fleet([make_worker(f"w{i}") for i in range(3)])
        ids = add_hopeless_jobs(fleet, 1, n_tasks=12)
        for start in fleet.start():
            fleet.end(start, EndKind.FAILED)
            fleet.advance(0.01)
        assert fleet.states() == dict.fromkeys(ids, "running")
        assert count_usable(fleet) >= 2

    def test_pool_of_one_worker_is_usable_again_soon(self):
        """Guards against a good job that stands still as its only worker is blocked."""
        fleet = Fleet([make_worker()])
        fail_all(fleet, add_hopeless_jobs(fleet, 4))
        good_job = make_job("00000000000000b2")
        fleet.dispatcher.add_job(good_job, fleet.now)
        fleet.advance(1.5)
        fleet.poll_all()
        assert fleet.start()


class TestBadWorker:
    def test_it_is_quarantined_after_two_jobs_failed_there(self):
        """Guards against a broken worker that goes on to fail all work."""
        fleet = Fleet([make_worker("bad"), make_worker("w1"), make_worker("w2")])
        ids = {f"{number:016x}" for number in range(12)}
        for job_id in sorted(ids):
            fleet.dispatcher.add_job(make_job(job_id), fleet.now)
        for start in fleet.start():
            is_bad = start.run.worker_id == "bad"
            fleet.end(start, EndKind.FAILED if is_bad else EndKind.DONE)
        fleet.advance(2.0)
        fleet.poll_all()
        assert not fleet.dispatcher.worker_by_id["bad"].may_start(fleet.now)
        assert count_usable(fleet) == 2

    def test_tasks_of_one_job_count_if_others_of_its_step_succeed(self):
        """Guards against a broken worker that is spared as all its tasks are alike."""
        fleet = Fleet([make_worker("bad"), make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(steps=[make_step(12)]), fleet.now)
        starts = fleet.start()
        for start in sorted(starts, key=lambda start: start.run.worker_id == "bad"):
            is_bad = start.run.worker_id == "bad"
            fleet.end(start, EndKind.FAILED if is_bad else EndKind.DONE)
        assert not fleet.dispatcher.worker_by_id["bad"].may_start(fleet.now)


class TestLastResort:
    def test_lasting_task_starts_on_a_quarantined_worker_if_no_other_has_room(self):
        """Guards against a lasting task that waits for the end of a quarantine."""
        fleet = Fleet([make_worker("w1"), make_worker("w2", cores=2.0)])
        quarantine(fleet, "w1")
        lasting = make_step(1, is_lasting=True)
        fleet.dispatcher.add_job(make_job(steps=[lasting]), fleet.now)
        fleet.dispatcher.add_job(make_job("00000000000000b2"), fleet.now)
        (start,) = fleet.start()
        assert start.run.worker_id == "w1"
        assert start.run.task.step.is_lasting

    def test_other_workers_come_first(self):
        """Guards against lasting tasks on a worker that fails everything."""
        fleet = Fleet([make_worker("w1"), make_worker("w2", cores=64.0)])
        quarantine(fleet, "w1")
        lasting = make_step(8, is_lasting=True)
        fleet.dispatcher.add_job(make_job(steps=[lasting]), fleet.now)
        assert {start.run.worker_id for start in fleet.start()} == {"w2"}
