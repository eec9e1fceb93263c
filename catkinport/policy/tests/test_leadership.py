"""Who may take over the ownership, and when a former owner can do no more harm."""

from ..leadership import (
    DOUBT_SECONDS,
    GIVE_UP_SECONDS,
    TAKEOVER_SECONDS,
    OwnerSighting,
    OwnerWatch,
    OwnLease,
    claim_delay_seconds,
    former_owner_bound,
)

SILENT = OwnerSighting(5, 9, False)


def watch_silence(seconds: float, n_answers: int) -> OwnerWatch:
    watch = OwnerWatch()
    watch.observe(SILENT, 0.0)
    for number in range(1, n_answers + 1):
        watch.observe(SILENT, seconds * number / n_answers)
    return watch


class TestClaim:
    def test_silent_owner_is_replaced(self):
        assert watch_silence(TAKEOVER_SECONDS, 4).may_claim(TAKEOVER_SECONDS)

    def test_renewing_owner_stays(self):
        watch = watch_silence(TAKEOVER_SECONDS, 4)
        watch.observe(OwnerSighting(5, 10, False), TAKEOVER_SECONDS)
        assert not watch.may_claim(TAKEOVER_SECONDS + 0.1)

    def test_outage_of_the_table_service_deposes_nobody(self):
        """Guards against a claim on the first answer after an outage."""
        watch = watch_silence(0.0, 1)
        watch.observe(SILENT, 10.0)
        assert not watch.may_claim(10.0)

    def test_slow_table_service_asks_for_more_silence(self):
        """Guards against owners that replace each other while renewals are slow."""
        watch = watch_silence(TAKEOVER_SECONDS, 4)
        watch.note_latency(0.3)
        assert not watch.may_claim(TAKEOVER_SECONDS + 1.0)
        assert watch.may_claim(TAKEOVER_SECONDS + 1.2)

    def test_released_ownership_is_free(self):
        watch = OwnerWatch()
        watch.observe(OwnerSighting(5, 9, True), 0.0)
        assert watch.may_claim(0.0)

    def test_weak_vm_lets_others_claim_first(self):
        """Guards against an owner on a VM that cannot carry the fleet's orders."""
        watch = OwnerWatch()
        watch.observe(OwnerSighting(5, 9, True), 0.0)
        delay = claim_delay_seconds(cores=0.5, link_mbps=5.0)
        assert not watch.may_claim(0.5, delay)
        assert watch.may_claim(1.0, delay)


class TestLease:
    def test_owner_is_in_doubt_before_a_successor_may_claim(self):
        assert DOUBT_SECONDS < TAKEOVER_SECONDS
        lease = OwnLease(5, 100.0)
        assert not lease.is_in_doubt(100.0 + DOUBT_SECONDS)
        assert lease.is_in_doubt(100.0 + TAKEOVER_SECONDS)

    def test_successor_waits_until_the_former_owner_has_given_up(self):
        """Checks both bounds with clocks that run 2% apart."""
        lease_seconds = 4.5
        gives_up_at = GIVE_UP_SECONDS * 1.02
        latest_end = gives_up_at + lease_seconds * 1.02
        assert former_owner_bound(0.0, False, lease_seconds) >= latest_end

    def test_no_wait_for_renewals_after_an_owner_that_ended(self):
        assert former_owner_bound(0.0, True, 4.5) < GIVE_UP_SECONDS
