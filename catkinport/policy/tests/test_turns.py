"""Tests of turns: the queues have their peaks of demand one after the other."""

from ..turns import TurnTracker

LEAD_SECONDS = 1.5
OWN_CORES = 384.0
TURN_CORES_PER_SECOND = 430.0
QUIET_CORES_PER_SECOND = 20.0


def run_load(tracker: TurnTracker, turns, until: float, step: float = 0.25):
    """Feed the load of ``turns`` (pool, start, end) and yield the time of each step."""
    pools = sorted({pool for pool, _, _ in turns})
    for number in range(int(until / step)):
        now = number * step
        for pool in pools:
            is_turn = any(p == pool and a <= now < b for p, a, b in turns)
            rate = TURN_CORES_PER_SECOND if is_turn else QUIET_CORES_PER_SECOND
            tracker.add_arrival(pool, rate * step, now)
        tracker.update(now)
        yield now


def make_tracker(*pools: str) -> TurnTracker:
    return TurnTracker(dict.fromkeys(pools, OWN_CORES))


class TestTurns:
    def test_turn_is_detected_within_a_second(self):
        """Guards against a pool that is too small for the first seconds of its turn."""
        tracker = make_tracker("a", "b")
        seen_at = [
            now
            for now in run_load(tracker, [("a", 2.0, 10.0)], 10.0)
            if tracker.is_busy("a")
        ]
        assert seen_at[0] <= 3.0

    def test_pool_rests_after_its_turn_until_the_others_have_had_theirs(self):
        """Guards against idle VMs that stay on, and against VMs that return late."""
        tracker = make_tracker("a", "b")
        turns = [("a", 0.0, 8.0), ("b", 9.0, 17.0)]
        rests = {
            now: tracker.may_rest("a", now, LEAD_SECONDS)
            for now in run_load(tracker, turns, 20.0)
        }
        assert not any(rests[now] for now in rests if now < 8.0)
        assert all(rests[now] for now in rests if 10.0 <= now <= 17.0)
        assert not rests[19.0]

    def test_pool_that_has_had_no_turn_does_not_rest(self):
        tracker = make_tracker("a", "b")
        for now in run_load(tracker, [("a", 0.0, 8.0)], 12.0):
            assert not tracker.may_rest("b", now, LEAD_SECONDS)

    def test_short_burst_is_no_turn(self):
        """Guards against a period computed from a burst, with which no pool rests."""
        tracker = make_tracker("a", "b")
        turns = [("a", 0.0, 1.0), ("a", 6.0, 7.0)]
        for _ in run_load(tracker, turns, 12.0):
            pass
        assert tracker.period_seconds is None
        assert not tracker.may_rest("a", 12.0, LEAD_SECONDS)

    def test_pool_stops_resting_before_its_next_turn(self):
        tracker = make_tracker("a")
        turns = [("a", 0.0, 4.0), ("a", 16.0, 20.0)]
        rests = {
            now: tracker.may_rest("a", now, LEAD_SECONDS)
            for now in run_load(tracker, turns, 32.0)
        }
        assert 15.0 <= (tracker.period_seconds or 0) <= 17.0
        assert rests[24.0]
        assert not rests[31.0]

    def test_gap_within_a_turn_makes_no_second_turn(self):
        """Guards against a period that is computed from one interrupted turn.

        When no jobs arrived for a second in the middle of a turn, the resulting period
        of 5.6 s kept all pools on for the rest of the day.
        """
        tracker = make_tracker("a", "b")
        turns = [("a", 0.0, 5.0), ("a", 7.0, 11.0)]
        for _ in run_load(tracker, turns, 20.0):
            pass
        assert tracker.period_seconds is None
        assert tracker.may_rest("a", 20.0, LEAD_SECONDS)

    def test_burst_without_turns_of_others_gives_no_period(self):
        tracker = make_tracker("a", "b")
        turns = [("a", 0.0, 5.0), ("a", 10.0, 15.0), ("b", 19.0, 19.5)]
        for _ in run_load(tracker, turns, 19.0):
            pass
        assert tracker.period_seconds is None
        assert tracker.may_rest("a", 19.0, LEAD_SECONDS)

    def test_pool_without_work_is_not_waited_for(self):
        """Guards against pools that wait for the spare pool, which has no turns."""
        tracker = make_tracker("a", "b", "spare")
        turns = [("a", 0.0, 5.0), ("b", 6.0, 11.0)]
        for _ in run_load(tracker, turns, 14.0):
            pass
        assert not tracker.may_rest("a", 14.0, LEAD_SECONDS)
        assert tracker.may_rest("b", 14.0, LEAD_SECONDS)

    def test_overdue_turn_is_not_waited_for_for_long(self):
        """Guards against a pool that stays on for a turn that does not come."""
        tracker = make_tracker("a", "b")
        turns = [("a", 0.0, 4.0), ("b", 5.0, 9.0), ("a", 16.0, 20.0), ("c", 50.0, 50.0)]
        rests = {
            now: tracker.may_rest("a", now, LEAD_SECONDS)
            for now in run_load(tracker, turns[:3], 44.0)
        }
        assert not rests[32.0]
        assert rests[40.0]
