"""Tests of committing a change of the configuration."""

import pytest

from ...ports import ManualClock, Refused, Unavailable
from ...standins import MemoryTable
from ...state import CONFIGURATION, MemberRow
from ..acceptance import Change, CommittedChange, commit_change
from ..interface import RevisionConflict
from ..roster_store import evict, register
from .fakes import LOST, FaultyTable

_MEMBER: MemberRow = {
    "role": "entry",
    "peer_address": "127.0.0.1:1",
    "admin_address": "127.0.0.1:2",
    "zone": "zone-a",
    "is_evicted": False,
}


@pytest.fixture
def table():
    table = MemoryTable()
    register(table, "a", _MEMBER)
    register(table, "b", _MEMBER)
    return table


def _change(document, revision=0, member_id="a"):
    return Change(document, revision, f"change-{document}", "operator", member_id)


class RacingTable(FaultyTable):
    """Table that runs an action between the first read and the first commit."""

    def __init__(self, table, action):
        super().__init__(table)
        self._action = action

    def commit(self, transaction):
        action, self._action = self._action, lambda: None
        action()
        return super().commit(transaction)


class TestCommitChange:
    """Races and lost answers of a commit."""

    def test_racing_operators_get_one_acceptance(self, table):
        """Guards against a change that silently overwrites a concurrent one."""
        racing = RacingTable(
            table, lambda: commit_change(table, ManualClock(), _change("other"))
        )
        outcome = commit_change(racing, ManualClock(), _change("own"))
        assert outcome == RevisionConflict(1, outcome.current_digest)
        assert table.read([CONFIGURATION])[CONFIGURATION].value["document"] == "other"

    def test_member_evicted_before_the_commit_is_refused(self, table):
        """Guards against a change by an evicted member, which no lease depends on."""
        racing = RacingTable(table, lambda: evict(table, ["a"]))
        outcome = commit_change(racing, ManualClock(), _change("own"))
        assert isinstance(outcome, Refused)
        assert CONFIGURATION not in table.read([CONFIGURATION])

    def test_member_that_joins_before_the_commit_must_acknowledge(self, table):
        """Guards against a new member that keeps the old revision and is not asked."""
        racing = RacingTable(table, lambda: register(table, "c", _MEMBER))
        outcome = commit_change(racing, ManualClock(), _change("own"))
        assert isinstance(outcome, CommittedChange)
        assert set(outcome.member_row_by_id) == {"a", "b", "c"}

    def test_lost_answer_then_outage_is_reported_as_unknown(self, table):
        """Guards against a committed change that is reported as not committed."""

        class LosesAnswerThenDown(FaultyTable):
            def commit(self, transaction):
                super().commit(transaction)
                self.is_down = True
                return LOST

        connection = LosesAnswerThenDown(table)
        outcome = commit_change(connection, ManualClock(), _change("own"))
        assert isinstance(outcome, Unavailable)
        assert outcome.may_have_committed
        connection.is_down = False
        repeated = commit_change(connection, ManualClock(), _change("own"))
        assert repeated.revision == 1
