"""Tests of the limit of calls in flight, for the pattern of an overloaded caller."""

import pytest

from ..concurrency_limit import (
    INITIAL_CALLS,
    MAX_CALLS,
    MIN_CALLS,
    MIN_CALLS_PER_SECOND,
    ConcurrencyLimit,
)

CALL_SECONDS = 0.004
"""Time that the caller's processor takes for a call."""

BATCH_SECONDS = 4.0


def play(seconds_per_call: float, n_rounds: int) -> ConcurrencyLimit:
    """Let a caller begin as many calls as it may; each waits for all before it."""
    limit = ConcurrencyLimit()
    now = 0.0
    for _ in range(n_rounds):
        n_calls = limit.n_free
        for _ in range(n_calls):
            limit.begin()
        for number in range(n_calls):
            seconds = (number + 1) * seconds_per_call
            limit.end(seconds, True, now + seconds)
        now += n_calls * seconds_per_call
    return limit


class TestOverload:
    def test_a_slow_caller_gets_answers_in_time(self):
        """Guards against calls that are given up because there are too many of them.

        A VM with half a core began 256 calls, took most for lost after 0.4 s, and sent
        ten times as many orders to stop them.
        """
        limit = play(CALL_SECONDS, 20)
        assert limit.n_free * CALL_SECONDS <= 0.4

    def test_a_fast_caller_is_not_held_back(self):
        """Guards against a limit that slows down the starts of a burst."""
        assert play(0.0002, 20).n_free > INITIAL_CALLS

    def test_it_rises_again(self):
        """Guards against a limit that stays low after the cause has passed."""
        limit = play(CALL_SECONDS, 20)
        former = limit.n_free
        for _ in range(MAX_CALLS):
            n_calls = limit.n_free
            for _ in range(n_calls):
                limit.begin()
            for _ in range(n_calls):
                limit.end(0.01, True, 100.0)
        assert former < limit.n_free == MAX_CALLS

    def test_calls_without_an_answer_leave_it(self):
        """Guards against lost workers that slow down the starts on all others."""
        limit = ConcurrencyLimit()
        for _ in range(50):
            limit.begin()
            limit.end(BATCH_SECONDS, False, BATCH_SECONDS)
        assert limit.n_free == INITIAL_CALLS

    def test_it_never_falls_below_its_lower_bound(self):
        limit = ConcurrencyLimit()
        for number in range(50):
            limit.begin()
            limit.end(BATCH_SECONDS, True, number * BATCH_SECONDS)
        assert limit.n_free == MIN_CALLS


class TestFarPeers:
    @staticmethod
    def _play(limit, seconds, began_at, n_rounds):
        """Answer each call after ``seconds``, in rounds of as many as may begin."""
        now = began_at
        for _ in range(n_rounds):
            n_calls = limit.n_free
            for _ in range(n_calls):
                limit.begin()
            now += seconds
            for _ in range(n_calls):
                limit.end(seconds, True, now)
        return now

    @pytest.mark.parametrize("seconds", [0.3, 0.7, 1.6])
    def test_starts_go_on_where_each_answer_is_slow(self, seconds):
        """Guards against pools with room that get tasks one by one.

        With answers after 0.7 s, 16 calls in flight start 23 tasks a second, whatever
        the fleet has room for.
        """
        limit = ConcurrencyLimit()
        self._play(limit, seconds, 0.0, 60)
        assert limit.n_free / seconds >= MIN_CALLS_PER_SECOND - 1

    def test_it_falls_again_once_answers_are_fast(self):
        """Guards against a limit that stays high for peers that are near by then."""
        limit = ConcurrencyLimit()
        now = self._play(limit, 1.6, 0.0, 30)
        for _ in range(30):
            limit.begin()
            limit.end(0.01, True, now)
            limit.begin()
            limit.end(0.5, True, now)
            now += 1.0
        assert limit.n_free == MIN_CALLS
