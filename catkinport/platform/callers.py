"""HTTP interface through which callers submit, show and cancel jobs."""

import asyncio
import json
import logging
import math
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from aiohttp import web

from ..jobs.configuration import AcceptedRules, FleetConfiguration, Queue
from ..jobs.configuration_watch import ConfigurationWatch
from ..jobs.intake import (
    Absent,
    Accepted,
    Canceled,
    IdInUse,
    Intake,
    TooLarge,
    describe,
)
from ..jobs.ownership.ownership_watch import QueueDepths
from ..policy.call_deadlines import answer_seconds
from ..ports import NotRun, Reason, Unavailable, Unknown
from ..ports.clock import Clock
from ..runtime import Metrics
from ..runtime.logs import log_event
from . import decoding
from .jobs_codec import JOB_ID_PATTERN, decode_job
from .listener import BEGAN_AT

logger = logging.getLogger(__name__)

MAX_DEPTHS_AGE_SECONDS = 1.6
"""Largest age at which the number of waiting jobs is sent. It may be at most 2 s old
when the caller gets it."""

RETRY_AFTER_SECONDS = 1
"""Smallest value of ``Retry-After`` in answers with status 429 and 503."""

KEY_PREFIX = "Token "

DEADLINE_HEADER = "X-Catkinport-Deadline-Ms"
"""Header with the milliseconds from the sending of a call until its deadline."""


class JobCall(NamedTuple):
    """A call that concerns one job.

    Args:
        queue: queue on which it arrived.
        account: account of the caller; empty on a queue that needs no key.
        job_id: id of the job.
        answer_by: time of the event loop's clock by which it is answered.
    """

    queue: Queue
    account: str
    job_id: str
    answer_by: float


class ConfigurationAgeLimit(NamedTuple):
    """Age in seconds from which on a configuration is too old to check keys with."""

    longest_age: float


class Answer(NamedTuple):
    """An answer to a caller; ``reason`` is logged but not sent."""

    status: int
    body: dict[str, Any] | None = None
    reason: str = ""
    retry_after: int = 0


CONFIGURATION_STALE = Answer(
    503, reason="configuration-stale", retry_after=RETRY_AFTER_SECONDS
)


class CallerServer:
    """Answers the calls of callers.

    Args:
        intake: stores jobs and cancellations.
        configuration: follows the configuration in force.
        depths: returns the number of waiting jobs of each queue, as last read; ``None``
            if unknown.
        clock: steady clock.
        metrics: metrics of the process.
        age_limit: how old the configuration may be for calls with a key, and for the
            answer that a queue does not exist.
    """

    def __init__(
        self,
        intake: Intake,
        configuration: ConfigurationWatch,
        depths: Callable[[], QueueDepths | None],
        clock: Clock,
        metrics: Metrics,
        age_limit: ConfigurationAgeLimit,
    ) -> None:
        self._intake = intake
        self._configuration = configuration
        self._depths = depths
        self._clock = clock
        self._metrics = metrics
        self._age_limit = age_limit
        self.n_in_flight = 0
        self.is_stopping = False

    def is_ready(self) -> bool:
        """Return whether the daemon can serve new connections."""
        is_configured = self._configuration.current is not None
        is_current = is_configured and not self._is_configuration_stale()
        return is_current and not self.is_stopping

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request, count it in the metrics and log changes and errors."""
        started_at = self._clock.now()
        self.n_in_flight += 1
        try:
            answer = await self._answer(request)
        finally:
            self.n_in_flight -= 1
        seconds = self._clock.now() - started_at
        labels = {"method": request.method, "status": str(answer.status)}
        self._metrics.increment("calls", "Calls answered.", labels)
        self._metrics.observe(
            "call_seconds",
            "Time to answer a call.",
            {"method": request.method},
            seconds,
        )
        if request.method != "GET" or answer.status >= 400:
            log_event(
                logger,
                "call answered",
                request_id=request.path.rpartition("/")[2],
                method=request.method,
                status=answer.status,
                reason=answer.reason,
                configuration_age_seconds=round(self._configuration.age_seconds(), 2),
                seconds=round(seconds, 4),
            )
        return self._encode(answer)

    def _encode(self, answer: Answer) -> web.Response:
        headers = {"Content-Type": "application/json"}
        if answer.retry_after:
            headers["Retry-After"] = str(answer.retry_after)
        if self.is_stopping:
            headers["Connection"] = "close"
        body = b"" if answer.body is None else json.dumps(answer.body).encode()
        return web.Response(status=answer.status, body=body, headers=headers)

    def stop(self, seconds: float) -> None:
        """Serve the last calls; writes without an outcome end in ``seconds``."""
        self.is_stopping = True
        self._intake.end_by(asyncio.get_running_loop().time() + seconds)

    async def _answer(self, request: web.BaseRequest) -> Answer:
        arrived_at = asyncio.get_running_loop().time()
        configuration = self._configuration.current
        if configuration is None:
            return Answer(
                503, reason="no-configuration", retry_after=RETRY_AFTER_SECONDS
            )
        host = request.headers.get("Host", "").partition(":")[0].lower()
        queue = configuration.find_queue(host, request.path)
        if queue is None:
            # A newer configuration may have the queue.
            if self._is_configuration_stale():
                return CONFIGURATION_STALE
            return Answer(404, reason="queue-unknown")
        account = self._find_account(request, configuration, queue)
        if isinstance(account, Answer):
            return account
        name = request.path[len(queue.path_prefix) :]
        if not name and request.method == "GET":
            return self._show_depth(queue)
        handler = _HANDLER_BY_METHOD.get(request.method)
        if handler is None:
            return Answer(405, reason="method-unknown")
        if not JOB_ID_PATTERN.fullmatch(name):
            return Answer(
                400,
                {"error": f"the id must be 16 hexadecimal digits, got {name!r:.80}"},
            )
        deadline_ms = decode_deadline_ms(request.headers)
        if deadline_ms is not None:
            # The deadline counts from the sending, and the body may have taken long.
            passed_seconds = arrived_at - request.get(BEGAN_AT, arrived_at)
            deadline_ms = max(0.0, deadline_ms - 1000 * passed_seconds)
        seconds = answer_seconds(deadline_ms)
        call = JobCall(queue, account, name, arrived_at + seconds)
        return await handler(self, request, call)

    def _is_configuration_stale(self) -> bool:
        return self._configuration.age_seconds() >= self._age_limit.longest_age

    def _find_account(
        self, request: web.BaseRequest, configuration: FleetConfiguration, queue: Queue
    ) -> str | Answer:
        if queue.is_open:
            return ""
        if self._is_configuration_stale():
            return CONFIGURATION_STALE
        header = request.headers.get("Authorization", "")
        key = header[len(KEY_PREFIX) :] if header.startswith(KEY_PREFIX) else ""
        account = configuration.account_name_by_key.get(key)
        if account is None:
            return Answer(401, reason="key-unknown")
        return account

    def _show_depth(self, queue: Queue) -> Answer:
        depths = self._depths()
        if (
            depths is None
            or self._clock.now() - depths.seen_at > MAX_DEPTHS_AGE_SECONDS
        ):
            return Answer(503, reason="depth-unknown", retry_after=RETRY_AFTER_SECONDS)
        return Answer(200, {"Waiting": depths.n_by_queue.get(queue.name, 0)})

    async def _submit(self, request: web.BaseRequest, call: JobCall) -> Answer:
        queue, account, job_id, answer_by = call
        content = await request.read()
        try:
            message = json.loads(content)
            if not isinstance(message, dict):
                raise decoding.MessageError(
                    f"the body must be a JSON object, got {type(message).__name__}"
                )
            job = decode_job(message, job_id, queue.name, account, time.time())
        except (ValueError, RecursionError) as error:
            return Answer(400, {"error": str(error)}, reason=str(error))
        configuration = self._configuration.current
        assert configuration is not None
        rules = AcceptedRules(queue, configuration.version)
        outcome = await self._intake.submit(job, rules, answer_by)
        if isinstance(outcome, Accepted):
            return Answer(200, reason="repeat" if outcome.is_repeat else "accepted")
        if isinstance(outcome, TooLarge):
            error = (
                f"the steps must take at most {outcome.max_bytes} bytes when stored, "
                f"got {outcome.n_bytes}"
            )
            return Answer(400, {"error": error}, reason="job-too-large")
        if isinstance(outcome, IdInUse):
            error = f"the id {job_id} belongs to another job; choose another one"
            return Answer(400, {"error": error}, reason="id-in-use")
        if isinstance(outcome, Unknown):
            return Answer(504, reason=describe(outcome))
        return _refuse(outcome)

    async def _show(self, request: web.BaseRequest, call: JobCall) -> Answer:
        state = await self._intake.find_state(
            call.job_id, call.account, call.queue.name
        )
        if isinstance(state, Absent):
            return Answer(410, reason="absent")
        if isinstance(state, Unavailable):
            return Answer(503, reason=describe(state), retry_after=RETRY_AFTER_SECONDS)
        return Answer(200, {"State": state.value})

    async def _cancel(self, request: web.BaseRequest, call: JobCall) -> Answer:
        outcome = await self._intake.cancel(
            call.job_id, call.account, call.queue.name, call.answer_by
        )
        if isinstance(outcome, Canceled):
            return Answer(200, reason="canceled")
        if isinstance(outcome, Absent):
            return Answer(410, reason="absent")
        if isinstance(outcome, NotRun):
            return _refuse(outcome)
        return Answer(504, reason=describe(outcome))


def _refuse(outcome: NotRun) -> Answer:
    """Return the answer to a call that was not carried out and won't be."""
    status = 429 if outcome.reason is Reason.LIMIT_REACHED else 503
    retry_after = max(RETRY_AFTER_SECONDS, math.ceil(outcome.retry_after_seconds))
    return Answer(status, reason=describe(outcome), retry_after=retry_after)


def decode_deadline_ms(headers: Mapping[str, str]) -> float | None:
    """Return the deadline that a call names; ``None`` if it is not a positive number.

    Example:
        >>> decode_deadline_ms({"X-Catkinport-Deadline-Ms": "1500"})
        1500.0
    """
    try:
        milliseconds = float(headers.get(DEADLINE_HEADER, ""))
    except ValueError:
        return None
    return milliseconds if 0 < milliseconds < math.inf else None


Handler = Callable[[CallerServer, web.BaseRequest, JobCall], Awaitable[Answer]]

_HANDLER_BY_METHOD: dict[str, Handler] = {
    "POST": CallerServer._submit,
    "GET": CallerServer._show,
    "DELETE": CallerServer._cancel,
}
