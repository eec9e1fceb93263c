"""Places tasks on VMs one by one, to find those that fit on none.

The sum of free resources is no measure of the room for large tasks: three VMs with
60 GB free each have no room for a task of 90 GB. Variables named ``room`` hold a VM
with its free resources.
"""

from bisect import insort
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .resources import Resources, dominant_share, total
from .worker_choice import CandidateWorker, TaskNeed, fits, has_free_resources


class Packing(NamedTuple):
    """Result of placing tasks on VMs.

    Args:
        vm_ids: VMs on which at least one task was placed.
        unplaced: tasks that fit on none of the VMs.
    """

    vm_ids: frozenset[str]
    unplaced: tuple[TaskNeed, ...]


def pack_tasks(
    tasks: Sequence[TaskNeed], room_by_vm: Mapping[str, CandidateWorker]
) -> Packing:
    """Place tasks on VMs, the largest first, each on the first VM where it fits.

    VMs without accelerators and those with the least free cores are tried first. What
    the tasks take is subtracted from the rooms.

    Example:
        >>> rooms = {"m1": CandidateWorker("m1", (), Resources(64.0, 128.0, 0))}
        >>> task = TaskNeed("s", Resources(8.0, 90.0, 0))
        >>> packing = pack_tasks([task, task], rooms)
        >>> sorted(packing.vm_ids), len(packing.unplaced)
        (['m1'], 1)
    """
    rooms = sorted(room_by_vm.items(), key=lambda item: _room_order(item[1]))
    free = total(_free_resources(room) for _, room in rooms)
    vm_ids = set()
    unplaced = []
    # All tasks of a step need the same, so a VM without room for one has none for the
    # next.
    first_by_step: dict[str, int] = {}
    # Tasks of other steps with the same need skip the VMs that are full for it.
    first_by_need: dict[tuple[Resources, bool], int] = {}
    for task in sorted(tasks, key=lambda task: -dominant_share(task.need, free)):
        kind = task.need, task.is_filler
        first = first_by_need.get(kind, 0)
        while first < len(rooms) and not has_free_resources(task, rooms[first][1]):
            first += 1
        first_by_need[kind] = first
        index = max(first, first_by_step.get(task.step, 0))
        while index < len(rooms) and not fits(task, rooms[index][1]):
            index += 1
        first_by_step[task.step] = index
        if index == len(rooms):
            unplaced.append(task)
            continue
        vm_id, room = rooms[index]
        room.take(task)
        vm_ids.add(vm_id)
    return Packing(frozenset(vm_ids), tuple(unplaced))


class OrderedRooms:
    """VMs that take tasks one by one, each on the first VM where it fits.

    The VMs are tried in the order of `pack_tasks`, which sorts them at each call.

    Args:
        rooms: the VMs; what the tasks take is subtracted from them.
    """

    def __init__(self, rooms: Iterable[CandidateWorker]) -> None:
        self._rooms = sorted(rooms, key=_room_order)

    def take(self, task: TaskNeed) -> bool:
        """Place a task; return whether it fits on one of the VMs."""
        for index, room in enumerate(self._rooms):
            if fits(task, room):
                del self._rooms[index]
                room.take(task)
                insort(self._rooms, room, key=_room_order)
                return True
        return False


def count_new_vms(
    tasks: Sequence[TaskNeed], capacity: Resources, labels: tuple[str, ...]
) -> int:
    """Return how many empty VMs the tasks need.

    Tasks that do not fit on an empty VM are not counted, as more VMs do not help them.

    Args:
        tasks: the tasks.
        capacity: resources of each VM.
        labels: labels of each VM.

    Example:
        >>> task = TaskNeed("s", Resources(8.0, 90.0, 0))
        >>> count_new_vms([task, task], Resources(64.0, 128.0, 0), ())
        2
    """
    n_vms = 0
    waiting = tuple(tasks)
    while waiting:
        packing = pack_tasks(waiting, {"": CandidateWorker("", labels, capacity)})
        if not packing.vm_ids:
            break
        n_vms += 1
        waiting = packing.unplaced
    return n_vms


def _room_order(room: CandidateWorker) -> tuple[float, ...]:
    return (room.accelerators, room.cores, room.memory_gb)


def _free_resources(room: CandidateWorker) -> Resources:
    # The runs on a worker whose capacity has shrunk may take more than it has now.
    return Resources(
        max(0.0, room.cores), max(0.0, room.memory_gb), max(0.0, room.accelerators)
    )
