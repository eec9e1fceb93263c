"""Drains, moves, maintenance and failures of VMs of a managed pool."""

import pytest

from ...fleet.operations import drain_vm, drains, move_vm
from ...ports import VmStatus, Write
from ...ports.table import Committed, Transaction
from ...state import MAINTENANCE, pool_key, vm_key
from .cluster import Cluster


class BudgetChecker:
    """Table that counts commits of maintenance drains beyond a pool's budget."""

    def __init__(self, table) -> None:
        self._table = table
        self.max_unavailable = 2
        self.n_violations = 0
        self.max_disrupted = 0

    def __getattr__(self, name):
        return getattr(self._table, name)

    def commit(self, transaction):
        keys = [key for key, _ in transaction.writes if key.table == "pools"]
        before = self._table.read(keys)
        outcome = self._table.commit(transaction)
        if isinstance(outcome, Committed):
            for key, value in transaction.writes:
                if key.table == "pools" and key in before:
                    self._check(before[key].value, value)
        return outcome

    def _check(self, before, after) -> None:
        old = before["reason_by_disrupted_vm"]
        new = after["reason_by_disrupted_vm"]
        self.max_disrupted = max(self.max_disrupted, len(new))
        planned = [
            vm
            for vm, reason in new.items()
            if vm not in old and reason == "maintenance"
        ]
        self.n_violations += bool(planned) and len(new) > self.max_unavailable


def make_cluster_in_maintenance() -> Cluster:
    cluster = Cluster(wrap_table=BudgetChecker)
    for number in range(8):
        cluster.add_vm(f"vm-{number}", rack=f"r-{number // 2}")
    value = {"is_paused": False, "is_started": True, "operator": "ana"}
    cluster.table.commit(Transaction([], [Write(MAINTENANCE, value)]))
    return cluster


def vm_row(cluster, vm_id: str):
    return cluster.table.read([vm_key(vm_id)])[vm_key(vm_id)].value


def pool_row(cluster, pool: str = "p"):
    return cluster.table.read([pool_key(pool)])[pool_key(pool)].value


class TestMaintenance:
    def test_maintenance_reaches_every_vm_and_loses_no_job(self):
        """Guards against maintenance that skips VMs, exceeds budgets or loses work."""
        cluster = make_cluster_in_maintenance()
        for number in range(6):
            cluster.submit(f"j-{number}", run_seconds=60.0)
        cluster.submit("once", run_seconds=60.0, is_restartable=False)
        cluster.run(cluster.add_owner(), seconds=400)
        rows = [vm_row(cluster, f"vm-{number}") for number in range(8)]
        assert all(row["last_maintained"] > 0 for row in rows)
        assert {row["boot_id"] for row in rows} == {"2"}
        assert cluster.manager_table.n_violations == 0
        names = [*(f"j-{number}" for number in range(6)), "once"]
        assert {cluster.job(name)["state"] for name in names} == {"done"}
        assert cluster.workers.count_starts("once") == 1

    def run_rack_failure(self) -> int:
        cluster = make_cluster_in_maintenance()
        manager = cluster.add_owner()
        cluster.run(manager, seconds=6)
        assert pool_row(cluster)["reason_by_disrupted_vm"]
        for number in (6, 7):
            cluster.workers.down.add(f"w-vm-{number}")
        cluster.run(manager, seconds=200)
        assert cluster.manager_table.max_disrupted >= 2
        return cluster.manager_table.n_violations

    def test_rack_fails_during_maintenance(self):
        """Guards against drains that go on while failed VMs use up the budget."""
        assert self.run_rack_failure() == 0

    def test_drains_exceed_the_budget_without_the_check(self, monkeypatch):
        """Guards against a rack test that cannot see drains beyond the budget."""
        monkeypatch.setattr(drains, "_check_drain", lambda *arguments: None)
        monkeypatch.setattr(
            "catkinport.controller.maintenance.choose_vms_to_drain",
            lambda pool, now, period: [vm.vm_id for vm in pool.vms if vm.is_serving],
        )
        assert self.run_rack_failure() > 0

    def test_reboot_is_repeated_with_its_token(self):
        """Guards against a second reboot of a VM after a change of owner.

        The new owner repeats the reboot with the token in the VM's row.
        """
        cluster = make_cluster_in_maintenance()
        cluster.run(cluster.add_owner(), seconds=8)
        cluster.run(cluster.add_owner(member_id="c-2"), seconds=300)
        assert {vm.boot_id for vm in cluster.vm_list.list_vms()} == {"2"}


class TestMove:
    def test_moved_vm_serves_in_its_new_pool_once_it_is_empty(self):
        """Guards against a move that takes a VM away from a running task."""
        cluster = Cluster(pools=("p", "q"))
        cluster.add_vm("vm-0")
        cluster.submit("once", is_restartable=False, run_seconds=40.0)
        managers = [cluster.add_owner("p"), cluster.add_owner("q")]
        cluster.run(*managers, seconds=2)
        move_vm(cluster.table, cluster.environment, "vm-0", "q", "t")
        cluster.run(*managers, seconds=30)
        assert vm_row(cluster, "vm-0")["pool"] == "p"
        cluster.run(*managers, seconds=40)
        assert cluster.job("once")["state"] == "done"
        assert vm_row(cluster, "vm-0")["pool"] == "q"
        assert list(pool_row(cluster, "q")["serving_vm_by_id"]) == ["vm-0"]
        assert pool_row(cluster, "p")["reason_by_disrupted_vm"] == {}

    def test_drain_moves_a_task_by_a_checkpoint(self):
        """Guards against a drain that loses the progress of a task."""
        cluster = Cluster()
        cluster.add_vm("vm-0")
        cluster.submit("j", run_seconds=1000.0)
        manager = cluster.add_owner()
        cluster.run(manager, seconds=2)
        cluster.add_vm("vm-1")
        drain_vm(cluster.table, cluster.environment, "vm-0", "t")
        cluster.run(manager, seconds=30)
        job = cluster.job("j")
        assert (job["worker_vm"], job["n_moves"]) == ("vm-1", 1)
        assert job["checkpoint_reference"] == "checkpoints/j/1"
        assert vm_row(cluster, "vm-0")["state"] == "drained"


class TestVmList:
    @pytest.mark.parametrize(
        ("status", "reason"),
        [(VmStatus.LEAVING, "leaving"), (VmStatus.GONE, "gone")],
    )
    def test_vm_that_goes_away_no_longer_serves(self, status, reason):
        """Guards against routing to a VM that the platform takes away."""
        cluster = Cluster()
        cluster.add_vm("vm-0")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=2)
        cluster.set_status("vm-0", status)
        cluster.run(manager, seconds=2)
        row = pool_row(cluster)
        assert row["serving_vm_by_id"] == {}
        assert row["reason_by_disrupted_vm"] == {"vm-0": reason}

    def test_unplanned_reboot(self):
        """Guards against a job that waits for a task that the reboot has ended."""
        cluster = Cluster()
        cluster.add_vm("vm-0", cores=16.0)
        cluster.submit("j", run_seconds=30.0)
        cluster.submit("once", run_seconds=30.0, is_restartable=False)
        manager = cluster.add_owner()
        cluster.run(manager, seconds=5)
        cluster.vm_list.reboot("vm-0", "platform")
        cluster.workers.tasks_by_address.clear()
        cluster.run(manager, seconds=60)
        assert vm_row(cluster, "vm-0")["state"] == "active"
        assert cluster.job("j")["state"] == "done"
        assert cluster.job("once")["state"] == "unknown"

    def test_rebooted_vm_has_a_new_address(self):
        """Guards against calls to the address that a VM had before its reboot."""
        cluster = Cluster()
        cluster.add_vm("vm-0")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=2)
        listed = cluster.vm_list.list_vms()[0]
        changed = {"boot_id": "2", "worker_address": "w-new"}
        cluster.vm_list.put({**listed._asdict(), **changed})
        cluster.run(manager, seconds=2)
        serving = pool_row(cluster)["serving_vm_by_id"]
        assert serving["vm-0"]["worker_address"] == "w-new"
        cluster.submit("j")
        manager.notice_job("p", "j")
        cluster.run(manager, seconds=2)
        assert cluster.workers.tasks_of("w-new").list_reports()[0].job_id == "j"

    @pytest.mark.parametrize("status", [VmStatus.LEAVING, VmStatus.GONE])
    def test_vm_that_is_live_again_serves_again(self, status):
        """Guards against a VM that stays out of service after an error in the list."""
        cluster = Cluster()
        cluster.add_vm("vm-0")
        manager = cluster.add_owner()
        for listed, seconds in ((VmStatus.LIVE, 2), (status, 10), (VmStatus.LIVE, 4)):
            cluster.set_status("vm-0", listed)
            cluster.run(manager, seconds=seconds)
        assert list(pool_row(cluster)["serving_vm_by_id"]) == ["vm-0"]

    def test_silent_vm_that_answers_again_serves_again(self):
        """Guards against a VM that stays out of service after a network failure."""
        cluster = Cluster()
        cluster.add_vm("vm-0")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=5)
        cluster.workers.down.add("w-vm-0")
        cluster.run(manager, seconds=45)
        assert pool_row(cluster)["reason_by_disrupted_vm"] == {"vm-0": "silent"}
        cluster.workers.down.clear()
        cluster.run(manager, seconds=20)
        assert list(pool_row(cluster)["serving_vm_by_id"]) == ["vm-0"]


class TestPreemption:
    def test_urgent_job_starts_on_a_full_pool(self):
        """Guards against an urgent job that waits for the end of long jobs."""
        cluster = Cluster()
        cluster.add_vm("vm-0", cores=10.0)
        for number in range(2):
            cluster.submit(f"long-{number}", run_seconds=10_000.0, memory_gb=25.0)
        manager = cluster.add_owner()
        cluster.run(manager, seconds=5)
        assert len(cluster.workers.list_running_jobs()) == 2
        cluster.submit("urgent", is_urgent=True, memory_gb=25.0)
        manager.notice_job("p", "urgent")
        cluster.run(manager, seconds=2.5)
        assert cluster.job("urgent")["state"] == "running"
        assert cluster.workers.count_starts("urgent") == 1
