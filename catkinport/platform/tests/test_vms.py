"""Tests of the client of the service that lists, moves and maintains VMs."""

import asyncio

import pytest

from ...ports import Reason, Unavailable
from ...ports.fleet_workers import Done, Rejected, Rejection
from ..client import Reply
from ..vms import PlatformVms


class ScriptedClient:
    """Client that gives its replies one after the other, the last one for good."""

    def __init__(self, *replies: Reply) -> None:
        self._replies = list(replies)

    async def call(self, *args, **kwargs) -> Reply:
        return self._replies.pop(0) if len(self._replies) > 1 else self._replies[0]


def make_vms(*replies: Reply) -> PlatformVms:
    return PlatformVms(ScriptedClient(*replies), "vms:1", "edge-1")


def _page(number: int, next_token: str | None) -> Reply:
    entry = {"Machine": f"m-{number}", "Pool": "p", "State": "up", "Labels": []}
    return Reply(200, {"Machines": [entry], "NextToken": next_token}, 0.0)


class SlowClient:
    """Client of a service that takes ``seconds`` for each answer."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    async def call(self, step, method, peer, path, timeout_seconds, **arguments):
        if timeout_seconds < self._seconds:
            return Unavailable(Reason.TIMEOUT, step, peer, "", True)
        return Reply(200, {"Machines": [], "NextToken": None}, self._seconds)


class TestSlowService:
    def test_lists_and_orders_are_answered_after_some_calls(self):
        """Guards against VMs that stay blocked by orders without an answer.

        The timeout was 1.5 s always, and pools of a platform 0.8 s away stood still.
        """
        vms = PlatformVms(SlowClient(1.6), "vms:1", "edge-1")
        for _ in range(2):
            asyncio.run(vms.list_vms())
        assert asyncio.run(vms.list_vms()) == []
        assert asyncio.run(vms.maintain("m-1", 1, 7)) == Done()


class TestList:
    def test_a_list_that_goes_on_counts_as_no_answer(self):
        """Guards against tasks that start again as the VMs beyond count as gone."""
        vms = make_vms(Reply(200, {"Machines": [], "NextToken": "more"}, 0.0))
        assert isinstance(asyncio.run(vms.list_vms()), Unavailable)

    def test_pages_are_read_to_the_end(self):
        pages = [_page(number, "more" if number < 3 else None) for number in range(4)]
        listed = asyncio.run(make_vms(*pages).list_vms())
        assert [vm.vm_id for vm in listed] == ["m-0", "m-1", "m-2", "m-3"]


class TestOrder:
    @pytest.mark.parametrize(
        ("status", "body", "outcome"),
        [
            (200, {}, Done()),
            (409, {"Reason": "fence"}, Rejected(Rejection.FENCED)),
            (409, {"Reason": "busy"}, Rejected(Rejection.NOT_UP)),
            (409, {"Reason": "wave"}, Rejected(Rejection.INVALID)),
            (409, {"Reason": ["busy"]}, Rejected(Rejection.INVALID)),
            (409, None, Rejected(Rejection.INVALID)),
            (400, None, Rejected(Rejection.INVALID)),
        ],
    )
    def test_outcome_by_answer(self, status, body, outcome):
        """Guards against taking a VM that is down for one that can't be ordered."""
        vms = make_vms(Reply(status, body, 0.0))
        assert asyncio.run(vms.maintain("m-1", 1, 7)) == outcome

    @pytest.mark.parametrize(
        ("status", "may_be_done"), [(429, False), (503, False), (500, True)]
    )
    def test_only_a_refusal_is_certainly_without_effect(self, status, may_be_done):
        """Guards against ordering other VMs while an order may be carried out."""
        outcome = asyncio.run(make_vms(Reply(status, None, 0.0)).move("m-1", "p", 7))
        assert isinstance(outcome, Unavailable)
        assert outcome.may_have_committed is may_be_done
