"""Tests of lasting tasks that leave evacuated zones."""

import asyncio
from collections import defaultdict
from types import SimpleNamespace

from ...policy import vm_packing
from ...policy.resources import Resources
from ...ports.fleet_vms import FleetVm, VmState
from ...ports.fleet_workers import EndKind
from ...runtime import Metrics
from ..ownership.vm_orders import VmOrders
from ..placement.run_stops import find_stops
from ..vms.pool_demand import PoolDemand
from ..vms.vm_planner import VmPlanner
from ..vms.zone_evacuations import ZoneEvacuations
from ..vms.zone_moves import MAX_ENDING_RUNS
from ..workers.worker_failures import (
    LAST_WORKER_QUARANTINE_SECONDS,
    note_worker_failure,
)
from .builders import POOL, Fleet, make_job, make_step, make_worker
from .large_task_fleet import RESTING
from .test_zone_evacuations import ZONES, FakeRequests
from .vm_fleet import BOUNDS

CAPACITY = Resources(16.0, 256.0, 0)
HALF = Resources(8.0, 16.0, 0)


class MovingFleet(Fleet):
    """A fleet of VMs in several zones, whose lasting tasks are ready.

    Args:
        zones: zone of each VM.
        n_off: VMs that are off, spread over the zones.
    """

    def __init__(self, zones, n_off=0):
        workers = [make_worker(f"w{n}", zone=zone) for n, zone in enumerate(zones)]
        super().__init__(workers)
        self.vms = [
            FleetVm(f"m{n}", POOL, VmState.UP, zone, ("a", "r1"), CAPACITY, f"w{n}")
            for n, zone in enumerate(zones)
        ]
        self.vms += [
            FleetVm(f"off{n}", "off", VmState.UP, ZONES[n % 3], (), CAPACITY, "")
            for n in range(n_off)
        ]
        self.vm_planner = VmPlanner(self.dispatcher, BOUNDS)
        self.list_vms()
        self.requests = FakeRequests()
        self.evacuations = ZoneEvacuations(
            self.dispatcher, self.vm_planner.inventory, self.requests, Metrics()
        )

    def list_vms(self):
        self.vm_planner.update_vms(self.vms, self.now)
        self.dispatcher.update_vms(self.vms, self.now, self.now)

    def evacuate(self, *zones):
        self.requests.zones = set(zones)
        self.evacuations.update(self.now)

    def add_lasting(self, number, n_tasks, **fields):
        """Start the tasks of a job and make them ready."""
        values = {"need": HALF, "is_lasting": True, "max_away": 2, **fields}
        job = make_job(f"{number:016x}", steps=[make_step(n_tasks, **values)])
        self.dispatcher.add_job(job, self.now)
        starts = self.start()
        assert len(starts) == n_tasks
        self.make_ready()
        return starts

    def make_ready(self):
        for running in self.running_by_worker.values():
            for key, entry in running.items():
                running[key] = entry._replace(percent=100.0)
        for _ in range(4):
            self.advance(0.3)
            self.poll_all()
        self.list_vms()

    def move_round(self):
        """Decide once, let the workers carry out the stops, and start tasks anew.

        Returns:
            The runs that were stopped.
        """
        self.advance(0.25)
        self.list_vms()
        self.poll_all()
        runs = self.vm_planner.find_zone_moves(self.now)
        for run in runs:
            run.is_evacuated = True
        for stop in find_stops(self.dispatcher, self.now):
            assert stop.reason == "evacuated"
        for run in runs:
            self.end(SimpleNamespace(run=run), EndKind.STOPPED, "saved")
        self.start()
        return runs

    def find_runs(self):
        workers = self.dispatcher.worker_by_id.values()
        return [run for w in workers for run in w.run_by_key.values()]

    def zones_of_runs(self):
        workers = self.dispatcher.worker_by_id.values()
        return [w.listed.zone for w in workers for _ in w.run_by_key]


def spread_fleet():
    """Return a fleet with 4 ready tasks in zone z1 and room for them elsewhere."""
    fleet = MovingFleet(["z1", "z1", "z2", "z2", "z3"])
    fleet.evacuate("z2", "z3")
    fleet.add_lasting(1, 4)
    fleet.evacuate()
    return fleet


class TestBudget:
    def test_tasks_leave_within_the_budget_of_their_step(self):
        """Guards against an evacuation that ends more tasks than a step may miss."""
        fleet = spread_fleet()
        assert fleet.vm_planner.find_zone_moves(fleet.now) == []
        fleet.evacuate("z1")
        assert len(fleet.move_round()) == 2
        # The next two follow once the first two are ready again.
        assert fleet.move_round() == []
        fleet.make_ready()
        assert len(fleet.move_round()) == 2
        assert "z1" not in fleet.zones_of_runs()
        assert len(fleet.zones_of_runs()) == 4

    def test_step_that_may_miss_no_task_stays(self):
        """Guards against tasks that are ended although none may be unavailable."""
        fleet = MovingFleet(["z1", "z1", "z2"])
        fleet.evacuate("z2")
        fleet.add_lasting(1, 2, max_away=0)
        fleet.evacuate("z1")
        assert fleet.move_round() == []

    def test_task_that_is_not_ready_takes_no_more_of_the_budget(self):
        """Guards against a zone that is never left, for a task that is not ready."""
        fleet = MovingFleet(["z1", "z1", "z2", "z2"])
        fleet.evacuate("z2")
        starts = fleet.add_lasting(1, 3, max_away=1)
        run = starts[0].run
        running = fleet.running_by_worker[run.worker_id]
        running[run.key] = running[run.key]._replace(percent=20.0)
        fleet.evacuate("z1")
        (moved,) = fleet.move_round()
        assert moved is run

    def test_budget_counts_tasks_on_vms_under_order(self):
        """Guards against a move beside an upkeep that takes up the budget."""
        fleet = spread_fleet()
        fleet.evacuate("z1")
        inventory = fleet.vm_planner.inventory
        inventory.hold_back(["m0"], fleet.now + 9.0)
        assert fleet.move_round() == []

    def test_few_tasks_are_stopped_at_a_time(self):
        """Guards against a burst of stops that an owner can't keep up with."""
        fleet = MovingFleet(["z1"] * 10 + ["z2"] * 10)
        fleet.evacuate("z2")
        for number in range(10):
            fleet.add_lasting(number + 1, 2)
        fleet.evacuate("z1")
        assert len(fleet.move_round()) == MAX_ENDING_RUNS


class TestCost:
    def test_rooms_are_ordered_once_a_round(self, monkeypatch):
        """Guards against an owner that sorts 3,000 workers for each task that moves."""
        fleet = MovingFleet(["z1"] * 10 + ["z2"] * 60)
        fleet.evacuate("z2")
        for number in range(10):
            fleet.add_lasting(number + 1, 2)
        fleet.evacuate("z1")
        ordered = []
        room_order = vm_packing._room_order
        monkeypatch.setattr(
            vm_packing, "_room_order", lambda r: ordered.append(r) or room_order(r)
        )
        assert len(fleet.vm_planner.find_zone_moves(fleet.now)) == MAX_ENDING_RUNS
        assert len(ordered) < 3 * 60


class TestStops:
    def test_budget_is_asked_again_before_the_stop(self):
        """Guards against an owner that was paused after it had decided on a stop.

        Meanwhile other tasks of the step have become unavailable.
        """
        fleet = spread_fleet()
        fleet.evacuate("z1")
        planner = fleet.vm_planner
        runs = planner.find_zone_moves(fleet.now)
        for run in runs:
            run.is_evacuated = True
        others = [r for r in fleet.find_runs() if r not in runs]
        fleet.end(SimpleNamespace(run=others[0]), EndKind.FAILED)
        stops = find_stops(fleet.dispatcher, fleet.now, "", planner.may_end_run)
        (stop,) = stops
        assert stop.key == runs[1].key
        assert [run.is_evacuated for run in runs] == [False, True]

    def test_stop_that_was_sent_is_repeated(self):
        """Guards against a task that counts as away for good.

        Its stop may be carried out late, whether it is repeated or not.
        """
        fleet = spread_fleet()
        fleet.evacuate("z1")
        planner = fleet.vm_planner
        runs = planner.find_zone_moves(fleet.now)
        for run in runs:
            run.is_evacuated = True
        may_end = planner.may_end_run
        assert len(list(find_stops(fleet.dispatcher, fleet.now, "", may_end))) == 2
        others = [r for r in fleet.find_runs() if r not in runs]
        fleet.end(SimpleNamespace(run=others[0]), EndKind.FAILED)
        fleet.advance(0.5)
        stops = list(find_stops(fleet.dispatcher, fleet.now, "", may_end))
        assert {stop.key for stop in stops} == {run.key for run in runs}


class TestRoom:
    def test_no_task_is_ended_without_a_place_to_go(self):
        """Guards against tasks that are ended and then wait without end."""
        fleet = MovingFleet(["z1", "z1", "z2"])
        fleet.evacuate("z2")
        fleet.add_lasting(1, 4)
        fleet.evacuate("z1", "z2")
        assert fleet.move_round() == []

    def test_room_that_a_moving_task_needs_counts_once(self):
        """Guards against a second task that is ended for the room of the first one."""
        fleet = MovingFleet(["z1", "z1", "z2"])
        fleet.evacuate("z2")
        fleet.add_lasting(1, 2, need=CAPACITY._replace(memory_gb=8.0))
        fleet.evacuate("z1")
        (first,) = fleet.vm_planner.find_zone_moves(fleet.now)
        first.is_evacuated = True
        assert fleet.vm_planner.find_zone_moves(fleet.now) == []
        fleet.end(SimpleNamespace(run=first), EndKind.STOPPED)
        assert fleet.vm_planner.find_zone_moves(fleet.now) == []

    def test_room_of_a_moving_task_does_not_count_for_a_drain(self):
        """Guards against a task that is ended for the room of one that leaves a zone.

        There is room for one task on the third VM. The second VM is drained.
        """
        fleet = MovingFleet(["z1", "z2", "z3"])
        fleet.evacuate("z2", "z3")
        fleet.add_lasting(1, 1)
        fleet.evacuate("z1", "z3")
        fleet.add_lasting(2, 2, max_away=1)
        fleet.evacuate("z1")
        fleet.workers[2] = fleet.workers[2]._replace(capacity=HALF)
        fleet.list_workers()
        planner = fleet.vm_planner
        planner.inventory.reserve("m1")
        (draining,) = planner.find_evacuations(fleet.now)
        assert draining.worker_id == "w1"
        (moving,) = planner.find_zone_moves(fleet.now)
        moving.is_evacuated = True
        assert planner.find_evacuations(fleet.now) == []
        fleet.end(SimpleNamespace(run=moving), EndKind.STOPPED)
        assert planner.find_evacuations(fleet.now) == []

    def test_step_without_room_holds_up_no_other(self):
        """Guards against small tasks that stay, as large ones have no place to go."""
        fleet = MovingFleet(["z1", "z1", "z2"])
        fleet.evacuate("z2")
        fleet.add_lasting(1, 2, need=HALF._replace(memory_gb=200.0))
        fleet.add_lasting(2, 2)
        fleet.evacuate("z1")
        fleet.workers[2] = fleet.workers[2]._replace(capacity=HALF)
        fleet.list_workers()
        (moved,) = fleet.move_round()
        assert moved.task.step.need == HALF

    def test_tasks_leave_two_zones_for_the_third(self):
        """Guards against a move from one evacuated zone to the other."""
        fleet = MovingFleet(["z1", "z2", "z3", "z3"])
        fleet.evacuate("z3")
        fleet.add_lasting(1, 4)
        fleet.evacuate("z1", "z2")
        for _ in range(3):
            fleet.move_round()
            fleet.make_ready()
        assert fleet.zones_of_runs() == ["z3"] * 4


class TestWhichRuns:
    def test_short_tasks_run_to_their_end(self):
        """Guards against short tasks that lose their work to an evacuation."""
        fleet = MovingFleet(["z1", "z2"])
        fleet.add_lasting(1, 2, is_lasting=False)
        fleet.evacuate("z1")
        assert fleet.move_round() == []

    def test_gang_is_not_torn_apart(self):
        """Guards against a move of one task that ends all tasks of its gang."""
        fleet = MovingFleet(["z1", "z1", "z2", "z2"])
        fleet.evacuate("z2")
        fleet.add_lasting(1, 4, is_gang=True)
        fleet.evacuate("z1")
        assert fleet.move_round() == []

    def test_worker_out_of_contact_keeps_its_runs(self):
        """Guards against a budget spent on stops that nobody confirms."""
        fleet = spread_fleet()
        fleet.evacuate("z1")
        fleet.advance(5.0)
        fleet.poll("w2")
        fleet.poll("w3")
        assert fleet.vm_planner.find_zone_moves(fleet.now) == []

    def test_checkpoint_is_kept(self):
        """Guards against a moved task that begins anew."""
        fleet = spread_fleet()
        fleet.evacuate("z1")
        runs = fleet.move_round()
        assert [run.task.checkpoint for run in runs] == ["saved"] * 2

    def test_nothing_moves_back(self):
        """Guards against tasks that are ended once more when the row is removed."""
        fleet = spread_fleet()
        fleet.evacuate("z1")
        fleet.move_round()
        fleet.evacuate()
        fleet.make_ready()
        assert fleet.move_round() == []


class TestSuccessor:
    def test_moves_of_a_former_owner_use_its_budget(self):
        """Guards against a successor that ends tasks beyond the budget.

        The former owner was killed after it had stopped two tasks, which wait.
        """
        fleet = spread_fleet()
        runs = [r for w in fleet.dispatcher.worker_by_id.values() for r in w.run_by_key]
        worker = fleet.dispatcher.worker_by_id["w0"]
        for run in list(worker.run_by_key.values()):
            fleet.end(SimpleNamespace(run=run), EndKind.STOPPED)
        assert len(runs) == 4
        fleet.evacuate("z1")
        assert fleet.vm_planner.find_zone_moves(fleet.now) == []


def make_vm_orders(fleet, may_be_replaced=False):
    """Return the sender of orders of an owner, and its session."""
    session = SimpleNamespace(
        dispatcher=fleet.dispatcher,
        clock=SimpleNamespace(now=lambda: fleet.now),
        lease=SimpleNamespace(may_be_replaced=lambda now: may_be_replaced),
        wake=asyncio.Event(),
        ports=SimpleNamespace(metrics=Metrics()),
    )
    return VmOrders(session, fleet.vm_planner, fleet.now), session


class TestOrders:
    def test_moves_are_counted_and_logged(self, caplog):
        """Guards against moves that an operator can't tell from drains of VMs."""
        caplog.set_level("INFO")
        fleet = spread_fleet()
        fleet.evacuate("z1")
        orders, session = make_vm_orders(fleet)
        orders._begin_zone_moves()
        assert session.wake.is_set()
        text = session.ports.metrics.render()[0]
        assert b"evacuation_moves 2" in text.replace(b"{}", b"")
        lines = [r for r in caplog.records if r.msg == "lasting task leaves zone"]
        assert [line.event_fields["zone"] for line in lines] == ["z1", "z1"]

    def test_no_task_is_stopped_while_the_ownership_is_in_doubt(self):
        """Guards against stops beside those of a successor, as the store is down."""
        fleet = spread_fleet()
        fleet.evacuate("z1")
        orders, _ = make_vm_orders(fleet, may_be_replaced=True)
        orders._begin_zone_moves()
        workers = fleet.dispatcher.worker_by_id.values()
        assert not any(r.is_evacuated for w in workers for r in w.run_by_key.values())


class TestSizing:
    def test_vms_outside_the_zone_come_ahead_of_the_move(self):
        """Guards against tasks that never leave, as their pool is full elsewhere."""
        fleet = MovingFleet(["z1", "z1"], n_off=6)
        fleet.add_lasting(1, 4)
        fleet.vm_planner.plan(fleet.now)
        fleet.evacuate("z1")
        fleet.advance(0.25)
        orders = fleet.vm_planner.plan(fleet.now)
        zone_by_vm = {vm.vm_id: vm.zone for vm in fleet.vms}
        assert len(orders) == 2
        assert {order.pool for order in orders} == {POOL}
        assert "z1" not in {zone_by_vm[order.vm_id] for order in orders}

    def test_no_vm_of_the_zone_moves(self):
        """Guards against VMs of the zone that join a pool as if they were of use."""
        fleet = MovingFleet(["z2"], n_off=6)
        fleet.dispatcher.add_job(make_job(steps=[make_step(100)]), fleet.now)
        fleet.start()
        fleet.evacuate("z1")
        fleet.advance(0.25)
        orders = fleet.vm_planner.plan(fleet.now)
        assert {order.vm_id for order in orders} == {"off1", "off2", "off4", "off5"}

    def test_idle_vm_of_the_zone_is_not_moved_nor_cordoned(self):
        """Guards against moves within a zone that is to be left alone."""
        fleet = MovingFleet(["z1"] * 6)
        fleet.vm_planner.mover.turns.restore({POOL: RESTING}, None, fleet.now)
        fleet.evacuate("z1")
        orders = []
        for _ in range(12):
            fleet.advance(0.25)
            fleet.list_vms()
            fleet.poll_all()
            orders += fleet.vm_planner.plan(fleet.now)
        assert orders == []

    def test_pool_counts_only_vms_outside_the_zone(self):
        """Guards against a pool that looks large enough with VMs that it can't use."""
        fleet = MovingFleet(["z1", "z1", "z2"])
        mover = fleet.vm_planner.mover
        fleet.evacuate("z1")
        assert mover._pool_views(defaultdict(PoolDemand), fleet.now)[POOL].n_vms == 1
        fleet.evacuate()
        assert mover._pool_views(defaultdict(PoolDemand), fleet.now)[POOL].n_vms == 3

    def test_vm_listed_without_a_zone_has_that_of_its_worker(self):
        """Guards against VMs that count as usable, as the list lacks their zones."""
        fleet = MovingFleet(["z1", "z2"])
        fleet.vms = [vm._replace(zone="") for vm in fleet.vms]
        fleet.list_vms()
        fleet.evacuate("z1")
        inventory = fleet.vm_planner.inventory
        assert [inventory.is_evacuated(vm) for vm in fleet.vms] == [True, False]

    def test_no_vm_comes_for_tasks_that_never_move(self):
        """Guards against VMs that wait for good for tasks whose budget is 0."""
        fleet = MovingFleet(["z1", "z1"], n_off=6)
        fleet.add_lasting(1, 4, max_away=0)
        fleet.evacuate("z1")
        assert fleet.vm_planner._zone_moves.find_leaving() == []

    def test_last_usable_worker_is_quarantined_for_a_short_time(self):
        """Guards against a pool that stands still while its only worker is blocked."""
        fleet = MovingFleet(["z1", "z1", "z2"])
        fleet.evacuate("z1")
        pool_workers = fleet.dispatcher.workers_outside_evacuations(POOL)
        (worker,) = pool_workers
        for _ in range(2):
            note_worker_failure(worker, pool_workers, fleet.now)
        quarantine_seconds = worker.quarantined_until - fleet.now
        assert quarantine_seconds <= LAST_WORKER_QUARANTINE_SECONDS
