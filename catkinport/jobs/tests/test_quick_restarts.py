"""Tests of starts that reach a worker which has started again under its id.

Nothing has told the owner of the restart yet, so the start was made for the incarnation
before.
"""

import pytest

from .builders import Fleet, make_job, make_worker

POLL_SECONDS = 0.3
"""Time for which the poll is under way that first shows the restart."""


class StartOnRestartedWorker:
    """A fleet of two workers, on one of which a task was started after its restart.

    Attributes:
        fleet: the fleet.
        run: run of the task, which the worker has confirmed.
        worker_id: worker of the run.
    """

    def __init__(self) -> None:
        self.fleet = Fleet([make_worker("w1"), make_worker("w2")])
        self.fleet.advance(1.0)
        self.fleet.poll_all()
        self.fleet.dispatcher.add_job(make_job(), self.fleet.now)
        (start,) = self.fleet.start()
        self.run = start.run
        self.worker_id = start.worker.worker_id

    def is_held(self) -> bool:
        """Return whether the owner knows of the run and starts the task nowhere."""
        worker = self.fleet.dispatcher.worker_by_id[self.worker_id]
        return self.run.key in worker.run_by_key and self.fleet.plan() == []


@pytest.fixture
def start():
    return StartOnRestartedWorker()


class TestFirstReport:
    def test_run_that_was_confirmed_after_the_poll_was_sent_is_kept(self, start):
        """Guards against a second run: the report may be older than the start."""
        reported = dict(start.fleet.running_by_worker[start.worker_id])
        start.fleet.running_by_worker[start.worker_id].clear()
        sent_at = start.fleet.now - POLL_SECONDS
        start.fleet.poll(start.worker_id, started_at=2.0, sent_at=sent_at)
        assert start.is_held()
        start.fleet.running_by_worker[start.worker_id].update(reported)
        start.fleet.poll(start.worker_id, started_at=2.0)
        assert start.is_held()

    def test_run_that_ended_with_the_former_incarnation_is_given_up(self, start):
        """Guards against a task that waits for a run that the next report lacks."""
        start.fleet.running_by_worker[start.worker_id].clear()
        sent_at = start.fleet.now - POLL_SECONDS
        start.fleet.poll(start.worker_id, started_at=2.0, sent_at=sent_at)
        start.fleet.advance(POLL_SECONDS)
        start.fleet.poll(start.worker_id, started_at=2.0)
        assert not start.is_held()
