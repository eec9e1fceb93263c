"""HTTP answers to the outcomes of operations."""

from collections.abc import Callable
from typing import Any

from ..fleet.operations import VmChanged, VmConflict
from ..membership.interface import Acceptance, RevisionConflict
from ..ports import Reason, Refused, Unavailable
from ..runtime import HttpAnswer, json_answer
from ..settings.declaration import Fault, format_fault

_STATUS_BY_REASON = {
    Reason.KEY_MISSING: 401,
    Reason.KEY_MALFORMED: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.REQUEST_INVALID: 400,
    Reason.NOT_FOUND: 404,
    Reason.REVISION_DIFFERS: 409,
    Reason.VERSION_DIFFERS: 409,
    Reason.BUDGET_EXHAUSTED: 409,
    Reason.CONFIGURATION_STALE: 503,
    Reason.STOPPING: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.TIMEOUT: 503,
}
_RETRY_HEADERS = {"Retry-After": "1"}
_answer_by_type: dict[type, Callable[[Any], HttpAnswer]] = {}


def answer_outcome(outcome: Any) -> HttpAnswer:
    """Return the answer for the outcome of an operation; a dict gets status 200.

    Example:
        >>> answer_outcome(Refused(Reason.NOT_FOUND, "vm-show")).status
        404
    """
    return _answer_by_type[type(outcome)](outcome)


def answer_faults(faults: list[Fault]) -> HttpAnswer:
    """Return the answer to a document with faults."""
    body = {
        "error": f"the document has {len(faults)} faults",
        "reason": Reason.REQUEST_INVALID,
        "faults": [describe_fault(fault) for fault in faults],
    }
    return json_answer(422, body)


def answer_obstacles(obstacles: list[str]) -> HttpAnswer:
    """Return the answer to a document that removes sections still in use.

    Args:
        obstacles: a text for each such section, see ``find_obstacles``.
    """
    body = {
        "error": "the document removes sections that are still in use",
        "reason": Reason.REQUEST_INVALID,
        "obstacles": obstacles,
    }
    return json_answer(422, body)


def describe_fault(fault: Fault) -> dict[str, Any]:
    """Return the fields of a fault, and its message as ``text``."""
    return {**fault._asdict(), "text": format_fault(fault)}


def _register_answer(outcome_type: type) -> Callable:
    def register(function: Callable[[Any], HttpAnswer]) -> Callable:
        _answer_by_type[outcome_type] = function
        return function

    return register


@_register_answer(HttpAnswer)
def _answer_as_is(outcome: HttpAnswer) -> HttpAnswer:
    return outcome


@_register_answer(dict)
def _answer_value(outcome: dict[str, Any]) -> HttpAnswer:
    return json_answer(200, outcome)


@_register_answer(Acceptance)
@_register_answer(VmChanged)
def _answer_change(outcome: Acceptance | VmChanged) -> HttpAnswer:
    return json_answer(200, outcome._asdict())


@_register_answer(RevisionConflict)
def _answer_revision_conflict(outcome: RevisionConflict) -> HttpAnswer:
    error = (
        "another change was accepted first; nothing was changed. Compare with revision"
        f" {outcome.current_revision} and apply again"
    )
    reason = Reason.REVISION_DIFFERS
    return json_answer(409, {"error": error, "reason": reason, **outcome._asdict()})


@_register_answer(VmConflict)
def _answer_vm_conflict(outcome: VmConflict) -> HttpAnswer:
    error = (
        f"another operation on {outcome.vm_id} was committed first or is under way;"
        f" nothing was changed. Look at version {outcome.current_version} and try again"
    )
    reason = Reason.VERSION_DIFFERS
    return json_answer(409, {"error": error, "reason": reason, **outcome._asdict()})


@_register_answer(Refused)
def _answer_refused(outcome: Refused) -> HttpAnswer:
    status = _STATUS_BY_REASON.get(outcome.reason, 422)
    headers = {"WWW-Authenticate": "Bearer"} if status == 401 else {}
    if status == 503:
        headers = _RETRY_HEADERS
    return json_answer(status, _describe(outcome), headers)


@_register_answer(Unavailable)
def _answer_unavailable(outcome: Unavailable) -> HttpAnswer:
    if outcome.may_have_committed:
        error = (
            "the change may have taken effect; send it again with the same"
            " Idempotency-Key to learn its outcome"
        )
        return json_answer(504, {**_describe(outcome), "error": error})
    return json_answer(503, _describe(outcome), _RETRY_HEADERS)


def _describe(outcome: Refused | Unavailable) -> dict[str, Any]:
    return {
        "error": outcome.detail or outcome.reason.value,
        "reason": outcome.reason,
        "step": outcome.step,
        "peer": outcome.peer,
    }
