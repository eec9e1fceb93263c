"""Decodes the workers' entries, lists of runs and rejections of orders."""

from collections.abc import Mapping, Sequence
from typing import Any

from ..jobs.model import TaskId
from ..ports import Reason, Unavailable
from ..ports.fleet_workers import (
    EndedTask,
    EndKind,
    ListedWorker,
    Rejected,
    Rejection,
    RunningTask,
    WorkerLists,
)
from . import decoding

MAX_TEXT_BYTES = 200
"""Longest text in a worker's entry. The store has the same limit for names."""

MAX_POOL_BYTES = 190
"""Longest name of a pool. Names of rows begin with it."""

MAX_LISTED_ENDS = 500
"""Most ended runs in one answer of a worker."""

_REJECTION_BY_REASON = {
    "fence": Rejection.FENCED,
    "old": Rejection.OLD_RUN,
    "late": Rejection.LATE,
    "room": Rejection.NO_ROOM,
    "ticket": Rejection.TICKET,
}
_REJECTION_BY_STATUS = {
    400: Rejection.INVALID,
    404: Rejection.INVALID,
    421: Rejection.OTHER_INCARNATION,
    429: Rejection.UNHEALTHY,
    503: Rejection.UNHEALTHY,
}


def decode_rejection(
    step: str, worker_id: str, status: int, body: Any
) -> Rejected | Unavailable:
    """Decode the answer to an order that was not carried out."""
    reason = body.get("Reason") if isinstance(body, dict) else None
    rejection = _REJECTION_BY_REASON.get(str(reason))
    rejection = rejection or _REJECTION_BY_STATUS.get(status)
    if rejection is not None:
        return Rejected(rejection)
    detail = f"status {status}: {body!r}"[:200]
    return Unavailable(Reason.ANSWER_TRUNCATED, step, worker_id, detail, True)


def decode_worker(worker_id: str, value: Mapping[str, Any]) -> ListedWorker:
    """Decode a worker's entry.

    Raises:
        MessageError: if a field is missing or not allowed.
    """
    state = decoding.string(value, "State")
    if state not in ("ready", "draining"):
        raise decoding.MessageError(
            f"State must be ready or draining, got {state!r:.40}"
        )
    address = decoding.short_string(value, "Address", MAX_TEXT_BYTES)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise decoding.MessageError(f"Address must be host:port, got {address!r:.80}")
    capacity = decoding.mapping(value.get("Capacity"), "Capacity")
    return ListedWorker(
        worker_id=worker_id,
        pool=decoding.short_string(value, "Service", MAX_POOL_BYTES, min_bytes=1),
        address=address,
        zone=decoding.short_string(value, "Zone", MAX_TEXT_BYTES),
        is_draining=state == "draining",
        remaining_seconds=decoding.seconds(value, "RemainingMs", 0.0),
        capacity=decoding.resources(capacity),
        labels=tuple(
            decoding.check_short_string(label, "a label", MAX_TEXT_BYTES)
            for label in decoding.strings(value, "Labels")
        ),
        started_at=decoding.seconds(value, "born", 0.0),
        cold_seconds=_decode_cold_seconds(value),
    )


def _decode_cold_seconds(value: Mapping[str, Any]) -> float:
    """Return for how much longer a worker is slow; 0 if the entry does not tell.

    It only decides between workers that may both get a task, so a malformed value does
    not make the worker unusable.
    """
    try:
        return decoding.seconds(value, "ColdLeftMs", 0.0)
    except decoding.MessageError:
        return 0.0


def decode_incarnation(body: Any) -> float:
    """Return when the incarnation started that gave an answer, in Unix seconds.

    It is 0 if the answer doesn't tell.
    """
    if not isinstance(body, dict):
        return 0.0
    try:
        return decoding.seconds(body, "born", 0.0)
    except decoding.MessageError:
        return 0.0


def decode_lists(message: Mapping[str, Any]) -> WorkerLists:
    """Decode a worker's lists of running and ended tasks.

    A malformed entry makes the whole lists malformed. Without the entry, its run would
    count as ended, and its task would start a second time.

    Raises:
        MessageError: if they are malformed.
    """
    running = [_decode_running(e) for e in decoding.lists(message, "Running")]
    ended = [_decode_ended(e) for e in decoding.lists(message, "Ended")]
    return WorkerLists(
        decoding.seconds(message, "born", 0.0),
        running,
        ended,
        may_lack_ends=len(ended) >= MAX_LISTED_ENDS,
    )


def _decode_running(entry: Sequence[Any]) -> RunningTask:
    if len(entry) < 4:
        raise decoding.MessageError(
            f"an entry of Running must have >= 4 values, got {len(entry)}"
        )
    task, run, checkpoint, percent, *rest = entry
    return RunningTask(
        _check_task(task),
        decoding.check_integer(run, "the run of a running task"),
        decoding.check_string(checkpoint, "the checkpoint of a running task"),
        float(decoding.check_number(percent, "the percent of a running task")),
        float(decoding.check_number(rest[0] if rest else 0, "the load of a task")),
    )


def _decode_ended(entry: Sequence[Any]) -> EndedTask:
    if len(entry) < 5:
        raise decoding.MessageError(
            f"an entry of Ended must have >= 5 values, got {len(entry)}"
        )
    number, task, run, how, checkpoint = entry[:5]
    return EndedTask(
        decoding.check_integer(number, "the number of an ended task"),
        _check_task(task),
        decoding.check_integer(run, "the run of an ended task"),
        _decode_end_kind(how),
        decoding.check_string(checkpoint, "the checkpoint of an ended task"),
    )


def _check_task(value: Any) -> str:
    task = decoding.check_string(value, "the name of a task")
    try:
        TaskId.parse(task)
    except ValueError as error:
        raise decoding.MessageError(str(error)) from error
    return task


def _decode_end_kind(value: Any) -> EndKind:
    how = decoding.check_string(value, "the end of a task")
    try:
        return EndKind(how)
    except ValueError as error:
        raise decoding.MessageError(f"unknown end of a task: {how!r:.40}") from error
