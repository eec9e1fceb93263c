"""Tests of writes that have no answer and are carried out after newer ones."""

import asyncio

from ...policy.leadership import OwnLease
from ...ports import Reason, Unavailable
from ...ports.clock import ManualClock
from ...runtime import Metrics
from ..dispatcher import Dispatcher
from ..session import OwnerPorts, OwnerSession
from ..state_store import StateStore
from ..tables import ROSTER_TABLE
from ..worker_watch import WorkerWatch
from .builders import make_configuration, make_worker
from .late_table import LateTable


class SilentWorkers:
    """Workers that answer no poll."""

    async def renew_lease(self, worker, *_):
        return Unavailable(Reason.TIMEOUT, "worker-hold", worker.worker_id)


def make_session(table: LateTable) -> OwnerSession:
    """Return the session of a daemon that has just claimed the ownership."""
    ports = OwnerPorts(
        table, SilentWorkers(), None, None, ManualClock(100.0), Metrics()
    )
    dispatcher = Dispatcher(make_configuration())
    return OwnerSession(ports, dispatcher, OwnLease(table.claim(), 100.0))


def make_watch(session: OwnerSession) -> WorkerWatch:
    return WorkerWatch(session, StateStore(session), 0.0)


async def enroll(watch: WorkerWatch, *worker_ids: str) -> None:
    """Apply a list of workers, as each read of the list does."""
    await watch._apply_worker_list([make_worker(worker_id) for worker_id in worker_ids])


async def load_roster(session: OwnerSession) -> set[str]:
    """Return the workers that a new owner waits for before it starts anything."""
    watch = make_watch(session)
    for row in (await session.table.read_range(ROSTER_TABLE)).rows:
        watch.restore_roster_row(row, 0.0)
    session.cancel_all()
    return set(session.dispatcher.unresolved_by_id)


class TestRoster:
    # Guards against a successor that starts a task while a worker of the former owner,
    # missing from an out-of-date roster, still runs it.
    def test_a_late_roster_write_does_not_remove_workers_that_may_run_tasks(self):
        async def run():
            table = LateTable()
            session = make_session(table)
            watch = make_watch(session)
            table.n_lost = 1
            await enroll(watch, "w1")
            await enroll(watch, "w1", "w2")
            table.carry_out_held()
            session.cancel_all()
            workers = session.dispatcher.worker_by_id.values()
            may_run = {w.worker_id for w in workers if w.is_enrolled}
            assert may_run == {"w1", "w2"}
            assert await load_roster(make_session(table)) >= may_run

        asyncio.run(run())

    # Guards against the same after a worker has left the list and come back while the
    # write that removes it has no answer.
    def test_a_late_removal_does_not_remove_a_worker_that_came_back(self):
        async def run():
            table = LateTable()
            session = make_session(table)
            watch = make_watch(session)
            await enroll(watch, "w1", "w2")
            table.n_lost = 1
            await enroll(watch, "w1")
            await enroll(watch, "w1", "w2")
            table.carry_out_held()
            session.cancel_all()
            worker = session.dispatcher.worker_by_id["w2"]
            assert worker.is_enrolled
            assert await load_roster(make_session(table)) == {"w1", "w2"}

        asyncio.run(run())
