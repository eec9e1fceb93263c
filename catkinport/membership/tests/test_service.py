"""Tests of running members that share an in-memory table service."""

import pytest

from ...ports import Refused, Unavailable
from ...runtime import BootTimeClock
from ...standins import MemoryTable
from ...state import CONFIGURATION, ROSTER
from .. import roster_store
from ..interface import Acceptance, RevisionConflict
from .fakes import FaultyTable, start_member, wait_for

_CLOCK = BootTimeClock()


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def start(table):
    """Start members and stop them after the test."""
    members = []

    def start_one(connection=None, **options):
        connection = connection or FaultyTable(table)
        member = start_member(connection, **options)
        members.append(member)
        member.connection = connection
        return member

    yield start_one
    for member in members:
        member.connection.unblocked.set()
        member.stop()


def _is_fresh(member):
    return member.snapshot().is_fresh(_CLOCK.now())


def _wait_until_fresh_with_full_roster(members):
    wait_for(
        lambda: all(len(m.snapshot().member_by_id) == len(members) for m in members)
    )
    wait_for(lambda: all(_is_fresh(m) for m in members))


def _accept(member, document, revision, change_id=""):
    return member.accept_document(
        document, revision, change_id or f"change-{document}", "operator"
    )


class TestRegistration:
    """Joining, being evicted and leaving."""

    def test_store_down_at_start_gives_no_lease_until_it_is_back(self, start):
        """Guards against a lease, and so admitted requests, before registration."""
        connection = FaultyTable(MemoryTable())
        connection.is_down = True
        member = start(connection=connection, renewal=0.05)
        wait_for(lambda: member.snapshot().member_id)
        assert not _is_fresh(member)
        connection.is_down = False
        wait_for(lambda: _is_fresh(member))

    def test_evicted_member_registers_with_a_new_id(self, start, table):
        """Guards against a member that goes on using its id after the eviction."""
        member = start(renewal=0.05)
        wait_for(lambda: _is_fresh(member))
        first_id = member.snapshot().member_id
        assert roster_store.evict(table, [first_id]) is None
        wait_for(lambda: member.snapshot().member_id != first_id and _is_fresh(member))
        assert first_id in table.read([ROSTER])[ROSTER].value["member_by_id"]

    def test_leave_removes_the_member_at_once(self, start, table):
        """Guards against a planned restart that is seen as a failure for 5 s."""
        members = [start(), start()]
        _wait_until_fresh_with_full_roster(members)
        leaving_id = members[0].snapshot().member_id
        members[0].leave()
        assert leaving_id not in table.read([ROSTER])[ROSTER].value["member_by_id"]
        wait_for(lambda: len(members[1].snapshot().member_by_id) == 1)


class TestAcceptDocument:
    """Configuration changes on one and on several members."""

    def test_change_reaches_all_members(self, start):
        """Guards against an accepted change that other members have not applied."""
        members = [start(), start(), start()]
        _wait_until_fresh_with_full_roster(members)
        outcome = _accept(members[0], "one", 0)
        assert isinstance(outcome, Acceptance)
        assert outcome.revision == 1
        assert {m.snapshot().document for m in members} == {"one"}
        assert isinstance(_accept(members[0], "two", 0), RevisionConflict)

    def test_change_with_lost_answer_is_committed_once(self, start, table):
        """Guards against a change that is committed twice after a lost answer."""
        member = start()
        wait_for(lambda: _is_fresh(member))
        member.connection.n_lost_answers = 1
        outcome = _accept(member, "one", 0)
        assert outcome.revision == 1
        assert len(table.read([CONFIGURATION])[CONFIGURATION].value["history"]) == 1

    def test_repetition_returns_the_same_acceptance(self, start):
        """Guards against a retry that becomes a second change."""
        member = start()
        wait_for(lambda: _is_fresh(member))
        assert _accept(member, "one", 0).revision == 1
        assert _accept(member, "two", 1).revision == 2
        assert _accept(member, "one", 0).revision == 1
        assert member.snapshot().document == "two"
        assert isinstance(_accept(member, "other", 0, "change-one"), Refused)

    def test_store_down_changes_nothing(self, start):
        """Guards against a change that is accepted without being durable."""
        member = start()
        wait_for(lambda: _is_fresh(member))
        member.connection.is_down = True
        outcome = _accept(member, "one", 0)
        assert isinstance(outcome, Unavailable)
        assert not outcome.may_have_committed


class TestStoreOutage:
    """Leases while the store is slow or down."""

    def test_peers_confirm_the_lease(self, start):
        """Guards against leases that end, and so stop requests, in a store outage."""
        members = [start(), start()]
        _wait_until_fresh_with_full_roster(members)
        for member in members:
            member.connection.is_down = True
        down_at = _CLOCK.now()
        wait_for(lambda: _CLOCK.now() > down_at + 2.5)
        assert all(m.snapshot().lease_expires_at > down_at + 2.2 for m in members)

    def test_blocked_read_delays_no_peer(self, start):
        """Guards against a blocked store call that delays answers to peers."""
        members = [start(), start()]
        _wait_until_fresh_with_full_roster(members)
        members[0].connection.unblocked.clear()
        outcome = _accept(members[1], "one", 0)
        assert isinstance(outcome, Acceptance)
        assert members[0].snapshot().revision == 1

    def test_member_without_store_and_peer_loses_its_lease(self, start):
        """Guards against a lease on a member that is cut off from both."""
        members = [start(), start()]
        _wait_until_fresh_with_full_roster(members)
        members[0].stop()
        members[1].connection.is_down = True
        wait_for(lambda: not _is_fresh(members[1]))
        assert not members[1].snapshot().is_store_reachable


class TestEviction:
    """Members that were killed."""

    def test_silent_member_is_evicted(self, start):
        """Guards against a killed member that keeps its pools and allowances."""
        members = [
            start(renewal=0.05, liveness=0.1, silence=0.5, isolated_silence=0.5)
            for _ in range(2)
        ]
        _wait_until_fresh_with_full_roster(members)
        killed_id = members[0].snapshot().member_id
        members[0].stop()
        wait_for(lambda: members[1].snapshot().member_by_id[killed_id].is_evicted)


class TestPeerCalls:
    """Calls between members on behalf of other parts of the daemon."""

    def test_notices_and_returns_reach_the_handlers(self, start):
        """Guards against calls that are answered without calling the handlers."""
        members = [start(), start()]
        _wait_until_fresh_with_full_roster(members)
        members[1].set_queue_notice_handler(lambda queue, job_id: queue == "renders")
        members[1].set_return_request_handler(lambda team, resource, wanted: wanted - 1)
        other_id = members[1].snapshot().member_id
        assert members[0].notify_queue(other_id, "renders", "j-1")
        assert not members[0].notify_queue(other_id, "other", "j-1")
        assert members[0].request_allowance_return(other_id, "a", "slots", 3) == 2
        assert isinstance(
            members[0].request_allowance_return("?", "a", "s", 1), Unavailable
        )

    def test_another_cluster_key_is_rejected(self, start):
        """Guards against a process of another cluster that acts as a member."""
        members = [start(), start(cluster_key=b"another key of 16+ bytes")]
        _wait_until_fresh_with_full_roster(members)
        other_id = members[1].snapshot().member_id
        outcome = members[0].request_allowance_return(other_id, "a", "slots", 3)
        assert isinstance(outcome, Unavailable)
