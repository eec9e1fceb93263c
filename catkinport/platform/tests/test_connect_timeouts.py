"""Tests of connections to peers that are farther away than the shortest timeout."""

import asyncio
from typing import Any

import aiohttp.connector
import pytest

from ...ports import Reason, Unavailable
from ...runtime import Metrics
from ..client import PlatformClient, Reply
from ..connect_timeouts import (
    MAX_CONNECT_TIMEOUT_SECONDS,
    MIN_CONNECT_TIMEOUT_SECONDS,
    MIN_FAILED_ATTEMPTS,
    ConnectTimeouts,
)
from .slow_store import SlowStore

PEER = "far:80"


@pytest.fixture
def connect_seconds(monkeypatch) -> dict[str, float]:
    """Delay each connection by the value under ``seconds``."""
    delay = {"seconds": 0.0}
    start_connection = aiohttp.connector.aiohappyeyeballs.start_connection

    async def start_late(*args: Any, **kwargs: Any) -> Any:
        await asyncio.sleep(delay["seconds"])
        return await start_connection(*args, **kwargs)

    monkeypatch.setattr(
        aiohttp.connector.aiohappyeyeballs, "start_connection", start_late
    )
    return delay


def call(n_calls: int) -> list[Reply | Unavailable]:
    """Call a store as often as this, and return the outcomes."""

    async def run() -> list[Reply | Unavailable]:
        async with SlowStore({"k": {}}, 1, 1e6) as store:
            client = PlatformClient(Metrics())
            await client.open()
            query = {"Table": "op", "part": ""}
            outcomes = [
                await client.call(
                    "table-read", "GET", store.address, "/rows-get", 4.0, None, query
                )
                for _ in range(n_calls)
            ]
            await client.close()
            return outcomes

    return asyncio.run(run())


class TestFarPeer:
    def test_a_connection_is_made_in_the_end(self, connect_seconds):
        """Guards against a peer that no call ever reaches.

        A connection needs a round trip, and each attempt ended after 0.4 s.
        """
        connect_seconds["seconds"] = 0.7
        outcomes = call(MIN_FAILED_ATTEMPTS + 2)
        assert isinstance(outcomes[0], Unavailable)
        assert outcomes[0].reason is Reason.CONNECT_FAILED
        assert isinstance(outcomes[-1], Reply)


class TestTimeouts:
    def test_a_vm_that_is_off_for_a_short_time_changes_nothing(self):
        """Guards against workers that are reached later after a move."""
        timeouts = ConnectTimeouts()
        for _ in range(MIN_FAILED_ATTEMPTS - 1):
            timeouts.on_timeout(PEER)
        assert timeouts.seconds(PEER) == MIN_CONNECT_TIMEOUT_SECONDS

    def test_there_is_an_upper_limit(self):
        """Guards against a VM that is back and is not called for long."""
        timeouts = ConnectTimeouts()
        for _ in range(2000):
            timeouts.on_timeout(PEER)
        assert timeouts.seconds(PEER) == MAX_CONNECT_TIMEOUT_SECONDS

    @pytest.mark.parametrize(
        ("wait_seconds", "seconds"),
        [(0.01, MIN_CONNECT_TIMEOUT_SECONDS), (0.9, MAX_CONNECT_TIMEOUT_SECONDS)],
    )
    def test_only_a_fast_answer_shortens_it(self, wait_seconds, seconds):
        """Guards against eight failed attempts for each connection to a far peer."""
        timeouts = ConnectTimeouts()
        for _ in range(MIN_FAILED_ATTEMPTS + 4):
            timeouts.on_timeout(PEER)
        timeouts.on_answer(PEER, wait_seconds)
        assert timeouts.seconds(PEER) == seconds
