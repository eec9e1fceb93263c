"""Places waiting jobs on workers."""

import heapq
from collections import defaultdict, deque
from collections.abc import Iterable

from ._round import RoundState, held_by
from .placement_types import (
    THROTTLE_FRACTION,
    PlacementPlan,
    PlacementProblem,
    Preempt,
    RunningTask,
    Start,
    TeamView,
    Throttle,
    WaitingJob,
    WorkerView,
)
from .preemption import (
    MayTake,
    find_ending_room,
    find_preemptions,
    find_throttles,
    to_preempt,
)
from .resources import Resources, dominant_share

__all__ = [
    "THROTTLE_FRACTION",
    "PlacementPlan",
    "PlacementProblem",
    "Preempt",
    "Resources",
    "RunningTask",
    "Start",
    "TeamView",
    "Throttle",
    "WaitingJob",
    "WorkerView",
    "plan_placement",
]

MAX_URGENT_ATTEMPTS = 64
"""Urgent jobs per round for which room is made; bounds the work of a round."""

MAX_RECLAIM_ATTEMPTS = 16
"""Long jobs per round for which a team takes back its share."""

RECLAIM_TOLERANCE = 0.02
"""Part of its target by which a team may differ before tasks are moved for it."""

OVER_LIMIT = "upper limit of the team"
NO_ROOM = "no worker has room"
ROOM_IS_BEING_FREED = "room is being freed"


def plan_placement(problem: PlacementProblem) -> PlacementPlan:
    """Place jobs by share, urgent before long, and make room where it helps.

    The order among teams is weighted max-min over the dominant resource. A job that
    does not fit does not hold back the next one. Urgent jobs that found no room
    throttle or move long tasks; then a team below its fair part takes room back
    from teams above theirs. Tasks are throttled for a start of the same plan, so the
    throttles have to be sent before the starts.

    Args:
        problem: workers, jobs and teams of one pool.

    Returns:
        What to start, throttle and end, and why each other job has to wait.
    """
    planner = _Planner(problem)
    urgent = [job for job in problem.waiting if job.is_urgent]
    long = [job for job in problem.waiting if not job.is_urgent]
    blocked_urgent = planner.place_in_order(urgent, [])
    planner.make_room_for_urgent(blocked_urgent)
    throttled = [
        task for tasks in planner.state.tasks for task in tasks if task.is_throttled
    ]
    blocked_long = planner.place_in_order(long, throttled)
    planner.reclaim_shares(blocked_long)
    return planner.plan()


class _Planner:
    """Collects the decisions of one round."""

    def __init__(self, problem: PlacementProblem) -> None:
        self.state = RoundState(problem)
        self._starts: list[Start] = []
        self._fraction_by_job: dict[str, float] = {}
        self._preemptions: list[Preempt] = []
        self._reason_by_job: dict[str, str] = {}
        self._was_throttled = {t.job_id for t in problem.running if t.is_throttled}

    def plan(self) -> PlacementPlan:
        throttles = [
            Throttle(job_id, fraction)
            for job_id, fraction in self._fraction_by_job.items()
            if (fraction < 1) != (job_id in self._was_throttled)
        ]
        return PlacementPlan(
            self._starts, throttles, self._preemptions, self._reason_by_job
        )

    def place_in_order(
        self, jobs: Iterable[WaitingJob], throttled: Iterable[RunningTask]
    ) -> list[WaitingJob]:
        """Place ``jobs``, the team with the lowest share first; return the blocked.

        A team's throttled tasks get their processors back before it starts more.
        """
        state = self.state
        items_by_team: dict[str, deque[RunningTask | WaitingJob]] = defaultdict(deque)
        for task in throttled:
            if not task.is_ending:
                items_by_team[task.team].append(task)
        for job in sorted(jobs, key=lambda job: job.submitted_at):
            items_by_team[job.team].append(job)
        heap = [(self._level(team), team) for team in items_by_team]
        heapq.heapify(heap)
        blocked: list[WaitingJob] = []
        no_room: list[Resources] = []
        while heap:
            team = heap[0][1]
            items = items_by_team[team]
            while items:
                item = items.popleft()
                if isinstance(item, RunningTask):
                    if state.unthrottle(item):
                        self._fraction_by_job[item.job_id] = 1.0
                        break
                elif self._try_start(item, no_room):
                    break
                elif self._reason_by_job[item.job_id] == NO_ROOM:
                    blocked.append(item)
            if items:
                heapq.heapreplace(heap, (self._level(team), team))
            else:
                heapq.heappop(heap)
        return blocked

    def _level(self, team: str) -> float:
        view = self.state.team_by_name.get(team)
        return self.state.share_of(team) / view.weight if view else float("inf")

    def _try_start(self, job: WaitingJob, no_room: list[Resources]) -> bool:
        """Start a job if a worker has room; remember the sizes that found none."""
        if self.state.is_over_limit(job):
            self._reason_by_job[job.job_id] = OVER_LIMIT
            return False
        self._reason_by_job[job.job_id] = NO_ROOM
        need = job.request
        for size in no_room:
            if size[0] <= need[0] and size[1] <= need[1] and size[2] <= need[2]:
                return False
        index = self.state.find_worker(job)
        if index is None:
            if not job.excluded_vms:
                no_room.append(need)
            return False
        self._start(job, index)
        return True

    def _start(self, job: WaitingJob, index: int) -> None:
        self.state.place(job, index)
        self._starts.append(Start(job.job_id, self.state.workers[index].vm_id))
        self._reason_by_job.pop(job.job_id, None)

    def make_room_for_urgent(self, blocked: list[WaitingJob]) -> None:
        """Throttle or move long tasks for urgent jobs, in order of cost."""
        for job in blocked[:MAX_URGENT_ATTEMPTS]:
            self._make_room(job, self._may_take_for_urgent(job))

    def reclaim_shares(self, blocked: list[WaitingJob]) -> None:
        """Take room back for teams below their target from teams above theirs."""
        n_attempts = 0
        for job in blocked:
            if n_attempts >= MAX_RECLAIM_ATTEMPTS:
                return
            target = self.state.target_by_team.get(job.team, 0.0)
            after = self.state.share_of(job.team, job.request)
            if after > target * (1 + RECLAIM_TOLERANCE):
                continue
            n_attempts += 1
            self._make_room(job, self._is_above_target)

    def _make_room(self, job: WaitingJob, may_take: MayTake) -> None:
        state = self.state
        if state.is_over_limit(job):
            self._reason_by_job[job.job_id] = OVER_LIMIT
            return
        index = state.find_worker(job)
        if index is not None:
            self._start(job, index)
            return
        throttles = find_throttles(state, job, may_take)
        if throttles:
            for task in throttles.tasks:
                state.throttle(task)
                self._fraction_by_job[task.job_id] = THROTTLE_FRACTION
            self._start(job, throttles.worker_index)
            return
        index = find_ending_room(state, job)
        if index is None:
            victims = find_preemptions(state, job, may_take)
            if victims is None:
                return
            for task in victims.tasks:
                state.end_task(task)
                self._preemptions.append(to_preempt(task, job))
            index = victims.worker_index
        state.claim_ending(job, index)
        self._reason_by_job[job.job_id] = ROOM_IS_BEING_FREED

    def _may_take_for_urgent(self, job: WaitingJob) -> MayTake:
        """A team above its share may only take from itself and from teams above."""
        state = self.state
        target = state.target_by_team.get(job.team, 0.0)
        is_within = state.share_of(job.team, job.request) <= target * (
            1 + RECLAIM_TOLERANCE
        )
        if is_within:
            return lambda task: True
        return lambda task: task.team == job.team or self._is_above_target(task)

    def _is_above_target(self, task: RunningTask) -> bool:
        """Return whether the team stays at its target without this task."""
        target = self.state.target_by_team.get(task.team, 0.0)
        held = dominant_share(held_by(task), self.state.capacity)
        return self.state.share_of(task.team) - held >= target * (1 - RECLAIM_TOLERANCE)
