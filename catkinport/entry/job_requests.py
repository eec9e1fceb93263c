"""Validates submitted jobs and builds their rows."""

import hashlib
import json
import uuid
from collections.abc import Mapping
from typing import Any, NamedTuple

from ..ports import Reason, Refused
from ..state import JobRow, JobState
from .callers import AuthorizedRequest

MAX_INLINE_INPUT_CHARACTERS = 32 * 1024
MAX_COMMAND_CHARACTERS = 200


class _NumberField(NamedTuple):
    default: float
    low: float
    high: float


NUMBER_BY_FIELD: Mapping[str, _NumberField] = {
    "cores": _NumberField(1.0, 0.01, 1024),
    "memory_gb": _NumberField(1.0, 0, 65536),
    "accelerators": _NumberField(0, 0, 64),
    "run_seconds": _NumberField(60.0, 0, 30 * 86400),
}
FIELDS = {"command", "restartable", "input", *NUMBER_BY_FIELD}


def build_job(
    body: Any, authorized: AuthorizedRequest, submitted_at: float
) -> JobRow | Refused:
    """Return the row of a new job, or a refusal that names the invalid field.

    Args:
        body: decoded JSON of the request.
        authorized: the authorized request to submit it.
        submitted_at: seconds since the Unix epoch.
    """
    if not isinstance(body, dict):
        return _refuse("the body must be a JSON object")
    unknown = sorted(set(body) - FIELDS)
    if unknown:
        return _refuse(f"unknown field {unknown[0]!r}; fields: {sorted(FIELDS)}")
    command = body.get("command")
    if not isinstance(command, str) or not 0 < len(command) <= MAX_COMMAND_CHARACTERS:
        return _refuse(
            f"command must be a string of 1 to {MAX_COMMAND_CHARACTERS} characters, "
            f"got {str(command)[:40]!r}"
        )
    is_restartable, text = body.get("restartable", True), body.get("input", "")
    if not isinstance(is_restartable, bool):
        return _refuse(f"restartable must be true or false, got {is_restartable!r}")
    if not isinstance(text, str):
        return _refuse("input must be a string")
    for field, allowed in NUMBER_BY_FIELD.items():
        value = body.get(field, allowed.default)
        if not _is_number(value) or not allowed.low <= value <= allowed.high:
            return _refuse(
                f"{field} must be {allowed.low:g} to {allowed.high:g}, got {value!r}"
            )
    row = JobRow(
        team=authorized.team.name,
        account=authorized.account,
        command=command,
        n_cores=float(body.get("cores", 1.0)),
        memory_gb=float(body.get("memory_gb", 1.0)),
        n_accelerators=int(body.get("accelerators", 0)),
        run_seconds=float(body.get("run_seconds", 60.0)),
        is_restartable=is_restartable,
        is_urgent=authorized.queue.is_urgent,
        input_reference="",
        state=JobState.QUEUED,
        attempt=0,
        worker_vm="",
        checkpoint_reference="",
        result_reference="",
        reason="",
        is_cancel_requested=False,
        failed_vms=[],
        n_moves=0,
        submitted_at=submitted_at,
        started_at=0.0,
        finished_at=0.0,
    )
    row["input"] = text
    return row


def choose_job_id(team: str, idempotency_key: str) -> str:
    """Return the id of a new job.

    The same idempotency key of a team gives the same id, so a repeated submission
    finds the job. Without a key, the id is random.
    """
    if not idempotency_key:
        return f"j-{uuid.uuid4().hex}"
    content = json.dumps([team, idempotency_key]).encode()
    return f"j-{hashlib.sha256(content).hexdigest()[:32]}"


def is_same_request(first: Mapping[str, Any], second: Mapping[str, Any]) -> bool:
    """Return whether two rows come from the same request."""
    fields = (
        "team",
        "command",
        "n_cores",
        "memory_gb",
        "n_accelerators",
        "run_seconds",
        "is_restartable",
        "input_reference",
    )
    same_input = first.get("input", "") == second.get("input", "")
    return same_input and all(first[name] == second[name] for name in fields)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _refuse(detail: str) -> Refused:
    return Refused(Reason.REQUEST_INVALID, "submit", detail=detail)
