"""Tests of the time after which an owner may be replaced, as it states it."""

import pytest

from ..leadership import (
    CLOCK_ERROR,
    HEARTBEAT_SECONDS,
    MAX_TAKEOVER_SECONDS,
    STOP_RENEWING_SECONDS,
    TAKEOVER_SECONDS,
    OwnLease,
)
from ..takeover_time import TakeoverTime, decode_takeover_seconds


def renew(takeover, lease, sent_at, seconds):
    """Return the lease after a renewal that took this many seconds."""
    takeover.begin(sent_at)
    return lease._replace(
        renewed_at=sent_at, takeover_seconds=takeover.end(sent_at, sent_at + seconds)
    )


class TestFarStore:
    @pytest.mark.parametrize("seconds", [0.25, 0.4, 0.8, 1.2, 2.0])
    def test_an_owner_that_renews_is_not_in_doubt(self, seconds):
        """Guards against pools that stand still while the table service is far away.

        An owner in doubt orders no VM, gives no lost task another worker, and starts no
        inherited job while a former worker is out of reach. It was in doubt before the
        answer to each renewal.
        """
        takeover = TakeoverTime(seconds)
        lease = OwnLease(5, 0.0, takeover.stated_seconds)
        now = 0.0
        for _ in range(10):
            lease = renew(takeover, lease, now, seconds)
            next_answer_at = now + seconds + HEARTBEAT_SECONDS + seconds
            assert not lease.may_be_replaced(next_answer_at)
            now += seconds + HEARTBEAT_SECONDS

    def test_a_store_that_becomes_slow_causes_a_short_doubt_only(self):
        """Guards against a time that follows the latency of the first moment."""
        takeover = TakeoverTime(0.01)
        lease = OwnLease(5, 0.0)
        now = 0.0
        n_doubts = 0
        for _ in range(12):
            lease = renew(takeover, lease, now, 0.8)
            now += 0.8 + HEARTBEAT_SECONDS
            n_doubts += lease.may_be_replaced(now + 0.8)
        assert n_doubts <= 4
        assert not lease.may_be_replaced(now + 0.8)


class TestFastStore:
    def test_a_lost_owner_is_replaced_as_soon_as_before(self):
        """Guards against pools that wait longer for a successor."""
        takeover = TakeoverTime(0.01)
        for number in range(20):
            takeover.begin(number)
            takeover.end(number, number + 0.2)
        assert takeover.stated_seconds == TAKEOVER_SECONDS

    def test_it_becomes_short_again_after_a_slow_phase(self):
        """Guards against a late takeover long after the table service was slow."""
        takeover = TakeoverTime(2.0)
        for number in range(10):
            takeover.begin(number)
            takeover.end(number, number + 0.01)
        assert takeover.stated_seconds == TAKEOVER_SECONDS


class TestOrder:
    """Successors may read any renewal that may be stored last."""

    def test_an_unanswered_renewal_holds_until_it_cannot_be_stored_any_more(self):
        """Guards against two owners that both start tasks.

        A renewal with a short time was stored late, and a daemon that had just started
        read only this one.
        """
        takeover = TakeoverTime(0.01)
        takeover.begin(0.0)
        for number in range(1, 9):
            takeover.begin(number)
            held = takeover.end(number, number + 1.0)
            assert held == TAKEOVER_SECONDS
        takeover.begin(25.0)
        assert takeover.end(25.0, 26.0) > 2 * TAKEOVER_SECONDS

    def test_of_overlapping_renewals_the_shorter_time_holds(self):
        """Guards against answers that overtake each other."""
        takeover = TakeoverTime(0.01)
        takeover.begin(0.0)
        takeover.end(0.0, 2.0)
        takeover.begin(2.1)
        later_stated = takeover.stated_seconds
        takeover.begin(2.0)
        takeover.end(2.1, 3.0)
        assert later_stated > TAKEOVER_SECONDS
        first = TakeoverTime(0.01)
        first.begin(0.0)
        first.begin(1.0)
        first.end(0.0, 1.5)
        first.begin(1.6)
        assert first.end(1.0, 1.7) == TAKEOVER_SECONDS

    def test_a_renewal_that_was_not_announced_counts_with_the_shortest_time(self):
        """Guards against a time that no stored row states."""
        assert TakeoverTime(2.0).end(0.0, 1.0) == TAKEOVER_SECONDS


class TestSteadyClocks:
    @pytest.mark.parametrize("stated", [TAKEOVER_SECONDS, 2.0, MAX_TAKEOVER_SECONDS])
    def test_an_owner_with_a_slow_clock_is_in_doubt_before_a_takeover(self, stated):
        """Guards against an owner and a successor that order the same VM.

        The owner's clock is 2% slow, and that of the successor 2% fast.
        """
        taken_over_at = stated / (1 + CLOCK_ERROR)
        lease = OwnLease(5, 0.0, stated)
        assert lease.may_be_replaced(taken_over_at * (1 - CLOCK_ERROR))


class TestLimits:
    @pytest.mark.parametrize(
        ("value", "seconds"),
        [
            (None, TAKEOVER_SECONDS),
            ("9", TAKEOVER_SECONDS),
            (float("nan"), TAKEOVER_SECONDS),
            (0.0, TAKEOVER_SECONDS),
            (2.5, 2.5),
            (1e9, MAX_TAKEOVER_SECONDS),
        ],
    )
    def test_a_row_cannot_keep_successors_away_for_good(self, value, seconds):
        """Guards against rows of other versions and with malformed values."""
        assert decode_takeover_seconds(value) == seconds

    def test_an_owner_is_in_doubt_before_it_gives_up(self):
        """Guards against a former owner that renews leases beside its successor."""
        assert MAX_TAKEOVER_SECONDS <= STOP_RENEWING_SECONDS
        lease = OwnLease(5, 0.0, MAX_TAKEOVER_SECONDS)
        assert lease.may_be_replaced(MAX_TAKEOVER_SECONDS * 0.96)
