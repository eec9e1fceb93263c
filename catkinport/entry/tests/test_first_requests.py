"""Tests of requests that an entry gets right after its start."""

import time

import pytest

from .cluster import Entry, FaultyTable

READ_SECONDS = 0.2
"""Time of a read of the store, in which the first request arrives."""


class TestPoolsNotYetRead:
    @pytest.mark.xfail(
        strict=True,
        raises=AssertionError,
        reason="refusal before the pools are read (issue 9)",
    )
    def test_a_request_is_not_refused_for_want_of_servers(
        self, make_cluster, monkeypatch
    ):
        """Guards against an entry that takes pools it has not read for empty ones.

        It answers 503 with the reason `no-backend-server` while two servers are there.
        """
        cluster = make_cluster()
        read = FaultyTable.read

        def read_slowly(table, row_keys):
            time.sleep(READ_SECONDS)
            return read(table, row_keys)

        monkeypatch.setattr(FaultyTable, "read", read_slowly)
        entry = Entry(cluster, "e-new")
        try:
            assert entry.call().status == 200
        finally:
            entry.stop()
