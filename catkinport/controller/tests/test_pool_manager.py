"""Jobs of managed pools, with in-memory workers."""

import pytest

from ...policy.resources import Resources
from ...ports import TaskSpecification, Transaction, VmStatus
from ...ports.outcomes import Reason
from ...standins import LossyTable
from ...state import allowance_key
from ..lease_guards import GuardedTable, GuardedVmList, GuardedWorkers
from .cluster import Cluster


class TestJobLifecycle:
    def test_job_runs_to_its_end(self):
        """Guards against a job that is accepted but never placed or never ends."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.submit("j")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=2)
        assert cluster.job("j")["state"] == "running"
        assert cluster.workers.list_running_jobs() == ["j"]
        cluster.run(manager, seconds=40)
        job = cluster.job("j")
        assert job["state"] == "done"
        assert job["result_reference"] == "results/j/1"
        assert cluster.workers.count_starts("j") == 1

    def test_job_submitted_without_notice_is_found(self):
        """Guards against a job whose notice was lost waiting for ever."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=5)
        cluster.submit("j")
        cluster.run(manager, seconds=35)
        assert cluster.workers.count_starts("j") == 1

    def test_end_of_urgent_job_is_seen_soon(self):
        """Guards against a caller who waits a whole renewal for a finished job."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.submit("j", run_seconds=3.0, is_urgent=True)
        cluster.run(cluster.add_owner(), seconds=5)
        assert cluster.job("j")["state"] == "done"

    def test_impossible_job_is_parked(self):
        """Guards against a job that can never run waiting without a reason."""
        cluster = Cluster()
        cluster.add_vm("vm-1", cores=8.0)
        cluster.submit("j", n_cores=9.0)
        cluster.run(cluster.add_owner(), seconds=2)
        assert cluster.job("j")["state"] == "parked"
        assert "needs 9 cores" in cluster.job("j")["reason"]

    def test_job_of_unknown_team_does_not_stop_others(self):
        """Guards against a pool that places nothing after a team was removed."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.submit("orphan", team="removed")
        cluster.submit("running", team="removed", state="running", attempt=1)
        cluster.submit("j")
        cluster.run(cluster.add_owner(), seconds=2)
        assert cluster.job("j")["state"] == "running"
        assert cluster.job("orphan")["state"] == "queued"

    @pytest.mark.parametrize("n_lost", [1, 2, 3])
    def test_lost_store_answers_start_a_job_once(self, n_lost):
        """Guards against a job started twice after the answer to a round was lost."""
        cluster = Cluster(wrap_table=LossyTable)
        cluster.add_vm("vm-1")
        cluster.submit("j", is_restartable=False)
        manager = cluster.add_owner()
        cluster.manager_table.n_lost_answers = n_lost
        cluster.run(manager, seconds=60)
        assert cluster.job("j")["state"] == "done"
        assert cluster.workers.count_starts("j") == 1


class TestLostWorker:
    @pytest.mark.parametrize("is_restartable", [True, False])
    def test_silent_worker(self, is_restartable):
        """Guards against a second run while the lease of the first may still run."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.submit("j", is_restartable=is_restartable, run_seconds=10_000.0)
        manager = cluster.add_owner()
        cluster.run(manager, seconds=20)
        cluster.add_vm("vm-2")
        cluster.workers.down.add("w-vm-1")
        cluster.run(manager, seconds=250, period=2.0)
        assert cluster.workers.count_starts("j") == 1
        cluster.run(manager, seconds=100, period=2.0)
        expected = ("running", 2) if is_restartable else ("unknown", 1)
        assert (
            cluster.job("j")["state"],
            cluster.workers.count_starts("j"),
        ) == expected

    def test_worker_whose_answers_are_lost(self):
        """Guards against renewals that keep the lease of a lost task running."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.submit("j", is_restartable=False, run_seconds=10_000.0)
        manager = cluster.add_owner()
        cluster.run(manager, seconds=20)
        cluster.workers.loses_renewal_answers.add("w-vm-1")
        cluster.run(manager, seconds=400, period=2.0)
        assert cluster.workers.list_running_jobs() == []
        assert cluster.job("j")["state"] == "unknown"

    def test_gone_vm_frees_its_task_at_once(self):
        """Guards against waiting for a lease on a VM that no longer exists."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.submit("j", checkpoint_reference="checkpoints/j/0")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=5)
        cluster.add_vm("vm-2")
        cluster.workers.down.add("w-vm-1")
        cluster.set_status("vm-1", VmStatus.GONE)
        cluster.run(manager, seconds=10)
        job = cluster.job("j")
        placed = (job["state"], job["worker_vm"], job["attempt"])
        assert placed == ("running", "vm-2", 2)
        assert job["checkpoint_reference"] == "checkpoints/j/0"

    def test_lost_start_answer_of_a_job_that_must_not_run_twice(self):
        """Guards against a second start after the answer to the first was lost."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.workers.loses_start_answers.add("w-vm-1")
        cluster.submit("j", is_restartable=False)
        cluster.run(cluster.add_owner(), seconds=60)
        assert cluster.job("j")["state"] == "done"
        assert cluster.workers.count_starts("j") == 1

    def test_dropped_start_of_a_job_that_must_not_run_twice(self):
        """Guards against a job judged by a report that lacks its task.

        The start got no answer, so that the task may have run. Only the end of its
        lease decides.
        """
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.workers.drops_starts.add("w-vm-1")
        cluster.submit("j", is_restartable=False)
        manager = cluster.add_owner()
        cluster.run(manager, seconds=280, period=2.0)
        assert cluster.job("j")["state"] == "running"
        cluster.run(manager, seconds=60, period=2.0)
        assert cluster.job("j")["state"] == "unknown"


class TestOwnerChange:
    def test_new_owner_adopts_running_tasks(self):
        """Guards against a second start of tasks that the previous owner started."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.submit("j", is_restartable=False, run_seconds=60.0)
        cluster.run(cluster.add_owner(), seconds=5)
        second = cluster.add_owner(member_id="c-2")
        cluster.run(second, seconds=100)
        assert cluster.job("j")["state"] == "done"
        assert cluster.workers.count_starts("j") == 1

    def test_start_of_the_previous_owner_arrives_late(self):
        """Guards against a task that counts as lost before its late start arrives."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        state = {"state": "running", "attempt": 1, "worker_vm": "vm-1"}
        cluster.submit("j", is_restartable=False, **state)
        manager = cluster.add_owner()
        cluster.run(manager, seconds=12)
        task = TaskSpecification(
            "j", 1, 1, "a", "sleep", "", "", "r", 4.0, 8.0, 0, 20.0
        )
        cluster.workers.start_task("w-vm-1", task, 300.0)
        cluster.run(manager, seconds=60)
        assert cluster.job("j")["state"] == "done"

    def test_paused_owner_writes_nothing_after_a_takeover(self):
        """Guards against two owners placing the same job after a pause."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        first = cluster.add_owner()
        cluster.run(first, seconds=5)
        second = cluster.add_owner(member_id="c-2")
        cluster.submit("j", is_restartable=False)
        first.notice_job("p", "j")
        for _ in range(10):
            first.step()
        assert cluster.job("j")["state"] == "queued"
        cluster.run(first, second, seconds=60)
        assert cluster.job("j")["state"] == "done"
        assert cluster.workers.count_starts("j") == 1

    def test_nothing_is_done_without_a_lease(self):
        """Guards against an owner that acts after its lease has ended."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        manager = cluster.add_owner()
        cluster.run(manager, seconds=2)
        cluster.submit("j")
        manager.notice_job("p", "j")
        manager._membership.lease_expires_at = cluster.clock.now()
        n_calls = cluster.workers.n_calls
        cluster.run(manager, seconds=30)
        assert cluster.workers.n_calls == n_calls
        assert cluster.job("j")["state"] == "queued"

    def test_lease_that_ends_during_a_step(self):
        """Guards against a write or a call after the lease ended within a step."""
        cluster = Cluster()
        table = GuardedTable(cluster.table, lambda: False)
        outcomes = [table.commit(Transaction([], []))]
        outcomes += table.commit_batch([Transaction([], [])])
        workers = GuardedWorkers(cluster.workers, lambda: False)
        outcomes.append(workers.renew_leases("w", 1, [], 1.0))
        outcomes.append(workers.stop_task("w", "j", 1, 1))
        outcomes.append(workers.checkpoint_task("w", "j", 1, 1))
        outcomes.append(workers.throttle_task("w", "j", 1, 1, 0.5))
        outcomes.append(GuardedVmList(cluster.vm_list, lambda: False).reboot("v", "t"))
        reasons = {outcome.reason for outcome in outcomes}
        assert reasons == {Reason.CONFIGURATION_STALE}
        assert workers.start_task("w", None, 1.0).reason == Reason.CONFIGURATION_STALE
        assert cluster.workers.n_calls == 0

    def test_job_committed_but_never_started_is_not_run_by_the_next_owner(self):
        """Guards against a second run when an owner crashes around a start."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        state = {"state": "running", "attempt": 1, "worker_vm": "vm-1"}
        cluster.submit("once", is_restartable=False, **state)
        cluster.submit("again", **state)
        cluster.run(cluster.add_owner(), seconds=60)
        assert cluster.job("once")["state"] == "unknown"
        assert cluster.workers.count_starts("once") == 0
        assert cluster.job("again")["attempt"] == 2


class TestFailures:
    def test_bad_job_in_an_idle_pool_is_parked(self):
        """Guards against a job that always fails and is retried for ever."""
        cluster = Cluster()
        for number in range(5):
            cluster.add_vm(f"vm-{number}")
        cluster.submit("j", command="fail")
        cluster.run(cluster.add_owner(), seconds=60)
        assert cluster.job("j")["state"] == "parked"
        assert cluster.workers.count_starts("j") == 5

    def test_bad_job_is_parked_after_three_proven_workers(self):
        """Guards against a bad job that gets many good workers quarantined."""
        cluster = Cluster()
        for number in range(10):
            cluster.add_vm(f"vm-{number}", cores=64.0)
        for number in range(200):
            cluster.submit(f"good-{number}", run_seconds=1.0 + number / 10)
        cluster.submit("j", command="fail")
        cluster.run(cluster.add_owner(), seconds=200)
        assert cluster.job("j")["state"] == "parked"
        assert 3 <= cluster.workers.count_starts("j") <= 6
        good = {cluster.job(f"good-{number}")["state"] for number in range(200)}
        assert good == {"done"}

    def test_bad_worker_is_quarantined(self):
        """Guards against a worker that fails every task and still gets new ones."""
        cluster = Cluster()
        for number in range(4):
            cluster.add_vm(f"vm-{number}")
        cluster.workers.failing.add("w-vm-0")
        for number in range(40):
            cluster.submit(f"j-{number}", run_seconds=5.0)
        manager = cluster.add_owner()
        cluster.run(manager, seconds=200)
        states = {cluster.job(f"j-{number}")["state"] for number in range(40)}
        assert states == {"done"}
        assert manager.state.good_vms() == {"vm-1", "vm-2", "vm-3"}


class TestLimits:
    def test_limit_holds_across_pools(self):
        """Guards against a team that uses its whole limit in each of several pools."""
        cluster = Cluster(max_cores=12, pools=("p", "q"))
        for pool in ("p", "q"):
            cluster.add_vm(f"vm-{pool}", pool, cores=64.0)
            for number in range(6):
                cluster.submit(f"{pool}-{number}", pool, run_seconds=15.0)
        managers = [cluster.add_owner("p", "c-1"), cluster.add_owner("q", "c-2")]
        highest = 0
        for _ in range(300):
            cluster.run(*managers, seconds=0.5)
            highest = max(highest, len(cluster.workers.list_running_jobs()))
            row = cluster.table.read([allowance_key("a", "cores")])
            amounts = row[allowance_key("a", "cores")].value["amount_by_holder"]
            assert sum(amounts.values()) <= 12
        assert highest == 3
        assert all(
            cluster.job(f"{pool}-{number}", pool)["state"] == "done"
            for pool in ("p", "q")
            for number in range(6)
        )

    def test_start_above_the_limit_is_dropped(self, monkeypatch):
        """Guards against a plan that counts corrected sizes below the declared ones."""
        cluster = Cluster(max_cores=12)
        cluster.add_vm("vm-1", cores=64.0)
        for number in range(6):
            cluster.submit(f"j-{number}", run_seconds=1000.0)
        monkeypatch.setattr(
            "catkinport.controller.sizes.SizeEstimator.correct",
            lambda self, job: Resources(0.4, 1.0, 0.0),
        )
        cluster.run(cluster.add_owner(), seconds=30)
        assert len(cluster.workers.list_running_jobs()) == 3

    def test_lowered_limit_stops_new_work(self):
        """Guards against new work above a limit that was lowered while full."""
        cluster = Cluster(max_cores=8)
        cluster.add_vm("vm-1", cores=64.0)
        for number in range(4):
            cluster.submit(f"j-{number}", run_seconds=30.0)
        manager = cluster.add_owner()
        cluster.run(manager, seconds=2)
        assert len(cluster.workers.list_running_jobs()) == 2
        teams = cluster.environment.team_by_name
        lowered = teams["a"]._replace(max_cores=4)
        manager._membership.environment = cluster.environment._replace(
            team_by_name={**teams, "a": lowered}
        )
        cluster.run(manager, seconds=45)
        assert len(cluster.workers.list_running_jobs()) == 1


class TestCancellations:
    def test_many_cancellations_are_handled_in_bounded_steps(self):
        """Guards against many cancellations that delay a step or are dropped."""
        cluster = Cluster()
        cluster.add_vm("vm-1", cores=400.0)
        for number in range(600):
            cluster.submit(f"j-{number}", run_seconds=10_000.0, memory_gb=0.1)
        manager = cluster.add_owner()
        cluster.run(manager, seconds=5)
        # Long work leaves an eighth of the worker free for urgent work.
        assert len(cluster.workers.list_running_jobs()) == 87
        for number in range(600):
            cluster.cancel(f"j-{number}")
            manager.notice_job("p", f"j-{number}")
        manager.step()
        assert cluster.workers.n_stops == 50
        cluster.run(manager, seconds=30)
        states = [cluster.job(f"j-{number}")["state"] for number in range(600)]
        assert states == ["cancelled"] * 600
        assert cluster.workers.list_running_jobs() == []
