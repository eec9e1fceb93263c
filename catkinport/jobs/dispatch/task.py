"""A task of a job, as the owner of the fleet tracks it."""

from enum import StrEnum

from ...policy.crash_blame import Crash
from ..model import Step, TaskId

ORDER_DELAY_SECONDS = 12.0
"""Longest time after which an order without an answer is carried out. This is an
assumption: the platform's documentation only speaks of seconds."""


class TaskPhase(StrEnum):
    """Whether a task waits for a worker, is placed on one or is done."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class Task:
    """A task of a job; each execution of it on a worker is a run with a number.

    Attributes:
        task_id: name of the task.
        text: text form of the name.
        step: step that the task belongs to.
        phase: whether it waits for a worker, is placed on one or is done.
        run: number of its latest run; 0 before the first.
        failed_runs: numbers of the runs that failed. They are kept as a set, because a
            worker may report a failure again that a former owner has counted. It stays
            empty for a lasting task, which has no limit of failures.
        crash_by_run: crashes of workers that it is a suspect of, by number of its run.
        checkpoint: reference of the latest known checkpoint; empty for none.
        lost_at: clock time in seconds at which its last run was given up although no
            worker reported its end; minus infinity for never. An owner that had
            succeeded this one by then may still have that run.
        not_before: clock time in seconds before which it is not started again.
        late_start_until: clock time in seconds until which a start order of it that had
            no answer may be carried out; minus infinity for none. Until then it has no
            other start, unless two runs of it may overlap.
        is_start_repeated: whether that order was sent more than once, so that a report
            of its run doesn't tell that none is left.
        avoided_worker: worker on which it failed or stalled last; empty for none.
    """

    __slots__ = (
        "avoided_worker",
        "crash_by_run",
        "failed_runs",
        "is_start_repeated",
        "late_start_until",
        "lost_at",
        "not_before",
        "phase",
        "run",
        "checkpoint",
        "step",
        "task_id",
        "text",
    )

    def __init__(self, task_id: TaskId, step: Step) -> None:
        self.task_id = task_id
        self.text = str(task_id)
        self.step = step
        self.phase = TaskPhase.WAITING
        self.run = 0
        self.failed_runs: set[int] = set()
        self.crash_by_run: dict[int, Crash] = {}
        self.checkpoint = ""
        self.not_before = 0.0
        self.avoided_worker = ""
        self.lost_at = float("-inf")
        self.late_start_until = float("-inf")
        self.is_start_repeated = False

    @property
    def stage_name(self) -> str:
        """Name of its step within its job's occurrence."""
        return self.text.rpartition(".")[0]

    @property
    def may_start_late(self) -> bool:
        """Whether a start order of it may be carried out that had no answer."""
        return self.late_start_until > float("-inf")

    def hold_for_late_start(self, until: float) -> None:
        """Note that a start order of it may be carried out until a clock time.

        Nothing is held back if two runs of it may overlap.

        Args:
            until: clock time in seconds.
        """
        if not self.step.may_run_twice:
            self.late_start_until = max(self.late_start_until, until)

    def clear_late_start(self) -> None:
        """Note that no start order of it can be carried out any more."""
        self.late_start_until = float("-inf")
        self.is_start_repeated = False

    def note_carried_out(self) -> None:
        """Note that a start order was carried out; of several, one may be left."""
        if not self.is_start_repeated:
            self.late_start_until = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether it may be started as far as its former runs are concerned."""
        return max(self.not_before, self.late_start_until) <= now

    def is_lost_since(self, renewed_at: float | None) -> bool:
        """Return whether a possible successor may have its last run.

        No successor existed at the last stored renewal, so a run that was given up
        before it has ended.

        Args:
            renewed_at: clock time in seconds of that renewal; ``None`` while there can
                be no successor.
        """
        return renewed_at is not None and self.lost_at > renewed_at
