"""Tests of the statistics that a successor restores from the former owner's row."""

from ...policy.turns import TurnTracker
from ..dispatch.dispatcher import Dispatcher
from ..ownership.owner_memory import build_memory, restore_memory
from .builders import POOL, QUEUE, make_configuration


class Owner:
    def __init__(self):
        self.dispatcher = Dispatcher(make_configuration())
        self.turns = TurnTracker({POOL: 100.0, "other": 100.0})

    def hand_over(self, now, successor_now):
        """Return a successor whose clock shows ``successor_now`` when it restores."""
        value = build_memory(self.dispatcher, self.turns, now)
        successor = Owner()
        restore_memory(value, successor.dispatcher, successor.turns, successor_now)
        return successor


class TestHandOver:
    def test_a_turn_continues_after_a_change_of_the_owner(self):
        """Guards against a new owner that switches VMs off during a pool's turn."""
        owner = Owner()
        owner.turns.add_arrival(POOL, 200.0, 10.0)
        owner.turns.update(10.1)
        successor = owner.hand_over(10.1, successor_now=500.0)
        successor.turns.update(500.1)
        assert successor.turns.is_busy(POOL)
        successor.turns.update(503.0)
        assert not successor.turns.is_busy(POOL)

    def test_a_resting_pool_rests_after_a_change_of_the_owner(self):
        """Guards against VMs that a new owner keeps on for a pool that rests."""
        owner = Owner()
        for at in range(4):
            owner.turns.add_arrival(POOL, 200.0, 10.0 + at)
            owner.turns.update(10.1 + at)
        owner.turns.update(16.0)
        assert owner.turns.may_rest(POOL, 16.0, 1.5)
        successor = owner.hand_over(16.0, successor_now=500.0)
        assert successor.turns.may_rest(POOL, 500.0, 1.5)

    def test_learned_durations_are_restored(self):
        """Guards against a new owner that estimates durations as if it knew none."""
        owner = Owner()
        for _ in range(100):
            owner.dispatcher.estimates.durations_of(QUEUE).learn(0.5, 2.0)
        successor = owner.hand_over(10.0, successor_now=500.0)
        assert successor.dispatcher.estimates.durations_of(QUEUE).predict(0.5) > 1.8

    def test_a_row_that_cannot_be_decoded_is_ignored(self):
        """Guards against a malformed row that keeps a new owner from starting."""
        successor = Owner()
        restore_memory({"turns": 3}, successor.dispatcher, successor.turns, 0.0)
        assert not successor.turns.is_busy(POOL)
