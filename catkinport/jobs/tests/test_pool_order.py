"""Tests of the order of jobs by the waits that the room of their pool allows."""

from ...policy.job_order import Prospect
from ...ports.fleet_vms import VmState
from ..placement import pool_order
from ..placement.pool_order import PoolOrder, PoolState
from ..placement.ready_cores import measure_work
from ..vms.coming_cores import find_coming_cores
from ..vms.order_targets import VmOrder
from .builders import POOL, Fleet, make_job, make_step, make_worker
from .vm_fleet import BOUNDS, VmFleet


def order_backlog(fleet):
    """Return the ids of twelve equal jobs and a longer one in their order."""
    for number in range(12):
        fleet.dispatcher.add_job(make_job(f"{number:016x}", [make_step(4)]), 100.0)
    steps = [make_step(4), make_step(4, after=(0,)), make_step(4, after=(1,))]
    fleet.dispatcher.add_job(make_job("f" * 16, steps), fleet.now)
    queue_of = fleet.dispatcher.queue_of
    records = fleet.dispatcher.job_by_id.values()
    items = [(record, queue_of(record)) for record in records]
    ordered = PoolOrder(fleet.dispatcher).sort(
        PoolState(POOL, 16.0, {}), items, fleet.now, fleet.now
    )
    return [record.job.job_id for record, _ in ordered]


class TestEvacuatedZones:
    def test_their_cores_shorten_no_wait(self):
        """Guards against jobs that count as on time by cores that they can't use."""
        zones = ["z1", "z2", "z2"]
        workers = [make_worker(f"w{n}", zone=zone) for n, zone in enumerate(zones)]
        order = order_backlog(Fleet(workers[:1]))
        assert order_backlog(Fleet(workers)) != order
        evacuated = Fleet(workers)
        evacuated.dispatcher.evacuated_zones.add("z2")
        assert order_backlog(evacuated) == order


class TestBacklogAfterOutage:
    def test_jobs_that_can_be_on_time_come_before_those_whose_turn_is_too_late(self):
        """Guards against a backlog in which all jobs count as on time.

        Of twelve equal jobs, each of which takes the whole pool, the first two can be
        on time. A longer job, behind them by its value, can be on time too.
        """
        fleet = Fleet([make_worker("w0")])
        for number in range(12):
            fleet.dispatcher.add_job(make_job(f"{number:016x}", [make_step(4)]), 100.0)
        steps = [make_step(4), make_step(4, after=(0,)), make_step(4, after=(1,))]
        patient = make_job("f" * 16, steps)
        fleet.dispatcher.add_job(patient, fleet.now)
        queue_of = fleet.dispatcher.queue_of
        records = fleet.dispatcher.job_by_id.values()
        items = [(record, queue_of(record)) for record in records]
        ordered = PoolOrder(fleet.dispatcher).sort(
            PoolState(POOL, 16.0, {}), items, fleet.now, fleet.now
        )
        ids = [record.job.job_id for record, _ in ordered]
        assert len(ids) == 13
        assert ids.index(patient.job_id) <= 2


class TestMoreJobsThanAreForecast:
    def test_jobs_beyond_the_bound_do_not_pass_those_before_them(self, monkeypatch):
        """Guards against jobs that count as on time as their waits are not forecast.

        Of equal jobs, those beyond the bound wait longest.
        """
        monkeypatch.setattr(pool_order, "MAX_FORECAST_JOBS", 10)
        fleet = Fleet([make_worker("w0")])
        for number in range(30):
            fleet.dispatcher.add_job(make_job(f"{number:016x}", [make_step(4)]), 100.0)
        queue_of = fleet.dispatcher.queue_of
        records = fleet.dispatcher.job_by_id.values()
        items = [(record, queue_of(record)) for record in records]
        order = PoolOrder(fleet.dispatcher)
        ordered = order.sort(PoolState(POOL, 16.0, {}), items, fleet.now, fleet.now)
        assert ordered == items
        prospects = [order.place_of(r.job.job_id).prospect for r, _ in ordered]
        assert prospects[0] is Prospect.ON_TIME
        assert prospects[9] is not Prospect.ON_TIME


class TestViewOfAnUntouchedJob:
    def test_it_has_the_figures_of_the_steps_that_are_left(self):
        """Guards against figures of new jobs that differ from those of begun ones."""
        fleet = Fleet([make_worker("w0")])
        steps = [make_step(5), make_step(3), make_step(9, after=(0, 1))]
        fleet.dispatcher.add_job(make_job(steps=steps), fleet.now)
        (record,) = fleet.dispatcher.job_by_id.values()
        queue = fleet.dispatcher.queue_of(record)
        estimates = fleet.dispatcher.estimates
        durations = estimates.durations_of(queue.name)
        for seconds in (0.4, 2.0, 1.3):
            durations.learn(1.0, seconds)
        view = estimates.view_job(record, queue)
        assert view.remaining_chain_seconds == record.remaining_chain_seconds(durations)
        assert view.remaining_core_seconds == record.remaining_core_seconds(durations)
        assert view.objective_seconds == record.objective_seconds(queue, durations)


class TestRecurringJob:
    def test_only_occurrences_that_are_due_and_wait_count(self):
        """Guards against a pool that seems short for work that is due much later."""
        fleet = Fleet([make_worker("w0")])
        job = make_job(
            steps=[make_step(2)],
            n_occurrences=100,
            first_due_at=fleet.now,
            interval_seconds=60.0,
        )
        fleet.dispatcher.add_job(job, fleet.now)
        (record,) = fleet.dispatcher.job_by_id.values()
        durations = fleet.dispatcher.estimates.durations_of(job.queue)
        assert measure_work(record, durations, fleet.now).ready_cores == 8.0
        fleet.start()
        assert measure_work(record, durations, fleet.now).ready_cores == 0.0


class TestComingCores:
    def test_a_confirmed_move_counts_until_its_worker_is_there(self):
        """Guards against jobs that count as late though VMs are on their way."""
        fleet = VmFleet(1, n_off=1)
        order = VmOrder("off0", 0, POOL)
        fleet.vm_planner.inventory.note_sent(order, fleet.now)
        assert not find_coming_cores(fleet.vm_planner.inventory, fleet.now)
        fleet.vm_planner.on_done(order, fleet.now)
        fleet.advance(0.5)
        coming = find_coming_cores(fleet.vm_planner.inventory, fleet.now)
        assert [tuple(entry) for entry in coming[POOL]] == [(BOUNDS.move - 0.5, 16.0)]
        fleet.vms[1] = fleet.vms[1]._replace(state=VmState.UP, pool=POOL)
        fleet.advance(BOUNDS.move + 2.0)
        fleet.list_vms()
        assert not find_coming_cores(fleet.vm_planner.inventory, fleet.now)

    def test_a_move_of_a_vm_in_an_evacuated_zone_does_not_count(self):
        """Guards against jobs that count as on time by a VM that they can't use."""
        fleet = VmFleet(1, n_off=1)
        order = VmOrder("off0", 0, POOL)
        fleet.vm_planner.inventory.note_sent(order, fleet.now)
        fleet.vm_planner.on_done(order, fleet.now)
        zone = fleet.vm_planner.inventory.vm_by_id["off0"].zone
        fleet.dispatcher.evacuated_zones.add(zone)
        assert not find_coming_cores(fleet.vm_planner.inventory, fleet.now)
