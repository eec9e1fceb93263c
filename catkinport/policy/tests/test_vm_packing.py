"""Tests of placing tasks on VMs one by one."""

import random

from .. import vm_packing
from ..resources import Resources
from ..vm_packing import OrderedRooms, count_new_vms, pack_tasks
from ..worker_choice import CandidateWorker, TaskNeed

VM_CAPACITY = Resources(64.0, 128.0, 0)


def make_task(memory_gb, step="s", **fields):
    return TaskNeed(step, Resources(8.0, memory_gb, 0), **fields)


def make_rooms(*free_gb):
    return {
        f"m{i}": CandidateWorker(f"m{i}", ("a",), Resources(64.0, memory_gb, 0))
        for i, memory_gb in enumerate(free_gb)
    }


class TestPacking:
    # Guards against a task without a VM because the sum of what is free suffices.
    def test_free_parts_of_several_vms_are_no_room_for_a_large_task(self):
        packing = pack_tasks([make_task(90.0)], make_rooms(60.0, 60.0, 60.0))
        assert len(packing.unplaced) == 1
        assert packing.vm_ids == frozenset()

    # Guards against small tasks that take the only room of a large one.
    def test_large_tasks_are_placed_first(self):
        tasks = [make_task(20.0, "small"), make_task(90.0, "large")]
        packing = pack_tasks(tasks, make_rooms(100.0, 30.0))
        assert packing.unplaced == ()

    # Guards against an order by which small tasks come first, as a worker with a shrunk
    # capacity makes the sum of what is free negative.
    def test_large_tasks_are_placed_first_beside_a_shrunk_worker(self):
        tasks = [make_task(gb, f"s{gb}") for gb in (20.0, 90.0, 100.0)]
        packing = pack_tasks(tasks, make_rooms(100.0, 120.0, -300.0))
        assert packing.unplaced == ()

    # Guards against tasks of one step that are skipped because another step's did not
    # fit.
    def test_a_step_without_room_does_not_stop_another(self):
        tasks = [make_task(90.0, "large"), make_task(20.0, "small")]
        packing = pack_tasks(tasks, make_rooms(30.0))
        assert [task.step for task in packing.unplaced] == ["large"]
        assert packing.vm_ids == {"m0"}

    def test_limit_of_a_step_per_worker_holds(self):
        tasks = [make_task(20.0, max_per_worker=1)] * 3
        packing = pack_tasks(tasks, make_rooms(128.0, 128.0))
        assert len(packing.unplaced) == 1


class TestNewVms:
    def test_each_task_of_more_than_half_a_vm_needs_one(self):
        assert count_new_vms([make_task(90.0)] * 5, VM_CAPACITY, ()) == 5

    def test_smaller_tasks_share_vms(self):
        assert count_new_vms([make_task(40.0)] * 7, VM_CAPACITY, ()) == 3

    # Guards against VMs without end for a task that fits on none.
    def test_tasks_larger_than_a_vm_are_not_counted(self):
        tasks = [make_task(200.0, "huge"), make_task(40.0)]
        assert count_new_vms(tasks, VM_CAPACITY, ()) == 1
        assert (
            count_new_vms([make_task(40.0, required_label="b")], VM_CAPACITY, ()) == 0
        )


class TestManySteps:
    def test_full_vms_are_tried_once_for_each_need(self, monkeypatch):
        """Guards against a plan that tries all VMs for each step of a large fleet.

        A third of 4,800 lasting tasks that had to leave a zone took 0.16 s in a round.
        """
        tried = []
        fits = vm_packing.fits
        monkeypatch.setattr(
            vm_packing,
            "fits",
            lambda task, room: tried.append(room) or fits(task, room),
        )
        tasks = [make_task(90.0, f"s{number}") for number in range(50)]
        packing = pack_tasks(tasks, make_rooms(*[60.0] * 200, *[100.0] * 40))
        assert len(packing.vm_ids) == 40
        assert len(packing.unplaced) == 10
        assert len(tried) < 400


class TestOrderedRooms:
    def test_tasks_are_placed_as_by_packing_one_by_one(self):
        """Guards against tasks that get other rooms than those of `pack_tasks`."""
        rng = random.Random(1)
        sizes = [rng.uniform(20.0, 128.0) for _ in range(30)]
        packed_rooms, rooms = make_rooms(*sizes), make_rooms(*sizes)
        ordered = OrderedRooms(rooms.values())
        for _ in range(80):
            task = make_task(rng.uniform(5.0, 60.0))
            is_placed = not pack_tasks([task], packed_rooms).unplaced
            assert ordered.take(task) == is_placed
            free_gb = [room.memory_gb for room in rooms.values()]
            assert free_gb == [room.memory_gb for room in packed_rooms.values()]
