"""Tests of writes that have no answer and are carried out after newer ones."""

import asyncio

from ...ports.fleet_vms import UpkeepWave
from ..ownership.session import OwnerSession
from ..ownership.state_store import StateStore
from ..ownership.vm_order_row import COMMIT_ATTEMPTS, NO_ORDERS
from ..ownership.vm_orders import VmOrders
from ..ownership.worker_watch import WorkerWatch
from ..tables import ROSTER_TABLE, VM_ORDERS_KEY, wave_key
from ..vms.vm_inventory import VmBounds
from ..vms.vm_planner import VmPlanner
from .builders import make_worker
from .late_table import AsyncLateTable, make_session


def make_watch(session: OwnerSession) -> WorkerWatch:
    return WorkerWatch(session, StateStore(session), 0.0)


async def enroll(watch: WorkerWatch, *worker_ids: str) -> None:
    """Apply a list of workers, as each read of the list does."""
    watch._apply_worker_list([make_worker(worker_id) for worker_id in worker_ids], 0.0)
    await watch.roster.store()


async def load_roster(session: OwnerSession) -> set[str]:
    """Return the workers that a new owner waits for before it starts anything."""
    watch = make_watch(session)
    for row in (await session.table.read_range(ROSTER_TABLE)).rows:
        watch.restore_roster_row(row)
    session.cancel_all()
    return set(session.dispatcher.unresolved_by_id)


class TestRoster:
    # Guards against a successor that starts a task while a worker of the former owner,
    # missing from an out-of-date roster, still runs it.
    def test_a_late_roster_write_does_not_remove_workers_that_may_run_tasks(self):
        async def run():
            table = AsyncLateTable()
            session = make_session(table)
            watch = make_watch(session)
            table.late.n_held = 1
            await enroll(watch, "w1")
            await enroll(watch, "w1", "w2")
            table.late.carry_out_held()
            session.cancel_all()
            workers = session.dispatcher.worker_by_id.values()
            may_run = {w.worker_id for w in workers if w.is_enrolled}
            assert may_run == {"w1", "w2"}
            assert await load_roster(make_session(table)) >= may_run

        asyncio.run(run())

    # Guards against a successor that does not wait for a worker that has left the list
    # and come back while the write that removes it has no answer.
    def test_a_late_removal_does_not_remove_a_worker_that_came_back(self):
        async def run():
            table = AsyncLateTable()
            session = make_session(table)
            watch = make_watch(session)
            await enroll(watch, "w1", "w2")
            table.late.n_held = 1
            await enroll(watch, "w1")
            await enroll(watch, "w1", "w2")
            table.late.carry_out_held()
            session.cancel_all()
            worker = session.dispatcher.worker_by_id["w2"]
            assert worker.is_enrolled
            assert await load_roster(make_session(table)) == {"w1", "w2"}

        asyncio.run(run())


def make_vm_orders(session: OwnerSession) -> VmOrders:
    vm_planner = VmPlanner(session.dispatcher, VmBounds(2.0, 1.5, 3.0))
    vm_planner.add_wave(UpkeepWave(1, ("m0", "m1"), 20.0, 2), 0.0)
    return VmOrders(session, vm_planner, 0.0)


def make_value(*vm_ids: str) -> dict[str, object]:
    return {**NO_ORDERS, "vms": list(vm_ids)}


class TestVmOrders:
    # Guards against a successor that orders a VM which the former owner has just
    # ordered, because a late write took the VM out of the stored row.
    def test_a_late_write_does_not_remove_a_vm_that_was_ordered(self):
        async def run():
            table = AsyncLateTable()
            orders = make_vm_orders(make_session(table))
            table.late.n_held = COMMIT_ATTEMPTS
            assert not await orders._order_row._write(make_value(), 100.0)
            assert await orders._order_row._write(make_value("m0"), 100.0)
            table.late.carry_out_held()
            row = table.memory.read([VM_ORDERS_KEY])[VM_ORDERS_KEY]
            assert row.value["vms"] == ["m0"]

        asyncio.run(run())

    # Guards against upkeep that is ordered again, because a late write took the VM out
    # of those that have begun it.
    def test_a_late_write_does_not_remove_a_vm_whose_upkeep_has_begun(self):
        async def run():
            table = AsyncLateTable()
            orders = make_vm_orders(make_session(table))
            begun = orders._vm_planner.wave_by_number[1].begun
            table.late.n_held = COMMIT_ATTEMPTS
            begun.add("m0")
            await orders._store_begun(1)
            begun.add("m1")
            await orders._store_begun(1)
            table.late.carry_out_held()
            row = table.memory.read([wave_key(1)])[wave_key(1)]
            assert row.value["begun"] == ["m0", "m1"]

        asyncio.run(run())

    # Guards against an older list of VMs in upkeep that replaces a newer one when two
    # orders are answered at the same time.
    def test_overlapping_writes_of_a_wave_keep_every_vm(self):
        async def run():
            table = AsyncLateTable()
            orders = make_vm_orders(make_session(table))
            begun = orders._vm_planner.wave_by_number[1].begun
            begun.add("m0")
            table.commit_seconds = 0.02
            first = asyncio.ensure_future(orders._store_begun(1))
            await asyncio.sleep(0.01)
            begun.add("m1")
            table.commit_seconds = 0.0
            await asyncio.gather(first, orders._store_begun(1))
            row = table.memory.read([wave_key(1)])[wave_key(1)]
            assert row.value["begun"] == ["m0", "m1"]

        asyncio.run(run())
