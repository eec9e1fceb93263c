"""Tests of the calls to the advice service that an owner sends."""

import asyncio
import logging
from types import SimpleNamespace

from ...ports import Reason, Unavailable
from ...runtime import Metrics
from ..configuration import ApprovalTerms
from ..dispatch.dispatcher import Dispatcher
from ..ownership.approval_calls import ApprovalCalls
from ..placement.approval_turns import ApprovalRequest
from .builders import make_configuration

CALL_SECONDS = 0.02
TERMS = ApprovalTerms(5.0, decide_seconds=CALL_SECONDS)
N_STEPS = 20


class SerialAdvice:
    """Advice service that handles calls in turn, also those that were given up.

    Args:
        first_outcome: outcome of the first call, if it fails.

    Attributes:
        answered: steps whose calls were answered in time.
        n_under_way: number of calls under way, and their largest number.
    """

    def __init__(self, first_outcome: Unavailable | None = None) -> None:
        self.answered: set[str] = set()
        self.n_under_way = 0
        self.most_under_way = 0
        self._first_outcome = first_outcome
        self._idle_at = 0.0

    async def fetch_tickets(self, step, worker_ids, timeout_seconds):
        self.n_under_way += 1
        self.most_under_way = max(self.most_under_way, self.n_under_way)
        try:
            return await self._answer(step, worker_ids, timeout_seconds)
        finally:
            self.n_under_way -= 1

    async def _answer(self, step, worker_ids, timeout_seconds):
        if self._first_outcome is not None:
            outcome, self._first_outcome = self._first_outcome, None
            return outcome
        now = asyncio.get_running_loop().time()
        self._idle_at = max(now, self._idle_at) + CALL_SECONDS
        seconds = self._idle_at - now
        await asyncio.sleep(min(seconds, timeout_seconds))
        if seconds > timeout_seconds:
            return Unavailable(Reason.TIMEOUT, "advise", "advice", "", True)
        self.answered.add(step)
        return dict.fromkeys(worker_ids, "ticket")


class Session:
    """What the calls need of the ownership."""

    def __init__(self, advice: SerialAdvice) -> None:
        self.dispatcher = Dispatcher(make_configuration())
        self.ports = SimpleNamespace(advice=advice, metrics=Metrics())
        self.clock = SimpleNamespace(now=lambda: asyncio.get_running_loop().time())
        self.wake = asyncio.Event()

    def spawn(self, coroutine):
        return asyncio.ensure_future(coroutine)


async def request_all(advice: SerialAdvice) -> Session:
    """Request approvals for all steps until they are answered; return the session."""
    session = Session(advice)
    calls = ApprovalCalls(session)
    stages = [f"{number:016x}.0.0" for number in range(N_STEPS)]
    async with asyncio.timeout(5.0):
        while len(advice.answered) < N_STEPS:
            wanted = {
                stage: ApprovalRequest(stage, ("w1",), TERMS)
                for stage in stages
                if stage not in advice.answered
            }
            calls.request(wanted, session.clock.now())
            await asyncio.sleep(0.01)
    return session


class TestApprovalCalls:
    def test_many_steps_get_their_approvals(self):
        """Guards against calls that time out behind each other and begin again."""
        advice = SerialAdvice()
        session = asyncio.run(request_all(advice))
        assert advice.most_under_way == 1
        now = 0.0
        stages = [f"{number:016x}.0.0" for number in range(N_STEPS)]
        approvals = session.dispatcher.approvals
        assert all(
            approvals.find_valid(stage, "w1", now, float("-inf")) for stage in stages
        )

    def test_a_failed_call_is_repeated_and_counted(self, caplog):
        """Guards against a step that is forgotten after a call without an answer."""
        caplog.set_level(logging.INFO)
        refused = Unavailable(Reason.QUEUE_FULL, "advise", "advice")
        session = asyncio.run(request_all(SerialAdvice(refused)))
        text = session.ports.metrics.render()[0].decode()
        assert 'approval_call_seconds_count{outcome="queue-full"} 1' in text
        assert f'approval_call_seconds_count{{outcome="answered"}} {N_STEPS}' in text
        assert "approvals_waiting 0" in text
