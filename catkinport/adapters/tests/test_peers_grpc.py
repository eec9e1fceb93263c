"""Tests of gRPC calls between members."""

import queue
import socket
import threading
import time
from concurrent.futures import Future

import pytest

from ...ports import Reason, Unavailable
from ...protocol import peer_pb2
from .._peer_server import MAX_CONNECTIONS
from ..peers_grpc import MessageAuthenticator, PeerCall, PeersActor

_KEY = b"cluster key of the tests"

LINK_BYTES_PER_SECOND = 625_000
"""Bytes that a link of 5 Mbit/s carries in a second."""

LARGEST_DOCUMENT = "x" * 1_048_576
N_SHARING_LINK = 3
N_ANNOUNCED_PEERS = 16
ANNOUNCED_DOCUMENT_BYTES = 262_144
RELAY_CHUNK_BYTES = 2_048


def _completed(reply):
    future = Future()
    future.set_result(reply)
    return future


class _Relay:
    """Proxy in front of a server.

    It drops the data of the connections in ``silent_numbers``, counted from 0.

    Args:
        port: port of the server.
        bytes_per_second: rate that all connections share in each direction; ``None``
            for no limit.
    """

    def __init__(self, port, bytes_per_second=None):
        self._port = port
        self._bytes_per_second = bytes_per_second
        self._queue_by_direction = [queue.Queue(), queue.Queue()]
        if bytes_per_second is not None:
            for link in self._queue_by_direction:
                threading.Thread(
                    target=self._deliver, args=(link,), daemon=True
                ).start()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.n_connections = 0
        self.silent_numbers = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def share_link(self, other):
        """Share the rate of ``other``; call this before the first connection."""
        self._queue_by_direction = other._queue_by_direction

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            number = self.n_connections
            self.n_connections += 1
            server = socket.create_connection(("127.0.0.1", self._port))
            pairs = ((client, server), (server, client))
            for (source, target), link in zip(
                pairs, self._queue_by_direction, strict=True
            ):
                arguments = (number, source, target, link)
                threading.Thread(
                    target=self._forward, args=arguments, daemon=True
                ).start()

    def _deliver(self, link):
        """Deliver in the order of arrival, as a link with one queue does."""
        while True:
            data, target = link.get()
            time.sleep(len(data) / self._bytes_per_second)
            try:
                target.sendall(data)
            except OSError:
                continue

    def _forward(self, number, source, target, link):
        size = 65536 if self._bytes_per_second is None else RELAY_CHUNK_BYTES
        while True:
            try:
                data = source.recv(size)
                if number in self.silent_numbers:
                    pass
                elif self._bytes_per_second is None:
                    target.sendall(data)
                else:
                    link.put((data, target))
            except OSError:
                return
            if not data:
                target.close()
                return


@pytest.fixture
def start_peers():
    """Start actors and stop them after the test."""
    started = []

    def start(key=_KEY, **handler_by_method):
        peers = PeersActor.start(
            "127.0.0.1", 0, MessageAuthenticator(key), handler_by_method
        )
        started.append(peers)
        return peers

    yield start
    for peers in started:
        peers.stop()


def _call(peers, address, method="Notify", timeout_seconds=5.0, **fields):
    request = peer_pb2.QueueNotice(**fields)
    result = Future()
    peers.tell(PeerCall(address, method, request, result, timeout_seconds))
    return result.result(20)


def _send(peers, address, method, request, timeout_seconds=1.0):
    result = Future()
    peers.tell(PeerCall(address, method, request, result, timeout_seconds))
    return result


def _announcement(document=LARGEST_DOCUMENT):
    return peer_pb2.Announcement(revision=7, document=document)


def _acknowledge_announcement(request):
    return _completed(peer_pb2.AnnouncementReply(held_revision=request.revision))


def _send_document(request):
    return _completed(
        peer_pb2.FetchDocumentReply(revision=7, document=LARGEST_DOCUMENT)
    )


def _accept_notice(request):
    return _completed(peer_pb2.QueueNoticeReply(is_owner=request.queue == "renders"))


class TestPeersActor:
    """Calls between two actors over loopback."""

    def test_call_is_answered(self, start_peers):
        """Guards against a call that reaches the wrong handler."""
        server = start_peers(Notify=_accept_notice)
        address = f"127.0.0.1:{server.ask('port')}"
        assert _call(start_peers(), address, queue="renders").is_owner
        assert not _call(start_peers(), address, queue="other").is_owner

    def test_other_key_never_reaches_the_handler(self, start_peers):
        """Guards against a process without the cluster key that acts as a member."""
        requests = []
        server = start_peers(Notify=requests.append)
        address = f"127.0.0.1:{server.ask('port')}"
        outcome = _call(start_peers(key=b"another key of 16+ bytes"), address)
        assert isinstance(outcome, Unavailable)
        assert requests == []

    def test_silent_connection_is_replaced(self, start_peers):
        """Guards against reuse of a connection that drops data without a reset."""
        server = start_peers(Notify=_accept_notice)
        relay = _Relay(server.ask("port"))
        client = start_peers()
        assert _call(client, relay.address, queue="renders").is_owner
        relay.silent_numbers.add(0)
        outcome = _call(client, relay.address, timeout_seconds=0.3)
        assert outcome.reason == Reason.TIMEOUT
        assert _call(client, relay.address, queue="renders").is_owner
        assert relay.n_connections == 2
        relay.close()

    def test_failing_handler_and_missing_server(self, start_peers):
        """Guards against an exception in the caller when a peer fails."""

        def fail(request):
            raise RuntimeError("handler failed")

        server = start_peers(Notify=fail)
        address = f"127.0.0.1:{server.ask('port')}"
        assert isinstance(_call(start_peers(), address), Unavailable)
        server.stop()
        assert isinstance(_call(start_peers(), address), Unavailable)

    def test_message_over_the_limit_is_not_sent(self, start_peers):
        """Guards against a message that exhausts the memory of a peer."""
        server = start_peers(Notify=_accept_notice)
        address = f"127.0.0.1:{server.ask('port')}"
        with pytest.raises(ValueError, match="at most"):
            _call(start_peers(), address, queue="x" * (5 * 1024 * 1024))


class TestConnections:
    """Connections of clients that are no members."""

    def test_unknown_connections_beyond_the_bound_are_closed(self, start_peers):
        """Guards against idle connections that take all descriptors from members."""
        server = start_peers(Notify=_accept_notice)
        port = server.ask("port")
        member = start_peers()
        address = f"127.0.0.1:{port}"
        assert _call(member, address, queue="renders").is_owner
        n_over = 20
        crowd = [
            socket.create_connection(("127.0.0.1", port), timeout=5.0)
            for _ in range(MAX_CONNECTIONS + n_over)
        ]
        assert _call(member, address, queue="renders").is_owner
        assert _call(start_peers(), address, queue="renders").is_owner
        n_closed = sum(_is_closed(connection) for connection in crowd)
        for connection in crowd:
            connection.close()
        # The connections of both members take the place of two more.
        assert n_closed == n_over + 2


def _is_closed(connection):
    """Return whether the server has closed a connection, after what it sent first."""
    connection.settimeout(0.01)
    try:
        while connection.recv(65536):
            pass
    except TimeoutError:
        return False
    except ConnectionError:
        return True
    return True


class TestDocumentsOverSlowLinks:
    """Documents of the largest size over links of 5 Mbit/s."""

    @pytest.mark.parametrize("n_sharing", [1, N_SHARING_LINK])
    def test_fetched_document_arrives(self, start_peers, n_sharing):
        """Guards against a transfer that is cut off at each attempt."""
        server = start_peers(FetchDocument=_send_document)
        relay = _Relay(server.ask("port"), LINK_BYTES_PER_SECOND / n_sharing)
        request = peer_pb2.FetchDocumentRequest()
        reply = _send(start_peers(), relay.address, "FetchDocument", request).result(20)
        assert not isinstance(reply, Unavailable), reply
        assert reply.document == LARGEST_DOCUMENT
        relay.close()

    @pytest.mark.parametrize("n_sharing", [1, N_SHARING_LINK])
    def test_announced_document_arrives(self, start_peers, n_sharing):
        """Guards against a transfer that is cut off at each attempt."""
        server = start_peers(Announce=_acknowledge_announcement)
        relay = _Relay(server.ask("port"), LINK_BYTES_PER_SECOND / n_sharing)
        outcome = _send(start_peers(), relay.address, "Announce", _announcement())
        reply = outcome.result(20)
        assert not isinstance(reply, Unavailable), reply
        assert reply.held_revision == 7
        relay.close()

    @pytest.mark.parametrize("method", ["Announce", "FetchDocument"])
    def test_small_calls_are_answered_during_a_transfer(self, start_peers, method):
        """Guards against leases that end because a document fills the link."""
        server = start_peers(
            Announce=_acknowledge_announcement,
            FetchDocument=_send_document,
            Notify=_accept_notice,
        )
        relay = _Relay(server.ask("port"), LINK_BYTES_PER_SECOND)
        client = start_peers()
        is_announced = method == "Announce"
        request = _announcement() if is_announced else peer_pb2.FetchDocumentRequest()
        transfer = _send(client, relay.address, method, request)
        n_answered = 0
        while not transfer.done():
            outcome = _call(client, relay.address, timeout_seconds=1.0, queue="renders")
            assert not isinstance(outcome, Unavailable), outcome
            n_answered += 1
        assert not isinstance(transfer.result(), Unavailable), transfer.result()
        assert n_answered >= 5
        relay.close()

    def test_small_calls_are_answered_while_many_peers_are_told(self, start_peers):
        """Guards against leases that end because a change is announced to all peers."""
        servers = [
            start_peers(Announce=_acknowledge_announcement, Notify=_accept_notice)
            for _ in range(N_ANNOUNCED_PEERS)
        ]
        relays = [_Relay(s.ask("port"), LINK_BYTES_PER_SECOND) for s in servers]
        for relay in relays[1:]:
            relay.share_link(relays[0])
        client = start_peers()
        announcement = _announcement(LARGEST_DOCUMENT[:ANNOUNCED_DOCUMENT_BYTES])
        transfers = [
            _send(client, relay.address, "Announce", announcement) for relay in relays
        ]
        while not all(transfer.done() for transfer in transfers):
            for relay in relays:
                outcome = _call(
                    client, relay.address, timeout_seconds=1.0, queue="renders"
                )
                assert not isinstance(outcome, Unavailable), outcome
        for transfer in transfers:
            assert transfer.result().held_revision == 7
        for relay in relays:
            relay.close()

    def test_timeout_of_a_small_call_leaves_a_transfer_alone(self, start_peers):
        """Guards against a transfer that ends with the connection of another call."""
        server = start_peers(
            Announce=_acknowledge_announcement, Notify=lambda request: Future()
        )
        relay = _Relay(server.ask("port"), LINK_BYTES_PER_SECOND)
        client = start_peers()
        transfer = _send(client, relay.address, "Announce", _announcement())
        outcome = _call(client, relay.address, timeout_seconds=0.3)
        assert outcome.reason == Reason.TIMEOUT
        assert not transfer.done()
        assert transfer.result(20).held_revision == 7
        relay.close()

    @pytest.mark.parametrize("method", ["Announce", "FetchDocument"])
    def test_transfer_that_stops_is_given_up(self, start_peers, method):
        """Guards against a peer that is waited for although nothing arrives."""
        server = start_peers(
            Announce=_acknowledge_announcement, FetchDocument=_send_document
        )
        relay = _Relay(server.ask("port"), LINK_BYTES_PER_SECOND)
        is_announced = method == "Announce"
        request = _announcement() if is_announced else peer_pb2.FetchDocumentRequest()
        client = start_peers()
        transfer = _send(client, relay.address, method, request)
        time.sleep(0.5)
        relay.silent_numbers.add(0)
        assert transfer.result(6).reason == Reason.TIMEOUT
        repeated = _send(client, relay.address, method, request).result(20)
        assert not isinstance(repeated, Unavailable), repeated
        relay.close()


class TestMessageAuthenticator:
    """Signatures of messages."""

    @pytest.mark.parametrize("length", ["", "-1", "x", "5", "9999999", "99999999"])
    def test_length_that_is_invalid_or_too_large(self, length):
        """Guards against a body that is read before its length is checked."""
        authenticator = MessageAuthenticator(_KEY)
        metadata = authenticator.sign("request/Confirm", b"body")
        assert authenticator.verify("request/Confirm", metadata) is not None
        parts = metadata["catkin-seal"].split(".")
        metadata["catkin-seal"] = ".".join([parts[0], length, *parts[2:]])
        assert authenticator.verify("request/Confirm", metadata) is None

    @pytest.mark.parametrize("text", ["", "...", "a.1.b", "a.1.b.c.d", "é.1.é.é"])
    def test_malformed_signature(self, text):
        """Guards against an exception where metadata must be rejected."""
        authenticator = MessageAuthenticator(_KEY)
        assert authenticator.verify("request/Confirm", {"catkin-seal": text}) is None

    def test_signed_body_over_the_limit(self):
        """Guards against a member that exhausts the memory of a peer."""
        authenticator = MessageAuthenticator(_KEY)
        body = bytes(4 * 1024 * 1024 + 1)
        metadata = authenticator.sign("request/Announce", body)
        assert authenticator.verify("request/Announce", metadata) is None

    def test_replayed_answer_is_rejected(self):
        """Guards against a replayed answer that renews a lease."""
        authenticator = MessageAuthenticator(_KEY)
        replayed = authenticator.sign("reply/Confirm", b"body", nonce="first")
        assert authenticator.verify("reply/Confirm", replayed, "first") is not None
        assert authenticator.verify("reply/Confirm", replayed, "second") is None

    def test_changed_body_is_rejected(self):
        """Guards against a body that was changed in transit."""
        authenticator = MessageAuthenticator(_KEY)
        metadata = authenticator.sign("request/Leave", b"body")
        assert not authenticator.verify("request/Leave", metadata).matches(b"bodY")
