"""Tests of rows that only the owner writes, beside late writes and other owners."""

import asyncio

from ...ports import Unavailable
from ...ports.table import Committed, Conflict, RowKey, Write
from ..ownership.fenced_rows import MAX_CONFLICTS, FencedRows
from ..tables import HEARTBEAT_KEY, WAVES_TABLE
from .late_table import AsyncLateTable, make_session

KEY = RowKey(WAVES_TABLE, "orders")


def write(value: str) -> Write:
    return Write(KEY, {"value": value})


def read(table: AsyncLateTable, key: RowKey = KEY) -> str:
    return table.memory.read([key])[key].value["value"]


class TestFencedRows:
    # Guards against a confirmed value that a late write replaces by an older one.
    def test_a_late_write_does_not_replace_a_newer_one(self):
        table = AsyncLateTable()
        rows = FencedRows(make_session(table))
        table.late.n_held = 1
        asyncio.run(rows.commit([write("old")]))
        asyncio.run(rows.commit([write("new")]))
        table.late.carry_out_held()
        assert read(table) == "new"

    # Guards against an owner that takes its own late write for another owner's, or
    # that can never write the row again.
    def test_a_row_is_written_again_over_a_late_write(self):
        table = AsyncLateTable()
        session = make_session(table)
        rows = FencedRows(session)
        table.late.n_held = 1
        asyncio.run(rows.commit([write("old")]))
        table.late.carry_out_held()
        assert isinstance(asyncio.run(rows.commit([write("new")])), Committed)
        assert read(table) == "new"
        assert not session.deposed.is_set()

    # Guards against a removed row that a late write restores.
    def test_a_late_write_does_not_restore_a_removed_row(self):
        table = AsyncLateTable()
        rows = FencedRows(make_session(table))
        asyncio.run(rows.commit([write("first")]))
        table.late.n_held = 1
        asyncio.run(rows.commit([write("second")]))
        asyncio.run(rows.commit([Write(KEY, None)]))
        table.late.carry_out_held()
        assert KEY not in table.memory.read([KEY])
        assert isinstance(asyncio.run(rows.commit([write("third")])), Committed)

    # Guards against orders of an owner that has lost the ownership.
    def test_a_replaced_owner_writes_nothing_and_ends(self):
        table = AsyncLateTable()
        session = make_session(table)
        rows = FencedRows(session)
        asyncio.run(rows.commit([write("old")]))
        table.claim()
        assert isinstance(asyncio.run(rows.commit([write("new")])), Conflict)
        assert read(table) == "old"
        assert session.deposed.is_set()

    # Guards against a new owner that conflicts with what the former one has stored.
    def test_rows_that_were_read_are_replaced_without_a_conflict(self):
        table = AsyncLateTable()
        asyncio.run(FencedRows(make_session(table)).commit([write("old")]))
        rows = FencedRows(make_session(table))
        rows.note_read(asyncio.run(table.read_range(WAVES_TABLE)).rows)
        table.n_commits = 0
        asyncio.run(rows.commit([write("new")]))
        assert read(table) == "new"
        assert table.n_commits == 1

    # Guards against a renewal that fails because an earlier one had no answer.
    def test_a_row_without_condition_is_always_written(self):
        table = AsyncLateTable()
        rows = FencedRows(make_session(table))
        renewal = Write(HEARTBEAT_KEY, {"value": "renewed"})
        table.late.n_held = 1
        asyncio.run(rows.commit([write("old")], [renewal]))
        table.late.carry_out_held()
        asyncio.run(
            rows.commit([write("new")], [Write(HEARTBEAT_KEY, {"value": "again"})])
        )
        assert read(table, HEARTBEAT_KEY) == "again"

    # Guards against a commit that counts as not stored because it also renews the
    # ownership, in a row that tells nothing about it.
    def test_an_attempt_that_was_carried_out_late_counts_as_stored(self):
        table = AsyncLateTable()
        rows = FencedRows(make_session(table))
        renewal = Write(HEARTBEAT_KEY, {"value": "renewed"})
        table.late.n_held = 1
        table.is_carried_out_before_next = True
        outcome = asyncio.run(rows.commit([write("new")], [renewal], n_attempts=2))
        assert isinstance(outcome, Committed)
        assert table.n_commits == 2

    # Guards against a row that counts as not stored for ever, because the store carries
    # out each write and answers it too late, and only conflicts are answered in time.
    def test_a_conflict_with_a_late_write_of_the_same_value_counts_as_stored(self):
        table = AsyncLateTable()
        table.loses_answers = True
        rows = FencedRows(make_session(table))
        assert isinstance(asyncio.run(rows.commit([write("new")])), Unavailable)
        outcome = asyncio.run(rows.commit([write("new")]))
        assert isinstance(outcome, Committed)
        assert outcome.versions_by_row_key[KEY] == table.memory.read([KEY])[KEY].version

    # Guards against a renewal that counts as stored because the row written with it has
    # the same value as before.
    def test_a_renewal_is_not_taken_for_stored_by_a_row_that_is_as_before(self):
        table = AsyncLateTable()
        rows = FencedRows(make_session(table))
        table.late.n_held = 1
        table.is_carried_out_before_next = True
        renewals = [Write(HEARTBEAT_KEY, {"value": text}) for text in ("one", "two")]
        asyncio.run(rows.commit([write("new")], renewals[:1]))
        assert isinstance(
            asyncio.run(rows.commit([write("new")], renewals[1:])), Committed
        )
        assert read(table, HEARTBEAT_KEY) == "two"

    # Guards against orders of a replaced owner whose row is still as it wrote it.
    def test_a_replaced_owner_is_not_told_that_its_row_is_stored(self):
        table = AsyncLateTable()
        session = make_session(table)
        rows = FencedRows(session)
        table.late.n_held = 1
        asyncio.run(rows.commit([write("new")]))
        table.late.carry_out_held()
        table.claim()
        assert isinstance(asyncio.run(rows.commit([write("new")])), Conflict)
        assert session.deposed.is_set()

    # Guards against a commit that never returns while late writes keep coming.
    def test_a_commit_gives_up_after_some_conflicts(self):
        table = AsyncLateTable()
        session = make_session(table)
        rows = FencedRows(session)
        table.n_foreign = MAX_CONFLICTS
        table.foreign_write = write("foreign")
        assert isinstance(asyncio.run(rows.commit([write("new")])), Conflict)
        assert not session.deposed.is_set()
        assert isinstance(asyncio.run(rows.commit([write("new")])), Committed)
