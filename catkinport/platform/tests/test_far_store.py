"""Tests of a store whose answers always take longer than the shortest timeouts."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from ...jobs.configuration_watch import ConfigurationWatch
from ...jobs.tables import JOBS_TABLE
from ...ports import Unavailable
from ...ports.async_table import Changes, Snapshot
from ...runtime import BootTimeClock, Metrics
from ..client import PlatformClient
from ..operator_rows import CONFIGURATION_KEY, OPERATOR_TABLE, decode_configuration
from ..table import (
    FOLLOW_TIMEOUT_MARGIN_SECONDS,
    MAX_TABLE_CONNECTIONS,
    READ_TIMEOUT_SECONDS,
    PlatformTable,
)
from .slow_store import SlowStore

BYTES_PER_SECOND = 1e6

ROWS = {
    CONFIGURATION_KEY: {
        "Version": 1,
        "Routes": [{"Name": "q", "Host": "h", "PathPrefix": "/q/", "Service": "p"}],
        "Services": [{"Name": "p"}],
    }
}

LONGEST_AGE_SECONDS = 4.6
"""Age of the configuration from which on calls with a key are answered 503, where a
withdrawn key has to stop within 5 s."""


MAX_START_SECONDS = 7.0
"""Time within which a daemon far from the store has its configuration."""


def run_with_table(
    round_trip_seconds: float, use: Callable[[PlatformTable, SlowStore], Awaitable[Any]]
) -> Any:
    """Return the result of ``use`` with a table that is this far away."""

    async def run() -> Any:
        store = SlowStore(
            ROWS, 3, BYTES_PER_SECOND, round_trip_seconds=round_trip_seconds
        )
        async with store:
            client = PlatformClient(Metrics(), MAX_TABLE_CONNECTIONS)
            await client.open()
            try:
                return await use(PlatformTable(client, store.address), store)
            finally:
                await client.close()

    return asyncio.run(run())


class TestReadTimeout:
    """Reads of a store that is farther away than `READ_TIMEOUT_SECONDS`."""

    @pytest.mark.parametrize("round_trip_seconds", [1.2, 2.0])
    def test_it_grows_until_there_is_an_answer(self, round_trip_seconds):
        """Guards against daemons that never get a configuration or load the jobs.

        Each read was given up after one second, however often it had been.
        """
        assert round_trip_seconds > READ_TIMEOUT_SECONDS

        async def read(table: PlatformTable, store: SlowStore) -> list[Any]:
            return [await table.read_range(OPERATOR_TABLE) for _ in range(5)]

        outcomes = run_with_table(round_trip_seconds, read)
        assert isinstance(outcomes[-2], Snapshot)
        assert isinstance(outcomes[-1], Snapshot)

    def test_one_lost_answer_costs_no_more_than_before(self):
        """Guards against long waits for answers that a fast store loses."""

        async def read(table: PlatformTable, store: SlowStore) -> float:
            for _ in range(3):
                await table.read_range(OPERATOR_TABLE)
            store.n_lost_answers = 1
            sent_at = time.monotonic()
            assert isinstance(await table.read_range(OPERATOR_TABLE), Unavailable)
            return time.monotonic() - sent_at

        assert run_with_table(0.0, read) < READ_TIMEOUT_SECONDS + 0.2


class TestReadOfJobs:
    def test_few_round_trips_are_enough(self):
        """Guards against owners that load the jobs for seconds, and start nothing."""

        async def read(table: PlatformTable, store: SlowStore) -> float:
            await table.read_range(OPERATOR_TABLE)
            sent_at = time.monotonic()
            assert isinstance(await table.read_range(JOBS_TABLE), Snapshot)
            return time.monotonic() - sent_at

        assert run_with_table(0.5, read) < 2 * 0.5


class TestFollowTimeout:
    """The change feed of a store that is farther away than the margin of its calls."""

    def test_it_grows_until_there_is_an_answer(self):
        """Guards against feeds whose every call without a change counts as lost.

        Owners and configurations counted as out of date then, for as long as it lasted.
        """
        round_trip_seconds = FOLLOW_TIMEOUT_MARGIN_SECONDS + 0.5

        async def follow(table: PlatformTable, store: SlowStore) -> list[Any]:
            return [await table.follow(OPERATOR_TABLE, 3, 0.3) for _ in range(4)]

        outcomes = run_with_table(round_trip_seconds, follow)
        assert isinstance(outcomes[-2], Changes)
        assert isinstance(outcomes[-1], Changes)

    def test_a_read_that_took_long_is_enough(self):
        """Guards against a failed call of each feed at the start of a daemon."""

        async def follow(table: PlatformTable, store: SlowStore) -> Any:
            await table.read_range(OPERATOR_TABLE)
            return await table.follow(OPERATOR_TABLE, 3, 0.8)

        assert isinstance(run_with_table(0.9, follow), Changes)


class TestConfigurationAge:
    """Keys are checked only with a configuration that was current a short time ago."""

    @pytest.mark.parametrize("round_trip_seconds", [0.8, 2.0])
    def test_a_daemon_far_from_the_store_stays_ready(self, round_trip_seconds):
        """Guards against daemons that refuse calls with keys for parts of the time.

        An answer proves what was current when its call was sent, and one call after the
        other left the configuration older than allowed before each answer.
        """

        async def follow(table: PlatformTable, store: SlowStore) -> list[float]:
            watch = ConfigurationWatch(
                table,
                BootTimeClock(),
                OPERATOR_TABLE,
                CONFIGURATION_KEY,
                decode_configuration,
            )
            following = asyncio.ensure_future(watch.run())
            await asyncio.sleep(MAX_START_SECONDS)
            ages = []
            for _ in range(120):
                await asyncio.sleep(0.05)
                ages.append(watch.age_seconds())
            following.cancel()
            return ages

        ages = run_with_table(round_trip_seconds, follow)
        assert max(ages) < LONGEST_AGE_SECONDS
