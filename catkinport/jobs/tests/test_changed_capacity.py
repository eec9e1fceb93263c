"""Tests of starts on workers whose capacity changes while they run tasks."""

from types import SimpleNamespace

import pytest

from ...policy.resources import NO_RESOURCES, Resources
from ...ports import Reason, Unavailable
from ...ports.table import Row
from ..ownership.worker_watch import WorkerWatch
from ..tables import roster_key
from ..workers.run import RunPhase
from .builders import JOB_ID, POOL, Fleet, make_job, make_step, make_worker

SECOND_JOB = "00000000000000a2"
FULL = Resources(16.0, 64.0, 4)
FULL_NEED = Resources(8.0, 32.0, 2)
SHRUNK = [
    FULL._replace(cores=6.0),
    FULL._replace(memory_gb=24.0),
    FULL._replace(accelerators=1),
    NO_RESOURCES,
]
"""Capacities that are below what a task of `FULL_NEED` takes."""

LOST = Unavailable(Reason.TIMEOUT, "table-read", "store", "", True)


def make_fleet(n_workers: int = 1, **configuration) -> Fleet:
    workers = [make_worker(f"w{i}", capacity=FULL) for i in range(1, n_workers + 1)]
    return Fleet(workers, forbids_overcommit=False, **configuration)


def set_capacity(fleet: Fleet, capacity: Resources) -> None:
    """Change the capacity of all workers, and read the list again."""
    fleet.workers = [worker._replace(capacity=capacity) for worker in fleet.workers]
    fleet.list_workers()


def add_job(fleet: Fleet, job_id: str, n_tasks: int = 1, **fields) -> None:
    step = make_step(n_tasks, **{"need": FULL_NEED, **fields})
    fleet.dispatcher.add_job(make_job(job_id, steps=[step]), fleet.now)


def fleet_with_one_run() -> Fleet:
    fleet = make_fleet()
    add_job(fleet, JOB_ID)
    assert len(fleet.start()) == 1
    return fleet


def restore_roster(fleet: Fleet, capacity: Resources) -> None:
    """Restore the worker from the roster of a former owner."""
    worker = make_worker("w1")
    entry = {
        "vm": "m1",
        "address": worker.address,
        "zone": worker.zone,
        "capacity": list(capacity),
        "labels": list(worker.labels),
    }
    session = SimpleNamespace(
        dispatcher=fleet.dispatcher, spawn=lambda coroutine: coroutine.close()
    )
    watch = WorkerWatch(session, None, fleet.now)
    watch.restore_roster_row(Row(roster_key(POOL), 1, {"workers": {"w1": entry}}))


@pytest.mark.parametrize("capacity", SHRUNK)
class TestShrunkCapacity:
    def test_no_task_starts_until_it_grows_again(self, capacity):
        """Guards against a start on a worker whose runs exceed its new capacity."""
        fleet = fleet_with_one_run()
        add_job(fleet, SECOND_JOB)
        set_capacity(fleet, capacity)
        assert fleet.plan() == []
        set_capacity(fleet, FULL)
        assert len(fleet.plan()) == 1

    def test_no_filler_task_starts(self, capacity):
        """Guards against memory and accelerators that only other tasks count."""
        fleet = fleet_with_one_run()
        add_job(fleet, SECOND_JOB, is_filler=True)
        set_capacity(fleet, capacity)
        assert fleet.plan() == []

    def test_no_gang_starts(self, capacity):
        """Guards against a gang of which one task is placed above the capacity."""
        fleet = fleet_with_one_run()
        small = Resources(1.0, 1.0, 1)
        add_job(fleet, SECOND_JOB, 2, need=small, is_gang=True)
        set_capacity(fleet, capacity)
        assert fleet.plan() == []
        set_capacity(fleet, FULL)
        assert len(fleet.plan()) == 2

    def test_no_lasting_task_starts_in_quarantine(self, capacity):
        """Guards against a last resort that takes more than its capacity."""
        fleet = fleet_with_one_run()
        add_job(fleet, SECOND_JOB, is_lasting=True)
        fleet.dispatcher.worker_by_id["w1"].quarantined_until = fleet.now + 9.0
        set_capacity(fleet, capacity)
        assert fleet.plan() == []
        set_capacity(fleet, FULL)
        assert len(fleet.plan()) == 1

    def test_a_run_that_is_being_stopped_counts(self, capacity):
        """Guards against room that counts as free before the end is listed."""
        fleet = fleet_with_one_run()
        worker = fleet.dispatcher.worker_by_id["w1"]
        for run in worker.run_by_key.values():
            run.phase = RunPhase.STOPPING
            run.stopped_at = fleet.now
        add_job(fleet, SECOND_JOB)
        set_capacity(fleet, capacity)
        assert fleet.plan() == []

    def test_a_start_without_an_answer_counts(self, capacity):
        """Guards against a start that is carried out late, beside another task."""
        fleet = make_fleet()
        add_job(fleet, JOB_ID)
        (start,) = fleet.plan()
        fleet.answer(start, LOST)
        add_job(fleet, SECOND_JOB)
        set_capacity(fleet, capacity)
        fleet.advance(1.0)
        fleet.list_workers()
        assert fleet.plan() == []


class TestReservedWorker:
    def test_task_starts_elsewhere_if_its_worker_shrinks(self):
        """Guards against a start that its reservation lets exceed the capacity."""
        fleet = make_fleet(2)
        add_job(fleet, JOB_ID, 4)
        running = fleet.start()
        assert len(running) == 4
        add_job(fleet, SECOND_JOB, need=FULL, is_lasting=True)
        assert fleet.plan() == []
        room_id = fleet.planner._reservations._reservation_by_task[
            f"{SECOND_JOB}.0.0.0"
        ].worker_id
        small = FULL._replace(memory_gb=60.0)
        fleet.workers = [
            worker._replace(capacity=small) if worker.worker_id == room_id else worker
            for worker in fleet.workers
        ]
        fleet.list_workers()
        for start in running:
            fleet.end(start)
        (start,) = fleet.start()
        assert start.worker.worker_id != room_id


class TestRestoredCapacity:
    def test_no_task_starts_by_the_capacity_in_the_roster(self):
        """Guards against a new owner that starts by the capacity of a former time."""
        fleet = make_fleet()
        del fleet.dispatcher.worker_by_id["w1"]
        restore_roster(fleet, FULL)
        add_job(fleet, JOB_ID)
        fleet.poll("w1")
        assert fleet.plan() == []
        set_capacity(fleet, FULL._replace(memory_gb=24.0))
        assert fleet.plan() == []
        set_capacity(fleet, FULL)
        assert len(fleet.plan()) == 1


class TestRunsOfACutOffWorker:
    def test_runs_that_were_given_up_count_once_it_answers(self):
        """Guards against starts beside runs that have outlived their lease."""
        fleet = fleet_with_one_run()
        add_job(fleet, SECOND_JOB)
        shrunk = FULL._replace(memory_gb=24.0)
        fleet.workers = [make_worker("w1", capacity=shrunk)]
        fleet.advance(60.0)
        fleet.dispatcher.expire(fleet.now)
        worker = fleet.dispatcher.worker_by_id["w1"]
        assert worker.run_by_key == {}
        fleet.dispatcher.update_workers(fleet.workers, fleet.now, fleet.now)
        assert fleet.plan() == []
        fleet.poll("w1")
        assert len(worker.run_by_key) == 1
        assert fleet.plan() == []

    def test_runs_that_were_given_up_count_after_its_removal(self):
        """Guards against starts beside the runs of a worker that is listed again."""
        fleet = fleet_with_one_run()
        add_job(fleet, SECOND_JOB)
        fleet.advance(60.0)
        fleet.dispatcher.expire(fleet.now)
        fleet.dispatcher.update_workers([], fleet.now, fleet.now)
        assert fleet.dispatcher.worker_by_id == {}
        shrunk = FULL._replace(memory_gb=24.0)
        fleet.workers = [make_worker("w1", capacity=shrunk)]
        fleet.list_workers()
        assert len(fleet.dispatcher.worker_by_id["w1"].run_by_key) == 1
        assert fleet.plan() == []
