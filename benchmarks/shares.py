"""Deviation of each team's use of a pool from its fair share by exact water filling.

The demand of a team changes in phases, from nothing to five times an equal share.
"""

import statistics
from collections import Counter, defaultdict
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from catkinport.policy.placement import (
    THROTTLE_FRACTION,
    PlacementProblem,
    Resources,
    TeamView,
    plan_placement,
)
from catkinport.policy.resources import dominant_share, total
from catkinport.policy.shares import Claim, water_fill

from .baselines import plan_placement_first_fit
from .fake_pool import FakeJob, FakePool, Planner, make_workers
from .registry import Figure, register

WINDOW_SECONDS = 60.0
ROUND_SECONDS = 1.0
LONGEST_PHASE_SECONDS = 900.0
MAX_WAITING = 150
"""Limit of waiting jobs per team: above an equal share, low enough for a short run."""

MIN_FAIR_SHARE_FRACTION = 0.2
"""Smallest fair share, as a fraction of an equal share, of the windows that count.

In windows below it, one task more or less would dominate the deviation.
"""


class Deviations(NamedTuple):
    """Relative deviations from the fair share, and moves per finished task."""

    by_window: Sequence[float]
    moves_per_finished: float


class Demand:
    """Load generator that keeps each team at the demand of its current phase."""

    def __init__(self, pool: FakePool, teams: Sequence[str], seed: int) -> None:
        self._pool = pool
        self._rng = Random(seed)
        self._teams = teams
        self._wanted_cores = dict.fromkeys(teams, 0.0)
        self._phase_ends = dict.fromkeys(teams, 0.0)
        self._n_jobs = 0
        self._cores = sum(worker.capacity.cores for worker in pool.workers)

    def update(self) -> None:
        """Start new phases and submit or withdraw jobs."""
        now = self._pool.clock.now()
        for team in self._teams:
            if now >= self._phase_ends[team]:
                factor = self._rng.choice((0.0, 0.5, 1.5, 3.0, 5.0))
                self._wanted_cores[team] = factor * self._cores / len(self._teams)
                self._phase_ends[team] = now + self._rng.uniform(
                    240.0, LONGEST_PHASE_SECONDS
                )
        held = self._held_cores()
        n_waiting = Counter(job.team for job, _ in self._pool.waiting.values())
        for team in self._teams:
            while (
                held[team] < self._wanted_cores[team] and n_waiting[team] < MAX_WAITING
            ):
                n_waiting[team] += 1
                job = self._make_job(team)
                self._pool.submit(job)
                held[team] += job.size.cores
            self._withdraw(team, held[team] - self._wanted_cores[team])

    def _held_cores(self) -> dict[str, float]:
        held: dict[str, float] = defaultdict(float)
        for attempt in self._pool.running.values():
            held[attempt.job.team] += attempt.job.size.cores
        for job, _ in self._pool.waiting.values():
            held[job.team] += job.size.cores
        return held

    def _withdraw(self, team: str, surplus: float) -> None:
        if surplus < 8:
            return
        for job, _ in list(self._pool.waiting.values()):
            if job.team == team and surplus >= job.size.cores:
                del self._pool.waiting[job.job_id]
                surplus -= job.size.cores

    def _make_job(self, team: str) -> FakeJob:
        self._n_jobs += 1
        cores = float(self._rng.choice((1, 2, 2, 4, 4, 8)))
        memory_gb = cores * self._rng.uniform(1.0, 5.0)
        size = Resources(cores, memory_gb, 0.0)
        is_urgent = self._rng.random() < 0.5
        median = 30.0 if is_urgent else 300.0
        run_seconds = median * self._rng.lognormvariate(0.0, 1.0)
        return FakeJob(
            f"job-{self._n_jobs}",
            f"{team}-{'urgent' if is_urgent else 'long'}",
            team,
            is_urgent,
            self._rng.random() < 0.9,
            size,
            size,
            run_seconds,
            self._pool.clock.now(),
        )


def fair_shares(problem: PlacementProblem) -> dict[str, float]:
    """Return the dominant share of each team under exact water filling."""
    capacity = total(worker.capacity for worker in problem.workers)
    amounts = defaultdict(list)
    for task in problem.running:
        amounts[task.team].append(task.reserved)
    for job in problem.waiting:
        amounts[job.team].append(job.request)
    claims = [Claim(team, 1.0, total(sizes)) for team, sizes in amounts.items()]
    return {
        team: dominant_share(amount, capacity)
        for team, amount in water_fill(capacity, claims).items()
    }


def used_shares(problem: PlacementProblem) -> dict[str, float]:
    """Return the dominant share that each team holds.

    A throttled task counts with ``THROTTLE_FRACTION`` of its cores.
    """
    capacity = total(worker.capacity for worker in problem.workers)
    amounts = defaultdict(list)
    for task in problem.running:
        factor = THROTTLE_FRACTION if task.is_throttled else 1.0
        amounts[task.team].append(
            task.reserved._replace(cores=task.reserved.cores * factor)
        )
    return {
        team: dominant_share(total(sizes), capacity) for team, sizes in amounts.items()
    }


def measure(
    planner: Planner, n_workers: int, n_teams: int, seconds: float, seed: int
) -> Deviations:
    """Run a pool and compare each team with its fair share in windows of a minute."""
    teams = [TeamView(f"team-{n}", 1.0, float("inf")) for n in range(n_teams)]
    pool = FakePool(make_workers(n_workers), teams, planner, seed, ROUND_SECONDS)
    demand = Demand(pool, [team.name for team in teams], seed)
    deviations: list[float] = []
    fair_sum: dict[str, float] = defaultdict(float)
    used_sum: dict[str, float] = defaultdict(float)
    rounds_per_window = int(WINDOW_SECONDS / ROUND_SECONDS)
    for n_round in range(1, int(seconds / ROUND_SECONDS) + 1):
        demand.update()
        pool.step()
        problem = pool.problem()
        for team, share in fair_shares(problem).items():
            fair_sum[team] += share / rounds_per_window
        for team, share in used_shares(problem).items():
            used_sum[team] += share / rounds_per_window
        if n_round % rounds_per_window == 0:
            deviations.extend(
                abs(used_sum[team] - fair) / fair
                for team, fair in fair_sum.items()
                if fair >= MIN_FAIR_SHARE_FRACTION / n_teams
            )
            fair_sum.clear()
            used_sum.clear()
    return Deviations(deviations, pool.n_moves / max(1, len(pool.finished)))


@register("shares")
def run() -> list[Figure]:
    """Measure 6 teams on 36 workers and 26 teams on 150 workers."""
    figures = []
    for n_teams, n_workers, seconds in ((6, 36, 1800.0), (26, 150, 900.0)):
        baseline = measure(plan_placement_first_fit, n_workers, n_teams, seconds, 1)
        product = measure(plan_placement, n_workers, n_teams, seconds, 1)
        setting = f"{n_teams} teams, {n_workers} workers"
        for quantity, summary, target in (
            ("deviation from share, mean", statistics.fmean, 0.05),
            ("deviation from share, worst window", max, 0.10),
        ):
            figures.append(
                Figure(
                    setting,
                    quantity,
                    summary(product.by_window),
                    summary(baseline.by_window),
                    0.0,
                    target,
                )
            )
        figures.append(
            Figure(
                setting,
                "moves per finished task",
                product.moves_per_finished,
                baseline.moves_per_finished,
                0.0,
                0.05,
            )
        )
    return figures
