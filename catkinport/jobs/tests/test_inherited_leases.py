"""Tests of leases that calls of a former owner have granted to a restarted worker."""

import pytest

from .rival_fleet import RivalFleet


class RestartingFleet(RivalFleet):
    """A fleet whose list of workers names the incarnations."""

    def list_workers(self):
        return [
            listed._replace(started_at=self.worker_by_id[listed.worker_id].started_at)
            for listed in super().list_workers()
        ]

    def restart_unnoticed(self, worker_id: str) -> None:
        """Restart a worker between two polls."""
        self.worker_by_id[worker_id].crash()
        self.worker_by_id[worker_id].booted_at = self.clock.now()


@pytest.fixture
def fleet():
    fleet = RestartingFleet(("w0", "w1"))
    yield fleet
    fleet.close()


class TestWorkerThatTheSuccessorHasReached:
    def test_its_runs_count_for_the_longest_lease(self, fleet):
        """Guards against a second run of a task that the successor has adopted.

        The former owner has started it with a lease on the former clock, so the worker
        has granted its longest one. It is cut off once the successor has read its list.
        """
        fleet.claim("d0")
        for _ in range(3):
            fleet.advance(0.3)
            fleet.run_cycle("d0")
        fleet.owner_by_name["d0"].workers.cut_off(["w1"])
        fleet.run_cycle("d0")
        fleet.advance(0.1)
        fleet.restart_unnoticed("w0")
        fleet.submit(1)
        fleet.run_cycle("d0", plans_first=True)
        assert fleet.worker_by_id["w0"].running
        fleet.restart_daemon("d0")
        fleet.advance(0.1)
        assert fleet.claim("d0")
        fleet.run_cycle("d0")
        fleet.owner_by_name["d0"].workers.cut_off(["w0"])
        fleet.run_all(0.5, n_cycles=16)
        assert not fleet.violations
