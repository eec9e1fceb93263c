"""Tests of the administration API."""

import io
import json

import pytest

from ...fleet import operations
from ...ports import Reason, Unavailable
from ...runtime import BadRequestError, HttpRequest
from ...settings.keys import check_key
from ...standins import MemoryTable
from ...state import (
    MAINTENANCE,
    ServingVm,
    VmRow,
    allowance_key,
    job_key,
    owner_key,
    pool_key,
    vm_key,
)
from .fakes import OPERATOR_DOCUMENT, SALTED_HASH, SECRET, FakeDaemon

HASH = SALTED_HASH._asdict()
GRANT = {"account": "blue-web", **HASH}


class Client:
    """A client that calls the router directly, without sockets."""

    def __init__(self, daemon, key=f"ana.{SECRET}"):
        self._daemon = daemon
        self._key = key

    def call(self, method, path, body=None, change_id="c-1", **query):
        content = b"" if body is None else json.dumps(body).encode()
        environ = {
            "CONTENT_LENGTH": str(len(content)),
            "wsgi.input": io.BytesIO(content),
        }
        headers = {"authorization": f"Bearer {self._key}", "idempotency-key": change_id}
        request = HttpRequest(method, path, query, headers, environ)
        answer = self._daemon.router.dispatch(request)
        return answer.status, json.loads(answer.body)

    def apply(self, document, revision, **options):
        body = {"document": document, "expected_revision": revision}
        return self.call("PUT", "/v1/configuration", body, **options)


@pytest.fixture
def daemon():
    daemon = FakeDaemon()
    first = Client(daemon, f"first.{SECRET}")
    assert first.apply(OPERATOR_DOCUMENT, 0, change_id="c-0")[0] == 200
    return daemon


@pytest.fixture
def client(daemon):
    return Client(daemon)


class BrokenTable(MemoryTable):
    """A table whose reads or commits can be made to fail.

    A failed commit takes effect, but its answer is lost.
    """

    fails_reads = False
    fails_commits = False

    def read(self, row_keys):
        if self.fails_reads:
            return Unavailable(Reason.STORE_UNAVAILABLE, "table-read")
        return super().read(row_keys)

    def commit(self, transaction):
        outcome = super().commit(transaction)
        if self.fails_commits:
            reason = Reason.CONNECTION_LOST
            return Unavailable(reason, "table-commit", may_have_committed=True)
        return outcome


class TestAccess:
    """Tests of who may use the API."""

    @pytest.mark.parametrize("key", ["", "ana", f"bob.{SECRET}", "ana." + "T" * 43])
    def test_other_keys_are_refused(self, daemon, key):
        """Guards against an unauthenticated change on any route."""
        unauthorized = Client(daemon, key)
        paths = [r.split(" ") for r in daemon.router.list_routes() if "/v1/" in r]
        assert len(paths) > 15
        for method, path in paths:
            path = path.replace("{", "").replace("}", "")
            assert unauthorized.call(method, path, {})[0] == 401

    def test_stale_member_refuses(self, daemon, client):
        """Guards against a withdrawn key that a member without a lease accepts."""
        daemon.clock.advance(101)
        assert client.call("GET", "/v1/status")[0] == 503

    def test_bootstrap_ends_with_the_first_document(self, daemon):
        """Guards against a bootstrap key that is accepted beside operators' keys."""
        first = Client(daemon, f"first.{SECRET}")
        assert first.apply(OPERATOR_DOCUMENT, 1)[0] == 401

    def test_bootstrap_needs_the_store(self):
        """Guards against a new member that mistakes an outage for an empty store."""
        daemon = FakeDaemon(BrokenTable())
        first = Client(daemon, f"first.{SECRET}")
        daemon.membership.snapshot = FakeDaemon().membership.snapshot
        daemon.table.fails_reads = True
        assert first.apply(OPERATOR_DOCUMENT, 0)[0] == 503
        assert first.call("GET", "/v1/vms")[0] == 401

    def test_no_bootstrap_operator(self):
        daemon = FakeDaemon(bootstrap=None)
        assert Client(daemon, f"first.{SECRET}").apply(OPERATOR_DOCUMENT, 0)[0] == 401


class TestConfiguration:
    """Tests of applying documents."""

    def test_racing_operators(self, client):
        """Guards against a silent overwrite of another operator's change."""
        document = OPERATOR_DOCUMENT.replace("weight = 2", "weight = 3")
        assert client.apply(document, 1, change_id="c-1")[0] == 200
        status, body = client.apply(OPERATOR_DOCUMENT, 1, change_id="c-2")
        assert (status, body["current_revision"]) == (409, 2)
        assert client.call("GET", "/v1/configuration")[1]["document"] == document

    def test_faults(self, client):
        status, body = client.apply("[team a]\nweight = -1\n", 1)
        assert status == 422
        assert {"line": 2, "option": "weight"}.items() <= body["faults"][-1].items()

    @pytest.mark.parametrize("body", [{}, {"document": "x"}, {"document": 5}])
    def test_bad_body(self, client, body):
        with pytest.raises(BadRequestError):
            client.call("PUT", "/v1/configuration", body)

    @pytest.mark.parametrize("change_id", ["", "x" * 129, "a\nb"])
    def test_change_id(self, client, change_id):
        """Guards against a change that can't be repeated safely."""
        assert client.apply(OPERATOR_DOCUMENT, 1, change_id=change_id)[0] == 400

    def test_removed_sections_in_use(self, daemon, client):
        """Guards against VMs without a budget and jobs that wait forever."""
        old, new = "[queue captions-open]", "[queue captions-free]"
        document = OPERATOR_DOCUMENT.replace(old, new).replace("green", "grey")
        document = document.replace("[pool spare]", "[pool reserve]")
        serving = {"serving_vm_by_id": {"vm-1": {}}, "reason_by_disrupted_vm": {}}
        daemon.write(pool_key("spare"), serving)
        daemon.write(allowance_key("green", "slots"), {"amount_by_holder": {"m": 3}})
        job = {"state": "queued", "team": "green"}
        daemon.write(job_key("captions-open", "j-1"), job)
        daemon.write(job_key("captions-open", "j-2"), {**job, "state": "done"})
        status, body = client.apply(document, 1)
        assert (status, len(body["obstacles"])) == (422, 4)
        diff = client.call("POST", "/v1/configuration/diff", {"document": document})
        assert diff[1]["obstacles"] == body["obstacles"]
        daemon.write(pool_key("spare"), {**serving, "serving_vm_by_id": {}})
        daemon.write(allowance_key("green", "slots"), {"amount_by_holder": {}})
        daemon.write(job_key("captions-open", "j-1"), {**job, "state": "cancelled"})
        assert client.apply(document, 1)[0] == 200

    def test_diff_and_check(self, client):
        body = {"document": OPERATOR_DOCUMENT.replace("weight = 2", "weight = x")}
        diff = client.call("POST", "/v1/configuration/diff", body)[1]
        assert "+weight = x" in diff["diff"]
        check = client.call("POST", "/v1/configuration/check", body)[1]
        assert check["faults"] == diff["faults"]


class TestKeys:
    """Tests of granting and withdrawing keys over the API."""

    def test_grant_and_withdraw(self, daemon, client):
        assert client.call("PUT", "/v1/keys/blue-2", GRANT)[1]["revision"] == 2
        header = f"Bearer blue-2.{SECRET}"
        environment = daemon.membership.snapshot().environment
        assert check_key(environment, header).team.name == "blue"
        assert client.call("DELETE", "/v1/keys/blue-2")[1]["revision"] == 3
        environment = daemon.membership.snapshot().environment
        assert check_key(environment, header).reason == Reason.KEY_UNKNOWN

    def test_repeated_grant(self, client):
        """Guards against a retry refused because its first attempt succeeded."""
        for _ in range(2):
            assert client.call("PUT", "/v1/keys/blue-2", GRANT)[1]["revision"] == 2
        client.call("DELETE", "/v1/keys/blue-2")
        assert client.call("PUT", "/v1/keys/blue-2", GRANT)[1]["revision"] == 2

    def test_other_hash_is_another_change(self, client):
        """Guards against a secret that is reported as granted but not accepted."""
        client.call("PUT", "/v1/keys/blue-2", GRANT)
        other = {**GRANT, "digest": "0e" * 32}
        assert client.call("PUT", "/v1/keys/blue-2", other)[0] == 400

    def test_grant_during_another_change(self, daemon, client):
        """Guards against a grant that overwrites a concurrently accepted document."""
        document = OPERATOR_DOCUMENT.replace("weight = 2", "weight = 3")

        def race():
            daemon.membership.before_commit = lambda: None
            daemon.membership.accept_document(document, 1, "c-9", "ben")

        daemon.membership.before_commit = race
        assert client.call("PUT", "/v1/keys/blue-2", GRANT)[1]["revision"] == 3
        environment = daemon.membership.snapshot().environment
        assert environment.team_by_name["blue"].weight == 3
        body = {**GRANT, "expected_revision": 1}
        assert client.call("PUT", "/v1/keys/blue-3", body)[0] == 409

    def test_withdraw_unknown(self, client):
        assert client.call("DELETE", "/v1/keys/nobody")[0] == 404


class TestFleetRoutes:
    """Tests of the routes of VMs, maintenance and jobs."""

    def test_operations_get_what_the_operator_sent(self, client, monkeypatch):
        """Guards against a drain that drops the expected version or the token."""
        calls = []

        def drain_vm(table, environment, vm_id, token, **options):
            calls.append((vm_id, token, options))
            return operations.VmConflict(vm_id, 9)

        monkeypatch.setattr(operations, "drain_vm", drain_vm)
        body = {"expected_version": 4}
        status, answer = client.call("POST", "/v1/vms/vm-1/drain", body)
        assert (status, answer["current_version"]) == (409, 9)
        assert calls == [("vm-1", "operator/ana/c-1", {"expected_version": 4})]
        path = "/v1/vms/vm-1/move"
        assert client.call("POST", path, {"pool": "nowhere"})[0] == 404

    def test_drain_within_the_budget(self, daemon, client):
        """Guards against a retry that drains a VM twice, and overspent budgets."""
        vm = dict.fromkeys(VmRow.__annotations__, "")
        vm.update(pool="captions", state="active", rack="r", zone="a")
        serving = dict.fromkeys(ServingVm.__annotations__, "")
        names = [f"vm-{number}" for number in range(4)]
        for name in names:
            daemon.write(vm_key(name), vm)
        pool = {"serving_vm_by_id": dict.fromkeys(names, serving)}
        daemon.write(pool_key("captions"), {**pool, "reason_by_disrupted_vm": {}})
        drain = [
            client.call("POST", f"/v1/vms/{name}/drain", change_id=change_id)[0]
            for name, change_id in [("vm-0", "c-1"), ("vm-0", "c-1"), ("vm-1", "c-2")]
        ]
        assert drain == [200, 200, 200]
        status, body = client.call("POST", "/v1/vms/vm-2/drain", change_id="c-3")
        assert (status, body["reason"]) == (409, "budget-exhausted")
        undrain = client.call("POST", "/v1/vms/vm-0/undrain", change_id="c-4")
        assert (undrain[0], undrain[1]["state"]) == (200, "active")

    def test_maintenance_state(self, daemon, client):
        assert client.call("POST", "/v1/maintenance/start")[1]["is_started"]
        paused = client.call("POST", "/v1/maintenance/pause")[1]
        assert (paused["is_started"], paused["is_paused"]) == (True, True)
        version = daemon.table.read([MAINTENANCE])[MAINTENANCE].version
        client.call("POST", "/v1/maintenance/pause")
        assert daemon.table.read([MAINTENANCE])[MAINTENANCE].version == version

    def test_lost_answer_is_unknown(self):
        """Guards against a change reported as not run although it took effect."""
        daemon = FakeDaemon(BrokenTable())
        Client(daemon, f"first.{SECRET}").apply(OPERATOR_DOCUMENT, 0)
        client = Client(daemon)
        daemon.table.fails_commits = True
        assert client.call("POST", "/v1/maintenance/start")[0] == 504
        daemon.table.fails_commits = False
        assert client.call("POST", "/v1/maintenance/start")[1]["is_started"]

    def test_plan_lists_due_vms(self, daemon, client):
        vm = {"pool": "captions", "zone": "a", "rack": "r", "state": "active"}
        daemon.write(vm_key("vm-1"), {**vm, "last_maintained": 0.0})
        daemon.write(vm_key("vm-2"), {**vm, "last_maintained": 1e9})
        plan = client.call("GET", "/v1/maintenance/plan")[1]["pools"][0]
        assert (plan["n_due"], plan["next_vms"]) == (1, ["vm-1"])
        listed = client.call("GET", "/v1/vms", pool="captions", state="active")[1]
        assert [entry["vm_id"] for entry in listed["vms"]] == ["vm-1", "vm-2"]

    def test_cancel(self, daemon, client):
        """Guards against a cancellation that overwrites a write of the pool's owner."""
        job = dict.fromkeys(("account", "worker_vm", "reason"), "")
        job.update(team="blue", state="running", attempt=1, is_cancel_requested=False)
        for number in range(3):
            daemon.write(job_key("captions-open", f"j-{number}"), job)
        owner = {"member_id": "c-7", "epoch": 1}
        daemon.write(owner_key("captions"), owner)
        path = "/v1/jobs/captions-open/j-1"
        read, moved = daemon.table.read, {**job, "attempt": 2}

        def race(row_keys):
            rows = read(row_keys)
            if row_keys == [job_key("captions-open", "j-1")]:
                daemon.table.read = read
                daemon.write(row_keys[0], moved)
            return rows

        daemon.table.read = race
        assert client.call("POST", f"{path}/cancel")[1]["is_owner_notified"]
        assert daemon.membership.notices == [("c-7", "captions-open", "j-1")]
        shown = client.call("GET", path)[1]
        assert (shown["attempt"], shown["is_cancel_requested"]) == (2, True)
        page = client.call("GET", "/v1/jobs", queue="captions-open", limit="2")[1]
        assert page["next_after"] == "captions-open/j-1"
        assert client.call("POST", "/v1/jobs/captions-open/j-9/cancel")[0] == 404

    def test_status_and_usage(self, client):
        status = client.call("GET", "/v1/status")[1]
        assert (status["revision"], status["n_members_by_role"]) == (1, {"entry": 1})
        usage = client.call("GET", "/v1/usage")[1]["teams"]
        assert [team["share_percent"] for team in usage] == [66.7, 33.3]


class TestHealth:
    """Tests of the routes that need no key."""

    def test_readiness_and_metrics(self, daemon, client):
        assert client.call("GET", "/readyz")[0] == 200
        daemon.not_ready = "stopping"
        assert client.call("GET", "/readyz")[1]["reason"] == "stopping"
        assert client.call("GET", "/healthz")[0] == 200
        request = HttpRequest("GET", "/metrics", {}, {}, {})
        metrics = daemon.router.dispatch(request).body
        assert b"catkin_administration_requests" in metrics
