"""Tests of the leases that the client of the workers asks for."""

import asyncio

from ...policy.resources import NO_RESOURCES
from ...ports import Reason, Unavailable
from ...ports.clock import ManualClock
from ...ports.fleet_workers import ListedWorker
from ..client import Reply
from ..workers import PlatformWorkers

LEASE_SECONDS = 4.0
NO_ANSWER = Unavailable(Reason.TIMEOUT, "worker-hold", "w1", "", True)
WORKER = ListedWorker(
    "w1", "pool", "h:1", "z", False, 0.0, NO_RESOURCES, ("kind", "rack"), 1.0
)


class FakeClient:
    """HTTP client that gives prepared replies and keeps the bodies that were sent."""

    def __init__(self, *replies):
        self._replies = list(replies)
        self.bodies = []

    async def call(self, step, method, peer, path, timeout, body=None, headers=None):
        self.bodies.append(body)
        return self._replies.pop(0)


def answer(clock_ms):
    return Reply(200, {"ClockMs": clock_ms, "born": 1, "Running": [], "Ended": []})


def send_holds(*replies):
    """Renew the lease once for each reply; return the bodies of the calls."""
    client = FakeClient(*replies)
    workers = PlatformWorkers(client, None, ManualClock(100.0), "")

    async def run():
        for _ in replies:
            await workers.renew_lease(WORKER, 1, 0, LEASE_SECONDS, 1.0)

    asyncio.run(run())
    return client.bodies


class TestLeaseEnd:
    def test_a_lease_ends_on_the_clock_of_the_latest_answer(self):
        """Guards against a lease that ends at a wrong time on the worker's clock."""
        bodies = send_holds(answer(60_000), answer(60_500))
        assert "UntilMs" not in bodies[0]
        assert bodies[1]["UntilMs"] == 64_000

    def test_the_clock_is_unknown_after_a_poll_without_an_answer(self):
        """Guards against a lease that is far longer than the owner believes.

        The worker restarted under its id, so that its clock shows less than before.
        """
        bodies = send_holds(answer(60_000), NO_ANSWER, answer(500), answer(600))
        assert "UntilMs" not in bodies[2]
        assert bodies[3]["UntilMs"] == 4_500

    def test_a_worker_with_an_unknown_clock_is_asked_to_answer_at_once(self):
        """Guards against leases that expire while a poll waits without renewing one."""
        bodies = send_holds(answer(60_000), NO_ANSWER, answer(61_000))
        assert "WaitMs" in bodies[1]
        assert "WaitMs" not in bodies[2]
