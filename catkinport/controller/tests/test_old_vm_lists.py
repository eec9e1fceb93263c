"""Tests of lists of VMs that are older than the rows of the VMs."""

from types import SimpleNamespace

import pytest

from ...fleet.operations import drain_vm
from ...fleet.vm_rows import MAX_FORMER_BOOTS
from ...ports import VmStatus
from ...state import VmState, pool_key, vm_key
from ..actors import Tick, VmListActor
from .cluster import Cluster


def list_vms(cluster):
    return {vm.vm_id: vm for vm in cluster.vm_list.list_vms()}


def vm_row(cluster, vm_id: str = "vm-1"):
    return cluster.table.read([vm_key(vm_id)])[vm_key(vm_id)].value


def reasons(cluster):
    row = cluster.table.read([pool_key("p")])[pool_key("p")]
    return row.value["reason_by_disrupted_vm"]


def start_job(cluster, manager) -> None:
    """Start a long job that would run a second time if its task were given up."""
    cluster.submit("j", run_seconds=10_000.0)
    manager.notice_job("p", "j")
    cluster.run(manager, seconds=5)
    assert cluster.job("j")["state"] == "running"


def step_with_list(cluster, manager, listed_by_vm, seconds: float) -> None:
    """Step a manager that reads the same list again and again."""
    for _ in range(round(seconds / 0.5)):
        manager.set_listed_vms(listed_by_vm)
        manager.step()
        cluster.clock.advance(0.5)


class TestListFromBeforeAReboot:
    @pytest.mark.parametrize("is_restartable", [True, False])
    def test_a_new_owner_keeps_the_tasks_that_have_started_since(self, is_restartable):
        """Guards against a second run of a job whose task has not ended.

        The former owner has seen the reboot and stored it. The list that the new owner
        has read last, before it took the pool over, shows the VM as it was before.
        """
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.add_vm("vm-2")
        former = cluster.add_owner()
        cluster.run(former, seconds=2)
        old_list = {vm.vm_id: vm for vm in cluster.vm_list.list_vms()}
        for vm_id in ("vm-1", "vm-2"):
            cluster.vm_list.reboot(vm_id, f"platform-{vm_id}")
        cluster.run(former, seconds=120)
        cluster.submit("j", is_restartable=is_restartable, run_seconds=10_000.0)
        former.notice_job("p", "j")
        cluster.run(former, seconds=5)
        assert cluster.job("j")["state"] == "running"
        successor = cluster.add_owner(member_id="c-2")
        successor.set_listed_vms(old_list)
        successor.step()
        cluster.run(successor, seconds=120)
        assert cluster.job("j")["state"] == "running"
        assert cluster.workers.count_starts("j") == 1

    def _rebooted(self):
        """Return a cluster whose VM has rebooted, its owner and the list of before."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=2)
        old_list = list_vms(cluster)
        cluster.vm_list.reboot("vm-1", "platform")
        cluster.run(manager, seconds=10)
        assert vm_row(cluster)["boot_id"] == "2"
        return cluster, manager, old_list

    @pytest.mark.parametrize("status", list(VmStatus))
    def test_the_owner_ignores_it_when_the_list_lags_behind_again(self, status):
        """Guards against tasks that a list of a lagging replica ends, whatever it says.

        The row would take the former boot for a new one, too.
        """
        cluster, manager, old_list = self._rebooted()
        start_job(cluster, manager)
        old_list["vm-1"] = old_list["vm-1"]._replace(status=status)
        step_with_list(cluster, manager, old_list, seconds=20)
        assert cluster.job("j")["state"] == "running"
        assert cluster.workers.count_starts("j") == 1
        assert vm_row(cluster)["boot_id"] == "2"
        assert reasons(cluster) == {}

    def test_a_later_reboot_is_still_found(self):
        """Guards against a job that waits for a task that the next reboot has ended."""
        cluster, manager, _ = self._rebooted()
        start_job(cluster, manager)
        cluster.workers.tasks_by_address.clear()
        cluster.vm_list.reboot("vm-1", "platform-again")
        cluster.run(manager, seconds=10)
        assert cluster.job("j")["attempt"] == 2
        assert vm_row(cluster)["former_boot_ids"] == ["1", "2"]

    def test_a_silent_worker_is_still_found(self):
        """Guards against a VM in service without a worker while the list is old."""
        cluster, manager, old_list = self._rebooted()
        cluster.workers.down.add("w-vm-1")
        step_with_list(cluster, manager, old_list, seconds=45)
        assert reasons(cluster) == {"vm-1": "silent"}
        cluster.workers.down.clear()
        step_with_list(cluster, manager, old_list, seconds=20)
        assert reasons(cluster) == {}

    def test_a_row_keeps_few_former_boots(self):
        """Guards against rows that grow with each reboot."""
        cluster, manager, _ = self._rebooted()
        for number in range(MAX_FORMER_BOOTS + 1):
            cluster.vm_list.reboot("vm-1", f"platform-{number}")
            cluster.run(manager, seconds=5)
        row = vm_row(cluster)
        assert len(row["former_boot_ids"]) == MAX_FORMER_BOOTS
        assert row["former_boot_ids"][-1] == str(int(row["boot_id"]) - 1)


class TestListFromBeforeTheTakeover:
    @pytest.mark.parametrize("is_rebooted", [True, False])
    def test_it_gives_up_no_tasks(self, is_rebooted):
        """Guards against an error in a list that the former owner has seen corrected.

        Such an entry may have the present boot of its VM, or one of no row.
        """
        cluster = Cluster()
        cluster.add_vm("vm-1")
        former = cluster.add_owner()
        cluster.run(former, seconds=2)
        start_job(cluster, former)
        old_list = list_vms(cluster)
        wrong = {"boot_id": "0"} if is_rebooted else {"status": VmStatus.GONE}
        old_list["vm-1"] = old_list["vm-1"]._replace(**wrong)
        requested_at = cluster.clock.now()
        cluster.clock.advance(1)
        successor = cluster.add_owner(member_id="c-2")
        successor.set_listed_vms(old_list, requested_at)
        successor.step()
        assert reasons(cluster) == {}
        cluster.run(successor, seconds=30)
        assert cluster.job("j")["state"] == "running"
        assert cluster.workers.count_starts("j") == 1

    def test_a_later_one_gives_them_up(self):
        """Guards against a job that waits for the lease of a VM that is gone."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.add_vm("vm-2")
        former = cluster.add_owner()
        cluster.run(former, seconds=2)
        start_job(cluster, former)
        vm_id = cluster.job("j")["worker_vm"]
        cluster.set_status(vm_id, VmStatus.GONE)
        successor = cluster.add_owner(member_id="c-2")
        cluster.run(successor, seconds=5)
        assert cluster.job("j")["attempt"] == 2
        assert cluster.job("j")["worker_vm"] != vm_id

    def test_a_silent_worker_is_still_found(self):
        """Guards against a VM in service without a worker while the list is down."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.run(cluster.add_owner(), seconds=2)
        old_list, requested_at = list_vms(cluster), cluster.clock.now()
        cluster.clock.advance(1)
        successor = cluster.add_owner(member_id="c-2")
        cluster.workers.down.add("w-vm-1")
        for _ in range(90):
            successor.set_listed_vms(old_list, requested_at)
            successor.step()
            cluster.clock.advance(0.5)
        assert reasons(cluster) == {"vm-1": "silent"}

    def test_the_time_of_a_list_is_that_of_its_request(self):
        """Guards against a take-over between the request of a list and its answer."""
        cluster = Cluster()
        started_at = cluster.clock.now()

        def answer_late():
            cluster.clock.advance(1)
            return cluster.vm_list.list_vms()

        services = cluster.services(cluster.membership("c-1"))
        seen = []
        actor = VmListActor.start(
            services._replace(vm_list=SimpleNamespace(list_vms=answer_late)),
            SimpleNamespace(step=lambda *args: None),
            SimpleNamespace(tell=seen.append),
        )
        try:
            actor.ask(Tick())
        finally:
            actor.stop()
        assert [message.requested_at for message in seen] == [started_at]


class TestOverdueReboot:
    def test_it_is_found_while_the_list_is_old(self):
        """Guards against a VM that waits without bound as if its reboot were over."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=2)
        old_list = list_vms(cluster)
        cluster.vm_list.reboot("vm-1", "platform")
        cluster.run(manager, seconds=10)
        drain_vm(cluster.table, cluster.environment, "vm-1", "t", "maintenance")
        cluster.run(manager, seconds=8)
        assert vm_row(cluster)["state"] == VmState.REBOOTING
        limit = cluster.environment.maintenance.reboot_seconds
        step_with_list(cluster, manager, old_list, seconds=limit + 5)
        assert reasons(cluster) == {"vm-1": "reboot-overdue"}
