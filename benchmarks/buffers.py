"""Idle VM-hours of the spare pool relative to a bound, and VM-minutes of shortfall.

The pools take turns in bursts of five times their mean demand, and need a twentieth of
the mean between bursts. The bound of the spare pool's size is the largest shortage of
all pools together at any time, so any smaller spare pool is too small at some time.
"""

import itertools
import math
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from catkinport.policy.buffers import (
    FailureDomain,
    PoolLoad,
    PoolNeed,
    plan_moves,
    spare_size,
)
from catkinport.ports.clock import ManualClock

from .registry import Figure, register

STEP_SECONDS = 5.0
MOVE_SECONDS = 30.0
"""Time that the simulation assumes for a move: an idle VM only changes its pool."""

DAY_SECONDS = 86400.0
BURST_SECONDS = 900.0
REPAIR_SECONDS = 3600.0
IDLE_HOURS_TARGET = 1.2
"""Largest ratio of idle VM-hours to the bound that meets the target."""

N_FAILED_VMS = 2
"""VMs of one pool in one rack that fail together once a day."""

SEEDS = range(1, 6)
"""Seeds of the simulated days, which share one bound."""

MovePlanner = Callable[[Sequence[PoolLoad], int, float], dict[str, int]]


class Burst(NamedTuple):
    """Period of peak demand of one pool, in seconds from the start of the day."""

    pool: int
    starts_at: float
    ends_at: float


class Setting(NamedTuple):
    """Pools of equal VMs; ``mean`` and ``peak`` are the demand of a pool in VMs."""

    n_pools: int
    vms_per_pool: int
    mean: float
    peak: float
    n_simultaneous_bursts: int


class Outcome(NamedTuple):
    """Idle spare VM-hours, shortfall in VM-minutes and moves of one day."""

    idle_vm_hours: float
    shortfall_minutes: float
    n_moves: int


def make_bursts(setting: Setting, rng: Random) -> list[Burst]:
    """Return the bursts of a day, ``n_simultaneous_bursts`` of them at a time."""
    bursts = []
    for series in range(setting.n_simultaneous_bursts):
        now = rng.uniform(0.0, 600.0)
        pools = list(range(series, setting.n_pools, setting.n_simultaneous_bursts))
        while now + BURST_SECONDS < DAY_SECONDS:
            pool = rng.choice(pools)
            bursts.append(Burst(pool, now, now + BURST_SECONDS))
            now += BURST_SECONDS + rng.uniform(120.0, 900.0)
    return bursts


def needed_by_pool(
    setting: Setting, bursts: Sequence[Burst], now: float
) -> list[float]:
    """Return the demand of each pool in VMs."""
    needed = [setting.mean / 20] * setting.n_pools
    for burst in bursts:
        if burst.starts_at <= now < burst.ends_at:
            needed[burst.pool] = setting.peak
    return needed


class FakeFleet:
    """Simulated pools and a spare pool, with moves planned by ``plan``."""

    def __init__(
        self, setting: Setting, n_spare: int, plan: MovePlanner, seed: int
    ) -> None:
        rng = Random(seed)
        self._setting = setting
        self._plan = plan
        self._bursts = make_bursts(setting, rng)
        self._failed_pool = rng.randrange(setting.n_pools)
        self._failed_at = rng.uniform(0.3, 0.6) * DAY_SECONDS
        self._n_spare = n_spare
        self._on_loan = [0] * setting.n_pools
        self._arrivals: list[tuple[float, int, int]] = []
        self._short_since: list[float | None] = [None] * setting.n_pools
        self._surplus_since: list[float | None] = [None] * setting.n_pools
        self._clock = ManualClock()

    def run(self) -> Outcome:
        """Simulate a day."""
        idle, short, n_moves = 0.0, 0.0, 0
        while self._clock.now() < DAY_SECONDS:
            loads = self._loads()
            moves = self._plan(loads, self._n_spare, self._clock.now())
            n_moves += sum(abs(n) for n in moves.values())
            self._apply(moves)
            short += sum(max(0, load.n_needed - load.n_serving) for load in loads)
            idle += self._n_spare + sum(
                min(load.n_on_loan, max(0, load.n_serving - load.n_needed))
                for load in loads
            )
            self._clock.advance(STEP_SECONDS)
        return Outcome(idle * STEP_SECONDS / 3600, short * STEP_SECONDS / 60, n_moves)

    def _n_own(self, pool: int, now: float) -> int:
        """Return how many of its own VMs serve: not failed, not in maintenance."""
        n_vms = self._setting.vms_per_pool
        is_failed = self._failed_at <= now < self._failed_at + REPAIR_SECONDS
        if pool == self._failed_pool and is_failed:
            return n_vms - N_FAILED_VMS
        maintained_pool = not is_failed and int(now // 1800) % self._setting.n_pools
        return n_vms - (maintained_pool == pool)

    def _loads(self) -> list[PoolLoad]:
        now = self._clock.now()
        for at, pool, n_vms in [a for a in self._arrivals if a[0] <= now]:
            self._arrivals.remove((at, pool, n_vms))
            if pool < 0:
                self._n_spare += n_vms
            else:
                self._on_loan[pool] += n_vms
        needed = needed_by_pool(self._setting, self._bursts, now)
        return [self._load(pool, needed[pool], now) for pool in range(len(needed))]

    def _load(self, pool: int, needed: float, now: float) -> PoolLoad:
        n_needed = math.ceil(needed)
        n_serving = self._n_own(pool, now) + self._on_loan[pool]
        n_arriving = sum(n for _, target, n in self._arrivals if target == pool)
        is_short, is_surplus = n_needed > n_serving, n_needed < n_serving
        self._short_since[pool] = _update_since(self._short_since[pool], is_short, now)
        self._surplus_since[pool] = _update_since(
            self._surplus_since[pool], is_surplus, now
        )
        return PoolLoad(
            str(pool),
            n_serving,
            n_arriving,
            self._on_loan[pool],
            n_needed,
            self._short_since[pool],
            self._surplus_since[pool],
            1,
        )

    def _apply(self, moves: dict[str, int]) -> None:
        ready_at = self._clock.now() + MOVE_SECONDS
        for name, n_vms in moves.items():
            if n_vms > 0:
                self._n_spare -= n_vms
                self._arrivals.append((ready_at, int(name), n_vms))
            else:
                self._on_loan[int(name)] += n_vms
                self._arrivals.append((ready_at, -1, -n_vms))

    def shortages(self) -> list[int]:
        """Return how many VMs all pools together lack at each time step of the day.

        A pool lacks the VMs that it needs beyond its own serving ones; spare VMs are
        not counted.
        """
        return [
            self._shortage(n * STEP_SECONDS)
            for n in range(int(DAY_SECONDS / STEP_SECONDS))
        ]

    def _shortage(self, now: float) -> int:
        needed = needed_by_pool(self._setting, self._bursts, now)
        return sum(
            max(0, math.ceil(n) - self._n_own(pool, now))
            for pool, n in enumerate(needed)
        )


def _update_since(since: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if since is None else since


def move_at_once(loads: Sequence[PoolLoad], n_spare: int, now: float) -> dict[str, int]:
    """Plan a move for every change of demand, without hysteresis; the baseline."""
    moves: dict[str, int] = {}
    for load in loads:
        wanted = load.n_needed - load.n_serving - load.n_arriving
        if wanted > 0:
            wanted = min(wanted, n_spare)
            n_spare -= wanted
        else:
            wanted = -min(-wanted, load.n_on_loan)
        if wanted:
            moves[load.name] = wanted
    return moves


def move_by_policy(
    loads: Sequence[PoolLoad], n_spare: int, now: float
) -> dict[str, int]:
    """Plan moves with the product's function."""
    return dict(plan_moves(loads, n_spare, now).n_vms_by_pool)


def make_pool_needs(setting: Setting) -> list[PoolNeed]:
    """Return the demand of the pools as input of ``spare_size``."""
    return [
        PoolNeed(str(n), setting.vms_per_pool, setting.mean, setting.peak, 1)
        for n in range(setting.n_pools)
    ]


class Summary(NamedTuple):
    """Means per day of idle hours, shortfall and moves with ``size`` spare VMs."""

    size: int
    idle_vm_hours: float
    shortfall_minutes: float
    n_moves: float


def measure(setting: Setting, size: int, plan: MovePlanner) -> Summary:
    """Simulate all days with a spare pool of ``size`` VMs."""
    days = [FakeFleet(setting, size, plan, seed).run() for seed in SEEDS]
    n_days = len(days)
    return Summary(
        size,
        sum(day.idle_vm_hours for day in days) / n_days,
        sum(day.shortfall_minutes for day in days) / n_days,
        sum(day.n_moves for day in days) / n_days,
    )


def compute_bound(setting: Setting) -> Summary:
    """Return the figures of the smallest spare pool that covers every shortage.

    The idle hours assume moves that take no time. The shortfall assumes moves that
    start as soon as a pool lacks VMs and take ``MOVE_SECONDS``.
    """
    days = [FakeFleet(setting, 0, move_at_once, seed).shortages() for seed in SEEDS]
    size = max(max(day) for day in days)
    lent_vm_steps = sum(sum(day) for day in days) / len(days)
    idle = size * 24 - lent_vm_steps * STEP_SECONDS / 3600
    n_moved_in = sum(
        max(0, later - earlier)
        for day in days
        for earlier, later in itertools.pairwise([0, *day])
    ) / len(days)
    return Summary(size, idle, n_moved_in * MOVE_SECONDS / 60, 2 * n_moved_in)


@register("buffers")
def run() -> list[Figure]:
    """Measure 5 pools of 6 VMs, and 42 pools of 28, one or two bursts at a time."""
    figures = []
    for setting in (
        Setting(5, 6, 2.0, 10.0, 1),
        Setting(42, 28, 8.0, 40.0, 1),
        Setting(42, 28, 8.0, 40.0, 2),
    ):
        needs = make_pool_needs(setting)
        domains = [FailureDomain("rack", N_FAILED_VMS)]
        size = spare_size(needs, domains, setting.n_simultaneous_bursts)
        naive = spare_size(needs, domains, setting.n_pools)
        figures += _figures(
            setting,
            measure(setting, naive, move_at_once),
            measure(setting, size, move_by_policy),
            compute_bound(setting),
        )
    return figures


def _figures(
    setting: Setting, baseline: Summary, product: Summary, bound: Summary
) -> list[Figure]:
    name = (
        f"{setting.n_pools} pools of {setting.vms_per_pool}, "
        f"{setting.n_simultaneous_bursts} burst(s) at a time"
    )
    return [
        Figure(
            name,
            "idle VM-hours over the bound",
            product.idle_vm_hours / bound.idle_vm_hours,
            baseline.idle_vm_hours / bound.idle_vm_hours,
            1.0,
            IDLE_HOURS_TARGET,
        ),
        Figure(name, "spare VMs", product.size, baseline.size, bound.size),
        Figure(
            name,
            "shortfall, VM-minutes a day",
            product.shortfall_minutes,
            baseline.shortfall_minutes,
            bound.shortfall_minutes,
        ),
        Figure(
            name, "VM moves a day", product.n_moves, baseline.n_moves, bound.n_moves
        ),
    ]
