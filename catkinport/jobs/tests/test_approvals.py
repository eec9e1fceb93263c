"""Tests of steps that need an approval of their workers, a ticket."""

import pytest

from ...ports.fleet_workers import Rejected, Rejection
from ..configuration import ApprovalTerms
from ..placement.planner import Ticket
from .builders import JOB_ID, QUEUE, Fleet, make_configuration, make_job, make_worker

N_WORKERS = 250
STAGE = f"{JOB_ID}.0.0"


def make_fleet(n_workers: int = N_WORKERS) -> Fleet:
    """Return a fleet whose queue needs approvals, with a job that waits."""
    fleet = Fleet([make_worker(f"w{number}") for number in range(n_workers)])
    configuration = make_configuration(version=2)
    queue = configuration.queue_by_name[QUEUE]._replace(approval=ApprovalTerms(5.0))
    fleet.dispatcher.apply_configuration(
        configuration._replace(queue_by_name={QUEUE: queue})
    )
    fleet.dispatcher.add_job(make_job(), fleet.now)
    return fleet


def answer_request(fleet: Fleet, approved: set[str]) -> tuple[str, ...]:
    """Answer the request of the latest planning; return the workers that it names."""
    request = fleet.planner.wanted_approvals[STAGE]
    valid_until = fleet.now + request.valid_seconds
    tickets = {
        worker_id: Ticket("t", valid_until)
        for worker_id in request.worker_ids
        if worker_id in approved
    }
    fleet.planner.keep_tickets(STAGE, tickets, request.worker_ids)
    return request.worker_ids


class TestRequests:
    # Guards against a task that never starts, because only the first workers of a large
    # pool are asked for, again and again.
    def test_the_workers_of_a_large_pool_are_asked_for_in_turn(self):
        fleet = make_fleet()
        approved = {f"w{N_WORKERS - 1}"}
        for _ in range(3):
            assert fleet.start() == []
            answer_request(fleet, approved)
        (start,) = fleet.start()
        assert start.run.worker_id in approved
        assert start.ticket == "t"

    # Guards against requests that the advice service refuses for their length.
    def test_a_request_names_a_hundred_workers_at_most(self):
        fleet = make_fleet()
        fleet.start()
        assert len(answer_request(fleet, set())) == 100

    # Guards against a task that waits for good after no worker was approved once.
    def test_all_workers_are_asked_for_again_after_the_last(self):
        fleet = make_fleet(n_workers=2)
        for _ in range(2):
            fleet.start()
            assert answer_request(fleet, set()) == ("w0", "w1")
        fleet.start()
        answer_request(fleet, {"w1"})
        assert len(fleet.start()) == 1

    # Guards against requests for all other workers before that of an approved one is
    # renewed.
    def test_an_approved_worker_is_asked_for_first_after_its_ticket(self):
        fleet = make_fleet(n_workers=150)
        fleet.start()
        answer_request(fleet, {"w7"})
        fleet.advance(6.0)
        fleet.list_workers()
        fleet.start()
        assert answer_request(fleet, set())[0] == "w7"

    # Guards against workers that are left out because others have gone meanwhile.
    def test_a_new_worker_is_asked_for_before_those_that_were_not_approved(self):
        fleet = make_fleet(n_workers=2)
        fleet.start()
        answer_request(fleet, set())
        fleet.workers.append(make_worker("w2"))
        fleet.running_by_worker["w2"] = {}
        fleet.ended_by_worker["w2"] = []
        fleet.list_workers()
        fleet.start()
        assert answer_request(fleet, set()) == ("w2",)


class TestRejectedTickets:
    # Guards against starts without end on a worker that has restarted: it rejects the
    # ticket of its former incarnation until that expires.
    @pytest.mark.xfail(strict=True, reason="a former incarnation's state (issue 54)")
    def test_a_rejected_ticket_is_not_used_again(self):
        fleet = make_fleet(n_workers=1)
        fleet.start()
        answer_request(fleet, {"w0"})
        (start,) = fleet.plan()
        fleet.answer(start, Rejected(Rejection.TICKET))
        assert fleet.plan() == []
        assert fleet.planner.wanted_approvals[STAGE].worker_ids == ("w0",)
