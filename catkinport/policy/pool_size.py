"""Decides how many VMs of each pool are on.

Pattern: each queue in turn asks several times its mean for a few seconds, more than its
pool holds, and almost nothing in between. VMs follow the turn: a pool that rests lends
its idle VMs or switches them off; a pool whose turn may come keeps its own on.
"""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

REST_IDLE_SECONDS = 0.4
"""A VM of a resting pool is given up when it has been idle for so long."""

SURPLUS_IDLE_SECONDS = 2.5
"""A VM beyond the pool's own is given up when it has been idle for so long: two moves
cost as much as about two seconds of an idle VM."""

WAITING_FRACTION = 0.5
"""Part of its own VMs that a pool keeps on before its turn. The slack of a job's
objective covers the time in which the others come."""

TURN_FACTOR = 1.25
"""VMs that a pool gets at once when its turn begins, as a multiple of its own: a turn
asks more than the pool holds, and a VM takes two seconds to come."""

WAITING_WORK_FACTOR = 0.7
"""Part of the cores asked for by waiting tasks that is brought in. The rest is done by
the time that a VM takes to come."""


class PoolView(NamedTuple):
    """A pool as it stands.

    Args:
        name: name of the pool.
        is_spare: whether its VMs are off.
        busy_cores: cores of what runs.
        waiting_cores: cores of what could start and has no worker yet.
        vm_cores: cores of one VM.
        own_vms: VMs that the pool had at first.
        n_vms: VMs that are on or on their way.
        may_rest: whether its turn is over and its next one not near.
        is_busy: whether it is its turn.
    """

    name: str
    is_spare: bool
    busy_cores: float
    waiting_cores: float
    vm_cores: float
    own_vms: int
    n_vms: int
    may_rest: bool = False
    is_busy: bool = False


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
        >>> wanted_vms(PoolView("p", False, 64.0, 64.0, 64.0, own_vms=1, n_vms=1))
        2
    """
    cores = view.busy_cores + view.waiting_cores * WAITING_WORK_FACTOR
    n_vms = int(-(-cores // view.vm_cores)) if view.vm_cores else 0
    if view.may_rest:
        return max(n_vms, 1)
    if view.is_busy:
        return max(n_vms, math.ceil(view.own_vms * TURN_FACTOR))
    return max(n_vms, math.ceil(view.own_vms * WAITING_FRACTION))


def choose_moves(
    pool_by_name: Mapping[str, PoolView], idle_vms: Sequence[IdleVm]
) -> list[PoolMove]:
    """Choose which idle VMs change their pool now.

    VMs that are off are taken first, then idle ones of pools with VMs to spare.
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
        may_rest = pool_by_name[vm.pool].may_rest
        least_idle = REST_IDLE_SECONDS if may_rest else SURPLUS_IDLE_SECONDS
        if is_needed and vm.idle_seconds >= REST_IDLE_SECONDS:
            moves.append(PoolMove(vm.vm_id, target))
            missing[target] -= 1
            missing[vm.pool] += 1
        elif spare and vm.idle_seconds >= least_idle:
            moves.append(PoolMove(vm.vm_id, spare))
            missing[vm.pool] += 1
    return moves
