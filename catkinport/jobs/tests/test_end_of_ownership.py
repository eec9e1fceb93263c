"""Tests that the loops of an owner end with the ownership."""

import asyncio
from types import SimpleNamespace

import pytest

from ...policy.leadership import OwnLease
from ...runtime import Metrics
from ..dispatch.dispatcher import Dispatcher
from ..ownership.run_orders import RunOrders
from ..ownership.session import OwnerPorts, OwnerSession
from ..ownership.state_store import StateStore
from ..workers.worker_state import WorkerRecord
from .builders import make_configuration, make_worker

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
