"""Tests of the orders for VMs: waves of upkeep and moves between pools."""

from ...ports.fleet_vms import VmState
from ..model import Step
from ..placement.run_stops import find_stops
from ..vms.vm_planner import VmPlanner
from .builders import NEED, POOL, make_job, make_worker
from .vm_fleet import BOUNDS, VmFleet


class TestWave:
    def test_vms_that_are_off_go_first(self):
        fleet = VmFleet(2, n_off=1)
        fleet.request_wave(["m0", "off0"], max_down=1)
        assert [order.vm_id for order in fleet.step()] == ["off0"]

    def test_no_more_than_the_maximum_are_down(self):
        """Guards against counting VMs as up while the VM list lags behind an order."""
        fleet = VmFleet(4)
        fleet.request_wave(["m0", "m1", "m2", "m3"], max_down=2)
        first = fleet.step()
        assert len(first) == 2
        for order in first:
            fleet.vm_planner.on_done(order, fleet.now)
        assert fleet.step() == []
        fleet.advance(3.5)
        assert len(fleet.step()) == 2

    def test_unanswered_order_is_repeated(self):
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        (order,) = fleet.step()
        assert fleet.step() == []
        assert fleet.step(1.0) == [order]

    def test_wave_is_complete_when_every_vm_has_begun(self):
        fleet = VmFleet(1)
        fleet.request_wave(["m0", "gone"])
        (order,) = fleet.step()
        state = fleet.vm_planner.wave_by_number[1]
        assert not fleet.vm_planner.is_complete(state)
        fleet.vm_planner.on_done(order, fleet.now)
        assert fleet.vm_planner.is_complete(state)


class TestLastingTasks:
    def _fleet(self, n_tasks, max_away, max_per_worker, n_workers=3):
        fleet = VmFleet(n_workers)
        step = Step(
            n_tasks,
            NEED,
            1.0,
            is_lasting=True,
            target_seconds=0.1,
            max_per_worker=max_per_worker,
            max_away=max_away,
        )
        fleet.dispatcher.add_job(make_job(steps=[step]), fleet.now)
        self.starts = fleet.start()
        fleet.make_lasting_tasks_available()
        return fleet

    def test_one_vm_of_a_step_goes_down_at_a_time(self):
        """Guards against taking down two VMs of one step in the same round."""
        fleet = self._fleet(2, max_away=1, max_per_worker=1)
        used = [start.worker.vm_id for start in self.starts]
        fleet.request_wave(used)
        orders = fleet.step() + fleet.step()
        assert len(orders) == 1

    def test_vm_of_a_step_that_tolerates_no_unavailable_task_stays_up(self):
        fleet = self._fleet(1, max_away=0, max_per_worker=1)
        fleet.request_wave([self.starts[0].worker.vm_id])
        assert [fleet.step() for _ in range(8)] == [[]] * 8

    def test_task_that_is_not_ready_counts_as_unavailable(self):
        """Guards against ending a second task while the first one still starts."""
        fleet = self._fleet(2, max_away=1, max_per_worker=1)
        vm_ids = [start.worker.vm_id for start in self.starts]
        run = self.starts[1].run
        worker = self.starts[1].worker.worker_id
        entry = fleet.running_by_worker[worker][run.key]
        fleet.running_by_worker[worker][run.key] = entry._replace(percent=60.0)
        fleet.request_wave(vm_ids[:1])
        assert fleet.step() + fleet.step() == []

    def test_vm_with_too_many_tasks_is_evacuated_one_task_at_a_time(self):
        """Guards against ending more tasks of a step at once than it tolerates."""
        fleet = self._fleet(2, max_away=1, max_per_worker=2, n_workers=1)
        fleet.add_vm("m1", "w1")
        fleet.request_wave(["m0"])
        assert fleet.step() + fleet.step() == []
        (run,) = fleet.vm_planner.find_evacuations(fleet.now)
        run.is_evacuated = True
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        assert stop.reason == "evacuated"
        assert fleet.vm_planner.find_evacuations(fleet.now) == []

    def test_task_without_another_worker_is_not_evacuated(self):
        """Guards against a stopped task that fits nowhere and a VM that stays up."""
        fleet = self._fleet(2, max_away=1, max_per_worker=2, n_workers=1)
        fleet.request_wave(["m0"])
        assert fleet.step() + fleet.step() == []
        assert fleet.vm_planner.find_evacuations(fleet.now) == []


class TestReservedWorkers:
    # Guards against a worker that gets no tasks for good, because its reservation ended
    # while the VM list did not name it.
    def test_worker_gets_tasks_again_after_its_vm_was_released_without_it(self):
        fleet = VmFleet(1)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        inventory = fleet.vm_planner.inventory
        inventory.reserve("m0")
        (up,) = fleet.vms
        fleet.vms = [up._replace(state=VmState.DOWN, worker_id="")]
        fleet.step()
        inventory.release("m0")
        fleet.vms = [up]
        fleet.step(1.0)
        assert len(fleet.start()) == 1


class TestMoves:
    def test_vms_that_are_off_join_the_pool_that_needs_more(self):
        """Guards against spare VMs that stay off while a pool's demand exceeds it."""
        fleet = VmFleet(1, n_off=2)
        steps = [Step(16, NEED, 1.0)]
        fleet.dispatcher.add_job(make_job(steps=steps), fleet.now)
        orders = fleet.step()
        assert [(order.pool, order.wave) for order in orders] == [(POOL, 0), (POOL, 0)]

    def test_vm_with_work_is_not_moved(self):
        fleet = VmFleet(2)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        orders = [order for _ in range(40) for order in fleet.step()]
        assert start.worker.vm_id not in {order.vm_id for order in orders}

    def test_vm_kept_free_for_a_move_takes_tasks_again_once_a_wave_names_it(self):
        """Guards against a VM that neither moves nor runs tasks until its upkeep."""
        fleet = VmFleet(2, n_off=1)
        fleet.dispatcher.add_job(make_job(steps=[Step(1, NEED, 1.0)]), fleet.now)
        (start,) = fleet.start()
        start.worker.is_cordoned = True
        fleet.request_wave([start.worker.vm_id], max_down=0)
        fleet.step()
        assert not start.worker.is_cordoned

    def test_worker_of_a_vm_under_order_is_removed_at_once(self):
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        (order,) = fleet.step()
        fleet.vm_planner.on_done(order, fleet.now)
        assert "w0" not in fleet.dispatcher.worker_by_id
        fleet.dispatcher.update_workers(fleet.workers, fleet.now, fleet.now)
        assert "w0" not in fleet.dispatcher.worker_by_id

    def test_worker_that_starts_again_under_the_id_of_a_removed_one_is_listed(self):
        """Guards against a worker that gets no tasks for as long as it is listed."""
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        (order,) = fleet.step()
        fleet.vm_planner.on_done(order, fleet.now)
        restarted = make_worker("w0", started_at=2.0)
        fleet.dispatcher.update_workers([restarted], fleet.now, fleet.now)
        assert "w0" in fleet.dispatcher.worker_by_id


class TestTakeover:
    def _new_owner(self, fleet, held=()):
        fleet.vm_planner = VmPlanner(fleet.dispatcher, BOUNDS)
        fleet.vm_planner.inventory.hold_back(held, fleet.now + BOUNDS.order_gap)
        fleet.list_vms()

    def test_vm_that_the_former_owner_lately_ordered_gets_no_order(self):
        """Guards against interleaved orders of two owners for one VM."""
        fleet = VmFleet(1)
        self._new_owner(fleet, held=["m0"])
        fleet.request_wave(["m0"])
        assert fleet.step() == []
        assert len(fleet.step(3.0)) == 1

    def test_other_vms_get_orders_at_once(self):
        """Guards against a busy pool without VMs after a change of owner."""
        fleet = VmFleet(2)
        self._new_owner(fleet, held=["m0"])
        fleet.request_wave(["m0", "m1"])
        assert [order.vm_id for order in fleet.step()] == ["m1"]

    def test_orders_of_the_former_owner_count_towards_the_maximum(self):
        """Guards against too many VMs down while the list lags behind an upkeep."""
        fleet = VmFleet(2)
        self._new_owner(fleet, held=["m0"])
        fleet.request_wave(["m0", "m1"], max_down=1)
        assert fleet.step() == []

    def test_vm_whose_worker_was_not_reached_yet_gets_no_upkeep(self):
        """Guards against ending lasting tasks that a new owner doesn't know of yet."""
        fleet = VmFleet(1)
        fleet.dispatcher.worker_by_id["w0"].contact_at = float("-inf")
        self._new_owner(fleet)
        fleet.request_wave(["m0"])
        assert fleet.vm_planner.plan(fleet.now) == []
        fleet.poll("w0")
        assert len(fleet.vm_planner.plan(fleet.now)) == 1

    def test_vms_held_for_a_former_owner_are_handed_on(self):
        """Guards against orders for them after a second change of owner.

        The second change comes within the order gap of the first.
        """
        fleet = VmFleet(2)
        self._new_owner(fleet, held=["m0"])
        fleet.request_wave(["m0", "m1"])
        fleet.step()
        assert fleet.vm_planner.inventory.find_recently_ordered(fleet.now) == [
            "m0",
            "m1",
        ]

    def test_successor_learns_of_the_orders_within_the_order_gap(self):
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        fleet.step()
        assert fleet.vm_planner.inventory.find_recently_ordered(fleet.now + 2.9) == [
            "m0"
        ]
        assert fleet.vm_planner.inventory.find_recently_ordered(fleet.now + 3.1) == []

    def test_new_owner_detects_that_a_pool_is_busy(self):
        """Guards against restoring the pools' sizes before the first VM list.

        The pools then had no cores, and the new owner took none for busy.
        """
        fleet = VmFleet(2, n_off=2)
        fleet.vm_planner = VmPlanner(fleet.dispatcher, BOUNDS)
        fleet.vm_planner.mover.restore_own_vms({POOL: 2, "off": 2})
        fleet.list_vms()
        fleet.vm_planner.mover.note_work(POOL, 100.0, fleet.now)
        orders = fleet.step()
        assert [order.pool for order in orders] == [POOL]
