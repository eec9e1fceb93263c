"""Finds room for the lasting tasks that wait, in their pool or on VMs moved to it.

A lasting task that finds no room in its pool gets a VM however large the pool is: its
need of one resource, mostly memory, may take a whole VM while the pool's cores suffice.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from ...policy.pool_size import PoolMove
from ...policy.resources import NO_RESOURCES, Resources, add, scale, total
from ...policy.vm_packing import OrderedRooms, count_new_vms, pack_tasks
from ...policy.worker_choice import CandidateWorker, TaskNeed
from ...ports.fleet_vms import FleetVm, VmState
from ..dispatch.dispatcher import Dispatcher
from ..placement.account_usage import is_within_limit, usage_by_account
from ..placement.task_needs import task_need
from ..workers.run import Run
from ..workers.worker_state import WorkerRecord
from .lasting_waits import LastingWait
from .vm_inventory import VmInventory

MAX_ARRIVAL_SECONDS = 3.0
"""A VM counts as room from its move until it has a worker, but no longer than this
after the time that a move takes."""


_NOTHING_AHEAD: Mapping[str, Sequence[TaskNeed]] = {}


class LastingPlan(NamedTuple):
    """VMs for the lasting tasks that wait.

    Args:
        kept_vms: VMs of the tasks' own pools that have room for them, which therefore
            stay where they are and get tasks.
        moves: VMs to move to the tasks' pools.
        n_missing_by_pool: VMs that each pool needs besides and that are not free yet.
        released_vms: reserved VMs that have the only room for a task that waits.
    """

    kept_vms: frozenset[str] = frozenset()
    moves: Sequence[PoolMove] = ()
    n_missing_by_pool: Mapping[str, int] = {}
    released_vms: frozenset[str] = frozenset()


class _PoolNeeds(NamedTuple):
    """Tasks of a pool that fit on none of its VMs.

    Args:
        waiting: tasks without a worker.
        leaving: tasks that have to leave a VM before its upkeep, or their zone.
    """

    waiting: Sequence[TaskNeed]
    leaving: Sequence[TaskNeed]


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
        leaving: Sequence[Run],
        movable: Sequence[FleetVm],
        now: float,
    ) -> LastingPlan:
        """Find room for tasks that wait, then for those that have to leave a VM.

        Args:
            waits_by_pool: waiting tasks of each pool.
            leaving: runs to stop before the upkeep of their VM, and those in evacuated
                zones.
            movable: idle VMs that may move to any pool; the first are taken first.
            now: clock time in seconds.
        """
        self._forget_arrivals(now)
        kept_vms: set[str] = set()
        unplaced_by_pool: dict[str, _PoolNeeds] = {}
        usage = usage_by_account(self._dispatcher) if waits_by_pool else {}
        leaving_by_pool = self._needs_by_pool(leaving)
        for pool in sorted({*waits_by_pool, *leaving_by_pool}):
            # A new owner does not know yet what room the other workers have.
            if not self._dispatcher.is_pool_resolved(pool):
                continue
            rooms = self._pool_rooms(pool, now)
            needs = list(self._needs_within_limit(waits_by_pool.get(pool, ()), usage))
            waiting = pack_tasks(needs, rooms)
            left = pack_tasks(leaving_by_pool.get(pool, ()), rooms)
            kept_vms |= waiting.vm_ids | left.vm_ids
            unplaced_by_pool[pool] = _PoolNeeds(waiting.unplaced, left.unplaced)
        return self._plan_moves(frozenset(kept_vms), unplaced_by_pool, movable, now)

    def find_placeable(
        self,
        runs: Sequence[Run],
        now: float,
        ahead_by_pool: Mapping[str, Sequence[TaskNeed]] = _NOTHING_AHEAD,
        max_runs: int | None = None,
    ) -> list[Run]:
        """Return those of the runs whose tasks have room on another VM right now.

        Each gets room of its own. VMs on their way do not count.

        Args:
            runs: lasting runs that are to end.
            now: clock time in seconds.
            ahead_by_pool: needs of tasks of each pool that get room before the runs.
            max_runs: most runs to return; ``None`` for all.
        """
        rooms_by_pool: dict[str, OrderedRooms] = {}
        placeable: list[Run] = []
        # The rooms only shrink, so a need that fits nowhere is not tried again.
        unplaceable: set[tuple[str, TaskNeed]] = set()
        for run in runs:
            if len(placeable) == max_runs:
                break
            pool = self._dispatcher.worker_by_id[run.worker_id].listed.pool
            if pool not in rooms_by_pool:
                rooms = self._usable_rooms(pool, now)
                if ahead_by_pool.get(pool):
                    pack_tasks(ahead_by_pool[pool], rooms)
                rooms_by_pool[pool] = OrderedRooms(rooms.values())
            need = task_need(run.task)
            kind = pool, need._replace(task="", avoided_worker="")
            if kind in unplaceable:
                continue
            if rooms_by_pool[pool].take(need):
                placeable.append(run)
            else:
                unplaceable.add(kind)
        return placeable

    def _needs_by_pool(self, runs: Sequence[Run]) -> dict[str, list[TaskNeed]]:
        needs_by_pool: dict[str, list[TaskNeed]] = {}
        for run in runs:
            pool = self._dispatcher.worker_by_id[run.worker_id].listed.pool
            needs_by_pool.setdefault(pool, []).append(task_need(run.task))
        return needs_by_pool

    def _plan_moves(
        self,
        kept_vms: frozenset[str],
        unplaced_by_pool: Mapping[str, _PoolNeeds],
        movable: Sequence[FleetVm],
        now: float,
    ) -> LastingPlan:
        free_by_vm = {vm.vm_id: vm for vm in movable if vm.vm_id not in kept_vms}
        moves: list[PoolMove] = []
        n_missing_by_pool: dict[str, int] = {}
        released_vms: set[str] = set()
        for pool, unplaced in unplaced_by_pool.items():
            rooms = {
                vm_id: CandidateWorker(vm_id, vm.labels, vm.capacity)
                for vm_id, vm in free_by_vm.items()
                if vm.pool != pool
            }
            waiting = pack_tasks(unplaced.waiting, rooms)
            leaving = pack_tasks(unplaced.leaving, rooms)
            for vm_id in sorted(waiting.vm_ids | leaving.vm_ids):
                moves.append(PoolMove(vm_id, pool))
                del free_by_vm[vm_id]
            left = pack_tasks(waiting.unplaced, self._reserved_rooms(pool, now))
            released_vms |= left.vm_ids
            n_missing = self._count_missing([*left.unplaced, *leaving.unplaced])
            if n_missing:
                n_missing_by_pool[pool] = n_missing
        return LastingPlan(kept_vms, moves, n_missing_by_pool, frozenset(released_vms))

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
        rooms = self._usable_rooms(pool, now)
        for vm_id, vm in self._inventory.vm_by_id.items():
            if self._inventory.pool_of(vm) != pool or vm_id in rooms:
                continue
            if vm.state is VmState.DOWN or self._inventory.is_evacuated(vm):
                continue
            if vm.state is VmState.MOVING or vm_id in self._moved_at_by_vm:
                rooms[vm_id] = CandidateWorker(vm_id, vm.labels, vm.capacity)
        return rooms

    def _usable_rooms(self, pool: str, now: float) -> dict[str, CandidateWorker]:
        rooms: dict[str, CandidateWorker] = {}
        for vm_id, vm in self._inventory.vm_by_id.items():
            worker = self._inventory.worker_on(vm_id)
            if worker is None or self._inventory.pool_of(vm) != pool:
                continue
            if worker.is_usable(now) and not self._inventory.is_evacuated(vm):
                rooms[vm_id] = _worker_room(worker)
        return rooms

    def _reserved_rooms(self, pool: str, now: float) -> dict[str, CandidateWorker]:
        """Return the room of VMs that are reserved for upkeep but not ordered down."""
        rooms: dict[str, CandidateWorker] = {}
        for vm_id in self._inventory.reserved:
            vm = self._inventory.vm_by_id.get(vm_id)
            worker = self._inventory.worker_on(vm_id)
            if vm is None or worker is None or vm.pool != pool:
                continue
            if self._inventory.is_evacuated(vm):
                continue
            if self._inventory.is_up(vm) and worker.is_in_contact(now):
                rooms[vm_id] = _worker_room(worker)
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
