"""Tests of the limits of the stand-in's store, called by the daemons' client."""

import asyncio
import json
import random
from collections.abc import Sequence
from typing import Any

import pytest
from aiohttp.test_utils import TestServer, make_mocked_request
from aiohttp.web import Application, Response

from ....jobs.tests.virtual_time import run_in_virtual_time
from ....ports import Unavailable
from ....ports.table import (
    CommitOutcome,
    Committed,
    Condition,
    Conflict,
    RowKey,
    Transaction,
    Write,
)
from ....runtime import Metrics
from ....standins.faults import FaultSettings
from ...client import PlatformClient
from ...table import PlatformTable
from ..rows import RowStore, StoreKey
from ..server import FAULT_DEFAULTS
from ..store_server import MAX_ROW_BYTES, StoreServer

STATE_KEY = RowKey("states", "a")

WAIT_SECONDS = 2.0
"""Longest wait of a feed for a change."""

MAX_TURNS = 8
"""Turns of the event loop after the end of that wait until the feed has answered."""

EMPTY_ROW_BYTES = len('{"text":""}')


async def commit_all(transactions: Sequence[Transaction]) -> list[CommitOutcome]:
    """Commit transactions one after the other."""
    rows = RowStore(lambda: 0.0, 20.0)
    store = StoreServer(
        rows, lambda: 0.0, FaultSettings(FAULT_DEFAULTS), random.Random(1)
    )
    app = Application()
    store.add_routes(app)
    client = PlatformClient(Metrics())
    await client.open()
    async with TestServer(app) as server:
        table = PlatformTable(client, f"{server.host}:{server.port}")
        outcomes = [await table.commit(transaction) for transaction in transactions]
        await client.close()
    return outcomes


async def commit_row(n_bytes: int) -> CommitOutcome:
    """Commit a row whose value has ``n_bytes`` bytes."""
    value = {"text": "x" * (n_bytes - EMPTY_ROW_BYTES)}
    (outcome,) = await commit_all([Transaction([], [Write(STATE_KEY, value)])])
    return outcome


class TestRowSize:
    # Guards against trials that pass although the platform would refuse a row.
    @pytest.mark.parametrize("n_bytes", [MAX_ROW_BYTES - 2, MAX_ROW_BYTES])
    def test_a_row_of_allowed_size_is_written(self, n_bytes):
        assert isinstance(asyncio.run(commit_row(n_bytes)), Committed)

    def test_a_larger_row_is_refused(self):
        outcome = asyncio.run(commit_row(MAX_ROW_BYTES + 1))
        assert isinstance(outcome, Unavailable)
        assert not outcome.may_have_committed


class TestConflict:
    # Guards against owners that lose the ownership in trials only: with the rows that
    # differ alone, the row of the owner counted as absent after each late write.
    def test_its_answer_holds_all_rows_of_the_conditions(self):
        owner_key = RowKey("leader", "owner")
        *_, outcome = asyncio.run(
            commit_all(
                [
                    Transaction([], [Write(owner_key, {})]),
                    Transaction([], [Write(STATE_KEY, {})]),
                    Transaction(
                        [Condition(owner_key, 1), Condition(STATE_KEY, 0)],
                        [Write(STATE_KEY, {})],
                    ),
                ]
            )
        )
        assert isinstance(outcome, Conflict)
        assert outcome.versions_by_row_key == {STATE_KEY: 2}


async def follow_states(app: Application, after: int, wait_seconds: float) -> Any:
    """Return the decoded answer to a call for the changes of the table of states."""
    path = f"/rows-feed?Table=states&After={after}&WaitMs={int(wait_seconds * 1000)}"
    request = make_mocked_request("GET", path, app=app)
    match = await app.router.resolve(request)
    answer = await match.handler(request)
    assert isinstance(answer, Response)
    return json.loads(answer.text or "")


async def follow_beside_write(n_turns: int) -> list[str]:
    """Follow the table of states, and write a row as the wait of the feed ends.

    Args:
        n_turns: turns of the event loop from the end of the wait to the write.

    Returns:
        The keys in the answer and in that to the next call, which resumes from the
        version that the first one names.
    """
    clock = asyncio.get_running_loop().time
    rows = RowStore(clock, 20.0)
    store = StoreServer(rows, clock, FaultSettings(FAULT_DEFAULTS), random.Random(1))
    app = Application()
    store.add_routes(app)
    feed = asyncio.ensure_future(follow_states(app, 0, WAIT_SECONDS))
    await asyncio.sleep(0.0)
    await asyncio.sleep(WAIT_SECONDS)
    for _ in range(n_turns):
        await asyncio.sleep(0.0)
    store.write(StoreKey("states", "fleet-a", "a"), "e30=")
    first = await feed
    second = await follow_states(app, first["Ver"], 0.0)
    return [row["Key"] for answer in (first, second) for row in answer["rows"]]


class TestFeed:
    @pytest.mark.parametrize("n_turns", range(MAX_TURNS))
    def test_a_row_written_as_the_wait_ends_is_in_one_answer(self, n_turns):
        """Guards against accepted jobs that no owner ever learns of, in trials only.

        The answer named the version of the write, so the next call began after it, but
        had the rows from before the wait.
        """
        assert run_in_virtual_time(follow_beside_write(n_turns)) == ["a"]
