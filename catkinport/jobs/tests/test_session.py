"""Tests of the tasks that an owner's session runs."""

import asyncio

import pytest

from ..session import OwnerSession
from .late_table import AsyncLateTable, make_session


async def ignore_first_cancellation(steps: list[str]) -> None:
    """Go on once after a cancellation, as a wait that completes meanwhile may do."""
    try:
        await asyncio.sleep(60.0)
    except asyncio.CancelledError:
        steps.append("went on")
    await asyncio.sleep(60.0)


async def send_order(steps: list[str]) -> None:
    steps.append("sent")


async def end(session: OwnerSession) -> None:
    await session.end()


async def depose(session: OwnerSession) -> None:
    session.depose("order-fenced")


class TestEnd:
    # Guards against a replaced owner that goes on to send orders because one of its
    # loops has missed the cancellation.
    def test_waits_for_a_task_that_has_missed_its_cancellation(self):
        async def run():
            session = make_session(AsyncLateTable())
            steps: list[str] = []
            task = session.spawn(ignore_first_cancellation(steps))
            await asyncio.sleep(0)
            await asyncio.wait_for(session.end(), 5.0)
            assert task.cancelled()
            assert steps == ["went on"]

        asyncio.run(run())

    # Guards against orders that are sent in the moment between the loss of the
    # ownership and the end of the loops, or by a loop that has not ended yet.
    @pytest.mark.parametrize("stop", [end, depose])
    def test_nothing_begins_after_it(self, stop):
        async def run():
            session = make_session(AsyncLateTable())
            await stop(session)
            steps: list[str] = []
            task = session.spawn(send_order(steps))
            await asyncio.wait([task])
            assert steps == []

        asyncio.run(run())
