"""Tests of workers that are listed in another pool than before."""

import asyncio

from ..ownership.state_store import StateStore
from ..ownership.worker_watch import WorkerWatch
from ..tables import ROSTER_TABLE
from .builders import POOL, make_worker
from .late_table import AsyncLateTable, make_session

OTHER_POOL = "previews"


async def enroll(watch, *listed):
    """Apply a list of workers and store the roster."""
    watch._apply_worker_list(listed, 0.0)
    await watch.roster.store()


class TestChangedPool:
    # Guards against a successor that starts tasks of a pool while a worker that has
    # joined it, but is stored in its former pool, still runs them.
    def test_a_worker_gets_no_task_in_a_pool_for_which_it_is_not_stored(self):
        async def run():
            table = AsyncLateTable()
            session = make_session(table)
            watch = WorkerWatch(session, StateStore(session), 0.0)
            await enroll(watch, make_worker("w1"))
            worker = session.dispatcher.worker_by_id["w1"]
            assert worker.is_enrolled
            moved = make_worker("w1", pool=OTHER_POOL)
            table.late.n_held = 1
            await enroll(watch, moved)
            assert not worker.is_enrolled
            await enroll(watch, moved)
            assert worker.is_enrolled
            session.cancel_all()
            rows = (await table.read_range(ROSTER_TABLE)).rows
            workers = {row.row_key.key: set(row.value["workers"]) for row in rows}
            assert workers == {POOL: set(), OTHER_POOL: {"w1"}}

        asyncio.run(run())


class TestChangedCapacity:
    def test_a_changed_capacity_writes_no_row(self):
        """Guards against reads of the list that wait for a write without an answer."""

        async def run():
            table = AsyncLateTable()
            session = make_session(table)
            watch = WorkerWatch(session, StateStore(session), 0.0)
            await enroll(watch, make_worker("w1"))
            (row,) = (await table.read_range(ROSTER_TABLE)).rows
            await enroll(watch, make_worker("w1", cores=2.0))
            session.cancel_all()
            assert session.dispatcher.worker_by_id["w1"].listed.capacity.cores == 2.0
            (later,) = (await table.read_range(ROSTER_TABLE)).rows
            assert later.version == row.version

        asyncio.run(run())

    def test_a_changed_address_is_written(self):
        """Guards against a successor that can't reach the worker."""

        async def run():
            table = AsyncLateTable()
            session = make_session(table)
            watch = WorkerWatch(session, StateStore(session), 0.0)
            await enroll(watch, make_worker("w1"))
            moved = make_worker("w1", address="h:2", cores=2.0)
            await enroll(watch, moved)
            session.cancel_all()
            (row,) = (await table.read_range(ROSTER_TABLE)).rows
            entry = row.value["workers"]["w1"]
            assert entry["address"] == "h:2"
            assert entry["capacity"] == [2.0, 256.0, 0]

        asyncio.run(run())
