"""Tests of workers that are listed in another pool than before."""

import asyncio

from ..state_store import StateStore
from ..tables import ROSTER_TABLE
from ..worker_watch import WorkerWatch
from .builders import POOL, make_worker
from .late_table import AsyncLateTable, make_session

OTHER_POOL = "previews"


class TestChangedPool:
    # Guards against a successor that starts tasks of a pool while a worker that has
    # joined it, but is stored in its former pool, still runs them.
    def test_a_worker_gets_no_task_in_a_pool_for_which_it_is_not_stored(self):
        async def run():
            table = AsyncLateTable()
            session = make_session(table)
            watch = WorkerWatch(session, StateStore(session), 0.0)
            await watch._apply_worker_list([make_worker("w1")], 0.0)
            worker = session.dispatcher.worker_by_id["w1"]
            assert worker.is_enrolled
            moved = make_worker("w1", pool=OTHER_POOL)
            table.late.n_held = 1
            await watch._apply_worker_list([moved], 0.0)
            assert not worker.is_enrolled
            await watch._apply_worker_list([moved], 0.0)
            assert worker.is_enrolled
            session.cancel_all()
            rows = (await table.read_range(ROSTER_TABLE)).rows
            workers = {row.row_key.key: set(row.value["workers"]) for row in rows}
            assert workers == {POOL: set(), OTHER_POOL: {"w1"}}

        asyncio.run(run())
