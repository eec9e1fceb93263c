"""Tests of the shares of accounts that compete for one pool."""

import math

from ..account_shares import AccountDemand, ArrivalRates, RecentUse, find_allowances


class TestArrivalRates:
    def test_jobs_beyond_the_rate_are_surplus(self):
        """Guards against an account that is owed more than its weight a second."""
        rates = ArrivalRates()
        found = [rates.is_surplus("a", 1.0, i / 10) for i in range(200)]
        # The bucket holds 10 jobs, and 1.25 a second are added over 19.9 seconds.
        assert 33 <= found.count(False) <= 35

    def test_a_turn_within_the_mean_rate_is_no_surplus(self):
        """Guards against punishing an account that sends its rate in turns."""
        rates = ArrivalRates()
        found = [rates.is_surplus("a", 2.0, 4.0 * turn) for turn in range(5)]
        found += [rates.is_surplus("b", 2.0, 4.0 * (i // 8)) for i in range(40)]
        assert not any(found)

    def test_jobs_learned_out_of_order_do_not_refill_the_bucket(self):
        """Guards against tokens for time that has been counted already."""
        rates = ArrivalRates()
        found = [rates.is_surplus("a", 1.0, at) for at in (20.0, 5.0) * 10]
        assert found.count(True) == 10

    def test_a_small_account_may_send_some_jobs_at_once(self):
        """Guards against small accounts most of whose jobs are surplus.

        At 0.12 jobs a second, jobs at random times exceeded a bucket of one job, and a
        third more value was lost in turns.
        """
        rates = ArrivalRates()
        found = [rates.is_surplus("a", 0.12, 0.0) for _ in range(5)]
        assert found == [False] * 4 + [True]


class TestAllowances:
    def test_unused_room_goes_to_the_accounts_that_want_it(self):
        """Guards against shares that are reserved for accounts with little work."""
        demands = [
            AccountDemand("hot", 1.0, 0.0, 100.0),
            AccountDemand("calm", 1.0, 0.0, 2.0),
        ]
        recent = {"hot": 18.0, "calm": 2.0}
        allowances = find_allowances(20.0, demands, recent)
        assert math.isclose(allowances["hot"], 18.0)
        assert math.isclose(allowances["calm"], 2.0)

    def test_an_account_at_its_limit_leaves_its_share_to_others(self):
        """Guards against room that waits for an account that may not use it."""
        demands = [
            AccountDemand("limited", 1.0, 4.0, 100.0, max_cores=4.0),
            AccountDemand("other", 1.0, 0.0, 100.0),
        ]
        allowances = find_allowances(20.0, demands, {"limited": 4.0, "other": 16.0})
        assert math.isclose(allowances["other"], 16.0)

    def test_an_account_that_used_more_before_gets_less_now(self):
        """Guards against an account that always comes first in alternating bursts."""
        demands = [AccountDemand(name, 1.0, 0.0, 100.0) for name in ("a", "b")]
        allowances = find_allowances(20.0, demands, {"a": 20.0})
        assert allowances == {"a": 0.0, "b": 20.0}


class TestRecentUse:
    def test_the_first_note_counts_in_full(self):
        """Guards against a new owner that takes the pool as unused so far."""
        use = RecentUse()
        use.note({"a": 8.0}, 100.0)
        assert use.cores_by_account == {"a": 8.0}

    def test_use_is_forgotten(self):
        """Guards against accounts that pay for good for what they once used."""
        use = RecentUse()
        use.note({"a": 8.0}, 100.0)
        use.note({}, 140.0)
        assert use.cores_by_account == {}
