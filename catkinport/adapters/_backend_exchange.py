"""One request to a backend server and its answer."""

import http.client
from collections.abc import Iterator

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError

from ..ports import (
    BackendAnswer,
    BackendRequest,
    BrokenAnswerError,
    Clock,
    NotRun,
    Reason,
    Unknown,
)
from ._backend_connections import CONNECT_TIMEOUT_SECONDS, ConnectionPool

CHUNK_BYTES = 65536
DEFAULT_RETRY_AFTER_SECONDS = 1.0
# Statuses without a body, see RFC 9110, section 6.4.1.
BODILESS_STATUSES = (204, 304)

TRANSPORT_ERRORS = (OSError, HTTPError, http.client.HTTPException)


class Exchange:
    """One request and its answer on one leased connection."""

    def __init__(
        self,
        address: str,
        pool: ConnectionPool,
        connection: HTTPConnection,
        request: BackendRequest,
        clock: Clock,
        progress_seconds: float,
    ) -> None:
        self._address = address
        self._pool = pool
        self._connection = connection
        self._request = request
        self._clock = clock
        self._progress_seconds = progress_seconds
        self._response: urllib3.HTTPResponse | None = None
        self._n_sent = 0
        self._is_complete = False
        self._is_closed = False

    def run(self) -> BackendAnswer | NotRun | Unknown:
        """Connect, send the request and read the answer's head."""
        not_run = self._connect()
        if not_run is None and not self._request.may_send():
            detail = "the request may no longer be sent"
            not_run = NotRun(
                Reason.CONFIGURATION_STALE, "send", self._address, detail, 1.0
            )
        if not_run is not None:
            self.close()
            return not_run
        failure = self._exchange_heads()
        if failure is not None:
            self.close()
            return failure
        if self._says_not_run():
            return self._read_not_run_answer()
        return BackendAnswer(
            self._response.status,
            dict(self._response.headers.items()),
            self._read_chunks(),
            self.close,
        )

    def close(self) -> None:
        """Return the connection to its pool, reusable if the answer was read whole."""
        if self._is_closed:
            return
        self._is_closed = True
        is_reusable = self._is_complete and not self._connection.is_closed
        self._pool.release(self._connection, is_reusable)

    def _connect(self) -> NotRun | None:
        if not self._set_timeout(CONNECT_TIMEOUT_SECONDS):
            return NotRun(Reason.DEADLINE, "connect", self._address)
        if not self._connection.is_closed:
            return None
        try:
            self._connection.connect()
        except TRANSPORT_ERRORS as error:
            return NotRun(Reason.CONNECT_FAILED, "connect", self._address, str(error))
        return None

    def _exchange_heads(self) -> Unknown | None:
        try:
            is_sent = self._send()
        except TRANSPORT_ERRORS as error:
            is_sent = False
            failure = self._unknown("send", error)
        else:
            failure = Unknown(
                Reason.CONNECTION_LOST,
                "read-request",
                self._address,
                "request body too short",
            )
        if not is_sent and not self._is_answer_waiting():
            return failure
        try:
            self._set_timeout(self._progress_seconds)
            self._response = self._connection.getresponse()
        except TRANSPORT_ERRORS as error:
            return self._unknown("read-head", error)
        return None if is_sent else self._failure_unless_not_run(failure)

    def _send(self) -> bool:
        """Write the request; return False if its body was shorter than announced."""
        request = self._request
        if not self._set_timeout(self._progress_seconds):
            raise TimeoutError("deadline passed before the request was sent")
        headers = dict(request.headers)
        is_chunked = request.content_length is None
        if (
            request.content_length
            or not is_chunked
            and request.method in ("POST", "PUT", "PATCH")
        ):
            headers["Content-Length"] = str(request.content_length)
        self._connection.request(
            request.method,
            request.path,
            body=None if request.content_length == 0 else self._iterate_body(),
            headers=headers,
            chunked=is_chunked,
            preload_content=False,
            decode_content=False,
        )
        return is_chunked or self._n_sent == request.content_length

    def _iterate_body(self) -> Iterator[bytes]:
        for chunk in self._request.body:
            if not self._set_timeout(self._progress_seconds):
                raise TimeoutError("deadline passed while the request was sent")
            self._n_sent += len(chunk)
            yield chunk

    def _is_answer_waiting(self) -> bool:
        """Return whether an answer came although the request was not sent whole."""
        sock = self._connection.sock
        try:
            return sock is not None and urllib3.util.wait.wait_for_read(sock, 0)
        except (OSError, ValueError):
            return False

    def _failure_unless_not_run(self, failure: Unknown) -> Unknown | None:
        return None if self._says_not_run() else failure

    def _says_not_run(self) -> bool:
        headers = self._response.headers
        return (
            self._response.status == 503
            and headers.get("Catkin-Not-Run", "").lower() == "true"
            and "Retry-After" in headers
        )

    def _read_not_run_answer(self) -> NotRun:
        retry_after = _parse_seconds(self._response.headers["Retry-After"])
        try:
            for _ in self._read_chunks():
                pass
        except BrokenAnswerError:
            pass
        self.close()
        return NotRun(Reason.BACKEND_FULL, "dispatch", self._address, "", retry_after)

    def _read_chunks(self) -> Iterator[bytes]:
        try:
            yield from self._read_body()
        finally:
            self.close()

    def _read_body(self) -> Iterator[bytes]:
        response = self._response
        has_no_body = (
            self._request.method == "HEAD" or response.status in BODILESS_STATUSES
        )
        is_framed = response.length_remaining is not None or _is_chunked(response)
        while not has_no_body:
            if not self._set_timeout(self._progress_seconds):
                raise self._broken_answer(Reason.DEADLINE, "deadline passed")
            try:
                chunk = response.read1(CHUNK_BYTES, decode_content=False)
            except (TimeoutError, ReadTimeoutError) as error:
                raise self._broken_answer(Reason.NO_PROGRESS, str(error)) from error
            except TRANSPORT_ERRORS as error:
                raise self._broken_answer(
                    Reason.ANSWER_TRUNCATED, str(error)
                ) from error
            if not chunk:
                break
            yield chunk
        if not is_framed and not has_no_body:
            # Only the end of the connection ends such a body, so a truncated one
            # cannot be told from a complete one.
            raise self._broken_answer(
                Reason.ANSWER_TRUNCATED, "answer without a length"
            )
        self._is_complete = is_framed or has_no_body

    def _set_timeout(self, longest_seconds: float) -> bool:
        """Set the timeout of socket operations; return False past the deadline."""
        remaining = self._request.deadline - self._clock.now()
        if remaining <= 0:
            return False
        timeout = min(longest_seconds, remaining)
        self._connection.timeout = timeout
        sock = self._connection.sock
        if sock is not None:
            sock.settimeout(timeout)
        return True

    def _broken_answer(self, reason: Reason, detail: str) -> BrokenAnswerError:
        return BrokenAnswerError(Unknown(reason, "read-body", self._address, detail))

    def _unknown(self, step: str, error: Exception) -> Unknown:
        is_timeout = isinstance(error, (TimeoutError, urllib3.exceptions.TimeoutError))
        reason = Reason.NO_PROGRESS if is_timeout else Reason.CONNECTION_LOST
        if self._clock.now() >= self._request.deadline:
            reason = Reason.DEADLINE
        return Unknown(reason, step, self._address, str(error))


def _is_chunked(response: urllib3.HTTPResponse) -> bool:
    return "chunked" in response.headers.get("Transfer-Encoding", "").lower()


def _parse_seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return DEFAULT_RETRY_AFTER_SECONDS
