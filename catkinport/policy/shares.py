"""Weighted max-min fairness over the dominant resource."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .resources import NO_RESOURCES, Resources, dominant_share, scale

_EPSILON = 1e-12


class Claim(NamedTuple):
    """Demand of a team on a pool.

    Args:
        name: name of the team.
        weight: share relative to other teams, above 0.
        demand: resources of all tasks that the team runs or wants to run.
        max_cores: upper limit on its processors.
    """

    name: str
    weight: float
    demand: Resources
    max_cores: float = float("inf")


class _GrowingClaim(NamedTuple):
    """A claim while its allocation grows.

    ``full_level`` is the level at which its demand is met, ``rates`` the amount of each
    resource that it uses per unit of level.
    """

    name: str
    demand: Resources
    full_level: float
    rates: Resources


def water_fill(capacity: Resources, claims: Sequence[Claim]) -> dict[str, Resources]:
    """Divide a pool by exact weighted max-min over dominant shares.

    The allocations of all claims grow at the same level (dominant share divided by
    weight). A claim stops growing when its demand is met or a resource that it uses has
    run out. Demand is treated as divisible.

    Args:
        capacity: resources of the pool.
        claims: one per team.

    Returns:
        The allocation by team.

    Raises:
        ValueError: if a weight is not above 0.

    Example:
        >>> pool = Resources(10, 100, 0)
        >>> claims = [Claim("a", 1, Resources(20, 0, 0)),
        ...           Claim("b", 1, Resources(2, 0, 0))]
        >>> [amount.cores for amount in water_fill(pool, claims).values()]
        [8.0, 2.0]
    """
    allocation_by_name = {claim.name: NO_RESOURCES for claim in claims}
    active = [
        growing for claim in claims if (growing := _to_growing_claim(claim, capacity))
    ]
    free = list(capacity)
    level = 0.0
    while active:
        sums = [sum(growing.rates[r] for growing in active) for r in range(len(free))]
        next_full = min(growing.full_level for growing in active)
        step = max(0.0, min([next_full - level, *_steps_to_empty(free, sums)]))
        level += step
        free = [room - step * rate for room, rate in zip(free, sums, strict=True)]
        active = _freeze(active, free, level, capacity, allocation_by_name)
    return allocation_by_name


def _to_growing_claim(claim: Claim, capacity: Resources) -> _GrowingClaim | None:
    if claim.weight <= 0:
        raise ValueError(f"weight of {claim.name} must be > 0, got {claim.weight!r}")
    demand = claim.demand
    if demand.cores > claim.max_cores:
        demand = scale(demand, claim.max_cores / demand.cores)
    share = dominant_share(demand, capacity)
    if share <= 0:
        return None
    rates = scale(demand, claim.weight / share)
    return _GrowingClaim(claim.name, demand, share / claim.weight, rates)


def _steps_to_empty(free: Sequence[float], sums: Sequence[float]) -> list[float]:
    return [room / rate for room, rate in zip(free, sums, strict=True) if rate > 0]


def _freeze(
    active: Sequence[_GrowingClaim],
    free: Sequence[float],
    level: float,
    capacity: Resources,
    allocation_by_name: dict[str, Resources],
) -> list[_GrowingClaim]:
    """Store the allocations of claims that stop growing, and return the other claims.

    A claim stops growing when its demand is met or a resource that it uses has run out.
    """
    is_empty = [
        room <= _EPSILON * max(1.0, whole) * 1e3
        for room, whole in zip(free, capacity, strict=True)
    ]
    still_growing = []
    for growing in active:
        is_met = level >= growing.full_level * (1 - _EPSILON)
        is_blocked = any(
            empty and rate > 0
            for empty, rate in zip(is_empty, growing.rates, strict=True)
        )
        if is_met or is_blocked:
            part = min(1.0, level / growing.full_level)
            allocation_by_name[growing.name] = scale(growing.demand, part)
        else:
            still_growing.append(growing)
    return still_growing


def share_by_team(
    capacity: Resources, amount_by_team: Mapping[str, Resources]
) -> dict[str, float]:
    """Return the dominant share of each team's amount."""
    return {
        team: dominant_share(amount, capacity)
        for team, amount in amount_by_team.items()
    }
