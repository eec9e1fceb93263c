"""A client's job: decoded from the call, and kept as a row of our own."""

import re
from collections.abc import Mapping
from typing import Any

from ..jobs.model import Job, Step
from . import decoding

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
MAX_SPECIFICATION_BYTES = 4000
MAX_TASKS = 20000
"""Upper bound of the tasks of a job, so that one call cannot exhaust the memory."""


def decode_job(
    message: Mapping[str, Any], job_id: str, queue: str, account: str, unix_now: float
) -> Job:
    """Decode the body of a submission.

    Raises:
        MessageError: if it asks for something that cannot be run.
    """
    specification = decoding.text(message, "Spec", "")
    if len(specification.encode()) > MAX_SPECIFICATION_BYTES:
        raise decoding.MessageError(
            f"Spec must have at most {MAX_SPECIFICATION_BYTES} bytes"
        )
    entries = decoding.objects(message, "Steps")
    if not entries:
        raise decoding.MessageError("Steps must not be empty")
    steps = tuple(_decode_step(entry, n) for n, entry in enumerate(entries))
    job = Job(
        job_id=job_id,
        queue=queue,
        account=account,
        specification=specification,
        steps=steps,
        accepted_at=unix_now,
        n_occurrences=decoding.whole(message, "Times", 0),
        first_due_at=decoding.seconds(message, "StartAtMs", 0.0),
        interval_seconds=decoding.seconds(message, "IntervalMs", 0.0),
    )
    n_tasks = sum(step.n_tasks for step in steps) * max(1, job.n_occurrences)
    if n_tasks > MAX_TASKS:
        raise decoding.MessageError(f"at most {MAX_TASKS} tasks, got {n_tasks}")
    return job


def _decode_step(entry: Mapping[str, Any], number: int) -> Step:
    after = entry.get("After") or []
    if not isinstance(after, list) or not all(
        isinstance(n, int) and 0 <= n < number for n in after
    ):
        raise decoding.MessageError(f"After of step {number} must name earlier steps")
    n_tasks = decoding.whole(entry, "Count", 1)
    if n_tasks < 1:
        raise decoding.MessageError(f"Count of step {number} must be >= 1")
    return Step(
        n_tasks=n_tasks,
        need=decoding.resources(entry),
        estimate_seconds=decoding.seconds(entry, "EstimateMs", 0.0),
        after=tuple(after),
        saves_work=decoding.flag(entry, "Checkpointing"),
        is_gang=decoding.flag(entry, "Gang"),
        wants_one_rack=decoding.flag(entry, "SameRack"),
        required_label=decoding.text(entry, "Requires", ""),
        preferred_rack=decoding.text(entry, "Affinity", ""),
        # A number of tasks on one runner, not a label.
        max_per_worker=decoding.whole(entry, "AntiAffinity", 0),
        may_run_twice=decoding.flag(entry, "Speculative"),
        is_lasting=decoding.flag(entry, "LongRunning"),
        image=decoding.text(entry, "Image", ""),
        target_seconds=decoding.seconds(entry, "TargetMs", 0.0),
        is_filler=decoding.flag(entry, "Fills"),
        max_away=decoding.whole(entry, "MayMiss", 0),
    )
