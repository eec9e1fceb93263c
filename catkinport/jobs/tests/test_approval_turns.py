"""Tests of the order, the number and the timeouts of calls to the advice service."""

import pytest

from ..configuration import ApprovalTerms
from ..placement.approval_turns import (
    ANSWER_MARGIN_SECONDS,
    MAX_RETRY_SECONDS,
    MAX_UNWANTED_SECONDS,
    OVERDUE_SECONDS,
    SLOWNESS_FACTOR,
    ApprovalKind,
    ApprovalRequest,
    ApprovalTurns,
)

TERMS = ApprovalTerms(10.0, decide_seconds=1.0, each_seconds=0.1)
CALL_SECONDS = 1.2


def make_request(stage: str, **fields) -> ApprovalRequest:
    return ApprovalRequest(stage, ("w1", "w2"), fields.pop("terms", TERMS), **fields)


def make_turns(*requests: ApprovalRequest, now: float = 0.0) -> ApprovalTurns:
    turns = ApprovalTurns()
    turns.update({request.stage: request for request in requests}, now)
    return turns


def serve_all(turns: ApprovalTurns) -> list[str]:
    """Answer all calls one after the other; return the steps in their order."""
    now, stages = 0.0, []
    while (call := turns.take(now)) is not None:
        stages.append(call.request.stage)
        now += CALL_SECONDS
        turns.end(call, True, now)
    return stages


class TestOrder:
    def test_the_first_to_come_is_the_first_to_be_served(self):
        turns = make_turns(make_request("a"))
        for number, stage in enumerate("bc"):
            turns.update({stage: make_request(stage)}, 0.1 * (number + 1))
        assert serve_all(turns) == ["a", "b", "c"]

    def test_a_burst_of_one_account_does_not_hold_up_another(self):
        """Guards against a single job that waits behind the burst of another account.

        It has come after them.
        """
        burst = [make_request(f"a{number}", account="busy") for number in range(8)]
        turns = make_turns(*burst)
        turns.update({"b": make_request("b", account="calm")}, 0.5)
        assert "b" in serve_all(turns)[:2]

    def test_an_urgent_queue_comes_first(self):
        """Guards against urgent jobs that wait for approvals of others."""
        slow = [make_request(f"a{number}", priority=3) for number in range(4)]
        assert serve_all(make_turns(*slow, make_request("b")))[0] == "b"

    def test_renewals_and_repeated_questions_come_last(self):
        """Guards against steps without room that take the turns of new ones."""
        turns = make_turns(
            make_request("a", kind=ApprovalKind.REPEATED_QUESTION),
            make_request("b", kind=ApprovalKind.RENEWAL),
            make_request("c"),
        )
        assert serve_all(turns) == ["c", "b", "a"]

    def test_a_request_that_nothing_wants_any_more_is_dropped(self):
        """Guards against calls for jobs that are canceled or done."""
        turns = make_turns(make_request("a"), make_request("b"))
        turns.update({"b": make_request("b")}, MAX_UNWANTED_SECONDS + 0.1)
        assert turns.n_waiting == 1
        assert serve_all(turns) == ["b"]


class TestCallsUnderWay:
    def test_one_call_is_sent_at_a_time(self):
        """Guards against calls that wait in the service until they are given up."""
        turns = make_turns(make_request("a"), make_request("b"))
        call = turns.take(0.0)
        assert turns.take(CALL_SECONDS + OVERDUE_SECONDS - 0.1) is None
        turns.end(call, True, CALL_SECONDS)
        assert turns.take(CALL_SECONDS).request.stage == "b"

    def test_a_second_one_is_sent_once_the_first_is_overdue(self):
        """Guards against a lost answer that holds up all steps."""
        turns = make_turns(*map(make_request, "abc"))
        turns.take(0.0)
        now = CALL_SECONDS + OVERDUE_SECONDS + 0.1
        turns.update({stage: make_request(stage) for stage in "bc"}, now)
        assert turns.take(now) is not None
        assert turns.take(now) is None

    def test_a_step_is_requested_once_at_a_time(self):
        turns = make_turns(make_request("a"))
        turns.take(0.0)
        turns.update({"a": make_request("a")}, 0.1)
        assert turns.n_waiting == 0

    @pytest.mark.parametrize("n_workers", [1, 100])
    def test_the_timeout_follows_the_terms(self, n_workers):
        """Guards against calls that are given up before the service can answer."""
        request = make_request("a")._replace(worker_ids=("w",) * n_workers)
        call = make_turns(request).take(0.0)
        seconds = 1.0 + 0.1 * n_workers + ANSWER_MARGIN_SECONDS
        assert call.timeout_seconds == pytest.approx(seconds)

    def test_it_counts_a_call_that_was_given_up(self):
        """Guards against a call that is given up behind one that still has its turn."""
        terms = TERMS._replace(decide_seconds=9.0)
        turns = make_turns(make_request("a", terms=terms), make_request("b"))
        call = turns.take(0.0)
        turns.end(call, False, 2.0)
        second = turns.take(2.5)
        due_at = 9.2 + CALL_SECONDS * SLOWNESS_FACTOR
        assert second.due_at == pytest.approx(due_at)
        longest_seconds = due_at - 2.5 + ANSWER_MARGIN_SECONDS
        assert second.timeout_seconds == pytest.approx(longest_seconds)


class TestSlowService:
    def test_timeouts_follow_its_answers(self):
        """Guards against calls behind each other once answers take 2.5 times as long.

        A second call beside one that is only slow waits in the service for it.
        """
        turns = make_turns(make_request("a"), make_request("b"))
        turns.end(turns.take(0.0), True, 2.5 * CALL_SECONDS)
        call = turns.take(3.0)
        assert call.due_at == pytest.approx(3.0 + 2.5 * CALL_SECONDS)

    def test_they_grow_while_none_comes(self):
        """Guards against a very slow service whose calls are all given up."""
        turns = make_turns(*map(make_request, "abc"))
        first = turns.take(0.0)
        turns.end(first, False, 4.2)
        now = 10.0
        turns.update({stage: make_request(stage) for stage in "abc"}, now)
        assert turns.take(now).timeout_seconds > first.timeout_seconds


class TestFailures:
    def test_pauses_grow_up_to_a_bound(self):
        """Guards against calls without end to a service that answers with errors."""
        turns, now, sent_at = ApprovalTurns(), 0.0, []
        while now < 30.0:
            turns.update({"a": make_request("a")}, now)
            call = turns.take(now)
            if call is not None:
                sent_at.append(now)
                turns.end(call, False, now)
            now += 0.05
        pauses = [b - a for a, b in zip(sent_at, sent_at[1:], strict=False)]
        assert pauses[0] < 0.5
        assert max(pauses) <= MAX_RETRY_SECONDS + 0.1
        assert len(sent_at) < 16

    def test_the_first_answer_ends_them(self):
        """Guards against slow calls after a service has come back."""
        turns = make_turns(*map(make_request, "abcd"))
        for now in (0.0, 1.0):
            turns.end(turns.take(now), False, now)
        turns.end(turns.take(2.0), True, 2.1)
        assert turns.take(2.1) is not None


class TestValidity:
    def test_a_ticket_counts_from_the_sending_of_its_call(self):
        """Guards against starts with tickets that are over."""
        call = make_turns(make_request("a")).take(100.0)
        assert call.find_end(answered_at=101.2) == 110.0

    def test_one_that_would_be_over_as_it_comes_counts_from_its_answer(self):
        """Guards against a queue whose jobs never start: no ticket could be used."""
        terms = ApprovalTerms(2.0, decide_seconds=3.0)
        call = make_turns(make_request("a", terms=terms)).take(100.0)
        assert call.find_end(answered_at=103.0) == 105.0


class TestTerms:
    @pytest.mark.parametrize(
        ("terms", "n_fewest", "n_most"),
        [
            (ApprovalTerms(10.0), 100, 100),
            (TERMS, 2, 40),
            (ApprovalTerms(10.0, 4.0, 0.01), 100, 100),
            (ApprovalTerms(2.0, 1.0, 0.1), 2, 1),
        ],
    )
    def test_number_of_workers_that_a_call_names(self, terms, n_fewest, n_most):
        """Guards against calls that take longer than their tickets hold."""
        assert (terms.fewest_workers(), terms.most_workers()) == (n_fewest, n_most)
