"""Actor that decides on membership; it makes no blocking calls itself."""

import logging
import threading
import uuid
from collections.abc import Callable, Mapping
from typing import Any

import pykka

from ..policy.freshness import Freshness
from ..ports import Clock, Table, Unavailable
from ..runtime import log_event
from ..state import MemberRow
from . import messages, roster_store
from .change_answers import ChangeAnswers
from .evictions import evict_or_remove_members
from .interface import MembershipSnapshot
from .member_state import MemberState
from .outbox import Outbox
from .peer_answers import PeerAnswers
from .peer_client import PeerClient
from .roster_client import RosterClient
from .settings import MembershipSettings, Parse
from .wire import answer_from_message

_logger = logging.getLogger(__name__)

Publish = Callable[[MembershipSnapshot], None]


class MembershipActor(pykka.ThreadingActor):
    """Actor that owns the freshness state and the configuration of one member.

    After each message it publishes its snapshot, then sends the answers and the calls
    to peers that the message led to. What it tells others is thus never ahead of what
    the readers of the snapshot act on.

    Args:
        settings: settings of the member.
        table: client of the table service, used in the store actors only.
        clock: clock of the leases.
        parse: parses a document into the environment.
        publish: called with every new snapshot.
    """

    use_daemon_thread = True

    def __init__(
        self,
        settings: MembershipSettings,
        table: Table,
        clock: Clock,
        parse: Parse,
        publish: Publish,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._table = table
        self._clock = clock
        self._publish = publish
        self._peer_address = ""
        self._state = MemberState(new_member_id(settings.role), parse)
        self._is_leaving = False
        self._outbox = Outbox()
        self._peers = PeerClient(self._outbox, self._tell)
        self._answers = PeerAnswers(self._state, self._peers, clock)
        self._changes = ChangeAnswers(self._state, self._peers, self._outbox, clock)
        self._stop_ticker = threading.Event()
        self._handler_by_type: Mapping[type, Callable[[Any], None]] = {
            messages.Tick: self._on_tick,
            messages.StoreRead: self._on_store_read,
            messages.Registered: self._on_registered,
            messages.StoreWritten: self._on_store_written,
            messages.PeerConfirmed: self._on_peer_confirmed,
            messages.PeerAcknowledged: self._changes.on_peer_acknowledged,
            messages.FetchEnded: self._on_fetch_ended,
            messages.ServeCall: self._on_serve_call,
            messages.PrepareAcceptance: self._on_prepare_acceptance,
            messages.AwaitInForce: self._changes.await_in_force,
            messages.Leave: self._on_leave,
            messages.Connected: self._on_connected,
        }

    def on_start(self) -> None:
        """Start the threads for store calls."""
        self._roster = RosterClient(self._table, self._clock, self._tell)

    def on_stop(self) -> None:
        """Stop the ticker and the store calls without waiting for the store."""
        self._stop_ticker.set()
        self._roster.stop()

    def on_receive(self, message: Any) -> None:
        """Handle a message; an error is logged and leaves the actor running."""
        try:
            self._handler_by_type[type(message)](message)
        except Exception:
            _logger.exception(
                "handling of membership message failed: %s", type(message).__name__
            )
            if isinstance(message, messages.ServeCall):
                error = RuntimeError("membership failed to handle the call")
                self._outbox.fail(message.reply, error)
        self._publish_and_send()

    def _publish_and_send(self) -> None:
        """Publish the snapshot, then send what may leave only after it.

        If the publication fails, answers and calls wait for the next one.
        """
        try:
            self._publish(self._state.snapshot(self._clock.now()))
        except Exception:
            _logger.exception("publication of the membership snapshot failed")
            return
        self._outbox.send_all()

    def _on_connected(self, message: messages.Connected) -> None:
        self._peers.connect(message.peers)
        self._peer_address = message.peer_address
        self._register()
        threading.Thread(target=self._run_ticker, daemon=True).start()

    def _run_ticker(self) -> None:
        while not self._stop_ticker.wait(self._settings.timing.renewal):
            if not self.actor_ref.is_alive():
                return
            self.actor_ref.tell(messages.Tick())

    def _on_tick(self, message: messages.Tick) -> None:
        if self._is_leaving:
            return
        if self._state.freshness is None:
            self._register()
            return
        self._state.freshness.tick(self._clock.now())
        self._read_store()
        self._ask_peers_to_confirm()
        evict_or_remove_members(self._state, self._roster, self._clock.now())
        self._changes.answer_those_in_force()

    def _read_store(self) -> None:
        self._roster.read(self._state.store_state)

    def _on_store_read(self, message: messages.StoreRead) -> None:
        self._roster.on_read_ended()
        freshness, state = self._state.freshness, message.state
        if freshness is None:
            return
        if not isinstance(state, roster_store.StoreState):
            self._on_store_read_failed(freshness, state)
            return
        now = self._clock.now()
        self._apply_document(state.revision, state.document)
        freshness.on_store_read(message.sent_at, now, state.revision, state.view)
        self._apply_state(state)
        if freshness.is_evicted and not self._is_leaving:
            self._register_anew(freshness)
        self._changes.answer_those_in_force()

    def _on_store_read_failed(
        self, freshness: Freshness, failure: Unavailable | None
    ) -> None:
        if freshness.is_store_reachable(self._clock.now()):
            reason = failure.reason if failure else "error"
            log_event(
                _logger,
                "store read failed",
                logging.WARNING,
                step="membership-read",
                reason=reason,
            )
        freshness.on_store_failed()
        # Without the store, the lease is renewed by confirmations of the peers.
        self._ask_peers_to_confirm()

    def _apply_state(self, state: roster_store.StoreState) -> None:
        if state is self._state.store_state:
            return
        self._state.apply_store_state(state)
        self._peers.forget_absent(state)

    def _register(self) -> None:
        self._roster.register(self._state.member_id, self._member_row())

    def _member_row(self) -> MemberRow:
        return {
            "role": self._settings.role,
            "peer_address": self._peer_address,
            "admin_address": self._settings.admin_address,
            "zone": self._settings.zone,
            "is_evicted": False,
        }

    def _on_registered(self, message: messages.Registered) -> None:
        self._roster.on_write_ended()
        state = message.state
        if not isinstance(state, roster_store.StoreState):
            # The next tick registers again.
            log_event(
                _logger,
                "registration failed",
                logging.WARNING,
                step="membership-register",
                reason=getattr(state, "reason", "error"),
            )
            return
        now = self._clock.now()
        self._state.freshness = Freshness(
            self._state.member_id,
            state.view,
            now,
            self._state.configuration.revision,
            self._settings.timing,
        )
        self._apply_document(state.revision, state.document)
        self._state.freshness.on_revision_known(state.revision, now)
        self._apply_state(state)
        log_event(_logger, "registered", member_id=self._state.member_id)
        self._read_store()
        self._ask_peers_to_confirm()

    def _register_anew(self, freshness: Freshness) -> None:
        log_event(
            _logger,
            "own eviction detected",
            logging.WARNING,
            member_id=self._state.member_id,
        )
        self._changes.cancel_all()
        self._state.freshness = None
        self._state.member_id = new_member_id(self._settings.role)
        self._register()

    def _on_store_written(self, message: messages.StoreWritten) -> None:
        self._roster.on_write_ended()
        if self._state.freshness is not None:
            self._read_store()

    def _apply_document(self, revision: int, document: str) -> None:
        self._state.apply_document(revision, document, self._clock.now())

    def _on_fetch_ended(self, message: messages.FetchEnded) -> None:
        self._peers.on_fetch_ended()
        self._apply_document(message.revision, message.document)

    def _ask_peers_to_confirm(self) -> None:
        freshness = self._state.freshness
        if freshness is None or self._is_leaving:
            return
        now = self._clock.now()
        for peer_id in freshness.peers_to_ask(now):
            self._peers.confirm(peer_id, freshness, now)

    def _on_peer_confirmed(self, message: messages.PeerConfirmed) -> None:
        freshness, reply = self._state.freshness, message.reply
        if freshness is None or isinstance(reply, Unavailable):
            return
        if reply.member_id != message.peer_id:
            # A restarted member has the same address but a new id.
            return
        answer = answer_from_message(reply, freshness.view)
        self._peers.on_confirmed(message.peer_id, reply.view.roster_version)
        freshness.on_peer_answer(answer, message.sent_at, self._clock.now())
        peer = freshness.view.member_by_id.get(message.peer_id)
        self._peers.fetch_document_if_behind(
            freshness, peer.peer_address if peer else ""
        )
        self._ask_peers_to_confirm()

    def _on_serve_call(self, message: messages.ServeCall) -> None:
        freshness = self._state.freshness
        if freshness is None:
            error = RuntimeError("member is not registered yet")
            self._outbox.fail(message.reply, error)
            return
        answer = self._answers.answer(message.method, message.request, freshness)
        self._outbox.answer(message.reply, answer)

    def _on_prepare_acceptance(self, message: messages.PrepareAcceptance) -> None:
        self._changes.prepare_acceptance(message, self._is_leaving)

    def _on_leave(self, message: messages.Leave) -> None:
        self._is_leaving = True
        self._stop_ticker.set()
        freshness = self._state.freshness
        if freshness is None:
            self._outbox.answer(message.result, self._state.member_id)
            return
        member_id = self._state.member_id
        view = freshness.stop(self._clock.now())

        def answer() -> None:
            # The calls were sent after the end of the lease was published.
            if not message.result.done():
                message.result.set_result(member_id)

        self._peers.leave(freshness, view, answer)

    def _tell(self, message: Any) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(message)


def new_member_id(role: str) -> str:
    """Return a random id, so that a member never reuses the id of another one."""
    return f"{role}-{uuid.uuid4().hex[:16]}"
