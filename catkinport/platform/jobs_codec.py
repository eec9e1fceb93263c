"""Decodes the jobs that callers submit."""

import re
from collections.abc import Mapping
from typing import Any

from ..jobs.model import Job, Step
from . import decoding

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
MAX_SPECIFICATION_BYTES = 4000
MAX_TASKS = 20000
"""Most tasks of one job, so that one call cannot exhaust the daemon's memory."""


def decode_job(
    message: Mapping[str, Any], job_id: str, queue: str, account: str, unix_now: float
) -> Job:
    """Decode the body of a submission.

    Raises:
        MessageError: if a field is missing or not allowed, or a limit is exceeded.
    """
    specification = decoding.string(message, "Spec", "")
    if len(specification.encode()) > MAX_SPECIFICATION_BYTES:
        raise decoding.MessageError(
            f"Spec must have at most {MAX_SPECIFICATION_BYTES} bytes, "
            f"got {len(specification.encode())}"
        )
    entries = decoding.objects(message, "Steps")
    if not entries:
        raise decoding.MessageError("Steps must have at least one entry, got none")
    steps = tuple(_decode_step(entry, n) for n, entry in enumerate(entries))
    job = Job(
        job_id=job_id,
        queue=queue,
        account=account,
        specification=specification,
        steps=steps,
        accepted_at=unix_now,
        n_occurrences=decoding.integer(message, "Times", 0),
        first_due_at=decoding.seconds(message, "StartAtMs", 0.0),
        interval_seconds=decoding.seconds(message, "IntervalMs", 0.0),
    )
    n_tasks = sum(step.n_tasks for step in steps) * max(1, job.n_occurrences)
    if n_tasks > MAX_TASKS:
        raise decoding.MessageError(
            f"a job must have at most {MAX_TASKS} tasks, got {n_tasks}"
        )
    return job


def _decode_step(entry: Mapping[str, Any], number: int) -> Step:
    after = entry.get("After") or []
    if not isinstance(after, list) or not all(
        isinstance(n, int) and 0 <= n < number for n in after
    ):
        raise decoding.MessageError(
            f"After of step {number} must be a list of numbers of earlier steps"
        )
    n_tasks = decoding.integer(entry, "Count", 1)
    if n_tasks < 1:
        raise decoding.MessageError(
            f"Count of step {number} must be >= 1, got {n_tasks}"
        )
    return Step(
        n_tasks=n_tasks,
        need=decoding.resources(entry),
        estimate_seconds=decoding.seconds(entry, "EstimateMs", 0.0),
        after=tuple(after),
        saves_work=decoding.boolean(entry, "Checkpointing"),
        is_gang=decoding.boolean(entry, "Gang"),
        wants_one_rack=decoding.boolean(entry, "SameRack"),
        required_label=decoding.string(entry, "Requires", ""),
        preferred_rack=decoding.string(entry, "Affinity", ""),
        # The field holds the most tasks of the step on one worker, not a label.
        max_per_worker=decoding.integer(entry, "AntiAffinity", 0),
        may_run_twice=decoding.boolean(entry, "Speculative"),
        is_lasting=decoding.boolean(entry, "LongRunning"),
        image=decoding.string(entry, "Image", ""),
        target_seconds=decoding.seconds(entry, "TargetMs", 0.0),
        is_filler=decoding.boolean(entry, "Fills"),
        max_away=decoding.integer(entry, "MayMiss", 0),
    )
