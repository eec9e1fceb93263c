"""Tasks of a job by occurrence and step, with counters of their phases.

A job may have thousands of tasks, and the owner asks for their numbers in each round of
planning. So the numbers are kept, and the tasks of a step are only created once they
are needed.
"""

from collections.abc import Iterator

from ..model import Job, TaskId
from .task import Task, TaskPhase

Stage = tuple[int, int]
"""Occurrence and number of a step."""


class StageTable:
    """Tasks of a job.

    Args:
        job: the job.

    Attributes:
        tasks_by_stage: tasks of each (occurrence, step); created when they are read.
        n_open: number of tasks that are not done.
    """

    def __init__(self, job: Job) -> None:
        self._job = job
        self._n_occurrences = max(1, job.n_occurrences)
        self.tasks_by_stage = _TasksByStage(job)
        n_by_step = [self._n_occurrences * step.n_tasks for step in job.steps]
        self.n_open = sum(n_by_step)
        self._n_open_by_step = n_by_step
        self._n_placed_by_step = [0] * len(job.steps)
        # Only stages with done tasks are in it.
        self._n_open_by_stage: dict[Stage, int] = {}
        self._first_open_occurrence = 0
        self._n_ready_by_phase = {phase: [0] * len(job.steps) for phase in TaskPhase}
        for number, step in enumerate(job.steps):
            if not step.after:
                self._n_ready_by_phase[TaskPhase.WAITING][number] = n_by_step[number]
        # No task before this index of the stage waits.
        self._first_waiting_by_stage: dict[Stage, int] = {}

    def all_tasks(self) -> Iterator[Task]:
        """Iterate over the tasks of all occurrences and steps; this creates them."""
        for occurrence in range(self._n_occurrences):
            for number in range(len(self._job.steps)):
                yield from self.tasks_by_stage[occurrence, number]

    def created_stages(self) -> list[Stage]:
        """Return the stages whose tasks have been created, in their order."""
        return sorted(self.tasks_by_stage)

    def find_task(self, task_id: TaskId) -> Task | None:
        """Return the task with this name, or ``None`` if the job has no such task."""
        is_occurrence = 0 <= task_id.occurrence < self._n_occurrences
        if not is_occurrence or not 0 <= task_id.step < len(self._job.steps):
            return None
        tasks = self.tasks_by_stage[task_id.occurrence, task_id.step]
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def waiting_tasks(self, stage: Stage) -> Iterator[Task]:
        """Iterate over the tasks of a step that wait for a worker, in their order."""
        tasks = self.tasks_by_stage[stage]
        first = self._first_waiting_by_stage.get(stage, 0)
        while first < len(tasks) and tasks[first].phase is not TaskPhase.WAITING:
            first += 1
        self._first_waiting_by_stage[stage] = first
        for index in range(first, len(tasks)):
            if tasks[index].phase is TaskPhase.WAITING:
                yield tasks[index]

    def set_phase(self, task: Task, phase: TaskPhase) -> None:
        """Set the phase of a task and count it."""
        if task.phase is phase:
            return
        occurrence, number, index = task.task_id[1:]
        stage = (occurrence, number)
        former, task.phase = task.phase, phase
        self._n_placed_by_step[number] -= former is TaskPhase.PLACED
        self._n_placed_by_step[number] += phase is TaskPhase.PLACED
        if self.is_ready(stage):
            self._n_ready_by_phase[former][number] -= 1
            self._n_ready_by_phase[phase][number] += 1
        if phase is TaskPhase.WAITING:
            first = self._first_waiting_by_stage.get(stage, 0)
            self._first_waiting_by_stage[stage] = min(first, index)
        elif phase is TaskPhase.DONE:
            self._note_done(stage)

    def is_ready(self, stage: Stage) -> bool:
        """Return whether all steps that ``stage`` depends on are done."""
        occurrence, number = stage
        return all(
            self.is_done((occurrence, earlier))
            for earlier in self._job.steps[number].after
        )

    def is_done(self, stage: Stage) -> bool:
        """Return whether all tasks of an (occurrence, step) are done."""
        return self._n_open_by_stage.get(stage) == 0

    def ready_stages(self) -> Iterator[Stage]:
        """Iterate over the (occurrence, step) that are ready and not yet done."""
        for occurrence in range(self._first_open_occurrence, self._n_occurrences):
            for number in range(len(self._job.steps)):
                stage = (occurrence, number)
                if not self.is_done(stage) and self.is_ready(stage):
                    yield stage

    @property
    def has_done_tasks(self) -> bool:
        """Whether any task is done."""
        return bool(self._n_open_by_stage)

    def begun_stages(self) -> list[Stage]:
        """Return the (occurrence, step) of which a task is done, in their order."""
        return sorted(self._n_open_by_stage)

    def count_open(self, stage: Stage) -> int:
        """Return the number of tasks of an (occurrence, step) that are not done."""
        return self._n_open_by_stage.get(stage, self._job.steps[stage[1]].n_tasks)

    def count_open_of_step(self, number: int) -> int:
        """Return the number of tasks of a step, of all occurrences, not done."""
        return self._n_open_by_step[number]

    def count_waiting(self, number: int) -> int:
        """Return the number of tasks of a step, of all occurrences, without a run."""
        return self._n_open_by_step[number] - self._n_placed_by_step[number]

    def count_ready(self, number: int, phase: TaskPhase) -> int:
        """Return the number of tasks of a step in ``phase`` whose turn has come.

        Those of all occurrences are counted whose earlier steps are done.
        """
        return self._n_ready_by_phase[phase][number]

    def advance_runs(self, run: int) -> None:
        """Let the tasks that are created later have had ``run`` runs."""
        self.tasks_by_stage.first_run = run

    def _note_done(self, stage: Stage) -> None:
        occurrence, done_number = stage
        self.n_open -= 1
        self._n_open_by_step[done_number] -= 1
        self._n_open_by_stage[stage] = self.count_open(stage) - 1
        if not self.is_done(stage):
            return
        for number, step in enumerate(self._job.steps):
            if done_number in step.after and self.is_ready((occurrence, number)):
                self._count_as_ready((occurrence, number))
        while self._is_occurrence_done(self._first_open_occurrence):
            self._first_open_occurrence += 1

    def _count_as_ready(self, stage: Stage) -> None:
        number = stage[1]
        for task in self.tasks_by_stage[stage]:
            self._n_ready_by_phase[task.phase][number] += 1

    def _is_occurrence_done(self, occurrence: int) -> bool:
        return occurrence < self._n_occurrences and all(
            self.is_done((occurrence, number)) for number in range(len(self._job.steps))
        )


class _TasksByStage(dict[Stage, list[Task]]):
    """Map that creates the tasks of a stage when they are read first.

    Args:
        job: the job.

    Attributes:
        first_run: number of runs that a new task counts as its former ones.
    """

    def __init__(self, job: Job) -> None:
        super().__init__()
        self._job = job
        self.first_run = 0

    def __missing__(self, stage: Stage) -> list[Task]:
        occurrence, number = stage
        step = self._job.steps[number]
        tasks = [
            Task(TaskId(self._job.job_id, occurrence, number, index), step)
            for index in range(step.n_tasks)
        ]
        for task in tasks:
            task.run = self.first_run
        self[stage] = tasks
        return tasks
