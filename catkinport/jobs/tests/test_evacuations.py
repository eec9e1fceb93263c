"""Tests of lasting tasks that have to leave a VM before its upkeep."""

from ...policy.resources import Resources
from ...policy.upkeep import UpkeepCandidate, UpkeepCost, WaveView, choose_upkeep
from ...ports.fleet_vms import UpkeepWave
from ...ports.fleet_workers import EndKind
from .builders import POOL
from .large_task_fleet import RESTING, LargeTaskFleet, make_lasting_job

NEED = Resources(8.0, 40.0, 0)
"""Three such tasks take a VM, one more than may be unavailable at once."""


def full_fleet(n_off=0):
    """Return a fleet of two full VMs, one of which is reserved for upkeep."""
    fleet = LargeTaskFleet(2, n_off, RESTING)
    fleet.dispatcher.add_job(make_lasting_job(6, need=NEED), fleet.now)
    starts = fleet.start()
    assert len(starts) == 6
    for running in fleet.running_by_worker.values():
        for key, entry in running.items():
            running[key] = entry._replace(percent=100.0)
    for _ in range(4):
        fleet.step()
    fleet.vm_planner.add_wave(UpkeepWave(1, ["m0"], 20.0, 1), fleet.now)
    orders = fleet.step()
    assert fleet.dispatcher.worker_by_id["w0"].is_reserved
    return fleet, starts, orders


class TestEvacuation:
    # Guards against a task that is stopped for the upkeep of its VM although no other
    # VM has room. It then waited for a worker, and the VM for its return, without end.
    def test_no_task_is_stopped_before_there_is_room_for_it(self):
        fleet, _, _ = full_fleet()
        assert fleet.vm_planner.find_evacuations(fleet.now) == []

    # Guards against an upkeep that never begins, as tasks that have to leave the VM
    # bring in none.
    def test_a_vm_comes_for_the_tasks_that_have_to_leave(self):
        fleet, _, orders = full_fleet(n_off=2)
        orders += fleet.step()
        assert [order.pool for order in orders] == [POOL]
        fleet.advance(3.0)
        fleet.finish_moves(orders)
        fleet.step()
        assert fleet.vm_planner.find_evacuations(fleet.now)


class TestShortPool:
    # Guards against draining the VM again as soon as it was given back, which would
    # take the room of the task that waits.
    def test_no_vm_of_a_pool_without_room_is_drained(self):
        lasting = UpkeepCandidate("m0", "p", UpkeepCost.LASTING_WORK)
        short = UpkeepCandidate("m1", "p", UpkeepCost.SHORT_WORK)
        for is_pool_short, drain in ((False, ["m0", "m1"]), (True, [])):
            candidates = [
                candidate._replace(is_pool_short=is_pool_short)
                for candidate in (lasting, short)
            ]
            wave = WaveView(2, 0, 0, 2, 20.0, 20.0, candidates)
            assert choose_upkeep(wave).drain == drain


class TestReservedVm:
    # Guards against a task that ends by itself on a reserved VM and finds no other
    # room, while the VM waits for the task's next run before it goes down.
    def test_task_without_other_room_starts_again_on_the_reserved_vm(self):
        fleet, starts, _ = full_fleet()
        start = next(s for s in starts if s.worker.worker_id == "w0")
        fleet.end(start, EndKind.FAILED)
        for _ in range(4):
            fleet.step()
            fleet.start()
        assert not any(
            task.phase == "waiting"
            for record in fleet.dispatcher.job_by_id.values()
            for task in record.all_tasks()
        )

    # Guards against an upkeep that is put off without end for a task that fits nowhere.
    def test_reserved_vm_is_not_given_back_for_a_task_larger_than_its_room(self):
        fleet, _, _ = full_fleet()
        huge = make_lasting_job(1, need=Resources(8.0, 500.0, 0))
        fleet.dispatcher.add_job(huge._replace(job_id="00000000000000b2"), fleet.now)
        for _ in range(4):
            fleet.step()
        assert fleet.dispatcher.worker_by_id["w0"].is_reserved
