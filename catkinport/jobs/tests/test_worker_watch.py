"""Tests of the leases that polls renew."""

import asyncio
from types import SimpleNamespace

import pytest

from ...policy.leadership import OwnLease
from ...ports import Reason, Unavailable
from ...ports.fleet_workers import WorkerLists
from ..ownership import worker_watch
from ..ownership.worker_watch import WorkerWatch
from .builders import Fleet, make_job, make_worker

LOST = Unavailable(Reason.CONNECTION_LOST, "worker-hold", "w1", "", True)


class FakeSession:
    """A session whose worker answers each poll with the next of ``outcomes``.

    Attributes:
        polls: length of the lease and wait of each poll, in seconds.
        acknowledged: number of the end that each poll acknowledges.
    """

    def __init__(self, fleet, outcomes):
        self.dispatcher = fleet.dispatcher
        self.clock = SimpleNamespace(now=lambda: fleet.now)
        self.lease = OwnLease(1, 0.0)
        self.ports = SimpleNamespace(workers=self)
        self.wake = asyncio.Event()
        self.polls = []
        self.acknowledged = []
        self._outcomes = list(outcomes)

    async def renew_lease(self, worker, token, end, lease_seconds, wait_seconds):
        self.polls.append((lease_seconds, wait_seconds))
        self.acknowledged.append(end)
        return self._outcomes.pop(0)


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(worker_watch, "POLL_PAUSE_SECONDS", 0.0)


ANSWER = WorkerLists(1.0, [], [])


def poll(fleet, *outcomes):
    """Poll the worker once for each outcome; return the session."""
    session = FakeSession(fleet, outcomes)
    watch = WorkerWatch(session, None, 0.0)

    async def run():
        for _ in outcomes:
            await watch.poll(fleet.dispatcher.worker_by_id["w1"])

    asyncio.run(run())
    return session


class TestPollWithoutAnswer:
    def test_next_poll_reads_the_lists_only(self):
        """Guards against a lease on the clock of a worker that has restarted since."""
        fleet = Fleet([make_worker("w1")])
        session = poll(fleet, LOST, WorkerLists(2.0, [], []), LOST)
        assert session.polls == [(4.0, 1.0), (0.0, 0.0), (4.0, 1.0)]

    def test_worker_gets_no_tasks_before_the_next_answer(self):
        """Guards against a start on the clock of a worker that has restarted since."""
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        poll(fleet, LOST)
        assert fleet.plan() == []
        poll(fleet, WorkerLists(2.0, [], []))
        assert len(fleet.plan()) == 1


class TestAcknowledgedEnds:
    def test_ends_are_acknowledged_until_a_poll_is_answered(self):
        """Guards against a late poll that makes a restarted worker forget its ends.

        The numbers of ends begin anew there, so that a number of the former incarnation
        covers ends that are not stored.
        """
        fleet = Fleet([make_worker("w1")])
        worker = fleet.dispatcher.worker_by_id["w1"]
        worker.processed_end = worker.stored_end = 57
        session = poll(fleet, LOST, ANSWER, ANSWER, LOST)
        assert session.acknowledged == [57, 57, 0, 0]

    def test_ends_of_a_restarted_worker_are_acknowledged(self):
        """Guards against ends that are listed for ever after a restart."""
        fleet = Fleet([make_worker("w1")])
        worker = fleet.dispatcher.worker_by_id["w1"]
        worker.processed_end = worker.stored_end = 57
        poll(fleet, ANSWER, WorkerLists(2.0, [], []))
        worker.processed_end = worker.stored_end = 1
        session = poll(fleet, WorkerLists(2.0, [], []))
        assert session.acknowledged == [1]
