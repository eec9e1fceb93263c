"""Tests of packing by the shapes of tasks that wait."""

from hypothesis import given
from hypothesis import strategies as st

from ..resources import Resources
from ..waiting_shapes import WaitingShapes
from ..worker_choice import CandidateWorker, TaskNeed, choose_worker


def make_shapes(*needs: Resources) -> WaitingShapes:
    shapes = WaitingShapes()
    for need in needs:
        shapes.note(need, 1)
    shapes.end_pass()
    return shapes


def choose(need: Resources, shapes: WaitingShapes, **free_by_id: Resources) -> str:
    rooms = [CandidateWorker(name, (), free) for name, free in free_by_id.items()]
    room = choose_worker(
        TaskNeed("s", need),
        rooms,
        lambda room: shapes.added_waste(need, room.cores, room.memory_gb),
    )
    assert room is not None
    return room.worker_id


class TestPacking:
    def test_task_leaves_room_of_a_size_that_waits(self):
        """Guards against rests of cores that no waiting task fits into.

        Best fit takes the worker with 7 cores, of which 1 would stay idle.
        """
        shapes = make_shapes(Resources(7.0, 7.0, 0), Resources(3.0, 3.0, 0))
        free = {"w1": Resources(7.0, 64.0, 0), "w2": Resources(10.0, 64.0, 0)}
        assert choose(Resources(3.0, 3.0, 0), shapes, **free) == "w2"

    def test_task_with_much_memory_does_not_strand_cores(self):
        """Guards against memory filled on a worker whose free cores others need."""
        shapes = make_shapes(Resources(4.0, 8.0, 0))
        free = {"w1": Resources(8.0, 32.0, 0), "w2": Resources(9.0, 64.0, 0)}
        assert choose(Resources(1.0, 30.0, 0), shapes, **free) == "w2"

    def test_nothing_that_waits_leaves_best_fit(self):
        """Guards against another choice of workers in a pool without a queue."""
        free = {"w1": Resources(7.0, 64.0, 0), "w2": Resources(10.0, 64.0, 0)}
        assert choose(Resources(3.0, 3.0, 0), make_shapes(), **free) == "w1"

    @given(
        st.lists(st.floats(0.001, 64.0), max_size=6),
        st.floats(0.0, 64.0),
        st.floats(0.0, 256.0),
    )
    def test_waste_is_part_of_the_free_cores(self, sizes, cores, memory_gb):
        """Guards against endless work or absurd values for unusual needs."""
        shapes = make_shapes(*(Resources(size, size, 0) for size in sizes))
        assert -0.01 <= shapes.unusable_cores(cores, memory_gb) <= cores + 0.01
