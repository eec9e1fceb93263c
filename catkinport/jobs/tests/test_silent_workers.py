"""Tests of runs on workers that do not answer, restart, stall or run unknown tasks."""

from ...policy.resources import Resources
from ...ports import Reason, Unavailable
from ...ports.fleet_vms import FleetVm, VmState
from ...ports.fleet_workers import (
    Done,
    Rejected,
    Rejection,
    RunningTask,
)
from ..dispatch.task import ORDER_DELAY_SECONDS
from ..placement.run_stops import find_stops
from .builders import JOB_ID, Fleet, make_job, make_step, make_worker

UNCERTAIN = Unavailable(Reason.TIMEOUT, "worker-start", "w1", "", True)


class TestUncertainStart:
    def test_task_waits_although_its_worker_has_restarted(self):
        """Guards against a late start that a worker carries out after its restart.

        The task would run twice: there and on another worker.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN)
        for started_at in (1.0, 2.0, 3.0):
            fleet.advance(3.5)
            fleet.poll_all()
            fleet.poll(start.run.worker_id, started_at=started_at)
            assert fleet.plan() == []
        fleet.advance(2.0)
        fleet.poll_all()
        fleet.poll(start.run.worker_id, started_at=3.0)
        assert len(fleet.plan()) == 1

    def test_stop_is_repeated_for_a_worker_that_has_restarted(self):
        """Guards against a late start of a canceled job on a restarted worker.

        The restarted worker has not seen the stop that the former incarnation has
        confirmed.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN)
        fleet.dispatcher.cancel_job(JOB_ID)
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        fleet.dispatcher.on_stop_outcome(start.run, Done(), fleet.now)
        fleet.advance(0.5)
        fleet.poll(start.run.worker_id, started_at=2.0)
        (again,) = find_stops(fleet.dispatcher, fleet.now)
        assert again.key == stop.key

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
        fleet.dispatcher.cancel_job(JOB_ID)
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        fleet.dispatcher.on_stop_outcome(start.run, Done(), fleet.now)
        key = start.run.key
        fleet.running_by_worker["w1"][key] = RunningTask(*key, "", 0.0, 0.0)
        fleet.advance(1.0)
        fleet.poll("w1", started_at=2.0)
        assert list(find_stops(fleet.dispatcher, fleet.now)) == [stop]

    def test_task_starts_elsewhere_once_the_start_can_come_no_more(self):
        """Guards against two runs of a task when a start is carried out late."""
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN)
        fleet.poll_all()
        assert fleet.start() == []
        assert list(find_stops(fleet.dispatcher, fleet.now)) == []
        fleet.advance(ORDER_DELAY_SECONDS - 0.1)
        fleet.poll_all()
        assert fleet.start() == []
        fleet.advance(0.2)
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
        fleet.advance(0.1)
        fleet.poll("w1", started_at=2.0)
        fleet.renew_entry("w1", 2.0)
        (again,) = fleet.start()
        assert again.run.key.run == start.run.key.run + 1

    def test_restarted_worker_may_have_granted_its_longest_lease(self):
        """Guards against a second run while a worker that restarted goes on.

        A call with a lease on the clock before the restart may have reached it, or may
        reach it until `ORDER_DELAY_SECONDS` after it was sent.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.longest_lease = 10.0
        fleet.dispatcher.add_job(make_job(), fleet.now)
        for worker_id in ("w1", "w2"):
            fleet.poll(worker_id, started_at=2.0)
            fleet.renew_entry(worker_id, 2.0)
        (start,) = fleet.start()
        other = {"w1": "w2", "w2": "w1"}[start.worker.worker_id]
        for _ in range(10 + int(ORDER_DELAY_SECONDS)):
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

    def test_run_without_a_report_since_is_not_stopped(self):
        """Guards against runs that count as failed because reports come late.

        The worker answers each 2.6 s, and each answer shows progress.
        """
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        worker = fleet.dispatcher.worker_by_id["w1"]
        worker.answer_seconds = 2.4
        for percent in (10.0, 20.0, 30.0):
            fleet.advance(2.6)
            assert list(find_stops(fleet.dispatcher, fleet.now)) == []
            key = tuple(start.run.key)
            running = fleet.running_by_worker["w1"]
            running[key] = running[key]._replace(percent=percent)
            fleet.poll_all()


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
