"""Tests that a restart brings back no worker that has left and no withdrawn key."""

import asyncio

from ...policy.leadership import OwnLease
from ...ports.async_table import Changes, HistoryLost, Snapshot
from ...ports.clock import ManualClock
from ...ports.fleet_workers import WorkerLists
from ...ports.table import Row, RowKey
from ..configuration_watch import ConfigurationWatch
from ..ownership.worker_watch import WorkerWatch
from ..tables import roster_key
from .builders import POOL, Fleet, make_configuration, make_job, make_worker
from .late_table import AsyncLateTable, make_session

KEY = RowKey("op", "config")
ROSTER_ENTRY = {
    "vm": "m0",
    "address": "h:1",
    "zone": "z",
    "capacity": [16.0, 256.0, 0],
    "labels": ["a", "r1"],
}


class TestWorkerThatHasLeft:
    def test_it_gets_no_tasks_from_an_owner_that_knows_it_from_the_roster(self):
        """Guards against a server that is in use again after its owner restarted.

        It has left the list of workers, but its process still answers polls.
        """
        session = make_session(AsyncLateTable())
        fleet = Fleet([make_worker("w1")])
        session.dispatcher = fleet.dispatcher
        session.lease = OwnLease(1, fleet.now)
        watch = WorkerWatch(session, None, 0.0)
        watch._start_polling = lambda worker_id: None
        entries = {"w1": ROSTER_ENTRY, "gone": ROSTER_ENTRY}
        watch.restore_roster_row(Row(roster_key(POOL), 1, {"workers": entries}))
        fleet.list_workers()
        answer = WorkerLists(1.0, [], [])
        fleet.dispatcher.on_worker_report("gone", answer, fleet.now, fleet.now)
        for number in range(8):
            fleet.dispatcher.add_job(make_job(f"{number:016x}"), fleet.now)
        starts = fleet.plan()
        assert starts
        assert {start.worker.worker_id for start in starts} == {"w1"}


class ReplicaTable:
    """Table whose feed loses its history; it is then read from an older state."""

    def __init__(self, versions: list[int]) -> None:
        self._versions = versions

    async def read_range(self, table: str):
        version = self._versions.pop(0)
        return Snapshot([Row(KEY, version, {"version": version})], version)

    async def follow(self, table: str, after_version: int, wait_seconds: float):
        return HistoryLost() if self._versions else Changes([], after_version)


def decode(value):
    """Return a configuration in which version 1 has a key that version 2 lacks."""
    configuration = make_configuration(version=value["version"])
    if value["version"] == 1:
        return configuration
    return configuration._replace(account_name_by_key={})


class TestWithdrawnKey:
    def test_an_older_configuration_does_not_bring_it_back(self):
        """Guards against a key that is in use again after the store has restarted."""

        async def follow():
            table = ReplicaTable([2, 1])
            watch = ConfigurationWatch(table, ManualClock(), "op", KEY.key, decode)
            for _ in range(4):
                await watch._poll()
            return watch.current

        current = asyncio.run(follow())
        assert current.version == 2
        assert current.account_name_by_key == {}

    def test_a_daemon_knows_no_key_before_it_has_read_the_configuration(self):
        """Guards against answers by what a former process of the daemon knew."""
        watch = ConfigurationWatch(None, ManualClock(), "op", KEY.key, decode)
        assert watch.current is None
        assert watch.age_seconds() == float("inf")
