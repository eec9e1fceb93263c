"""Approvals of workers for the steps of queues that need them.

The advice service approves a worker for a step by a ticket, which holds for a time and
for one incarnation of the worker.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

FIRST_APPROVED_SHARE = 0.5
"""Part of the workers that are expected to be approved before any answer."""

REJECTED_TICKET_PAUSE_SECONDS = 0.5
"""Shortest time between two requests for a step that both follow rejected tickets. The
advice service handles one call at a time, and may go on to give tickets that a worker
rejects."""


class Ticket(NamedTuple):
    """An approval of a worker for a step.

    Args:
        text: what a start order has to carry.
        valid_until: clock time in seconds until which it holds.
        requested_at: clock time in seconds at which its request was sent.
    """

    text: str
    valid_until: float
    requested_at: float


class _Renewal(NamedTuple):
    """Request for a step that follows a rejected ticket.

    Args:
        rejected: ``requested_at`` of the rejected tickets.
        due_at: clock time in seconds from which on the request may be sent.
    """

    rejected: float
    due_at: float


class Approvals:
    """Tickets of workers, by step, and the workers that were not approved.

    Steps are named by their name within the job's occurrence.

    Example:
        >>> approvals = Approvals()
        >>> ticket = Ticket("t", valid_until=15.0, requested_at=10.0)
        >>> approvals.note_answer("a1.0.0", {"w1": ticket}, ["w1", "w2"])
        >>> approvals.find_valid("a1.0.0", "w1", 10.1, float("-inf")) == ticket
        True
        >>> approvals.rank("a1.0.0", ["w1", "w2", "w3"])
        ['w1', 'w3']
        >>> approvals.approved_share
        0.5
    """

    def __init__(self) -> None:
        self._tickets_by_stage: dict[str, dict[str, Ticket]] = {}
        self._unapproved_by_stage: dict[str, set[str]] = {}
        self._renewal_by_stage: dict[str, _Renewal] = {}
        self._n_asked = 0
        self._n_approved = 0

    @property
    def approved_share(self) -> float:
        """Part of the workers that were approved, of all that requests have named."""
        n_approved = FIRST_APPROVED_SHARE + self._n_approved
        return n_approved / (1 + self._n_asked)

    def has_tickets(self, stage: str) -> bool:
        """Return whether workers were approved for a step, now or before."""
        return bool(self._tickets_by_stage.get(stage))

    def count_unapproved(self, stage: str) -> int:
        """Return how many workers were judged and not approved for a step."""
        return len(self._unapproved_by_stage.get(stage, set()))

    def were_all_asked(self, stage: str, worker_ids: Iterable[str]) -> bool:
        """Return whether none of the workers is left that was not judged before."""
        unapproved = self._unapproved_by_stage.get(stage, set())
        return unapproved.issuperset(worker_ids)

    def note_answer(
        self,
        stage: str,
        ticket_by_worker: Mapping[str, Ticket],
        asked_ids: Collection[str],
    ) -> None:
        """Note the answer to a request for a step; tickets of other workers stay.

        Args:
            stage: name of the step.
            ticket_by_worker: approvals of workers.
            asked_ids: workers that the request named, approved or not.
        """
        self._n_asked += len(asked_ids)
        self._n_approved += len(ticket_by_worker)
        tickets = self._tickets_by_stage.setdefault(stage, {})
        for worker_id in asked_ids:
            tickets.pop(worker_id, None)
        tickets.update(ticket_by_worker)
        unapproved = self._unapproved_by_stage.setdefault(stage, set())
        if not unapproved.isdisjoint(asked_ids):
            # No other worker was left, so the request has begun a new turn.
            unapproved.clear()
        unapproved.update(set(asked_ids) - ticket_by_worker.keys())

    def find_valid(
        self, stage: str, worker_id: str, now: float, restarted_at: float
    ) -> Ticket | None:
        """Return the ticket of a worker for a step, or ``None`` if none is valid.

        Args:
            stage: name of the step.
            worker_id: id of the worker.
            now: clock time in seconds.
            restarted_at: clock time in seconds at which the present incarnation of the
                worker was noted. A ticket that was requested before may be one of the
                former incarnation, and would be rejected.
        """
        ticket = self._tickets_by_stage.get(stage, {}).get(worker_id)
        if ticket is None or ticket.valid_until <= now:
            return None
        return ticket if ticket.requested_at >= restarted_at else None

    def reject(self, stage: str, worker_id: str, ticket: Ticket, now: float) -> None:
        """Drop a ticket that a worker has rejected, unless it was replaced meanwhile.

        The first request that follows may be sent at once, as the worker has probably
        restarted. Later ones are sent `REJECTED_TICKET_PAUSE_SECONDS` apart.
        """
        tickets = self._tickets_by_stage.get(stage, {})
        if tickets.get(worker_id) != ticket:
            return
        del tickets[worker_id]
        former = self._renewal_by_stage.get(stage)
        if former is None:
            self._renewal_by_stage[stage] = _Renewal(ticket.requested_at, now)
        elif ticket.requested_at > former.rejected:
            due_at = max(now, former.due_at + REJECTED_TICKET_PAUSE_SECONDS)
            self._renewal_by_stage[stage] = _Renewal(ticket.requested_at, due_at)

    def may_request(self, stage: str, now: float) -> bool:
        """Return whether a request for a step may be sent."""
        renewal = self._renewal_by_stage.get(stage)
        return renewal is None or now >= renewal.due_at

    def rank(self, stage: str, worker_ids: Iterable[str]) -> list[str]:
        """Return the workers to request approvals of, in the order of their turns.

        Those that were approved before come first once their approvals have expired.
        Those that were not are left out until all others were judged: which workers may
        run a step doesn't change.
        """
        unapproved = self._unapproved_by_stage.get(stage, set())
        approved = self._tickets_by_stage.get(stage, {})
        every = list(worker_ids)
        left = [worker_id for worker_id in every if worker_id not in unapproved]
        return sorted(left or every, key=lambda worker_id: worker_id not in approved)
