"""Tests of the stand-ins over HTTP."""

import pytest

from ...adapters import HttpClient, HttpObjectStore, HttpTable, HttpVmList
from ...ports import (
    Committed,
    Condition,
    Conflict,
    ManualClock,
    RowKey,
    TaskSpecification,
    Transaction,
    Unavailable,
    VmStatus,
    Write,
    scan_all,
)
from .._tasks import TaskTable
from ..backend_server import BackendServerStandin
from ..platform import PlatformStandin
from ..worker import WorkerStandin

VM = {
    "status": "live", "zone": "z1", "rack": "r1", "worker_address": "",
    "backend_address": "", "boot_id": "1", "n_cores": 64.0,
    "memory_gb": 256.0, "n_accelerators": 0, "vm_id": "vm-1",
}  # fmt: skip
ROW = RowKey("vms", "vm-1")
INSERT = Transaction([Condition(ROW, 0)], [Write(ROW, {"pool": "a"})])
SPECIFICATION = TaskSpecification(
    "job-1", 1, 1, "a", "sleep", "", "", "results/job-1", 1.0, 1.0, 0, 100.0
)


@pytest.fixture
def platform():
    standin = PlatformStandin()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def backend_server():
    standin = BackendServerStandin(n_slots=1)
    standin.start()
    yield standin
    standin.stop()


class TestTable:
    def test_second_insert_conflicts(self, platform):
        """Guards against two claims of one row that both succeed."""
        table = HttpTable(HttpClient(platform.address))
        assert isinstance(table.commit(INSERT), Committed)
        outcome = table.commit(INSERT)
        assert isinstance(outcome, Conflict)
        assert outcome.versions_by_row_key == {ROW: table.read([ROW])[ROW].version}

    def test_lost_answer_takes_effect(self, platform):
        """Guards against a fault that loses the write with its answer."""
        table = HttpTable(HttpClient(platform.address))
        platform.faults.update({"lost_commit_answers": 1})
        outcome = table.commit(INSERT)
        assert isinstance(outcome, Unavailable)
        assert outcome.may_have_committed
        assert table.read([ROW])[ROW].value == {"pool": "a"}

    def test_deleted_row_never_has_its_old_version(self, platform):
        """Guards against a conditional write that overwrites a re-created row."""
        table = HttpTable(HttpClient(platform.address))
        first = table.commit(INSERT).versions_by_row_key[ROW]
        table.commit(Transaction([], [Write(ROW, None)]))
        second = table.commit(INSERT).versions_by_row_key[ROW]
        assert second > first

    def test_scan_returns_every_page(self, platform):
        """Guards against rows that are lost between two pages."""
        table = HttpTable(HttpClient(platform.address))
        keys = [RowKey("jobs", f"q/{number:04}") for number in range(1100)]
        for start in range(0, len(keys), 100):
            writes = [Write(key, {}) for key in keys[start : start + 100]]
            platform.table.commit(Transaction([], writes))
        rows = scan_all(table, "jobs", "q/")
        assert [row.row_key for row in rows] == keys

    def test_only_cut_clients_are_refused(self, platform):
        """Guards against a fault that affects clients that were not named."""
        platform.faults.update({"cut_clients": "entry-1"})
        cut = HttpTable(HttpClient(platform.address, "entry-1"))
        other = HttpTable(HttpClient(platform.address, "entry-2"))
        outcome = cut.read([ROW])
        assert isinstance(outcome, Unavailable)
        assert not outcome.may_have_committed
        assert other.read([ROW]) == {}


class TestObjectStore:
    def test_content_is_kept(self, platform):
        """Guards against names with slashes or blanks that address another object."""
        objects = HttpObjectStore(HttpClient(platform.address))
        assert objects.put("results/a b/1", b"\x00text") is None
        assert objects.get("results/a b/1") == b"\x00text"
        assert objects.get("results/a b/2") is None


class TestVmList:
    def test_reboot_with_one_token_happens_once(self, platform):
        """Guards against a repeated call that reboots a VM twice."""
        platform.vm_list.put(VM)
        vms = HttpVmList(HttpClient(platform.address))
        vms.reboot("vm-1", "token")
        assert vms.list_vms()[0].status is VmStatus.REBOOTING
        platform.vm_list.put(VM)
        vms.reboot("vm-1", "token")
        assert vms.list_vms()[0].status is VmStatus.LIVE

    def test_unchanged_list_is_not_sent_again(self, platform):
        """Guards against sending a list of 1,200 VMs in full every 2 s."""
        vms = HttpVmList(HttpClient(platform.address, "controller"))
        for number in range(200):
            platform.vm_list.put({**VM, "vm_id": f"vm-{number}"})
        first = vms.list_vms()
        n_bytes = platform.count_bytes("controller")
        assert vms.list_vms() == first
        assert platform.count_bytes("controller") - n_bytes < 400
        platform.vm_list.put({**VM, "vm_id": "vm-0", "status": "leaving"})
        assert vms.list_vms()[0].status is VmStatus.LEAVING


class TestBackendServer:
    def test_refused_request_does_not_run(self, backend_server):
        """Guards against refused requests that are logged as run."""
        backend_server.faults.update({"is_refusing": True})
        client = HttpClient(backend_server.address)
        reply = client.call("test", "GET", "/", accepted_statuses=(503,))
        assert reply.status == 503
        assert backend_server.list_executions() == []

    def test_truncated_body_is_an_error(self, backend_server):
        """Guards against an injected fault that has no effect on the client."""
        backend_server.faults.update({"is_truncating": True})
        client = HttpClient(backend_server.address)
        outcome = client.call("test", "GET", "/?operation=1")
        assert isinstance(outcome, Unavailable)
        assert len(backend_server.list_executions()) == 1


class TestTasks:
    def test_lower_epoch_is_fenced(self):
        """Guards against a paused owner that starts or stops tasks after a takeover."""
        tasks = TaskTable(ManualClock())
        assert tasks.start(SPECIFICATION._replace(epoch=2), 60)
        assert not tasks.start(SPECIFICATION._replace(attempt=2), 60)
        assert not tasks.apply_operation("job-1", "stop", {"epoch": 1, "attempt": 1})

    def test_task_stops_when_its_lease_expires(self):
        """Guards against an old attempt that runs at the same time as the next one."""
        clock = ManualClock()
        tasks = TaskTable(clock)
        tasks.start(SPECIFICATION, lease_seconds=10)
        clock.advance(60)
        report = tasks.list_reports()[0]
        assert report.state.value == "stopped"
        assert report.progress == pytest.approx(0.1)

    def test_usage_lags_behind_the_state(self):
        """Guards against a lag that also delays the state of a task."""
        clock = ManualClock()
        tasks = TaskTable(clock)
        tasks.start(SPECIFICATION, lease_seconds=60)
        clock.advance(5)
        report = tasks.list_reports(usage_lag_seconds=10.0)[0]
        assert (report.state.value, report.used_cores) == ("running", 0.0)
        clock.advance(5)
        assert tasks.list_reports(usage_lag_seconds=10.0)[0].used_cores == 1.0

    def test_checkpoint_keeps_progress_for_the_next_worker(self, platform):
        """Guards against a resumed task that starts from the beginning."""
        worker = WorkerStandin(platform.address)
        worker.start()
        client = HttpClient(worker.address)
        body = {**SPECIFICATION._asdict(), "lease_seconds": 60, "run_seconds": 0.5}
        client.call("test", "POST", "/tasks", body)
        change = {"epoch": 1, "attempt": 1}
        client.call("test", "POST", "/tasks/job-1/checkpoint", change)
        objects = HttpObjectStore(HttpClient(platform.address))
        assert objects.get("checkpoints/job-1/1") is not None
        worker.stop()
