"""Client of the advice service, which approves workers for the steps of some queues."""

from collections.abc import Sequence

from ..ports import Reason, Unavailable
from .client import PlatformClient

TOO_MANY_CALLS_STATUS = 429
"""Status with which the service answers while too many calls wait there."""


class PlatformAdvice:
    """Client of the advice service.

    Args:
        client: HTTP client.
        address: ``host:port`` of the service; empty for none.
    """

    def __init__(self, client: PlatformClient, address: str) -> None:
        self._client = client
        self._address = address

    async def fetch_tickets(
        self, step: str, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str] | Unavailable:
        """Return the ticket of each worker that may run ``step``, by worker id."""
        peer = self._address
        if not peer:
            return Unavailable(Reason.NOT_FOUND, "advise", peer, "no address of it")
        body = {"Step": step, "Workers": list(worker_ids)}
        reply = await self._client.call(
            "advise", "POST", peer, "/advise", timeout_seconds, body
        )
        if isinstance(reply, Unavailable):
            return reply
        try:
            if reply.status == 200:
                return {
                    str(worker): str(ticket) for worker, ticket in reply.body["Good"]
                }
        except (KeyError, TypeError, ValueError) as error:
            detail = f"unreadable answer: {error!r}"[:200]
            return Unavailable(Reason.ANSWER_TRUNCATED, "advise", peer, detail)
        detail = f"status {reply.status}"
        is_full = reply.status == TOO_MANY_CALLS_STATUS
        reason = Reason.QUEUE_FULL if is_full else Reason.ANSWER_TRUNCATED
        return Unavailable(reason, "advise", peer, detail)
