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
        busy_cores: cores of the short work that runs on it.
        is_reserved: whether it gets no new work, because the wave drains it.
        may_end_lasting: whether all its lasting tasks may be ended right now.
        is_pool_busy: whether the pool has its turn.
    """

    vm_id: str
    pool: str
    cost: UpkeepCost
    busy_cores: float = 0.0
    is_reserved: bool = False
    may_end_lasting: bool = False
    is_pool_busy: bool = False


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

    VMs with lasting tasks come first: the tasks of a step may be away one after the
    other only, so they are what takes longest.

    Example:
        >>> idle = UpkeepCandidate("m-1", "p", UpkeepCost.IDLE)
        >>> choose_upkeep(WaveView(1, 0, 0, 1, 0.0, 20.0, [idle])).maintain
        ['m-1']
    """
    lasting = [c for c in view.candidates if c.cost is UpkeepCost.LASTING_WORK]
    evacuated = [
        c for c in lasting if c.is_reserved and c.may_end_lasting and not c.busy_cores
    ]
    ready = [c for c in view.candidates if c.cost <= UpkeepCost.IDLE]
    ready.sort(key=lambda c: (c.cost, not c.is_reserved, c.vm_id))
    n_free = max(0, view.max_down - view.n_down)
    maintain = [c.vm_id for c in (*evacuated, *ready)][:n_free]
    drain = _drain_lasting(lasting, is_behind(view))
    if is_behind(view):
        short = [c for c in view.candidates if c.cost is UpkeepCost.SHORT_WORK]
        n_draining = sum(c.is_reserved for c in (*short, *lasting))
        n_wanted = max(0, n_free - len(maintain) - n_draining)
        others = sorted((c for c in short if not c.is_reserved), key=_busy_cores)
        drain += [c.vm_id for c in others[:n_wanted]]
    return UpkeepChoice(maintain, drain)


def _drain_lasting(lasting: list[UpkeepCandidate], behind: bool) -> list[str]:
    """Choose one VM with lasting tasks of each pool that has none in work."""
    drain = []
    taken = {c.pool for c in lasting if c.is_reserved}
    for candidate in sorted(lasting, key=_busy_cores):
        if candidate.pool in taken or (candidate.is_pool_busy and not behind):
            continue
        taken.add(candidate.pool)
        drain.append(candidate.vm_id)
    return drain


def _busy_cores(candidate: UpkeepCandidate) -> float:
    return candidate.busy_cores
