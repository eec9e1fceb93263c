"""Tests of the freshness lease."""

import pytest

from benchmarks.freshness_model import run_island, run_randomized

from ..freshness import Freshness, PeerAnswer, View, ViewMember, merge_views

_MEMBER = ViewMember("entry", "127.0.0.1:1", "zone-a")


def _view(version, *member_ids, evicted=(), departed=()):
    member_by_id = {
        member_id: _MEMBER._replace(is_evicted=member_id in evicted)
        for member_id in member_ids
    }
    return View(version, member_by_id, frozenset(departed))


def _answer(peer_id, view, revision=0, **options):
    return PeerAnswer(peer_id, revision, view, **options)


class TestLease:
    """Renewal of leases, and the time from which a renewed lease counts."""

    def test_lease_runs_from_the_moment_of_sending(self):
        """Guards against a slow answer that extends a lease beyond T."""
        freshness = Freshness("a", _view(1, "a"), 0.0)
        freshness.on_store_read(5.0, 6.5, 0, _view(1, "a"))
        assert freshness.lease_expires_at == pytest.approx(6.96)

    @pytest.mark.parametrize(("revision", "version"), [(1, 5), (2, 4)])
    def test_read_of_a_lagging_replica_renews_nothing(self, revision, version):
        """Guards against a lease that rests on an old read."""
        freshness = Freshness("a", _view(5, "a"), 0.0, revision=2)
        freshness.on_store_read(5.0, 5.1, revision, _view(version, "a"))
        assert not freshness.is_fresh(5.1)

    def test_every_member_of_the_merged_view_must_answer(self):
        """Guards against members that confirm each other and miss another one."""
        freshness = Freshness("a", _view(1, "a", "b"), 0.0)
        freshness.on_peer_answer(_answer("b", _view(2, "a", "b", "c")), 5.0, 5.1)
        assert not freshness.is_fresh(5.1)
        assert "c" in freshness.peers_to_ask(5.2)
        freshness.on_peer_answer(_answer("c", _view(2, "a", "b", "c")), 5.2, 5.3)
        assert freshness.lease_expires_at == pytest.approx(6.96)

    def test_known_but_missing_revision_stops_renewal(self):
        """Guards against work under a configuration known to be replaced."""
        freshness = Freshness("a", _view(1, "a", "b"), 0.0)
        freshness.on_peer_answer(_answer("b", _view(1, "a", "b"), 7), 5.0, 5.1)
        assert not freshness.is_fresh(5.1)
        freshness.on_revision_held(7, 5.2)
        assert freshness.is_fresh(5.2)

    def test_leave_message_brings_the_revision_of_the_leaving_member(self):
        """Guards against a change that only the leaving member knew of."""
        freshness = Freshness("a", _view(1, "a", "b", "c"), 0.0)
        freshness.on_peer_answer(_answer("c", _view(1, "a", "b", "c")), 5.0, 5.1)
        freshness.on_leave("b", 7, _view(1, "a", "b", "c"), 5.2)
        assert not freshness.is_fresh(5.2)
        freshness.on_revision_held(7, 5.3)
        assert freshness.is_fresh(5.3)

    def test_peers_renew_no_longer_than_m(self):
        """Guards against a member that never learns of a new one.

        The new member may have reached the store only, and no peer. M is the longest
        time that a lease lasts after the last store read.
        """
        freshness = Freshness("a", _view(1, "a", "b"), 0.0)
        freshness.on_peer_answer(_answer("b", _view(1, "a", "b")), 1799.0, 1799.1)
        assert freshness.lease_expires_at == pytest.approx(1764.0)

    def test_eviction_ends_the_lease(self):
        """Guards against an evicted member that uses what others have taken over."""
        freshness = Freshness("a", _view(1, "a", "b"), 0.0)
        freshness.on_store_read(5.0, 5.1, 0, _view(1, "a", "b"))
        freshness.on_peer_request("b", 0, _view(2, "a", "b", evicted="a"), 5.2)
        freshness.on_store_read(5.3, 5.4, 0, _view(2, "a", "b", evicted="a"))
        assert freshness.is_evicted
        assert not freshness.is_fresh(5.4)

    def test_higher_version_replaces_the_lower_one(self):
        """Guards against removed members that an old view brings back."""
        merged = merge_views(_view(3, "b"), _view(2, "a", "b", departed="a"))
        assert merged == _view(3, "b")


class TestAcceptance:
    """Acceptance of changes, and the time from which they are in force."""

    def test_new_member_waits_for_an_established_one_and_t(self):
        """Guards against a change that members without the store cannot learn."""
        view = _view(2, "a", "n")
        freshness = Freshness("n", view, 0.0)
        freshness.on_peer_answer(_answer("a", view, is_established=False), 1.0, 1.1)
        freshness.on_peer_answer(_answer("a", view, is_stopping=True), 1.0, 1.1)
        assert freshness.established_at == pytest.approx(1836.0)
        freshness.on_peer_answer(_answer("a", view), 2.0, 2.1)
        assert not freshness.may_accept_changes(4.1)
        assert freshness.may_accept_changes(4.15)

    def test_change_is_in_force_after_t_with_margin(self):
        """Guards against an acknowledgement while a slower clock's lease runs."""
        freshness = Freshness("a", _view(1, "a"), 0.0)
        freshness.on_revision_held(3, 10.0)
        assert freshness.in_force_at(3) == pytest.approx(12.04)
        assert freshness.in_force_at(4) is None

    def test_new_member_reports_no_eviction_before_it_is_established(self):
        """Guards against a take-over while the evictor still confirms the old lease."""
        view = _view(2, "a", "b", "n", evicted="b")
        freshness = Freshness("n", view, 0.0)
        assert freshness.ended_ids(1.0) == set()
        freshness.on_peer_answer(_answer("a", view), 1.0, 1.1)
        assert freshness.ended_ids(3.2) == {"b"}

    def test_eviction_is_complete_after_the_longest_request(self):
        """Guards against an allowance that is reclaimed while requests run."""
        freshness = Freshness("a", _view(1, "a"), 0.0)
        freshness.on_store_read(9.9, 10.0, 0, _view(2, "a", "b", evicted="b"))
        assert freshness.eviction_in_force_at("b") == pytest.approx(12.04)
        assert freshness.completed_evictions(22.2, 10.0) == []
        assert freshness.completed_evictions(22.3, 10.0) == ["b"]


class TestSilence:
    """Eviction of members that do not answer."""

    @staticmethod
    def _ask(freshness, start, end, view, answering=(), reported=()):
        for step in range(int(2 * start), int(2 * end)):
            now = step / 2
            freshness.tick(now)
            freshness.on_store_read(now, now, 0, view)
            for peer_id in set(freshness.peers_to_ask(now)) & set(answering):
                answer = _answer(peer_id, view, silent_ids=frozenset(reported))
                freshness.on_peer_answer(answer, now, now)

    def test_silent_member_is_evicted_after_five_seconds(self):
        """Guards against a dead member that holds pools and allowances."""
        view = _view(1, "a", "b", "c")
        freshness = Freshness("a", view, 0.0)
        self._ask(freshness, 0, 4.5, view, answering="b", reported="c")
        assert freshness.ids_to_evict(4.6) == []
        self._ask(freshness, 4.5, 6, view, answering="b", reported="c")
        assert freshness.ids_to_evict(5.6) == ["c"]

    def test_link_down_between_two_members_evicts_neither(self):
        """Guards against two members that evict each other again and again."""
        view = _view(1, "a", "b", "c", "d")
        freshness = Freshness("a", view, 0.0)
        self._ask(freshness, 0, 30, view, answering="bd")
        assert freshness.answer(30.0).silent_ids == {"c"}
        assert freshness.ids_to_evict(30.0) == []

    def test_member_without_answers_waits_longer(self):
        """Guards against a member without contact that evicts all its peers."""
        view = _view(1, "a", "b", "c")
        freshness = Freshness("a", view, 0.0)
        self._ask(freshness, 0, 2, view, answering="bc")
        self._ask(freshness, 2, 4, view, answering="b")
        self._ask(freshness, 4, 8, view)
        assert freshness.ids_to_evict(8.0) == []
        self._ask(freshness, 8, 11, view)
        assert freshness.ids_to_evict(11.0) == []

    def test_peer_that_asks_is_not_asked_as_well(self):
        """Guards against twice the traffic: 21 KB/s were sent with 18 members."""
        view = _view(1, "a", "b", "c")
        freshness = Freshness("a", view, 0.0)
        freshness.on_peer_answer(_answer("b", view), 0.0, 0.0)
        freshness.on_store_read(3.0, 3.0, 0, view)
        freshness.on_peer_request("b", 0, view, 3.0)
        assert freshness.peers_to_ask(3.1) == ["c"]
        freshness.on_store_failed()
        assert freshness.peers_to_ask(3.1) == ["b"]

    def test_pause_of_the_own_process_does_not_count_as_silence(self):
        """Guards against a resumed member that evicts all others."""
        view = _view(1, "a", "b", "c")
        freshness = Freshness("a", view, 0.0)
        self._ask(freshness, 0, 4, view, answering="b")
        freshness.tick(60.0)
        freshness.on_store_read(60.0, 60.1, 0, view)
        assert freshness.ids_to_evict(60.1) == []


class TestModel:
    """Runs of the randomized model of the freshness rule on fixed seeds."""

    @pytest.mark.parametrize("first_seed", [0, 100])
    def test_product_has_no_violation(self, first_seed):
        """Guards against a lease that runs without an acknowledged change."""
        results = [run_randomized(seed) for seed in range(first_seed, first_seed + 60)]
        assert [r.violation for r in results if r.violation] == []
        assert sum(r.n_acknowledged for r in results) > 500

    @pytest.mark.parametrize(
        ("variant", "n_members", "n_newcomers"),
        [
            ("any peer confirms", 3, 0),
            ("new member waits only T", 2, 1),
            ("any member acknowledges", 2, 2),
        ],
    )
    def test_model_finds_the_fault_of_a_wrong_variant(
        self, variant, n_members, n_newcomers
    ):
        """Guards against a model that cannot tell a wrong rule from the right one."""
        assert run_island(variant, n_members, n_newcomers).violation
        assert not run_island("product", n_members, n_newcomers).violation

    def test_model_finds_the_fault_of_views_that_are_not_merged(self):
        """Guards against a model that misses what only merged views prevent."""
        results = [run_randomized(seed, "views not merged") for seed in range(50, 100)]
        assert any(result.violation for result in results)

    def test_members_that_are_cut_off_do_not_stop_changes(self):
        """Guards against an implementation that is safe because it accepts nothing."""
        assert run_island("product", 3, 0).n_acknowledged > 5
