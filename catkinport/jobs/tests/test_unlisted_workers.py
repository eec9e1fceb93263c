"""Tests of workers whose entry vanishes from the list while they go on running.

The platform removes the entry of a worker that has missed three reports, as a starved
one does, and its entry comes back with the next report.
"""

import pytest

from .builders import Fleet, make_job, make_step, make_worker

UNLISTED_SECONDS = 5.0
"""Longer than the lease of a worker without runs, so that its record is removed."""


class UnlistedFleet(Fleet):
    """Two workers, which the owner polls also while they are not listed."""

    def __init__(self) -> None:
        super().__init__([make_worker("w1"), make_worker("w2")])

    def unlist_all(self, seconds: float = UNLISTED_SECONDS) -> None:
        """Let all entries be absent for some time."""
        listed, self.workers = self.workers, []
        for _ in range(int(seconds / 0.5)):
            self.list_workers()
            self.advance(0.5)
            for worker_id in list(self.dispatcher.worker_by_id):
                self.poll(worker_id)
        self.workers = listed


class TestWorkersWithoutRuns:
    @pytest.mark.parametrize("seconds", [0.5, UNLISTED_SECONDS])
    def test_they_take_tasks_at_the_next_list_that_names_them(self, seconds):
        """Guards against a pool without tasks after its entries are back.

        Workers that were removed and are listed again have the same time of start.
        """
        fleet = UnlistedFleet()
        fleet.unlist_all(seconds)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        assert fleet.plan() == []
        fleet.list_workers()
        assert len(fleet.plan()) == 1


class TestWorkersWithRuns:
    def test_they_keep_their_runs_and_take_tasks_once_listed(self):
        """Guards against a second run of a task whose worker was only not listed."""
        fleet = UnlistedFleet()
        fleet.dispatcher.add_job(make_job(steps=[make_step(2)]), fleet.now)
        assert len(fleet.start()) == 2
        fleet.unlist_all()
        n_runs = sum(len(w.run_by_key) for w in fleet.dispatcher.worker_by_id.values())
        assert n_runs == 2
        fleet.dispatcher.add_job(make_job("00000000000000b2"), fleet.now)
        assert fleet.plan() == []
        fleet.list_workers()
        assert len(fleet.plan()) == 1

    def test_an_end_while_not_listed_is_noted(self):
        """Guards against a job that waits for the end of a lease."""
        fleet = UnlistedFleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.start()
        fleet.workers = []
        fleet.list_workers()
        fleet.end(start)
        assert set(fleet.states().values()) == {"completed"}


class TestWorkerThatStartedAgain:
    def test_it_takes_tasks_at_once_under_its_former_id(self):
        """Guards against a pool whose workers count as those of before."""
        fleet = UnlistedFleet()
        fleet.unlist_all()
        fleet.workers = [make_worker("w1", started_at=2.0)]
        fleet.dispatcher.update_workers(fleet.workers, fleet.now, fleet.now)
        fleet.dispatcher.worker_by_id["w1"].is_enrolled = True
        fleet.poll("w1", started_at=2.0)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        assert len(fleet.plan()) == 1
