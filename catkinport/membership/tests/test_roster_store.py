"""Tests of the state that members poll from the store."""

from ...ports import ManualClock, RowKey, Transaction, Unavailable, Write
from ...standins import MemoryTable
from ...state import CHANGES, MemberRow
from ..acceptance import Change, commit_change
from ..roster_store import read_state, register

MEMBER: MemberRow = {
    "role": "entry",
    "peer_address": "127.0.0.1:1",
    "admin_address": "127.0.0.1:2",
    "zone": "zone-1",
    "is_evicted": False,
}


class CountingTable(MemoryTable):
    """Table that records the keys of every read."""

    def __init__(self):
        super().__init__()
        self.reads: list[list[RowKey]] = []

    def read(self, row_keys):
        self.reads.append(list(row_keys))
        return super().read(row_keys)


class TestReadState:
    """Polls of unchanged, changed and outdated state."""

    def test_unchanged_state_reads_one_small_row(self):
        """Guards against polls that transfer the document, which took 56 KB/s."""
        table = CountingTable()
        known = register(table, "m-1", MEMBER)
        table.reads.clear()
        assert read_state(table, known) is known
        assert table.reads == [[CHANGES]]

    def test_every_kind_of_change_is_seen(self):
        """Guards against a write that leaves out the row that members poll."""
        table = MemoryTable()
        known = register(table, "m-1", MEMBER)
        change = Change("document", 0, "c-1", "operator", "m-1")
        commit_change(table, ManualClock(), change)
        configured = read_state(table, known)
        assert configured.revision == 1
        register(table, "m-2", MEMBER)
        assert set(read_state(table, configured).member_row_by_id) == {"m-1", "m-2"}

    def test_answer_of_an_older_replica_renews_nothing(self):
        """Guards against a lease renewed by a read from a lagging replica."""
        table = MemoryTable()
        old = register(table, "m-1", MEMBER)
        lagging = MemoryTable()
        lagging.commit(Transaction([], [Write(CHANGES, {})]))
        newer = old._replace(changes_version=old.changes_version + 5)
        assert isinstance(read_state(lagging, newer), Unavailable)
