"""Amounts of processors, memory and accelerators."""

from collections.abc import Iterable
from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of each resource: processors, memory in GB, accelerators."""

    cores: float
    memory_gb: float
    accelerators: float


NO_RESOURCES = Resources(0.0, 0.0, 0.0)


def add(first: Resources, second: Resources) -> Resources:
    """Return the sum of two amounts."""
    return Resources(
        first.cores + second.cores,
        first.memory_gb + second.memory_gb,
        first.accelerators + second.accelerators,
    )


def scale(amount: Resources, factor: float) -> Resources:
    """Return ``amount`` times ``factor``."""
    return Resources(
        amount.cores * factor, amount.memory_gb * factor, amount.accelerators * factor
    )


def total(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of ``amounts``."""
    result = NO_RESOURCES
    for amount in amounts:
        result = add(result, amount)
    return result


def is_within(need: Resources, room: Resources) -> bool:
    """Return whether ``need`` is at most ``room`` in every resource."""
    return (
        need.cores <= room.cores
        and need.memory_gb <= room.memory_gb
        and need.accelerators <= room.accelerators
    )


def dominant_share(amount: Resources, capacity: Resources) -> float:
    """Return the largest fraction of ``capacity`` that ``amount`` takes.

    A resource that the capacity lacks is ignored.

    Example:
        >>> dominant_share(Resources(2, 4, 0), Resources(8, 64, 0))
        0.25
    """
    return max(
        (have / whole for have, whole in zip(amount, capacity, strict=True) if whole),
        default=0.0,
    )
