"""Tests of what is known of one incarnation of a worker when another one runs."""

from ...ports.fleet_workers import Done
from .builders import Fleet, make_job, make_worker


class TestBlameForACrash:
    def test_a_run_that_the_restarted_worker_lists_is_no_suspect(self):
        """Guards against a job that fails for crashes that its task did not cause.

        Its start had no answer before the restart and was carried out after it. The
        worker is cut off later, and the run is given up.
        """
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.advance(0.7)
        fleet.answer(start, Done())
        fleet.advance(0.5)
        fleet.poll("w1", started_at=2.0)
        fleet.advance(20.0)
        fleet.dispatcher.expire(fleet.now)
        assert fleet.dispatcher.runs_by_task == {}
        assert start.run.task.crash_by_run == {}
