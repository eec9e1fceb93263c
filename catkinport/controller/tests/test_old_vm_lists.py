"""Tests of lists of VMs that are older than the rows of the VMs."""

import pytest

from .cluster import Cluster


class TestListFromBeforeAReboot:
    @pytest.mark.xfail(strict=True, reason="a former incarnation's state (issue 54)")
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
