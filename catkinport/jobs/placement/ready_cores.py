"""Measures the tasks of a job whose turn has come."""

from collections import Counter

from ...policy.durations import DurationModel
from ...policy.wait_forecast import JobWork
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


def measure_work(
    record: JobRecord, durations: DurationModel, unix_now: float
) -> JobWork:
    """Return the work of the job that has not started, lasting tasks aside.

    Later occurrences of a job that recurs are left out.
    """
    if record.job.n_occurrences:
        return _measure_due(record, durations, unix_now)
    cores = ready = later = 0.0
    for number, step in enumerate(record.job.steps):
        n_waiting = record.count_waiting(number)
        if not n_waiting or step.is_lasting or step.is_filler:
            continue
        n_ready = record.count_ready(number, TaskPhase.WAITING)
        core_seconds = step.need.cores * durations.predict(step.estimate_seconds)
        cores += n_ready * step.need.cores
        ready += n_ready * core_seconds
        later += (n_waiting - n_ready) * core_seconds
    return JobWork(cores, ready, later)


def _measure_due(
    record: JobRecord, durations: DurationModel, unix_now: float
) -> JobWork:
    n_due_by_step: Counter[int] = Counter()
    for occurrence, number in record.ready_stages():
        if record.job.due_at(occurrence) > unix_now:
            break
        n_done = record.count_done((occurrence, number))
        n_due_by_step[number] += record.job.steps[number].n_tasks - n_done
    cores = core_seconds = 0.0
    for number, n_due in n_due_by_step.items():
        step = record.job.steps[number]
        # Only occurrences that are due have runs.
        n_waiting = max(0, n_due - record.count_ready(number, TaskPhase.PLACED))
        cores += n_waiting * step.need.cores
        seconds = durations.predict(step.estimate_seconds)
        core_seconds += n_waiting * step.need.cores * seconds
    return JobWork(cores, core_seconds)
