"""Tests of the stand-in's rows."""

import pytest

from ..rows import RowStore, StoreError, StoreKey

KEY = StoreKey("states", "fleet", "a")


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class TestTransactions:
    def test_a_conflict_changes_nothing(self):
        store = RowStore(Clock(), 20.0)
        store.commit({}, {KEY: "x"}, [])
        other = StoreKey("states", "fleet", "b")
        assert store.commit({KEY: 0}, {other: "y"}, []) is None
        assert store.get(other) is None
        assert [row.version for row in store.find_conflicts({KEY: 0})] == [1]

    def test_a_removed_row_counts_as_absent(self):
        store = RowStore(Clock(), 20.0)
        store.commit({}, {KEY: "x"}, [])
        store.commit({}, {}, [KEY])
        assert store.commit({KEY: 0}, {KEY: "y"}, []) == 3

    def test_transaction_over_two_parts_is_refused(self):
        store = RowStore(Clock(), 20.0)
        other = StoreKey("jobs", "jobs-0", "b")
        with pytest.raises(StoreError):
            store.commit({KEY: 0}, {other: "y"}, [])


class TestRead:
    def test_page_tells_whether_more_rows_follow(self):
        store = RowStore(Clock(), 20.0)
        for name in "abc":
            store.commit({}, {StoreKey("t", "", name): name}, [])
        rows, is_truncated = store.read("t", "", "a", None, 2)
        assert [row.key.key for row in rows] == ["a", "b"]
        assert is_truncated
        rows, is_truncated = store.read("t", "", "b", "c", 2)
        assert [row.key.key for row in rows] == ["b"]
        assert not is_truncated


class TestHistory:
    def test_changes_come_in_order_with_removals(self):
        store = RowStore(Clock(), 20.0)
        store.commit({}, {KEY: "x"}, [])
        store.commit({}, {}, [KEY])
        assert [row.value for row in store.follow("states", 0)] == ["x", None]

    def test_discarded_history_is_refused(self):
        """Guards against a feed that silently leaves out changes."""
        clock = Clock()
        store = RowStore(clock, 20.0)
        store.commit({}, {KEY: "x"}, [])
        clock.now = 21.0
        with pytest.raises(StoreError):
            store.follow("states", 0)
        assert store.follow("states", 1) == []
