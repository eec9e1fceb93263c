"""Tests of starts on workers that start even what they have no room for."""

import asyncio
from types import SimpleNamespace

from ...policy.leadership import OwnLease
from ...ports import Reason, Unavailable
from ...ports.fleet_workers import RunningTask
from ..ownership.worker_watch import WorkerWatch
from ..placement.run_stops import find_stops
from ..placement.start_blocks import MAX_CAPACITY_AGE_SECONDS, START_SECONDS
from .builders import Fleet, make_job, make_step, make_worker

LOST = Unavailable(Reason.TIMEOUT, "worker-start", "w1", "", True)


def make_fleet(forbids_overcommit: bool = False, **fields) -> Fleet:
    """Return a fleet of one worker and one job, whose step has ``fields``."""
    fleet = Fleet([make_worker("w1")], forbids_overcommit=forbids_overcommit)
    fleet.dispatcher.add_job(make_job(steps=[make_step(**fields)]), fleet.now)
    return fleet


def wait(fleet: Fleet, seconds: float) -> None:
    """Let time pass in which the worker answers and the list isn't read."""
    fleet.advance(seconds)
    fleet.poll_all()


class TestOldCapacity:
    def test_worker_gets_no_task_by_an_old_capacity(self):
        """Guards against starts by a capacity that has shrunk seconds ago."""
        fleet = make_fleet()
        wait(fleet, MAX_CAPACITY_AGE_SECONDS + 0.1)
        assert fleet.plan() == []
        fleet.list_workers()
        assert len(fleet.plan()) == 1

    def test_worker_gets_tasks_by_a_recent_capacity(self):
        """Guards against tasks that wait whenever a read of the list is lost."""
        fleet = make_fleet()
        wait(fleet, MAX_CAPACITY_AGE_SECONDS - 0.1)
        assert len(fleet.plan()) == 1

    def test_capacity_is_younger_where_answers_take_long(self):
        """Guards against starts that arrive when their capacity is too old."""
        fleet = make_fleet()
        fleet.dispatcher.worker_by_id["w1"].answer_seconds = START_SECONDS + 1.0
        wait(fleet, MAX_CAPACITY_AGE_SECONDS - 0.9)
        assert fleet.plan() == []
        fleet.list_workers()
        assert len(fleet.plan()) == 1

    def test_quarantined_worker_gets_no_lasting_task(self):
        """Guards against a last resort whose capacity is as old."""
        fleet = make_fleet(is_lasting=True)
        fleet.dispatcher.worker_by_id["w1"].quarantined_until = fleet.now + 9.0
        assert len(fleet.plan()) == 1
        fleet = make_fleet(is_lasting=True)
        fleet.dispatcher.worker_by_id["w1"].quarantined_until = fleet.now + 9.0
        wait(fleet, MAX_CAPACITY_AGE_SECONDS + 0.1)
        assert fleet.plan() == []

    def test_worker_of_a_removed_pool_gets_no_task(self):
        """Guards against a pool without settings that counts as one that rejects."""
        fleet = make_fleet(forbids_overcommit=True)
        configuration = fleet.dispatcher.configuration
        fleet.dispatcher.apply_configuration(configuration._replace(pool_by_name={}))
        wait(fleet, MAX_CAPACITY_AGE_SECONDS + 0.1)
        assert fleet.plan() == []

    def test_worker_that_rejects_what_does_not_fit_gets_tasks(self):
        """Guards against an outage of the store that stops all starts."""
        fleet = make_fleet(forbids_overcommit=True)
        wait(fleet, 60.0)
        assert len(fleet.plan()) == 1


class SlowList:
    """A session in which each read of the list of workers takes a second."""

    def __init__(self, fleet: Fleet) -> None:
        self.dispatcher = fleet.dispatcher
        self.clock = SimpleNamespace(now=lambda: fleet.now)
        self.lease = OwnLease(1, fleet.now)
        self.ports = SimpleNamespace(workers=self)
        self._fleet = fleet

    async def list_workers(self):
        wait(self._fleet, 1.0)
        return self._fleet.workers


class TestAgeOfTheList:
    def test_age_counts_from_the_request(self, monkeypatch):
        """Guards against a capacity that is a second old when the answer arrives."""
        fleet = make_fleet()
        watch = WorkerWatch(SlowList(fleet), None, 0.0)
        applied = asyncio.Event()

        def apply(listed, sent_at):
            fleet.dispatcher.update_workers(listed, sent_at, fleet.now)
            applied.set()

        async def read_once():
            task = asyncio.create_task(watch.run())
            await applied.wait()
            task.cancel()

        monkeypatch.setattr(watch, "_apply_worker_list", apply)
        asyncio.run(read_once())
        wait(fleet, MAX_CAPACITY_AGE_SECONDS - 0.9)
        assert fleet.plan() == []


class TestRunOfAnUnknownJob:
    """A late start of a job that has ended takes room, but its need is unknown."""

    def list_unknown_run(self, fleet: Fleet) -> None:
        run = RunningTask("00000000000000ee.0.0.0", 1, "", 0.0, 0.0)
        fleet.running_by_worker["w1"] = {("unknown", 1): run}
        fleet.poll("w1")

    def test_worker_gets_no_task_until_the_run_has_ended(self):
        """Guards against a start beside a run that isn't counted until its stop."""
        fleet = make_fleet()
        self.list_unknown_run(fleet)
        assert fleet.plan() == []
        fleet.running_by_worker["w1"].clear()
        fleet.poll("w1")
        assert len(fleet.plan()) == 1

    def test_worker_that_rejects_what_does_not_fit_gets_tasks(self):
        """Guards against a worker that idles although it rejects what does not fit."""
        fleet = make_fleet(forbids_overcommit=True)
        self.list_unknown_run(fleet)
        assert len(fleet.plan()) == 1


class TestLateStart:
    """A start without an answer that was given up, and its worker restarted since."""

    def restart(self, fleet: Fleet) -> None:
        """Let the lease of a lost start expire, and the worker restart.

        Another job waits, as the task of the lost start is held back.
        """
        (start,) = fleet.plan()
        fleet.dispatcher.add_job(make_job("00000000000000b2"), fleet.now)
        fleet.answer(start, LOST)
        fleet.advance(9.0)
        fleet.dispatcher.expire(fleet.now)
        fleet.workers = [make_worker("w1", started_at=2.0)]
        fleet.dispatcher.update_workers(fleet.workers, fleet.now, fleet.now)
        fleet.poll("w1", started_at=2.0)
        fleet.dispatcher.worker_by_id["w1"].is_enrolled = True

    def test_worker_gets_no_task_until_it_has_confirmed_the_stop(self):
        """Guards against a late start beside a task that takes its room."""
        fleet = make_fleet()
        self.restart(fleet)
        assert fleet.plan() == []
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        incarnation = fleet.dispatcher.worker_by_id["w1"].incarnation
        fleet.dispatcher.uncertain_starts.note_stopped(incarnation, stop.key)
        assert len(fleet.plan()) == 1

    def test_worker_that_did_not_restart_gets_tasks(self):
        """Guards against a wait for a start that the worker rejects as late."""
        fleet = make_fleet()
        (start,) = fleet.plan()
        fleet.answer(start, LOST)
        fleet.dispatcher.add_job(make_job("00000000000000b2"), fleet.now)
        fleet.advance(9.0)
        fleet.dispatcher.expire(fleet.now)
        fleet.list_workers()
        assert len(fleet.plan()) == 1

    def test_worker_that_rejects_what_does_not_fit_gets_tasks(self):
        """Guards against a worker that idles although it rejects what does not fit."""
        fleet = make_fleet(forbids_overcommit=True)
        self.restart(fleet)
        assert len(fleet.plan()) == 1
