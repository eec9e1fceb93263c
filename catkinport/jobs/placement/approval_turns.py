"""Decides which step's approval is requested next, and how long its answer may take.

The advice service handles the calls of a daemon one after the other, each for a time
that the queue's terms tell. A call that is sent behind others waits for their time too,
and its tickets count from its sending. So calls are sent one at a time, and steps wait
for their turn here, where those that are no longer wanted are dropped.
"""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

from ..configuration import ApprovalTerms

ANSWER_MARGIN_SECONDS = 3.0
"""Longest time that an answer may take beyond that of the service, by its terms."""

OVERDUE_SECONDS = 1.0
"""Time beyond that of the service after which an answer counts as lost, so that another
call may be sent beside it."""

MAX_CALLS = 2
"""Most calls under way, all but the latest of which are overdue."""

MAX_UNWANTED_SECONDS = 1.0
"""Time for which a request waits although no round of planning has wanted it. A round
may end before it has seen all jobs."""

FIRST_RETRY_SECONDS = 0.2
"""Pause after a failed call. It doubles with each further failure."""

MAX_RETRY_SECONDS = 3.2
"""Longest such pause."""

MAX_SLOWNESS = 4.0
"""Most times by which a call is expected to take longer than the terms say."""

SLOWNESS_FACTOR = 1.5
"""Factor on that expectation after a call without an answer."""


class ApprovalKind(IntEnum):
    """What a request is for; of the steps of one account, the lower ones come first."""

    FIRST = 0
    RENEWAL = 1
    REPEATED_QUESTION = 2


class ApprovalRequest(NamedTuple):
    """Request of approvals of workers for a step.

    Args:
        stage: name of the step within its job's occurrence.
        worker_ids: ids of the workers.
        terms: terms of its queue.
        priority: priority of its queue; 0 comes first.
        account: client account of its job.
        kind: whether the step had approvals before, or all workers were asked for.
    """

    stage: str
    worker_ids: tuple[str, ...]
    terms: ApprovalTerms
    priority: int = 0
    account: str = ""
    kind: ApprovalKind = ApprovalKind.FIRST


class ApprovalCall(NamedTuple):
    """A call to the advice service that may be sent now.

    Args:
        request: what it asks for.
        sent_at: clock time in seconds.
        due_at: clock time in seconds at which the service should answer, by its terms
            and its latest answers.
        timeout_seconds: longest wait for the answer.
        waited_seconds: time for which the request has waited for its turn.
    """

    request: ApprovalRequest
    sent_at: float
    due_at: float
    timeout_seconds: float
    waited_seconds: float

    def find_end(self, answered_at: float) -> float:
        """Return the clock time in seconds until which its tickets hold.

        A ticket holds from some moment between the sending of the call and its answer,
        so the sending counts. Where tickets would be over as they come by that, the
        answer does: otherwise none could ever be used.

        Args:
            answered_at: clock time in seconds of the answer.
        """
        valid_seconds = self.request.terms.valid_seconds
        is_over = self.sent_at + valid_seconds <= answered_at
        return (answered_at if is_over else self.sent_at) + valid_seconds


class _Waiting(NamedTuple):
    request: ApprovalRequest
    since: float
    wanted_at: float


class ApprovalTurns:
    """Requests that wait for their turn, and the calls under way.

    Queues of a lower priority number come first, then the account whose latest call is
    longest ago, so that a burst of one account doesn't hold up another one.

    Example:
        >>> turns = ApprovalTurns()
        >>> terms = ApprovalTerms(10.0, decide_seconds=1.0, each_seconds=0.1)
        >>> requests = [ApprovalRequest(name, ("w1",), terms) for name in ("a", "b")]
        >>> turns.update({request.stage: request for request in requests}, now=0.0)
        >>> call = turns.take(now=0.0)
        >>> call.request.stage, round(call.timeout_seconds, 1)
        ('a', 4.1)
        >>> turns.take(now=0.5) is None
        True
        >>> turns.end(call, is_answered=True, now=1.1)
        >>> turns.take(now=1.1).request.stage
        'b'
    """

    def __init__(self) -> None:
        self._waiting_by_stage: dict[str, _Waiting] = {}
        self._call_by_stage: dict[str, ApprovalCall] = {}
        self._served_at_by_account: dict[str, float] = {}
        self._busy_until = float("-inf")
        self._retry_at = float("-inf")
        self._n_failures = 0
        self._slowness = 1.0
        self._answered_at = float("-inf")

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait for their turn."""
        return len(self._waiting_by_stage)

    def update(self, wanted: Mapping[str, ApprovalRequest], now: float) -> None:
        """Add what a round of planning wants, and drop what none has wanted lately.

        Args:
            wanted: requests by the name of the step.
            now: clock time in seconds.
        """
        for stage, request in wanted.items():
            if stage not in self._call_by_stage:
                former = self._waiting_by_stage.get(stage)
                since = former.since if former else now
                self._waiting_by_stage[stage] = _Waiting(request, since, now)
        for stage, waiting in list(self._waiting_by_stage.items()):
            if now - waiting.wanted_at > MAX_UNWANTED_SECONDS:
                del self._waiting_by_stage[stage]

    def take(self, now: float) -> ApprovalCall | None:
        """Return the next call to send, if one may be sent now."""
        if not self._waiting_by_stage or not self._may_send(now):
            return None
        waiting = min(self._waiting_by_stage.values(), key=self._rank)
        request = waiting.request
        del self._waiting_by_stage[request.stage]
        # The service may still be handling calls that were given up.
        self._busy_until = max(self._busy_until, now)
        seconds = request.terms.call_seconds(len(request.worker_ids))
        self._busy_until += seconds * self._slowness
        timeout_seconds = self._busy_until - now + ANSWER_MARGIN_SECONDS
        call = ApprovalCall(
            request, now, self._busy_until, timeout_seconds, now - waiting.since
        )
        self._call_by_stage[request.stage] = call
        self._served_at_by_account[request.account] = now
        return call

    def end(self, call: ApprovalCall, is_answered: bool, now: float) -> None:
        """Note the end of a call.

        Args:
            call: the call.
            is_answered: whether it brought an answer that could be used.
            now: clock time in seconds.
        """
        self._call_by_stage.pop(call.request.stage, None)
        if is_answered:
            self._n_failures = 0
            self._retry_at = now
            self._note_answered(call, now)
            return
        self._slowness = min(self._slowness * SLOWNESS_FACTOR, MAX_SLOWNESS)
        pause_seconds = FIRST_RETRY_SECONDS * 2**self._n_failures
        self._retry_at = now + min(pause_seconds, MAX_RETRY_SECONDS)
        if pause_seconds < MAX_RETRY_SECONDS:
            self._n_failures += 1

    def _note_answered(self, call: ApprovalCall, now: float) -> None:
        """Learn how slow the service is, which handles the calls one by one."""
        request = call.request
        by_terms = request.terms.call_seconds(len(request.worker_ids))
        seconds = now - max(call.sent_at, self._answered_at)
        if by_terms > 0:
            self._slowness = min(max(1.0, seconds / by_terms), MAX_SLOWNESS)
        self._answered_at = now
        if not self._call_by_stage:
            self._busy_until = now

    def _may_send(self, now: float) -> bool:
        calls = self._call_by_stage.values()
        are_overdue = all(now > call.due_at + OVERDUE_SECONDS for call in calls)
        return len(calls) < MAX_CALLS and are_overdue and now >= self._retry_at

    def _rank(self, waiting: _Waiting) -> tuple[float, float, int, float]:
        request = waiting.request
        served_at = self._served_at_by_account.get(request.account, float("-inf"))
        return request.priority, served_at, request.kind, waiting.since
