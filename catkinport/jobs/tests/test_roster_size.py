"""Tests that the stored roster fits into rows of the table service at any size."""

import asyncio
import json

from ...policy.leadership import OwnLease
from ..ownership.roster_store import RosterStore
from .builders import Fleet, make_worker
from .late_table import AsyncLateTable, make_session

MAX_ROW_BYTES = 65_536
"""Largest value of a row; the table service refuses larger ones."""

N_WORKERS = 600
"""Workers of a pool whose roster needs more than one row."""


class TestLargePool:
    # Guards against a fleet in which no worker gets tasks: a pool's roster is one row,
    # which the table service refuses at each attempt once the pool is large.
    def test_its_roster_fits_into_rows(self):
        labels = ("standard", "r12-3")
        fleet = Fleet(
            [
                make_worker(
                    f"i-{number:010x}",
                    cores=64.0,
                    address=f"10.128.{number // 250}.{number % 250}:8080",
                    zone="chc-a",
                    labels=labels,
                )
                for number in range(N_WORKERS)
            ]
        )
        for number, worker in enumerate(fleet.dispatcher.worker_by_id.values()):
            worker.vm_id = f"m-{number:05x}"
        table = AsyncLateTable()
        session = make_session(table)
        session.dispatcher = fleet.dispatcher
        session.lease = OwnLease(session.lease.token, fleet.now)
        asyncio.run(RosterStore(session).store())
        rows = table.memory.scan("roster").rows
        assert rows
        sizes = [len(json.dumps(r.value, separators=(",", ":"))) for r in rows]
        assert max(sizes) <= MAX_ROW_BYTES
