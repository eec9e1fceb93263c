"""Tests of takeovers and of the time when a former owner's tasks have ended."""

from ..leadership import (
    MAX_TAKEOVER_SECONDS,
    MAY_BE_REPLACED_SECONDS,
    STOP_RENEWING_SECONDS,
    TAKEOVER_SECONDS,
    OverloadWatch,
    OwnerRows,
    OwnerWatch,
    OwnLease,
    claim_delay_seconds,
    former_owner_bound,
)

UNCHANGED_ROWS = OwnerRows(5, 9, False)


def watch_silence(seconds: float, n_answers: int) -> OwnerWatch:
    watch = OwnerWatch()
    watch.observe(UNCHANGED_ROWS, 0.0)
    for number in range(1, n_answers + 1):
        watch.observe(UNCHANGED_ROWS, seconds * number / n_answers)
    return watch


class TestClaim:
    def test_silent_owner_is_replaced(self):
        assert watch_silence(TAKEOVER_SECONDS, 4).may_claim(TAKEOVER_SECONDS)

    def test_renewing_owner_stays(self):
        watch = watch_silence(TAKEOVER_SECONDS, 4)
        watch.observe(OwnerRows(5, 10, False), TAKEOVER_SECONDS)
        assert not watch.may_claim(TAKEOVER_SECONDS + 0.1)

    def test_outage_of_the_table_service_keeps_the_owner(self):
        """Guards against a claim on the first answer after an outage."""
        watch = watch_silence(0.0, 1)
        watch.observe(UNCHANGED_ROWS, 10.0)
        assert not watch.may_claim(10.0)

    def test_slow_table_service_delays_a_takeover(self):
        """Guards against owners that replace each other while renewals are slow."""
        watch = watch_silence(TAKEOVER_SECONDS, 4)
        watch.note_latency(0.3)
        assert not watch.may_claim(TAKEOVER_SECONDS + 1.0)
        assert watch.may_claim(TAKEOVER_SECONDS + 1.2)

    def test_owner_far_from_the_table_service_states_a_longer_time(self):
        """Guards against owners that daemons near the table service replace."""
        rows = UNCHANGED_ROWS._replace(takeover_seconds=4.0)
        watch = OwnerWatch()
        for number in range(8):
            watch.observe(rows, number * 0.5)
        assert not watch.may_claim(3.9)
        assert watch.may_claim(4.0)

    def test_latency_delays_a_takeover_up_to_a_limit(self):
        """Guards against pools that wait for a successor without a bound."""
        watch = watch_silence(MAX_TAKEOVER_SECONDS, 4)
        watch.note_latency(30.0)
        assert watch.may_claim(MAX_TAKEOVER_SECONDS)

    def test_released_ownership_may_be_claimed(self):
        watch = OwnerWatch()
        watch.observe(OwnerRows(5, 9, True), 0.0)
        assert watch.may_claim(0.0)

    def test_small_vm_lets_others_claim_first(self):
        """Guards against an owner on a VM that is too slow to order a whole fleet."""
        watch = OwnerWatch()
        watch.observe(OwnerRows(5, 9, True), 0.0)
        delay = claim_delay_seconds(cores=0.5, link_mbps=5.0)
        assert not watch.may_claim(0.5, delay)
        assert watch.may_claim(1.0, delay)


class TestLease:
    def test_owner_is_in_doubt_before_a_successor_may_claim(self):
        """Guards against an owner and a successor that start the same task."""
        assert MAY_BE_REPLACED_SECONDS < TAKEOVER_SECONDS
        lease = OwnLease(5, 100.0)
        assert not lease.may_be_replaced(100.0 + MAY_BE_REPLACED_SECONDS)
        assert lease.may_be_replaced(100.0 + TAKEOVER_SECONDS)

    def test_successor_waits_until_the_former_owner_renews_no_lease(self):
        """Guards against a task that runs twice.

        The clocks of the owner and of the worker run 2% slower than the successor's.
        """
        lease_seconds = 4.5
        gives_up_at = STOP_RENEWING_SECONDS * 1.02
        latest_end = gives_up_at + lease_seconds * 1.02
        assert former_owner_bound(0.0, False, lease_seconds) >= latest_end

    def test_successor_does_not_wait_for_renewals_of_an_ended_owner(self):
        assert former_owner_bound(0.0, True, 4.5) < STOP_RENEWING_SECONDS


class TestOverload:
    def test_it_lasts_after_some_time_of_lag(self):
        """Guards against a change of the owner for each short burst of work."""
        watch = OverloadWatch()
        watch.note(0.4, 10.0)
        watch.note(0.4, 11.0)
        assert not watch.is_lasting(11.0)
        watch.note(0.1, 11.5)
        watch.note(0.4, 11.6)
        assert not watch.is_lasting(13.0)
        assert watch.is_lasting(13.7)
