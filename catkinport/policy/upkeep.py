"""Chooses the VMs of a wave that are taken down for upkeep next.

Pattern: demand comes in turns, so every VM is idle now and then. A wave uses these
moments; only when it falls behind its deadline are VMs drained for it.
"""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

PLANNED_FRACTION = 0.65
"""Part of the time to the deadline in which the wave should be through."""


class UpkeepCost(IntEnum):
    """What taking a VM down costs those who use it."""

    OFF = 0
    IDLE = 1
    SHORT_WORK = 2
    LASTING_WORK = 3
    FORBIDDEN = 4


class UpkeepCandidate(NamedTuple):
    """A VM of a wave that has not begun its upkeep.

    Args:
        vm_id: the VM.
        pool: its pool.
        cost: what taking it down costs.
        busy_core_seconds: work that runs on it.
        is_reserved: whether it is being drained for the wave.
    """

    vm_id: str
    pool: str
    cost: UpkeepCost
    busy_core_seconds: float = 0.0
    is_reserved: bool = False


class WaveView(NamedTuple):
    """A wave as it stands.

    Args:
        n_vms: VMs of the wave.
        n_begun: VMs that have begun their upkeep.
        n_down: VMs of the wave that are or may be down for it.
        max_down: most of them that may be down at once.
        age_seconds: time since the wave was announced.
        deadline_seconds: time that it may take.
        candidates: VMs that have not begun and are up.
    """

    n_vms: int
    n_begun: int
    n_down: int
    max_down: int
    age_seconds: float
    deadline_seconds: float
    candidates: Sequence[UpkeepCandidate]


class UpkeepChoice(NamedTuple):
    """VMs to take down now, and VMs to drain."""

    maintain: list[str]
    drain: list[str]


def is_behind(view: WaveView) -> bool:
    """Return whether the wave is slower than it has to be."""
    planned_seconds = view.deadline_seconds * PLANNED_FRACTION
    if planned_seconds <= 0:
        return True
    due = view.n_vms * min(1.0, view.age_seconds / planned_seconds)
    return view.n_begun + view.n_down < due


def choose_upkeep(view: WaveView) -> UpkeepChoice:
    """Choose what the wave does next.

    Example:
        >>> idle = UpkeepCandidate("m-1", "p", UpkeepCost.IDLE)
        >>> choose_upkeep(WaveView(1, 0, 0, 1, 0.0, 20.0, [idle])).maintain
        ['m-1']
    """
    n_free = view.max_down - view.n_down
    ready = [c for c in view.candidates if c.cost <= UpkeepCost.IDLE]
    ready.sort(key=lambda c: (c.cost, not c.is_reserved, c.vm_id))
    maintain = [c.vm_id for c in ready[: max(0, n_free)]]
    n_free -= len(maintain)
    drained = [c for c in view.candidates if c.is_reserved and c.vm_id not in maintain]
    behind = is_behind(view)
    if behind and n_free > 0:
        for candidate in sorted(drained, key=_drain_order):
            if candidate.cost is UpkeepCost.LASTING_WORK and n_free > 0:
                maintain.append(candidate.vm_id)
                n_free -= 1
    n_draining = sum(c.vm_id not in maintain for c in drained)
    n_wanted = n_free - n_draining if behind else 0
    others = [
        c
        for c in view.candidates
        if not c.is_reserved
        and c.vm_id not in maintain
        and c.cost < UpkeepCost.FORBIDDEN
    ]
    others.sort(key=_drain_order)
    return UpkeepChoice(maintain, [c.vm_id for c in others[: max(0, n_wanted)]])


def _drain_order(candidate: UpkeepCandidate) -> tuple[float, ...]:
    return (candidate.cost, candidate.busy_core_seconds)
