"""Converts outcomes of requests to HTTP answers."""

import math
from collections.abc import Mapping

from ..ports import NotRun, Reason, Refused, Unknown
from ..runtime import HttpAnswer, json_answer

# Any other reason for "not run" is temporary: the answer is 503 with ``Retry-After``.
STATUS_BY_REASON: Mapping[Reason, int] = {
    Reason.KEY_MISSING: 401,
    Reason.KEY_MALFORMED: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.TEAM_NOT_ALLOWED: 403,
    Reason.QUEUE_UNKNOWN: 404,
    Reason.NOT_FOUND: 404,
    Reason.REQUEST_INVALID: 400,
    Reason.CANCELED: 410,
    Reason.DIGEST_DIFFERS: 422,
    Reason.LIMIT_REACHED: 429,
}
RETRY_AFTER_SECONDS = 1.0


def not_run_answer(outcome: NotRun | Refused, request_id: str) -> HttpAnswer:
    """Return a refusal: 4xx, or 503 with ``Retry-After``."""
    status = STATUS_BY_REASON.get(outcome.reason, 503)
    headers = outcome_headers("not-run", outcome.reason.value, request_id)
    if status in (429, 503):
        seconds = getattr(outcome, "retry_after_seconds", 0.0) or RETRY_AFTER_SECONDS
        headers["Retry-After"] = str(max(1, math.ceil(seconds)))
    return json_answer(status, _describe("not-run", outcome, request_id), headers)


def unknown_answer(outcome: Unknown, request_id: str) -> HttpAnswer:
    """Return 409 for a claimed key, 504 for a timeout, otherwise 502."""
    status = 502
    if outcome.step == "claim":
        status = 409
    elif outcome.reason in (Reason.DEADLINE, Reason.NO_PROGRESS):
        status = 504
    headers = outcome_headers("unknown", outcome.reason.value, request_id)
    return json_answer(status, _describe("unknown", outcome, request_id), headers)


def outcome_headers(outcome: str, reason: str, request_id: str) -> dict[str, str]:
    """Return the ``Catkin-*`` headers of an answer."""
    headers = {"Catkin-Outcome": outcome, "Catkin-Request-Id": request_id}
    if reason:
        headers["Catkin-Reason"] = reason
    return headers


def _describe(kind: str, outcome: NotRun | Refused | Unknown, request_id: str) -> dict:
    return {
        "outcome": kind,
        "reason": outcome.reason.value,
        "step": outcome.step,
        "peer": outcome.peer,
        "detail": outcome.detail,
        "request_id": request_id,
    }
