"""Tests of the number of jobs that wait in a queue."""

import pytest

from ...ports import Reason, Unavailable
from ...ports.fleet_workers import Done, Rejected, Rejection
from ..workers.worker_state import MAX_LEASE_SECONDS
from .builders import QUEUE, Fleet, make_job, make_worker

NO_ANSWER = Unavailable(Reason.TIMEOUT, "worker-start", "w1", "", True)


def answer_first_start(outcome):
    """Return a fleet and the first start of its only job, which got an outcome."""
    fleet = Fleet([make_worker("w1")])
    fleet.dispatcher.add_job(make_job(), fleet.now)
    (start,) = fleet.plan()
    fleet.answer(start, outcome)
    return fleet, start


class TestJobThatHasNotStarted:
    @pytest.mark.parametrize("outcome", [NO_ANSWER, Rejected(Rejection.UNHEALTHY)])
    def test_it_waits_after_a_start_without_effect(self, outcome):
        """Guards against a queue that seems empty while a worker is lost or unhealthy.

        The only start order of a job went to a worker that had fallen silent. The job
        waited for 9 s, and all daemons said that none did.
        """
        fleet, _ = answer_first_start(outcome)
        assert fleet.dispatcher.count_waiting() == {QUEUE: 1}

    def test_it_waits_after_its_worker_was_lost(self):
        """Guards against a count that changes as the run is given up."""
        fleet, start = answer_first_start(NO_ANSWER)
        fleet.advance(MAX_LEASE_SECONDS + 1.0)
        fleet.dispatcher.expire(fleet.now)
        assert not start.worker.run_by_key
        assert fleet.dispatcher.count_waiting() == {QUEUE: 1}


class TestJobThatHasStarted:
    def test_it_does_not_wait(self):
        """Guards against a queue that seems full while its jobs run."""
        fleet, _ = answer_first_start(Done())
        assert fleet.dispatcher.count_waiting() == {}
