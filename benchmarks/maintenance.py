"""Time to maintain every VM of a fleet once, relative to a lower bound.

The bound of a pool is the larger of two times, with all durations known in advance:

- the time of its drains one rack at a time within the budget, plus the time in which
  failures use up the whole budget;
- the time in which the budget that failures leave free holds the sum of all drains.

A fleet takes as long as its slowest pool.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import NamedTuple

from catkinport.policy.maintenance import (
    MaintainableVm,
    PoolMaintenance,
    choose_vms_to_drain,
)
from catkinport.ports.clock import ManualClock

from .baselines import choose_one_vm_to_drain
from .registry import Figure, register

Chooser = Callable[[PoolMaintenance, float, float], list[str]]

PERIOD_SECONDS = 56 * 86400.0
STEP_SECONDS = 30.0
REBOOT_SECONDS = 300.0
IDLE_DRAIN_SECONDS = 10.0
CHECKPOINT_DRAIN_SECONDS = 60.0
LONGEST_DRAIN_SECONDS = 1800.0
REPAIR_SECONDS = 3600.0
WORKERS_PER_RACK = 4
ROLL_OUT_TARGET = 1.3
SEEDS = range(1, 5)


class FakeVm(NamedTuple):
    """A VM, its time to drain and reboot, and when it serves again, in seconds."""

    view: MaintainableVm
    seconds: float
    ready_at: float = 0.0


class Failure(NamedTuple):
    """Failure of a VM at a time in seconds; it lasts ``REPAIR_SECONDS``."""

    at: float
    vm_id: str


class PoolOutcome(NamedTuple):
    """Roll-out time in seconds, rule violations, excess over the budget and moves.

    The excess is the sum over time of the unavailable VMs above the budget, in
    VM-seconds; it includes VMs that failed.
    """

    seconds: float
    n_violations: int
    over_budget_seconds: float
    n_moved_tasks: int


def make_pool(name: str, n_vms: int, budget: int, rng: Random) -> "FakePool":
    """Return a pool in racks of 4 VMs with random work and drain times."""
    vms = []
    for n in range(n_vms):
        rack = n // WORKERS_PER_RACK
        kind = rng.choice(("idle", "checkpoint", "checkpoint", "long"))
        drain = {
            "idle": IDLE_DRAIN_SECONDS,
            "checkpoint": CHECKPOINT_DRAIN_SECONDS,
            "long": rng.uniform(300.0, LONGEST_DRAIN_SECONDS),
        }[kind]
        n_tasks = 0 if kind == "idle" else rng.randint(4, 12)
        view = MaintainableVm(
            f"{name}-{n}",
            f"zone-{rack % 3}",
            f"{name}-rack-{rack}",
            True,
            -PERIOD_SECONDS,
            n_tasks,
            2 if kind == "long" else 0,
        )
        vms.append(FakeVm(view, drain + REBOOT_SECONDS))
    return FakePool(name, budget, vms)


class FakePool:
    """A simulated pool whose VMs are drained when ``chooser`` selects them."""

    def __init__(self, name: str, budget: int, vms: Sequence[FakeVm]) -> None:
        self.name = name
        self.budget = budget
        self.vm_by_id = {vm.view.vm_id: vm for vm in vms}

    def maintenance_view(self) -> PoolMaintenance:
        """Return the pool as the chooser sees it before the first drain."""
        views = [vm.view for vm in self.vm_by_id.values()]
        return PoolMaintenance(self.name, self.budget, views)

    def roll_out(self, chooser: Chooser, failures: Sequence[Failure]) -> PoolOutcome:
        """Maintain every VM once and return the outcome."""
        clock = ManualClock()
        vm_by_id = dict(self.vm_by_id)
        pending = sorted(failures, reverse=True)
        n_violations, over_budget_seconds, n_moved = 0, 0.0, 0
        while any(vm.view.last_maintained < 0 for vm in vm_by_id.values()):
            now = clock.now()
            self._recover(vm_by_id, now)
            while pending and pending[-1].at <= now:
                self._fail(vm_by_id, pending.pop().vm_id, now)
            pool = PoolMaintenance(
                self.name, self.budget, [vm.view for vm in vm_by_id.values()]
            )
            chosen = chooser(pool, now, PERIOD_SECONDS)
            n_unavailable = sum(not vm.view.is_serving for vm in vm_by_id.values())
            n_violations += self._is_violation(vm_by_id, chosen, n_unavailable)
            over_budget_seconds += STEP_SECONDS * max(0, n_unavailable - self.budget)
            for vm_id in chosen:
                vm = vm_by_id[vm_id]
                n_moved += vm.view.n_tasks - vm.view.n_unrestartable_tasks
                view = vm.view._replace(is_serving=False)
                vm_by_id[vm_id] = vm._replace(view=view, ready_at=now + vm.seconds)
            clock.advance(STEP_SECONDS)
        return PoolOutcome(clock.now(), n_violations, over_budget_seconds, n_moved)

    def _is_violation(
        self, vm_by_id: Mapping[str, FakeVm], chosen: Sequence[str], n_unavailable: int
    ) -> bool:
        """Return whether drains exceed the budget or affect several racks at once."""
        racks = {
            vm.view.rack
            for vm_id, vm in vm_by_id.items()
            if vm_id in chosen or (not vm.view.is_serving and not vm.view.is_failed)
        }
        is_over_budget = n_unavailable + len(chosen) > self.budget
        return bool(chosen) and (is_over_budget or len(racks) > 1)

    def _recover(self, vm_by_id: dict[str, FakeVm], now: float) -> None:
        for vm_id, vm in vm_by_id.items():
            if not vm.view.is_serving and vm.ready_at <= now:
                maintained = vm.view.last_maintained if vm.view.is_failed else now
                view = vm.view._replace(
                    is_serving=True, is_failed=False, last_maintained=maintained
                )
                vm_by_id[vm_id] = vm._replace(view=view)

    def _fail(self, vm_by_id: dict[str, FakeVm], vm_id: str, now: float) -> None:
        """Fail a VM; one that was in maintenance needs it again after the repair."""
        vm = vm_by_id[vm_id]
        view = vm.view._replace(is_serving=False, is_failed=True)
        vm_by_id[vm_id] = vm._replace(view=view, ready_at=now + REPAIR_SECONDS)

    def bound_seconds(self, failures: Sequence[Failure]) -> float:
        """Return a lower bound of the roll-out time."""
        seconds_by_rack: dict[str, list[float]] = defaultdict(list)
        for vm in self.vm_by_id.values():
            seconds_by_rack[vm.view.rack].append(vm.seconds)
        by_rack = sum(
            max(sum(seconds) / min(self.budget, len(seconds)), max(seconds))
            for seconds in seconds_by_rack.values()
        )
        work = sum(vm.seconds for vm in self.vm_by_id.values())
        return max(
            self._seconds_until(by_rack, failures, lambda n_left: n_left > 0),
            self._seconds_until(work, failures, lambda n_left: max(0, n_left)),
        )

    def _seconds_until(
        self, work: float, failures: Sequence[Failure], speed: Callable[[int], float]
    ) -> float:
        """Return when ``speed`` of the remaining budget has done ``work`` seconds.

        Failures reduce the budget. A drain that began before a failure continues, so
        the failure reduces the budget only after the longest drain.
        """
        longest = max(vm.seconds for vm in self.vm_by_id.values())
        now = 0.0
        while work > 0:
            failed = {
                failure.vm_id
                for failure in failures
                if longest <= now - failure.at < REPAIR_SECONDS
            }
            work -= STEP_SECONDS * speed(self.budget - len(failed))
            now += STEP_SECONDS
        return now


def make_failures(pool: FakePool, rng: Random) -> list[Failure]:
    """Return failures of single VMs and of one rack in the first hours."""
    vms = [vm.view for vm in pool.vm_by_id.values()]
    failures = [
        Failure(rng.uniform(0.0, 20_000.0), rng.choice(vms).vm_id)
        for _ in range(max(1, len(vms) // 12))
    ]
    rack = rng.choice(vms).rack
    at = rng.uniform(0.0, 10_000.0)
    return failures + [Failure(at, vm.vm_id) for vm in vms if vm.rack == rack]


class FleetOutcome(NamedTuple):
    """Mean and worst ratio of roll-out time to the bound, and sums over seeds."""

    mean_ratio: float
    worst_ratio: float
    n_violations: int
    over_budget_minutes: float
    n_moved_tasks: int


def measure(
    chooser: Chooser, n_workers: int, n_pools: int, has_failures: bool
) -> FleetOutcome:
    """Maintain all pools at the same time, once for each seed."""
    runs = [
        _roll_out_fleet(chooser, n_workers, n_pools, has_failures, Random(seed))
        for seed in SEEDS
    ]
    ratios = [run.mean_ratio for run in runs]
    return FleetOutcome(
        sum(ratios) / len(ratios),
        max(ratios),
        sum(run.n_violations for run in runs),
        sum(run.over_budget_minutes for run in runs),
        sum(run.n_moved_tasks for run in runs),
    )


def _roll_out_fleet(
    chooser: Chooser, n_workers: int, n_pools: int, has_failures: bool, rng: Random
) -> FleetOutcome:
    n_vms = n_workers // n_pools
    pools, outcomes, bounds = [], [], []
    for n in range(n_pools):
        size = n_vms + (n < n_workers - n_vms * n_pools)
        pools.append(make_pool(f"pool-{n}", size, max(1, size // 6), rng))
    for pool in pools:
        failures = make_failures(pool, rng) if has_failures else []
        outcomes.append(pool.roll_out(chooser, failures))
        bounds.append(pool.bound_seconds(failures))
    ratio = max(outcome.seconds for outcome in outcomes) / max(bounds)
    return FleetOutcome(
        ratio,
        ratio,
        sum(outcome.n_violations for outcome in outcomes),
        sum(outcome.over_budget_seconds for outcome in outcomes) / 60,
        sum(outcome.n_moved_tasks for outcome in outcomes),
    )


def _choose_with_failure_allowance(
    pool: PoolMaintenance, now: float, period_seconds: float
) -> list[str]:
    return choose_vms_to_drain(pool, now, period_seconds, failure_allowance=1)


@register("maintenance")
def run() -> list[Figure]:
    """Measure 36 workers in 6 pools and 1,200 in 42, with and without failures."""
    figures = []
    for n_workers, n_pools in ((36, 6), (1200, 42)):
        for has_failures in (False, True):
            runs = [
                measure(chooser, n_workers, n_pools, has_failures)
                for chooser in (
                    choose_one_vm_to_drain,
                    choose_vms_to_drain,
                    _choose_with_failure_allowance,
                )
            ]
            baseline, product, with_allowance = runs
            failing = "with failures" if has_failures else "no failures"
            setting = f"{n_workers} workers, {n_pools} pools, {failing}"
            figures += _figures(setting, baseline, product)
            figures.append(
                Figure(
                    f"{setting}, one VM kept",
                    "roll-out time over the bound, mean",
                    with_allowance.mean_ratio,
                    baseline.mean_ratio,
                    1.0,
                )
            )
            figures.append(
                Figure(
                    f"{setting}, one VM kept",
                    "VM-minutes over budget by failures",
                    with_allowance.over_budget_minutes,
                    baseline.over_budget_minutes,
                )
            )
    return figures


def _figures(
    setting: str, baseline: FleetOutcome, product: FleetOutcome
) -> list[Figure]:
    return [
        Figure(
            setting,
            "roll-out time over the bound, mean",
            product.mean_ratio,
            baseline.mean_ratio,
            1.0,
            ROLL_OUT_TARGET,
            is_promise=True,
        ),
        Figure(
            setting,
            "roll-out time over the bound, worst seed",
            product.worst_ratio,
            baseline.worst_ratio,
            1.0,
            ROLL_OUT_TARGET,
        ),
        Figure(
            setting,
            "drains over the budget or beside a wave",
            product.n_violations,
            baseline.n_violations,
            0,
            0,
            is_promise=True,
        ),
        Figure(
            setting,
            "VM-minutes over budget by failures",
            product.over_budget_minutes,
            baseline.over_budget_minutes,
        ),
        Figure(setting, "moved tasks", product.n_moved_tasks, baseline.n_moved_tasks),
    ]
