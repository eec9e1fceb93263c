"""Tests of calls to the advice service and of the terms of a queue that needs it."""

import asyncio

import pytest

from ...jobs.configuration import ApprovalTerms
from ...ports import Reason, Unavailable
from ..advice import PlatformAdvice
from ..client import Reply
from ..operator_rows import decode_configuration


class FakeAdvice:
    """HTTP client of the advice service that gives one answer.

    Attributes:
        calls: timeout and body of each call.
    """

    def __init__(self, answer: Reply | Unavailable) -> None:
        self._answer = answer
        self.calls: list[tuple[float, dict]] = []

    async def call(self, step, method, peer, path, timeout_seconds, body):
        self.calls.append((timeout_seconds, body))
        return self._answer


def fetch(answer: Reply | Unavailable):
    """Return the outcome of a call, and the client that has sent it."""
    client = FakeAdvice(answer)
    advice = PlatformAdvice(client, "advice:1")
    outcome = asyncio.run(advice.fetch_tickets("a1.0.0", ("i-1", "i-2"), 13.0))
    return outcome, client


class TestCall:
    def test_it_waits_as_long_as_the_caller_says(self):
        """Guards against a wait of 3 s for calls that take longer (review/12)."""
        outcome, client = fetch(Reply(200, {"Good": [["i-2", "t"]]}))
        assert outcome == {"i-2": "t"}
        body = {"Step": "a1.0.0", "Workers": ["i-1", "i-2"]}
        assert client.calls == [(13.0, body)]

    @pytest.mark.parametrize(
        ("status", "reason"),
        [(429, Reason.QUEUE_FULL), (500, Reason.ANSWER_TRUNCATED)],
    )
    def test_a_refusal_is_no_fault_of_the_store(self, status, reason):
        """Guards against logs that blame the store for a service that is full."""
        outcome, _ = fetch(Reply(status, {}))
        assert outcome.reason is reason


class TestTerms:
    def test_all_times_are_read(self):
        """Guards against waits that don't follow what the operator has stated."""
        advice = {"DecideMs": 1000, "EachMs": 120, "ValidMs": 10_000}
        route = {
            "Name": "q",
            "Host": "h",
            "PathPrefix": "/q/",
            "Service": "p",
            "Advice": advice,
        }
        configuration = decode_configuration(
            {
                "Version": 1,
                "Routes": [route],
                "Services": [{"Name": "p", "EnforcesCapacity": True}],
                "Tenants": [],
                "Limits": {},
            }
        )
        terms = configuration.queue_by_name["q"].approval
        assert terms == ApprovalTerms(10.0, 1.0, 0.12)
