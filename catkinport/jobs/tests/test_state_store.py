"""Tests of states of jobs that are large, and of the limits of the table service."""

import asyncio
import json

import pytest

from ...ports import Reason, Unavailable
from ...ports.fleet_workers import WorkerLists
from ...ports.table import CommitOutcome, Transaction
from ..dispatch.record import JobRecord
from ..model import JobState
from ..ownership.session import OwnerSession
from ..ownership.state_sizes import encode_batch
from ..ownership.state_store import StateStore
from ..tables import state_key
from .builders import JOB_ID, make_job, make_step, make_worker
from .late_table import AsyncLateTable, make_session

MAX_ROW_BYTES = 65536
"""Largest value of a row, as the platform's documentation says."""

MAX_TRANSACTION_BYTES = 1024 * 1024
"""Largest transaction, as the platform's documentation says; values are in base64."""

SLOW_LINK_BYTES = 625_000
"""Bytes that a link of 5 Mbit/s carries in a second."""

MIN_COMMIT_SECONDS = 0.6
"""Shortest timeout of a commit."""

OTHER_ID = "00000000000000b2"
N_LARGE_TASKS = 4000


class LimitedTable(AsyncLateTable):
    """Table service that refuses rows and transactions that are too large."""

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        sizes = [count_bytes(write.value) for write in transaction.writes]
        if max(sizes) > MAX_ROW_BYTES or sum(sizes) * 4 / 3 > MAX_TRANSACTION_BYTES:
            return Unavailable(Reason.STORE_UNAVAILABLE, "table-commit", "t", "400")
        return await super().commit(transaction)


def count_bytes(value) -> int:
    return len(json.dumps(value, separators=(",", ":")))


def add_job(session: OwnerSession, job_id: str = JOB_ID, **fields) -> JobRecord:
    session.dispatcher.add_job(make_job(job_id, **fields), 100.0)
    record = session.dispatcher.job_by_id[job_id]
    record.mark_begun()
    return record


def fail_large_job(session: OwnerSession) -> JobRecord:
    """Add a job of which all tasks but one wait with a checkpoint after a failure."""
    record = add_job(session, steps=[make_step(N_LARGE_TASKS, saves_work=True)])
    first, *others = record.all_tasks()
    record.mark_done(first)
    for task in others:
        record.mark_failed(task, 11, 3)
        record.note_checkpoint(task, "00000bb87a21d94b")
    return record


def read_state(table: AsyncLateTable, job_id: str) -> dict | None:
    row = table.memory.read([state_key(job_id)]).get(state_key(job_id))
    return row.value if row else None


class TestUnlimitedFailures:
    # Guards against a row that grows with each failure of a task that is started again
    # without end, until the table service refuses it.
    @pytest.mark.parametrize(("is_lasting", "max_failures"), [(True, 3), (False, 0)])
    def test_they_do_not_make_the_row_grow(self, is_lasting, max_failures):
        record = JobRecord(make_job(steps=[make_step(1, is_lasting=is_lasting)]))
        (task,) = record.all_tasks()
        for run in range(20000):
            record.note_run(task, run)
            record.mark_failed(task, run, max_failures)
        assert record.is_dirty
        assert count_bytes(record.to_row()) < 1000


class TestLargeStates:
    # Guards against all jobs shown as running for good, because one row that the table
    # service refuses is in each transaction.
    def test_a_large_state_does_not_keep_others_from_being_stored(self):
        table = LimitedTable()
        session = make_session(table)
        fail_large_job(session)
        other = add_job(session, OTHER_ID)
        other.mark_done(next(other.all_tasks()))
        assert asyncio.run(StateStore(session)._store_dirty())
        assert read_state(table, OTHER_ID)["state"] == JobState.COMPLETED
        assert not session.dispatcher.dirty_jobs()

    # Guards against done tasks that a successor starts again.
    def test_a_large_state_keeps_its_done_tasks(self):
        table = LimitedTable()
        session = make_session(table)
        fail_large_job(session)
        assert asyncio.run(StateStore(session)._store_dirty())
        loaded = JobRecord(make_job(steps=[make_step(N_LARGE_TASKS)]), True)
        loaded.load_row(read_state(table, JOB_ID), 1)
        assert loaded.count_done((0, 0)) == 1

    # Guards against a job that is never stored because it recurs often.
    def test_the_done_occurrences_of_a_job_fit_into_its_row(self):
        table = LimitedTable()
        session = make_session(table)
        n_occurrences = 6000
        record = add_job(session, n_occurrences=n_occurrences)
        for occurrence in range(n_occurrences - 1):
            (task,) = record.tasks_by_stage[occurrence, 0]
            record.mark_done(task)
        assert asyncio.run(StateStore(session)._store_dirty())
        loaded = JobRecord(make_job(n_occurrences=n_occurrences), True)
        loaded.load_row(read_state(table, JOB_ID), 1)
        assert loaded.state is JobState.RUNNING
        assert list(loaded.ready_stages()) == [(n_occurrences - 1, 0)]

    # Guards against a batch that takes longer on a link of 5 Mbit/s than a commit may
    # take, and is sent again and again.
    def test_a_batch_arrives_in_time_on_a_slow_link(self):
        session = make_session(LimitedTable())
        for number in range(40):
            record = add_job(session, f"{number:016x}", steps=[make_step(600)])
            for task in record.all_tasks():
                record.note_checkpoint(task, "00000bb87a21d94b")
        states = encode_batch(session.dispatcher.dirty_jobs())
        seconds = sum(state.n_bytes for state in states) * 4 / 3 / SLOW_LINK_BYTES
        assert seconds < MIN_COMMIT_SECONDS

    # Guards against transactions of many states that the table service refuses.
    def test_many_states_are_stored_in_transactions_of_allowed_size(self):
        table = LimitedTable()
        session = make_session(table)
        for number in range(60):
            job_id = f"{number:016x}"
            record = add_job(session, job_id, steps=[make_step(800)])
            for task in record.all_tasks():
                record.note_checkpoint(task, "00000bb87a21d94b")
        assert asyncio.run(StateStore(session)._store_dirty())
        assert not session.dispatcher.dirty_jobs()


class TestRestartDuringACommit:
    def test_the_ends_of_the_next_incarnation_do_not_count_as_stored(self):
        """Guards against an acknowledgment of ends that are not stored.

        The worker restarts while the ends of its former incarnation are being stored.
        """
        table = AsyncLateTable()
        table.commit_seconds = 0.01
        session = make_session(table)
        add_job(session)
        now = session.clock.now()
        session.dispatcher.update_workers([make_worker()], now, now)
        worker = session.dispatcher.worker_by_id["w1"]
        worker.started_at = 1.0
        worker.processed_end = 57

        async def run():
            store = asyncio.ensure_future(StateStore(session)._store_dirty())
            await asyncio.sleep(0)
            restarted = WorkerLists(2.0, [], [])
            session.dispatcher.on_worker_report("w1", restarted, now, now)
            assert await store

        asyncio.run(run())
        assert table.n_commits == 1
        assert worker.stored_end == 0
