"""Sizes the spare pool and decides moves between it and other pools."""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

RISE_SECONDS = 5.0
"""Shortage lasting so long is followed by a move: it outlasts a placement round."""

RETURN_SECONDS = 300.0
"""Surplus must last so long before VMs go back, so that moves do not alternate."""

RETURN_MARGIN = 1
"""VMs above its need that a pool keeps before it gives any back."""


class FailureDomain(NamedTuple):
    """VMs that fail together, and how many of them each pool can lose."""

    name: str
    n_vms: int


class PoolNeed(NamedTuple):
    """Demand of a pool in VMs.

    Args:
        name: name of the pool.
        n_vms: VMs that the pool has without the spare.
        n_mean: VMs that its mean demand takes.
        n_peak: VMs that a burst takes, about five times the mean.
        n_in_maintenance: VMs that a wave may take out at once.
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

    Bursts do not coincide, so the spare covers the largest ones, not their sum. VMs
    that other pools leave idle between bursts do not count: they return too slowly.
    Failures and maintenance are added, since either may come with a burst; waves stop
    while failures use up a pool's budget, so the larger of the two counts.

    Args:
        pools: all pools but the spare.
        domains: failure domains, usually racks.
        n_simultaneous_bursts: bursts that may overlap.

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
    n_maintained = max((pool.n_in_maintenance for pool in pools), default=0)
    return n_burst + max(n_failed, n_maintained)


class PoolLoad(NamedTuple):
    """What a pool needs now.

    Args:
        name: name of the pool.
        n_serving: VMs that serve, those on loan from the spare included.
        n_arriving: VMs on their way to it.
        n_on_loan: VMs that came from the spare.
        n_needed: VMs that the present demand takes, rounded up.
        short_since: since when more is needed than serves, in seconds; None if not.
        surplus_since: since when a VM on loan is not needed; None if it is.
        min_vms: VMs that the pool is never moved below.
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
    """VMs to move from the spare pool to a pool, or back when negative."""

    n_vms_by_pool: Mapping[str, int]


def plan_moves(loads: Sequence[PoolLoad], n_spare: int, now: float) -> VmMoves:
    """Decide the moves between the spare pool and the others.

    A pool that is short gets VMs soon; VMs go back late, and only those that a pool
    does not need with a margin. The pools that are shortest relative to need go first.

    Args:
        loads: the pools but the spare.
        n_spare: VMs in the spare pool that are ready.
        now: seconds on the clock of the loads.

    Returns:
        The moves; pools without one are left out.
    """
    n_by_pool: dict[str, int] = {}
    short = [load for load in loads if _is_due(load.short_since, now, RISE_SECONDS)]
    for load in sorted(short, key=lambda load: (_covered(load), load.name)):
        n_vms = min(n_spare, load.n_needed - load.n_serving - load.n_arriving)
        if n_vms > 0:
            n_by_pool[load.name] = n_vms
            n_spare -= n_vms
    is_short = any(load.n_needed > load.n_serving + load.n_arriving for load in loads)
    for load in loads:
        wait = RISE_SECONDS if is_short and n_spare <= 0 else RETURN_SECONDS
        if _is_due(load.surplus_since, now, wait):
            n_vms = _n_to_return(load, 0 if is_short else RETURN_MARGIN)
            if n_vms > 0:
                n_by_pool[load.name] = -n_vms
    return VmMoves(n_by_pool)


def _is_due(since: float | None, now: float, seconds: float) -> bool:
    return since is not None and now - since >= seconds


def _covered(load: PoolLoad) -> float:
    return (load.n_serving + load.n_arriving) / max(1, load.n_needed)


def _n_to_return(load: PoolLoad, margin: int) -> int:
    n_kept = max(load.n_needed + margin, load.min_vms)
    return min(load.n_on_loan, load.n_serving - n_kept)
