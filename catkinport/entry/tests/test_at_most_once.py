"""Tests of requests that must not run twice, over real sockets."""

import time
from concurrent.futures import ThreadPoolExecutor

from ...ports import Transaction, Write
from ...state import claim_key
from .cluster import wait_for


class TestAtMostOnce:
    def test_two_entries_with_one_key_run_it_once(self, make_cluster):
        """Guards against two runs of one idempotency key.

        When a claim was inserted without its condition, the test saw 8 runs.
        """
        cluster = make_cluster(n_entries=2)
        with ThreadPoolExecutor(8) as executor:
            answers = list(
                executor.map(
                    lambda i: cluster.entries[i % 2].call(
                        "/x?seconds=0.2", Idempotency_Key="one"
                    ),
                    range(8),
                )
            )
        assert len(cluster.list_executions()) == 1
        assert sorted({answer.status for answer in answers}) == [200, 409]
        replay = cluster.entries[1].call("/x?seconds=0.2", Idempotency_Key="one")
        assert replay.headers["Catkin-Replayed"] == "true"
        original = next(answer for answer in answers if answer.status == 200)
        assert replay.data == original.data
        other = cluster.entries[1].call("/other", Idempotency_Key="one")
        assert (other.status, other.headers["Catkin-Outcome"]) == (422, "not-run")
        assert len(cluster.list_executions()) == 1

    def test_lost_answer_to_a_claim_neither_blocks_nor_repeats_it(self, make_cluster):
        """Guards against mistaking the own claim for that of another attempt.

        The claim takes effect although the answer to its commit is lost.
        """
        cluster = make_cluster()
        assert cluster.entries[0].call().status == 200
        cluster.entries[0].table.n_lost_answers = 1
        assert cluster.entries[0].call(Idempotency_Key="one").status == 200
        assert len(cluster.list_executions()) == 2

    def test_without_the_store_keyed_work_is_not_run(self, make_cluster):
        """Guards against a run without a claim while the store is down."""
        cluster = make_cluster()
        entry = cluster.entries[0]
        assert entry.call().status == 200
        entry.table.is_down = True
        answer = entry.call(Idempotency_Key="one")
        assert (answer.status, answer.headers["Catkin-Outcome"]) == (503, "not-run")
        assert entry.call().status == 200

    def test_claim_gets_its_outcome_once_the_store_is_back(self, make_cluster):
        """Guards against a claim that stays "claimed" after a store outage.

        The store is down when the request ends, so that its answer is not recorded.
        """
        cluster = make_cluster()
        entry = cluster.entries[0]
        assert entry.call().status == 200
        with ThreadPoolExecutor(1) as executor:
            running = executor.submit(
                entry.call, "/x?seconds=0.3", Idempotency_Key="one"
            )
            wait_for(lambda: len(cluster.list_executions()) == 2)
            entry.table.is_down = True
            assert running.result().status == 200
        entry.table.is_down = False
        wait_for(lambda: _claim_state(cluster, "one") == "done")
        again = entry.call("/x?seconds=0.3", Idempotency_Key="one")
        assert again.headers["Catkin-Replayed"] == "true"
        assert len(cluster.list_executions()) == 2

    def test_concurrent_claims_share_a_commit_call(self, make_cluster):
        """Guards against a call to the table service for each claim under load."""
        cluster = make_cluster(n_servers=4, max_slots=32)
        entry = cluster.entries[0]
        sizes = []
        commit_batch = entry.table.commit_batch

        def slow_commit_batch(transactions):
            sizes.append(len(transactions))
            time.sleep(0.02)
            return commit_batch(transactions)

        entry.table.commit_batch = slow_commit_batch
        with ThreadPoolExecutor(16) as executor:
            calls = executor.map(
                lambda i: entry.call(Idempotency_Key=f"k-{i}").status, range(32)
            )
            assert set(calls) == {200}
        assert len(cluster.list_executions()) == 32
        assert max(sizes) > 4

    def test_claim_of_an_evicted_entry_stays_unknown(self, make_cluster):
        """Guards against a second run after an entry crashed during a request."""
        cluster = make_cluster()
        row = {"token": "t", "member_id": "dead", "digest": "", "state": "claimed"}
        key = claim_key("blue", "one")
        cluster.entries[0].call(Idempotency_Key="one")
        digest = cluster.table.read([key])[key].value["digest"]
        cluster.table.commit(Transaction([], [Write(key, {**row, "digest": digest})]))
        answer = cluster.entries[0].call(Idempotency_Key="one")
        assert (answer.status, answer.headers["Catkin-Outcome"]) == (409, "unknown")
        assert cluster.table.read([key])[key].value["state"] == "unknown"
        assert len(cluster.list_executions()) == 1

    def test_lease_that_ends_while_waiting_stops_the_request(self, make_cluster):
        """Guards against a suspended entry that sends after its lease has ended."""
        cluster = make_cluster(max_slots=1)
        entry = cluster.entries[0]
        with ThreadPoolExecutor(2) as executor:
            first = executor.submit(entry.call, "/x?seconds=0.4")
            wait_for(lambda: len(cluster.list_executions()) == 1)
            second = executor.submit(entry.call, Idempotency_Key="one")
            wait_for(lambda: claim_key("blue", "one") in _claim_keys(cluster))
            entry.membership.is_fresh = False
            assert first.result().status == 200
            assert second.result().headers["Catkin-Reason"] == "configuration-stale"
        assert len(cluster.list_executions()) == 1
        assert _claim_state(cluster, "one") == "not-run"

    def test_entry_that_registered_anew_does_not_use_its_old_claim(self, make_cluster):
        """Guards against a suspended entry that uses a claim of its former id."""
        cluster = make_cluster(max_slots=1)
        entry = cluster.entries[0]
        with ThreadPoolExecutor(2) as executor:
            first = executor.submit(entry.call, "/x?seconds=0.5")
            wait_for(lambda: len(cluster.list_executions()) == 1)
            second = executor.submit(
                entry.call, Idempotency_Key="one", Catkin_Deadline_Ms="1500"
            )
            wait_for(lambda: claim_key("blue", "one") in _claim_keys(cluster))
            entry.membership.member_id = "e-new"
            assert first.result().status == 200
            assert second.result().headers["Catkin-Outcome"] == "not-run"
        assert len(cluster.list_executions()) == 1


def _claim_keys(cluster):
    return {row.row_key for row in cluster.table.scan("claims").rows}


def _claim_state(cluster, idempotency_key):
    key = claim_key("blue", idempotency_key)
    return cluster.table.read([key])[key].value["state"]
