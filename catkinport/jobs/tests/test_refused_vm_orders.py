"""Tests of VMs whose orders the platform refuses or leaves without an answer."""

import asyncio
from types import SimpleNamespace

import pytest

from ...ports import Reason, Unavailable
from ...ports.fleet_workers import Done, OrderOutcome, Rejected, Rejection
from ..ownership.vm_orders import VmOrders
from ..vms.order_targets import VmOrder
from ..vms.vm_inventory import REFUSAL_PAUSE_SECONDS, REPEAT_SECONDS
from ..vms.vm_planner import MAX_LIST_AGE_SECONDS
from .builders import POOL, make_job, make_step
from .test_vm_orders import FakeSession
from .vm_fleet import BOUNDS, VmFleet

LATER_JOB = "00000000000000b2"
N_VMS = 4
REFUSED = Unavailable(Reason.STORE_UNAVAILABLE, "vm-order", may_have_committed=False)


def answer(fleet: VmFleet, order: VmOrder, outcome: OrderOutcome) -> None:
    """Send an order to a platform that answers it with ``outcome``."""
    session = FakeSession(SimpleNamespace(now=lambda: fleet.now))
    session.outcome = outcome
    orders = VmOrders(session, fleet.vm_planner, 0.0)
    orders._store_begun = lambda wave: asyncio.sleep(0)
    asyncio.run(orders._send_vm_order(order, fleet.now))


class LastingFleet(VmFleet):
    """A pool with a lasting task on each VM, of which one may be unavailable at once.

    A wave names all VMs; two may be down together.
    """

    def __init__(self) -> None:
        super().__init__(N_VMS)
        step = make_step(N_VMS, is_lasting=True, max_per_worker=1, max_away=1)
        self.dispatcher.add_job(make_job(steps=[step]), self.now)
        assert len(self.start()) == N_VMS
        self.make_lasting_tasks_available()
        self.request_wave([f"m{number}" for number in range(N_VMS)], max_down=2)

    def wait_for_order(self) -> VmOrder:
        """Plan until an upkeep is ordered."""
        for _ in range(20):
            for order in self.step():
                return order
        raise AssertionError("no upkeep was ordered")

    def finish_upkeep(self, order: VmOrder) -> None:
        """Carry an upkeep out, and let the tasks of its VM start again."""
        answer(self, order, Done())
        self.replace_worker(order.vm_id, f"{order.vm_id}-next")
        self.advance(BOUNDS.upkeep)
        self.step(BOUNDS.upkeep)
        self.start()
        self.make_lasting_tasks_available()

    def is_wave_complete(self) -> bool:
        return self.vm_planner.is_complete(self.vm_planner.wave_by_number[1])


class TestRefusedUpkeep:
    def test_pool_takes_tasks_again(self):
        """Guards against a pool without tasks for as long as upkeeps are refused.

        The lasting task of the refused VM counted as unavailable, so that no other VM
        of the wave could go down, and all of them were kept free for their upkeep.
        """
        fleet = LastingFleet()
        order = fleet.wait_for_order()
        for _ in range(3):
            fleet.step()
        answer(fleet, order, REFUSED)
        workers = fleet.dispatcher.worker_by_id.values()
        assert not [w.worker_id for w in workers if w.is_reserved]
        fleet.dispatcher.add_job(make_job(LATER_JOB), fleet.now)
        assert len(fleet.start()) == 1

    def test_wave_completes_after_a_refusal(self):
        """Guards against a wave that stops with the first order that is refused."""
        fleet = LastingFleet()
        answer(fleet, fleet.wait_for_order(), REFUSED)
        for _ in range(N_VMS):
            fleet.finish_upkeep(fleet.wait_for_order())
        assert fleet.is_wave_complete()

    def test_no_upkeep_is_ordered_during_the_pause(self):
        """Guards against a burst of calls to a platform that is overloaded."""
        fleet = LastingFleet()
        answer(fleet, fleet.wait_for_order(), REFUSED)
        refused_at = fleet.now
        fleet.wait_for_order()
        assert fleet.now - refused_at >= REFUSAL_PAUSE_SECONDS

    def test_vm_stays_under_an_order_that_was_sent_before(self):
        """Guards against more VMs down for a wave than it allows.

        The first sending had no answer and may have been carried out.
        """
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        (order,) = fleet.step()
        assert fleet.step(REPEAT_SECONDS) == [order]
        answer(fleet, order, REFUSED)
        assert fleet.vm_planner.inventory.is_under_order("m0")
        assert fleet.step(REPEAT_SECONDS) == [order]

    def test_vm_is_free_once_each_sending_was_refused(self):
        """Guards against a VM that waits for a refusal which came after a repetition.

        A slow platform refuses the first sending only after the second one was sent.
        """
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        (order,) = fleet.step()
        assert fleet.step(REPEAT_SECONDS) == [order]
        answer(fleet, order, REFUSED)
        answer(fleet, order, REFUSED)
        assert not fleet.vm_planner.inventory.is_under_order("m0")


class TestUnansweredLists:
    def test_drained_vms_take_tasks_again(self):
        """Guards against a pool without tasks for as long as the platform is silent.

        All VMs of the pool were kept free for an upkeep that nobody could order.
        """
        fleet = LastingFleet()
        order = fleet.wait_for_order()
        inventory = fleet.vm_planner.inventory
        for vm_id in inventory.vm_by_id:
            inventory.reserve(vm_id)
        fleet.advance(MAX_LIST_AGE_SECONDS + 0.1)
        fleet.poll_all()
        assert fleet.vm_planner.plan(fleet.now) == []
        assert inventory.reserved == {order.vm_id}
        fleet.dispatcher.add_job(make_job(LATER_JOB), fleet.now)
        assert len(fleet.start()) == 1


class TestUnansweredOrder:
    def test_it_is_repeated_for_a_vm_with_a_lasting_task(self):
        """Guards against a wave that stops with the first order without an answer.

        A lasting task does not end, so an order that waits for the end of all tasks on
        its VM is never repeated if it was not carried out.
        """
        fleet = LastingFleet()
        order = fleet.wait_for_order()
        repeated = [again for _ in range(8) for again in fleet.step()]
        assert repeated == [order, order]
        fleet.finish_upkeep(order)
        for _ in range(N_VMS - 1):
            fleet.finish_upkeep(fleet.wait_for_order())
        assert fleet.is_wave_complete()

    def test_it_is_not_repeated_while_another_task_of_the_step_is_unavailable(self):
        """Guards against ending more tasks of a step at once than it tolerates."""
        fleet = LastingFleet()
        order = fleet.wait_for_order()
        ordered = int(order.vm_id[1:])
        other = fleet.running_by_worker[f"w{(ordered + 1) % N_VMS}"]
        for key, entry in other.items():
            other[key] = entry._replace(percent=60.0)
        assert [again for _ in range(8) for again in fleet.step()] == []

    def test_it_waits_for_short_tasks_that_the_worker_still_executes(self):
        """Guards against short tasks that are ended by an order that may be refused."""
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        (order,) = fleet.step()
        fleet.dispatcher.worker_by_id["w0"].is_reserved = False
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        assert fleet.step(REPEAT_SECONDS) == []
        assert fleet.dispatcher.worker_by_id["w0"].is_reserved
        fleet.end(start)
        assert fleet.step() == [order]

    def test_upkeep_of_a_vm_whose_new_worker_has_tasks_is_confirmed(self):
        """Guards against a wave that is never reported as completed.

        The upkeep was carried out, its answer was lost, and the new worker always has
        tasks.
        """
        fleet = LastingFleet()
        order = fleet.wait_for_order()
        fleet.step()
        fleet.replace_worker(order.vm_id, "w-next")
        fleet.dispatcher.add_job(make_job(LATER_JOB, [make_step(16)]), fleet.now)
        used = {start.run.worker_id for start in fleet.start()}
        assert "w-next" in used
        assert fleet.step(REPEAT_SECONDS) == [order]


class TestVmThatIsNotUp:
    def test_it_counts_as_down_if_an_earlier_sending_may_have_taken_it_down(self):
        """Guards against more VMs down for a wave than it allows.

        The answer to the first sending was lost, and the platform rejected the second
        one before its list showed the VM as down.
        """
        fleet = VmFleet(2)
        fleet.request_wave(["m0", "m1"], max_down=1)
        (order,) = fleet.step()
        assert fleet.step(REPEAT_SECONDS) == [order]
        answer(fleet, order, Rejected(Rejection.NOT_UP))
        assert fleet.step() == []
        assert fleet.step(REPEAT_SECONDS) == [order]
        answer(fleet, order, Done())
        assert fleet.vm_planner.wave_by_number[1].begun == {order.vm_id}

    def test_it_is_free_if_the_order_was_sent_once(self):
        """Guards against a VM that stays unused after it has come back."""
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        (order,) = fleet.step()
        answer(fleet, order, Rejected(Rejection.NOT_UP))
        assert not fleet.vm_planner.inventory.is_under_order("m0")


class TestRefusedMove:
    def _refuse_moves(self):
        fleet = VmFleet(1, n_off=1)
        fleet.dispatcher.add_job(make_job(steps=[make_step(16)]), fleet.now)
        (order,) = fleet.step()
        assert (order.vm_id, order.pool) == ("off0", POOL)
        answer(fleet, order, REFUSED)
        return fleet, order

    def test_vm_stays_in_its_pool(self):
        """Guards against a pool that counts a VM which has not moved."""
        fleet, order = self._refuse_moves()
        inventory = fleet.vm_planner.inventory
        assert not inventory.is_under_order(order.vm_id)
        assert inventory.pool_of(inventory.vm_by_id[order.vm_id]) == "off"

    @pytest.mark.parametrize(("seconds", "n_orders"), [(0.5, 0), (1.0, 1)])
    def test_vm_is_ordered_again_after_a_pause(self, seconds, n_orders):
        """Guards against a burst of calls to a platform that is overloaded."""
        fleet, order = self._refuse_moves()
        assert fleet.step(seconds) == [order] * n_orders
