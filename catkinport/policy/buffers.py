"""Decides the size of the spare pool and the moves between it and the other pools.

The spare pool holds VMs that are lent to pools which are short of VMs, because of a
burst of demand, a failure or maintenance.
"""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

LEND_DELAY_SECONDS = 5.0
"""A pool must be short of VMs for this long, more than a placement round, before it
gets VMs."""

RETURN_DELAY_SECONDS = 300.0
"""A surplus must last this long before VMs go back, so that moves do not alternate."""

RETURN_MARGIN_VMS = 1
"""VMs beyond its need that a pool keeps when it gives VMs back."""


class FailureDomain(NamedTuple):
    """VMs that fail together, such as those of one rack.

    Args:
        name: name of the failure domain.
        n_vms: number of its VMs.
    """

    name: str
    n_vms: int


class PoolNeed(NamedTuple):
    """VMs of a pool and its demand, counted in VMs.

    Args:
        name: name of the pool.
        n_vms: VMs that the pool has without those on loan from the spare pool.
        n_mean: VMs that its mean demand takes.
        n_peak: VMs that a burst takes, about five times the mean.
        n_in_maintenance: VMs that a maintenance wave may take out of service at once.
    """

    name: str
    n_vms: int
    n_mean: float
    n_peak: float
    n_in_maintenance: int


def spare_size(
    pools: Sequence[PoolNeed],
    domains: Sequence[FailureDomain],
    n_simultaneous_bursts: int = 1,
) -> int:
    """Return how many VMs the spare pool needs.

    Only a few bursts overlap, so the spare pool covers the largest ones and not the
    sum of all. VMs that other pools leave idle between bursts do not count, as they
    return too slowly. The larger one of the largest failure and the largest
    maintenance wave is added, since either may coincide with a burst; the two are not
    added up, since waves stop while failures use up a pool's availability budget.

    Args:
        pools: all pools except the spare pool.
        domains: failure domains, usually racks.
        n_simultaneous_bursts: number of bursts that may overlap.

    Returns:
        Number of VMs.

    Example:
        >>> pools = [PoolNeed("a", 6, 2, 10, 1), PoolNeed("b", 6, 2, 8, 1)]
        >>> spare_size(pools, [FailureDomain("rack-1", 2)])
        6
    """
    excess = sorted(
        (max(0.0, pool.n_peak - pool.n_vms) for pool in pools), reverse=True
    )
    n_burst = math.ceil(sum(excess[:n_simultaneous_bursts]))
    n_failed = max((domain.n_vms for domain in domains), default=0)
    n_in_maintenance_wave = max((pool.n_in_maintenance for pool in pools), default=0)
    return n_burst + max(n_failed, n_in_maintenance_wave)


class PoolLoad(NamedTuple):
    """VMs that a pool has and needs now.

    Args:
        name: name of the pool.
        n_serving: VMs that serve, including those on loan from the spare pool.
        n_arriving: VMs that are being moved to the pool.
        n_on_loan: VMs on loan from the spare pool.
        n_needed: VMs that the present demand takes, rounded up.
        short_since: time in seconds since which more VMs are needed than serve;
            ``None`` if that is not so.
        surplus_since: time in seconds since which a VM on loan is not needed;
            ``None`` if all are.
        min_vms: number of VMs that the pool keeps when it gives VMs back.
    """

    name: str
    n_serving: int
    n_arriving: int
    n_on_loan: int
    n_needed: int
    short_since: float | None
    surplus_since: float | None
    min_vms: int


class VmMoves(NamedTuple):
    """Number of VMs to move from the spare pool to each pool, or back if negative."""

    n_vms_by_pool: Mapping[str, int]


def plan_moves(loads: Sequence[PoolLoad], n_spare: int, now: float) -> VmMoves:
    """Decide the moves between the spare pool and the others.

    A pool that is short of VMs gets some soon; the pools that have the smallest part
    of what they need go first. VMs go back late, and a pool keeps a margin above its
    need. While a pool is short, no margin is kept, and if the spare pool is empty as
    well, VMs go back after the short delay that holds for lending.

    Args:
        loads: all pools except the spare pool.
        n_spare: VMs in the spare pool that are ready.
        now: seconds on the same clock as the times in ``loads``.

    Returns:
        The moves; pools without one are left out.
    """
    n_by_pool: dict[str, int] = {}
    short = [
        load for load in loads if _is_due(load.short_since, now, LEND_DELAY_SECONDS)
    ]
    for load in sorted(short, key=lambda load: (_fraction_covered(load), load.name)):
        n_vms = min(n_spare, load.n_needed - load.n_serving - load.n_arriving)
        if n_vms > 0:
            n_by_pool[load.name] = n_vms
            n_spare -= n_vms
    is_short = any(load.n_needed > load.n_serving + load.n_arriving for load in loads)
    for load in loads:
        delay_seconds = (
            LEND_DELAY_SECONDS if is_short and n_spare <= 0 else RETURN_DELAY_SECONDS
        )
        if _is_due(load.surplus_since, now, delay_seconds):
            n_vms = _n_to_return(load, 0 if is_short else RETURN_MARGIN_VMS)
            if n_vms > 0:
                n_by_pool[load.name] = -n_vms
    return VmMoves(n_by_pool)


def _is_due(since: float | None, now: float, seconds: float) -> bool:
    return since is not None and now - since >= seconds


def _fraction_covered(load: PoolLoad) -> float:
    return (load.n_serving + load.n_arriving) / max(1, load.n_needed)


def _n_to_return(load: PoolLoad, margin: int) -> int:
    n_kept = max(load.n_needed + margin, load.min_vms)
    return min(load.n_on_loan, load.n_serving - n_kept)
