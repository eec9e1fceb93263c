"""Tests of the list of workers, and of entries in it that can't be read."""

from ...ports.table import Row, RowKey
from ..worker_entries import WorkerEntries

MALFORMED = Row(RowKey("servers", "i-1"), 7, {"Service": 3})


def count_logged(caplog):
    return sum("worker entry ignored" in record.message for record in caplog.records)


class TestMalformedEntry:
    def test_each_version_is_logged_once(self, caplog):
        """Guards against a line for each read of the list."""
        entries = WorkerEntries()
        for row in (MALFORMED, MALFORMED, MALFORMED._replace(version=8)):
            assert entries.update([row]) == []
        assert count_logged(caplog) == 2

    def test_it_is_forgotten_with_its_row(self, caplog):
        """Guards against memory that grows with each id of a worker."""
        entries = WorkerEntries()
        for rows in ([MALFORMED], [], [MALFORMED]):
            entries.update(rows)
        assert entries.workers == []
        assert count_logged(caplog) == 2
