"""Decides how many VMs of each pool are on.

Pattern: each queue in turn asks several times its mean for a few seconds, more than its
pool holds, and almost nothing in between. VMs follow the turn: those of quiet pools are
switched off or lent to the pool whose turn it is.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

IDLE_SECONDS = 1.0
"""A VM that has been idle for so long is given up, if its pool has room without it. Two
moves cost as much as two seconds of an idle VM."""

LEND_IDLE_SECONDS = 0.3
"""A VM that has been idle for so long may be lent to a pool that has too little."""

ROOM_FACTOR = 1.15
"""Room that a pool keeps beyond its demand, as tasks of uneven size leave gaps."""


class PoolView(NamedTuple):
    """A pool as it stands.

    Args:
        name: name of the pool.
        is_spare: whether its VMs are off.
        demand_cores: cores of what runs and of what could start.
        capacity_cores: cores of its VMs that are on or on their way.
        vm_cores: cores of one VM.
        min_vms: VMs that stay on whatever the demand.
        n_vms: VMs that are on or on their way.
    """

    name: str
    is_spare: bool
    demand_cores: float
    capacity_cores: float
    vm_cores: float
    min_vms: int
    n_vms: int


class IdleVm(NamedTuple):
    """A VM on which nothing runs.

    Args:
        vm_id: the VM.
        pool: its pool.
        idle_seconds: for how long nothing has run on it.
        is_off: whether it is in the spare pool.
    """

    vm_id: str
    pool: str
    idle_seconds: float
    is_off: bool


class PoolMove(NamedTuple):
    """Moves a VM to another pool."""

    vm_id: str
    pool: str


def wanted_vms(view: PoolView) -> int:
    """Return how many VMs the pool should have on.

    Example:
        >>> wanted_vms(PoolView("p", False, 100.0, 64.0, 64.0, 1, 1))
        2
    """
    cores = view.demand_cores * ROOM_FACTOR
    n_vms = -int(-cores // view.vm_cores) if view.vm_cores else 0
    return max(view.min_vms, n_vms)


def choose_moves(
    pool_by_name: Mapping[str, PoolView], idle_vms: Sequence[IdleVm]
) -> list[PoolMove]:
    """Choose which idle VMs change their pool now.

    VMs that are off are taken first, then idle ones of pools with room to spare.
    """
    spare = next((p.name for p in pool_by_name.values() if p.is_spare), "")
    missing = {
        pool.name: wanted_vms(pool) - pool.n_vms
        for pool in pool_by_name.values()
        if not pool.is_spare
    }
    moves = []
    ordered = sorted(idle_vms, key=lambda vm: (not vm.is_off, -vm.idle_seconds))
    for vm in ordered:
        target = max(missing, key=lambda name: missing[name], default="")
        is_needed = bool(target) and missing[target] > 0
        if vm.is_off:
            if is_needed:
                moves.append(PoolMove(vm.vm_id, target))
                missing[target] -= 1
            continue
        if missing.get(vm.pool, 0) >= 0:
            continue
        if is_needed and vm.idle_seconds >= LEND_IDLE_SECONDS:
            moves.append(PoolMove(vm.vm_id, target))
            missing[target] -= 1
            missing[vm.pool] += 1
        elif spare and vm.idle_seconds >= IDLE_SECONDS:
            moves.append(PoolMove(vm.vm_id, spare))
            missing[vm.pool] += 1
    return moves
