"""Jobs of one pool, against fake workers."""

from .cluster import Cluster


class TestJobLife:
    def test_job_runs_to_its_end(self):
        """Guards against a job that is accepted but never placed or never ends."""
        cluster = Cluster()
        cluster.add_vm("vm-1")
        cluster.submit("j")
        manager = cluster.own()
        cluster.run(manager, seconds=2)
        assert cluster.job("j")["state"] == "running"
        assert cluster.workers.running() == ["j"]
        cluster.run(manager, seconds=40)
        job = cluster.job("j")
        assert job["state"] == "done"
        assert job["result_reference"] == "results/j/1"
        assert cluster.workers.starts("j") == 1
