"""Keeps enough of the lasting tasks of a step at work while VMs are taken down."""

from collections.abc import Iterable

from .dispatcher import Dispatcher
from .record import TaskPhase
from .vm_book import VmBook
from .worker_state import Run, WorkerBelief

Stage = tuple[str, int, int]
"""Job, occurrence and number of a step."""

AT_WORK_PERCENT = 100.0
"""Figure that a worker lists for a lasting task that is at work."""

SETTLED_SECONDS = 0.5
"""A task that has been listed as at work for so long counts as present. One that the
platform counts as away has ended by an order, or not been at work for seconds."""


class LastingGuard:
    """Says which lasting tasks may be ended now.

    Args:
        dispatcher: jobs and workers.
        book: VMs and the orders for them.
    """

    def __init__(self, dispatcher: Dispatcher, book: VmBook) -> None:
        self._dispatcher = dispatcher
        self._book = book

    def find_evacuations(self, vm_ids: Iterable[str]) -> list[Run]:
        """Return lasting runs to stop, so that their drained VMs may go down.

        A VM with more tasks of a step than may be away at once gives them up one
        after the other.
        """
        runs = []
        evacuated: dict[Stage, int] = {}
        for vm_id in vm_ids:
            belief = self._book.worker_on(vm_id)
            if belief is None or self.may_end_all(belief):
                continue
            for run in belief.run_by_key.values():
                stage = run.task.task_id[:3]
                if not run.task.step.is_lasting or run.is_evacuated:
                    continue
                n_away = self._count_away(stage) + evacuated.get(stage, 0)
                is_last = _count_here(belief)[stage] <= self._max_away(stage)
                if n_away + 1 <= self._max_away(stage) and not is_last:
                    evacuated[stage] = evacuated.get(stage, 0) + 1
                    runs.append(run)
        return runs

    def may_end_all(self, belief: WorkerBelief) -> bool:
        """Return whether all lasting tasks of the worker may be ended together."""
        return all(
            self._count_away(stage) + n <= self._max_away(stage)
            for stage, n in _count_here(belief).items()
        )

    def _max_away(self, stage: Stage) -> int:
        record = self._dispatcher.job_by_id[stage[0]]
        return record.job.steps[stage[2]].max_away

    def _count_away(self, stage: Stage) -> int:
        """Return how many tasks of the step are not surely at work."""
        record = self._dispatcher.job_by_id[stage[0]]
        tasks = record.tasks_by_stage[stage[1], stage[2]]
        return sum(not self._is_settled_task(task.text) for task in tasks)

    def _is_settled_task(self, task: str) -> bool:
        runs = self._dispatcher.runs_by_task.get(task, [])
        return any(self._is_settled_run(run) for run in runs)

    def _is_settled_run(self, run: Run) -> bool:
        belief = self._dispatcher.worker_by_id[run.worker_id]
        if run.task.phase is not TaskPhase.PLACED or run.percent < AT_WORK_PERCENT:
            return False
        if run.is_evacuated or self._book.is_under_order(belief.vm_id):
            return False
        at_work_seconds = belief.contact_at - run.progressed_at
        return at_work_seconds >= SETTLED_SECONDS


def _count_here(belief: WorkerBelief) -> dict[Stage, int]:
    n_here: dict[Stage, int] = {}
    for run in belief.run_by_key.values():
        if run.task.step.is_lasting:
            stage = run.task.task_id[:3]
            n_here[stage] = n_here.get(stage, 0) + 1
    return n_here
