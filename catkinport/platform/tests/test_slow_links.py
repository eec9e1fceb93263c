"""Tests of reads whose answers take long to arrive on a slow link."""

import asyncio
import logging
from collections.abc import Mapping
from typing import Any

from ...jobs.configuration_watch import ConfigurationWatch
from ...jobs.tables import JOBS_TABLE
from ...ports import Reason, Unavailable
from ...runtime import BootTimeClock, Metrics
from ..client import STALL_SECONDS, PlatformClient
from ..operator_rows import CONFIGURATION_KEY, OPERATOR_TABLE, decode_configuration
from ..table import MAX_TABLE_CONNECTIONS, MIN_COMMIT_TIMEOUT_SECONDS, PlatformTable
from .slow_store import SlowStore


def configuration_row(n_queues: int, version: int = 7) -> Mapping[str, Any]:
    queues = [
        {"Name": f"q{i}", "Host": "h", "PathPrefix": f"/q{i}/", "Service": "p"}
        for i in range(n_queues)
    ]
    return {"Version": version, "Routes": queues, "Services": [{"Name": "p"}]}


class SlowLink:
    """Client of a slow store, open within an ``async with`` block."""

    def __init__(self, store: SlowStore) -> None:
        self.store = store
        self.metrics = Metrics()
        self.clock = BootTimeClock()

    async def __aenter__(self) -> "SlowLink":
        await self.store.__aenter__()
        self.client = PlatformClient(self.metrics, MAX_TABLE_CONNECTIONS)
        await self.client.open()
        self.table = PlatformTable(self.client, self.store.address)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.client.close()
        await self.store.__aexit__(*error)

    async def follow_for(self, seconds: float) -> ConfigurationWatch:
        """Follow the configuration for a while; return the watch as it is then."""
        watch = ConfigurationWatch(
            self.table,
            self.clock,
            OPERATOR_TABLE,
            CONFIGURATION_KEY,
            decode_configuration,
        )
        following = asyncio.ensure_future(watch.run())
        await asyncio.sleep(seconds)
        following.cancel()
        return watch


SLOW_BYTES_PER_SECOND = 25_000
"""Rate at which the configuration of `MANY_QUEUES` takes over 2 s to arrive, longer
than a read or a call of the change feed may wait for the beginning of its answer."""

MANY_QUEUES = 650

LONGEST_AGE_SECONDS = 4.6
"""Age of the configuration from which on calls with a key are answered 503, where a
withdrawn key has to stop within 5 s."""


class TestConfigurationOnSlowLink:
    """The row of the configuration takes longer to arrive than a call may wait."""

    def test_a_daemon_that_starts_gets_the_configuration(self):
        """Guards against reads that are cut off and begin anew without end."""

        async def run() -> None:
            rows = {CONFIGURATION_KEY: configuration_row(MANY_QUEUES)}
            async with SlowLink(SlowStore(rows, 3, SLOW_BYTES_PER_SECOND)) as link:
                watch = await link.follow_for(5.0)
            assert watch.current is not None
            assert watch.age_seconds() < LONGEST_AGE_SECONDS

        asyncio.run(run())

    def test_a_configuration_that_grows_is_applied_by_a_running_daemon(self):
        """Guards against answers to calls with a key that are 503 from then on."""

        async def run() -> None:
            store = SlowStore(
                {CONFIGURATION_KEY: configuration_row(1)}, 3, SLOW_BYTES_PER_SECOND
            )
            async with SlowLink(store) as link:
                following = asyncio.ensure_future(link.follow_for(6.0))
                await asyncio.sleep(0.5)
                store.replace({CONFIGURATION_KEY: configuration_row(MANY_QUEUES, 8)})
                watch = await following
            assert watch.current is not None
            assert len(watch.current.queue_by_name) == MANY_QUEUES
            assert watch.age_seconds() < LONGEST_AGE_SECONDS

        asyncio.run(run())


class TestJobsOnSlowLink:
    """The table of jobs lies in 16 parts of the store, which are read one by one."""

    def test_a_new_owner_gets_all_jobs(self):
        """Guards against reads that time out while they wait for a connection."""

        async def run() -> Any:
            rows = {f"{i:016x}": {"state": "x" * 400} for i in range(40)}
            async with SlowLink(SlowStore(rows, 3, 15_000)) as link:
                return await link.table.read_range(JOBS_TABLE)

        outcome = asyncio.run(run())
        assert not isinstance(outcome, Unavailable), outcome
        assert len(outcome.rows) == 16 * 40

    def test_the_configuration_is_followed_while_a_new_owner_reads_jobs(self):
        """Guards against a configuration that counts as stale behind other reads."""

        async def run() -> float:
            rows = {f"{i:016x}": {"state": "x" * 400} for i in range(40)}
            rows[CONFIGURATION_KEY] = configuration_row(1)
            async with SlowLink(SlowStore(rows, 3, 15_000)) as link:
                reads = asyncio.ensure_future(link.table.read_range(JOBS_TABLE))
                await asyncio.sleep(0.1)
                watch = await link.follow_for(3.0)
                age_seconds = watch.age_seconds()
                reads.cancel()
                return age_seconds

        assert asyncio.run(run()) < LONGEST_AGE_SECONDS

    def test_a_new_owner_gets_all_jobs_over_a_link_that_its_reads_fill(self):
        """Guards against parts whose answers wait behind those of all others.

        The reads of all parts were repeated then, again all at once.
        """

        async def run() -> Any:
            rows = {f"{i:016x}": {"state": "x" * 4000} for i in range(25)}
            store = SlowStore(rows, 3, 600_000, is_link_shared=True)
            async with SlowLink(store) as link:
                return await link.table.read_range(JOBS_TABLE)

        outcome = asyncio.run(run())
        assert not isinstance(outcome, Unavailable), outcome
        assert len(outcome.rows) == 16 * 25

    def test_a_part_whose_answer_is_lost_is_read_again_by_itself(self):
        """Guards against a load that begins anew for each lost answer."""

        async def run() -> tuple[Any, int]:
            rows = {f"{i:016x}": {"state": "x"} for i in range(2)}
            async with SlowLink(SlowStore(rows, 3, 1e6)) as link:
                link.store.n_lost_answers = 2
                outcome = await link.table.read_range(JOBS_TABLE)
                return outcome, link.store.n_calls

        outcome, n_calls = asyncio.run(run())
        assert not isinstance(outcome, Unavailable), outcome
        assert len(outcome.rows) == 16 * 2
        assert n_calls == 16 + 2


class TestCommitTimeout:
    def test_it_does_not_grow_with_the_size_of_rows_that_are_read(self):
        """Guards against an owner that waits longer for lost answers.

        Its lease would end meanwhile. Only a slow store is a reason to wait longer.
        """

        async def run() -> float:
            rows = {CONFIGURATION_KEY: configuration_row(MANY_QUEUES)}
            async with SlowLink(SlowStore(rows, 3, SLOW_BYTES_PER_SECOND)) as link:
                await link.table.read_range(OPERATOR_TABLE)
                return link.table._commit_timeout.seconds

        assert asyncio.run(run()) == MIN_COMMIT_TIMEOUT_SECONDS


class TestLogs:
    """A stalled transfer, a refused connection and a silent store look different."""

    def _lose_contact(self, caplog, seconds: float) -> list[dict[str, Any]]:
        async def run() -> None:
            rows = {CONFIGURATION_KEY: configuration_row(200)}
            store = SlowStore(rows, 3, 1e6, bytes_until_stall=10_000)
            async with SlowLink(store) as link:
                await link.follow_for(seconds)

        caplog.set_level(logging.INFO)
        asyncio.run(run())
        return [record.event_fields for record in caplog.records]

    def test_a_lost_contact_is_logged_with_its_reason_and_the_bytes_received(
        self, caplog
    ):
        """Guards against a timeout within an answer that is logged like silence."""
        (fields,) = self._lose_contact(caplog, 1.8)
        assert fields["step"] == "table-read"
        assert fields["reason"] == Reason.TIMEOUT.value
        assert "10000 bytes" in fields["detail"]


class TestIncompleteAnswer:
    def test_an_answer_that_stops_arriving_is_given_up(self):
        """Guards against a call that waits without end on a silent connection."""

        async def run() -> tuple[Any, float]:
            rows = {CONFIGURATION_KEY: configuration_row(200)}
            store = SlowStore(rows, 3, 1e6, bytes_until_stall=10_000)
            async with SlowLink(store) as link:
                started_at = link.clock.now()
                outcome = await link.table.read_range(OPERATOR_TABLE)
                return outcome, link.clock.now() - started_at

        outcome, seconds = asyncio.run(run())
        assert isinstance(outcome, Unavailable)
        assert STALL_SECONDS <= seconds < STALL_SECONDS + 1.0

    def test_the_bytes_of_an_incomplete_answer_are_counted(self):
        """Guards against a link full of answers that no metric shows."""

        async def run() -> bytes:
            rows = {CONFIGURATION_KEY: configuration_row(200)}
            store = SlowStore(rows, 3, 1e6, bytes_until_stall=10_000)
            async with SlowLink(store) as link:
                outcome = await link.table.read_range(OPERATOR_TABLE)
                assert isinstance(outcome, Unavailable)
                return link.metrics.render()[0]

        rendered = asyncio.run(run())
        assert b'platform_answer_bytes{step="table-read"} 10000' in rendered
