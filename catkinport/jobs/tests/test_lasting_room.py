"""Tests of the VMs that a pool gets for lasting tasks that find no room in it."""

import pytest

from ...policy.resources import Resources
from ...ports.fleet_vms import VmState
from .builders import POOL
from .large_task_fleet import (
    BEFORE_TURN,
    IN_TURN,
    RESTING,
    fleet_after_loss,
    make_lasting_job,
)


def move_targets(orders):
    return [order.pool for order in orders]


class TestLostWorkers:
    # Guards against lasting tasks without a run while VMs are off, because by its cores
    # the pool looks large enough.
    @pytest.mark.parametrize("phase", [RESTING, BEFORE_TURN])
    def test_each_large_task_that_lost_its_worker_gets_a_vm(self, phase):
        fleet = fleet_after_loss(phase)
        assert move_targets(fleet.step()) == [POOL] * 4

    # Guards against the same while the pool has its turn, in which it gets a fixed
    # multiple of its own VMs.
    def test_large_tasks_get_vms_beyond_those_of_a_turn(self):
        fleet = fleet_after_loss(IN_TURN, own_vms=3)
        assert move_targets(fleet.step()) == [POOL] * 4

    # Guards against a second VM for the same task while the first one is on its way or
    # its worker is not listed yet.
    def test_vms_on_their_way_count_as_room(self):
        fleet = fleet_after_loss(RESTING)
        orders = fleet.step()
        assert move_targets(fleet.step()) == []
        for order in orders:
            fleet.vm_planner.on_done(order, fleet.now)
        assert [order for _ in range(10) for order in fleet.step(0.25)] == []

    # Guards against a VM that leaves again before the task for which it came has
    # started, as the pool has more cores than it needs.
    def test_vms_that_have_come_stay_until_the_tasks_have_started(self):
        fleet = fleet_after_loss(RESTING)
        orders = fleet.step()
        fleet.advance(3.0)
        fleet.finish_moves(orders)
        assert [order for _ in range(8) for order in fleet.step()] == []
        assert len(fleet.start()) == 4

    # Guards against VMs for tasks that may not start because of their account's limit.
    def test_tasks_beyond_the_limit_of_their_account_get_no_vm(self):
        fleet = fleet_after_loss(RESTING, n_lost=0, limit=Resources(64.0, 0.0, 0))
        fleet.dispatcher.add_job(make_lasting_job(4)._replace(job_id="b2"), fleet.now)
        assert move_targets(fleet.step()) == []

    # Guards against VMs that are moved for tasks that the pool has room for.
    def test_tasks_that_fit_in_the_pool_get_no_vm(self):
        need = Resources(8.0, 40.0, 0)
        fleet = fleet_after_loss(RESTING, step_fields={"need": need})
        assert move_targets(fleet.step()) == []

    # Guards against tasks that wait although each worker has room, because as many of
    # their step as allowed run there.
    def test_tasks_that_may_not_share_a_worker_get_a_vm_each(self):
        fields = {"need": Resources(8.0, 40.0, 0), "max_per_worker": 1}
        fleet = fleet_after_loss(RESTING, step_fields=fields)
        assert move_targets(fleet.step()) == [POOL] * 4

    # Guards against moving VM after VM of a kind on which the task can't run.
    @pytest.mark.parametrize(("labels", "n_moves"), [(("a",), 4), (("b",), 0)])
    def test_only_vms_with_the_required_label_are_moved(self, labels, n_moves):
        fields = {"required_label": "a"}
        fleet = fleet_after_loss(RESTING, step_fields=fields, off_labels=labels)
        assert len(fleet.step()) == n_moves

    # Guards against a new owner that brings in VMs for tasks that may still run on
    # workers that it has not reached.
    def test_unreached_workers_bring_in_no_vms(self):
        fleet = fleet_after_loss(RESTING)
        fleet.dispatcher.unresolved_by_id["w9"] = POOL
        assert move_targets(fleet.step()) == []


class TestLostArrivals:
    def test_vm_that_is_lost_on_its_way_is_replaced_at_once(self):
        """Guards against tasks that wait for a VM which will not arrive."""
        fleet = fleet_after_loss(RESTING, n_lost=1)
        orders = fleet.step()
        assert [order.pool for order in orders] == [POOL]
        moved = orders[0].vm_id
        index = next(i for i, vm in enumerate(fleet.vms) if vm.vm_id == moved)
        fleet.vms[index] = fleet.vms[index]._replace(state=VmState.DOWN)
        fleet.advance(0.25)
        fleet.poll_all()
        fleet.list_vms()
        orders = fleet.vm_planner.plan(fleet.now)
        assert [o.pool for o in orders if o.vm_id != moved] == [POOL]
