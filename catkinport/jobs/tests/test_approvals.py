"""Tests of steps that need an approval of their workers, a ticket."""

import pytest

from ...ports.fleet_workers import Rejected, Rejection
from ..configuration import ApprovalTerms
from ..dispatch.approvals import REJECTED_TICKET_PAUSE_SECONDS, Ticket
from .builders import (
    JOB_ID,
    QUEUE,
    Fleet,
    make_configuration,
    make_job,
    make_step,
    make_worker,
)

N_WORKERS = 250
STAGE = f"{JOB_ID}.0.0"


def make_fleet(n_workers: int = N_WORKERS, n_tasks: int = 1) -> Fleet:
    """Return a fleet whose queue needs approvals, with a job that waits."""
    fleet = Fleet([make_worker(f"w{number}") for number in range(n_workers)])
    configuration = make_configuration(version=2)
    queue = configuration.queue_by_name[QUEUE]._replace(approval=ApprovalTerms(5.0))
    fleet.dispatcher.apply_configuration(
        configuration._replace(queue_by_name={QUEUE: queue})
    )
    fleet.dispatcher.add_job(make_job(steps=[make_step(n_tasks)]), fleet.now)
    return fleet


def answer_request(
    fleet: Fleet, approved: set[str], text: str = "t", sent_at: float | None = None
) -> tuple[str, ...]:
    """Answer the request of the latest planning; return the workers that it names.

    The request was sent at ``sent_at``, or just now.
    """
    request = fleet.planner.wanted_approvals[STAGE]
    sent_at = fleet.now if sent_at is None else sent_at
    valid_until = sent_at + request.terms.valid_seconds
    tickets = {
        worker_id: Ticket(text, valid_until, sent_at)
        for worker_id in request.worker_ids
        if worker_id in approved
    }
    fleet.dispatcher.approvals.note_answer(STAGE, tickets, request.worker_ids)
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
    def test_a_rejected_ticket_is_not_used_again(self):
        fleet = make_fleet(n_workers=1)
        fleet.start()
        answer_request(fleet, {"w0"})
        (start,) = fleet.plan()
        fleet.answer(start, Rejected(Rejection.TICKET))
        assert fleet.plan() == []
        assert fleet.planner.wanted_approvals[STAGE].worker_ids == ("w0",)

    # Guards against a valid ticket that is dropped, and a request for nothing, when a
    # rejection of the one before it arrives late.
    def test_a_late_rejection_leaves_the_next_ticket(self):
        fleet = make_fleet(n_workers=1, n_tasks=2)
        fleet.start()
        answer_request(fleet, {"w0"})
        former, late = fleet.plan()
        fleet.answer(former, Rejected(Rejection.TICKET))
        fleet.plan()
        fleet.advance(0.1)
        answer_request(fleet, {"w0"}, text="next")
        fleet.answer(late, Rejected(Rejection.TICKET))
        assert {start.ticket for start in fleet.plan()} == {"next"}

    # Guards against requests as fast as the advice service answers, while it goes on to
    # give tickets that the worker rejects: the service handles one call at a time.
    def test_requests_after_rejected_tickets_are_paced(self):
        fleet = make_fleet(n_workers=1)
        n_requests = 0
        for _ in range(100):
            fleet.advance(0.02)
            fleet.poll("w0")
            for start in fleet.plan():
                fleet.answer(start, Rejected(Rejection.TICKET))
            if STAGE in fleet.planner.wanted_approvals:
                n_requests += 1
                answer_request(fleet, {"w0"})
        assert 4 <= n_requests <= 2 + 2.0 / REJECTED_TICKET_PAUSE_SECONDS

    # Guards against a pause for each of the workers that reject tickets of one request.
    def test_many_rejected_tickets_of_a_request_count_once(self):
        fleet = make_fleet(n_workers=10, n_tasks=40)
        fleet.start()
        workers = {f"w{number}" for number in range(10)}
        for _ in range(2):
            answer_request(fleet, workers)
            fleet.advance(0.1)
            starts = fleet.plan()
            assert {start.run.worker_id for start in starts} == workers
            for start in starts:
                fleet.answer(start, Rejected(Rejection.TICKET))
            fleet.plan()
            fleet.advance(REJECTED_TICKET_PAUSE_SECONDS)
            fleet.poll_all()
            assert fleet.plan() == []
            assert set(fleet.planner.wanted_approvals[STAGE].worker_ids) == workers


class TestTicketsOfAFormerIncarnation:
    """A ticket holds in one incarnation of its worker."""

    # Guards against a start that the worker is known to reject, which has its price.
    @pytest.mark.parametrize("is_listed_first", [False, True])
    def test_they_are_not_used_once_a_later_one_is_known(self, is_listed_first):
        fleet = make_fleet(n_workers=1)
        fleet.start()
        answer_request(fleet, {"w0"})
        fleet.advance(0.3)
        restart(fleet, is_listed_first)
        assert fleet.plan() == []
        answer_request(fleet, {"w0"}, text="next")
        (start,) = fleet.plan()
        assert start.ticket == "next"

    # Guards against the same by a request that was under way at the restart.
    @pytest.mark.parametrize("is_listed_first", [False, True])
    def test_nor_is_one_that_was_requested_before(self, is_listed_first):
        fleet = make_fleet(n_workers=1)
        fleet.start()
        sent_at = fleet.now
        fleet.advance(0.3)
        restart(fleet, is_listed_first)
        answer_request(fleet, {"w0"}, sent_at=sent_at)
        assert fleet.plan() == []
        assert fleet.planner.wanted_approvals[STAGE].worker_ids == ("w0",)

    # Guards against tickets that are requested anew with each answer of a worker.
    def test_they_are_used_while_it_answers(self):
        fleet = make_fleet(n_workers=1)
        fleet.start()
        answer_request(fleet, {"w0"})
        fleet.advance(0.3)
        fleet.list_workers()
        (start,) = fleet.plan()
        assert start.ticket == "t"


def restart(fleet: Fleet, is_listed_first: bool) -> None:
    """Let the only worker answer and be listed as its next incarnation."""
    if is_listed_first:
        fleet.renew_entry("w0", 2.0)
    fleet.poll("w0", started_at=2.0)
    if not is_listed_first:
        fleet.renew_entry("w0", 2.0)
