"""Tests of the evacuation of availability zones."""

import asyncio
from types import SimpleNamespace

import pytest

from ...ports.fleet_workers import Done
from ...runtime import Metrics
from ..ownership.owner import FleetOwner
from ..ownership.ownership_watch import Claim
from ..ownership.run_orders import RunOrders
from ..ownership.session import OwnerPorts
from ..vms.vm_inventory import VmInventory
from ..vms.zone_evacuations import POOL_LOG_SECONDS, ZoneEvacuations
from .builders import POOL, Fleet, make_configuration, make_job, make_step, make_worker
from .test_run_orders import UNCERTAIN, FakeSession, FakeWatch
from .vm_fleet import BOUNDS, CAPACITY

ZONES = ("z1", "z2", "z3")


class FakeRequests:
    """The operator's requests, which the test changes."""

    def __init__(self, *zones):
        self.zones = set(zones)

    def list_zones(self):
        return frozenset(self.zones)


class ZoneFleet(Fleet):
    """A fleet of a worker in each zone, with the requests of the operator."""

    def __init__(self, *zones, **fields):
        super().__init__([make_worker(f"w-{z}", zone=z, **fields) for z in ZONES])
        self.requests = FakeRequests(*zones)
        self.metrics = Metrics()
        inventory = VmInventory(self.dispatcher, BOUNDS)
        self.evacuations = ZoneEvacuations(
            self.dispatcher, inventory, self.requests, self.metrics
        )
        self.evacuations.update(self.now)

    def evacuate(self, *zones):
        self.requests.zones = set(zones)
        self.evacuations.update(self.now)

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.25)):
            self.advance(0.25)
            self.list_workers()
            self.evacuations.update(self.now)

    def add(self, number=1, **fields):
        job = make_job(f"{number:016x}", steps=[make_step(**fields)])
        self.dispatcher.add_job(job, self.now)

    def start_zones(self):
        return {start.worker.listed.zone for start in self.start()}

    def read_gauge(self, name):
        text = self.metrics.render()[0].decode()
        values = [
            line.split()[-1] for line in text.splitlines() if line.startswith(name)
        ]
        return float(values[-1])


@pytest.fixture
def log(caplog):
    caplog.set_level("INFO")
    return caplog


def read_lines(log, event):
    return [r.event_fields for r in log.records if r.getMessage() == event]


class TestStarts:
    def test_nothing_starts_in_an_evacuated_zone(self):
        """Guards against tasks that start in a zone that is about to fail."""
        fleet = ZoneFleet("z1")
        fleet.add(n_tasks=100)
        assert fleet.start_zones() == {"z2", "z3"}

    def test_two_evacuations_add_up(self):
        """Guards against a second evacuation that ends the first one."""
        fleet = ZoneFleet("z1")
        fleet.evacuate("z1", "z2")
        fleet.add(n_tasks=100)
        assert fleet.start_zones() == {"z3"}
        assert fleet.read_gauge("evacuated_zones") == 2

    def test_workers_are_usable_once_the_row_is_removed(self):
        """Guards against a zone that stays empty after its evacuation."""
        fleet = ZoneFleet(*ZONES)
        fleet.add(n_tasks=100)
        assert fleet.start_zones() == set()
        fleet.evacuate()
        assert fleet.start_zones() == set(ZONES)

    @pytest.mark.parametrize(
        "fields",
        [{"is_lasting": True}, {"is_gang": True}, {"may_run_twice": True}],
        ids=lambda fields: next(iter(fields)),
    )
    def test_no_kind_of_task_starts_there(self, fields):
        """Guards against a gang, a copy or a lasting task that starts all the same."""
        fleet = ZoneFleet("z1", "z2")
        fleet.add(n_tasks=4, **fields)
        assert fleet.start_zones() == {"z3"}

    def test_quarantined_worker_gets_no_lasting_task(self):
        """Guards against a last resort in an evacuated zone."""
        fleet = ZoneFleet(*ZONES)
        for worker in fleet.dispatcher.worker_by_id.values():
            worker.quarantined_until = fleet.now + 9.0
        fleet.add(is_lasting=True)
        assert fleet.plan() == []

    def test_copy_of_an_unanswered_start_stays_out(self):
        """Guards against a copy in the zone of a task whose start had no answer."""
        fleet = ZoneFleet("z1", "z2")
        fleet.add(may_run_twice=True)
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN)
        fleet.evacuate(*ZONES)
        fleet.pass_time(1.0)
        assert fleet.plan() == []
        fleet.evacuate("z3")
        assert fleet.start_zones() < {"z1", "z2"}

    def test_no_worker_of_the_zone_stays_reserved(self):
        """Guards against a lasting task that waits for a worker that it may not use."""
        fleet = ZoneFleet()
        fleet.add(n_tasks=3, need=CAPACITY._replace(cores=10.0))
        assert fleet.start_zones() == set(ZONES)
        fleet.add(2, need=CAPACITY, is_lasting=True)
        for _ in range(2):
            fleet.plan()
            (reservation,) = fleet.planner._reservations._reservation_by_task.values()
            zone = fleet.dispatcher.worker_by_id[reservation.worker_id].listed.zone
            assert not fleet.dispatcher.is_evacuated(zone)
            fleet.evacuate(zone)
            fleet.pass_time(0.25)

    def test_worker_that_appears_later_gets_no_task(self):
        """Guards against workers that start in the zone after the request."""
        fleet = ZoneFleet("z9")
        fleet.workers = [make_worker("late", zone="z9")]
        fleet.running_by_worker = {"late": {}}
        fleet.ended_by_worker = {"late": []}
        fleet.list_workers()
        fleet.add()
        assert fleet.plan() == []

    def test_zones_without_rows_start_as_before(self):
        """Guards against a change for deployments that never evacuate a zone."""
        fleet = ZoneFleet()
        fleet.add(n_tasks=100)
        assert fleet.start_zones() == set(ZONES)
        assert "evacuated_zones" not in fleet.metrics.render()[0].decode()


class TestUnsentStarts:
    def make_orders(self, fleet):
        session = FakeSession(fleet, lambda: None)
        session.ports = SimpleNamespace(workers=session, metrics=fleet.metrics)
        return session, RunOrders(session, FakeWatch(), evacuations=fleet.evacuations)

    def test_start_that_was_decided_before_the_request_is_dropped(self):
        """Guards against a start that follows the evacuation, decided before it."""
        fleet = ZoneFleet("z2", "z3")
        fleet.add()
        (start,) = fleet.plan()
        session, orders = self.make_orders(fleet)
        fleet.requests.zones = set(ZONES)
        asyncio.run(orders._send_start(start))
        assert session.n_starts == 0

    def test_its_task_starts_elsewhere(self):
        """Guards against a task that waits for the answer to a start never sent."""
        fleet = ZoneFleet("z2", "z3")
        fleet.add()
        (start,) = fleet.plan()
        _, orders = self.make_orders(fleet)
        fleet.requests.zones = {"z1", "z2"}
        asyncio.run(orders._send_start(start))
        assert fleet.start_zones() == {"z3"}

    def test_round_of_planning_reads_the_requests_first(self):
        """Guards against a successor that starts tasks before it reads the requests."""
        fleet = ZoneFleet()
        fleet.add(n_tasks=4)
        session, orders = self.make_orders(fleet)
        session.store_wake = asyncio.Event()
        session.spawn = asyncio.ensure_future
        session.lease = SimpleNamespace(
            token=1, renewed_at=fleet.now, may_be_replaced=lambda now: False
        )
        fleet.requests.zones = set(ZONES)

        async def plan():
            orders._plan()

        asyncio.run(plan())
        assert not any(w.run_by_key for w in fleet.dispatcher.worker_by_id.values())


class TestReports:
    def test_unknown_zone_is_ignored_once_and_has_no_effect(self, log):
        """Guards against a misspelt zone of which nobody is told."""
        fleet = ZoneFleet("z9")
        fleet.pass_time(10.0)
        (line,) = read_lines(log, "zone evacuation ignored")
        assert line["zone"] == "z9"
        assert read_lines(log, "zone evacuation begins") == []
        assert fleet.read_gauge("evacuated_zones") == 0
        fleet.add(n_tasks=100)
        assert fleet.start_zones() == set(ZONES)

    def test_begin_and_end_are_logged_once(self, log):
        """Guards against an evacuation whose progress nobody can follow."""
        fleet = ZoneFleet()
        fleet.add(n_tasks=12, is_lasting=True)
        fleet.start()
        fleet.evacuate("z1")
        fleet.pass_time(5.0)
        (line,) = read_lines(log, "zone evacuation begins")
        assert (line["zone"], line["n_workers"], line["n_lasting"]) == ("z1", 1, 4)
        assert fleet.read_gauge("lasting_tasks_in_evacuated_zones") == 4
        fleet.evacuate()
        (line,) = read_lines(log, "zone evacuation ends")
        assert (line["zone"], line["seconds"]) == ("z1", 5)
        assert fleet.read_gauge("evacuated_zones") == 0
        assert fleet.read_gauge("lasting_tasks_in_evacuated_zones") == 0

    def test_pool_within_the_zone_is_named_at_once_and_every_ten_seconds(self, log):
        """Guards against a pool that stands still without a warning."""
        fleet = ZoneFleet(*ZONES)
        event = "pool without workers outside evacuated zones"
        (line,) = read_lines(log, event)
        assert line["pool"] == POOL
        fleet.pass_time(POOL_LOG_SECONDS + 0.5)
        assert len(read_lines(log, event)) == 2

    def test_gauges_are_cleared_at_the_end_of_the_ownership(self):
        """Guards against a former owner that reports an evacuation for good."""
        fleet = ZoneFleet("z1")
        fleet.evacuations.clear()
        assert fleet.read_gauge("evacuated_zones") == 0
        # Loops of the owner that end later must not use the zone.
        assert fleet.dispatcher.is_evacuated("z1")


class TestAnswerAfterEvacuation:
    def test_run_that_has_started_runs_to_its_end(self):
        """Guards against short tasks that are ended by the evacuation."""
        fleet = ZoneFleet("z2", "z3")
        fleet.add()
        (start,) = fleet.plan()
        fleet.evacuate("z1")
        fleet.answer(start, Done())
        fleet.pass_time(0.5)
        assert start.run.key in fleet.dispatcher.worker_by_id["w-z1"].run_by_key


class TestSuccessor:
    def test_loops_begin_with_the_zones_applied(self):
        """Guards against a successor that plans before it knows of the evacuation."""
        clock = SimpleNamespace(now=lambda: 100.0)
        requests = FakeRequests("z1")
        ports = OwnerPorts(None, None, None, None, clock, Metrics(), requests)
        claim = Claim(1, 100.0, None, False)
        owner = FleetOwner(ports, make_configuration(), claim, BOUNDS, 10.0)
        zones_at_spawn = []

        def spawn(coroutine):
            coroutine.close()
            zones_at_spawn.append(set(owner._session.dispatcher.evacuated_zones))

        async def load():
            return True

        owner._session.spawn = spawn
        owner._load = load
        asyncio.run(owner._load_and_run())
        assert zones_at_spawn == [{"z1"}] * len(zones_at_spawn) != []
