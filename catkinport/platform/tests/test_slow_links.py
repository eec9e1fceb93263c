"""Tests of reads whose answers take long to arrive on a slow link."""

import asyncio
import logging
from collections.abc import Mapping
from typing import Any

from ...jobs.configuration_watch import ConfigurationWatch
from ...ports import Reason, Unavailable
from ...runtime import BootTimeClock, Metrics
from ..client import PlatformClient
from ..operator_rows import CONFIGURATION_KEY, OPERATOR_TABLE, decode_configuration
from ..table import PlatformTable
from .slow_store import SlowStore


def configuration_row(n_queues: int) -> Mapping[str, Any]:
    queues = [
        {"Name": f"q{i}", "Host": "h", "PathPrefix": f"/q{i}/", "Service": "p"}
        for i in range(n_queues)
    ]
    return {"Version": 7, "Routes": queues, "Services": [{"Name": "p"}]}


class LargeRowReader:
    """Runs a test's coroutine with a table client that reads from a slow store."""

    def __init__(self, store: SlowStore) -> None:
        self.store = store
        self.metrics = Metrics()
        self.clock = BootTimeClock()

    async def __aenter__(self) -> "LargeRowReader":
        await self.store.__aenter__()
        self.client = PlatformClient(self.metrics)
        await self.client.open()
        self.table = PlatformTable(self.client, self.store.address)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.client.close()
        await self.store.__aexit__(*error)

    def watch(self) -> ConfigurationWatch:
        return ConfigurationWatch(
            self.table,
            self.clock,
            OPERATOR_TABLE,
            CONFIGURATION_KEY,
            decode_configuration,
        )


class TestLogs:
    """A stalled transfer, a refused connection and a silent store look different."""

    def _lose_contact(self, caplog, seconds: float) -> list[dict[str, Any]]:
        async def run() -> None:
            rows = {CONFIGURATION_KEY: configuration_row(200)}
            store = SlowStore(rows, 3, 1e6, bytes_until_stall=10_000)
            async with LargeRowReader(store) as reader:
                watch = asyncio.ensure_future(reader.watch().run())
                await asyncio.sleep(seconds)
                watch.cancel()

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
    def test_the_bytes_of_an_incomplete_answer_are_counted(self):
        """Guards against a link full of answers that no metric shows."""

        async def run() -> bytes:
            rows = {CONFIGURATION_KEY: configuration_row(200)}
            store = SlowStore(rows, 3, 1e6, bytes_until_stall=10_000)
            async with LargeRowReader(store) as reader:
                outcome = await reader.table.read_range(OPERATOR_TABLE)
                assert isinstance(outcome, Unavailable)
                return reader.metrics.render()[0]

        rendered = asyncio.run(run())
        assert b'platform_answer_bytes{step="table-read"} 10000' in rendered
