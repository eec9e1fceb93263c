"""Processor time of each decision function at several sizes, with a linear fit.

The target size is 1,200 workers, 42 pools and 26 teams; 8 controllers own 150 workers
each. The residual of the fit shows whether the time grows linearly.
"""

import time
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from catkinport.policy.buffers import PoolLoad, plan_moves
from catkinport.policy.maintenance import choose_vms_to_drain
from catkinport.policy.placement import (
    PlacementProblem,
    Resources,
    RunningTask,
    TeamView,
    WaitingJob,
    plan_placement,
)
from catkinport.policy.shares import Claim, water_fill
from catkinport.policy.size_estimates import SizeEstimates, UsageReport
from catkinport.policy.worker_health import TaskOutcome, WorkerHealth

from .fake_pool import make_workers
from .maintenance import PERIOD_SECONDS, make_pool
from .registry import Figure, register

N_REPEATS = 7
TASKS_PER_WORKER = 8
WAITING_PER_WORKER = 2


class LinearFit(NamedTuple):
    """``seconds = intercept + slope * size``; residual relative to the largest time."""

    intercept: float
    slope: float
    residual: float


def fit_line(sizes: Sequence[float], seconds: Sequence[float]) -> LinearFit:
    """Fit a line by least squares."""
    mean_size = sum(sizes) / len(sizes)
    mean_seconds = sum(seconds) / len(seconds)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum(
            (size - mean_size) * (value - mean_seconds)
            for size, value in zip(sizes, seconds, strict=True)
        )
        / spread
    )
    intercept = mean_seconds - slope * mean_size
    largest_residual = max(
        abs(value - intercept - slope * size)
        for size, value in zip(sizes, seconds, strict=True)
    )
    return LinearFit(intercept, slope, largest_residual / max(seconds))


def cpu_seconds(function: Callable[[], object]) -> float:
    """Return the least processor time of ``N_REPEATS`` calls, in seconds."""
    times = []
    for _ in range(N_REPEATS):
        started = time.process_time()
        function()
        times.append(time.process_time() - started)
    return min(times)


def make_problem(n_workers: int, n_teams: int, seed: int) -> PlacementProblem:
    """Return a full pool with 8 running tasks and 2 waiting jobs per worker."""
    rng = Random(seed)
    workers = make_workers(n_workers)
    teams = [f"team-{n}" for n in range(n_teams)]
    running = [
        RunningTask(
            f"run-{worker.vm_id}-{n}",
            f"queue-{rng.randrange(n_teams)}",
            rng.choice(teams),
            worker.vm_id,
            rng.random() < 0.1,
            rng.random() < 0.9,
            Resources(rng.choice((4.0, 8.0, 12.0)), 24.0, 0.0),
            rng.uniform(0.0, 3600.0),
        )
        for worker in workers
        for n in range(TASKS_PER_WORKER)
    ]
    waiting = [
        WaitingJob(
            f"wait-{n}",
            f"queue-{rng.randrange(n_teams)}",
            rng.choice(teams),
            rng.random() < 0.05,
            Resources(rng.choice((1.0, 2.0, 4.0, 8.0)), rng.uniform(4.0, 32.0), 0.0),
            float(n),
        )
        for n in range(WAITING_PER_WORKER * n_workers)
    ]
    team_by_name = {team: TeamView(team, 1.0, float("inf")) for team in teams}
    return PlacementProblem(workers, waiting, running, team_by_name)


def _prepare_placement(n_workers: int) -> Callable[[], object]:
    problem = make_problem(n_workers, 26, seed=1)
    return lambda: plan_placement(problem)


def _prepare_fleet_placement(n_workers: int) -> Callable[[], object]:
    problems = [make_problem(28, 26, seed) for seed in range(n_workers // 28)]
    return lambda: [plan_placement(problem) for problem in problems]


def _prepare_water_filling(n_teams: int) -> Callable[[], object]:
    rng = Random(1)
    capacity = Resources(9600.0, 38400.0, 0.0)
    claims = [
        Claim(f"team-{n}", 1.0 + n % 3, Resources(rng.uniform(1, 2000), 900.0, 0.0))
        for n in range(n_teams)
    ]
    return lambda: water_fill(capacity, claims)


def _prepare_maintenance(n_workers: int) -> Callable[[], object]:
    rng = Random(1)
    n_pools = max(1, n_workers * 42 // 1200)
    pools = [
        make_pool(f"pool-{n}", n_workers // n_pools, 4, rng) for n in range(n_pools)
    ]
    inputs = [pool.maintenance_view() for pool in pools]
    return lambda: [choose_vms_to_drain(pool, 0.0, PERIOD_SECONDS) for pool in inputs]


def _prepare_spare_pool_moves(n_pools: int) -> Callable[[], object]:
    loads = [
        PoolLoad(str(n), 28, 0, n % 3, 26 + n % 5, 0.0 if n % 5 > 2 else None, 0.0, 1)
        for n in range(n_pools)
    ]
    return lambda: plan_moves(loads, 16, 1000.0)


def _prepare_worker_health(n_workers: int) -> Callable[[], object]:
    rng = Random(1)
    health = WorkerHealth(n_workers)
    for n in range(30 * n_workers):
        vm_id = f"vm-{rng.randrange(n_workers)}"
        is_failed = rng.random() < 0.04
        health.add(
            TaskOutcome(f"job-{n}", f"queue-{n % 42}", vm_id, is_failed, n / 1000)
        )
    return lambda: health.update(100.0)


def _prepare_size_estimates(n_workers: int) -> Callable[[], object]:
    estimates = SizeEstimates()
    size = Resources(4.0, 16.0, 0.0)
    reports = [
        UsageReport(f"queue-{n % 42}", f"team-{n % 26}", f"job-{n}", size, size, 60.0)
        for n in range(TASKS_PER_WORKER * n_workers)
    ]

    def add_all() -> None:
        for report in reports:
            estimates.add(report)

    return add_all


class Case(NamedTuple):
    """A decision function, the unit of its size and the sizes to measure."""

    name: str
    unit: str
    sizes: Sequence[int]
    prepare: Callable[[int], Callable[[], object]]


CASES = (
    Case("placement round", "workers", (36, 75, 150, 300), _prepare_placement),
    Case(
        "placement, pools of 28",
        "workers",
        (140, 280, 560, 1176),
        _prepare_fleet_placement,
    ),
    Case("water filling", "teams", (6, 13, 26, 52), _prepare_water_filling),
    Case(
        "maintenance, all pools", "workers", (150, 300, 600, 1200), _prepare_maintenance
    ),
    Case("spare pool moves", "pools", (6, 21, 42), _prepare_spare_pool_moves),
    Case(
        "worker health update", "workers", (36, 150, 300, 1200), _prepare_worker_health
    ),
    Case(
        "usage reports of a round",
        "workers",
        (36, 150, 600, 1200),
        _prepare_size_estimates,
    ),
)


@register("capacity_policy")
def run() -> list[Figure]:
    """Measure milliseconds of CPU per call, and fit a line."""
    figures = []
    for case in CASES:
        seconds = [cpu_seconds(case.prepare(size)) for size in case.sizes]
        for size, value in zip(case.sizes, seconds, strict=True):
            figures.append(
                Figure(f"{case.name}, {size} {case.unit}", "CPU, ms", value * 1e3)
            )
        fit = fit_line(case.sizes, seconds)
        setting = f"{case.name}, linear fit"
        figures += [
            Figure(setting, f"slope, µs per {case.unit[:-1]}", fit.slope * 1e6),
            Figure(setting, "intercept, ms", fit.intercept * 1e3),
            Figure(setting, "worst residual, part of the largest", fit.residual),
        ]
    return figures
