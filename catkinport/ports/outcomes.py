"""Expected outcomes of an operation, each a value with a reason.

Exceptions are raised only for programming errors and faults in adapters.
"""

from enum import StrEnum
from typing import NamedTuple


class Reason(StrEnum):
    """Reason why an operation was refused or its outcome is not known."""

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
    CANCELED = "canceled"
    EVACUATED = "evacuated"
    TIMEOUT = "timeout"
    RESTARTED = "restarted"


class NotRun(NamedTuple):
    """Outcome of work that did not run and will not run.

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
    """Outcome of work that may have run, wholly or in part.

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
    """Outcome of a call to a platform service that gave no usable answer.

    Args:
        reason: why there is no answer.
        step: the operation, for instance ``"table-commit"``.
        peer: address of the service.
        detail: text for a person.
        may_have_committed: whether the request may have taken effect. If so, the
            caller reads the data back and compares its own token to find out.
    """

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""
    may_have_committed: bool = False


class Refused(NamedTuple):
    """Outcome of an operation that its input or the current state does not allow.

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
