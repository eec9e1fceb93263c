"""Tests that the loops of an owner end with the ownership."""

import asyncio
from types import SimpleNamespace

import pytest

from ...policy.leadership import OwnLease
from ...ports import Reason, Unavailable
from ...ports.fleet_workers import WorkerLists
from ...runtime import Metrics
from ..dispatch.dispatcher import Dispatcher
from ..ownership.owner import STOP_POLL_SECONDS, FleetOwner
from ..ownership.run_orders import RunOrders
from ..ownership.session import OwnerPorts, OwnerSession
from ..ownership.state_store import StateStore
from ..placement.round_budget import PlannedStart
from ..workers.worker_state import WorkerRecord
from .builders import make_configuration, make_job, make_worker
from .test_owner_load import FailingTable, make_owner

MAX_STEPS = 6
"""Steps of the event loop within which a woken loop has surely resumed."""


def make_session() -> OwnerSession:
    clock = SimpleNamespace(now=lambda: 100.0)
    ports = OwnerPorts(None, None, None, None, clock, Metrics())
    return OwnerSession(ports, Dispatcher(make_configuration()), OwnLease(1, 100.0))


@pytest.mark.parametrize("n_steps", range(MAX_STEPS))
class TestEndOfOwnership:
    def test_the_loop_that_plans_ends(self, n_steps):
        """Guards against a replaced owner that goes on to plan and to send orders.

        The end of the ownership may fall on any step between the wake-up of the loop
        and its resumption, and an order that is rejected for its token does both.
        """

        async def end_after_wake() -> bool:
            session = make_session()
            task = session.spawn(RunOrders(session, None).run())
            await asyncio.sleep(0.01)
            session.wake.set()
            for _ in range(n_steps):
                await asyncio.sleep(0)
            session.cancel_all()
            await asyncio.wait([task], timeout=0.5)
            return task.done()

        assert asyncio.run(end_after_wake())

    def test_the_wait_for_stored_ends_of_runs_ends(self, n_steps):
        """Guards against a replaced owner that goes on to poll workers."""

        async def end_after_store() -> bool:
            session = make_session()
            store = StateStore(session)
            worker = WorkerRecord(make_worker())
            task = session.spawn(store.wait_until_stored(worker, 1))
            await asyncio.sleep(0.01)
            worker.stored_end = 1
            await store._store_dirty()
            for _ in range(n_steps):
                await asyncio.sleep(0)
            was_done = task.done()
            session.cancel_all()
            await asyncio.wait([task], timeout=0.5)
            return was_done or task.cancelled()

        assert asyncio.run(end_after_store())


class TestPlannedStop:
    """An owner that stops while a start is under way, which will have no answer."""

    def begin(self) -> tuple[FleetOwner, PlannedStart]:
        owner = make_owner(FailingTable())
        session, dispatcher = owner._session, owner._session.dispatcher
        now = session.clock.now()
        dispatcher.update_workers([make_worker()], now, now)
        dispatcher.on_worker_report("w1", WorkerLists(1.0, [], []), now, now)
        dispatcher.worker_by_id["w1"].is_enrolled = True
        dispatcher.add_job(make_job(), now)
        (start,) = owner._run_orders._planner.plan(now, now)
        owner._run_orders._start_limit.begin()
        session.note_renewed(now)
        return owner, start

    @staticmethod
    async def wait(owner: FleetOwner) -> bool:
        """Return whether the owner is ready to end, within a few looks."""
        task = asyncio.ensure_future(owner._await_renewal())
        await asyncio.wait([task], timeout=5 * STOP_POLL_SECONDS)
        is_ready = task.done()
        task.cancel()
        return is_ready

    def test_it_waits_until_the_start_is_stored(self):
        """Guards against a late start that nothing tells the successor of."""

        async def stop() -> list[bool]:
            owner, start = self.begin()
            are_ready = [await self.wait(owner)]
            owner._run_orders._start_limit.end(0.4, False, 0.0)
            outcome = Unavailable(Reason.TIMEOUT, "worker-start", "w1", "", True)
            owner._session.dispatcher.on_start_outcome(start.run, outcome, 0.0)
            are_ready.append(await self.wait(owner))
            start.run.record.is_dirty = False
            are_ready.append(await self.wait(owner))
            return are_ready

        assert asyncio.run(stop()) == [False, False, True]

    def test_it_plans_no_other_start(self):
        """Guards against an owner that stops only once no task is left to start."""

        async def stop(is_stopping: bool) -> int:
            owner, _ = self.begin()
            if is_stopping:
                await self.wait(owner)
            dispatcher = owner._session.dispatcher
            dispatcher.add_job(make_job("00000000000000b2"), 0.0)
            owner._run_orders._plan()
            owner._session.cancel_all()
            return len(dispatcher.runs_by_task) - 1

        assert [asyncio.run(stop(False)), asyncio.run(stop(True))] == [1, 0]
