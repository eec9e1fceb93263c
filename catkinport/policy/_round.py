"""Free capacity of workers while a placement round is being planned."""

from collections.abc import Sequence

from ._queue_spread import QueueSpread
from ._task_resources import add_signed, held_now
from ._team_usage import TeamUsage
from .placement_types import (
    THROTTLE_FRACTION,
    PlacementProblem,
    RunningTask,
    WaitingJob,
    WorkerView,
)
from .resources import Resources, total

RESERVE_FRACTION = 0.125
"""Fraction of one worker of each rack that long jobs leave free for urgent jobs."""

ROOM_TOLERANCE = 1e-9
"""Rounding error of free cores and GB, which must not decide whether a job fits. It is
also the smallest capacity in a quotient."""


class RoundState:
    """What is free on each worker and what each team uses, by worker index.

    Args:
        problem: input of the round. Tasks on unknown or quarantined workers count
            only towards the usage of their team.
    """

    def __init__(self, problem: PlacementProblem) -> None:
        self.workers = [w for w in problem.workers if not w.is_quarantined]
        self.index_by_vm = {w.vm_id: i for i, w in enumerate(self.workers)}
        self.free = [list(w.capacity) for w in self.workers]
        self.ending = [[0.0, 0.0, 0.0] for _ in self.workers]
        self.throttleable_cores = [0.0] * len(self.workers)
        self.capacity = total(w.capacity for w in self.workers)
        self.task_by_job: list[dict[str, RunningTask]] = [{} for _ in self.workers]
        self.teams = TeamUsage(problem.team_by_name, self.capacity)
        self._spread = QueueSpread()
        self._reserve = _reserve_by_worker(self.workers)
        for task in problem.running:
            self._add_task(task)
        self.teams.set_targets(problem.waiting)

    def _add_task(self, task: RunningTask) -> None:
        self.teams.add_running(task)
        index = self.index_by_vm.get(task.vm_id)
        if index is None:
            return
        held = held_now(task)
        add_signed(self.free[index], held, -1.0)
        self.task_by_job[index][task.job_id] = task
        self._spread.count(task.queue, self.workers[index])
        if task.is_ending:
            add_signed(self.ending[index], held, 1.0)
        elif not task.is_urgent and not task.is_throttled:
            self.throttleable_cores[index] += held.cores * (1 - THROTTLE_FRACTION)

    def throttled_tasks(self) -> list[RunningTask]:
        """Return the tasks that are throttled and not about to end."""
        return [
            task
            for task_by_job in self.task_by_job
            for task in task_by_job.values()
            if task.is_throttled and not task.is_ending
        ]

    def find_worker(self, job: WaitingJob) -> int | None:
        """Return the index of the best worker that has room for ``job`` now.

        The lowest score is the best. It is the fraction of the dominant resource that
        stays free, plus a penalty for tasks of the same queue in the same rack and
        zone, plus 1 if the worker has accelerators that the job does not need.
        """
        need_cores, need_memory, need_accelerators = job.request
        dominant = self._dominant_resource(job.request)
        penalty_by_rack = self._spread.penalties(job.queue, self.workers)
        best, best_score = None, float("inf")
        for index, (cores, memory, accelerators) in enumerate(self.free):
            if (
                cores + ROOM_TOLERANCE < need_cores
                or memory + ROOM_TOLERANCE < need_memory
                or accelerators < need_accelerators
            ):
                continue
            worker = self.workers[index]
            if worker.vm_id in job.excluded_vms:
                continue
            if not job.is_urgent and self._takes_reserve(index, job.request):
                continue
            score = (self.free[index][dominant] - job.request[dominant]) / max(
                ROOM_TOLERANCE, worker.capacity[dominant]
            ) + penalty_by_rack[worker.rack]
            if not need_accelerators and worker.capacity.accelerators:
                score += 1.0
            if score < best_score:
                best, best_score = index, score
        return best

    def _takes_reserve(self, index: int, request: Resources) -> bool:
        reserve = self._reserve.get(index)
        if reserve is None:
            return False
        cores, memory, _ = self.free[index]
        return (
            cores - request.cores < reserve.cores
            or memory - request.memory_gb < reserve.memory_gb
        )

    def room_for(self, job: WaitingJob, index: int) -> Sequence[float]:
        """Return what a job may use of a worker; long jobs must not use the reserve."""
        room = self.free[index]
        reserve = None if job.is_urgent else self._reserve.get(index)
        if reserve is None:
            return room
        return [room[0] - reserve.cores, room[1] - reserve.memory_gb, room[2]]

    def _dominant_resource(self, request: Resources) -> int:
        shares = [
            need / whole if whole else 0.0
            for need, whole in zip(request, self.capacity, strict=True)
        ]
        return shares.index(max(shares))

    def place(self, job: WaitingJob, index: int) -> None:
        """Reserve what a job needs on a worker that has room."""
        add_signed(self.free[index], job.request, -1.0)
        self.teams.add_job(job)
        self._spread.count(job.queue, self.workers[index])

    def throttle(self, task: RunningTask) -> RunningTask:
        """Throttle a task and free the processors that it loses.

        Returns:
            The task as it is now.
        """
        index = self.index_by_vm[task.vm_id]
        freed = Resources(task.reserved.cores * (1 - THROTTLE_FRACTION), 0.0, 0.0)
        add_signed(self.free[index], freed, 1.0)
        self.teams.change(task.team, freed, -1.0)
        self.throttleable_cores[index] -= freed.cores
        return self._replace(index, task._replace(is_throttled=True))

    def unthrottle(self, task: RunningTask) -> bool:
        """End a throttle if the processors are free and within the team's limit.

        Args:
            task: the task as it was at any time of the round. It may have been
                preempted since; its throttle then stays.

        Returns:
            Whether the throttle has ended.
        """
        index = self.index_by_vm[task.vm_id]
        task = self.task_by_job[index][task.job_id]
        if task.is_ending or not task.is_throttled:
            return False
        more = Resources(task.reserved.cores * (1 - THROTTLE_FRACTION), 0.0, 0.0)
        if self.free[index][0] + ROOM_TOLERANCE < more.cores:
            return False
        if not self.teams.may_use_more(task.team, more):
            return False
        add_signed(self.free[index], more, -1.0)
        self.teams.change(task.team, more, 1.0)
        if not task.is_urgent:
            self.throttleable_cores[index] += more.cores
        self._replace(index, task._replace(is_throttled=False))
        return True

    def end_task(self, task: RunningTask) -> None:
        """Mark a task as ending, so that other jobs may reserve what it holds."""
        index = self.index_by_vm[task.vm_id]
        held = held_now(task)
        add_signed(self.ending[index], held, 1.0)
        self.teams.end_task(task)
        if not task.is_throttled and not task.is_urgent:
            self.throttleable_cores[index] -= held.cores * (1 - THROTTLE_FRACTION)
        self._replace(index, task._replace(is_ending=True))

    def reserve_ending(self, job: WaitingJob, index: int) -> None:
        """Reserve room for ``job`` on a worker that has ending tasks.

        What is free already is reserved first, then what the ending tasks hold.
        """
        for resource, need in enumerate(job.request):
            room = self.free[index]
            taken = min(max(0.0, room[resource]), need)
            room[resource] -= taken
            self.ending[index][resource] -= need - taken
        self.teams.add_job(job)

    def _replace(self, index: int, task: RunningTask) -> RunningTask:
        self.task_by_job[index][task.job_id] = task
        return task


def _reserve_by_worker(workers: Sequence[WorkerView]) -> dict[int, Resources]:
    """Return the reserve for urgent jobs by worker index.

    It is on the first worker of each rack, so that no single rack holds all of it.
    """
    first_by_rack: dict[str, int] = {}
    for index, worker in enumerate(workers):
        held = first_by_rack.get(worker.rack)
        if held is None or worker.vm_id < workers[held].vm_id:
            first_by_rack[worker.rack] = index
    return {
        index: Resources(
            workers[index].capacity.cores * RESERVE_FRACTION,
            workers[index].capacity.memory_gb * RESERVE_FRACTION,
            0.0,
        )
        for index in first_by_rack.values()
    }
