"""Records of what concurrent clients called and what the backend servers ran."""

import threading
from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """How an operation ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    # The caller cannot know whether the request ran.
    UNKNOWN = "unknown"
    # The connection broke before the whole answer had arrived.
    BROKEN = "broken"


class Operation(NamedTuple):
    """One call of a client; times are seconds since the Unix epoch.

    Args:
        operation_id: unique for each call; a retry is a new operation.
        key_name: name of the API key that was sent, empty for none.
        team: team of the API key, empty for a key that is not valid.
        idempotency_key: key sent by the caller, the same for all retries of a request;
            empty for none.
        is_idempotent: whether the request may run more than once.
        entry: address of the entry daemon that was called.
        started_at: when the call was made.
        ended_at: when its outcome was known.
        outcome: how it ended.
        status: HTTP status, 0 when there was none.
        reason: reason given with a refusal, empty for none.
        answered_operation_id: operation that the answer names as the one that ran;
            empty for none.
    """

    operation_id: str
    key_name: str
    team: str
    idempotency_key: str
    is_idempotent: bool
    entry: str
    started_at: float
    ended_at: float
    outcome: Outcome
    status: int = 0
    reason: str = ""
    answered_operation_id: str = ""


class Execution(NamedTuple):
    """A request that a backend server ran; ``ended_at`` is 0 while it runs."""

    operation_id: str
    idempotency_key: str
    team: str
    backend_server: str
    started_at: float
    ended_at: float


class Withdrawal(NamedTuple):
    """An API key whose withdrawal was acknowledged to the operator."""

    key_name: str
    acknowledged_at: float


class RevisionChange(NamedTuple):
    """A configuration revision that was acknowledged to the operator."""

    revision: int
    acknowledged_at: float


class RevisionUse(NamedTuple):
    """A configuration revision that an observer used for a decision."""

    observer: str
    time: float
    revision: int


class RowChange(NamedTuple):
    """A committed write of a row.

    ``version`` orders the commits; rows written in one transaction share it. ``value``
    is ``None`` for a row that was deleted.
    """

    version: int
    table: str
    key: str
    value: dict | None


class Recorder:
    """Collects the operations of concurrent clients.

    Example:
        >>> recorder = Recorder()
        >>> recorder.list_operations()
        []
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._operations: list[Operation] = []

    def add(self, operation: Operation) -> None:
        """Add an operation that has ended."""
        with self._lock:
            self._operations.append(operation)

    def list_operations(self) -> list[Operation]:
        """Return all operations in the order in which they ended."""
        with self._lock:
            return list(self._operations)
