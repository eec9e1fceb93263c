"""Tests of the pauses of the garbage collector."""

import gc

import pytest

from ..collector_pauses import (
    collector_stopped,
    exempt_living_objects,
    visit_all_objects,
)


class TestStoppedCollector:
    def test_it_collects_again_after_an_error(self):
        """Guards against a daemon whose memory grows after a load that failed."""
        with pytest.raises(ValueError, match="broken row"), collector_stopped():
            assert not gc.isenabled()
            raise ValueError("broken row")
        assert gc.isenabled()


class TestExemptObjects:
    def test_they_are_visited_again_after_the_ownership(self):
        """Guards against a state that stays in memory after its ownership."""
        exempt_living_objects()
        assert gc.get_freeze_count() > 0
        visit_all_objects()
        assert gc.get_freeze_count() == 0
