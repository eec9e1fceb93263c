"""Free capacity and team usage while a placement round is being planned."""

from collections import defaultdict
from collections.abc import Sequence

from .placement_types import (
    THROTTLE_FRACTION,
    PlacementProblem,
    RunningTask,
    WaitingJob,
    WorkerView,
)
from .resources import NO_RESOURCES, Resources, dominant_share, total
from .shares import Claim, water_fill

RESERVE_FRACTION = 0.125
"""Fraction of one worker of each rack that long jobs leave free for urgent jobs."""

SPREAD_WEIGHT = 0.3
"""Weight of the spread over racks and zones relative to the tightness of the fit."""

TARGET_TOLERANCE = 0.02
"""Fraction of its target by which a team may exceed it, because tasks cannot be split
to match the target exactly."""

SHORTAGE_FRACTION = 0.06
"""Fraction of its target that a team must lack before tasks are preempted for it, so
that ordinary starts and ends of tasks cause no preemption."""

_TOLERANCE = 1e-9


def held_now(task: RunningTask) -> Resources:
    """Return what a task holds now, which is less while it is throttled."""
    if not task.is_throttled:
        return task.reserved
    cores, memory_gb, accelerators = task.reserved
    return Resources(cores * THROTTLE_FRACTION, memory_gb, accelerators)


def additional_need(item: RunningTask | WaitingJob) -> Resources:
    """Return what a job needs, or what a throttled task needs to run in full."""
    if isinstance(item, WaitingJob):
        return item.request
    return Resources(item.reserved.cores * (1 - THROTTLE_FRACTION), 0.0, 0.0)


class RoundState:
    """What is free on each worker and what each team uses, by worker index.

    Tasks that are ending no longer count towards a team's share: otherwise the team
    would seem to be above its fair share and lose more tasks. They still count towards
    its upper limit.

    Args:
        problem: input of the round. Tasks on unknown or quarantined workers count
            only towards the usage of their team.
    """

    def __init__(self, problem: PlacementProblem) -> None:
        self.workers = [w for w in problem.workers if not w.is_quarantined]
        self.team_by_name = problem.team_by_name
        self.index_by_vm = {w.vm_id: i for i, w in enumerate(self.workers)}
        self.free = [list(w.capacity) for w in self.workers]
        self.ending = [[0.0, 0.0, 0.0] for _ in self.workers]
        self.throttleable_cores = [0.0] * len(self.workers)
        self.capacity = total(w.capacity for w in self.workers)
        self._inverse_capacity = [1 / c if c else 0.0 for c in self.capacity]
        self.tasks: list[list[RunningTask]] = [[] for _ in self.workers]
        self.usage_by_team: dict[str, list[float]] = defaultdict(lambda: [0.0] * 3)
        self.ending_usage_by_team: dict[str, list[float]] = defaultdict(
            lambda: [0.0] * 3
        )
        self.urgent_usage_by_team: dict[str, list[float]] = defaultdict(
            lambda: [0.0] * 3
        )
        self.n_by_queue_and_domain: dict[tuple[str, str], int] = defaultdict(int)
        self.n_by_queue: dict[str, int] = defaultdict(int)
        self._reserve = _reserve_by_worker(self.workers)
        for task in problem.running:
            self._add_task(task)
        self.target_by_team = self._fair_targets(problem.waiting)

    def _add_task(self, task: RunningTask) -> None:
        held = held_now(task)
        if task.is_ending:
            _add_signed(self.ending_usage_by_team[task.team], held, 1.0)
        else:
            self._change_usage(task.team, held, 1.0)
        if task.is_urgent:
            _add_signed(self.urgent_usage_by_team[task.team], held, 1.0)
        index = self.index_by_vm.get(task.vm_id)
        if index is None:
            return
        _add_signed(self.free[index], held, -1.0)
        self.tasks[index].append(task)
        self._count_placement(task.queue, index)
        if task.is_ending:
            _add_signed(self.ending[index], held, 1.0)
        elif not task.is_urgent and not task.is_throttled:
            self.throttleable_cores[index] += held.cores * (1 - THROTTLE_FRACTION)

    def _change_usage(self, team: str, amount: Resources, sign: float) -> None:
        _add_signed(self.usage_by_team[team], amount, sign)

    def _count_placement(self, queue: str, index: int) -> None:
        worker = self.workers[index]
        self.n_by_queue[queue] += 1
        self.n_by_queue_and_domain[queue, worker.rack] += 1
        self.n_by_queue_and_domain[queue, worker.zone] += 1

    def _fair_targets(self, waiting: Sequence[WaitingJob]) -> dict[str, float]:
        demand_by_team = {t: list(used) for t, used in self.usage_by_team.items()}
        for team, ending in self.ending_usage_by_team.items():
            demand = demand_by_team.setdefault(team, [0.0] * 3)
            _add_signed(demand, Resources(*ending), 1.0)
        for job in waiting:
            if job.team in self.team_by_name:
                _add_signed(
                    demand_by_team.setdefault(job.team, [0.0] * 3), job.request, 1
                )
        claims = [
            Claim(
                name,
                self.team_by_name[name].weight,
                Resources(*demand),
                max(_TOLERANCE, self.team_by_name[name].max_cores),
            )
            for name, demand in demand_by_team.items()
            if name in self.team_by_name
        ]
        allocations = water_fill(self.capacity, claims)
        return {
            name: dominant_share(amount, self.capacity)
            for name, amount in allocations.items()
        }

    def share_of(self, team: str, extra: Resources = NO_RESOURCES) -> float:
        """Return the dominant share of a team if it held ``extra`` in addition."""
        return self._share(self.usage_by_team[team], extra, 1.0)

    def _share(self, used: Sequence[float], extra: Resources, sign: float) -> float:
        inverse = self._inverse_capacity
        return max(
            (used[0] + sign * extra[0]) * inverse[0],
            (used[1] + sign * extra[1]) * inverse[1],
            (used[2] + sign * extra[2]) * inverse[2],
        )

    def is_within_target(self, team: str, extra: Resources) -> bool:
        """Return whether a team stays within its fair share with ``extra`` added."""
        target = self.target_by_team.get(team, 0.0)
        return self.share_of(team, extra) <= target * (1 + TARGET_TOLERANCE)

    def is_short(self, team: str) -> bool:
        """Return whether a team lacks over ``SHORTAGE_FRACTION`` of its fair share."""
        target = self.target_by_team.get(team, 0.0)
        return self.share_of(team) < target * (1 - SHORTAGE_FRACTION)

    def is_urgent_within_target(self, team: str, extra: Resources) -> bool:
        """Return whether a team's urgent work with ``extra`` is within its fair share.

        The team's long work is not counted.
        """
        target = self.target_by_team.get(team, 0.0)
        share = self._share(self.urgent_usage_by_team[team], extra, 1.0)
        return share <= target * (1 + TARGET_TOLERANCE)

    def is_above_target_without(self, task: RunningTask) -> bool:
        """Return whether a team keeps its fair share without ``task``."""
        target = self.target_by_team.get(task.team, 0.0)
        share = self._share(self.usage_by_team[task.team], held_now(task), -1.0)
        return share >= target

    def is_far_above_target_without(self, task: RunningTask) -> bool:
        """Return whether a team is far above its fair share even without ``task``."""
        target = self.target_by_team.get(task.team, 0.0)
        share = self._share(self.usage_by_team[task.team], held_now(task), -1.0)
        return share >= target * (1 + SHORTAGE_FRACTION)

    def is_any_far_above_target(self) -> bool:
        """Return whether some team is far above its fair share."""
        return any(
            self.share_of(team) >= target * (1 + SHORTAGE_FRACTION)
            for team, target in self.target_by_team.items()
        )

    def throttled_tasks(self) -> list[RunningTask]:
        """Return the tasks that are throttled and not about to end."""
        return [
            task
            for tasks in self.tasks
            for task in tasks
            if task.is_throttled and not task.is_ending
        ]

    def is_over_limit(self, job: WaitingJob) -> bool:
        """Return whether the job would take its team over its upper limit."""
        team = self.team_by_name.get(job.team)
        if team is None:
            return True
        cores = self.usage_by_team[job.team][0] + self.ending_usage_by_team[job.team][0]
        return cores + job.request.cores > team.max_cores + _TOLERANCE

    def find_worker(self, job: WaitingJob) -> int | None:
        """Return the index of the best worker that has room for ``job`` now.

        The lowest score is the best. It is the fraction of the dominant resource that
        stays free, plus a penalty for tasks of the same queue in the same rack and
        zone, plus 1 if the worker has accelerators that the job does not need.
        """
        need_cores, need_memory, need_accelerators = job.request
        dominant = self._dominant_resource(job.request)
        penalty_by_rack = self._spread_penalties(job.queue)
        best, best_score = None, float("inf")
        for index, (cores, memory, accelerators) in enumerate(self.free):
            if (
                cores + _TOLERANCE < need_cores
                or memory + _TOLERANCE < need_memory
                or accelerators < need_accelerators
            ):
                continue
            worker = self.workers[index]
            if worker.vm_id in job.excluded_vms:
                continue
            if not job.is_urgent and self._takes_reserve(index, job.request):
                continue
            score = (self.free[index][dominant] - job.request[dominant]) / max(
                _TOLERANCE, worker.capacity[dominant]
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

    def _spread_penalties(self, queue: str) -> dict[str, float]:
        n_tasks = self.n_by_queue[queue]
        if not n_tasks:
            return defaultdict(float)
        factor = SPREAD_WEIGHT / n_tasks
        counts = self.n_by_queue_and_domain
        return {
            worker.rack: factor
            * (
                counts.get((queue, worker.rack), 0)
                + counts.get((queue, worker.zone), 0)
            )
            for worker in self.workers
        }

    def place(self, job: WaitingJob, index: int) -> None:
        """Reserve what a job needs on a worker that has room."""
        _add_signed(self.free[index], job.request, -1.0)
        self._change_usage(job.team, job.request, 1.0)
        if job.is_urgent:
            _add_signed(self.urgent_usage_by_team[job.team], job.request, 1.0)
        self._count_placement(job.queue, index)

    def throttle(self, task: RunningTask) -> None:
        """Throttle a task and free the processors that it loses."""
        index = self.index_by_vm[task.vm_id]
        freed = Resources(task.reserved.cores * (1 - THROTTLE_FRACTION), 0.0, 0.0)
        _add_signed(self.free[index], freed, 1.0)
        self._change_usage(task.team, freed, -1.0)
        self.throttleable_cores[index] -= freed.cores
        self._replace(index, task, task._replace(is_throttled=True))

    def unthrottle(self, task: RunningTask) -> bool:
        """End a throttle if the processors are free and within the team's limit.

        Returns:
            Whether the throttle has ended.
        """
        index = self.index_by_vm[task.vm_id]
        more = Resources(task.reserved.cores * (1 - THROTTLE_FRACTION), 0.0, 0.0)
        cores = self.usage_by_team[task.team][0] + more.cores
        cores += self.ending_usage_by_team[task.team][0]
        team = self.team_by_name.get(task.team)
        if self.free[index][0] < more.cores or not team or cores > team.max_cores:
            return False
        _add_signed(self.free[index], more, -1.0)
        self._change_usage(task.team, more, 1.0)
        self._replace(index, task, task._replace(is_throttled=False))
        return True

    def end_task(self, task: RunningTask) -> None:
        """Mark a task as ending, so that other jobs may reserve what it holds."""
        index = self.index_by_vm[task.vm_id]
        held = held_now(task)
        _add_signed(self.ending[index], held, 1.0)
        self._change_usage(task.team, held, -1.0)
        _add_signed(self.ending_usage_by_team[task.team], held, 1.0)
        if not task.is_throttled and not task.is_urgent:
            self.throttleable_cores[index] -= held.cores * (1 - THROTTLE_FRACTION)
        self._replace(index, task, task._replace(is_ending=True))

    def reserve_ending(self, job: WaitingJob, index: int) -> None:
        """Reserve room for ``job`` on a worker that has ending tasks.

        What is free already is reserved first, then what the ending tasks hold.
        """
        for resource, need in enumerate(job.request):
            room = self.free[index]
            taken = min(max(0.0, room[resource]), need)
            room[resource] -= taken
            self.ending[index][resource] -= need - taken
        self._change_usage(job.team, job.request, 1.0)
        if job.is_urgent:
            _add_signed(self.urgent_usage_by_team[job.team], job.request, 1.0)

    def _replace(self, index: int, old: RunningTask, new: RunningTask) -> None:
        tasks = self.tasks[index]
        tasks[tasks.index(old)] = new


def _add_signed(amount: list[float], other: Resources, sign: float) -> None:
    amount[0] += sign * other[0]
    amount[1] += sign * other[1]
    amount[2] += sign * other[2]


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
