"""Tests of the limits of the stand-in's store, called by the daemons' client."""

import asyncio
import random
from collections.abc import Sequence

import pytest
from aiohttp.test_utils import TestServer
from aiohttp.web import Application

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
from ..rows import RowStore
from ..server import FAULT_DEFAULTS
from ..store_server import MAX_ROW_BYTES, StoreServer

STATE_KEY = RowKey("states", "a")

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
