"""Tests of leases that calls of a former owner have granted to a restarted worker."""

import pytest

from ...policy.resources import NO_RESOURCES
from ...ports.fleet_vms import FleetVm, VmState
from ..workers.worker_vms import VM_LIST_LAG_SECONDS
from .builders import POOL
from .rival_fleet import RivalFleet
from .simulated_store import StoreLink


class RestartingFleet(RivalFleet):
    """A fleet whose list of workers names the incarnations.

    Attributes:
        entry_by_id: entries of workers that can't write to the list any more.
    """

    def __init__(self, worker_ids) -> None:
        super().__init__(worker_ids)
        self.entry_by_id = {}

    def list_workers(self):
        listed = [
            entry._replace(started_at=self.worker_by_id[entry.worker_id].started_at)
            for entry in super().list_workers()
        ]
        return [self.entry_by_id.get(entry.worker_id, entry) for entry in listed]

    def restart_unnoticed(self, worker_id: str) -> None:
        """Restart a worker between two polls."""
        self.worker_by_id[worker_id].crash()
        self.worker_by_id[worker_id].booted_at = self.clock.now()


@pytest.fixture
def fleet():
    fleet = RestartingFleet(("w0", "w1"))
    yield fleet
    fleet.close()


class TestWorkerThatTheSuccessorHasReached:
    def test_its_runs_count_for_the_longest_lease(self, fleet):
        """Guards against a second run of a task that the successor has adopted.

        The former owner has started it with a lease on the former clock, so the worker
        has granted its longest one. It is cut off once the successor has read its list.
        """
        start_on_restarted_worker(fleet)
        fleet.entry_by_id.clear()
        fleet.restart_daemon("d0")
        fleet.advance(0.1)
        assert fleet.claim("d0")
        fleet.run_cycle("d0")
        fleet.owner_by_name["d0"].workers.cut_off(["w0"])
        fleet.run_all(0.5, n_cycles=16)
        assert not fleet.violations


class TestWorkerThatHadLeftTheRoster:
    """The former owner has removed a worker, and a late start is under way to it.

    So its successor learns nothing of the worker before the worker is listed again, as
    another incarnation.
    """

    def test_it_carries_out_no_late_start_after_the_first_call(self, fleet):
        """Guards against a second run of a task that the former owner gave up there.

        The former owner has reached the other worker, and has not started the task
        there while the late start could be carried out.
        """
        remove_worker_with_late_start(fleet)
        assert not fleet.worker_by_id["w1"].running
        change_owner_and_restart(fleet)
        fleet.run_cycle("d1")
        fleet.carry_out_late_call(reaches_later_incarnation=True)
        assert not fleet.worker_by_id["w0"].running
        fleet.run_all(0.5, n_cycles=32)
        assert sum(len(w.running) for w in fleet.worker_by_id.values()) == 1
        assert not fleet.violations

    def test_its_runs_count_for_the_longest_lease(self, fleet):
        """Guards against a second run of a task that the successor has adopted.

        The late start is carried out before the successor's first call, and the worker
        is cut off after it.
        """
        remove_worker_with_late_start(fleet, is_other_reached=False)
        change_owner_and_restart(fleet)
        fleet.carry_out_late_call(reaches_later_incarnation=True)
        assert fleet.worker_by_id["w0"].running
        fleet.owner_by_name["d1"].workers.cut_off(["w1"])
        fleet.run_cycle("d1")
        fleet.owner_by_name["d1"].workers.cut_off(["w0"])
        fleet.run_all(0.5, n_cycles=32)
        assert not fleet.violations
        assert fleet.worker_by_id["w1"].running


def remove_worker_with_late_start(fleet, is_other_reached=True):
    """Let d0 give up a start on w0, which is cut off and not listed, and remove w0.

    Args:
        fleet: the fleet.
        is_other_reached: whether d0 reaches w1 in the end, and starts the task there.
    """
    fleet.claim("d0")
    fleet.run_all(0.3, n_cycles=3)
    owner = fleet.owner_by_name["d0"]
    owner.workers.cut_off(["w1"])
    fleet.run_all(0.5, n_cycles=4)
    owner.workers.delivery_by_call = {"start": "late"}
    fleet.submit(1)
    owner.learn_jobs()
    owner.plan()
    owner.workers.delivery_by_call = {}
    assert [late.worker_id for late in fleet.late_calls] == ["w0"]
    fleet.down_ids.add("w0")
    owner.workers.cut_off([] if is_other_reached else ["w1"])
    fleet.run_all(0.5, n_cycles=12)
    assert "w0" not in owner._session.dispatcher.worker_by_id


def change_owner_and_restart(fleet):
    """Replace d0 by d1, and w0 by another incarnation that is listed."""
    fleet.restart_daemon("d0")
    assert fleet.claim("d1")
    fleet.down_ids.discard("w0")
    fleet.restart_unnoticed("w0")


class TestWorkerThatIsCutOffFromTheStoreToo:
    def test_it_has_no_runs_that_the_successor_does_not_count_on(self, fleet):
        """Guards against a second run of a task that nothing tells the successor of.

        The worker is cut off before its new incarnation is in the list of workers or
        has answered a poll of the former owner, which has planned by then.
        """
        fleet.binds_calls = True
        plan_on_restarted_worker(fleet)
        fleet.restart_daemon("d0")
        fleet.advance(0.1)
        assert fleet.claim("d0")
        fleet.owner_by_name["d0"].workers.cut_off(["w0"])
        fleet.run_all(0.5, n_cycles=16)
        assert not fleet.violations
        assert fleet.worker_by_id["w1"].running


def start_on_restarted_worker(fleet):
    """Let d0 start a task on w0 with a lease on the clock before its restart.

    The list of workers names the former incarnation.
    """
    plan_on_restarted_worker(fleet)
    assert fleet.worker_by_id["w0"].running


def plan_on_restarted_worker(fleet):
    """Let d0, which doesn't reach w1, plan a task between a restart of w0 and a poll.

    The list of workers names the former incarnation.
    """
    (fleet.entry_by_id["w0"],) = [
        entry for entry in fleet.list_workers() if entry.worker_id == "w0"
    ]
    fleet.claim("d0")
    for _ in range(3):
        fleet.advance(0.3)
        fleet.run_cycle("d0")
    fleet.owner_by_name["d0"].workers.cut_off(["w1"])
    fleet.run_cycle("d0")
    fleet.advance(0.1)
    fleet.restart_unnoticed("w0")
    fleet.submit(1)
    fleet.run_cycle("d0", plans_first=True)


class TestVmListWhileTheFormerOwnerRuns:
    def test_it_resolves_no_worker_that_owner_may_still_use(self, fleet):
        """Guards against a task that both owners start, each on another worker.

        The former owner doesn't know that it was replaced, nor that the worker has
        restarted. Only the successor's first call keeps it from starting tasks there.
        """
        fleet.binds_calls = True
        fleet.claim("d0")
        for _ in range(3):
            fleet.advance(0.3)
            fleet.run_cycle("d0")
        former = fleet.owner_by_name["d0"]
        worker_by_id = former._session.dispatcher.worker_by_id
        for worker in worker_by_id.values():
            worker.is_cordoned = True
        fleet.submit(1)
        former.learn_jobs()
        former.store.link = StoreLink.CUT
        assert fleet.claim("d1")
        claimed_at = fleet.clock.now()
        former.workers.cut_off(["w1"])
        successor = fleet.owner_by_name["d1"]
        successor.workers.cut_off(["w0"])
        fleet.run_cycle("d1")
        show_vm_of_w0(fleet, successor, VmState.UP)
        fleet.advance(0.25)
        fleet.run_cycle("d0")
        fleet.advance(0.05)
        fleet.restart_unnoticed("w0")
        fleet.advance(1.0)
        assert fleet.clock.now() > claimed_at + VM_LIST_LAG_SECONDS
        show_vm_of_w0(fleet, successor, VmState.DOWN)
        fleet.run_cycle("d1")
        worker_by_id["w0"].is_cordoned = False
        fleet.run_cycle("d0", plans_first=True)
        assert fleet.worker_by_id["w1"].running
        assert not fleet.worker_by_id["w0"].running
        assert not fleet.violations


def show_vm_of_w0(fleet, owner, state):
    """Let an owner read a list of VMs with the one on which w0 runs."""
    shown = "w0" if state is VmState.UP else ""
    vm = FleetVm("m0", POOL, state, "z", (), NO_RESOURCES, shown)
    now = fleet.clock.now()
    owner._session.dispatcher.update_vms([vm], now, now)
