"""Finds room for the lasting tasks that wait, in their pool or on VMs moved to it.

A lasting task that finds no room in its pool gets a VM however large the pool is: its
need of one resource, mostly memory, may take a whole VM while the pool's cores suffice.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from ..policy.pool_size import PoolMove
from ..policy.resources import NO_RESOURCES, Resources, add, scale, total
from ..policy.vm_packing import count_new_vms, pack_tasks
from ..policy.worker_choice import CandidateWorker, TaskNeed
from ..ports.fleet_vms import FleetVm, VmState
from .account_usage import usage_by_account
from .dispatcher import Dispatcher
from .lasting_waits import LastingWait
from .planner import is_within_limit, task_need
from .vm_inventory import VmInventory
from .worker_state import WorkerRecord

MAX_ARRIVAL_SECONDS = 3.0
"""A VM counts as room from its move until it has a worker, but no longer than this
after the time that a move takes."""


class LastingPlan(NamedTuple):
    """VMs for the lasting tasks that wait.

    Args:
        kept_vms: VMs of the tasks' own pools that have room for them, which therefore
            stay where they are and get tasks.
        moves: VMs to move to the tasks' pools.
        n_missing_by_pool: VMs that each pool needs besides and that are not free yet.
    """

    kept_vms: frozenset[str] = frozenset()
    moves: Sequence[PoolMove] = ()
    n_missing_by_pool: Mapping[str, int] = {}


class LastingRoom:
    """Planner of the VMs for lasting tasks that wait.

    Args:
        dispatcher: jobs and workers.
        inventory: VMs and the orders for them.
    """

    def __init__(self, dispatcher: Dispatcher, inventory: VmInventory) -> None:
        self._dispatcher = dispatcher
        self._inventory = inventory
        self._moved_at_by_vm: dict[str, float] = {}

    def note_move(self, vm_id: str, now: float) -> None:
        """Record that a VM is about to be ordered to another pool."""
        self._moved_at_by_vm[vm_id] = now

    def plan(
        self,
        waits_by_pool: Mapping[str, Sequence[LastingWait]],
        movable: Sequence[FleetVm],
        now: float,
    ) -> LastingPlan:
        """Find room for the waiting tasks.

        Args:
            waits_by_pool: waiting tasks of each pool.
            movable: idle VMs that may move to any pool; the first are taken first.
            now: clock time in seconds.
        """
        self._forget_arrivals(now)
        kept_vms: set[str] = set()
        unplaced_by_pool: dict[str, Sequence[TaskNeed]] = {}
        usage = usage_by_account(self._dispatcher) if waits_by_pool else {}
        for pool, waits in waits_by_pool.items():
            # A new owner does not know yet what room the other workers have.
            if not self._dispatcher.is_pool_resolved(pool):
                continue
            needs = list(self._needs_within_limit(waits, usage))
            packing = pack_tasks(needs, self._pool_rooms(pool, now))
            kept_vms |= packing.vm_ids
            unplaced_by_pool[pool] = packing.unplaced
        return self._plan_moves(frozenset(kept_vms), unplaced_by_pool, movable)

    def _plan_moves(
        self,
        kept_vms: frozenset[str],
        unplaced_by_pool: Mapping[str, Sequence[TaskNeed]],
        movable: Sequence[FleetVm],
    ) -> LastingPlan:
        free_by_vm = {vm.vm_id: vm for vm in movable if vm.vm_id not in kept_vms}
        moves: list[PoolMove] = []
        n_missing_by_pool: dict[str, int] = {}
        for pool, unplaced in unplaced_by_pool.items():
            rooms = {
                vm_id: CandidateWorker(vm_id, vm.labels, vm.capacity)
                for vm_id, vm in free_by_vm.items()
                if vm.pool != pool
            }
            packing = pack_tasks(unplaced, rooms)
            for vm_id in sorted(packing.vm_ids):
                moves.append(PoolMove(vm_id, pool))
                del free_by_vm[vm_id]
            n_missing = self._count_missing(packing.unplaced)
            if n_missing:
                n_missing_by_pool[pool] = n_missing
        return LastingPlan(kept_vms, moves, n_missing_by_pool)

    def _needs_within_limit(
        self, waits: Sequence[LastingWait], usage: dict[str, Resources]
    ) -> Iterator[TaskNeed]:
        """Yield the needs of the tasks that their accounts' limits let start.

        What they need is added to ``usage``.
        """
        for wait in waits:
            name = wait.record.job.account
            account = self._dispatcher.configuration.account_by_name.get(name)
            need = wait.task.step.need
            if is_within_limit(usage, account, need, 1):
                usage[name] = add(usage.get(name, NO_RESOURCES), need)
                yield task_need(wait.task)

    def _pool_rooms(self, pool: str, now: float) -> dict[str, CandidateWorker]:
        """Return the room of each VM of the pool that takes tasks now or soon."""
        rooms: dict[str, CandidateWorker] = {}
        for vm_id, vm in self._inventory.vm_by_id.items():
            if self._inventory.pool_of(vm) != pool:
                continue
            worker = self._inventory.worker_on(vm_id)
            if worker is not None and worker.is_usable(now):
                rooms[vm_id] = _worker_room(worker)
            elif vm.state is VmState.MOVING or vm_id in self._moved_at_by_vm:
                rooms[vm_id] = CandidateWorker(vm_id, vm.labels, vm.capacity)
        return rooms

    def _count_missing(self, tasks: Sequence[TaskNeed]) -> int:
        vms = [vm for vm in self._inventory.vm_by_id.values() if vm.state is VmState.UP]
        if not tasks or not vms:
            return 0
        mean_capacity = scale(total(vm.capacity for vm in vms), 1 / len(vms))
        labels = {label for vm in vms for label in vm.labels}
        return count_new_vms(tasks, mean_capacity, tuple(labels))

    def _forget_arrivals(self, now: float) -> None:
        oldest = now - self._inventory.bounds.move - MAX_ARRIVAL_SECONDS
        moved_at = self._moved_at_by_vm.items()
        self._moved_at_by_vm = {vm: at for vm, at in moved_at if at >= oldest}


def _worker_room(worker: WorkerRecord) -> CandidateWorker:
    room = CandidateWorker(worker.worker_id, worker.listed.labels, worker.free())
    for run in worker.run_by_key.values():
        if run.task.step.is_lasting:
            room.count(task_need(run.task))
    return room
