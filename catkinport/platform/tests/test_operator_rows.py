"""Tests of the operator's rows, and of the status rows of waves."""

import asyncio

from ...ports import RowKey
from ...ports.table import Row
from ...standins import LateTable, MemoryTable
from ..operator_rows import (
    OPERATOR_TABLE,
    STATUS_TABLE,
    PlatformEvacuationRequests,
    PlatformMaintenanceRequests,
)

WAVE = 7


class LateAsyncTable(LateTable):
    """The same as `LateTable`, for callers that use asyncio."""

    async def commit(self, transaction):
        return super().commit(transaction)


class StatusStore:
    """A store with the status row of one wave, and daemons that report to it."""

    def __init__(self):
        self.table = LateAsyncTable(MemoryTable())

    def daemon(self):
        return PlatformMaintenanceRequests(self.table, dict)

    def report(self, daemon, is_completed):
        return asyncio.run(daemon.report(WAVE, is_completed))

    def report_until_stored(self, daemon, is_completed):
        """Repeat the report as an owner does, at most once for each daemon."""
        return any(self.report(daemon, is_completed) for _ in range(2))

    def state(self):
        row_key = RowKey(STATUS_TABLE, f"wave/{WAVE}")
        return self.table.read([row_key])[row_key].value["State"]


class TestLateReport:
    """A report without an answer may be stored after a newer one."""

    def test_late_report_does_not_replace_a_newer_one(self):
        """Guards against a completed wave that is shown as running from then on."""
        store = StatusStore()
        daemon = store.daemon()
        store.table.n_held = 1
        assert not store.report(daemon, is_completed=False)
        assert store.report(daemon, is_completed=True)
        store.table.carry_out_held()
        assert store.state() == "completed"

    def test_late_report_of_a_former_owner_does_not_replace_a_newer_one(self):
        """Guards against a former owner that undoes its successor's report."""
        store = StatusStore()
        former, successor = store.daemon(), store.daemon()
        store.table.n_held = 1
        assert not store.report(former, is_completed=False)
        assert store.report_until_stored(successor, is_completed=True)
        store.table.carry_out_held()
        assert store.state() == "completed"

    def test_late_completion_does_not_replace_a_newer_report(self):
        """Guards against a wave shown as completed while its owner says it runs."""
        store = StatusStore()
        former, successor = store.daemon(), store.daemon()
        assert store.report(former, is_completed=False)
        store.table.n_held = 1
        assert not store.report(former, is_completed=True)
        assert store.report_until_stored(successor, is_completed=False)
        store.table.carry_out_held()
        assert store.state() == "running"


class TestRepeatedReport:
    """A report that meets another version of the row is repeated on that version."""

    def test_report_is_stored_after_its_own_late_one(self):
        """Guards against a report that conflicts with its own earlier one for good."""
        store = StatusStore()
        daemon = store.daemon()
        store.table.n_held = 1
        assert not store.report(daemon, is_completed=False)
        store.table.carry_out_held()
        assert store.report_until_stored(daemon, is_completed=True)
        assert store.state() == "completed"

    def test_successor_replaces_the_report_of_a_former_owner(self):
        """Guards against an owner that can never report a wave of its predecessor."""
        store = StatusStore()
        assert store.report(store.daemon(), is_completed=False)
        assert store.report_until_stored(store.daemon(), is_completed=True)
        assert store.state() == "completed"

    def test_conflict_is_not_reported_as_stored(self):
        """Guards against an owner that takes another daemon's report for its own."""
        store = StatusStore()
        former, successor = store.daemon(), store.daemon()
        assert store.report(former, is_completed=False)
        assert not store.report(successor, is_completed=True)
        assert store.state() == "running"


class TestZoneEvacuations:
    def make_requests(self, *keys):
        rows = {key: Row(RowKey(OPERATOR_TABLE, key), 7, {}) for key in keys}
        return PlatformEvacuationRequests(lambda: rows), rows

    def test_rows_name_zones(self):
        """Guards against a zone that is missed, or taken from rows of other kinds."""
        requests, rows = self.make_requests(
            "config", "wave/1", "evacuate/chc-a", "evacuate/chc-b"
        )
        assert requests.list_zones() == {"chc-a", "chc-b"}
        del rows["evacuate/chc-a"]
        assert requests.list_zones() == {"chc-b"}

    def test_row_without_a_zone_is_logged_once(self, caplog):
        """Guards against one bad row that hides the others or fills the log."""
        requests, _ = self.make_requests(
            "evacuate/", "evacuate/" + "x" * 201, "evacuate/chc-a"
        )
        for _ in range(3):
            assert requests.list_zones() == {"chc-a"}
        lines = [r for r in caplog.records if r.msg == "zone evacuation ignored"]
        assert len(lines) == 2
