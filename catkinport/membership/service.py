"""Implementation of ``Membership`` on top of the membership and peers actors."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import CancelledError, Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any

import pykka

from ..adapters.peers_grpc import MessageAuthenticator, PeerCall, PeersActor
from ..ports import Clock, Reason, Refused, Table, Unavailable
from ..protocol import peer_pb2
from . import messages, roster_store
from .acceptance import Change, CommittedChange, commit_change
from .actor import MembershipActor
from .interface import Acceptance, AcceptOutcome, MembershipSnapshot
from .peer_answers import list_answered_methods
from .settings import MembershipSettings, Parse

_logger = logging.getLogger(__name__)

_ACTOR_TIMEOUT_SECONDS = 5.0
# The shutdown is announced by one call to each peer; calls have a shorter timeout.
_LEAVE_TIMEOUT_SECONDS = 2.0
_PEER_TIMEOUT_SECONDS = 3.0
# Handlers of peers' calls may block on a write to the store; further calls are queued.
_N_HANDLER_THREADS = 4

_EMPTY_SNAPSHOT = MembershipSnapshot("", 0.0, 0, None, "", 0, {}, False)


def start_membership(
    settings: MembershipSettings, table: Table, clock: Clock, parse: Parse
) -> "RunningMembership":
    """Start the membership of this daemon.

    The call returns at once. Registration is retried until the store answers, and
    the snapshot has no valid lease before that.

    Args:
        settings: settings of the member.
        table: client of the table service.
        clock: clock of the leases, normally ``BootTimeClock``.
        parse: parses a checked document into the environment.

    Raises:
        ValueError: if a setting is out of its range.
        OSError: if the port for peers cannot be opened.
    """
    settings.check()
    return RunningMembership(settings, table, clock, parse)


class RunningMembership:
    """Implementation of ``Membership`` with a membership actor and a peers actor."""

    def __init__(
        self, settings: MembershipSettings, table: Table, clock: Clock, parse: Parse
    ) -> None:
        self._table = table
        self._clock = clock
        self._timing = settings.timing
        self._snapshot = _EMPTY_SNAPSHOT
        self._lock = threading.Lock()
        self._callbacks: list[Callable[[MembershipSnapshot], None]] = []
        self._notice_handler: Callable[[str, str], bool] = lambda queue, job_id: False
        self._return_handler: Callable[[str, str, int], int] = (
            lambda team, resource, wanted: 0
        )
        self._executor = ThreadPoolExecutor(
            _N_HANDLER_THREADS, thread_name_prefix="peer-handler"
        )
        self._actor = MembershipActor.start(
            settings, table, clock, parse, self._publish
        )
        self._peers = self._start_peers(settings)
        port = self._peers.ask("port")
        self.peer_address = f"{settings.host}:{port}"
        self._actor.tell(messages.Connected(self._peers, self.peer_address))

    def snapshot(self) -> MembershipSnapshot:
        """Return the latest snapshot without blocking."""
        return self._snapshot

    def subscribe(self, callback: Callable[[MembershipSnapshot], None]) -> None:
        """Call ``callback`` with every new snapshot; it must not block."""
        with self._lock:
            self._callbacks.append(callback)

    def accept_document(
        self, document: str, expected_revision: int, change_id: str, operator: str
    ) -> AcceptOutcome:
        """Commit a checked document and block until it is in force on all members."""
        started_at = self._clock.now()
        member_id = self._prepare_acceptance()
        if not isinstance(member_id, str):
            return member_id
        change = Change(document, expected_revision, change_id, operator, member_id)
        committed = commit_change(self._table, self._clock, change)
        if not isinstance(committed, CommittedChange):
            return committed
        return self._await_in_force(committed, started_at)

    def notify_queue(self, controller_id: str, queue: str, job_id: str) -> bool:
        """Tell a controller of a new or cancelled job; return whether it owns it."""
        request = peer_pb2.QueueNotice(queue=queue, job_id=job_id)
        reply = self._call(controller_id, "Notify", request)
        return not isinstance(reply, Unavailable) and reply.is_owner

    def request_allowance_return(
        self, member_id: str, team: str, resource: str, wanted: int
    ) -> int | Unavailable:
        """Ask a member to return idle allowance to the store; return the amount."""
        request = peer_pb2.ReturnRequest(
            member_id=self._snapshot.member_id,
            team=team,
            resource=resource,
            wanted=wanted,
        )
        reply = self._call(member_id, "RequestReturn", request)
        return reply if isinstance(reply, Unavailable) else reply.returned

    def set_queue_notice_handler(self, handler: Callable[[str, str], bool]) -> None:
        """Set the handler of peers' ``notify_queue`` calls.

        It is called as ``handler(queue, job_id)`` and returns whether this member owns
        the queue's pool.
        """
        self._notice_handler = handler

    def set_return_request_handler(
        self, handler: Callable[[str, str, int], int]
    ) -> None:
        """Set the handler of peers' ``request_allowance_return`` calls.

        It is called as ``handler(team, resource, wanted)`` and returns the amount that
        was returned to the store.
        """
        self._return_handler = handler

    def leave(self) -> None:
        """Announce the shutdown to all members, leave the roster and stop."""
        if not self._actor.is_alive():
            return
        result: Future[str] = Future()
        self._tell(messages.Leave(result))
        try:
            member_id = result.result(_LEAVE_TIMEOUT_SECONDS)
        except FutureTimeoutError:
            member_id = self._snapshot.member_id
        failure = roster_store.remove(self._table, [member_id])
        if failure is not None:
            _logger.warning(
                "member left, but its roster entry could not be removed: %s", failure
            )
        self.stop()

    def stop(self) -> None:
        """Stop at once without announcing it, as a killed process would."""
        # The peers actor stops first, so that no call from a peer waits for a
        # membership actor that has stopped.
        if self._peers.is_alive():
            self._peers.stop()
        if self._actor.is_alive():
            self._actor.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _prepare_acceptance(self) -> str | Refused | Unavailable:
        """Return the own id once the member may accept changes.

        A member that has just registered may accept changes after the length of a
        freshness lease; this method waits for that.
        """
        limit = self._timing.plus_margin(self._timing.lease) + 2 * self._timing.renewal
        deadline = self._clock.now() + limit
        while True:
            prepared: Future[Any] = Future()
            self._tell(messages.PrepareAcceptance(prepared))
            outcome = _wait(prepared, _ACTOR_TIMEOUT_SECONDS, "accept-document")
            is_too_early = (
                isinstance(outcome, Refused)
                and outcome.reason == Reason.CONFIGURATION_STALE
            )
            if not is_too_early or self._clock.now() >= deadline:
                return outcome
            self._clock.sleep(self._timing.renewal / 2)

    def _await_in_force(
        self, committed: CommittedChange, started_at: float
    ) -> Acceptance | Unavailable:
        in_force: Future[float] = Future()
        self._tell(
            messages.AwaitInForce(
                committed.revision,
                committed.document,
                list(committed.member_row_by_id),
                in_force,
            )
        )
        limit = self._timing.plus_margin(self._timing.lease) + _ACTOR_TIMEOUT_SECONDS
        in_force_at = _wait(in_force, limit, "await-in-force", may_have_committed=True)
        if isinstance(in_force_at, Unavailable):
            return in_force_at
        return Acceptance(committed.revision, in_force_at - started_at)

    def _start_peers(self, settings: MembershipSettings) -> pykka.ActorRef:
        handler_by_method: dict[str, Callable[[Any], Future[Any]]] = {
            method: self._forward_to_actor(method) for method in list_answered_methods()
        }
        handler_by_method["Notify"] = self._answer_queue_notice
        handler_by_method["RequestReturn"] = self._answer_return_request
        try:
            return PeersActor.start(
                settings.host,
                settings.peer_port,
                MessageAuthenticator(settings.cluster_key),
                handler_by_method,
            )
        except (OSError, ValueError):
            self._actor.stop()
            raise

    def _forward_to_actor(self, method: str) -> Callable[[Any], "Future[Any]"]:
        def handle(request: Any) -> "Future[Any]":
            reply: Future[Any] = Future()
            self._tell(messages.ServeCall(method, request, reply))
            return reply

        return handle

    def _answer_queue_notice(self, request: peer_pb2.QueueNotice) -> "Future[Any]":
        def answer() -> peer_pb2.QueueNoticeReply:
            is_owner = self._notice_handler(request.queue, request.job_id)
            return peer_pb2.QueueNoticeReply(is_owner=is_owner)

        return self._executor.submit(answer)

    def _answer_return_request(self, request: peer_pb2.ReturnRequest) -> "Future[Any]":
        def answer() -> peer_pb2.ReturnReply:
            returned = self._return_handler(
                request.team, request.resource, request.wanted
            )
            return peer_pb2.ReturnReply(returned=returned)

        return self._executor.submit(answer)

    def _call(self, member_id: str, method: str, request: Any) -> Any:
        member = self._snapshot.member_by_id.get(member_id)
        if member is None or not self._peers.is_alive():
            return Unavailable(Reason.NOT_FOUND, f"peer-{method}", member_id)
        result: Future[Any] = Future()
        self._peers.tell(
            PeerCall(
                member.peer_address, method, request, result, _PEER_TIMEOUT_SECONDS
            )
        )
        return _wait(result, _PEER_TIMEOUT_SECONDS + 1.0, f"peer-{method}", True)

    def _publish(self, snapshot: MembershipSnapshot) -> None:
        self._snapshot = snapshot
        with self._lock:
            callbacks = list(self._callbacks)
        for callback in callbacks:
            try:
                callback(snapshot)
            except Exception:
                _logger.exception("snapshot subscriber failed with an exception")

    def _tell(self, message: Any) -> None:
        if self._actor.is_alive():
            self._actor.tell(message)


def _wait(
    future: "Future[Any]",
    timeout_seconds: float,
    step: str,
    may_have_committed: bool = False,
) -> Any:
    try:
        return future.result(timeout_seconds)
    except FutureTimeoutError:
        reason, detail = Reason.TIMEOUT, "no answer in time"
    except CancelledError:
        reason, detail = Reason.STOPPING, "the member stopped or registered anew"
    return Unavailable(reason, step, "", detail, may_have_committed)
