"""Tests of limits, routing, retries and admission with seeded inputs."""

import random
from collections import Counter

from ...ports import Reason
from ..admission import URGENT_RUN_LENGTH, AdmissionQueue, WaitingRequest
from ..limits import (
    AllowanceSnapshot,
    HolderNeed,
    adjust_amount,
    is_reclaimable,
    read_amounts,
    reclaim,
    usable_amount,
)
from ..retries import RetryBudget, plan_retry
from ..routing import (
    CONSECUTIVE_FAILURES,
    MAX_EJECTION_SECONDS,
    OutlierTracker,
    ServerLoad,
    choose_server,
)


def waiting(name, team="a", weight=1.0, is_urgent=False, deadline=100.0):
    return WaitingRequest(name, team, weight, is_urgent, deadline)


class Holder:
    """A holder that acts on the amounts that it read last, as an entry does."""

    def __init__(self, name):
        self.name = name
        self.reading = AllowanceSnapshot(0, 0, 0)
        self.in_use = 0

    def sync(self, limit, row, rng):
        need = HolderNeed(self.in_use, self.in_use + rng.randrange(6))
        divided = adjust_amount(limit, row, self.name, need)
        self.reading = read_amounts(limit, divided, self.name)
        return divided

    def work(self, limit, rng):
        usable = usable_amount(limit, self.reading)
        if rng.random() < 0.5 and self.in_use:
            self.in_use -= 1
        elif self.in_use < usable:
            self.in_use += 1
            return True
        return False


class TestLimits:
    def test_use_never_exceeds_the_limit(self):
        """Guards against use above the limit after stale reads or a lowered limit.

        It fails if ``usable_amount`` returns the own amount alone, or if it uses a
        reading that was made under a higher limit.
        """
        for seed in range(200):
            rng = random.Random(seed)
            limit, row = 10, {}
            holders = [Holder(f"e-{i}") for i in range(4)]
            for _ in range(150):
                if rng.random() < 0.03:
                    limit = rng.randrange(12)
                holder = rng.choice(holders)
                if rng.random() < 0.5:
                    row = holder.sync(limit, row, rng)
                elif holder.work(limit, rng):
                    assert sum(h.in_use for h in holders) <= limit, seed

    def test_amounts_of_evicted_holders_are_not_reclaimed_early(self):
        """Guards against reclaiming units that a paused holder may still use."""
        assert not is_reclaimable(62.0, 2.0, 60.0)
        assert is_reclaimable(63.3, 2.0, 60.0)
        row = reclaim({"e-1": 5, "e-2": 5}, ["e-1"])
        assert adjust_amount(10, row, "e-3", HolderNeed(0, 9))["e-3"] == 5


class TestRouting:
    def test_own_zone_is_preferred_until_it_is_loaded(self):
        """Guards against needless traffic between zones, and overload of one zone."""
        rng = random.Random(1)
        servers = [ServerLoad(f"{z}:{i}", z, 0, 8) for z in "ab" for i in range(3)]
        chosen = {choose_server(servers, "a", rng)[0] for _ in range(50)}
        assert chosen == {"a"}
        loaded = [
            server._replace(in_flight=7 if server.zone == "a" else 1)
            for server in servers
        ]
        zones = Counter(choose_server(loaded, "a", rng)[0] for _ in range(50))
        assert zones["b"] > 25
        full = [server._replace(in_flight=8) for server in servers]
        assert choose_server(full, "a", rng) is None

    def test_at_most_a_third_is_ejected_and_returns(self):
        """Guards against ejecting a whole pool because of a network failure."""
        tracker = OutlierTracker()
        addresses = [f"s:{i}" for i in range(7)]
        for _ in range(CONSECUTIVE_FAILURES + 2):
            for address in addresses:
                tracker.record_failure(address, 0.0, addresses)
        assert len(tracker.list_ejected(1.0)) == 2
        ejected = tracker.list_ejected(1.0)[0]
        assert tracker.list_ejected(5.0) == []
        tracker.record_failure(ejected, 5.0, addresses)
        assert tracker.list_ejected(14.9) == [ejected]
        tracker.record_success(ejected)
        assert tracker.list_ejected(14.9) == []
        assert MAX_EJECTION_SECONDS >= 10


class TestRetries:
    def test_retries_stay_within_a_fifth_of_the_requests(self):
        """Guards against retries that multiply the load on a failing service."""
        budget = RetryBudget()
        n_retries = 0
        for _ in range(1000):
            budget.record_request()
            n_retries += budget.take()
        assert n_retries <= 0.2 * 1000 + 3

    def test_no_retry_past_the_deadline_and_no_token_spent(self):
        """Guards against retries after the caller's deadline."""
        budget, rng = RetryBudget(0), random.Random(1)
        assert plan_retry(9, 10.0, 10.0, budget, rng) is None
        planned = [plan_retry(9, 0.0, 9.0, budget, rng) for _ in range(4)]
        assert [delay is not None for delay in planned] == [True, True, True, False]


class TestAdmission:
    def test_long_requests_are_not_starved_by_urgent_ones(self):
        """Guards against long requests that wait forever behind urgent ones."""
        queue = AdmissionQueue(1000)
        for i in range(100):
            queue.offer(waiting(f"u-{i}", is_urgent=True), 0.0, 8)
        queue.offer(waiting("long"), 0.0, 8)
        order = [queue.pop(0.0, lambda team: True) for _ in range(20)]
        assert [r.request_id for r in order].index("long") == URGENT_RUN_LENGTH

    def test_teams_share_by_weight(self):
        """Guards against a team that gets more slots by sending more requests."""
        queue = AdmissionQueue(1000)
        for i in range(300):
            queue.offer(waiting(f"a-{i}", "a"), 0.0, 8)
        for i in range(100):
            queue.offer(waiting(f"b-{i}", "b", weight=2.0), 0.0, 8)
        order = [queue.pop(0.0, lambda team: True).team for _ in range(90)]
        assert 58 <= order.count("b") <= 62

    def test_team_at_its_limit_does_not_block_others(self):
        """Guards against the limit of one team delaying the other teams."""
        queue = AdmissionQueue(10)
        queue.offer(waiting("r-1", "a", is_urgent=True), 0.0, 8)
        queue.offer(waiting("r-2", "b"), 0.0, 8)
        assert queue.pop(0.0, lambda team: team == "b").request_id == "r-2"

    def test_full_queue_refuses_the_team_that_filled_it(self):
        """Guards against a team that keeps others out by filling the queue."""
        queue = AdmissionQueue(10)
        for i in range(10):
            queue.offer(waiting(f"a-{i}", "a"), 0.0, 8)
        again = queue.offer(waiting("a-10", "a"), 0.0, 8)
        assert again.refusal.reason == Reason.QUEUE_FULL
        other = queue.offer(waiting("b-0", "b"), 0.0, 8)
        assert (other.refusal, other.displaced.request_id) == (None, "a-9")
        assert len(queue) == 10

    def test_deadline_that_cannot_be_met_is_refused_at_once(self):
        """Guards against waiting for a slot that comes too late."""
        queue = AdmissionQueue(1000)
        queue.record_service_time(False, 1.0)
        for i in range(80):
            queue.offer(waiting(f"r-{i}"), 0.0, 8)
        late = queue.offer(waiting("late", deadline=9.0), 0.0, 8)
        assert late.refusal.reason == Reason.DEADLINE
        assert queue.offer(waiting("ok", deadline=11.0), 0.0, 8).refusal is None
        assert (
            queue.offer(waiting("now", is_urgent=True, deadline=1.0), 0.0, 8)[0] is None
        )
        assert len(queue.remove_expired(50.0)) == 2
