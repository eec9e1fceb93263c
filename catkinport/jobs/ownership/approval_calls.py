"""Requests the approvals of workers (tickets) that the steps of some queues need."""

import logging
from collections.abc import Mapping

from ...ports import Unavailable
from ...runtime.logs import log_event
from ..dispatch.approvals import Ticket
from ..placement.approval_turns import ApprovalCall, ApprovalRequest, ApprovalTurns
from .session import OwnerSession

logger = logging.getLogger(__name__)


class ApprovalCalls:
    """Sender of the owner's calls to the advice service.

    Args:
        session: ownership for which they are sent.
    """

    def __init__(self, session: OwnerSession) -> None:
        self._session = session
        self._turns = ApprovalTurns()
        self._n_reported = 0

    def request(self, wanted: Mapping[str, ApprovalRequest], now: float) -> None:
        """Note what a round of planning wants, and send the calls whose turn has come.

        Args:
            wanted: requests by the name of the step.
            now: clock time in seconds.
        """
        self._turns.update(wanted, now)
        self._send_due(now)

    def _send_due(self, now: float) -> None:
        while (call := self._turns.take(now)) is not None:
            self._session.spawn(self._send(call))
        self._report_waiting()

    def _report_waiting(self) -> None:
        if self._turns.n_waiting == self._n_reported:
            return
        self._n_reported = self._turns.n_waiting
        self._session.ports.metrics.set(
            "approvals_waiting",
            "Steps that wait for their turn to ask for approvals of workers.",
            {},
            self._n_reported,
        )

    async def _send(self, call: ApprovalCall) -> None:
        stage, worker_ids = call.request.stage, call.request.worker_ids
        outcome = await self._session.ports.advice.fetch_tickets(
            stage, worker_ids, call.timeout_seconds
        )
        now = self._session.clock.now()
        is_answered = not isinstance(outcome, Unavailable)
        self._note(call, outcome, now)
        if not isinstance(outcome, Unavailable):
            valid_until = call.find_end(now)
            tickets = {
                worker_id: Ticket(text, valid_until, call.sent_at)
                for worker_id, text in outcome.items()
            }
            self._session.dispatcher.approvals.note_answer(stage, tickets, worker_ids)
            self._session.wake.set()
        self._turns.end(call, is_answered, now)
        self._send_due(now)

    def _note(
        self, call: ApprovalCall, outcome: Mapping[str, str] | Unavailable, now: float
    ) -> None:
        """Count a call by its outcome, and log what a job has waited for."""
        result = outcome.reason if isinstance(outcome, Unavailable) else "answered"
        metrics = self._session.ports.metrics
        metrics.observe(
            "approval_wait_seconds",
            "Time for which a step has waited for its turn to ask for approvals.",
            {},
            call.waited_seconds,
        )
        metrics.observe(
            "approval_call_seconds",
            "Time of a call to the advice service.",
            {"outcome": result},
            now - call.sent_at,
        )
        log_event(
            logger,
            "approval requested",
            request_id=call.request.stage.partition(".")[0],
            outcome=result,
            seconds=round(now - call.sent_at, 3),
            expected_seconds=round(call.due_at - call.sent_at, 3),
            waited_seconds=round(call.waited_seconds, 3),
            n_waiting=self._turns.n_waiting,
            step=call.request.stage,
            n_workers=len(call.request.worker_ids),
            n_approved=0 if isinstance(outcome, Unavailable) else len(outcome),
        )
