"""Tests of pools whose commits are carried out after the owner went on without them."""

from ...standins import LateTable
from ...state import JobState
from .cluster import Cluster


def _is_return_of_cores(transaction):
    return [write.row_key.table for write in transaction.writes] == ["allowances"]


def _is_start(transaction):
    return any(
        write.row_key.table == "jobs" and write.value["state"] == JobState.RUNNING
        for write in transaction.writes
    )


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


class TestLateRound:
    """A commit of starts without an answer may be stored during a later round."""

    def test_late_start_is_not_taken_for_that_of_another_owner(self, monkeypatch):
        """Guards against "unknown" for a job that was never started.

        The late commit makes the repeated one conflict.
        """
        cluster = Cluster(wrap_table=LateTable)
        table = cluster.manager_table
        cluster.add_vm("vm-1")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=1)
        cluster.submit("j", is_restartable=False)
        manager.notice_job("p", "j")
        refresh = manager.state.job_cache.refresh

        def refresh_before_late_commit():
            refresh()
            table.carry_out_held()

        monkeypatch.setattr(
            manager.state.job_cache, "refresh", refresh_before_late_commit
        )
        table.n_held = 1
        cluster.run(manager, seconds=60)
        assert cluster.job("j")["state"] == "done"
        assert cluster.workers.count_starts("j") == 1

    def test_late_start_does_not_exceed_the_limit(self):
        """Guards against a late start beside those of a newer round."""
        cluster = Cluster(max_cores=4, wrap_table=LateTable)
        table = cluster.manager_table
        cluster.add_vm("vm-1", cores=64.0)
        manager = cluster.add_owner()
        # The pool keeps the cores of this job for a while.
        cluster.submit("j-0", run_seconds=1.0, is_urgent=True)
        cluster.run(manager, seconds=4)
        assert cluster.job("j-0")["state"] == "done"
        table.n_held = 1
        for job_id, is_urgent in (("j-1", False), ("j-2", True)):
            cluster.submit(job_id, is_urgent=is_urgent, run_seconds=1000.0)
            manager.notice_job("p", job_id)
            cluster.run(manager, seconds=0.5)
        table.carry_out_held()
        cluster.run(manager, seconds=90)
        # Each job has all 4 cores.
        assert len(cluster.workers.list_running_jobs()) == 1

    def test_cores_of_an_undecided_round_are_not_returned(self):
        """Guards against another pool that takes the cores of a late start."""
        cluster = Cluster(max_cores=4, pools=("p", "q"), wrap_table=LateTable)
        table = cluster.manager_table
        for pool in ("p", "q"):
            cluster.add_vm(f"vm-{pool}", pool, cores=64.0)
        managers = [cluster.add_owner("p", "c-1"), cluster.add_owner("q", "c-2")]
        cluster.submit("p-0", run_seconds=1.0, is_urgent=True)
        cluster.run(*managers, seconds=4)
        assert cluster.job("p-0")["state"] == "done"
        table.is_selected, table.n_held = _is_start, 1000
        cluster.submit("p-1", run_seconds=1000.0)
        managers[0].notice_job("p", "p-1")
        cluster.run(*managers, seconds=12)
        assert 0 < table.n_held < 1000
        table.n_held = 0
        cluster.submit("q-1", "q", run_seconds=1000.0)
        managers[1].notice_job("q", "q-1")
        cluster.run(managers[1], seconds=2)
        table.carry_out_held()
        cluster.run(*managers, seconds=40)
        # Each job has all 4 cores.
        assert len(cluster.workers.list_running_jobs()) == 1


class TestLateRequeue:
    """A requeue without an answer may be stored after the attempt was started."""

    def test_late_requeue_does_not_start_a_job_twice(self):
        """Guards against a second run of a job that must not run twice.

        Its worker refuses the attempt at first, and would accept it later.
        """
        cluster = Cluster(wrap_table=LateTable)
        table = cluster.manager_table
        cluster.add_vm("vm-1")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=1)
        cluster.workers.down.add("w-vm-1")
        table.is_selected, table.n_held = _is_requeue, 1
        cluster.submit("j", is_restartable=False, run_seconds=10_000.0)
        manager.notice_job("p", "j")
        cluster.run(manager, seconds=0.5)
        assert table.n_held == 0
        cluster.workers.down.clear()
        cluster.run(manager, seconds=1)
        table.carry_out_held()
        cluster.run(manager, seconds=90)
        assert cluster.job("j")["state"] == "running"
        assert cluster.workers.count_starts("j") == 1

    def test_refused_start_is_requeued_until_that_is_stored(self):
        """Guards against a job that waits for ever after a lost requeue."""
        cluster = Cluster(wrap_table=LateTable)
        table = cluster.manager_table
        cluster.add_vm("vm-1")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=1)
        cluster.workers.down.add("w-vm-1")
        table.is_selected, table.n_held = _is_requeue, 3
        cluster.submit("j")
        manager.notice_job("p", "j")
        cluster.run(manager, seconds=3)
        assert table.n_held == 0
        cluster.workers.down.clear()
        cluster.run(manager, seconds=60)
        assert cluster.job("j")["state"] == "done"
