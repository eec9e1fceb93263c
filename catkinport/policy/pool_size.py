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


LATE_WORK_FACTOR = 0.2
"""The same for jobs that will be late whatever is done. They go on, but VMs that are
brought in for them cost more than their callers gain."""


class PoolView(NamedTuple):
    """A pool as it stands.

    Args:
        name: name of the pool.
        is_spare: whether its VMs are off.
        busy_cores: cores of what runs.
        waiting_cores: cores of what could start for jobs that can still be on time
            and has no worker yet.
        vm_cores: cores of one VM.
        own_vms: VMs that the pool had at first.
        n_vms: VMs that are on or on their way.
        may_rest: whether its turn is over and its next one not near.
        is_busy: whether it is its turn.
        urgent_cores: cores of what runs for jobs that can still be on time.
        late_cores: cores of what could start for other jobs.
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
    urgent_cores: float = 0.0
    late_cores: float = 0.0


class IdleVm(NamedTuple):
    """A VM on which nothing runs.

    Args:
        vm_id: the VM.
        pool: its pool.
        idle_seconds: for how long nothing has run on it.
        is_off: whether it is in the spare pool.
        is_yielding: whether it was kept free for a pool that needs it more.
    """

    vm_id: str
    pool: str
    idle_seconds: float
    is_off: bool
    is_yielding: bool = False


class BusyVm(NamedTuple):
    """A VM on which something runs that ends by itself.

    Args:
        vm_id: the VM.
        pool: its pool.
        busy_cores: cores of what runs.
        is_yielding: whether it is kept free already.
    """

    vm_id: str
    pool: str
    busy_cores: float
    is_yielding: bool = False


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
    cores = (
        view.busy_cores
        + view.waiting_cores * WAITING_WORK_FACTOR
        + view.late_cores * LATE_WORK_FACTOR
    )
    n_vms = math.ceil(cores / view.vm_cores) if view.vm_cores else 0
    if view.may_rest:
        return max(n_vms, 1)
    if view.is_busy:
        return max(n_vms, math.ceil(view.own_vms * TURN_FACTOR))
    return max(n_vms, math.ceil(view.own_vms * WAITING_FRACTION))


def urgent_vms(view: PoolView) -> int:
    """Return how many VMs the pool needs for jobs that can still be on time.

    Example:
        >>> view = PoolView("p", False, 640.0, 0.0, 64.0, 2, 10, urgent_cores=64.0)
        >>> urgent_vms(view)
        1
    """
    cores = view.urgent_cores + view.waiting_cores * WAITING_WORK_FACTOR
    n_vms = math.ceil(cores / view.vm_cores) if view.vm_cores else 0
    return max(n_vms, view.own_vms if view.is_busy else 1)


def choose_yields(
    pool_by_name: Mapping[str, PoolView], vms: Sequence[BusyVm], n_free: int
) -> set[str]:
    """Choose the VMs that take no more tasks, so that another pool gets them.

    A pool whose turn is over, or whose jobs are late anyway, would keep its VMs busy
    while the next pool's jobs, which can still be on time, wait for one.

    Args:
        pool_by_name: the pools.
        vms: VMs that are on and not idle.
        n_free: VMs that can be moved at once.
    """
    pools = [pool for pool in pool_by_name.values() if not pool.is_spare]
    missing = sum(max(0, urgent_vms(pool) - pool.n_vms) for pool in pools) - n_free
    surplus = {pool.name: pool.n_vms - urgent_vms(pool) for pool in pools}
    yields: set[str] = set()
    for vm in sorted(vms, key=lambda vm: (not vm.is_yielding, vm.busy_cores)):
        if missing <= 0:
            break
        if surplus.get(vm.pool, 0) > 0:
            surplus[vm.pool] -= 1
            missing -= 1
            yields.add(vm.vm_id)
    return yields


def choose_moves(
    pool_by_name: Mapping[str, PoolView], idle_vms: Sequence[IdleVm]
) -> list[PoolMove]:
    """Choose which idle VMs change their pool now.

    VMs that are off are taken first, then idle ones of pools with VMs to spare. Pools
    whose jobs can still be on time come before others.
    """
    spare = next((p.name for p in pool_by_name.values() if p.is_spare), "")
    pools = [pool for pool in pool_by_name.values() if not pool.is_spare]
    missing = {pool.name: wanted_vms(pool) - pool.n_vms for pool in pools}
    urgent = {pool.name: urgent_vms(pool) - pool.n_vms for pool in pools}
    moves = []

    def move(vm: IdleVm, target: str) -> None:
        moves.append(PoolMove(vm.vm_id, target))
        for counts in (missing, urgent):
            # The spare pool needs no VMs, so it is in neither.
            if target in counts:
                counts[target] -= 1
            if vm.pool in counts:
                counts[vm.pool] += 1

    for vm in sorted(idle_vms, key=lambda vm: (not vm.is_off, -vm.idle_seconds)):
        target = _neediest(urgent) or _neediest(missing)
        if vm.is_off:
            if target:
                move(vm, target)
            continue
        is_urgent = bool(target) and urgent[target] > 0
        if vm.is_yielding and is_urgent and urgent[vm.pool] < 0:
            move(vm, target)
            continue
        if missing.get(vm.pool, 0) >= 0:
            continue
        may_rest = pool_by_name[vm.pool].may_rest
        least_idle = REST_IDLE_SECONDS if may_rest else SURPLUS_IDLE_SECONDS
        if target and vm.idle_seconds >= REST_IDLE_SECONDS:
            move(vm, target)
        elif spare and vm.idle_seconds >= least_idle:
            move(vm, spare)
    return moves


def _neediest(missing: Mapping[str, int]) -> str:
    """Return the pool that lacks most VMs; empty if none lacks any."""
    name = max(missing, key=lambda name: missing[name], default="")
    return name if name and missing[name] > 0 else ""
