"""Tests of the order in which the membership actor publishes and answers.

Each test reads the published snapshot while an answer is delivered, in the thread of
the actor, so that the outcome does not depend on the speed of the threads.
"""

import queue
from concurrent.futures import Future
from typing import Any, NamedTuple

import pytest

from ...policy.freshness import FreshnessTiming, View, ViewMember
from ...ports import ManualClock
from ...protocol import peer_pb2
from ...standins import MemoryTable
from .. import messages, roster_store
from ..actor import MembershipActor
from ..interface import MembershipSnapshot
from ..settings import MembershipSettings
from ..wire import view_to_message
from .fakes import CLUSTER_KEY, parse, wait_for

# Longer than any test, so that only the test sends messages to the actor.
NO_TICK_SECONDS = 3600.0
ANSWER_SECONDS = 20.0
N_RENEWALS = 3
# Later than every version in these tests.
LATER_ROSTER_VERSION = 1000
PEER_ID = "entry-peer"
PEER = ViewMember("entry", "127.0.0.1:2", "zone-a")
PEER_ROW = {**PEER._asdict(), "admin_address": ""}


class Delivery(NamedTuple):
    """An answer, ``None`` if it was canceled, and the snapshot at its delivery."""

    answer: Any
    snapshot: MembershipSnapshot


class FakePeers:
    """Records each call to a peer with the snapshot at the time of the call."""

    def __init__(self, member):
        self._member = member
        self.deliveries = []

    def is_alive(self):
        return True

    def calls(self, method):
        return [call for call, _ in self.deliveries if call.method == method]

    def tell(self, call):
        self.deliveries.append(Delivery(call, self._member.snapshots[-1]))


class Member:
    """A membership actor without server and ticks, and the snapshots it published."""

    def __init__(self, table):
        settings = MembershipSettings(
            "entry", "zone-a", "127.0.0.1", 0, "127.0.0.1:1", CLUSTER_KEY
        )
        timing = settings.timing._replace(renewal=NO_TICK_SECONDS)
        self.clock = ManualClock(100.0)
        self.snapshots = []
        self.n_failing_publications = 0
        self.peers = FakePeers(self)
        self.ref = MembershipActor.start(
            settings._replace(timing=timing), table, self.clock, parse, self._publish
        )
        self.ref.tell(messages.Connected(self.peers, "127.0.0.1:1"))
        wait_for(lambda: self.snapshots and self.is_fresh(self.snapshots[-1]))

    def is_fresh(self, snapshot):
        return snapshot.is_fresh(self.clock.now())

    def expect(self):
        """Return a future for a message and a queue that gets its ``Delivery``."""
        future, deliveries = Future(), queue.Queue()

        def deliver(done):
            answer = None if done.cancelled() else done.exception() or done.result()
            deliveries.put(Delivery(answer, self.snapshots[-1]))

        future.add_done_callback(deliver)
        return future, deliveries

    def serve(self, method, request):
        """Let the actor answer a peer's call and return the ``Delivery``."""
        future, deliveries = self.expect()
        self.ref.tell(messages.ServeCall(method, request, future))
        return deliveries.get(timeout=ANSWER_SECONDS)

    def confirm(self, reply):
        """Let the lease end, deliver a peer's confirmation and return the snapshot."""
        self.clock.sleep(FreshnessTiming().lease)
        n_snapshots = len(self.snapshots)
        now = self.clock.now()
        self.ref.tell(messages.PeerConfirmed(reply.member_id, now, reply))
        wait_for(lambda: len(self.snapshots) > n_snapshots)
        return self.snapshots[-1]

    def _publish(self, snapshot):
        if self.n_failing_publications > 0:
            self.n_failing_publications -= 1
            raise RuntimeError("publication failed")
        self.snapshots.append(snapshot)


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def member(table):
    member = Member(table)
    yield member
    member.ref.stop()


@pytest.fixture
def member_with_peer(table):
    state = roster_store.register(table, PEER_ID, PEER_ROW)
    assert isinstance(state, roster_store.StoreState)
    member = Member(table)
    yield member
    member.ref.stop()


def _announcement():
    return peer_pb2.Announcement(member_id=PEER_ID, revision=1, document="one")


def _view_with_peer(member, departed_ids=frozenset()):
    """Return a view of a later version than the member's, with one more member."""
    own_id = member.snapshots[-1].member_id
    own = ViewMember("entry", "127.0.0.1:1", "zone-a")
    member_by_id = {own_id: own, PEER_ID: PEER}
    return view_to_message(View(LATER_ROSTER_VERSION, member_by_id, departed_ids))


class TestAnswersToPeers:
    """Snapshots at the time when calls of peers are answered."""

    def test_acknowledged_revision_is_published(self, member):
        """Guards against an earlier revision in use after it was acknowledged."""
        reply, snapshot = member.serve("Announce", _announcement())
        assert reply.held_revision == 1
        assert snapshot.revision == 1

    def test_fetched_revision_is_published(self, member):
        """Guards against a change that stays unpublished after an abandoned call.

        The announcement is handled after its sender has stopped waiting.
        """
        abandoned = Future()
        abandoned.cancel()
        member.ref.tell(messages.ServeCall("Announce", _announcement(), abandoned))
        request = peer_pb2.FetchDocumentRequest(member_id=PEER_ID)
        reply, snapshot = member.serve("FetchDocument", request)
        assert reply.revision == 1
        assert snapshot.revision == 1

    def test_confirmed_view_is_published(self, member):
        """Guards against a roster in use that is older than the confirmed one."""
        request = peer_pb2.ConfirmRequest(
            member_id=PEER_ID, view=_view_with_peer(member)
        )
        reply, snapshot = member.serve("Confirm", request)
        assert reply.view.roster_version == LATER_ROSTER_VERSION
        assert PEER_ID in snapshot.member_by_id

    def test_departure_is_published(self, member):
        """Guards against a departed member that is shown as live after the answer."""
        view = _view_with_peer(member, frozenset({PEER_ID}))
        request = peer_pb2.LeaveRequest(member_id=PEER_ID, view=view)
        _, snapshot = member.serve("Leave", request)
        assert snapshot.member_by_id[PEER_ID].is_evicted

    def test_failed_publication_delays_the_answer(self, member):
        """Guards against an acknowledged revision that could not be published."""
        future, deliveries = member.expect()
        member.n_failing_publications = 1
        member.ref.tell(messages.ServeCall("Announce", _announcement(), future))
        member.ref.tell(messages.Tick())
        reply, snapshot = deliveries.get(timeout=ANSWER_SECONDS)
        assert reply.held_revision == 1
        assert snapshot.revision == 1


class TestFetchedDocument:
    """A member that has learned of a revision whose document is on its way."""

    def test_member_stays_without_a_lease_until_it_arrives(self, member_with_peer):
        """Guards against keyed work under an earlier revision during a long fetch."""
        member = member_with_peer
        reply, _ = member.serve("Confirm", peer_pb2.ConfirmRequest(member_id=PEER_ID))
        request = peer_pb2.ConfirmRequest(
            member_id=PEER_ID, revision=1, view=reply.view
        )
        member.serve("Confirm", request)
        (fetch,) = member.peers.calls("FetchDocument")
        confirmation = peer_pb2.ConfirmReply(
            member_id=PEER_ID, revision=1, view=reply.view, established=True
        )
        for _ in range(N_RENEWALS):
            assert not member.is_fresh(member.confirm(confirmation))
        fetch.result.set_result(peer_pb2.FetchDocumentReply(revision=1, document="one"))
        wait_for(lambda: member.snapshots[-1].revision == 1)
        assert member.is_fresh(member.confirm(confirmation))
        assert member.peers.calls("FetchDocument") == [fetch]


class TestChanges:
    """Snapshots at the time when changes of the configuration are answered."""

    def test_revision_in_force_is_published(self, member):
        """Guards against an earlier revision in use after its successor is in force."""
        future, deliveries = member.expect()
        member.ref.tell(messages.AwaitInForce(1, "one", [], future))
        _, snapshot = deliveries.get(timeout=ANSWER_SECONDS)
        assert snapshot.revision == 1

    def test_end_of_lease_is_published_before_changes_are_canceled(self, member, table):
        """Guards against a lease of an evicted member that has given up its changes.

        A read of the store shows the eviction.
        """
        future, deliveries = member.expect()
        member.ref.tell(messages.AwaitInForce(1, "one", ["entry-absent"], future))
        assert roster_store.evict(table, [member.snapshots[-1].member_id]) is None
        member.ref.tell(messages.Tick())
        answer, snapshot = deliveries.get(timeout=ANSWER_SECONDS)
        assert answer is None
        assert not member.is_fresh(snapshot)


class TestLeave:
    """Snapshots at the time when a member announces its shutdown."""

    def test_end_of_lease_is_published_before_the_announcement(self, member_with_peer):
        """Guards against a lease that peers no longer take into account."""
        member = member_with_peer
        future, _ = member.expect()
        n_earlier = len(member.peers.deliveries)
        member.ref.tell(messages.Leave(future))
        wait_for(lambda: len(member.peers.deliveries) > n_earlier)
        call, snapshot = member.peers.deliveries[-1]
        assert call.method == "Leave"
        assert not member.is_fresh(snapshot)

    def test_end_of_lease_is_published_before_the_answer(self, member):
        """Guards against a lease of a member that is removed from the roster."""
        future, deliveries = member.expect()
        member.ref.tell(messages.Leave(future))
        _, snapshot = deliveries.get(timeout=ANSWER_SECONDS)
        assert not member.is_fresh(snapshot)
