"""Weighted max-min fairness over the dominant resource."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .resources import NOTHING, Resources, dominant_share, scale

_EPSILON = 1e-12


class Claim(NamedTuple):
    """What a team asks of a pool.

    Args:
        name: name of the team.
        weight: share relative to other teams, above 0.
        demand: all that the team runs and wants to run.
        max_cores: upper limit of its processors.
    """

    name: str
    weight: float
    demand: Resources
    max_cores: float = float("inf")


class _Flow(NamedTuple):
    """A claim as it is filled: ``rates`` is the use of each resource per level."""

    name: str
    demand: Resources
    full_level: float
    rates: Resources


def water_fill(capacity: Resources, claims: Sequence[Claim]) -> dict[str, Resources]:
    """Divide a pool by exact weighted max-min over dominant shares.

    All claims rise at the same level (dominant share over weight) until each is met
    or uses a resource that has run out. Work is taken as divisible.

    Args:
        capacity: what the pool has.
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
    allocation_by_name = {claim.name: NOTHING for claim in claims}
    active = [flow for claim in claims if (flow := _to_flow(claim, capacity))]
    free = list(capacity)
    level = 0.0
    while active:
        sums = [sum(flow.rates[r] for flow in active) for r in range(len(free))]
        next_full = min(flow.full_level for flow in active)
        step = max(0.0, min([next_full - level, *_steps_to_empty(free, sums)]))
        level += step
        free = [room - step * rate for room, rate in zip(free, sums, strict=True)]
        active = _freeze(active, free, level, capacity, allocation_by_name)
    return allocation_by_name


def _to_flow(claim: Claim, capacity: Resources) -> _Flow | None:
    if claim.weight <= 0:
        raise ValueError(f"weight of {claim.name} must be > 0, got {claim.weight!r}")
    demand = claim.demand
    if demand.cores > claim.max_cores:
        demand = scale(demand, claim.max_cores / demand.cores)
    share = dominant_share(demand, capacity)
    if share <= 0:
        return None
    rates = scale(demand, claim.weight / share)
    return _Flow(claim.name, demand, share / claim.weight, rates)


def _steps_to_empty(free: Sequence[float], sums: Sequence[float]) -> list[float]:
    return [room / rate for room, rate in zip(free, sums, strict=True) if rate > 0]


def _freeze(
    active: Sequence[_Flow],
    free: Sequence[float],
    level: float,
    capacity: Resources,
    allocation_by_name: dict[str, Resources],
) -> list[_Flow]:
    """Fix the claims that are met or blocked, and return the others."""
    is_empty = [
        room <= _EPSILON * max(1.0, whole) * 1e3
        for room, whole in zip(free, capacity, strict=True)
    ]
    rising = []
    for flow in active:
        is_met = level >= flow.full_level * (1 - _EPSILON)
        is_blocked = any(
            empty and rate > 0 for empty, rate in zip(is_empty, flow.rates, strict=True)
        )
        if is_met or is_blocked:
            part = min(1.0, level / flow.full_level)
            allocation_by_name[flow.name] = scale(flow.demand, part)
        else:
            rising.append(flow)
    return rising


def share_by_team(
    capacity: Resources, amount_by_team: Mapping[str, Resources]
) -> dict[str, float]:
    """Return the dominant share of each team's amount."""
    return {
        team: dominant_share(amount, capacity)
        for team, amount in amount_by_team.items()
    }
