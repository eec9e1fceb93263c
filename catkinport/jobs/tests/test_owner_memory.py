"""What a successor learns from the former owner's row."""

from ...policy.turns import TurnTracker
from ..dispatcher import Dispatcher
from ..owner_memory import build_memory, restore_memory
from .builders import POOL, QUEUE, make_configuration


class Owner:
    def __init__(self):
        self.dispatcher = Dispatcher(make_configuration())
        self.turns = TurnTracker({POOL: 100.0, "other": 100.0})

    def hand_over(self, now, later):
        """Return a successor that starts at ``later`` of its own clock."""
        value = build_memory(self.dispatcher, self.turns, now)
        successor = Owner()
        restore_memory(value, successor.dispatcher, successor.turns, later)
        return successor


class TestHandOver:
    def test_a_turn_goes_on_after_a_change_of_the_owner(self):
        """Guards against VMs that are switched off in the middle of a turn."""
        owner = Owner()
        owner.turns.add_arrival(POOL, 200.0, 10.0)
        owner.turns.update(10.1)
        successor = owner.hand_over(10.1, later=500.0)
        successor.turns.update(500.1)
        assert successor.turns.is_busy(POOL)
        successor.turns.update(503.0)
        assert not successor.turns.is_busy(POOL)

    def test_a_pool_that_rests_goes_on_resting(self):
        owner = Owner()
        for at in range(4):
            owner.turns.add_arrival(POOL, 200.0, 10.0 + at)
            owner.turns.update(10.1 + at)
        owner.turns.update(16.0)
        assert owner.turns.may_rest(POOL, 16.0, 1.5)
        successor = owner.hand_over(16.0, later=500.0)
        assert successor.turns.may_rest(POOL, 500.0, 1.5)

    def test_durations_are_kept(self):
        owner = Owner()
        for _ in range(100):
            owner.dispatcher.outlook.durations_of(QUEUE).learn(0.5, 2.0)
        successor = owner.hand_over(10.0, later=500.0)
        assert successor.dispatcher.outlook.durations_of(QUEUE).predict(0.5) > 1.8

    def test_a_row_that_cannot_be_read_is_left_aside(self):
        successor = Owner()
        restore_memory({"turns": 3}, successor.dispatcher, successor.turns, 0.0)
        assert not successor.turns.is_busy(POOL)
