"""Tests of workers that are slow for a time after their start."""

from ...policy.resources import Resources
from ...policy.worker_choice import CandidateWorker, TaskNeed, choose_worker
from .builders import Fleet, make_job, make_step, make_worker


class ColdFleet(Fleet):
    """A fleet of workers of which the first is slow.

    Best fit prefers the first worker, as it has the fewest cores.
    """

    def __init__(self, cold_seconds, n_workers=2):
        workers = [make_worker(f"w{n}", cores=8.0 + 8.0 * n) for n in range(n_workers)]
        workers[0] = workers[0]._replace(cold_seconds=cold_seconds)
        super().__init__(workers)

    def start_one(self, number, **fields):
        job = make_job(f"{number:016x}", steps=[make_step(**fields)])
        self.dispatcher.add_job(job, self.now)
        starts = self.start()
        return [start.worker.worker_id for start in starts]

    def change_entry(self, **changes):
        self.workers[0] = self.workers[0]._replace(**changes)
        self.list_workers()


class TestChoice:
    def test_cold_worker_is_chosen_after_the_others(self):
        """Guards against tasks that are late, as best fit puts them on slow workers."""
        assert ColdFleet(0.0).start_one(1) == ["w0"]
        assert ColdFleet(5.0).start_one(1) == ["w1"]

    def test_cold_worker_is_not_excluded(self):
        """Guards against tasks that wait although a slow worker has room."""
        fleet = ColdFleet(5.0, n_workers=1)
        assert fleet.start_one(1) == ["w0"]
        fleet = ColdFleet(5.0)
        assert sorted(fleet.start_one(1, n_tasks=5)) == ["w0"] + ["w1"] * 4

    def test_failures_count_for_more(self):
        """Guards against tasks on a worker that fails, only because it is warm."""
        cold = CandidateWorker("cold", (), Resources(16.0, 64.0, 0))
        cold.is_cold = True
        failing = CandidateWorker("failing", (), Resources(8.0, 64.0, 0), penalty=1.0)
        need = TaskNeed("s", Resources(1.0, 1.0, 0))
        assert choose_worker(need, [failing, cold]) is cold


class TestCountdown:
    def test_it_ends_when_the_entry_said(self):
        """Guards against a worker that counts as slow for good."""
        fleet = ColdFleet(5.0)
        fleet.advance(4.9)
        fleet.list_workers()
        assert fleet.dispatcher.worker_by_id["w0"].is_cold(fleet.now)
        fleet.advance(0.2)
        fleet.list_workers()
        assert not fleet.dispatcher.worker_by_id["w0"].is_cold(fleet.now)
        assert fleet.start_one(1) == ["w0"]

    def test_later_entry_counts(self):
        """Guards against a countdown that goes on by an old entry."""
        fleet = ColdFleet(5.0)
        fleet.advance(1.0)
        fleet.change_entry(cold_seconds=0.5)
        fleet.advance(1.0)
        assert not fleet.dispatcher.worker_by_id["w0"].is_cold(fleet.now)

    def test_restart_under_the_same_id_counts_anew(self):
        """Guards against a restarted worker that counts as warm."""
        fleet = ColdFleet(5.0)
        fleet.advance(6.0)
        fleet.change_entry(started_at=2.0)
        assert fleet.dispatcher.worker_by_id["w0"].is_cold(fleet.now)
