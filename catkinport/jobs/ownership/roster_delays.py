"""Reports how long workers wait for their enrolment, and why."""

import logging
from collections import Counter
from collections.abc import Collection
from typing import NamedTuple

from ...ports.table import CommitOutcome
from ...runtime.logs import log_event
from .session import OwnerSession

logger = logging.getLogger(__name__)

REPEAT_SECONDS = 5.0
"""Time between two log lines while the roster is not stored."""

MIN_LOGGED_SECONDS = 1.0
"""Shortest time without success whose end is logged."""


class _Failures(NamedTuple):
    """Failures in a row of the commits of a row, since a clock time in seconds."""

    since: float
    n: int = 0


class RosterDelays:
    """Measures and logs what keeps workers out of the stored roster.

    Args:
        session: the ownership.
    """

    def __init__(self, session: OwnerSession) -> None:
        self._session = session
        self._failures_by_row: dict[str, _Failures] = {}
        self._logged_at = float("-inf")
        self._waiting_since_by_worker: dict[str, float] = {}

    def note_outcome(self, outcome: CommitOutcome, rows: Collection[str]) -> None:
        """Note the outcome of a commit after which ``rows`` are not stored."""
        reason = str(getattr(outcome, "reason", ""))
        self._session.ports.metrics.increment(
            "roster_commits",
            "Commits of the list of workers that may run tasks.",
            {"outcome": type(outcome).__name__, "reason": reason},
        )
        if not rows:
            return
        now = self._session.clock.now()
        for row in rows:
            failures = self._failures_by_row.get(row, _Failures(now))
            self._failures_by_row[row] = failures._replace(n=failures.n + 1)
        if now - self._logged_at < REPEAT_SECONDS:
            return
        self._logged_at = now
        worst = min(self._failures_by_row[row] for row in rows)
        log_event(
            logger,
            "roster not stored",
            level=logging.WARNING,
            reason=reason or type(outcome).__name__,
            may_be_stored=getattr(outcome, "may_have_committed", False),
            detail=getattr(outcome, "detail", ""),
            n_failures=worst.n,
            seconds=round(now - worst.since, 1),
            rows=",".join(sorted(rows)),
        )

    def note_stored(self, rows: Collection[str]) -> None:
        """Note that rows are stored."""
        ended = [self._failures_by_row.pop(row, None) for row in rows]
        worst = min((failures for failures in ended if failures), default=None)
        now = self._session.clock.now()
        if worst is None or now - worst.since < MIN_LOGGED_SECONDS:
            return
        log_event(
            logger,
            "roster stored after failures",
            level=logging.WARNING,
            n_failures=worst.n,
            seconds=round(now - worst.since, 1),
            rows=",".join(sorted(rows)),
        )

    def measure(self) -> None:
        """Set the metrics of the workers that wait for their enrolment."""
        now = self._session.clock.now()
        waiting = [
            worker
            for worker in self._session.dispatcher.worker_by_id.values()
            if worker.is_listed and not worker.is_enrolled
        ]
        self._waiting_since_by_worker = {
            worker.worker_id: self._waiting_since_by_worker.get(worker.worker_id, now)
            for worker in waiting
        }
        n_by_pool = Counter(worker.listed.pool for worker in waiting)
        since = min(self._waiting_since_by_worker.values(), default=now)
        metrics = self._session.ports.metrics
        metrics.set(
            "workers_not_enrolled",
            "Listed workers that the stored roster does not name.",
            {},
            n_by_pool.total(),
        )
        metrics.set(
            "oldest_not_enrolled_seconds",
            "Longest time for which one of them has been waiting.",
            {},
            round(now - since, 1),
        )
