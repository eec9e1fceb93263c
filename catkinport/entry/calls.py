"""Callers' requests to queues, checked and ready to be sent."""

from collections.abc import Mapping
from typing import NamedTuple

from ..ports import Clock, Reason, Refused
from ..runtime import HttpRequest
from ..settings.environment import Service
from .bodies import RequestBody, open_body
from .callers import AuthorizedRequest

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200


class Call(NamedTuple):
    """A caller's authorized request, with its service, deadline and repeatability."""

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: RequestBody
    authorized: AuthorizedRequest
    service: Service
    started_at: float
    deadline: float
    is_idempotent: bool
    idempotency_key: str

    def seconds_left(self, clock: Clock) -> float:
        """Return the time until the deadline, below 0 after it."""
        return self.deadline - clock.now()


def build_call(
    request: HttpRequest,
    path: str,
    request_id: str,
    authorized: AuthorizedRequest,
    started_at: float,
    max_body_bytes: int,
) -> Call | Refused:
    """Return the call for an authorized request, or why it is refused.

    Args:
        request: the request.
        path: path below that of the queue.
        request_id: id of the request in logs and answers.
        authorized: team, queue and configuration of the request.
        started_at: arrival of the request on the entry's clock, in seconds.
        max_body_bytes: size of the largest body that is accepted.
    """
    queue = authorized.queue
    service = authorized.environment.service_by_name.get(queue.service)
    if service is None:
        detail = f"queue {queue.name!r} accepts only jobs, got a request"
        return Refused(Reason.REQUEST_INVALID, "admission", detail=detail)
    seconds = _read_deadline(request.headers, service.max_request_seconds)
    if isinstance(seconds, Refused):
        return seconds
    key = request.headers.get("idempotency-key", "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        detail = (
            f"Idempotency-Key must have at most {MAX_IDEMPOTENCY_KEY_CHARACTERS} "
            f"characters, got {len(key)}"
        )
        return Refused(Reason.REQUEST_INVALID, "admission", detail=detail)
    body = open_body(request, max_body_bytes)
    if isinstance(body, Refused):
        return body
    is_declared = request.headers.get("catkin-idempotent", "").lower() == "true"
    return Call(
        request_id,
        request.method,
        _read_raw_path(request, path),
        request.headers,
        body,
        authorized,
        service,
        started_at,
        started_at + seconds,
        is_declared or request.method in SAFE_METHODS,
        key,
    )


def _read_raw_path(request: HttpRequest, path: str) -> str:
    """Return the path as the caller wrote it, with its query string."""
    uri = request.environ.get("REQUEST_URI", "")
    _, marker, raw = uri.partition("/requests/")
    if marker:
        return f"/{raw}"
    query = request.environ.get("QUERY_STRING", "")
    return f"/{path}?{query}" if query else f"/{path}"


def _read_deadline(headers: Mapping[str, str], longest: float) -> float | Refused:
    text = headers.get("catkin-deadline-ms")
    if text is None:
        return longest
    if not text.isascii() or not text.isdigit() or not int(text[:12]) > 0:
        detail = f"Catkin-Deadline-Ms must be a whole number above 0, got {text[:20]!r}"
        return Refused(Reason.REQUEST_INVALID, "admission", detail=detail)
    return min(longest, int(text[:12]) / 1000)
