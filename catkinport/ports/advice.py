"""Interface of the service that approves workers for the steps of some queues."""

from collections.abc import Sequence
from typing import Protocol

from .outcomes import Reason, Unavailable


class AdviceService(Protocol):
    """Service that knows which workers may run a step; a ticket is such an approval."""

    async def fetch_tickets(
        self, step: str, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str] | Unavailable:
        """Return the ticket of each worker that may run ``step``, by worker id.

        Args:
            step: name of the step within its job's occurrence.
            worker_ids: ids of the workers to judge.
            timeout_seconds: longest wait for the answer.
        """
        ...


class NoAdvice:
    """Stands for the service where there is none."""

    async def fetch_tickets(
        self, step: str, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str] | Unavailable:
        """Return that there is no service."""
        return Unavailable(Reason.NOT_FOUND, "advise", "", "no advice service")
