"""Tests of the pauses of the garbage collector."""

import gc

import pytest

from ..collector_pauses import exempt_living_objects, visit_all_objects


class TestExemptObjects:
    N_OBJECTS = 5000

    @pytest.fixture(autouse=True)
    def none_exempt_afterwards(self):
        yield
        visit_all_objects()

    def test_it_collects_again_after_an_error(self):
        """Guards against a daemon whose memory grows after a load that failed."""
        with pytest.raises(ValueError, match="broken row"), exempt_living_objects():
            assert not gc.isenabled()
            raise ValueError("broken row")
        assert gc.isenabled()

    def test_no_collection_visits_them_after_the_context(self):
        """Guards against a loop that stands still after the load of a large state.

        The first collection visited all that was loaded, 0.2 s for 240,000 tasks.
        """
        n_visited = []

        def count_visited(phase, info):
            if phase == "start":
                n_visited.append(len(gc.get_objects(info["generation"])))

        gc.callbacks.append(count_visited)
        try:
            with exempt_living_objects():
                state = [[] for _ in range(self.N_OBJECTS)]
            # Enough objects for a collection of the youngest generation.
            later = [[] for _ in range(2 * gc.get_threshold()[0])]
        finally:
            gc.callbacks.remove(count_visited)
        assert len(state) + len(later) > self.N_OBJECTS
        assert n_visited
        assert max(n_visited) < self.N_OBJECTS

    def test_they_are_visited_again_after_the_ownership(self):
        """Guards against a state that stays in memory after its ownership."""
        with exempt_living_objects():
            pass
        assert gc.get_freeze_count() > 0
        visit_all_objects()
        assert gc.get_freeze_count() == 0
