"""Tests of an entry whose commits are carried out after it has gone on without them."""

import pytest

from ...standins import LateTable
from ..claims import Claim, Claims
from ..messages import CommitClaim, RetryOnTick
from .cluster import STORE_DOWN, EntryCluster


class RefusingTable:
    """A table that can refuse all commits, and do something after the next read."""

    def __init__(self, table):
        self._table = table
        self.is_refusing = False
        self.after_read = None

    def read(self, row_keys):
        rows = self._table.read(row_keys)
        after_read, self.after_read = self.after_read, None
        if after_read is not None:
            after_read()
        return rows

    def commit(self, transaction):
        return STORE_DOWN if self.is_refusing else self._table.commit(transaction)


class InlineWriter:
    """Does the work of the `ClaimWriter` in the thread of the test."""

    def __init__(self, table):
        self._table = table
        self._retries = []

    def tell(self, message):
        match message:
            case CommitClaim():
                message.future.set_result(self._table.commit(message.transaction))
            case RetryOnTick():
                self._retries.append(message.operation)

    def run_retries(self):
        self._retries = [retry for retry in self._retries if not retry()]


class LateClaims:
    """The claims of an entry whose table holds commits back."""

    def __init__(self, cluster):
        services = cluster.entries[0].services
        self.store = RefusingTable(cluster.table)
        self.table = LateTable(self.store)
        self.writer = InlineWriter(self.table)
        self.claims = Claims(services._replace(table=self.table), self.writer)

    def take(self):
        return self.claims.take("blue", "one", "digest")


@pytest.fixture
def cluster():
    cluster = EntryCluster(n_servers=1)
    yield cluster
    cluster.stop()


class TestLateClaim:
    """A claim without an answer may be stored after its request was given up."""

    def test_late_claim_does_not_block_its_key(self, cluster):
        """Guards against "unknown" for good after a request that was not run."""
        late = LateClaims(cluster)
        late.table.n_held = 3
        assert not isinstance(late.take(), Claim)
        late.writer.run_retries()
        late.table.carry_out_held()
        late.writer.run_retries()
        assert isinstance(late.take(), Claim)

    def test_late_claim_after_a_refused_retry_does_not_block_its_key(self, cluster):
        """Guards against a claim that is forgotten when its second commit is refused.

        The first commit may still be carried out then.
        """
        late = LateClaims(cluster)
        late.table.n_held = 1
        late.store.is_refusing = True
        assert not isinstance(late.take(), Claim)
        late.store.is_refusing = False
        late.writer.run_retries()
        late.table.carry_out_held()
        late.writer.run_retries()
        assert isinstance(late.take(), Claim)

    def test_late_claim_of_a_released_key_does_not_block_it(self, cluster):
        """Guards against the same where an earlier attempt has released the key."""
        late = LateClaims(cluster)
        claim = late.take()
        late.claims.abandon(claim, is_run_possible=False)
        late.table.n_held = 3
        assert not isinstance(late.take(), Claim)
        late.writer.run_retries()
        late.table.carry_out_held()
        late.writer.run_retries()
        assert isinstance(late.take(), Claim)

    def test_claim_stored_during_its_release_does_not_block_its_key(self, cluster):
        """Guards against a release that takes its own claim for another attempt's."""
        late = LateClaims(cluster)
        late.table.n_held = 3
        assert not isinstance(late.take(), Claim)
        late.store.after_read = late.table.carry_out_held
        late.writer.run_retries()
        late.writer.run_retries()
        assert isinstance(late.take(), Claim)

    def test_release_leaves_the_claim_of_another_attempt(self, cluster):
        """Guards against a second run of a request that another attempt sends."""
        late = LateClaims(cluster)
        late.table.n_held = 3
        assert not isinstance(late.take(), Claim)
        assert isinstance(late.take(), Claim)
        late.writer.run_retries()
        late.table.carry_out_held()
        late.writer.run_retries()
        assert not isinstance(late.take(), Claim)
