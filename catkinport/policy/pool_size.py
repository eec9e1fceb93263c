"""Decides how many VMs of each pool are on.

The queues have their peaks of demand one after the other. During its turn, which lasts
a few seconds, a queue asks for several times its mean, more than its pool holds, and
between its turns for almost nothing. VMs are moved accordingly. A pool whose next turn
is not near lends its idle VMs to other pools or switches them off, which is called
resting. A pool whose turn may come keeps some of its own VMs on.

The spare pool holds the VMs that are off; moving a VM there switches it off.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

REST_IDLE_SECONDS = 0.4
"""A surplus VM that has been idle for this long moves to a pool that lacks VMs. If none
does and its own pool is resting, it is switched off."""

SURPLUS_IDLE_SECONDS = 2.5
"""A surplus VM of a pool that does not rest is switched off when it has been idle for
this long. Two moves cost as much as about two seconds of an idle VM."""

BEFORE_TURN_FRACTION = 0.5
"""Fraction of its own VMs that a pool keeps on before its turn, which is the peak of
demand of its queues (see ``policy/turns.py``). The others arrive while jobs can still
wait without missing their objective."""

TURN_FACTOR = 1.25
"""VMs that a pool gets at the start of its turn, as a multiple of its own VMs. A turn
needs more than the pool holds, and a VM takes two seconds to arrive."""

WAITING_WORK_FACTOR = 0.7
"""Fraction of the cores of waiting tasks for which VMs are brought in. The rest of the
tasks is done by the time that a VM takes to arrive."""

LATE_WORK_FACTOR = 0.2
"""The same fraction for jobs that will be late in any case. They continue, but VMs
brought in for them cost more than their callers gain."""


class PoolView(NamedTuple):
    """State of a pool.

    Args:
        name: name of the pool.
        is_spare: whether it is the spare pool, whose VMs are off.
        busy_cores: cores of running tasks.
        waiting_cores: cores of tasks that could start, have no worker yet and belong
            to jobs that can still be on time.
        vm_cores: cores of one VM.
        own_vms: VMs that the pool has when none are lent or switched off.
        n_vms: VMs that are on or are being moved to the pool.
        may_rest: whether its turn is over and its next one is not near.
        is_busy: whether it has its turn now.
        urgent_cores: cores of running tasks of jobs that can still be on time.
        late_cores: cores of tasks that could start and belong to other jobs.
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
    """A VM on which no task runs.

    Args:
        vm_id: id of the VM.
        pool: name of its pool.
        idle_seconds: seconds since the last task ended on it.
        is_off: whether it is in the spare pool.
        is_cordoned: whether it takes no tasks, so that a pool that needs it more can
            get it.
    """

    vm_id: str
    pool: str
    idle_seconds: float
    is_off: bool
    is_cordoned: bool = False


class BusyVm(NamedTuple):
    """A VM on which tasks run that end by themselves.

    Args:
        vm_id: id of the VM.
        pool: name of its pool.
        busy_cores: cores of the running tasks.
        is_cordoned: whether it already takes no new tasks.
    """

    vm_id: str
    pool: str
    busy_cores: float
    is_cordoned: bool = False


class PoolMove(NamedTuple):
    """Move of a VM to another pool."""

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
    return max(n_vms, math.ceil(view.own_vms * BEFORE_TURN_FRACTION))


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


def choose_vms_to_cordon(
    pool_by_name: Mapping[str, PoolView],
    vms: Sequence[BusyVm],
    n_free: int,
    n_lasting_by_pool: Mapping[str, int] | None = None,
) -> set[str]:
    """Choose the VMs that take no more tasks, so that another pool gets them.

    Without this, a pool whose turn is over, or whose jobs are late in any case, would
    keep its VMs busy while jobs of the next pool that can still be on time wait for a
    VM. VMs that were chosen before are chosen first, then those with the fewest busy
    cores.

    Args:
        pool_by_name: all pools by name.
        vms: VMs that are on and not idle.
        n_free: number of VMs that can be moved at once.
        n_lasting_by_pool: VMs that pools need for waiting lasting tasks, which run
            until their job is canceled, and for which no VM that can be moved at once
            has room.

    Returns:
        Ids of the VMs.
    """
    pools = [pool for pool in pool_by_name.values() if not pool.is_spare]
    n_lasting = n_lasting_by_pool or {}
    n_urgent = sum(max(0, urgent_vms(pool) - pool.n_vms) for pool in pools)
    missing = max(0, n_urgent - n_free) + sum(n_lasting.values())
    surplus = {
        pool.name: pool.n_vms - urgent_vms(pool)
        for pool in pools
        if not n_lasting.get(pool.name)
    }
    chosen_ids: set[str] = set()
    for vm in sorted(vms, key=lambda vm: (not vm.is_cordoned, vm.busy_cores)):
        if missing <= 0:
            break
        if surplus.get(vm.pool, 0) > 0:
            surplus[vm.pool] -= 1
            missing -= 1
            chosen_ids.add(vm.vm_id)
    return chosen_ids


def find_lendable_vms(
    pool_by_name: Mapping[str, PoolView], idle_vms: Sequence[IdleVm]
) -> list[IdleVm]:
    """Return the idle VMs that waiting lasting tasks of any pool may get.

    These are VMs that are off, VMs that were cordoned to be moved, and the surplus of
    each pool. VMs that are off come first, then those that have been idle longest.
    """
    lendable = []
    n_lent: Counter[str] = Counter()
    for vm in sorted(idle_vms, key=lambda vm: (not vm.is_off, -vm.idle_seconds)):
        if vm.is_off:
            lendable.append(vm)
            continue
        pool = pool_by_name.get(vm.pool)
        if pool is None:
            continue
        n_needed = urgent_vms(pool) if vm.is_cordoned else wanted_vms(pool)
        is_idle_enough = vm.is_cordoned or vm.idle_seconds >= REST_IDLE_SECONDS
        if is_idle_enough and pool.n_vms - n_lent[vm.pool] > n_needed:
            n_lent[vm.pool] += 1
            lendable.append(vm)
    return lendable


def apply_moves(
    pool_by_name: Mapping[str, PoolView],
    moves: Sequence[PoolMove],
    source_by_vm: Mapping[str, str],
) -> dict[str, PoolView]:
    """Return the pools with the VMs that ``moves`` have moved.

    Args:
        pool_by_name: all pools by name.
        moves: the moves.
        source_by_vm: present pool of each VM.
    """
    views = dict(pool_by_name)
    for move in moves:
        for name, change in ((source_by_vm[move.vm_id], -1), (move.pool, 1)):
            if name in views:
                n_vms = views[name].n_vms + change
                views[name] = views[name]._replace(n_vms=n_vms)
    return views


def choose_moves(
    pool_by_name: Mapping[str, PoolView], idle_vms: Sequence[IdleVm]
) -> list[PoolMove]:
    """Choose which idle VMs move to another pool now.

    VMs that are off are taken first, then idle VMs of pools that have a surplus. Pools
    that need VMs for jobs that can still be on time come before others.
    """
    spare = next((p.name for p in pool_by_name.values() if p.is_spare), "")
    pools = [pool for pool in pool_by_name.values() if not pool.is_spare]
    missing = {pool.name: wanted_vms(pool) - pool.n_vms for pool in pools}
    urgent = {pool.name: urgent_vms(pool) - pool.n_vms for pool in pools}
    moves = []

    def move(vm: IdleVm, target: str) -> None:
        moves.append(PoolMove(vm.vm_id, target))
        for counts in (missing, urgent):
            # Neither has an entry for the spare pool, which needs no VMs.
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
        if vm.is_cordoned and is_urgent and urgent[vm.pool] < 0:
            move(vm, target)
            continue
        if missing.get(vm.pool, 0) >= 0:
            continue
        may_rest = pool_by_name[vm.pool].may_rest
        min_idle_seconds = REST_IDLE_SECONDS if may_rest else SURPLUS_IDLE_SECONDS
        if target and vm.idle_seconds >= REST_IDLE_SECONDS:
            move(vm, target)
        elif spare and vm.idle_seconds >= min_idle_seconds:
            move(vm, spare)
    return moves


def _neediest(missing: Mapping[str, int]) -> str:
    """Return the pool that lacks the most VMs; empty if no pool lacks any."""
    name = max(missing, key=lambda name: missing[name], default="")
    return name if name and missing[name] > 0 else ""
