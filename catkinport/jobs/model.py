"""Jobs as callers submit them: steps, each of which has tasks of one kind."""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from ..policy.durations import DurationModel
from ..policy.resources import Resources
from .configuration import AcceptedRules, rules_from_row, rules_to_row


class JobState(StrEnum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELED = "canceled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELED})


class Step(NamedTuple):
    """A step of a job: one or more tasks of the same kind.

    Args:
        n_tasks: number of tasks, at least 1.
        need: resources that each task takes on its worker.
        estimate_seconds: estimated duration of a task; 0 when the caller gives none.
        after: numbers of the steps whose tasks must all be done first.
        saves_work: whether a task writes checkpoints that a later run resumes from.
        is_gang: whether the tasks can only run while all of them run.
        wants_one_rack: whether the tasks are slower when they run on several racks.
        required_label: label that the worker must have; empty for none.
        preferred_rack: label of the rack that holds the data; empty for none.
        max_per_worker: most tasks of the step on one worker; 0 for no limit.
        may_run_twice: whether two runs of a task may overlap.
        is_lasting: whether tasks run until the job is canceled.
        image: program that the tasks run; tasks of one image behave alike.
        target_seconds: tail latency that a lasting task has to stay under; 0 for none.
        is_filler: whether tasks use only cores that other tasks leave idle.
        max_away: most lasting tasks that may be unavailable at once because of VMs that
            this system takes down; 0 if none may.
    """

    n_tasks: int
    need: Resources
    estimate_seconds: float = 0.0
    after: tuple[int, ...] = ()
    saves_work: bool = False
    is_gang: bool = False
    wants_one_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    may_run_twice: bool = False
    is_lasting: bool = False
    image: str = ""
    target_seconds: float = 0.0
    is_filler: bool = False
    max_away: int = 0


class Job(NamedTuple):
    """An accepted job.

    Args:
        job_id: id chosen by the caller.
        queue: name of the queue.
        account: name of the client account; empty on a queue without keys.
        specification: text that each task receives unchanged.
        steps: the steps, by number.
        accepted_at: Unix time of acceptance in seconds.
        n_occurrences: how often the steps run; 0 for once, without a due time.
        first_due_at: Unix time in seconds at which occurrence 0 is due.
        interval_seconds: time between the due times of two occurrences.
    """

    job_id: str
    queue: str
    account: str
    specification: str
    steps: Sequence[Step]
    accepted_at: float
    n_occurrences: int = 0
    first_due_at: float = 0.0
    interval_seconds: float = 0.0

    def due_at(self, occurrence: int) -> float:
        """Return the Unix time at which ``occurrence`` may start; 0 for at once."""
        if not self.n_occurrences:
            return 0.0
        return self.first_due_at + occurrence * self.interval_seconds


class TaskId(NamedTuple):
    """Name of a task, with the text form ``job.occurrence.step.index``.

    Example:
        >>> str(TaskId("5c0e", 0, 1, 17))
        '5c0e.0.1.17'
        >>> TaskId.parse("5c0e.0.1.17").index
        17
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskId":
        """Parse the text form.

        Raises:
            ValueError: if ``text`` is not the text form of a task's name.
        """
        job_id, *numbers = text.split(".")
        if len(numbers) != 3:
            raise ValueError(
                "name of a task must have the form job.occurrence.step.index, "
                f"not {text[:80]!r}"
            )
        occurrence, step, index = (int(number) for number in numbers)
        return cls(job_id, occurrence, step, index)


def chain_seconds(steps: Sequence[Step], durations: DurationModel) -> float:
    """Return the expected time of the longest chain of dependent steps.

    Example:
        >>> need = Resources(1, 1, 0)
        >>> steps = [Step(1, need, 1.0), Step(1, need, 2.0, after=(0,))]
        >>> round(chain_seconds(steps, DurationModel()), 1)
        3.1
    """
    ends: list[float] = []
    for step in steps:
        start = max((ends[i] for i in step.after), default=0.0)
        longest = durations.predict_longest(step.estimate_seconds, step.n_tasks)
        ends.append(start + longest)
    return max(ends, default=0.0)


def work_core_seconds(steps: Sequence[Step], durations: DurationModel) -> float:
    """Return the expected core-seconds of all tasks that are not lasting."""
    return sum(
        step.n_tasks * step.need.cores * durations.predict(step.estimate_seconds)
        for step in steps
        if not step.is_lasting
    )


RULES_FIELD = "rules"
"""Field of a job's row that holds the rules of its queue, beside the job itself."""


def job_to_row(job: Job, rules: AcceptedRules | None = None) -> dict[str, Any]:
    """Return the row in which a job is stored, without fields that are empty or 0.

    Args:
        job: the job.
        rules: rules under which it is accepted. An owner that has never had the queue
            in its configuration needs them to run the job.
    """
    row = {**job._asdict(), "steps": [_step_to_row(step) for step in job.steps]}
    if rules is not None:
        row[RULES_FIELD] = rules_to_row(rules)
    return {name: value for name, value in row.items() if value not in ("", 0)}


def job_from_row(row: Mapping[str, Any]) -> Job:
    """Return the job that a row stores.

    Raises:
        KeyError, TypeError: if the row has missing or unknown fields.
    """
    steps = tuple(_step_from_row(step) for step in row["steps"])
    fields = {"account": "", "specification": "", **row, "steps": steps}
    fields.pop(RULES_FIELD, None)
    return Job(**fields)


def find_rules(row: Mapping[str, Any]) -> AcceptedRules | None:
    """Return the rules under which the job in a row was accepted, if it has them.

    Raises:
        KeyError, TypeError: if they have missing or unknown fields.
    """
    rules = row.get(RULES_FIELD)
    return rules_from_row(row["queue"], rules) if rules is not None else None


def _step_to_row(step: Step) -> dict[str, Any]:
    defaults = Step._field_defaults
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in step._asdict().items()
        if name not in defaults or value != defaults[name]
    }


def _step_from_row(row: Mapping[str, Any]) -> Step:
    fields = {**row, "need": Resources(*row["need"])}
    fields["after"] = tuple(row.get("after", ()))
    return Step(**fields)
