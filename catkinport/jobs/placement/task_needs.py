"""What tasks require of their workers, and when the runs on a worker may end."""

from ...policy.crash_blame import is_on_trial
from ...policy.reservations import ExpectedEnd
from ...policy.worker_choice import TaskNeed
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.task import Task
from ..workers.run import Run, RunPhase
from ..workers.worker_state import WorkerRecord

LASTING_TASKS_PER_WORKER_FACTOR = 5
"""Most lasting tasks of a step that one worker should run, as a multiple of how many
of the step may be unavailable at once. More tasks take too long to evacuate before the
VM can go down; with fewer, more VMs have to stay switched on."""


def task_need(task: Task) -> TaskNeed:
    """Return the requirements of ``task`` on its worker."""
    step = task.step
    return TaskNeed(
        task.stage_name,
        step.need,
        step.required_label,
        step.preferred_rack,
        step.max_per_worker,
        step.is_lasting,
        LASTING_TASKS_PER_WORKER_FACTOR * max(1, step.max_away)
        if step.is_lasting
        else 0,
        step.is_filler,
        step.target_seconds > 0,
        task.avoided_worker,
        task.text,
        len(task.crash_by_run),
    )


def running_need(worker: WorkerRecord, run: Run) -> TaskNeed:
    """Return the requirements of the task of a run that is on the worker.

    A suspect whose run is no longer on trial counts like any other task.
    """
    need = task_need(run.task)
    known_seconds = worker.contact_at - run.known_at if run.known_at else 0.0
    if need.n_crashes and not is_on_trial(known_seconds):
        return need._replace(n_crashes=0)
    return need


def find_expected_ends(
    dispatcher: Dispatcher, worker_id: str, now: float
) -> list[ExpectedEnd]:
    """Return when the runs on a worker are expected to end.

    Lasting runs that are not being stopped are left out.
    """
    ends = []
    for run in dispatcher.worker_by_id[worker_id].run_by_key.values():
        if run.phase is RunPhase.STOPPING:
            seconds = 0.0
        elif run.task.step.is_lasting:
            continue
        else:
            durations = dispatcher.estimates.durations_of(run.record.job.queue)
            expected_seconds = durations.predict(run.task.step.estimate_seconds)
            seconds = max(0.0, run.asked_at + expected_seconds - now)
        ends.append(ExpectedEnd(seconds, task_need(run.task).counted_need))
    return ends
