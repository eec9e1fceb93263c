"""Keeps enough lasting tasks of each step available while VMs are taken down.

A lasting task is available if a worker has reported it as ready for some time. For each
step, at most `max_away` tasks may be unavailable at once.
"""

from collections.abc import Iterable, Iterator, Set

from ..dispatch.dispatcher import Dispatcher
from ..dispatch.task import Task, TaskPhase
from ..workers.run import Run
from ..workers.worker_state import WorkerRecord
from .vm_inventory import VmInventory

Stage = tuple[str, int, int]
"""Job id, occurrence and number of a step."""

MAX_RETURN_SECONDS = 5.0
"""A task that is unavailable for longer than this, like one that fits on no VM, is not
expected back. Tasks that move for an upkeep are available again within three seconds.
"""


class DisruptionBudget:
    """Decides which lasting tasks may be ended now without exceeding `max_away`.

    Args:
        dispatcher: jobs and workers.
        inventory: VMs and the orders for them.
    """

    def __init__(self, dispatcher: Dispatcher, inventory: VmInventory) -> None:
        self._dispatcher = dispatcher
        self._inventory = inventory
        self._unavailable_since_by_task: dict[str, float] = {}

    def update(self, now: float) -> None:
        """Update since when each lasting task has been unavailable."""
        since_by_task = self._unavailable_since_by_task
        self._unavailable_since_by_task = {
            task.text: since_by_task.get(task.text, now)
            for task in self._lasting_tasks()
            if not self._is_task_available(task.text)
        }

    def is_exhausted(self, worker: WorkerRecord, now: float) -> bool:
        """Return whether a lasting task of the worker can't be ended for long.

        The budget of its step is used up by other tasks that are not expected back.
        """
        return any(
            self._count_missing(stage, worker, now) >= self._max_away(stage)
            for stage in _count_lasting(worker)
        )

    def find_evacuations(self, vm_ids: Iterable[str]) -> list[Run]:
        """Return the lasting runs to stop so that the given VMs can go down.

        If a VM has more tasks of a step than may be unavailable at once, they are
        stopped a few at a time, until the rest may be ended together with the VM.
        """
        runs = []
        evacuated: dict[Stage, int] = {}
        for vm_id in vm_ids:
            worker = self._inventory.worker_on(vm_id)
            if worker is None or self.may_end_all(worker):
                continue
            for run in worker.run_by_key.values():
                stage = run.task.task_id[:3]
                if not run.task.step.is_lasting or run.is_evacuated:
                    continue
                n_unavailable = self._count_unavailable(stage) + evacuated.get(stage, 0)
                may_end_rest = _count_lasting(worker)[stage] <= self._max_away(stage)
                if n_unavailable + 1 <= self._max_away(stage) and not may_end_rest:
                    evacuated[stage] = evacuated.get(stage, 0) + 1
                    runs.append(run)
        return runs

    def may_end_all(self, worker: WorkerRecord) -> bool:
        """Return whether all lasting tasks of the worker may be ended together."""
        return all(
            self._count_unavailable(stage) + n <= self._max_away(stage)
            for stage, n in _count_lasting(worker).items()
        )

    def may_end_ordered(self, worker: WorkerRecord) -> bool:
        """Return whether the lasting tasks of a VM under order may still be ended.

        They count as unavailable already, so only the other tasks are counted.
        """
        ordered = {run.task.text for run in worker.run_by_key.values()}
        return all(
            self._count_unavailable(stage, ordered) + n <= self._max_away(stage)
            for stage, n in _count_lasting(worker).items()
        )

    def _lasting_tasks(self) -> Iterator[Task]:
        for record in self._dispatcher.job_by_id.values():
            if not any(step.is_lasting for step in record.job.steps):
                continue
            for task in record.all_tasks():
                if task.step.is_lasting:
                    yield task

    def _count_missing(self, stage: Stage, worker: WorkerRecord, now: float) -> int:
        """Return how many tasks of the step elsewhere are not expected back."""
        record = self._dispatcher.job_by_id[stage[0]]
        own = {run.task.text for run in worker.run_by_key.values()}
        since_by_task = self._unavailable_since_by_task
        return sum(
            now - since_by_task.get(task.text, now) > MAX_RETURN_SECONDS
            for task in record.tasks_by_stage[stage[1], stage[2]]
            if task.text not in own
        )

    def _max_away(self, stage: Stage) -> int:
        record = self._dispatcher.job_by_id[stage[0]]
        return record.job.steps[stage[2]].max_away

    def _count_unavailable(self, stage: Stage, left_out: Set[str] = frozenset()) -> int:
        """Return how many tasks of the step are not known to be available.

        Args:
            stage: the step.
            left_out: names of tasks that are not counted.
        """
        record = self._dispatcher.job_by_id[stage[0]]
        names = {task.text for task in record.tasks_by_stage[stage[1], stage[2]]}
        return sum(not self._is_task_available(name) for name in names - left_out)

    def _is_task_available(self, task: str) -> bool:
        runs = self._dispatcher.runs_by_task.get(task, [])
        return any(self._is_run_available(run) for run in runs)

    def _is_run_available(self, run: Run) -> bool:
        worker = self._dispatcher.worker_by_id[run.worker_id]
        if run.task.phase is not TaskPhase.PLACED:
            return False
        if run.is_evacuated or self._inventory.may_end_runs(worker):
            return False
        return run.is_reported_ready(worker.contact_at)


def _count_lasting(worker: WorkerRecord) -> dict[Stage, int]:
    n_by_stage: dict[Stage, int] = {}
    for run in worker.run_by_key.values():
        if run.task.step.is_lasting:
            stage = run.task.task_id[:3]
            n_by_stage[stage] = n_by_stage.get(stage, 0) + 1
    return n_by_stage
