"""The load of turns: one queue after the other asks several times its mean."""

from ..turns import TurnTracker

LEAD_SECONDS = 1.5
OWN_CORES = 384.0
TURN_CORES_PER_SECOND = 430.0
QUIET_CORES_PER_SECOND = 20.0


def play(tracker: TurnTracker, turns, until: float, step: float = 0.25):
    """Feed the load of ``turns`` (pool, begin, end) and yield each moment."""
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
    def test_turn_is_seen_within_a_second(self):
        """Guards against a pool that is too small for the first seconds of its turn."""
        tracker = make_tracker("a", "b")
        seen_at = [
            now
            for now in play(tracker, [("a", 2.0, 10.0)], 10.0)
            if tracker.is_busy("a")
        ]
        assert seen_at[0] <= 3.0

    def test_pool_rests_after_its_turn_until_the_others_have_had_theirs(self):
        tracker = make_tracker("a", "b")
        turns = [("a", 0.0, 8.0), ("b", 9.0, 17.0)]
        rests = {
            now: tracker.may_rest("a", now, LEAD_SECONDS)
            for now in play(tracker, turns, 20.0)
        }
        assert not any(rests[now] for now in rests if now < 8.0)
        assert all(rests[now] for now in rests if 10.0 <= now <= 17.0)
        assert not rests[19.0]

    def test_pool_that_has_had_no_turn_does_not_rest(self):
        tracker = make_tracker("a", "b")
        for now in play(tracker, [("a", 0.0, 8.0)], 12.0):
            assert not tracker.may_rest("b", now, LEAD_SECONDS)

    def test_short_burst_is_no_turn(self):
        """Guards against a period learnt from a burst, after which no pool rests."""
        tracker = make_tracker("a", "b")
        turns = [("a", 0.0, 1.0), ("a", 6.0, 7.0)]
        for _ in play(tracker, turns, 12.0):
            pass
        assert tracker.period_seconds is None
        assert not tracker.may_rest("a", 12.0, LEAD_SECONDS)

    def test_pool_wakes_before_a_turn_that_repeats(self):
        tracker = make_tracker("a")
        turns = [("a", 0.0, 4.0), ("a", 16.0, 20.0)]
        rests = {
            now: tracker.may_rest("a", now, LEAD_SECONDS)
            for now in play(tracker, turns, 32.0)
        }
        assert 15.0 <= (tracker.period_seconds or 0) <= 17.0
        assert rests[24.0]
        assert not rests[31.0]

    def test_gap_within_a_turn_makes_no_second_turn(self):
        """Guards against a period that is learnt from one interrupted turn.

        The feed of jobs fell silent for a second in the middle of a turn; the period
        of 5.6 s that was learnt from it kept all pools on for the rest of the day.
        """
        tracker = make_tracker("a", "b")
        turns = [("a", 0.0, 5.0), ("a", 7.0, 11.0)]
        for _ in play(tracker, turns, 20.0):
            pass
        assert tracker.period_seconds is None
        assert tracker.may_rest("a", 20.0, LEAD_SECONDS)

    def test_burst_without_turns_of_others_gives_no_period(self):
        tracker = make_tracker("a", "b")
        turns = [("a", 0.0, 5.0), ("a", 10.0, 15.0), ("b", 19.0, 19.5)]
        for _ in play(tracker, turns, 19.0):
            pass
        assert tracker.period_seconds is None
        assert tracker.may_rest("a", 19.0, LEAD_SECONDS)

    def test_pool_without_any_work_is_not_waited_for(self):
        """Guards against the spare pool, which never has a turn."""
        tracker = make_tracker("a", "b", "spare")
        turns = [("a", 0.0, 5.0), ("b", 6.0, 11.0)]
        for _ in play(tracker, turns, 14.0):
            pass
        assert not tracker.may_rest("a", 14.0, LEAD_SECONDS)
        assert tracker.may_rest("b", 14.0, LEAD_SECONDS)

    def test_turn_that_does_not_come_is_not_waited_for_for_long(self):
        tracker = make_tracker("a", "b")
        turns = [("a", 0.0, 4.0), ("b", 5.0, 9.0), ("a", 16.0, 20.0), ("c", 50.0, 50.0)]
        rests = {
            now: tracker.may_rest("a", now, LEAD_SECONDS)
            for now in play(tracker, turns[:3], 44.0)
        }
        assert not rests[32.0]
        assert rests[40.0]
