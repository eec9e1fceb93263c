"""Tests of bounds for peers that answer late, or not at all."""

import pytest

from ..answer_times import BACKOFF_FACTORS, AnswerTimes

MIN_SECONDS = 0.6
MAX_SECONDS = 2.5


def call(times, peer, seconds):
    """Call a peer whose answer takes ``seconds``; return whether it came in time."""
    if seconds > times.timeout(peer, MIN_SECONDS):
        times.note_timeout(peer)
        return False
    times.note_answer(peer, seconds)
    return True


class TestPeersThatAnswerLate:
    @pytest.mark.parametrize("seconds", [0.61, 0.7, 1.0, 1.6, 2.0, 2.4])
    def test_an_answer_gets_through_after_a_few_calls(self, seconds):
        """Guards against calls that are all given up just before their answers."""
        times = AnswerTimes(MAX_SECONDS)
        n_calls = len(BACKOFF_FACTORS)
        assert any(call(times, "w1", seconds) for _ in range(n_calls))

    @pytest.mark.parametrize("seconds", [0.7, 1.6, 2.4])
    def test_all_later_calls_are_answered(self, seconds):
        """Guards against peers whose calls are given up again after each answer."""
        times = AnswerTimes(MAX_SECONDS)
        while not call(times, "w1", seconds):
            pass
        assert all(call(times, "w1", seconds) for _ in range(20))
        assert call(times, "w2", seconds)

    @pytest.mark.parametrize("seconds", [0.7, 1.6])
    def test_one_answer_is_enough_after_fast_ones(self, seconds):
        """Guards against calls that are given up for seconds after a network got slow.

        An average that starts from fast answers needs several slow ones.
        """
        times = AnswerTimes(MAX_SECONDS)
        for _ in range(100):
            times.note_answer("w1", 0.01)
        while not call(times, "w1", seconds):
            pass
        assert times.bound("w1", 0.4) > seconds

    def test_one_slow_peer_has_a_bound_of_its_own(self):
        """Guards against a slow peer that is out of contact beside fast ones."""
        times = AnswerTimes(MAX_SECONDS)
        for _ in range(20):
            call(times, "slow", 0.9)
            for number in range(30):
                call(times, f"w{number}", 0.01)
        assert times.bound("slow", MIN_SECONDS) > 0.9
        assert times.bound("w1", MIN_SECONDS) == MIN_SECONDS


class TestPeersThatAnswerFast:
    def test_lost_answers_are_noticed_as_soon_as_before(self):
        """Guards against tasks that wait long for a worker that is gone."""
        times = AnswerTimes(MAX_SECONDS)
        for _ in range(5):
            call(times, "w1", 0.01)
        times.note_timeout("w1")
        assert times.timeout("w1", MIN_SECONDS) == MIN_SECONDS

    def test_bounds_follow_when_answers_get_fast_again(self):
        """Guards against long waits for lost answers after a slow phase."""
        times = AnswerTimes(MAX_SECONDS)
        for seconds in [0.5] * 10 + [0.01] * 10:
            times.note_answer("w1", seconds)
        assert times.bound("w1", MIN_SECONDS) == MIN_SECONDS


class TestPeersThatAreGone:
    def test_some_calls_stay_short(self):
        """Guards against a peer that is noticed late once it has come back."""
        times = AnswerTimes(MAX_SECONDS)
        timeouts = []
        for _ in range(3 * len(BACKOFF_FACTORS)):
            timeouts.append(times.timeout("w1", MIN_SECONDS))
            times.note_timeout("w1")
        assert timeouts.count(MIN_SECONDS) == 6
        assert max(timeouts) <= MAX_SECONDS

    def test_nothing_is_kept_of_them(self):
        """Guards against memory that grows with each worker that there ever was."""
        times = AnswerTimes(MAX_SECONDS)
        times.note_answer("w1", 2.0)
        times.note_timeout("w1")
        times.note_answer("w2", 0.01)
        for _ in range(20):
            times.note_answer("w2", 0.01)
        times.keep_only({"w2"})
        assert times.timeout("w1", MIN_SECONDS) == MIN_SECONDS
