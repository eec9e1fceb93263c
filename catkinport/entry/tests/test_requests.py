"""Tests of requests and jobs over real sockets."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from ...ports import Transaction, Write
from ...state import allowance_key, job_key, owner_key
from .cluster import wait_for

LARGE_BYTES = 3_000_000


class TestForwarding:
    def test_keyed_request_gets_the_answer_to_its_own_request(self, make_cluster):
        """Guards against a request that is not forwarded as it was written."""
        entry = make_cluster().entries[0]
        answer = entry.call("/a%2Fb?operation=7", body=b"12345")
        assert answer.status == 200
        assert answer.headers["Catkin-Outcome"] == "answered"
        body = answer.json()
        assert (body["operation"], body["body_bytes"]) == ("7", 5)
        assert body["request_id"] == answer.headers["Catkin-Request-Id"]

    def test_long_bodies_are_streamed_both_ways(self, make_cluster):
        """Guards against bodies over 1 MB that are truncated at the buffer's size."""
        entry = make_cluster().entries[0]
        answer = entry.call(f"/x?size={LARGE_BYTES}", body=b"y" * LARGE_BYTES)
        assert answer.json()["body_bytes"] == LARGE_BYTES
        chunked = entry.call("/x", body=iter([b"y" * 1_000_000] * 3))
        assert chunked.json()["body_bytes"] == LARGE_BYTES

    @pytest.mark.parametrize("size", [0, LARGE_BYTES])
    def test_truncated_answer_is_never_reported_as_complete(self, make_cluster, size):
        """Guards against a truncated answer that looks complete."""
        cluster = make_cluster()
        cluster.set_faults(is_truncating=True)
        try:
            answer = cluster.entries[0].call(f"/x?size={size}")
        except urllib3.exceptions.HTTPError:
            assert size == LARGE_BYTES
            return
        assert answer.headers["Catkin-Outcome"] == "unknown"
        assert answer.status == 502
        assert len(cluster.list_executions()) == 1

    def test_silent_server_gives_unknown_and_one_run(self, make_cluster):
        """Guards against hanging on a silent connection, and against a second run."""
        cluster = make_cluster(progress_seconds=0.3)
        cluster.set_faults(is_silent=True)
        answer = cluster.entries[0].call()
        assert (answer.status, answer.headers["Catkin-Outcome"]) == (504, "unknown")
        assert len(cluster.list_executions()) == 1

    def test_idempotent_request_survives_a_silent_server(self, make_cluster):
        """Guards against giving up where a retry on another server is allowed."""
        cluster = make_cluster(progress_seconds=0.3)
        cluster.servers[0].faults.update({"is_silent": True})
        answers = [cluster.entries[0].call(Catkin_Idempotent="true") for _ in range(3)]
        assert [answer.status for answer in answers] == [200] * 3

    def test_server_that_refuses_connections_is_skipped(self, make_cluster):
        """Guards against failing a request that another server can still run once."""
        cluster = make_cluster()
        cluster.serve(["127.0.0.1:1", cluster.servers[0].address])
        time.sleep(0.6)
        statuses = [cluster.entries[0].call().status for _ in range(10)]
        assert statuses == [200] * 10
        assert len(cluster.list_executions()) == 10

    def test_refused_retry_is_not_reported_as_not_run(self, make_cluster):
        """Guards against "not run" where an earlier attempt may have run."""
        cluster = make_cluster()
        cluster.set_faults(is_truncating=True)
        entry = cluster.entries[0]
        with ThreadPoolExecutor(1) as executor:
            path = "/x?seconds=0.4"
            call = executor.submit(entry.call, path, Catkin_Idempotent="true")
            wait_for(lambda: len(cluster.list_executions()) == 1)
            entry.membership.is_fresh = False
            answer = call.result()
        assert answer.headers["Catkin-Outcome"] == "unknown"
        assert answer.headers["Catkin-Reason"] == "answer-truncated"

    def test_request_past_its_deadline_is_refused_as_not_run(self, make_cluster):
        """Guards against "not run" for a request that did run."""
        cluster = make_cluster(n_servers=1)
        cluster.set_faults(is_refusing=True)
        answer = cluster.entries[0].call(Catkin_Deadline_Ms="300")
        assert answer.status == 503
        assert answer.headers["Catkin-Outcome"] == "not-run"
        assert int(answer.headers["Retry-After"]) >= 1
        assert cluster.list_executions() == []


class TestAccess:
    @pytest.mark.parametrize(
        "header", ["", "Bearer", "Bearer k.short", "Bearer k." + "t" * 43, "x" * 5000]
    )
    def test_wrong_keys_are_refused(self, make_cluster, header):
        """Guards against work without a valid key on a keyed queue."""
        cluster = make_cluster()
        answer = cluster.entries[0].call(Authorization=header)
        assert (answer.status, answer.headers["Catkin-Outcome"]) == (401, "not-run")
        assert cluster.list_executions() == []

    def test_without_a_lease_only_open_queues_accept_requests(self, make_cluster):
        """Guards against keyed work under a configuration that may be outdated."""
        cluster = make_cluster()
        entry = cluster.entries[0]
        path = "/v1/queues/o/requests/x"
        assert entry.api("GET", path, headers={}).status == 200
        entry.membership.is_fresh = False
        answer = entry.call()
        assert (answer.status, answer.headers["Catkin-Reason"]) == (
            503,
            "configuration-stale",
        )
        assert entry.api("GET", path, headers={}).status == 200

    def test_key_withdrawn_while_waiting_does_not_run(self, make_cluster):
        """Guards against running a waiting request after its key was withdrawn."""
        cluster = make_cluster(max_slots=1)
        entry = cluster.entries[0]
        with ThreadPoolExecutor(2) as executor:
            first = executor.submit(entry.call, "/x?seconds=0.6")
            wait_for(lambda: len(cluster.list_executions()) == 1)
            second = executor.submit(entry.call)
            time.sleep(0.1)
            cluster.environment = cluster.environment._replace(key_by_name={})
            assert first.result().status == 200
            assert second.result().status == 401
        assert len(cluster.list_executions()) == 1


class TestSlots:
    def test_disconnected_caller_releases_its_slot(self, make_cluster):
        """Guards against slots leaked by callers that disconnect during an answer."""
        cluster = make_cluster(n_servers=1, max_slots=1)
        entry = cluster.entries[0]
        for _ in range(3):
            answer = entry.call(f"/x?size={8 * LARGE_BYTES}", preload_content=False)
            assert answer.status == 200
            answer.close()
        assert entry.call().status == 200


class TestLimits:
    def test_entries_admitting_at_once_stay_within_the_limit(self, make_cluster):
        """Guards against entries that together exceed the team's limit.

        When every entry used the whole limit, the test saw 12 requests at once.
        """
        cluster = make_cluster(n_entries=3, max_slots=4)
        path = "/x?seconds=0.1"
        with ThreadPoolExecutor(24) as executor:
            answers = list(
                executor.map(lambda i: cluster.entries[i % 3].call(path), range(36))
            )
        assert {answer.status for answer in answers} == {200}
        assert _max_concurrent(cluster.list_executions(), 0.1) <= 4

    def test_lowered_limit_stops_new_work_at_once(self, make_cluster):
        """Guards against admitting under the old limit after it was lowered."""
        cluster = make_cluster(max_slots=6)
        entry = cluster.entries[0]
        with ThreadPoolExecutor(6) as executor:
            list(executor.map(lambda i: entry.call("/x?seconds=0.2"), range(6)))
            teams = dict(cluster.environment.team_by_name)
            teams["blue"] = teams["blue"]._replace(max_slots=2)
            cluster.environment = cluster.environment._replace(team_by_name=teams)
            lowered_at = time.time()
            list(executor.map(lambda i: entry.call("/x?seconds=0.2"), range(6)))
        after = [e for e in cluster.list_executions() if e["started_at"] >= lowered_at]
        assert len(after) == 6
        assert _max_concurrent(after, 0.2) <= 2

    def test_amount_of_an_evicted_entry_is_reclaimed_after_its_requests(
        self, make_cluster
    ):
        """Guards against an allowance that a crashed entry keeps or loses too early."""
        cluster = make_cluster(n_entries=1, max_slots=4)
        key = allowance_key("blue", "slots")
        row = {"amount_by_holder": {"dead": 4}}
        cluster.table.commit(Transaction([], [Write(key, row)]))
        answer = cluster.entries[0].call(Catkin_Deadline_Ms="700")
        assert answer.headers["Catkin-Outcome"] == "not-run"
        # 2 s of lease and 10 s of the longest request, with 2% for the clocks.
        cluster.clock.offset += 12.3
        assert cluster.entries[0].call().status == 200
        assert "dead" not in cluster.table.read([key])[key].value["amount_by_holder"]

    def test_idle_amount_is_returned(self, make_cluster):
        """Guards against idle entries that keep allowances busy entries need."""
        cluster = make_cluster(n_entries=1, max_slots=8)
        cluster.entries[0].call()
        key = allowance_key("blue", "slots")
        assert cluster.table.read([key])[key].value["amount_by_holder"]["e-0"] > 0
        for _ in range(2):
            cluster.clock.offset += 5.0
            time.sleep(0.3)
        wait_for(lambda: not cluster.table.read([key])[key].value["amount_by_holder"])

    def test_amount_of_a_stopped_entry_is_returned(self, make_cluster):
        """Guards against allowances lost with every planned restart."""
        cluster = make_cluster(n_entries=2)
        cluster.entries[0].call()
        key = allowance_key("blue", "slots")
        assert "e-0" in cluster.table.read([key])[key].value["amount_by_holder"]
        cluster.entries[0].engine.return_allowances()
        assert "e-0" not in cluster.table.read([key])[key].value["amount_by_holder"]


class TestGracefulStop:
    def test_stop_under_load_interrupts_no_request(self, make_cluster):
        """Guards against a planned stop that interrupts answers or uploads."""
        cluster = make_cluster()
        entry = cluster.entries[0]
        assert entry.call().status == 200
        with ThreadPoolExecutor(8) as executor:
            running = [
                executor.submit(entry.call, f"/x?seconds=0.5&size={LARGE_BYTES}")
                for _ in range(6)
            ]
            upload = executor.submit(entry.call, "/x", body=_slow_body())
            wait_for(lambda: len(cluster.list_executions()) >= 7)
            entry.engine.refuse_new_work()
            refused = entry.call()
            assert refused.headers["Catkin-Reason"] == "stopping"
            assert entry.engine.wait_until_idle(10.0)
            assert {future.result().status for future in running} == {200}
            assert upload.result().json()["body_bytes"] == 400_000


class TestJobs:
    def test_lost_notice_is_sent_again(self, make_cluster):
        """Guards against an urgent job that waits for the owner's next scan."""
        cluster = make_cluster()
        _add_job_queue(cluster)
        entry = cluster.entries[0]
        entry.membership.n_lost_notices = 1
        owner = {"member_id": "c-1", "epoch": 1}
        cluster.table.commit(Transaction([], [Write(owner_key("p"), owner)]))
        body = {"command": "sleep", "cores": 2}
        assert entry.api("POST", "/v1/queues/j/jobs", json=body).status == 202
        wait_for(lambda: len(entry.membership.notices) == 2)

    def test_job_is_durable_before_202_and_the_owner_is_notified(self, make_cluster):
        """Guards against an accepted job that the store does not have."""
        cluster = make_cluster()
        _add_job_queue(cluster)
        entry = cluster.entries[0]
        entry.table.n_lost_answers = 1
        path = "/v1/queues/j/jobs"
        owner = {"member_id": "c-1", "epoch": 1}
        cluster.table.commit(Transaction([], [Write(owner_key("p"), owner)]))
        answer = entry.api("POST", path, json={"command": "sleep", "cores": 2})
        assert answer.status == 202
        job_id = answer.json()["job_id"]
        assert cluster.table.read([job_key("j", job_id)])
        wait_for(lambda: entry.membership.notices == [("c-1", "j", job_id)])
        shown = entry.api("GET", f"{path}/{job_id}").json()
        assert shown["state"] == "queued"
        assert entry.api("GET", f"{path}/{job_id}/result").status == 404
        assert entry.api("DELETE", f"{path}/{job_id}").status == 202
        assert entry.api("GET", f"{path}/{job_id}").json()["is_cancel_requested"]

    def test_wrong_fields_are_named(self, make_cluster):
        """Guards against jobs that are stored although no worker can run them."""
        cluster = make_cluster()
        _add_job_queue(cluster)
        answer = cluster.entries[0].api(
            "POST", "/v1/queues/j/jobs", json={"command": "sleep", "cores": -1}
        )
        assert answer.status == 400
        assert "cores must be 0.01 to 1024, got -1" in answer.json()["detail"]


def _add_job_queue(cluster):
    queue = cluster.environment.queue_by_name["q"]
    queues = {
        **cluster.environment.queue_by_name,
        "j": queue._replace(name="j", pool="p"),
    }
    cluster.environment = cluster.environment._replace(queue_by_name=queues)


def _max_concurrent(executions, seconds):
    starts = sorted(execution["started_at"] for execution in executions)
    return max(
        sum(start <= other < start + seconds * 0.9 for other in starts)
        for start in starts
    )


def _slow_body():
    for _ in range(4):
        time.sleep(0.05)
        yield b"z" * 100_000
