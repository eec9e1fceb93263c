"""Interface to backend servers, which have a fixed number of request slots."""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple, Protocol

from .outcomes import NotRun, Unknown


class BackendRequest(NamedTuple):
    """Request to forward.

    Args:
        method: HTTP method.
        path: path and query string.
        headers: end-to-end headers.
        body: content as chunks.
        content_length: length of the body in bytes, ``None`` for a chunked body.
        deadline: time on the clock of the entry daemon, in seconds, by which the
            whole answer is needed.
        is_idempotent: whether the request may run more than once.
        may_send: called once the connection is open, right before the first byte is
            sent; if it returns false, nothing is sent.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: Iterator[bytes]
    content_length: int | None
    deadline: float
    is_idempotent: bool
    may_send: Callable[[], bool] = lambda: True


class BackendAnswer(NamedTuple):
    """Answer whose body is still being read.

    Iterating ``chunks`` raises ``BrokenAnswerError`` when the answer ends early
    or makes no progress. ``close`` keeps the connection for reuse, or closes it when
    the body was not read to its end.
    """

    status: int
    headers: Mapping[str, str]
    chunks: Iterator[bytes]
    close: "CloseAnswer"


class CloseAnswer(Protocol):
    """Function that releases an answer's connection; calling it twice is no error."""

    def __call__(self) -> None:
        """Release the connection."""
        ...


class BrokenAnswerError(Exception):
    """Error for an answer whose body ended early or made no progress."""

    def __init__(self, outcome: Unknown) -> None:
        super().__init__(f"{outcome.step} {outcome.peer}: {outcome.reason}")
        self.outcome = outcome


class BackendServers(Protocol):
    """Client of the backend servers. Blocks and is thread-safe."""

    def send(
        self, address: str, request: BackendRequest
    ) -> BackendAnswer | NotRun | Unknown:
        """Send a request once and return when the answer's status and headers arrive.

        ``NotRun`` is returned only when no byte of the request was sent, or when the
        backend server itself says that it did not run the request.
        """
        ...
