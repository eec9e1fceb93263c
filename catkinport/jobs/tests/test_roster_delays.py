"""Tests of what is logged and measured while workers wait for their enrolment."""

import asyncio
import logging

from ...ports import Reason, Unavailable
from ..ownership.roster_delays import REPEAT_SECONDS
from ..ownership.roster_store import RosterStore
from .builders import make_worker
from .late_table import AsyncLateTable, make_session


class RefusingTable(AsyncLateTable):
    """A table that refuses commits while ``is_refusing``."""

    is_refusing = True

    async def commit(self, transaction):
        if not self.is_refusing:
            return await super().commit(transaction)
        reason, detail = Reason.STORE_UNAVAILABLE, "status 400"
        return Unavailable(reason, "table-commit", "store:1", detail)


def make_store(table):
    """Return the store of the roster of an owner that has listed one worker."""
    session = make_session(table)
    session.dispatcher.update_workers([make_worker("w1")], 0.0, 0.0)
    return session, RosterStore(session)


class TestRosterDelays:
    # Guards against workers that get no tasks while no line at the level of warnings
    # says why: the users' records leave out the others.
    def test_a_refusal_is_a_warning_with_its_detail(self, caplog):
        session, roster = make_store(RefusingTable())
        asyncio.run(roster.store())
        (record,) = [r for r in caplog.records if r.levelno == logging.WARNING]
        assert record.getMessage() == "roster not stored"
        assert record.event_fields["detail"] == "status 400"
        assert record.event_fields["may_be_stored"] is False

    # Guards against a flood of lines while the store refuses each attempt.
    def test_the_warning_is_repeated_at_intervals(self, caplog):
        session, roster = make_store(RefusingTable())
        for _ in range(3):
            asyncio.run(roster.store())
        assert len(caplog.records) == 1
        session.clock.advance(REPEAT_SECONDS)
        asyncio.run(roster.store())
        assert caplog.records[-1].event_fields["n_failures"] == 4
        assert caplog.records[-1].event_fields["seconds"] == REPEAT_SECONDS

    def test_the_end_of_the_failures_is_logged(self, caplog):
        table = RefusingTable()
        session, roster = make_store(table)
        asyncio.run(roster.store())
        session.clock.advance(2.0)
        table.is_refusing = False
        asyncio.run(roster.store())
        assert caplog.records[-1].getMessage() == "roster stored after failures"
        assert caplog.records[-1].event_fields["seconds"] == 2.0

    # Guards against a line for each row that is stored beside one that is refused.
    def test_failures_of_a_moment_are_logged_once(self, caplog):
        table = RefusingTable()
        session, roster = make_store(table)
        asyncio.run(roster.store())
        table.is_refusing = False
        asyncio.run(roster.store())
        assert [r.getMessage() for r in caplog.records] == ["roster not stored"]

    # Guards against workers without tasks that no metric shows.
    def test_waiting_workers_are_measured(self):
        table = RefusingTable()
        session, roster = make_store(table)
        asyncio.run(roster.store())
        session.clock.advance(7.0)
        asyncio.run(roster.store())
        content = session.ports.metrics.render()[0].decode()
        assert "workers_not_enrolled 1" in content
        assert "oldest_not_enrolled_seconds 7.0" in content
        table.is_refusing = False
        asyncio.run(roster.store())
        content = session.ports.metrics.render()[0].decode()
        assert "workers_not_enrolled 0" in content
