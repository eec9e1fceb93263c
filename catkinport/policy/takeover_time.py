"""Time without a renewal after which an owner may be replaced, as the owner states it.

An owner far from the table service stores its renewals late. Successors that are near
would replace it between two of them, and it would hold back orders all the time. It
therefore states in each renewal how long they have to wait, which follows the time that
its renewals take.
"""

from typing import Any, NamedTuple

from .adaptive_timeout import AdaptiveTimeout
from .leadership import MAX_TAKEOVER_SECONDS, TAKEOVER_SECONDS

RENEWAL_FACTOR = 5.0
"""Stated time as a multiple of the average time of a renewal. The latest stored renewal
is as old as two renewals and a heartbeat interval when the next one is confirmed."""

LATE_RENEWAL_SECONDS = 20.0
"""How long after its first sending a renewal without an answer may be carried out."""


def decode_takeover_seconds(value: Any) -> float:
    """Return the time that a row states, within the limits; the shortest if it is none.

    Example:
        >>> decode_takeover_seconds(3.5), decode_takeover_seconds(None)
        (3.5, 1.2)
    """
    if not isinstance(value, int | float):
        return TAKEOVER_SECONDS
    return min(MAX_TAKEOVER_SECONDS, max(TAKEOVER_SECONDS, value))


class _Renewal(NamedTuple):
    """A renewal that was sent; ``answered_at`` is ``None`` before its answer."""

    sent_at: float
    takeover_seconds: float
    answered_at: float | None = None


class TakeoverTime:
    """Record of the times that an owner states, and of which of them are in force.

    Renewals may be carried out in another order than they were sent. So the shortest
    time holds that any renewal states which may be stored last.

    Args:
        latency_seconds: time that the table service takes for an answer.

    Attributes:
        stated_seconds: time that the next renewal states.

    Example:
        >>> takeover = TakeoverTime(0.8)
        >>> takeover.begin(10.0)
        4.0
        >>> takeover.end(10.0, 10.8)
        4.0
    """

    def __init__(self, latency_seconds: float) -> None:
        self._seconds = AdaptiveTimeout(
            TAKEOVER_SECONDS, MAX_TAKEOVER_SECONDS, RENEWAL_FACTOR
        )
        self._seconds.on_answer(latency_seconds)
        self._renewals: list[_Renewal] = []

    @property
    def stated_seconds(self) -> float:
        """Time that the next renewal states."""
        return self._seconds.seconds

    def begin(self, sent_at: float) -> float:
        """Record that a renewal is sent, which states `stated_seconds`.

        Returns:
            That time. It may hold from now on, as the renewal may be stored without an
            answer.
        """
        self._renewals.append(_Renewal(sent_at, self.stated_seconds))
        return self.stated_seconds

    def end(self, sent_at: float, now: float) -> float:
        """Record that the renewal sent at ``sent_at`` is stored.

        Returns:
            Seconds from ``sent_at`` until which no successor takes over.
        """
        self._seconds.on_answer(now - sent_at)
        self._renewals = [
            r._replace(answered_at=now) if r.sent_at == sent_at else r
            for r in self._renewals
            if r.sent_at == sent_at or _may_follow(r, sent_at, now)
        ]
        stated = [renewal.takeover_seconds for renewal in self._renewals]
        return min(stated, default=TAKEOVER_SECONDS)


def _may_follow(renewal: _Renewal, sent_at: float, now: float) -> bool:
    """Return whether a renewal may be stored after the one sent at ``sent_at``."""
    if renewal.answered_at is None:
        return now - renewal.sent_at <= LATE_RENEWAL_SECONDS
    return renewal.answered_at > sent_at
