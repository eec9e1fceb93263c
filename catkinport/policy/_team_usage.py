"""What each team uses during a placement round, next to its fair share and limit."""

from collections import defaultdict
from collections.abc import Mapping, Sequence

from ._task_resources import add_signed, held_now
from .placement_types import RunningTask, TeamView, WaitingJob
from .resources import NO_RESOURCES, Resources, dominant_share
from .shares import Claim, water_fill

TARGET_TOLERANCE = 0.02
"""Fraction of its target by which a team may exceed it, because tasks cannot be split
to match the target exactly."""

SHORTAGE_FRACTION = 0.06
"""Fraction of its target that a team must lack before tasks are preempted for it, so
that ordinary starts and ends of tasks cause no preemption."""

LIMIT_TOLERANCE_CORES = 1e-9
"""Rounding error of a sum of processors, which must not decide about a limit."""

MIN_LIMIT_CORES = 1e-9
"""Smallest upper limit of a claim, in cores, for a team whose limit is 0."""


class TeamUsage:
    """Usage of each team, and the dominant share that it may expect.

    Tasks that are ending no longer count towards a team's share: otherwise the team
    would seem to be above its fair share and lose more tasks. They still count towards
    its upper limit.

    Args:
        team_by_name: weights and upper limits.
        capacity: sum of the capacities of all workers.
    """

    def __init__(
        self, team_by_name: Mapping[str, TeamView], capacity: Resources
    ) -> None:
        self.team_by_name = team_by_name
        self._capacity = capacity
        self._inverse_capacity = [1 / c if c else 0.0 for c in capacity]
        self._usage_by_team: dict[str, list[float]] = defaultdict(lambda: [0.0] * 3)
        self._ending_usage_by_team: dict[str, list[float]] = defaultdict(
            lambda: [0.0] * 3
        )
        self._urgent_usage_by_team: dict[str, list[float]] = defaultdict(
            lambda: [0.0] * 3
        )
        self._target_by_team: dict[str, float] = {}

    def add_running(self, task: RunningTask) -> None:
        """Count a task that runs at the start of the round."""
        held = held_now(task)
        if task.is_ending:
            add_signed(self._ending_usage_by_team[task.team], held, 1.0)
        else:
            self.change(task.team, held, 1.0)
        if task.is_urgent:
            add_signed(self._urgent_usage_by_team[task.team], held, 1.0)

    def add_job(self, job: WaitingJob) -> None:
        """Count a job that is placed or for which room is reserved."""
        self.change(job.team, job.request, 1.0)
        if job.is_urgent:
            add_signed(self._urgent_usage_by_team[job.team], job.request, 1.0)

    def end_task(self, task: RunningTask) -> None:
        """Count a task as ending."""
        held = held_now(task)
        self.change(task.team, held, -1.0)
        add_signed(self._ending_usage_by_team[task.team], held, 1.0)

    def change(self, team: str, amount: Resources, sign: float) -> None:
        """Add ``sign`` times ``amount`` to what a team uses."""
        add_signed(self._usage_by_team[team], amount, sign)

    def set_targets(self, waiting: Sequence[WaitingJob]) -> None:
        """Set the fair share of each team from its usage and its waiting jobs."""
        self._target_by_team = self._fair_targets(waiting)

    def share_of(self, team: str, extra: Resources = NO_RESOURCES) -> float:
        """Return the dominant share of a team if it held ``extra`` in addition."""
        return self._share(self._usage_by_team[team], extra, 1.0)

    def _share(self, used: Sequence[float], extra: Resources, sign: float) -> float:
        inverse = self._inverse_capacity
        return max(
            (used[0] + sign * extra[0]) * inverse[0],
            (used[1] + sign * extra[1]) * inverse[1],
            (used[2] + sign * extra[2]) * inverse[2],
        )

    def is_within_target(self, team: str, extra: Resources) -> bool:
        """Return whether a team stays within its fair share with ``extra`` added."""
        target = self._target_by_team.get(team, 0.0)
        return self.share_of(team, extra) <= target * (1 + TARGET_TOLERANCE)

    def is_short(self, team: str) -> bool:
        """Return whether a team lacks over ``SHORTAGE_FRACTION`` of its fair share."""
        target = self._target_by_team.get(team, 0.0)
        return self.share_of(team) < target * (1 - SHORTAGE_FRACTION)

    def is_urgent_within_target(self, team: str, extra: Resources) -> bool:
        """Return whether a team's urgent work with ``extra`` is within its fair share.

        The team's long work is not counted.
        """
        target = self._target_by_team.get(team, 0.0)
        share = self._share(self._urgent_usage_by_team[team], extra, 1.0)
        return share <= target * (1 + TARGET_TOLERANCE)

    def is_above_target_without(self, task: RunningTask) -> bool:
        """Return whether a team keeps its fair share without ``task``."""
        target = self._target_by_team.get(task.team, 0.0)
        share = self._share(self._usage_by_team[task.team], held_now(task), -1.0)
        return share >= target

    def is_far_above_target_without(self, task: RunningTask) -> bool:
        """Return whether a team is far above its fair share even without ``task``."""
        target = self._target_by_team.get(task.team, 0.0)
        share = self._share(self._usage_by_team[task.team], held_now(task), -1.0)
        return share >= target * (1 + SHORTAGE_FRACTION)

    def is_any_far_above_target(self) -> bool:
        """Return whether some team is far above its fair share."""
        return any(
            self.share_of(team) >= target * (1 + SHORTAGE_FRACTION)
            for team, target in self._target_by_team.items()
        )

    def may_use_more(self, team: str, more: Resources) -> bool:
        """Return whether a team's upper limit allows the processors of ``more``."""
        view = self.team_by_name.get(team)
        if view is None:
            return False
        cores = self._usage_by_team[team][0] + self._ending_usage_by_team[team][0]
        return cores + more.cores <= view.max_cores + LIMIT_TOLERANCE_CORES

    def _fair_targets(self, waiting: Sequence[WaitingJob]) -> dict[str, float]:
        demand_by_team = {t: list(used) for t, used in self._usage_by_team.items()}
        for team, ending in self._ending_usage_by_team.items():
            demand = demand_by_team.setdefault(team, [0.0] * 3)
            add_signed(demand, Resources(*ending), 1.0)
        for job in waiting:
            if job.team in self.team_by_name:
                add_signed(
                    demand_by_team.setdefault(job.team, [0.0] * 3), job.request, 1
                )
        claims = [
            Claim(
                name,
                self.team_by_name[name].weight,
                Resources(*demand),
                max(MIN_LIMIT_CORES, self.team_by_name[name].max_cores),
            )
            for name, demand in demand_by_team.items()
            if name in self.team_by_name
        ]
        allocations = water_fill(self._capacity, claims)
        return {
            name: dominant_share(amount, self._capacity)
            for name, amount in allocations.items()
        }
