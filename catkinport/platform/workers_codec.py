"""Decodes the workers' entries, lists of runs and rejections of orders."""

from collections.abc import Mapping, Sequence
from typing import Any

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
    address = decoding.string(value, "Address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise decoding.MessageError(f"Address must be host:port, got {address!r:.80}")
    capacity = value.get("Capacity")
    if not isinstance(capacity, dict):
        raise decoding.MessageError(
            f"Capacity must be an object, got {type(capacity).__name__}"
        )
    return ListedWorker(
        worker_id=worker_id,
        pool=decoding.string(value, "Service"),
        address=address,
        zone=decoding.string(value, "Zone"),
        is_draining=state == "draining",
        remaining_seconds=decoding.seconds(value, "RemainingMs", 0.0),
        capacity=decoding.resources(capacity),
        labels=decoding.strings(value, "Labels"),
        started_at=decoding.seconds(value, "born", 0.0),
    )


def decode_lists(value: Mapping[str, Any]) -> WorkerLists:
    """Decode a worker's lists of running and ended tasks.

    Raises:
        MessageError, KeyError, TypeError, ValueError: if they are malformed.
    """
    running = [_decode_running(entry) for entry in value.get("Running") or []]
    ended = [_decode_ended(entry) for entry in value.get("Ended") or []]
    return WorkerLists(decoding.seconds(value, "born", 0.0), running, ended)


def _decode_running(entry: Sequence[Any]) -> RunningTask:
    task, run, checkpoint, percent, *rest = entry
    load = float(rest[0]) if rest else 0.0
    return RunningTask(str(task), int(run), str(checkpoint), float(percent), load)


def _decode_ended(entry: Sequence[Any]) -> EndedTask:
    number, task, run, how, checkpoint = entry[:5]
    return EndedTask(int(number), str(task), int(run), EndKind(how), str(checkpoint))
