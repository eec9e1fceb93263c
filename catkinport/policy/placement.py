"""Plans placement rounds: which jobs start, and which tasks make room for them."""

import heapq
from collections import defaultdict, deque
from collections.abc import Callable, Iterable

from ._round import RoundState
from ._task_resources import additional_need
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
    TaskFilter,
    find_preemptions,
    find_throttles,
    find_worker_with_ending_tasks,
    make_preemption,
)
from .resources import Resources

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
"""Most urgent jobs per round for which room is made; bounds the work of a round."""

MAX_RECLAIM_ATTEMPTS = 16
"""Most long jobs per round for which tasks of other teams are throttled or preempted;
bounds the work too."""

OVER_LIMIT = "upper limit of the team"
NO_ROOM = "no worker has room"
ROOM_IS_BEING_FREED = "room is being freed"


def plan_placement(problem: PlacementProblem) -> PlacementPlan:
    """Place jobs by fair share, urgent before long, and make room where it helps.

    A job is long if it is not urgent. The order among teams is weighted max-min over
    the dominant resource. A job that does not fit does not hold back the next one.

    Jobs within the fair share of their team come first, so that many urgent jobs of
    one team do not use the fair share of other teams: urgent jobs, for which long
    tasks are throttled or preempted, then long jobs, for which a team takes room back
    from teams above their fair share. What is left goes to all other jobs, urgent ones
    first.

    A plan throttles tasks to make room for its own starts, so the throttles have to be
    sent before the starts.

    Args:
        problem: workers, jobs and teams of one pool.

    Returns:
        What to start, throttle and preempt, and why each other job has to wait.
    """
    planner = _Planner(problem)
    urgent = [job for job in problem.waiting if job.is_urgent]
    long = [job for job in problem.waiting if not job.is_urgent]
    state = planner.state
    blocked, deferred_urgent = planner.place_in_order(
        urgent, state.teams.is_urgent_within_target
    )
    planner.make_room_for_urgent(blocked)
    throttled = state.throttled_tasks()
    blocked, deferred_long = planner.place_in_order(
        [*throttled, *long], state.teams.is_within_target
    )
    planner.reclaim_shares(blocked)
    planner.place_in_order(deferred_urgent)
    planner.place_in_order(deferred_long)
    return planner.plan()


Item = RunningTask | WaitingJob


class _Planner:
    """Planner of one round, which collects the decisions."""

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
        self,
        items: Iterable[Item],
        is_within: Callable[[str, Resources], bool] | None = None,
    ) -> tuple[list[WaitingJob], list[Item]]:
        """Place jobs and end throttles, the team with the lowest share first.

        A team's throttled tasks get their processors back before it starts more jobs.

        Args:
            items: throttled tasks and waiting jobs.
            is_within: whether a team may use the given amount in addition to what it
                uses now; ``None`` for no bound.

        Returns:
            The jobs that found no room, and the items that ``is_within`` rejected.
        """
        items_by_team = _group_by_team(items)
        heap = [(self._weighted_share(team), team) for team in items_by_team]
        heapq.heapify(heap)
        blocked: list[WaitingJob] = []
        deferred: list[Item] = []
        no_room: list[Resources] = []
        while heap:
            team = heap[0][1]
            queue = items_by_team[team]
            while queue:
                item = queue.popleft()
                if is_within and not is_within(team, additional_need(item)):
                    deferred.append(item)
                    if isinstance(item, WaitingJob):
                        self._reason_by_job[item.job_id] = NO_ROOM
                elif self._try_place(item, no_room):
                    break
                elif isinstance(item, WaitingJob) and self._has_no_room(item):
                    blocked.append(item)
            if queue:
                heapq.heapreplace(heap, (self._weighted_share(team), team))
            else:
                heapq.heappop(heap)
        return blocked, deferred

    def _has_no_room(self, job: WaitingJob) -> bool:
        return self._reason_by_job.get(job.job_id) == NO_ROOM

    def _try_place(self, item: Item, no_room: list[Resources]) -> bool:
        if isinstance(item, WaitingJob):
            return self._try_start(item, no_room)
        if not self.state.unthrottle(item):
            return False
        self._fraction_by_job[item.job_id] = 1.0
        return True

    def _weighted_share(self, team: str) -> float:
        view = self.state.teams.team_by_name.get(team)
        return self.state.teams.share_of(team) / view.weight if view else float("inf")

    def _try_start(self, job: WaitingJob, no_room: list[Resources]) -> bool:
        """Start a job if a worker has room.

        Args:
            job: the job.
            no_room: requests that no worker has room for. A request that is at least
                as large in every resource is not searched for again.
        """
        if not self.state.teams.may_use_more(job.team, job.request):
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
        """Throttle or preempt long tasks for urgent jobs, in order of cost.

        Tasks of the job's own team and of teams above their fair share come first.
        """
        state = self.state
        for job in blocked[:MAX_URGENT_ATTEMPTS]:
            team = job.team
            is_within = state.teams.is_within_target(team, job.request)
            if self._start_or_free_room(
                job,
                lambda task, team=team: (  # type: ignore[misc]
                    task.team == team or state.teams.is_above_target_without(task)
                ),
            ):
                continue
            if is_within:
                self._start_or_free_room(job, lambda task: True)

    def reclaim_shares(self, blocked: list[WaitingJob]) -> None:
        """Take room back for teams below their target from teams above theirs.

        A team that is only slightly below its target takes room only from teams far
        above theirs: the excess of one team may correspond to many teams that are each
        only slightly short.
        """
        teams = self.state.teams
        n_attempts = 0
        is_any_far_above = teams.is_any_far_above_target()
        for job in blocked:
            if n_attempts >= MAX_RECLAIM_ATTEMPTS:
                return
            if teams.is_short(job.team):
                n_attempts += 1
                self._start_or_free_room(job, teams.is_above_target_without)
            elif is_any_far_above and teams.is_within_target(job.team, job.request):
                n_attempts += 1
                self._start_or_free_room(job, teams.is_far_above_target_without)

    def _start_or_free_room(self, job: WaitingJob, is_eligible: TaskFilter) -> bool:
        """Start ``job``, or have room freed for it.

        Returns:
            Whether nothing more is to be tried for the job: it is started, room is
            being freed for it, or its team is at its upper limit.
        """
        state = self.state
        if not state.teams.may_use_more(job.team, job.request):
            self._reason_by_job[job.job_id] = OVER_LIMIT
            return True
        index = state.find_worker(job)
        if index is not None:
            self._start(job, index)
            return True
        throttles = find_throttles(state, job, is_eligible)
        if throttles:
            for task in throttles.tasks:
                state.throttle(task)
                self._fraction_by_job[task.job_id] = THROTTLE_FRACTION
            self._start(job, throttles.worker_index)
            return True
        return self._preempt_for(job, is_eligible)

    def _preempt_for(self, job: WaitingJob, is_eligible: TaskFilter) -> bool:
        state = self.state
        index = find_worker_with_ending_tasks(state, job)
        if index is None:
            victims = find_preemptions(state, job, is_eligible)
            if victims is None:
                return False
            for task in victims.tasks:
                state.end_task(self._keep_throttled(task))
                self._preemptions.append(make_preemption(task, job))
            index = victims.worker_index
        state.reserve_ending(job, index)
        self._reason_by_job[job.job_id] = ROOM_IS_BEING_FREED
        return True

    def _keep_throttled(self, task: RunningTask) -> RunningTask:
        """Withdraw the end of a throttle, which is of no use to a task that will end.

        A task that only this round throttled holds all its processors, because it gets
        no order.

        Returns:
            The task as it is now.
        """
        is_unthrottled = self._fraction_by_job.get(task.job_id) == 1.0
        if not is_unthrottled or task.job_id not in self._was_throttled:
            return task
        del self._fraction_by_job[task.job_id]
        return self.state.throttle(task)


def _group_by_team(items: Iterable[Item]) -> dict[str, deque[Item]]:
    items_by_team: dict[str, deque[Item]] = defaultdict(deque)
    for item in sorted(items, key=lambda item: getattr(item, "submitted_at", 0.0)):
        items_by_team[item.team].append(item)
    return items_by_team
