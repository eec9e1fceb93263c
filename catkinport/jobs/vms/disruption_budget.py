"""Keeps enough lasting tasks of each step available while VMs are taken down.

A lasting task is available if a worker has reported it as ready for some time. For each
step, at most `max_away` tasks may be unavailable at once.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Set
from itertools import islice

from ..dispatch.dispatcher import Dispatcher
from ..dispatch.task import Task, TaskPhase
from ..model import Step
from ..workers.run import Run
from ..workers.worker_state import WorkerRecord
from .vm_inventory import VmInventory

Stage = tuple[str, int, int]
"""Job id, occurrence and number of a step."""

MAX_RETURN_SECONDS = 5.0
"""A task that is unavailable for longer than this, like one that fits on no VM, is not
expected back. Tasks that move for an upkeep are available again within three seconds.
"""


class AvailableTasks:
    """Tasks of a step that have an available run, by the workers of these runs."""

    def __init__(self) -> None:
        self._n_by_worker: Counter[str] = Counter()
        # Only tasks with several such runs.
        self._workers_by_task: dict[str, set[str]] = {}

    def add(self, task: str, worker_ids: set[str]) -> None:
        """Add a task with its workers, at least one."""
        if len(worker_ids) > 1:
            self._workers_by_task[task] = worker_ids
        else:
            self._n_by_worker.update(worker_ids)

    def count(self, may_end_runs_on: Callable[[str], bool]) -> int:
        """Return the number of tasks that keep an available run.

        Args:
            may_end_runs_on: returns whether the runs on a worker may be about to end.
        """
        n_single = sum(
            n for worker, n in self._n_by_worker.items() if not may_end_runs_on(worker)
        )
        return n_single + sum(
            any(not may_end_runs_on(worker) for worker in worker_ids)
            for worker_ids in self._workers_by_task.values()
        )


class DisruptionBudget:
    """Decides which lasting tasks may be ended now without exceeding `max_away`.

    A step may have thousands of tasks, and its numbers are asked for each VM of a wave.
    So the tasks are counted once for each round of decisions.

    Args:
        dispatcher: jobs and workers.
        inventory: VMs and the orders for them.
    """

    def __init__(self, dispatcher: Dispatcher, inventory: VmInventory) -> None:
        self._dispatcher = dispatcher
        self._inventory = inventory
        self._unavailable_since_by_task: dict[str, float] = {}
        self._available_by_stage: dict[Stage, AvailableTasks] = {}
        self._missing_by_stage: dict[Stage, list[str]] = {}

    def update(self, now: float) -> None:
        """Count the available tasks at the beginning of a round of decisions."""
        self._count_available()
        since_by_task = self._unavailable_since_by_task
        self._unavailable_since_by_task = {}
        self._missing_by_stage = {}
        for task in self._lasting_tasks():
            if self._is_task_available(task.text):
                continue
            since = since_by_task.get(task.text, now)
            self._unavailable_since_by_task[task.text] = since
            if now - since > MAX_RETURN_SECONDS:
                missing = self._missing_by_stage.setdefault(task.task_id[:3], [])
                missing.append(task.text)

    def is_exhausted(self, worker: WorkerRecord) -> bool:
        """Return whether a lasting task of the worker can't be ended for long.

        The budget of its step is used up by other tasks that are not expected back.
        """
        return any(
            self._is_used_up_elsewhere(stage, worker)
            for stage in _count_lasting(worker)
        )

    def _is_used_up_elsewhere(self, stage: Stage, worker: WorkerRecord) -> bool:
        """Return whether tasks on other workers that stay away use up the budget."""
        max_away = self._max_away(stage)
        own = {run.task.text for run in worker.run_by_key.values()}
        names = self._missing_by_stage.get(stage, ())
        missing = (name for name in names if name not in own)
        return len(list(islice(missing, max_away))) >= max_away

    def find_evacuations(self, vm_ids: Collection[str]) -> list[Run]:
        """Return the lasting runs to stop so that the given VMs can go down.

        If a VM has more tasks of a step than may be unavailable at once, they are
        stopped a few at a time, until the rest may be ended together with the VM.
        """
        if not vm_ids:
            return []
        self._count_available()
        runs = []
        evacuated: dict[Stage, int] = {}
        for vm_id in vm_ids:
            worker = self._inventory.worker_on(vm_id)
            if worker is None or self.may_end_all(worker):
                continue
            n_by_stage = _count_lasting(worker)
            left_by_stage = {
                stage: self._count_left(stage) - evacuated.get(stage, 0)
                for stage, n in n_by_stage.items()
                if n > self._max_away(stage)
            }
            for run in worker.run_by_key.values():
                stage = run.task.task_id[:3]
                if not run.task.step.is_lasting or run.is_evacuated:
                    continue
                if left_by_stage.get(stage, 0) > 0:
                    left_by_stage[stage] -= 1
                    evacuated[stage] = evacuated.get(stage, 0) + 1
                    runs.append(run)
        return runs

    def find_endable(self, runs: Iterable[Run]) -> list[Run]:
        """Return those of the lasting runs that may be ended together now.

        A task that is unavailable already uses its part of the budget, so ending its
        run takes no more of it.
        """
        self._count_available()
        left_by_stage: dict[Stage, int] = {}
        endable = []
        for run in runs:
            stage = run.task.task_id[:3]
            if stage not in left_by_stage:
                left_by_stage[stage] = self._count_left(stage)
            n_more = int(self._is_task_available(run.task.text))
            if left_by_stage[stage] >= n_more:
                left_by_stage[stage] -= n_more
                endable.append(run)
        return endable

    def may_end_all(self, worker: WorkerRecord) -> bool:
        """Return whether all lasting tasks of the worker may be ended together."""
        return all(
            self._count_unavailable(stage) + n <= self._max_away(stage)
            for stage, n in _count_lasting(worker).items()
        )

    def may_end_run(self, run: Run) -> bool:
        """Return whether a run may be ended that may be at work.

        It is asked between the rounds of decisions on VMs, so it counts anew.
        """
        max_away = run.task.step.max_away
        others = (
            task
            for task in run.record.tasks_by_stage[run.task.task_id[1:3]]
            if task is not run.task and not self._is_task_available(task.text)
        )
        return max_away > 0 and len(list(islice(others, max_away))) < max_away

    def may_still_end(self, worker: WorkerRecord) -> bool:
        """Return what `may_end_ordered` does, between two rounds of decisions."""
        if not _count_lasting(worker):
            return True
        self._count_available()
        return self.may_end_ordered(worker)

    def may_end_ordered(self, worker: WorkerRecord) -> bool:
        """Return whether the lasting tasks of a VM under order may still be ended.

        They count as unavailable already, so only the other tasks are counted.
        """
        names_by_stage: dict[Stage, set[str]] = {}
        for run in worker.run_by_key.values():
            names_by_stage.setdefault(run.task.task_id[:3], set()).add(run.task.text)
        return all(
            self._count_unavailable_but(stage, names_by_stage[stage]) + n
            <= self._max_away(stage)
            for stage, n in _count_lasting(worker).items()
        )

    def _lasting_tasks(self) -> Iterator[Task]:
        for record in self._dispatcher.job_by_id.values():
            if not any(step.is_lasting for step in record.job.steps):
                continue
            for task in record.all_tasks():
                if task.step.is_lasting:
                    yield task

    def _max_away(self, stage: Stage) -> int:
        return self._step_of(stage).max_away

    def _step_of(self, stage: Stage) -> Step:
        return self._dispatcher.job_by_id[stage[0]].job.steps[stage[2]]

    def _count_left(self, stage: Stage) -> int:
        """Return how many more tasks of the step may become unavailable."""
        return self._max_away(stage) - self._count_unavailable(stage)

    def _count_unavailable(self, stage: Stage) -> int:
        """Return how many tasks of the step are not known to be available."""
        available = self._available_by_stage.get(stage)
        n_tasks = self._step_of(stage).n_tasks
        if available is None:
            return n_tasks
        return n_tasks - available.count(self._may_end_runs_on)

    def _count_unavailable_but(self, stage: Stage, names: Set[str]) -> int:
        """Return how many tasks of the step are unavailable, the named ones aside."""
        n_named = sum(not self._is_task_available(name) for name in names)
        return self._count_unavailable(stage) - n_named

    def _count_available(self) -> None:
        """Count the tasks with an available run, leaving orders for VMs aside."""
        self._available_by_stage = {}
        for name, runs in self._dispatcher.runs_by_task.items():
            if not runs[0].task.step.is_lasting:
                continue
            worker_ids = {run.worker_id for run in runs if self._is_run_ready(run)}
            if worker_ids:
                stage = runs[0].task.task_id[:3]
                available = self._available_by_stage.setdefault(stage, AvailableTasks())
                available.add(name, worker_ids)

    def _may_end_runs_on(self, worker_id: str) -> bool:
        worker = self._dispatcher.worker_by_id.get(worker_id)
        return worker is None or self._inventory.may_end_runs(worker)

    def _is_task_available(self, task: str) -> bool:
        runs = self._dispatcher.runs_by_task.get(task, [])
        return any(self._is_run_available(run) for run in runs)

    def _is_run_available(self, run: Run) -> bool:
        return self._is_run_ready(run) and not self._may_end_runs_on(run.worker_id)

    def _is_run_ready(self, run: Run) -> bool:
        """Return whether the run is reported as ready and is not to be stopped."""
        if run.task.phase is not TaskPhase.PLACED or run.is_evacuated:
            return False
        worker = self._dispatcher.worker_by_id[run.worker_id]
        if run.may_be_stopped(worker.contact_at):
            return False
        return run.is_reported_ready(worker.contact_at)


def _count_lasting(worker: WorkerRecord) -> dict[Stage, int]:
    n_by_stage: dict[Stage, int] = {}
    for run in worker.run_by_key.values():
        if run.task.step.is_lasting:
            stage = run.task.task_id[:3]
            n_by_stage[stage] = n_by_stage.get(stage, 0) + 1
    return n_by_stage
