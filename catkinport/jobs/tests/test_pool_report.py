"""Tests of the lines that say why tasks of a pool wait."""

import logging

from ..vms.lasting_waits import LastingWaits
from .builders import POOL, Fleet, make_job, make_step, make_worker
from .large_task_fleet import RESTING, fleet_after_loss

EVENT = "pool demand measured"


def reports(caplog):
    return [r.event_fields for r in caplog.records if r.getMessage() == EVENT]


class TestReport:
    # Guards against lasting tasks that wait for a VM without any line that says so.
    def test_waiting_lasting_tasks_are_reported_with_the_size_of_the_pool(self, caplog):
        caplog.set_level(logging.INFO)
        fleet = fleet_after_loss(RESTING)
        fleet.step()
        (report,) = reports(caplog)
        assert report["pool"] == POOL
        assert report["waiting_memory_gb"] == 4 * 90.0
        assert (report["n_waiting_lasting"], report["n_off"]) == (4, 8)
        assert (report["n_vms"], report["n_ready_workers"]) == (4, 4)

    # Guards against a flood of lines while demand changes in each round.
    def test_there_is_at_most_one_line_a_second(self, caplog):
        caplog.set_level(logging.INFO)
        fleet = fleet_after_loss(RESTING)
        for index in range(20):
            fleet.dispatcher.add_job(make_job(f"{index:016x}"), fleet.now)
            fleet.step(0.1)
        assert 2 <= len(reports(caplog)) <= 3

    # Guards against lines about pools in which nothing waits.
    def test_pool_without_waiting_tasks_has_no_line(self, caplog):
        caplog.set_level(logging.INFO)
        fleet = fleet_after_loss(RESTING, n_lost=0)
        fleet.step()
        assert reports(caplog) == []


class TestLastingWaits:
    # Guards against a wait that counts from the job's arrival and not from the loss of
    # the worker.
    def test_wait_counts_from_the_end_of_the_last_run(self):
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(
            make_job(steps=[make_step(is_lasting=True)]), fleet.now
        )
        waits = LastingWaits(fleet.dispatcher)
        (wait,) = waits.find(fleet.now)[POOL]
        assert wait.wait_seconds == 0.0
        assert waits.find(fleet.now + 2.0)[POOL][0].wait_seconds == 2.0
        (start,) = fleet.start()
        assert waits.find(fleet.now + 3.0) == {}
        fleet.end(start)
        fleet.advance(9.0)
        assert waits.find(fleet.now)[POOL][0].wait_seconds == 0.0
