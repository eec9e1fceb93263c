"""Tests of commits to a part (partition) of the store that is slow by itself."""

import asyncio
import random

from aiohttp.test_utils import TestServer
from aiohttp.web import Application

from ...jobs.tables import HEARTBEAT_KEY, job_key
from ...ports.table import Committed, Transaction, Write
from ...runtime import Metrics
from ...standins.faults import FaultSettings
from ..client import PlatformClient
from ..standin.rows import RowStore
from ..standin.server import FAULT_DEFAULTS
from ..standin.store_server import StoreServer
from ..table import MIN_COMMIT_TIMEOUT_SECONDS, OWNER_PART, PlatformTable

LATE_SECONDS = MIN_COMMIT_TIMEOUT_SECONDS + 0.2


async def commit_while_slow(n_commits):
    """Return outcomes of commits to the slow part, each after others to a fast one."""
    faults = FaultSettings(FAULT_DEFAULTS)
    faults.update({"late_answer_part": OWNER_PART})
    faults.update({"late_answer_seconds": LATE_SECONDS, "are_conflicts_late": True})
    rows = RowStore(lambda: 0.0, 20.0)
    app = Application()
    StoreServer(rows, lambda: 0.0, faults, random.Random(1)).add_routes(app)
    client = PlatformClient(Metrics())
    await client.open()
    outcomes = []
    async with TestServer(app) as server:
        table = PlatformTable(client, f"{server.host}:{server.port}")
        for number in range(n_commits):
            key = job_key(f"{number:016x}")
            assert isinstance(
                await table.commit(Transaction([], [Write(key, {})])), Committed
            )
            await table.read_range("roster")
            outcomes.append(
                await table.commit(Transaction([], [Write(HEARTBEAT_KEY, {})]))
            )
        await client.close()
    return outcomes


class TestSlowPart:
    # Guards against an owner none of whose commits is ever answered in time, because
    # reads and the commits of callers on the same daemon are as fast as usual.
    def test_its_commits_are_waited_for_though_all_else_is_fast(self):
        outcomes = asyncio.run(commit_while_slow(6))
        assert [isinstance(outcome, Committed) for outcome in outcomes] == [
            False,
            False,
            False,
            True,
            True,
            True,
        ]
