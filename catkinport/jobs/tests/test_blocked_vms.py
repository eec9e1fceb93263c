"""Tests that VMs get tasks again when the end of what blocks them does not come."""

import asyncio
from types import SimpleNamespace

from ...policy.leadership import MAY_BE_REPLACED_SECONDS, OwnLease
from ...ports.async_table import Snapshot
from ...ports.table import Committed
from ..ownership.vm_orders import VmOrders
from ..vms.order_targets import VmOrder
from ..vms.starved_pools import MAX_WAIT_SECONDS, RELIEF_SECONDS
from ..vms.unanswered_orders import (
    DRAIN_AGAIN_SECONDS,
    MAX_BLOCK_SECONDS,
    SURVIVAL_SECONDS,
)
from ..vms.vm_inventory import MAX_OLD_LIST_SECONDS
from ..vms.vm_planner import MAX_LIST_AGE_SECONDS, MAX_PLAN_GAP_SECONDS
from ..workers.worker_vms import VM_LIST_LAG_SECONDS
from .builders import POOL, make_job, make_step
from .test_vm_orders import FakeSession
from .vm_fleet import BOUNDS, VmFleet

LATER_JOB = "00000000000000b2"
STEP_SECONDS = 0.25


class OrderedFleet(VmFleet):
    """A VM whose worker is idle, under an order that had no answer."""

    def __init__(self, wave: int = 0, pool: str = "off") -> None:
        super().__init__(1)
        if wave:
            self.request_wave(["m0"])
            (self.order,) = self.vm_planner.plan(self.now)
        else:
            self.order = VmOrder("m0", 0, pool)
            self.vm_planner.inventory.note_sent(self.order, self.now)
            self.worker.is_reserved = True

    @property
    def worker(self):
        return self.dispatcher.worker_by_id["w0"]

    def wait(self, seconds: float, is_listed: bool = True) -> list[VmOrder]:
        """Let time pass in which the worker answers; return the orders."""
        orders = []
        for _ in range(round(seconds / STEP_SECONDS)):
            if is_listed:
                orders += self.step(STEP_SECONDS)
                continue
            self.advance(STEP_SECONDS)
            self.poll_all()
            orders += self.vm_planner.plan(self.now)
        return orders


class TestOrderWithoutAnswer:
    def test_vm_gets_tasks_while_no_list_is_read(self):
        """Guards against pools that stand still as all orders for VMs time out.

        The interface for VMs answered after 1.6 s. Orders and lists had no answer, no
        order was repeated, and the idle VMs of each pool stayed blocked for good.
        """
        fleet = OrderedFleet()
        fleet.wait(MAX_LIST_AGE_SECONDS + 2 * STEP_SECONDS, is_listed=False)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        assert len(fleet.start()) == 1

    def test_vm_gets_tasks_while_repeated_orders_have_no_answer(self):
        """Guards against a VM that is blocked while the platform loses all orders."""
        for fleet in (OrderedFleet(), OrderedFleet(wave=1)):
            assert fleet.wait(MAX_BLOCK_SECONDS + STEP_SECONDS)
            fleet.dispatcher.add_job(make_job(), fleet.now)
            assert len(fleet.start()) == 1
            assert fleet.vm_planner.inventory.is_under_order("m0")

    def test_worker_that_does_not_answer_gets_no_tasks(self):
        """Guards against starts on a VM that the order has taken down."""
        fleet = OrderedFleet()
        for _ in range(round(2 * MAX_BLOCK_SECONDS / STEP_SECONDS)):
            fleet.advance(STEP_SECONDS)
            fleet.list_vms()
            fleet.vm_planner.plan(fleet.now)
        assert fleet.worker.is_reserved

    def test_move_is_given_up_once_the_vm_has_tasks(self):
        """Guards against a VM that counts for another pool for good."""
        fleet = OrderedFleet()
        fleet.wait(MAX_BLOCK_SECONDS + STEP_SECONDS)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.start()
        assert fleet.wait(DRAIN_AGAIN_SECONDS) == []
        assert not fleet.vm_planner.inventory.is_under_order("m0")

    def test_upkeep_is_repeated_once_the_vm_is_drained_again(self):
        """Guards against a wave that never ends as its VM always has tasks."""
        fleet = OrderedFleet(wave=1)
        fleet.wait(MAX_BLOCK_SECONDS + STEP_SECONDS)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        assert fleet.wait(DRAIN_AGAIN_SECONDS) == []
        assert fleet.worker.is_reserved
        fleet.end(start)
        assert fleet.wait(STEP_SECONDS) == [fleet.order]

    def test_job_starts_on_the_vm_that_is_drained_again(self):
        """Guards against a job that waits for the tasks on a VM under an old order."""
        fleet = OrderedFleet(wave=1)
        fleet.wait(MAX_BLOCK_SECONDS + STEP_SECONDS)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        assert len(fleet.start()) == 1
        fleet.wait(DRAIN_AGAIN_SECONDS)
        fleet.dispatcher.add_job(make_job(LATER_JOB), fleet.now)
        fleet.wait(MAX_WAIT_SECONDS + 2 * STEP_SECONDS)
        assert len(fleet.start()) == 1

    def test_end_of_its_worker_is_no_crash(self):
        """Guards against blaming tasks for a worker that a late order has ended."""
        fleet = OrderedFleet()
        fleet.wait(MAX_BLOCK_SECONDS + STEP_SECONDS)
        assert fleet.worker.is_taken_down


class TestConfirmedOrder:
    def test_worker_that_outlives_it_gets_tasks_without_a_list(self):
        """Guards against a worker that waits for a list which is never read.

        The platform confirms an order that was carried out before without ending the
        worker that has started since.
        """
        fleet = OrderedFleet(pool="pool-0")
        fleet.vm_planner.inventory.note_done(fleet.order, fleet.now)
        fleet.wait(SURVIVAL_SECONDS + MAX_LIST_AGE_SECONDS, is_listed=False)
        assert not fleet.worker.is_reserved


class TestListOlderThanUsual:
    def test_vm_stays_under_an_order_that_the_list_does_not_show(self):
        """Guards against orders that end the tasks on a VM which has just moved.

        The list was 5 s old. The VM, which was taken for one that is still off, went
        down for an upkeep, and its tasks waited for the end of their lease.
        """
        fleet = VmFleet(1, n_off=1)
        order = VmOrder("off0", 0, POOL)
        inventory = fleet.vm_planner.inventory
        inventory.note_sent(order, fleet.now)
        fleet.vm_planner.on_done(order, fleet.now)
        fleet.advance(BOUNDS.move + VM_LIST_LAG_SECONDS + STEP_SECONDS)
        fleet.list_vms()
        assert inventory.is_under_order("off0")
        fleet.vms[1] = fleet.vms[1]._replace(pool=POOL, worker_id="w1")
        fleet.list_vms()
        assert not inventory.is_under_order("off0")

    def test_an_order_that_had_no_effect_ends(self):
        """Guards against a VM that gets no more orders after one without effect."""
        fleet = OrderedFleet()
        fleet.vm_planner.inventory.note_done(fleet.order, fleet.now)
        fleet.wait(
            BOUNDS.move + VM_LIST_LAG_SECONDS + MAX_OLD_LIST_SECONDS + STEP_SECONDS
        )
        assert not fleet.vm_planner.inventory.is_under_order("m0")


class TestCordon:
    def test_it_ends_when_the_list_is_old(self):
        """Guards against VMs that wait for a move which can't be ordered."""
        fleet = VmFleet(1)
        worker = fleet.dispatcher.worker_by_id["w0"]
        worker.is_cordoned = True
        fleet.advance(MAX_LIST_AGE_SECONDS + STEP_SECONDS)
        assert fleet.vm_planner.plan(fleet.now) == []
        assert not worker.is_cordoned


class TestPlanThatStops:
    def _block(self):
        fleet = VmFleet(2)
        fleet.vm_planner.plan(fleet.now)
        fleet.dispatcher.worker_by_id["w0"].is_cordoned = True
        fleet.vm_planner.inventory.reserve("m1")
        return fleet

    def _count_blocked(self, fleet):
        workers = fleet.dispatcher.worker_by_id.values()
        return sum(worker.is_cordoned or worker.is_reserved for worker in workers)

    def test_vms_get_tasks_when_no_orders_are_planned(self):
        """Guards against pools that stand still while the lease is in doubt."""
        fleet = self._block()
        fleet.advance(MAX_PLAN_GAP_SECONDS + STEP_SECONDS)
        fleet.vm_planner.unblock_idle(fleet.now)
        assert self._count_blocked(fleet) == 0

    def test_a_short_gap_changes_nothing(self):
        """Guards against drains that begin anew at each renewal that is late."""
        fleet = self._block()
        fleet.advance(MAX_PLAN_GAP_SECONDS - STEP_SECONDS)
        fleet.vm_planner.unblock_idle(fleet.now)
        assert self._count_blocked(fleet) == 2


class SlowDeskSession(FakeSession):
    """A session whose reports of waves are never answered."""

    async def read_range(self, table):
        return Snapshot([], 1)

    async def commit(self, transaction):
        return Committed({write.row_key: 1 for write in transaction.writes})

    async def report(self, wave, is_complete):
        await asyncio.Event().wait()


class TestOwnerLoops:
    def _play(self, renewed_at: float) -> tuple[VmFleet, SlowDeskSession]:
        """Run the loops of an owner for a moment; its clock stands still."""
        fleet = VmFleet(1)
        session = SlowDeskSession(SimpleNamespace(now=lambda: fleet.now))
        session.lease = OwnLease(1, renewed_at)

        async def run():
            orders = VmOrders(session, fleet.vm_planner, 0.0)
            orders._store_begun = lambda wave: asyncio.sleep(0)
            fleet.dispatcher.worker_by_id["w0"].is_cordoned = True
            loop = session.spawn(orders.run())
            await asyncio.sleep(0.6)
            loop.cancel()

        asyncio.run(run())
        return fleet, session

    def test_orders_do_not_wait_for_reports(self):
        """Guards against VMs that stay blocked while the store is slow."""
        fleet, session = self._play(renewed_at=100.0)
        assert [vm_id for vm_id, _ in session.sent] == ["m0"]

    def test_vms_get_tasks_while_the_lease_is_in_doubt(self):
        """Guards against cordons that last as long as the store is slow."""
        fleet, session = self._play(renewed_at=-MAY_BE_REPLACED_SECONDS - 1.0)
        assert session.sent == []
        assert not fleet.dispatcher.worker_by_id["w0"].is_cordoned


class TestStarvedJob:
    """Three VMs run a long task each; most of the pool is unused."""

    def _make_fleet(self):
        fleet = VmFleet(3)
        step = make_step(3, max_per_worker=1)
        fleet.dispatcher.add_job(make_job(steps=[step]), fleet.now)
        assert len(fleet.start()) == 3
        return fleet

    def _count_starts(self, fleet, seconds):
        fleet.dispatcher.add_job(make_job(LATER_JOB), fleet.now)
        n_starts = 0
        for _ in range(round(seconds / STEP_SECONDS)):
            fleet.step(STEP_SECONDS)
            n_starts += len(fleet.start())
        return n_starts

    def test_it_starts_on_a_vm_that_a_wave_drains(self):
        """Guards against a pool that waits for the last task on each of its VMs.

        A late wave drained all VMs of a pool for as long as their tasks took, and no
        job started beside fifteen of sixteen free cores.
        """
        fleet = self._make_fleet()
        for number in range(3):
            fleet.vm_planner.inventory.reserve(f"m{number}")
        assert self._count_starts(fleet, MAX_WAIT_SECONDS + 3 * STEP_SECONDS) == 1

    def test_it_starts_on_a_cordoned_vm(self):
        """Guards against a pool whose VMs all wait for their move to another one."""
        fleet = self._make_fleet()
        fleet.vm_planner.mover._update_cordons = lambda pools, vms, missing: (
            fleet.vm_planner.mover._set_cordons({vm.vm_id for vm in vms})
        )
        fleet.step(STEP_SECONDS)
        assert fleet.dispatcher.worker_by_id["w0"].is_cordoned
        assert self._count_starts(fleet, MAX_WAIT_SECONDS + 3 * STEP_SECONDS) == 1

    def test_wave_goes_on_after_the_relief(self):
        """Guards against a wave that never drains a pool in which jobs wait."""
        fleet = self._make_fleet()
        fleet.request_wave(["m0"])
        fleet.vm_planner.inventory.reserve("m0")
        fleet.advance(20.0)
        self._count_starts(fleet, MAX_WAIT_SECONDS + RELIEF_SECONDS)
        fleet.step(RELIEF_SECONDS)
        assert fleet.dispatcher.worker_by_id["w0"].is_reserved

    def test_nothing_is_given_back_in_a_pool_that_is_mostly_used(self):
        """Guards against a wave that is late because a full pool has waiting jobs."""
        fleet = VmFleet(1)
        fleet.dispatcher.add_job(make_job(steps=[make_step(12)]), fleet.now)
        assert fleet.start()
        fleet.vm_planner.inventory.reserve("m0")
        assert self._count_starts(fleet, MAX_WAIT_SECONDS + 3 * STEP_SECONDS) == 0
