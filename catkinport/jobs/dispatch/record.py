"""State of one job, and the row in which it is stored."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from ...policy.crash_blame import (
    MAX_CRASHES,
    REPEATED_CRASHES,
    Crash,
    must_give_up,
)
from ...policy.durations import DurationModel
from ..configuration import AcceptedRules, Queue
from ..model import FINAL_STATES, Job, JobState, TaskId, chain_seconds
from .stage_table import Stage, StageTable
from .task import ORDER_DELAY_SECONDS, Task, TaskPhase

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
        is_surplus: whether it exceeded the rate of its account as it arrived; ``None``
            until that is known.
        first_start_at: clock time of its first start order; 0 before.
        n_placed: number of runs that are or may be on workers.
        n_crashes: number of crashes of workers counted for its tasks by this owner.
        n_stored_crashes: number of those that are stored.
        tasks_by_stage: tasks of each (occurrence, step); created when they are read.
        late_tasks: tasks that may have a start order without an answer; those whose
            order was carried out are removed by `expire_late_starts`.
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
        self.is_surplus: bool | None = None
        self.first_start_at = 0.0
        self._top_run = 0
        self.late_tasks: set[Task] = set()
        self._stages = StageTable(job)
        self.tasks_by_stage = self._stages.tasks_by_stage

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
    def has_done_tasks(self) -> bool:
        """Whether any task is done."""
        return self._stages.has_done_tasks

    @property
    def is_begun(self) -> bool:
        """Whether any task has started, or is or may be on a worker."""
        return self.n_placed > 0 or self.state is not JobState.QUEUED

    def all_tasks(self) -> Iterator[Task]:
        """Iterate over the tasks of all occurrences and steps; this creates them."""
        return self._stages.all_tasks()

    def find_task(self, task_id: TaskId) -> Task | None:
        """Return the task with this name, or ``None`` if the job has no such task."""
        return self._stages.find_task(task_id)

    def waiting_tasks(self, stage: Stage) -> Iterator[Task]:
        """Iterate over the tasks of a step that wait for a worker, in their order."""
        return self._stages.waiting_tasks(stage)

    def set_phase(self, task: Task, phase: TaskPhase) -> None:
        """Set the phase of a task; `mark_done` marks tasks as done."""
        self._stages.set_phase(task, phase)

    def is_stage_ready(self, stage: Stage) -> bool:
        """Return whether all steps that ``stage`` depends on are done.

        Args:
            stage: occurrence and number of a step.
        """
        return self._stages.is_ready(stage)

    def ready_stages(self) -> Iterator[Stage]:
        """Iterate over the (occurrence, step) that are ready and not yet done."""
        return self._stages.ready_stages()

    def count_done(self, stage: Stage) -> int:
        """Return the number of done tasks of an (occurrence, step)."""
        return self.job.steps[stage[1]].n_tasks - self._stages.count_open(stage)

    def count_waiting(self, number: int) -> int:
        """Return the number of tasks of a step, of all occurrences, without a run."""
        return self._stages.count_waiting(number)

    def count_ready(self, number: int, phase: TaskPhase) -> int:
        """Return the number of tasks of a step in ``phase`` whose turn has come.

        Those of all occurrences are counted whose earlier steps are done.
        """
        return self._stages.count_ready(number, phase)

    @property
    def must_hold_ends(self) -> bool:
        """Whether an end of a completed job must not be acknowledged yet.

        The order for its run was repeated, and one may still be carried out.
        """
        if self.state is not JobState.COMPLETED:
            return False
        return any(task.is_start_repeated for task in self.late_tasks)

    def hold_for_late_start(self, task: Task, until: float) -> None:
        """Note that a start order of a task may be carried out until a clock time.

        Args:
            task: the task.
            until: clock time in seconds.
        """
        task.hold_for_late_start(until)
        self.late_tasks.add(task)
        self.is_dirty = True

    def expire_late_starts(self, now: float) -> bool:
        """Forget orders that can be carried out no more; return whether any is left."""
        for task in list(self.late_tasks):
            if task.late_start_until <= now:
                task.clear_late_start()
                self.late_tasks.discard(task)
        return bool(self.late_tasks)

    def mark_begun(self) -> None:
        """Set the state of a queued job to running."""
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
            self.is_dirty = True

    def mark_done(self, task: Task) -> None:
        """Mark ``task`` as done, and the job as completed with its last task."""
        if task.phase is TaskPhase.DONE:
            return
        self._stages.set_phase(task, TaskPhase.DONE)
        self.is_dirty = True
        self.mark_begun()
        if not self._stages.n_open and not self.is_final:
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
        if task.step.is_lasting:
            # It may crash without end, and its next start goes by the latest crashes.
            while len(task.crash_by_run) > MAX_CRASHES:
                del task.crash_by_run[min(task.crash_by_run)]
            return False
        if self.is_closing or task.phase is TaskPhase.DONE:
            return False
        if not must_give_up(task.crash_by_run.values()):
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
        if not self.is_inherited:
            return
        for stage in self._stages.created_stages():
            for task in self.tasks_by_stage[stage]:
                task.run = max(task.run, self._top_run) + RUN_GAP_AFTER_TAKEOVER
        self._stages.advance_runs(self._top_run + RUN_GAP_AFTER_TAKEOVER)

    def remaining_chain_seconds(
        self, durations: DurationModel, occurrence: int = 0
    ) -> float:
        """Return the expected time of the longest chain of steps still to be done."""
        ends: list[float] = []
        for number, step in enumerate(self.job.steps):
            start = max((ends[i] for i in step.after), default=0.0)
            n_open = self._stages.count_open((occurrence, number))
            longest = durations.predict_longest(step.estimate_seconds, n_open)
            ends.append(start + (longest if n_open else 0.0))
        return max(ends, default=0.0)

    def remaining_core_seconds(self, durations: DurationModel) -> float:
        """Return the expected core-seconds of the tasks that are not done."""
        return sum(
            self._stages.count_open_of_step(number)
            * step.need.cores
            * durations.predict(step.estimate_seconds)
            for number, step in enumerate(self.job.steps)
        )

    def objective_seconds(self, queue: Queue, durations: DurationModel) -> float:
        """Return the time from acceptance within which the job should complete."""
        return queue.objective_seconds(chain_seconds(self.job.steps, durations))

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
        if self.late_tasks:
            row["late_starts"] = self._encode_late_tasks(
                lambda task: task.may_start_late
            )
            row["repeated_starts"] = self._encode_late_tasks(
                lambda task: task.is_start_repeated
            )
        if self.is_final:
            # A successor has to load an ended job that still has runs to stop, or ends
            # that must not be acknowledged.
            row["settled"] = self.n_placed == 0 and not self.must_hold_ends
            return row
        row["done"] = {
            f"{occurrence}.{number}": _to_mask(
                task.phase is TaskPhase.DONE
                for task in self.tasks_by_stage[occurrence, number]
            )
            for occurrence, number in self._stages.begun_stages()
            if not (is_compact and self._stages.is_done((occurrence, number)))
        }
        if is_compact:
            row["done_steps"] = self._encode_done_steps()
        open_tasks = [
            task
            for stage in self._stages.created_stages()
            if not self._stages.is_done(stage)
            for task in self.tasks_by_stage[stage]
            if task.phase is not TaskPhase.DONE
        ]
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
        for task in self._find_masked(row.get("done", {})):
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
        # The former owner sent its orders before this owner has read the row.
        for task in self._find_masked(row.get("late_starts", {})):
            self.hold_for_late_start(task, self.learned_at + ORDER_DELAY_SECONDS)
        for task in self._find_masked(row.get("repeated_starts", {})):
            task.is_start_repeated = True
        self.state = JobState(row["state"])
        self.is_dirty = False

    def _encode_late_tasks(self, is_chosen: Callable[[Task], bool]) -> dict[str, str]:
        """Return a bit mask of the chosen late tasks for each step that has one."""
        mask_by_stage: dict[str, int] = {}
        for task in filter(is_chosen, self.late_tasks):
            name = f"{task.task_id.occurrence}.{task.task_id.step}"
            mask = mask_by_stage.get(name, 0) | 1 << task.task_id.index
            mask_by_stage[name] = mask
        return {name: f"{mask:x}" for name, mask in mask_by_stage.items()}

    def _find_masked(self, mask_by_stage: Mapping[str, str]) -> Iterator[Task]:
        """Iterate over the tasks whose bits are set in the masks of a row."""
        for name, mask in mask_by_stage.items():
            occurrence, number = (int(part) for part in name.split("."))
            tasks = self.tasks_by_stage[occurrence, number]
            for index in _from_mask(mask):
                yield tasks[index]

    def _encode_done_steps(self) -> dict[str, str]:
        """Return, for each step, a bit mask of the occurrences in which it is done."""
        mask_by_step = dict.fromkeys(range(len(self.job.steps)), 0)
        for occurrence, number in self._stages.begun_stages():
            if self._stages.is_done((occurrence, number)):
                mask_by_step[number] |= 1 << occurrence
        return {str(number): f"{mask:x}" for number, mask in mask_by_step.items()}

    def _load_done_steps(self, masks: Mapping[str, str]) -> None:
        for number, mask in masks.items():
            for occurrence in _from_mask(mask):
                for task in self.tasks_by_stage[occurrence, int(number)]:
                    self.mark_done(task)


def _to_mask(flags: Iterable[bool]) -> str:
    """Return the flags as a hexadecimal bit mask, the first one as the lowest bit."""
    return f"{sum(flag << index for index, flag in enumerate(flags)):x}"


def _from_mask(mask: str) -> list[int]:
    """Return the numbers of the bits that are set, the lowest first."""
    bits = f"{int(mask, 16):b}"
    return [index for index, bit in enumerate(reversed(bits)) if bit == "1"]
