"""Chooses the lasting tasks that leave evacuated zones now.

A task is stopped within the disruption budget of its step, and only while another zone
has room for it, so that it starts again there at once. Its checkpoint is kept by the
stop. Short tasks run to their end where they are.
"""

from collections.abc import Iterator
from itertools import chain

from ...policy.worker_choice import TaskNeed
from ..dispatch.dispatcher import Dispatcher
from ..placement.task_needs import task_need
from ..workers.run import Run, RunPhase
from ..workers.worker_state import WorkerRecord
from .disruption_budget import DisruptionBudget
from .pool_mover import PoolMover
from .vm_inventory import VmInventory

MAX_ENDING_RUNS = 8
"""Most runs that are being stopped at a time to leave VMs or zones. More would wait for
each other at the start of their next runs."""


class ZoneMoves:
    """Chooser of the lasting runs to stop in evacuated zones.

    Args:
        dispatcher: jobs and workers, with the evacuated zones.
        inventory: VMs and the orders for them.
        budget: disruption budgets of the steps.
        mover: knows the lasting tasks that wait, and the room for them.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        inventory: VmInventory,
        budget: DisruptionBudget,
        mover: PoolMover,
    ) -> None:
        self._dispatcher = dispatcher
        self._inventory = inventory
        self._budget = budget
        self._mover = mover

    def find(self, now: float) -> list[Run]:
        """Return the runs to stop now."""
        movable = [run for run in self._find_runs(now) if _is_movable(run)]
        if not movable:
            return []
        n_ending = sum(1 for _ in self._find_ending())
        if n_ending >= MAX_ENDING_RUNS:
            return []
        endable = self._budget.find_endable(movable)
        ahead_by_pool = self.find_needs_ahead(now)
        max_runs = MAX_ENDING_RUNS - n_ending
        return self._mover.lasting_room.find_placeable(
            endable, now, ahead_by_pool, max_runs
        )

    def find_leaving(self) -> list[Run]:
        """Return all runs in evacuated zones that are to leave, now or later."""
        workers = self._find_workers()
        runs = chain.from_iterable(worker.run_by_key.values() for worker in workers)
        return [run for run in runs if _may_ever_move(run)]

    def _find_workers(self) -> Iterator[WorkerRecord]:
        if not self._dispatcher.evacuated_zones:
            return
        for worker in self._dispatcher.worker_by_id.values():
            if self._dispatcher.is_evacuated(worker.listed.zone):
                yield worker

    def _find_runs(self, now: float) -> Iterator[Run]:
        """Yield the runs on workers that confirm a stop and are not about to end."""
        for worker in self._find_workers():
            if worker.is_in_contact(now) and not self._inventory.may_end_runs(worker):
                yield from worker.run_by_key.values()

    def _find_ending(self) -> Iterator[Run]:
        for worker in self._dispatcher.worker_by_id.values():
            for run in worker.run_by_key.values():
                if run.is_evacuated:
                    yield run

    def find_needs_ahead(self, now: float) -> dict[str, list[TaskNeed]]:
        """Return the needs of tasks that are to start before any run to stop now.

        They are lasting tasks that wait already, or will once their runs have ended.
        """
        waits_by_pool = self._mover.lasting_waits.find(now)
        needs_by_pool = {
            pool: [task_need(wait.task) for wait in waits]
            for pool, waits in waits_by_pool.items()
        }
        for run in self._find_ending():
            pool = self._dispatcher.worker_by_id[run.worker_id].listed.pool
            needs_by_pool.setdefault(pool, []).append(task_need(run.task))
        return needs_by_pool


def _is_movable(run: Run) -> bool:
    """Return whether the run may be stopped now: it has started and isn't ending."""
    is_running = run.phase is RunPhase.RUNNING and not run.is_start_uncertain
    return is_running and not run.is_evacuated and _may_ever_move(run)


def _may_ever_move(run: Run) -> bool:
    """Return whether the budget of the step lets its tasks move one by one.

    The end of one task of a gang ends all of them.
    """
    step = run.task.step
    return step.is_lasting and not step.is_gang and step.max_away > 0
