"""Tests of decisions of a new owner that rest on what its predecessor has done."""

from ...policy.resources import Resources
from .builders import (
    JOB_ID,
    Fleet,
    make_configuration,
    make_job,
    make_step,
    make_worker,
)

OTHER_JOB_ID = "00000000000000b2"
WORKERS = ("w1", "w2")


def make_fleet() -> Fleet:
    return Fleet([make_worker(worker_id) for worker_id in WORKERS])


def take_over(former: Fleet, job) -> Fleet:
    """Return the fleet of a new owner, whose workers go on with their runs."""
    fleet = make_fleet()
    fleet.dispatcher.add_job(job, fleet.now, is_inherited=True)
    fleet.dispatcher.job_by_id[JOB_ID].advance_run_numbers()
    fleet.running_by_worker = former.running_by_worker
    fleet.poll_all()
    return fleet


class TestInheritedRuns:
    def test_they_count_towards_the_tasks_of_a_step_on_a_worker(self):
        """Guards against more tasks of a step on a worker than its caller allows."""
        job = make_job(steps=[make_step(2, max_per_worker=1)])
        former = make_fleet()
        former.dispatcher.add_job(job, former.now)
        first, second = former.start()
        del former.running_by_worker[second.run.worker_id][second.run.key]
        fleet = take_over(former, job)
        (start,) = fleet.start()
        assert start.worker.worker_id != first.run.worker_id

    def test_they_count_towards_a_limit_that_was_lowered_meanwhile(self):
        """Guards against an account above a limit that nobody has applied yet."""
        job = make_job(steps=[make_step(2)])
        former = make_fleet()
        former.dispatcher.add_job(job, former.now)
        (need,) = {start.run.task.step.need for start in former.start()}
        fleet = take_over(former, job)
        limit = Resources(2 * need.cores, 0.0, 0)
        fleet.dispatcher.apply_configuration(make_configuration(limit=limit, version=2))
        fleet.dispatcher.add_job(make_job(OTHER_JOB_ID), fleet.now)
        assert fleet.start() == []

    def test_a_gang_starts_with_numbers_above_those_of_its_former_runs(self):
        """Guards against a gang whose workers reject its starts as outdated."""
        job = make_job(steps=[make_step(2, is_gang=True)])
        former = make_fleet()
        former.dispatcher.add_job(job, former.now)
        top_run = max(start.run.key.run for start in former.start())
        for running in former.running_by_worker.values():
            running.clear()
        fleet = take_over(former, job)
        numbers = {start.run.key.run for start in fleet.start()}
        assert len(numbers) == 1
        assert numbers.pop() > top_run
