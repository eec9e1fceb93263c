"""Calls of the membership actor to its peers."""

import logging
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

import pykka

from ..adapters.peers_grpc import PeerCall
from ..policy.freshness import Freshness, View
from ..ports import Reason, Unavailable
from ..protocol import peer_pb2
from . import messages
from .configuration import AppliedConfiguration
from .outbox import Outbox
from .roster_store import StoreState
from .wire import view_to_message

_logger = logging.getLogger(__name__)

OnDone = Callable[[Any], None]
Report = Callable[[Any], None]


class PeerClient:
    """Builds calls to peers, leaves them in the outbox and reports the results.

    Args:
        outbox: sends the calls once the snapshot is published.
        report: called with a message for each result, in another thread.
    """

    def __init__(self, outbox: Outbox, report: Report) -> None:
        self._outbox = outbox
        self._report = report
        self._peers: pykka.ActorRef[Any] | None = None
        self._roster_version_by_peer: dict[str, int] = {}
        self._is_fetching = False

    def connect(self, peers: pykka.ActorRef[Any]) -> None:
        """Use ``peers`` for all calls; before, every call ends as unavailable."""
        self._peers = peers

    def forget_absent(self, state: StoreState) -> None:
        """Drop what is known of peers that ``state`` no longer lists."""
        for peer_id in self._roster_version_by_peer.keys() - state.member_row_by_id:
            del self._roster_version_by_peer[peer_id]

    def confirm(self, peer_id: str, freshness: Freshness, now: float) -> None:
        """Ask a peer to confirm the lease; report ``PeerConfirmed``."""

        def on_done(reply: Any) -> None:
            self._report(messages.PeerConfirmed(peer_id, now, reply))

        peer_version = self._roster_version_by_peer.get(peer_id, 0)
        request = peer_pb2.ConfirmRequest(
            member_id=freshness.member_id,
            revision=freshness.known_revision,
            view=view_to_message(freshness.view, peer_version),
        )
        address = freshness.view.member_by_id[peer_id].peer_address
        self._call(address, "Confirm", request, on_done)

    def on_confirmed(self, peer_id: str, roster_version: int) -> None:
        """Keep the version of the roster that a peer has, to send it only once."""
        self._roster_version_by_peer[peer_id] = roster_version

    def announce(
        self, freshness: Freshness, configuration: AppliedConfiguration
    ) -> None:
        """Send the configuration to all peers; report ``PeerAcknowledged`` for each."""
        request = peer_pb2.Announcement(
            member_id=freshness.member_id,
            revision=configuration.revision,
            document=configuration.document,
        )

        def on_done(reply: Any) -> None:
            if not isinstance(reply, Unavailable):
                self._report(
                    messages.PeerAcknowledged(reply.member_id, reply.held_revision)
                )

        for peer_id in freshness.view.live_ids() - {freshness.member_id}:
            address = freshness.view.member_by_id[peer_id].peer_address
            self._call(address, "Announce", request, on_done)

    def fetch_document_if_behind(self, freshness: Freshness, address: str) -> None:
        """Fetch the configuration if a later revision is known.

        Only one call is in progress at a time. ``FetchEnded`` is reported, after which
        ``on_fetch_ended`` must be called.
        """
        if self._is_fetching or not address:
            return
        if freshness.held_revision >= freshness.known_revision:
            return
        self._is_fetching = True
        request = peer_pb2.FetchDocumentRequest(member_id=freshness.member_id)

        def on_done(reply: Any) -> None:
            if isinstance(reply, Unavailable):
                reply = peer_pb2.FetchDocumentReply()
            self._report(messages.FetchEnded(reply.revision, reply.document))

        self._call(address, "FetchDocument", request, on_done)

    def on_fetch_ended(self) -> None:
        """Allow the next fetch."""
        self._is_fetching = False

    def leave(
        self, freshness: Freshness, view: View, on_all_done: Callable[[], None]
    ) -> None:
        """Announce the shutdown to all peers.

        ``on_all_done`` is called once every call has ended, in another thread, or with
        the outbox if there is no peer.
        """
        request = peer_pb2.LeaveRequest(
            member_id=freshness.member_id,
            view=view_to_message(view),
            revision=freshness.known_revision,
        )
        waiting = set(view.live_ids() - {freshness.member_id})
        if not waiting:
            self._outbox.add(on_all_done)
        for peer_id in sorted(waiting):

            def on_done(reply: Any, peer_id: str = peer_id) -> None:
                waiting.discard(peer_id)
                if not waiting:
                    on_all_done()

            address = view.member_by_id[peer_id].peer_address
            self._call(address, "Leave", request, on_done)

    def _call(self, address: str, method: str, request: Any, on_done: OnDone) -> None:
        result: Future[Any] = Future()

        def finish(future: "Future[Any]") -> None:
            error = future.exception()
            if error is not None:
                _logger.error(
                    "peer call %s failed with an exception", method, exc_info=error
                )
                on_done(Unavailable(Reason.CONNECTION_LOST, method, address))
                return
            on_done(future.result())

        result.add_done_callback(finish)
        call = PeerCall(address, method, request, result)
        self._outbox.add(lambda: self._send(call))

    def _send(self, call: PeerCall) -> None:
        if self._peers is None or not self._peers.is_alive():
            stopping = Unavailable(Reason.STOPPING, call.method, call.address)
            call.result.set_result(stopping)
            return
        self._peers.tell(call)
