"""Counts the cores of a job's tasks whose turn has come."""

from ..dispatch.record import JobRecord
from ..dispatch.task import TaskPhase


def count_cores(record: JobRecord, phase: TaskPhase) -> float:
    """Return the cores of the job's tasks in ``phase`` whose earlier steps are done.

    Filler tasks are left out.
    """
    return sum(
        step.need.cores * record.count_ready(number, phase)
        for number, step in enumerate(record.job.steps)
        if not step.is_filler
    )
