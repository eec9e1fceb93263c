"""Series of faults: several in quick succession, which overlap with all others.

They are drawn beside the schedule of single faults and from random numbers of their
own, so that a seed keeps its single faults when series are added or changed.
"""

import random
from collections.abc import Callable, Iterator
from operator import attrgetter

from .faults import PlannedFault

SERIES_PER_SECOND = 1 / 6.0
"""Mean number of series that begin in a second."""

FIRST_SERIES_SECONDS = (1.0, 5.0)
"""Earliest and latest time of the first series, so that short runs have one too."""

Series = Callable[[random.Random], Iterator[PlannedFault]]
"""Yields faults whose times count from the start of the series."""

SERIES_BY_NAME: dict[str, Series] = {}


def register(series: Series) -> Series:
    """Register the decorated function as a series under its own name."""
    SERIES_BY_NAME[series.__name__] = series
    return series


def draw_series(rng: random.Random, seconds: float) -> list[PlannedFault]:
    """Return the faults of random series that begin within ``seconds``."""
    names = sorted(SERIES_BY_NAME)
    faults: list[PlannedFault] = []
    start_seconds = rng.uniform(*FIRST_SERIES_SECONDS)
    while start_seconds < seconds:
        for fault in SERIES_BY_NAME[rng.choice(names)](rng):
            begins_at = start_seconds + fault.start_seconds
            faults.append(fault._replace(start_seconds=begins_at))
        start_seconds += rng.expovariate(SERIES_PER_SECOND)
    return sorted(faults, key=attrgetter("start_seconds"))


@register
def signals_and_changes(rng: random.Random) -> Iterator[PlannedFault]:
    """Reload settings, change keys and request upkeep, one right after the other."""
    names = ("reload_settings", "withdraw_key", "request_upkeep", "reset_connections")
    start_seconds = 0.0
    for name in rng.choices(names, k=rng.randint(3, 6)):
        yield PlannedFault(start_seconds, name, 0.0)
        start_seconds += rng.uniform(0.05, 0.4)


@register
def planned_restarts(rng: random.Random) -> Iterator[PlannedFault]:
    """Stop daemons one after the other, before the one before has come back."""
    start_seconds = 0.0
    for _ in range(rng.randint(2, 4)):
        yield PlannedFault(start_seconds, "stop_daemon", 0.5)
        yield PlannedFault(start_seconds + 0.1, "reload_settings", 0.0)
        start_seconds += rng.uniform(0.3, 2.0)


@register
def crash_loop(rng: random.Random) -> Iterator[PlannedFault]:
    """Kill the owner again and again, each time soon after a new one took over."""
    start_seconds = 0.0
    for _ in range(rng.randint(2, 4)):
        yield PlannedFault(start_seconds, "kill_owner", rng.uniform(0.3, 1.0))
        start_seconds += rng.uniform(0.8, 3.0)


@register
def owner_lost_with_late_writes(rng: random.Random) -> Iterator[PlannedFault]:
    """Replace the owner while its writes and orders are still to be carried out."""
    duration_seconds = rng.uniform(3.0, 5.0)
    yield PlannedFault(0.0, "store_writes_late", duration_seconds)
    yield PlannedFault(0.2, "late_orders", duration_seconds)
    name = rng.choice(("kill_owner", "pause_owner", "cut_owner"))
    yield PlannedFault(rng.uniform(0.5, 2.5), name, rng.uniform(1.0, 3.0))


@register
def crashes_in_upkeep(rng: random.Random) -> Iterator[PlannedFault]:
    """Crash VMs and lose answers to orders for VMs during a wave of upkeep."""
    yield PlannedFault(0.0, "request_upkeep", 0.0)
    yield PlannedFault(rng.uniform(0.2, 1.0), "cut_owner", rng.uniform(0.5, 2.0))
    for _ in range(rng.randint(1, 3)):
        yield PlannedFault(rng.uniform(0.2, 3.0), "crash_worker", 0.0)
