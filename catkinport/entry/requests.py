"""Forwards callers' requests to backend servers."""

import logging
import uuid
from typing import Any

from ..ports import Reason, Refused, Unknown
from ..runtime import HttpAnswer, HttpRequest
from .answers import not_run_answer, outcome_headers, unknown_answer
from .backend_answers import (
    AnswerStream,
    BufferedAnswer,
    Outcome,
    StreamedAnswer,
    forwarded_headers,
)
from .callers import authorize
from .calls import Call, build_call
from .claims import Claim, Claims, StoredAnswer, request_digest
from .messages import Release
from .request_records import RequestRecorder
from .request_sender import RequestSender
from .services import EntryServices

logger = logging.getLogger(__name__)


class RequestForwarder:
    """Handles requests to queues; its methods run in the server's threads.

    Args:
        services: ports and shared objects.
        dispatcher: the ``DispatchActor``.
        claims: claims of non-idempotent requests.
    """

    def __init__(self, services: EntryServices, dispatcher: Any, claims: Claims):
        self._services = services
        self._dispatcher = dispatcher
        self._claims = claims
        self._recorder = RequestRecorder(services.clock, services.metrics)
        self._sender = RequestSender(services, dispatcher)
        self.is_stopping = False

    def handle(self, request: HttpRequest, queue: str, path: str) -> HttpAnswer:
        """Forward a request to the service of its queue and return the answer.

        If it did not run or its outcome is not known, the answer says so.
        """
        request_id = uuid.uuid4().hex
        started_at = self._services.clock.now()
        call = self._prepare_call(request, queue, path, request_id)
        if isinstance(call, Refused):
            self._recorder.record_refusal(request_id, queue, call, started_at)
            return not_run_answer(call, request_id)
        try:
            return self._claim_and_send(call)
        except Exception:
            logger.exception("request failed")
            # After an internal error it is not known whether the request ran.
            return self._answer(call, Unknown(Reason.CONNECTION_LOST, "entry"), None)

    def _prepare_call(
        self, request: HttpRequest, queue: str, path: str, request_id: str
    ) -> Call | Refused:
        clock = self._services.clock
        started_at = clock.now()
        if self.is_stopping:
            return Refused(Reason.STOPPING, "admission")
        snapshot = self._services.membership.snapshot()
        authorization = request.headers.get("authorization")
        authorized = authorize(snapshot, clock, queue, authorization)
        if isinstance(authorized, Refused):
            return authorized
        return build_call(
            request,
            path,
            request_id,
            authorized,
            started_at,
            self._services.max_body_bytes,
        )

    def _claim_and_send(self, call: Call) -> HttpAnswer:
        if call.is_idempotent or not call.idempotency_key:
            return self._answer(call, self._sender.send(call), None)
        digest = request_digest(
            call.method, call.path, call.body.length, call.body.prefix
        )
        claim = self._claims.take(
            call.authorized.team.name, call.idempotency_key, digest
        )
        if isinstance(claim, StoredAnswer):
            return self._replay(call, claim)
        if not isinstance(claim, Claim):
            return self._answer(call, claim, None)
        if claim.row["member_id"] != call.authorized.member_id:
            outcome = Refused(Reason.CONFIGURATION_STALE, "claim")
            return self._answer(call, outcome, claim)
        return self._answer(call, self._sender.send(call), claim)

    def _answer(self, call: Call, outcome: Outcome, claim: Claim | None) -> HttpAnswer:
        if claim is not None:
            self._record_claim_outcome(claim, outcome)
        if isinstance(outcome, StreamedAnswer):
            return self._stream_answer(call, outcome)
        if isinstance(outcome, BufferedAnswer):
            self._recorder.record_end(call, "answered", None)
            headers = forwarded_headers(outcome.headers, call.request_id)
            return HttpAnswer(outcome.status, outcome.content, headers)
        if isinstance(outcome, Unknown):
            self._recorder.record_end(call, "unknown", outcome)
            return unknown_answer(outcome, call.request_id)
        self._recorder.record_end(call, "not-run", outcome)
        return not_run_answer(outcome, call.request_id)

    def _record_claim_outcome(self, claim: Claim, outcome: Outcome) -> None:
        if isinstance(outcome, BufferedAnswer):
            content_type = outcome.headers.get("Content-Type", "")
            self._claims.finish(claim, outcome.status, content_type, outcome.content)
        elif isinstance(outcome, StreamedAnswer):
            self._claims.finish_without_answer(claim, outcome.answer.status)
        else:
            self._claims.abandon(claim, isinstance(outcome, Unknown))

    def _replay(self, call: Call, stored: StoredAnswer) -> HttpAnswer:
        self._recorder.record_end(call, "answered", None)
        headers = outcome_headers("answered", "", call.request_id)
        headers["Catkin-Replayed"] = "true"
        if stored.content_type:
            headers["Content-Type"] = stored.content_type
        return HttpAnswer(stored.status, stored.content, headers)

    def _stream_answer(self, call: Call, outcome: StreamedAnswer) -> HttpAnswer:
        answer = outcome.answer
        headers = forwarded_headers(answer.headers, call.request_id)
        length = answer.headers.get("Content-Length")
        if length is not None:
            headers["Content-Length"] = length

        def on_end(failure: Unknown | None, is_server_failure: bool) -> None:
            self._dispatcher.tell(Release(outcome.grant, is_server_failure))
            kind = "answered" if failure is None else "unknown"
            self._recorder.record_end(call, kind, failure)

        return HttpAnswer(answer.status, AnswerStream(outcome, on_end), headers)
