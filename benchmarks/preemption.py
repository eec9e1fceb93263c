"""Start delay of urgent jobs in a pool full of long jobs, and what it costs these."""

from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from catkinport.policy.placement import Resources, TeamView, plan_placement

from .baselines import plan_placement_first_fit
from .fake_pool import ROUND_SECONDS, FakeJob, FakePool, Planner, make_workers
from .registry import Figure, register

START_TARGET_SECONDS = 2.4
MOVES_TARGET = 0.05
BURST_PERIOD_SECONDS = 300.0
BURST_SECONDS = 30.0
BURST_FACTOR = 5.0
URGENT_FRACTION = 0.05
"""Mean load of urgent work as a fraction of the pool's cores, outside bursts."""

N_LONG_WAITING = 8
"""Long jobs that each team has waiting at the start of a round."""

URGENT_SECONDS = 30.0
MEAN_URGENT_CORES = 3.5


class Outcome(NamedTuple):
    """Start delays of urgent jobs in seconds, moves per finished task and lost work.

    Urgent jobs that still wait at the end, past the target, count with their age.
    """

    delays: Sequence[float]
    moves_per_finished: float
    lost_core_hours: float


class Load:
    """Keeps a backlog of long work and adds urgent work at random times."""

    def __init__(self, pool: FakePool, n_teams: int, seed: int) -> None:
        self._pool = pool
        self._rng = Random(seed)
        self._teams = [f"team-{n}" for n in range(n_teams)]
        self._n_jobs = 0
        cores = sum(worker.capacity.cores for worker in pool.workers)
        self._urgent_per_second = (
            URGENT_FRACTION * cores / (URGENT_SECONDS * MEAN_URGENT_CORES)
        )

    def update(self, has_urgent: bool) -> None:
        """Submit the jobs of one round."""
        n_long = Counter(
            job.team for job, _ in self._pool.waiting.values() if not job.is_urgent
        )
        for team in self._teams:
            for _ in range(N_LONG_WAITING - n_long[team]):
                self._submit_long(team)
        if not has_urgent:
            return
        rate = self._urgent_per_second * ROUND_SECONDS
        if self._pool.clock.now() % BURST_PERIOD_SECONDS < BURST_SECONDS:
            rate *= BURST_FACTOR
        for _ in range(int(rate) + (self._rng.random() < rate % 1)):
            self._submit_urgent()

    def _submit_long(self, team: str) -> None:
        cores = float(self._rng.choice((2, 4, 8, 16)))
        seconds = self._rng.uniform(3600.0, 4 * 3600.0)
        memory_gb = cores * self._rng.uniform(1.0, 5.0)
        self._submit(team, False, Resources(cores, memory_gb, 0.0), seconds)

    def _submit_urgent(self) -> None:
        cores = float(self._rng.choice((1, 2, 2, 4, 4, 8)))
        seconds = URGENT_SECONDS * self._rng.uniform(0.3, 1.7)
        memory_gb = cores * self._rng.uniform(1.0, 5.0)
        team = self._rng.choice(self._teams)
        self._submit(team, True, Resources(cores, memory_gb, 0.0), seconds)

    def _submit(
        self, team: str, is_urgent: bool, size: Resources, seconds: float
    ) -> None:
        self._n_jobs += 1
        # Jobs arrive between rounds, so even in an empty pool they wait up to a round.
        submitted_at = self._pool.clock.now() + self._rng.uniform(0, ROUND_SECONDS)
        job = FakeJob(
            f"job-{self._n_jobs}",
            f"{team}-{'urgent' if is_urgent else 'long'}",
            team,
            is_urgent,
            is_urgent or self._rng.random() < 0.9,
            size,
            size,
            seconds,
            submitted_at,
        )
        self._pool.submit(job)


def measure(
    planner: Planner, n_workers: int, n_teams: int, seconds: float, seed: int
) -> Outcome:
    """Fill a pool with long work, then add urgent work for ``seconds``."""
    teams = [TeamView(f"team-{n}", 1.0, float("inf")) for n in range(n_teams)]
    pool = FakePool(make_workers(n_workers), teams, planner, seed)
    load = Load(pool, n_teams, seed)
    for _ in range(60):
        load.update(has_urgent=False)
        pool.step()
    n_moves = pool.n_moves
    for _ in range(int(seconds / ROUND_SECONDS)):
        load.update(has_urgent=True)
        pool.step()
    now = pool.clock.now()
    delays = [delay for job, delay in pool.start_delays if job.is_urgent]
    delays += [
        now - job.submitted_at
        for job, _ in pool.waiting.values()
        if job.is_urgent and now - job.submitted_at > START_TARGET_SECONDS
    ]
    n_finished = max(1, len(pool.finished))
    return Outcome(
        sorted(delays),
        (pool.n_moves - n_moves) / n_finished,
        pool.lost_core_seconds / 3600,
    )


def quantile(ordered: Sequence[float], fraction: float) -> float:
    """Return the quantile ``fraction`` of sorted values."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@register("preemption")
def run() -> list[Figure]:
    """Measure a pool of 36 workers and 6 teams, and one of 150 and 26."""
    figures = []
    for n_workers, n_teams, seconds in ((36, 6, 900.0), (150, 26, 300.0)):
        baseline = measure(plan_placement_first_fit, n_workers, n_teams, seconds, 1)
        product = measure(plan_placement, n_workers, n_teams, seconds, 1)
        setting = f"{n_workers} workers, {n_teams} teams, full of long work"
        for name, fraction in (("p50", 0.5), ("p99", 0.99)):
            figures.append(
                Figure(
                    setting,
                    f"start of urgent work, {name}, s",
                    quantile(product.delays, fraction),
                    quantile(baseline.delays, fraction),
                    ROUND_SECONDS * fraction,
                    START_TARGET_SECONDS,
                    is_promise=True,
                )
            )
        figures.append(
            Figure(
                setting,
                "moves per finished task",
                product.moves_per_finished,
                baseline.moves_per_finished,
                0.0,
                MOVES_TARGET,
            )
        )
        figures.append(
            Figure(
                setting,
                "work lost to stops, core-hours",
                product.lost_core_hours,
                baseline.lost_core_hours,
                0.0,
            )
        )
    return figures
