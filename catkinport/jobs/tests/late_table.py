"""A table that can lose the answer to a commit, and a session that uses it."""

import asyncio

from ...policy.leadership import OwnLease
from ...ports import Reason, Unavailable
from ...ports.async_table import Snapshot
from ...ports.clock import ManualClock
from ...ports.table import (
    CommitOutcome,
    Committed,
    Conflict,
    Transaction,
    Write,
)
from ...runtime import Metrics
from ...standins import LateTable, MemoryTable
from ..dispatch.dispatcher import Dispatcher
from ..ownership.session import OwnerPorts, OwnerSession
from ..tables import OWNER_KEY
from .builders import make_configuration


class AsyncLateTable:
    """In-memory `AsyncTable` whose commits the test can delay.

    Attributes:
        memory: the rows.
        late: holds back the next ``late.n_held`` commits.
        n_foreign: how many of the next commits come after another write of the row.
        foreign_write: that other write.
        n_commits: commits that were called.
        commit_seconds: time that a commit takes.
        is_carried_out_before_next: whether each commit that was held back is carried
            out before the next commit.
        answer_seconds: time from a commit to its answer.
        read_seconds: time that a read takes.
        loses_answers: whether commits that take effect get no answer; conflicts do.
    """

    def __init__(self) -> None:
        self.memory = MemoryTable()
        self.late = LateTable(self.memory)
        self.n_foreign = 0
        self.foreign_write: Write | None = None
        self.n_commits = 0
        self.commit_seconds = 0.0
        self.is_carried_out_before_next = False
        self.answer_seconds = 0.0
        self.read_seconds = 0.0
        self.loses_answers = False

    def claim(self) -> int:
        """Write the owner's row; return its version, the fencing token."""
        outcome = self.memory.commit(Transaction([], [Write(OWNER_KEY, {})]))
        assert isinstance(outcome, Committed)
        return outcome.versions_by_row_key[OWNER_KEY]

    async def read_range(self, table: str, start: str = "", end: str = "") -> Snapshot:
        await asyncio.sleep(self.read_seconds)
        rows = self.memory.scan(table).rows
        kept = [
            row
            for row in rows
            if start <= row.row_key.key and (not end or row.row_key.key < end)
        ]
        return Snapshot(kept, max((r.version for r in kept), default=0))

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        self.n_commits += 1
        await asyncio.sleep(self.commit_seconds)
        if self.n_foreign and self.foreign_write is not None:
            self.n_foreign -= 1
            self.memory.commit(Transaction([], [self.foreign_write]))
        if self.is_carried_out_before_next:
            self.late.carry_out_held()
        outcome = self.late.commit(transaction)
        await asyncio.sleep(self.answer_seconds)
        if self.loses_answers and isinstance(outcome, Committed):
            return Unavailable(Reason.TIMEOUT, "table-commit", may_have_committed=True)
        return _add_rows(self.memory, transaction, outcome)


def _add_rows(
    memory: MemoryTable, transaction: Transaction, outcome: CommitOutcome
) -> CommitOutcome:
    """Add the current rows to a conflict, as the platform's store does."""
    if not isinstance(outcome, Conflict):
        return outcome
    keys = [condition.row_key for condition in transaction.conditions]
    return outcome._replace(rows=list(memory.read(keys).values()))


class SilentWorkers:
    """Workers that answer no poll."""

    def bound_answer(self, worker_id):
        return 0.6

    async def renew_lease(self, worker, *_):
        return Unavailable(Reason.TIMEOUT, "worker-hold", worker.worker_id)


def make_session(table: AsyncLateTable) -> OwnerSession:
    """Return the session of a daemon that has just claimed the ownership."""
    clock = ManualClock(100.0)
    ports = OwnerPorts(table, SilentWorkers(), None, None, clock, Metrics())
    dispatcher = Dispatcher(make_configuration())
    return OwnerSession(ports, dispatcher, OwnLease(table.claim(), clock.now()))
