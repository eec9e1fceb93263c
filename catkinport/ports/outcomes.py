"""Expected outcomes of an operation, as sentinel values with a reason.

Exceptions are kept for programming errors and broken adapters.
"""

from enum import StrEnum
from typing import NamedTuple


class Reason(StrEnum):
    """Why an operation was refused or its outcome is not known."""

    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_UNKNOWN = "key-unknown"
    TEAM_NOT_ALLOWED = "team-not-allowed"
    QUEUE_UNKNOWN = "queue-unknown"
    REQUEST_INVALID = "request-invalid"
    CONFIGURATION_STALE = "configuration-stale"
    LIMIT_REACHED = "limit-reached"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    STOPPING = "stopping"
    STORE_UNAVAILABLE = "store-unavailable"
    NO_BACKEND_SERVER = "no-backend-server"
    CONNECT_FAILED = "connect-failed"
    BACKEND_FULL = "backend-full"
    CONNECTION_LOST = "connection-lost"
    ANSWER_TRUNCATED = "answer-truncated"
    NO_PROGRESS = "no-progress"
    CLAIMED_ELSEWHERE = "claimed-elsewhere"
    DIGEST_DIFFERS = "digest-differs"
    REVISION_DIFFERS = "revision-differs"
    VERSION_DIFFERS = "version-differs"
    BUDGET_EXHAUSTED = "budget-exhausted"
    NOT_OWNER = "not-owner"
    NOT_FOUND = "not-found"
    TIMEOUT = "timeout"


class NotRun(NamedTuple):
    """The work did not run and will not run.

    Args:
        reason: why it was refused.
        step: the step at which it was refused, for instance ``"admission"``.
        peer: address or id of the other side, empty when there was none.
        detail: text for a person.
        retry_after_seconds: when a retry makes sense; 0 when it does not.

    Example:
        >>> NotRun(Reason.QUEUE_FULL, "admission").reason.value
        'queue-full'
    """

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""
    retry_after_seconds: float = 0.0


class Unknown(NamedTuple):
    """The work may have run, wholly or in part; it is not known.

    Args:
        reason: what kept the outcome from being known.
        step: the step at which the outcome was lost.
        peer: address or id of the other side.
        detail: text for a person.
    """

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""


class Unavailable(NamedTuple):
    """A service of the platform gave no usable answer.

    Args:
        reason: why there is no answer.
        step: the operation, for instance ``"table-commit"``.
        peer: address of the service.
        detail: text for a person.
        may_have_committed: whether the request may have taken effect. The caller
            then reads back and compares its own token.
    """

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""
    may_have_committed: bool = False


class Refused(NamedTuple):
    """An operation was rejected because of its input or of the current state.

    Args:
        reason: why it was rejected.
        step: the step at which it was rejected.
        peer: address or id of the other side.
        detail: text for a person; names the field, its range and the value.
    """

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""
