"""State of one job, and the row in which it is stored."""

from collections.abc import Iterator, Mapping
from typing import Any

from ...policy.crash_blame import REPEATED_CRASHES, Crash, must_give_up
from ...policy.durations import DurationModel
from ..configuration import AcceptedRules, Queue
from ..model import FINAL_STATES, Job, JobState, TaskId, chain_seconds
from .task import Task, TaskPhase

RUN_GAP_AFTER_TAKEOVER = 10
"""Added to the highest known run number when ownership changes. Runs that the former
owner started without storing them then have lower numbers than new runs."""


MIN_COUNTED_FAILURES = 100
"""Failures of a task that are counted even if its queue has no limit now, as a later
configuration may set one. A task without a limit may fail any number of times, and the
table service refuses rows over 64 KiB."""


class JobRecord:
    """A job with its tasks, as its owner knows it.

    Attributes:
        job: what the caller asked for.
        state: state as stored or about to be stored.
        is_cancel_asked: whether the caller has asked to cancel the job.
        is_inherited: whether a former owner may have started tasks of it.
        rules: rules under which the job was accepted; ``None`` if unknown.
        row_version: version of the stored state; 0 before the first write.
        is_dirty: whether the state has changed since it was stored.
        accepted_at: approximate clock time in seconds of its acceptance. It is taken
            from wall clocks, which may differ, so nothing that must hold rests on it.
        learned_at: clock time in seconds at which this owner has read it.
        first_start_at: clock time of its first start order; 0 before.
        n_placed: number of runs that are or may be on workers.
        n_crashes: number of crashes of workers counted for its tasks by this owner.
        n_stored_crashes: number of those that are stored.
        ever_started: whether this owner has ordered or adopted a run of it.
        tasks_by_stage: tasks of each (occurrence, step).
    """

    def __init__(
        self, job: Job, is_inherited: bool = False, rules: AcceptedRules | None = None
    ) -> None:
        self.job = job
        self.state = JobState.QUEUED
        self.is_cancel_asked = False
        self.is_inherited = is_inherited
        self.rules = rules
        self.row_version = 0
        self.is_dirty = False
        self.accepted_at = 0.0
        self.learned_at = 0.0
        self.n_placed = 0
        self.n_crashes = 0
        self.n_stored_crashes = 0
        self.ever_started = False
        self.first_start_at = 0.0
        self.tasks_by_stage: dict[tuple[int, int], list[Task]] = {}
        self._n_open_by_stage: dict[tuple[int, int], int] = {}
        self._top_run = 0
        for occurrence in range(max(1, job.n_occurrences)):
            for number, step in enumerate(job.steps):
                stage = (occurrence, number)
                self.tasks_by_stage[stage] = [
                    Task(TaskId(job.job_id, occurrence, number, index), step)
                    for index in range(step.n_tasks)
                ]
                self._n_open_by_stage[stage] = step.n_tasks

    @property
    def accepted_version(self) -> int:
        """Version of the configuration under which it was accepted; 0 if unknown."""
        return self.rules.version if self.rules else 0

    @property
    def is_final(self) -> bool:
        """Whether the state of the job is final."""
        return self.state in FINAL_STATES

    @property
    def is_closing(self) -> bool:
        """Whether no task may start any more."""
        return self.is_cancel_asked or self.is_final

    @property
    def is_begun(self) -> bool:
        """Whether any task has been started."""
        return self.ever_started or self.row_version > 0

    def all_tasks(self) -> Iterator[Task]:
        """Iterate over the tasks of all occurrences and steps."""
        for tasks in self.tasks_by_stage.values():
            yield from tasks

    def find_task(self, task_id: TaskId) -> Task | None:
        """Return the task with this name, or ``None`` if the job has no such task."""
        tasks = self.tasks_by_stage.get((task_id.occurrence, task_id.step), [])
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def is_stage_ready(self, stage: tuple[int, int]) -> bool:
        """Return whether all steps that ``stage`` depends on are done.

        Args:
            stage: occurrence and number of a step.
        """
        occurrence, number = stage
        return all(
            self._n_open_by_stage[occurrence, earlier] == 0
            for earlier in self.job.steps[number].after
        )

    def ready_stages(self) -> Iterator[tuple[int, int]]:
        """Iterate over the (occurrence, step) that are ready and not yet done."""
        for stage, n_open in self._n_open_by_stage.items():
            if n_open and self.is_stage_ready(stage):
                yield stage

    def count_done(self, stage: tuple[int, int]) -> int:
        """Return the number of done tasks of an (occurrence, step)."""
        return len(self.tasks_by_stage[stage]) - self._n_open_by_stage[stage]

    def mark_begun(self) -> None:
        """Set the state of a queued job to running."""
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
            self.is_dirty = True

    def mark_done(self, task: Task) -> None:
        """Mark ``task`` as done, and the job as completed with its last task."""
        if task.phase is TaskPhase.DONE:
            return
        task.phase = TaskPhase.DONE
        stage = (task.task_id.occurrence, task.task_id.step)
        self._n_open_by_stage[stage] -= 1
        self.is_dirty = True
        self.mark_begun()
        if not any(self._n_open_by_stage.values()) and not self.is_final:
            self.state = JobState.COMPLETED

    def mark_failed(self, task: Task, run: int, max_failures: int) -> None:
        """Count a failed run of ``task``, and fail the job at ``max_failures``.

        Jobs without a limit (0) and lasting tasks are retried without end. A copy of a
        task may fail after another one has done it, which does not fail the job.
        """
        self.is_dirty = True
        self.mark_begun()
        if task.step.is_lasting:
            return
        if len(task.failed_runs) < max(max_failures, MIN_COUNTED_FAILURES):
            task.failed_runs.add(run)
        if not max_failures or self.is_closing or task.phase is TaskPhase.DONE:
            return
        if len(task.failed_runs) >= max_failures:
            self.state = JobState.FAILED

    def mark_crashed(self, task: Task, run: int, crash: Crash) -> bool:
        """Count the crash of the worker of a run; return whether the job fails for it.

        Args:
            task: the task.
            run: number of the run.
            crash: the crash.
        """
        task.crash_by_run[run] = crash
        self.n_crashes += 1
        self.is_dirty = True
        self.mark_begun()
        if self.is_closing or task.phase is TaskPhase.DONE:
            return False
        # A lasting task is restarted beside others again and again, and giving it up
        # ends its whole job, so it has to be to blame for each of its crashes.
        crashes = task.crash_by_run.values()
        if task.step.is_lasting and not all(crash.is_blamed for crash in crashes):
            return False
        if not must_give_up(crashes):
            return False
        self.state = JobState.FAILED
        return True

    def clear_crashes(self, task: Task) -> None:
        """Forget the crashes of a task that a run has proved innocent."""
        task.crash_by_run.clear()
        self.is_dirty = True

    def must_store_crashes(self, task: Task) -> bool:
        """Return whether the task waits for its next start until a crash is stored.

        A successor would not know of that crash. The first crash of a task is mostly
        that of another one, so it doesn't delay the next start.
        """
        is_repeated = len(task.crash_by_run) >= REPEATED_CRASHES
        return is_repeated and self.n_stored_crashes < self.n_crashes

    def mark_canceled(self) -> None:
        """Set the state of a job to canceled, unless it has ended."""
        if not self.is_final:
            self.state = JobState.CANCELED
            self.is_dirty = True

    def note_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Remember the checkpoint of a run that has ended; empty for none."""
        if checkpoint and checkpoint != task.checkpoint:
            task.checkpoint = checkpoint
            self.is_dirty = True

    def note_run(self, task: Task, run: int) -> None:
        """Raise the latest run number of ``task`` to ``run``."""
        task.run = max(task.run, run)
        self._top_run = max(self._top_run, run)

    def advance_run_numbers(self) -> None:
        """Raise the run numbers of an inherited job above those of a former owner."""
        for task in self.all_tasks():
            if self.is_inherited:
                task.run = max(task.run, self._top_run) + RUN_GAP_AFTER_TAKEOVER

    def remaining_chain_seconds(
        self, durations: DurationModel, occurrence: int = 0
    ) -> float:
        """Return the expected time of the longest chain of steps still to be done."""
        ends: list[float] = []
        for number, step in enumerate(self.job.steps):
            start = max((ends[i] for i in step.after), default=0.0)
            n_open = self._n_open_by_stage[occurrence, number]
            longest = durations.predict_longest(step.estimate_seconds, n_open)
            ends.append(start + (longest if n_open else 0.0))
        return max(ends, default=0.0)

    def remaining_core_seconds(self, durations: DurationModel) -> float:
        """Return the expected core-seconds of the tasks that are not done."""
        return sum(
            n_open
            * self.job.steps[number].need.cores
            * durations.predict(self.job.steps[number].estimate_seconds)
            for (_, number), n_open in self._n_open_by_stage.items()
        )

    def objective_seconds(self, queue: Queue, durations: DurationModel) -> float:
        """Return the time from acceptance within which the job should complete."""
        chain = chain_seconds(self.job.steps, durations)
        return queue.stretch * chain + queue.target_seconds

    def to_row(self, is_compact: bool = False) -> dict[str, Any]:
        """Return the row in which the state is stored.

        Done tasks are stored as a hexadecimal bit mask for each step. This keeps rows
        short, as a job may have hundreds of tasks and is written at the end of each.

        Args:
            is_compact: whether the steps that are done are stored as one bit mask of
                occurrences for each step. Only a job that recurs thousands of times
                needs it.
        """
        row: dict[str, Any] = {
            "state": self.state.value,
            "account": self.job.account,
            "top_run": self._top_run,
        }
        if self.is_final:
            # A successor has to load an ended job that still has runs to stop.
            row["settled"] = self.n_placed == 0
            return row
        row["done"] = {
            f"{occurrence}.{number}": _to_mask(tasks)
            for (occurrence, number), tasks in self.tasks_by_stage.items()
            if any(task.phase is TaskPhase.DONE for task in tasks)
            and not (is_compact and self._is_stage_done((occurrence, number)))
        }
        if is_compact:
            row["done_steps"] = self._encode_done_steps()
        open_tasks = [t for t in self.all_tasks() if t.phase is not TaskPhase.DONE]
        row["failed_runs"] = {
            t.text: sorted(t.failed_runs) for t in open_tasks if t.failed_runs
        }
        row["crashes"] = {
            t.text: [[run, *crash] for run, crash in sorted(t.crash_by_run.items())]
            for t in open_tasks
            if t.crash_by_run
        }
        row["saved"] = {t.text: t.checkpoint for t in open_tasks if t.checkpoint}
        return row

    def load_row(self, row: dict[str, Any], version: int) -> None:
        """Load the state from a stored row.

        Args:
            row: row that `to_row` made.
            version: version of the row.
        """
        self.row_version = version
        self._top_run = row["top_run"]
        for name, mask in row.get("done", {}).items():
            occurrence, number = (int(part) for part in name.split("."))
            tasks = self.tasks_by_stage[occurrence, number]
            for task in tasks:
                if int(mask, 16) >> task.task_id.index & 1:
                    self.mark_done(task)
        self._load_done_steps(row.get("done_steps", {}))
        for name, runs in row.get("failed_runs", {}).items():
            task = self.find_task(TaskId.parse(name))
            if task is not None and not task.step.is_lasting:
                task.failed_runs = set(runs)
        for name, crashes in row.get("crashes", {}).items():
            task = self.find_task(TaskId.parse(name))
            if task is not None:
                task.crash_by_run = {run: Crash(*crash) for run, *crash in crashes}
        for name, checkpoint in row.get("saved", {}).items():
            task = self.find_task(TaskId.parse(name))
            if task is not None:
                task.checkpoint = checkpoint
        self.state = JobState(row["state"])
        self.is_dirty = False

    def _is_stage_done(self, stage: tuple[int, int]) -> bool:
        return self._n_open_by_stage[stage] == 0

    def _encode_done_steps(self) -> dict[str, str]:
        """Return, for each step, a bit mask of the occurrences in which it is done."""
        mask_by_step = dict.fromkeys(range(len(self.job.steps)), 0)
        for occurrence, number in self.tasks_by_stage:
            if self._is_stage_done((occurrence, number)):
                mask_by_step[number] |= 1 << occurrence
        return {str(number): f"{mask:x}" for number, mask in mask_by_step.items()}

    def _load_done_steps(self, masks: Mapping[str, str]) -> None:
        mask_by_step = {int(number): int(mask, 16) for number, mask in masks.items()}
        for (occurrence, number), tasks in self.tasks_by_stage.items():
            if mask_by_step.get(number, 0) >> occurrence & 1:
                for task in tasks:
                    self.mark_done(task)


def _to_mask(tasks: list[Task]) -> str:
    bits = sum(
        1 << task.task_id.index for task in tasks if task.phase is TaskPhase.DONE
    )
    return f"{bits:x}"
