"""Tests of tasks that crash their workers, and of crashes with other causes."""

import json

import pytest

from ...policy.crash_blame import (
    CLEARED_SECONDS,
    MAX_CRASHES,
    MAX_RESTART_PAUSE_SECONDS,
    SUSPECT_SECONDS,
    Crash,
)
from ...policy.resources import NO_RESOURCES, Resources
from ...ports.fleet_vms import FleetVm, VmState
from ..dispatch.record import JobRecord
from ..model import JobState, TaskId
from ..placement.round_budget import PlannedStart
from ..workers.worker_state import MAX_LEASE_SECONDS
from .builders import JOB_ID, POOL, Fleet, make_job, make_step, make_worker

OTHER_JOB_ID = "00000000000000b2"
N_WORKERS = 6
CRASH_NOTICE_SECONDS = 1.4
N_CRASHES = 5
POLL_SECONDS = 0.5


class CrashingFleet(Fleet):
    """Fleet whose workers crash, each on a VM of its own."""

    def __init__(self, n_workers: int = N_WORKERS) -> None:
        super().__init__([make_worker(f"w{n}", cores=8.0) for n in range(n_workers)])
        self.state_by_vm: dict[str, VmState] = {
            f"vm-{worker.worker_id}": VmState.UP for worker in self.workers
        }
        self.list_vms()

    def list_vms(self) -> None:
        vms = [
            FleetVm(vm_id, POOL, state, "z", (), NO_RESOURCES, vm_id[3:])
            for vm_id, state in self.state_by_vm.items()
        ]
        self.dispatcher.update_vms(vms, self.now, self.now)

    def set_vm(self, worker_id: str, state: VmState) -> None:
        """End all runs of a worker, with its VM in ``state``, and let the owner know.

        The VM list is read until the runs that were young at first are given up too.
        """
        self.state_by_vm[f"vm-{worker_id}"] = state
        self.running_by_worker.pop(worker_id)
        for _ in range(2):
            self.list_vms()
            self.advance(CRASH_NOTICE_SECONDS)
            self.poll_all()
        self.list_vms()

    def store(self) -> None:
        for record in self.dispatcher.dirty_jobs():
            record.row_version += 1
            record.n_stored_crashes = record.n_crashes
            record.is_dirty = False

    def count_crashes(self) -> int:
        """Start tasks until the job's task 0 no longer starts; crash each its worker.

        Returns:
            The number of starts of task 0.
        """
        n_starts = 0
        for _ in range(N_WORKERS):
            self.store()
            guilty = [s for s in self.start() if is_guilty(s)]
            if not guilty:
                return n_starts
            n_starts += 1
            self.set_vm(guilty[0].run.worker_id, VmState.DOWN)
        return n_starts


class ReturningFleet(CrashingFleet):
    """Fleet of one worker that the VM list has no time to name."""

    def __init__(self) -> None:
        super().__init__(n_workers=0)
        self._add_worker("w0")

    def replace_worker(self, worker_id: str) -> None:
        """Crash the worker, and let one under another id take its place."""
        self.advance(MAX_LEASE_SECONDS + 0.1)
        self.list_vms()
        self.dispatcher.expire(self.now)
        assert self.dispatcher.runs_by_task == {}
        self._add_worker(worker_id)
        self.store()

    def _add_worker(self, worker_id: str) -> None:
        self.workers = [make_worker(worker_id, cores=8.0)]
        self.running_by_worker = {worker_id: {}}
        self.ended_by_worker = {worker_id: []}
        self.list_workers()


def is_guilty(start: PlannedStart) -> bool:
    return start.run.key.task == f"{JOB_ID}.0.0.0"


class TestTaskThatCrashesWorkers:
    """Such a task was started without end, and took worker after worker down."""

    def test_is_given_up_after_two_crashes_alone(self) -> None:
        """Guards against starts without a limit after the workers have crashed."""
        fleet = CrashingFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        assert fleet.count_crashes() == 2
        assert fleet.states()[JOB_ID] == JobState.FAILED

    def test_is_given_up_among_others_that_survive(self) -> None:
        """Guards against innocent tasks that fail with the one that ran beside them."""
        fleet = CrashingFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        innocent = make_job(OTHER_JOB_ID, [make_step(3)])
        fleet.dispatcher.add_job(innocent, fleet.now)
        assert fleet.count_crashes() <= MAX_CRASHES
        assert fleet.states()[JOB_ID] == JobState.FAILED
        assert fleet.states()[OTHER_JOB_ID] == JobState.RUNNING

    def test_lasting_task_is_started_less_and_less_often(self) -> None:
        """Guards against a lasting task that takes down one worker after another.

        It must not be given up, as only runs that a worker lists as failed count
        against a job, and lasting tasks have no such limit.
        """
        fleet = CrashingFleet()
        fleet.dispatcher.add_job(make_job(steps=[make_step(is_lasting=True)]), 0.0)
        (task,) = fleet.dispatcher.job_by_id[JOB_ID].all_tasks()
        pauses = []
        for _ in range(N_CRASHES):
            fleet.store()
            (start,) = fleet.start()
            fleet.set_vm(start.run.worker_id, VmState.DOWN)
            pauses.append(task.not_before - task.lost_at)
            while fleet.now < task.not_before:
                assert fleet.start() == []
                fleet.advance(POLL_SECONDS)
                fleet.poll_all()
        assert pauses == pytest.approx([0.0, 1.0, 2.0, 4.0, MAX_RESTART_PAUSE_SECONDS])
        assert fleet.states()[JOB_ID] == JobState.RUNNING
        assert len(task.crash_by_run) <= MAX_CRASHES

    def test_member_of_a_gang_is_given_up(self) -> None:
        """Guards against a gang that takes down a worker at each of its starts."""
        fleet = CrashingFleet()
        steps = [make_step(2, is_gang=True, max_per_worker=1)]
        fleet.dispatcher.add_job(make_job(steps=steps), fleet.now)
        for _ in range(2):
            fleet.store()
            starts = fleet.start()
            assert len(starts) == 2
            fleet.set_vm(starts[0].run.worker_id, VmState.DOWN)
            fleet.running_by_worker[starts[1].run.worker_id].clear()
            fleet.poll_all()
        assert fleet.states()[JOB_ID] == JobState.FAILED

    def test_gang_that_was_on_two_crashed_workers_starts_again(self) -> None:
        """Guards against a gang that needs a worker for each member without end.

        Its members were on crashed workers together, so each of them is a suspect, and
        there are fewer workers than members.
        """
        fleet = CrashingFleet()
        need = Resources(1.0, 1.0, 0)
        steps = [make_step(8, need=need, is_gang=True)]
        fleet.dispatcher.add_job(make_job(steps=steps), fleet.now)
        for _ in range(2):
            fleet.store()
            starts = fleet.start()
            assert len(starts) == 8
            crashed = starts[0].run.worker_id
            fleet.set_vm(crashed, VmState.DOWN)
            for running in fleet.running_by_worker.values():
                running.clear()
            fleet.poll_all()
        fleet.store()
        assert fleet.states()[JOB_ID] == JobState.RUNNING
        assert len(fleet.start()) == 8

    def test_worker_that_returns_under_its_id_counts(self) -> None:
        """Guards against crashes that show only as a new process of the worker."""
        fleet = CrashingFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        for _ in range(2):
            fleet.store()
            (start,) = fleet.start()
            fleet.running_by_worker[start.run.worker_id].clear()
            fleet.advance(0.5)
            fleet.poll(start.run.worker_id, started_at=50.0)
        assert fleet.states()[JOB_ID] == JobState.FAILED

    def test_successor_knows_the_crashes(self) -> None:
        """Guards against a count that begins anew with each owner."""
        fleet = CrashingFleet()
        fleet.dispatcher.add_job(make_job(steps=[make_step(), make_step()]), fleet.now)
        start = next(s for s in fleet.start() if is_guilty(s))
        fleet.set_vm(start.run.worker_id, VmState.DOWN)
        record = fleet.dispatcher.job_by_id[JOB_ID]
        row = json.loads(json.dumps(record.to_row()))
        successor = JobRecord(record.job, is_inherited=True)
        successor.load_row(row, 7)
        task = successor.find_task(TaskId.parse(start.run.key.task))
        assert task is not None
        assert task.crash_by_run == start.run.task.crash_by_run
        assert len(task.crash_by_run) == 1

    def test_is_given_up_if_workers_crash_before_the_vm_list_names_them(self) -> None:
        """Guards against crashes that aren't counted, as the VM list is behind.

        A crashed worker comes back under another id, and the next start crashes it
        before the list has named it.
        """
        fleet = ReturningFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        for number in range(2):
            assert len(fleet.start()) == 1
            fleet.replace_worker(f"returned-{number}")
        assert fleet.start() == []
        assert fleet.states()[JOB_ID] == JobState.FAILED

    def test_third_start_waits_until_the_crashes_are_stored(self) -> None:
        """Guards against crashes that each of several killed owners takes with it."""
        fleet = CrashingFleet()
        fleet.dispatcher.add_job(make_job(steps=[make_step(2)]), fleet.now)
        for _ in range(2):
            starts = fleet.start()
            fleet.set_vm(starts[0].run.worker_id, VmState.DOWN)
        assert not [s for s in fleet.start() if is_guilty(s)]
        fleet.store()
        assert [s for s in fleet.start() if is_guilty(s)]


class TestOtherCauses:
    """A job shown as failed for a worker that left or was cut off is lost."""

    def test_ordered_and_lost_vms_do_not_count(self) -> None:
        """Guards against upkeep, moves and cut workers that count as crashes."""
        for state in (VmState.UPKEEP, VmState.MOVING):
            fleet = CrashingFleet()
            fleet.dispatcher.add_job(make_job(), fleet.now)
            (start,) = fleet.start()
            fleet.set_vm(start.run.worker_id, state)
            assert not start.run.task.crash_by_run

    def test_draining_worker_does_not_count(self) -> None:
        """Guards against scale-in that counts as crashes."""
        fleet = CrashingFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        fleet.workers = [w._replace(is_draining=True) for w in fleet.workers]
        fleet.list_workers()
        fleet.set_vm(start.run.worker_id, VmState.DOWN)
        assert not start.run.task.crash_by_run

    def test_lapsed_lease_does_not_count(self) -> None:
        """Guards against workers that are merely cut off."""
        fleet = CrashingFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        fleet.advance(60.0)
        fleet.dispatcher.expire(fleet.now)
        assert fleet.dispatcher.runs_by_task == {}
        assert not start.run.task.crash_by_run

    def test_unconfirmed_start_does_not_count(self) -> None:
        """Guards against a crash before the start order has arrived."""
        fleet = CrashingFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.set_vm(start.run.worker_id, VmState.DOWN)
        fleet.advance(60.0)
        fleet.dispatcher.expire(fleet.now)
        assert not start.run.task.crash_by_run

    def test_late_vm_list_does_not_count(self) -> None:
        """Guards against a VM list that shows a worker as down that answers again."""
        fleet = CrashingFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        worker_id = start.run.worker_id
        fleet.state_by_vm[f"vm-{worker_id}"] = VmState.DOWN
        fleet.list_vms()
        assert fleet.dispatcher.worker_by_id[worker_id].crash is not None
        fleet.poll(worker_id)
        assert fleet.dispatcher.worker_by_id[worker_id].crash is None

    def test_new_worker_that_is_cut_off_does_not_count(self) -> None:
        """Guards against a worker that the VM list names once it is cut off."""
        fleet = ReturningFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        fleet.state_by_vm = {"vm-w0": VmState.UP}
        fleet.replace_worker("w1")
        assert not start.run.task.crash_by_run

    def test_missing_vm_list_does_not_count(self) -> None:
        """Guards against crashes that only the lack of a VM list suggests."""
        fleet = ReturningFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        fleet.advance(60.0)
        fleet.dispatcher.expire(fleet.now)
        assert not start.run.task.crash_by_run

    def test_long_run_clears_the_task(self) -> None:
        """Guards against lasting tasks that collect the crashes of flapping VMs."""
        fleet = CrashingFleet()
        job = make_job(steps=[make_step(is_lasting=True)])
        fleet.dispatcher.add_job(job, fleet.now)
        (start,) = fleet.start()
        fleet.set_vm(start.run.worker_id, VmState.DOWN)
        (start,) = fleet.start()
        assert len(start.run.task.crash_by_run) == 1
        fleet.advance(CLEARED_SECONDS)
        fleet.poll_all()
        assert not start.run.task.crash_by_run

    # Guards against lasting tasks that take the blame for the crashes of others.
    @pytest.mark.parametrize("seconds", [SUSPECT_SECONDS, 3.0])
    def test_run_that_left_its_worker_alive_is_no_suspect(self, seconds) -> None:
        fleet = CrashingFleet()
        job = make_job(steps=[make_step(is_lasting=True)])
        fleet.dispatcher.add_job(job, fleet.now)
        (start,) = fleet.start()
        fleet.advance(seconds)
        fleet.poll_all()
        fleet.set_vm(start.run.worker_id, VmState.DOWN)
        assert not start.run.task.crash_by_run

    def test_lasting_task_beside_others_is_not_given_up(self) -> None:
        """Guards against lasting jobs that are ended for crashes that others cause.

        It is a suspect of more crashes than the limit, and to blame for none.
        """
        fleet = CrashingFleet()
        step = make_step(is_lasting=True)
        fleet.dispatcher.add_job(make_job(steps=[step]), fleet.now)
        (record,) = fleet.dispatcher.job_by_id.values()
        (task,) = record.all_tasks()
        for run in range(1, MAX_CRASHES + 2):
            record.mark_crashed(task, run, Crash(f"vm-{run}", False))
        assert record.state == JobState.RUNNING
