"""Forwards callers' requests to backend servers."""

import itertools
import logging
import random
import threading
import uuid
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any

from ..policy.admission import WaitingRequest
from ..policy.retries import RetryBudget, plan_retry
from ..ports import (
    BackendRequest,
    BackendServers,
    NotRun,
    Reason,
    Refused,
    Unknown,
)
from ..runtime import HttpAnswer, HttpRequest
from ..settings.environment import Service
from .answers import not_run_answer, outcome_headers, unknown_answer
from .backend_answers import (
    HOP_BY_HOP_HEADERS,
    AnswerStream,
    BufferedAnswer,
    Outcome,
    StreamedAnswer,
    forwarded_headers,
    read_answer,
)
from .callers import authorize, reauthorize
from .calls import Call, build_call
from .claims import Claim, Claims, StoredAnswer, request_digest
from .messages import Admit, Grant, Release, Withdraw
from .request_records import RequestRecorder
from .services import EntryServices

logger = logging.getLogger(__name__)

# The caller's key is a secret that backend servers must not see; the deadline header
# is replaced by one with the remaining time.
UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {"authorization", "catkin-deadline-ms"}
# With less time left, a retry would mostly run into its deadline and turn a known
# "not run" into "unknown".
MIN_RETRY_SECONDS = 0.05
_SEED = 20261204


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
        self._lock = threading.Lock()
        self._backends_by_service: dict[str, tuple[Service, BackendServers]] = {}
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._rng = random.Random(_SEED)
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
            return self._answer(call, self._send_with_retries(call), None)
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
        return self._answer(call, self._send_with_retries(call), claim)

    def _send_with_retries(self, call: Call) -> Outcome:
        """Send until there is an answer, a final failure or no time left.

        Once an attempt may have run, the outcome is unknown even if a later attempt
        is refused.
        """
        self._retry_budget(call.service).record_request()
        excluded: frozenset[str] = frozenset()
        unknown: Unknown | None = None
        for attempt in itertools.count(1):
            grant = self._wait_for_slot(call, excluded, attempt > 1)
            if isinstance(grant, NotRun):
                return unknown or grant
            if (
                attempt > 1
                and call.seconds_left(self._services.clock) < MIN_RETRY_SECONDS
            ):
                self._dispatcher.tell(Release(grant))
                return unknown or NotRun(Reason.DEADLINE, "dispatch", "", "", 1.0)
            outcome = self._send_once(call, grant)
            excluded = frozenset({grant.address})
            if isinstance(outcome, NotRun) and self._may_resend(call, outcome):
                continue
            if isinstance(outcome, NotRun | Refused):
                return unknown or outcome
            if not isinstance(outcome, Unknown):
                return outcome
            unknown = outcome
            if not call.is_idempotent or not call.body.is_repeatable:
                return unknown
            if not self._wait_for_retry(call, attempt):
                return unknown
        raise AssertionError("unreachable")

    def _wait_for_slot(
        self, call: Call, excluded: frozenset[str], is_requeued: bool
    ) -> Grant | NotRun:
        team = call.authorized.team
        request = WaitingRequest(
            call.request_id,
            team.name,
            team.weight,
            call.authorized.queue.is_urgent,
            call.deadline,
        )
        future: Future[Grant | NotRun] = Future()
        self._dispatcher.tell(
            Admit(request, call.service, excluded, is_requeued, future)
        )
        remaining = call.seconds_left(self._services.clock)
        try:
            return future.result(max(0.0, remaining))
        except FutureTimeoutError:
            if not future.cancel():
                return future.result()
            self._dispatcher.tell(Withdraw(request, call.service.name))
            return NotRun(Reason.DEADLINE, "admission", "", "", 1.0)

    def _send_once(self, call: Call, grant: Grant) -> Outcome:
        refusal = self._reauthorize(call)
        if refusal is not None:
            self._dispatcher.tell(Release(grant))
            return refusal
        try:
            sent = self._backend_servers(call.service).send(
                grant.address, self._backend_request(call)
            )
            outcome = read_answer(sent, grant, self._services.max_held_answer_bytes)
        except BaseException:
            self._dispatcher.tell(Release(grant, is_failure=True))
            raise
        if not isinstance(outcome, StreamedAnswer):
            self._dispatcher.tell(_build_release(grant, outcome))
        return outcome

    def _may_resend(self, call: Call, outcome: NotRun) -> bool:
        """Return whether a request that did not run is sent again."""
        if outcome.reason not in (Reason.CONNECT_FAILED, Reason.BACKEND_FULL):
            return False
        # A server that refused a streamed body may have read a part of it.
        is_untouched = outcome.reason == Reason.CONNECT_FAILED
        is_repeatable = call.body.is_repeatable or is_untouched
        return is_repeatable and self._services.clock.now() < call.deadline

    def _wait_for_retry(self, call: Call, attempt: int) -> bool:
        clock = self._services.clock
        with self._lock:
            seconds = plan_retry(
                attempt,
                clock.now(),
                call.deadline,
                self._retry_budget(call.service),
                self._rng,
            )
        if seconds is None:
            return False
        clock.sleep(seconds)
        return True

    def _backend_request(self, call: Call) -> BackendRequest:
        remaining = call.seconds_left(self._services.clock)
        headers = {
            name: value
            for name, value in call.headers.items()
            if name not in UNFORWARDED_HEADERS
        }
        headers["Catkin-Deadline-Ms"] = str(max(0, int(remaining * 1000)))
        headers["Catkin-Request-Id"] = call.request_id
        headers["Catkin-Team"] = call.authorized.team.name
        return BackendRequest(
            call.method,
            call.path,
            headers,
            call.body.chunks(),
            call.body.length,
            call.deadline,
            call.is_idempotent,
            lambda: self._reauthorize(call) is None,
        )

    def _reauthorize(self, call: Call) -> Refused | None:
        snapshot = self._services.membership.snapshot()
        return reauthorize(call.authorized, snapshot, self._services.clock)

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

    def _backend_servers(self, service: Service) -> BackendServers:
        with self._lock:
            known = self._backends_by_service.get(service.name)
            if known is None or known[0] != service:
                created = self._services.create_backend_servers(service)
                known = (service, created)
                self._backends_by_service[service.name] = known
            return known[1]

    def _retry_budget(self, service: Service) -> RetryBudget:
        return self._budget_by_service.setdefault(
            service.name, RetryBudget(self._services.retry_fraction)
        )


def _build_release(grant: Grant, outcome: Outcome) -> Release:
    if isinstance(outcome, NotRun) and outcome.reason == Reason.BACKEND_FULL:
        return Release(grant, is_full=True)
    is_failure = isinstance(outcome, Unknown) or (
        isinstance(outcome, NotRun) and outcome.reason == Reason.CONNECT_FAILED
    )
    return Release(grant, is_failure)
