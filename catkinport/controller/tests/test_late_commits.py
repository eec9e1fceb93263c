"""Tests of pools whose commits are carried out after the owner went on without them."""

from ...standins import LateTable
from ...state import JobState
from .cluster import Cluster


def _is_return_of_cores(transaction):
    return [write.row_key.table for write in transaction.writes] == ["allowances"]


def _is_requeue(transaction):
    return any(
        write.row_key.table == "jobs" and write.value["state"] == JobState.QUEUED
        for write in transaction.writes
    )


class TestLateReturn:
    """A return of cores without an answer may be stored after they are used again."""

    def test_cores_of_a_late_return_are_not_used(self):
        """Guards against pools that together exceed the team's limit."""
        cluster = Cluster(max_cores=8, pools=("p", "q"), wrap_table=LateTable)
        table = cluster.manager_table
        for pool in ("p", "q"):
            cluster.add_vm(f"vm-{pool}", pool, cores=64.0)
        managers = [cluster.add_owner("p", "c-1"), cluster.add_owner("q", "c-2")]
        cluster.submit("p-0", run_seconds=1.0, is_urgent=True)
        cluster.run(*managers, seconds=4)
        assert cluster.job("p-0")["state"] == "done"
        table.is_selected, table.n_held = _is_return_of_cores, 100
        cluster.run(*managers, seconds=10)
        assert table.n_held < 100
        table.n_held = 0
        cluster.submit("p-1", run_seconds=1000.0)
        managers[0].notice_job("p", "p-1")
        cluster.run(*managers, seconds=2)
        assert cluster.workers.list_running_jobs() == ["p-1"]
        table.carry_out_held()
        for job_id in ("q-0", "q-1"):
            cluster.submit(job_id, "q", run_seconds=1000.0)
            managers[1].notice_job("q", job_id)
        cluster.run(*managers, seconds=5)
        # Each job has 4 of the 8 cores.
        assert len(cluster.workers.list_running_jobs()) == 2
