"""Series of faults around workers that restart under their ids and are cut off.

A worker that restarts under its id is another incarnation of it, which takes calls that
were made for the former one. The owner of the fleet, which has to tell them apart, is
disturbed between the restart and the cut. The series are drawn from random numbers of
their own, so that a seed keeps its other faults.
"""

import logging
import random
from collections.abc import Callable, Iterator

from catkinport.runtime.logs import log_event

from .environment import SoakEnvironment
from .faults import PlannedFault, register_for_series

logger = logging.getLogger(__name__)

SERIES_PER_SECOND = 1 / 9.0
"""Mean number of series that begin in a second. A new owner may wait for 11 s until it
starts tasks, and a restart of a worker that has none shows nothing."""

FIRST_SERIES_SECONDS = (1.5, 4.0)
"""Earliest and latest time of the first series. Long tasks run by then."""

DOWN_SECONDS = (0.02, 0.8)
"""Shortest and longest time until a worker is back. Half of them are within 0.13 s,
as the owner learns of a restart at once by an order that falls into this time."""

CUT_AFTER_SECONDS = (0.1, 3.0)
"""Shortest and longest time from the return of a worker to its cut. Half of the cuts
come within 0.55 s, as the owner learns of the restart some time after."""

CUT_SECONDS = (3.0, 12.0)
"""Shortest and longest cut. The longest lease of a worker ends within the longest."""

AGAIN_SECONDS = (0.5, 4.0)
"""Shortest and longest time from one restart of a worker to the next. A renewed lease
lasts for 4.4 s, so that one of the former incarnation would not be over."""

OWNER_FAULTS = (
    ("kill_owner", (0.02, 0.1)),
    ("kill_owner", (0.02, 0.1)),
    ("kill_owner", (6.0, 15.0)),
    ("stop_owner", (0.02, 0.1)),
    ("stop_owner", (0.02, 0.1)),
    ("pause_owner", (0.2, 2.5)),
)
"""Faults of the owner, with their shortest and longest duration. Those after which a
successor is known to be alone, and soon starts tasks, are drawn twice as often."""

AGAIN_FRACTION = 0.35
"""Fraction of the series that restart their workers twice."""

OLD_LIST_FRACTION = 0.5
"""Fraction of the series in which the list of VMs is as old as is promised at most."""

LATE_SEEDS_FRACTION = 1 / 3
"""Fraction of the seeds in which some orders are carried out late. A late start may be
carried out by the next incarnation (issue 9), which would hide other failures."""

LATE_SERIES_FRACTION = 0.5
"""Fraction of the series of such a seed that have late orders."""

N_GROUPS = 3
"""Number of groups of VMs that restart together if there is one zone."""


def draw_restarts(rng: random.Random, seconds: float) -> list[list[PlannedFault]]:
    """Return random series that begin within ``seconds``, at least one.

    Those faults of a series that concern workers concern the same ones, if each fault
    is injected with a generator of the same seed.
    """
    series: list[list[PlannedFault]] = []
    is_late_seed = rng.random() < LATE_SEEDS_FRACTION
    start_seconds = rng.uniform(*FIRST_SERIES_SECONDS)
    while start_seconds < seconds or not series:
        has_late_orders = is_late_seed and rng.random() < LATE_SERIES_FRACTION
        series.append(
            [
                fault._replace(start_seconds=start_seconds + fault.start_seconds)
                for fault in _draw_one(rng, has_late_orders)
            ]
        )
        start_seconds += rng.expovariate(SERIES_PER_SECOND)
    return series


def _draw_one(rng: random.Random, has_late_orders: bool) -> Iterator[PlannedFault]:
    """Yield one or two restarts of the same workers, with cuts and owner faults."""
    restart_seconds = 0.0
    if has_late_orders:
        yield PlannedFault(0.0, "late_orders", rng.uniform(2.0, 6.0))
        restart_seconds = rng.uniform(0.0, 2.0)
    if rng.random() < OLD_LIST_FRACTION:
        yield PlannedFault(0.0, "vm_list_old", 15.0)
    yield from _draw_round(rng, restart_seconds)
    if rng.random() < AGAIN_FRACTION:
        yield from _draw_round(rng, restart_seconds + rng.uniform(*AGAIN_SECONDS))


def _draw_round(rng: random.Random, restart_seconds: float) -> Iterator[PlannedFault]:
    down_seconds = _draw_log_uniform(rng, *DOWN_SECONDS)
    yield PlannedFault(restart_seconds, "restart_workers", down_seconds)
    cut_after_seconds = _draw_log_uniform(rng, *CUT_AFTER_SECONDS)
    back_seconds = restart_seconds + down_seconds
    name, durations = rng.choice(OWNER_FAULTS)
    owner_seconds = back_seconds + rng.uniform(0.0, cut_after_seconds)
    yield PlannedFault(owner_seconds, name, rng.uniform(*durations))
    cut_seconds = back_seconds + cut_after_seconds
    yield PlannedFault(cut_seconds, "cut_workers", rng.uniform(*CUT_SECONDS))


def _draw_log_uniform(rng: random.Random, shortest: float, longest: float) -> float:
    return shortest * (longest / shortest) ** rng.random()


def _pick_vms(environment: SoakEnvironment, rng: random.Random) -> list[str]:
    """Return a VM, or in half of the cases all VMs of a zone."""
    size = environment.deployment.size
    n_vms = size.n_pools * size.n_vms
    first = rng.randrange(n_vms)
    if rng.random() < 0.5:
        return [f"m-{first}"]
    # VMs are in the zones by turns.
    n_zones = size.n_zones if size.n_zones > 1 else N_GROUPS
    return [f"m-{number}" for number in range(first % n_zones, n_vms, n_zones)]


@register_for_series
def restart_workers(
    environment: SoakEnvironment, rng: random.Random
) -> Callable[[], None]:
    """Crash workers; the end of the fault starts them again under the same ids.

    In some cases their whole VMs are gone at once, and reset no connections.
    """
    vms = _pick_vms(environment, rng)
    crash = {"crash_seconds": 60.0, "keeps_id": True, "is_dark": rng.random() < 0.4}
    log_event(logger, "workers crashed", vms=",".join(vms), is_dark=crash["is_dark"])
    deployment = environment.deployment
    for vm in vms:
        deployment.set_vm_faults(vm, **crash)

    def end() -> None:
        state_by_vm = {vm["Machine"]: vm["State"] for vm in deployment.list_vms()}
        for vm in vms:
            # Another series may have started it already.
            if state_by_vm[vm] == "down":
                deployment.set_vm_faults(vm, crash_seconds=0.0, keeps_id=True)

    return end


@register_for_series
def cut_workers(environment: SoakEnvironment, rng: random.Random) -> Callable[[], None]:
    """Cut workers off; their tasks run on until their lease lapses."""
    vms = _pick_vms(environment, rng)
    log_event(logger, "workers cut off", vms=",".join(vms))
    for vm in vms:
        environment.deployment.set_vm_faults(vm, is_silent=True)

    def end() -> None:
        for vm in vms:
            environment.deployment.set_vm_faults(vm, is_silent=False)

    return end
