"""Tests of how the rows of zone evacuations reach a daemon."""

import asyncio

from ...jobs.configuration_watch import ConfigurationWatch
from ...ports import ManualClock, Reason, Unavailable
from ...ports.async_table import Changes, HistoryLost, Snapshot
from ...ports.table import Row, RowKey
from ..operator_rows import OPERATOR_TABLE, PlatformEvacuationRequests

DOWN = Unavailable(Reason.STORE_UNAVAILABLE, "table-follow", "store")


class ScriptedTable:
    """A store that gives the outcomes of a list, one for each call."""

    def __init__(self, outcomes):
        self._outcomes = list(outcomes)

    async def read_range(self, table):
        return self._outcomes.pop(0)

    async def follow(self, table, after_version, wait_seconds):
        return self._outcomes.pop(0)


def make_row(zone, version, is_removed=False):
    return Row(
        RowKey(OPERATOR_TABLE, f"evacuate/{zone}"), version, None if is_removed else {}
    )


def follow(*outcomes):
    """Return the zones that a daemon knows after each outcome."""
    watch = ConfigurationWatch(
        ScriptedTable(outcomes), ManualClock(), OPERATOR_TABLE, "config", dict
    )
    requests = PlatformEvacuationRequests(lambda: watch.row_by_key)
    zones = []
    for _ in outcomes:
        asyncio.run(watch._poll())
        zones.append(set(requests.list_zones()))
    return zones


class TestFeed:
    def test_rows_come_and_go(self):
        """Guards against a request, or its end, that no owner learns of."""
        assert follow(
            Snapshot([make_row("z1", 1)], 1),
            Changes([make_row("z2", 2)], 2),
            Changes([make_row("z1", 3, is_removed=True)], 3),
        ) == [{"z1"}, {"z1", "z2"}, {"z2"}]

    def test_row_that_is_written_while_the_history_is_lost_is_read(self):
        """Guards against a request that falls into a gap of the feed."""
        assert follow(
            Snapshot([make_row("z1", 1)], 1),
            HistoryLost(),
            Snapshot([make_row("z1", 1), make_row("z2", 5)], 5),
        ) == [{"z1"}, {"z1"}, {"z1", "z2"}]

    def test_row_that_is_removed_while_the_history_is_lost_ends(self):
        """Guards against a zone that stays empty, as its end was missed."""
        assert follow(
            Snapshot([make_row("z1", 1)], 1), HistoryLost(), Snapshot([], 5)
        ) == [{"z1"}, {"z1"}, set()]

    def test_zones_stay_evacuated_while_the_store_is_down(self):
        """Guards against starts in the zone because the request can't be read."""
        assert follow(
            Snapshot([make_row("z1", 1)], 1),
            DOWN,
            DOWN,
            Changes([make_row("z2", 2)], 2),
        ) == [{"z1"}, {"z1"}, {"z1"}, {"z1", "z2"}]
