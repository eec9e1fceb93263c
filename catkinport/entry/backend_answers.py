"""Answers of backend servers, buffered or streamed to the caller."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from ..ports import BackendAnswer, BrokenAnswerError, NotRun, Reason, Refused, Unknown
from .answers import outcome_headers
from .messages import Grant

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )
)


class BufferedAnswer(NamedTuple):
    """A complete answer, held in memory."""

    status: int
    headers: Mapping[str, str]
    content: bytes


class StreamedAnswer(NamedTuple):
    """An answer too large to buffer; its slot is in use until the stream ends."""

    answer: BackendAnswer
    prefix: bytes
    grant: Grant


Outcome = BufferedAnswer | StreamedAnswer | NotRun | Refused | Unknown


def read_answer(
    sent: BackendAnswer | NotRun | Unknown, grant: Grant, max_held_bytes: int
) -> Outcome:
    """Read the answer to its end, or until it is too large to buffer.

    Args:
        sent: what the backend server's adapter returned.
        grant: slot of the request.
        max_held_bytes: size of the largest answer that is buffered.
    """
    if not isinstance(sent, BackendAnswer):
        return sent
    parts: list[bytes] = []
    n_bytes = 0
    try:
        for chunk in sent.chunks:
            parts.append(chunk)
            n_bytes += len(chunk)
            if n_bytes > max_held_bytes:
                return StreamedAnswer(sent, b"".join(parts), grant)
    except BrokenAnswerError as error:
        sent.close()
        return error.outcome
    sent.close()
    return BufferedAnswer(sent.status, sent.headers, b"".join(parts))


def forwarded_headers(headers: Mapping[str, str], request_id: str) -> dict[str, str]:
    """Return the headers of an answer as the caller gets them."""
    kept = {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    }
    return kept | outcome_headers("answered", "", request_id)


class AnswerStream:
    """Body of a streamed answer.

    A failure raises an exception in the iteration. The HTTP server then closes the
    connection without the final chunk, so the caller sees a truncated answer.

    Args:
        outcome: the answer and its slot.
        on_end: called once with the failure, ``None`` after a complete answer, and
            with whether the backend server failed.
    """

    def __init__(self, outcome: StreamedAnswer, on_end: Any) -> None:
        self._outcome = outcome
        self._on_end = on_end
        self._is_ended = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield the chunks of the answer."""
        try:
            yield self._outcome.prefix
            yield from self._outcome.answer.chunks
        except BrokenAnswerError as error:
            self._end(error.outcome, is_server_failure=True)
            raise
        self._end(None)

    def close(self) -> None:
        """Release the slot when the caller disconnects before the end of the answer."""
        peer = self._outcome.grant.address
        self._end(Unknown(Reason.CONNECTION_LOST, "answer", peer))

    def _end(self, failure: Unknown | None, is_server_failure: bool = False) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        self._outcome.answer.close()
        self._on_end(failure, is_server_failure)
