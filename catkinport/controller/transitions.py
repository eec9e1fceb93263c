"""Pure functions that return a changed copy of a job's row."""

from ..state import JobRow, JobState


def begin(row: JobRow, job_id: str, vm_id: str, now: float) -> JobRow:
    """Return the row of a new attempt on ``vm_id``, started at Unix time ``now``."""
    attempt = row["attempt"] + 1
    return {
        **row,
        "state": JobState.RUNNING,
        "attempt": attempt,
        "worker_vm": vm_id,
        "result_reference": f"results/{job_id}/{attempt}",
        "reason": "",
        "started_at": now,
    }


def requeue(
    row: JobRow, reason: str, checkpoint_reference: str = "", is_move: bool = False
) -> JobRow:
    """Return the row queued for a new attempt, which resumes from the last checkpoint.

    ``is_move`` counts the attempt as moved to another worker.
    """
    return {
        **row,
        "state": JobState.QUEUED,
        "worker_vm": "",
        "result_reference": "",
        "checkpoint_reference": checkpoint_reference or row["checkpoint_reference"],
        "reason": reason,
        "n_moves": row["n_moves"] + is_move,
    }


def finish(row: JobRow, state: JobState, now: float, reason: str = "") -> JobRow:
    """Return the row in a final ``state``; only a job that is done keeps its result."""
    result = row["result_reference"] if state == JobState.DONE else ""
    return {
        **row,
        "state": state,
        "worker_vm": "",
        "result_reference": result,
        "reason": reason,
        "finished_at": now,
    }


def lose(row: JobRow, reason: str, now: float) -> JobRow:
    """Return the row after an attempt whose worker was lost before it reported an end.

    A job that is not restartable never runs again, because the attempt may have run.
    """
    if not row["is_restartable"]:
        return finish(row, JobState.UNKNOWN, now, reason)
    if row["is_cancel_requested"]:
        return finish(row, JobState.CANCELLED, now, reason)
    return requeue(row, reason)


def stop(
    row: JobRow, reason: str, checkpoint_reference: str, is_move: bool, now: float
) -> JobRow:
    """Return the row after an attempt that its worker stopped or checkpointed."""
    if row["is_cancel_requested"]:
        return finish(row, JobState.CANCELLED, now, "cancelled on request")
    if not row["is_restartable"]:
        return finish(row, JobState.UNKNOWN, now, reason)
    return requeue(row, reason, checkpoint_reference, is_move)


def fail(row: JobRow, reason: str, reason_to_park: str | None, now: float) -> JobRow:
    """Return the row after an attempt that failed on its worker.

    Args:
        row: the job's row.
        reason: what the worker reported.
        reason_to_park: why the job must not be tried again; ``None`` to retry.
        now: seconds since the Unix epoch.
    """
    failed = with_failure(row)
    if row["is_cancel_requested"]:
        return finish(failed, JobState.CANCELLED, now, reason)
    if not row["is_restartable"]:
        return finish(failed, JobState.FAILED, now, reason)
    if reason_to_park is not None:
        text = f"{reason_to_park}; last failure: {reason}"
        return finish(failed, JobState.PARKED, now, text)
    return requeue(failed, reason)


def with_failure(row: JobRow) -> JobRow:
    """Return the row with its current worker added to those on which the job failed."""
    failed_vms = list(dict.fromkeys([*row["failed_vms"], row["worker_vm"]]))
    return {**row, "failed_vms": failed_vms}
