"""Sends callers' requests to backend servers, with retries."""

import itertools
import random
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any

from ..policy.admission import WaitingRequest
from ..policy.retries import RetryBudget, plan_retry
from ..ports import BackendRequest, BackendServers, NotRun, Reason, Refused, Unknown
from ..settings.environment import Service
from .backend_answers import (
    HOP_BY_HOP_HEADERS,
    Outcome,
    StreamedAnswer,
    read_answer,
)
from .callers import reauthorize
from .calls import Call
from .messages import Admit, Grant, Release, Withdraw
from .services import EntryServices

# The caller's key is a secret that backend servers must not see; the deadline header
# is replaced by one with the remaining time.
UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {"authorization", "catkin-deadline-ms"}
# With less time left, a retry would mostly run into its deadline and turn a known
# "not run" into "unknown".
MIN_RETRY_SECONDS = 0.05
_SEED = 20261204


class RequestSender:
    """Waits for slots and sends requests; used by several threads at once.

    Args:
        services: ports and shared objects.
        dispatcher: the ``DispatchActor``.
    """

    def __init__(self, services: EntryServices, dispatcher: Any) -> None:
        self._services = services
        self._dispatcher = dispatcher
        self._lock = threading.Lock()
        self._backends_by_service: dict[str, tuple[Service, BackendServers]] = {}
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._rng = random.Random(_SEED)

    def send(self, call: Call) -> Outcome:
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
            if attempt > 1 and not self._has_time_to_retry(call):
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

    def _has_time_to_retry(self, call: Call) -> bool:
        return call.seconds_left(self._services.clock) >= MIN_RETRY_SECONDS

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
