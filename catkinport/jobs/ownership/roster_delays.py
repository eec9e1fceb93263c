"""Reports how long workers wait for their enrolment, and why."""

import logging
from collections import Counter
from collections.abc import Collection

from ...ports.table import CommitOutcome, Committed
from ...runtime.logs import log_event
from .session import OwnerSession

logger = logging.getLogger(__name__)

REPEAT_SECONDS = 5.0
"""Time between two log lines while the roster is not stored."""


class RosterDelays:
    """Measures and logs what keeps workers out of the stored roster.

    Args:
        session: the ownership.
    """

    def __init__(self, session: OwnerSession) -> None:
        self._session = session
        self._failing_since: float | None = None
        self._n_failures = 0
        self._logged_at = float("-inf")
        self._waiting_since_by_worker: dict[str, float] = {}

    def note_outcome(self, outcome: CommitOutcome, pools: Collection[str]) -> None:
        """Note the outcome of a commit of the rosters of ``pools``."""
        reason = getattr(outcome, "reason", "")
        self._session.ports.metrics.increment(
            "roster_commits",
            "Commits of the list of workers that may run tasks.",
            {"outcome": type(outcome).__name__, "reason": str(reason)},
        )
        if isinstance(outcome, Committed):
            self._note_stored(pools)
            return
        now = self._session.clock.now()
        if self._failing_since is None:
            self._failing_since = now
        self._n_failures += 1
        if now - self._logged_at < REPEAT_SECONDS:
            return
        self._logged_at = now
        log_event(
            logger,
            "roster not stored",
            level=logging.WARNING,
            reason=reason or type(outcome).__name__,
            may_be_stored=getattr(outcome, "may_have_committed", False),
            detail=getattr(outcome, "detail", ""),
            n_failures=self._n_failures,
            seconds=round(now - self._failing_since, 1),
            pools=",".join(sorted(pools)),
        )

    def _note_stored(self, pools: Collection[str]) -> None:
        if self._failing_since is None:
            return
        log_event(
            logger,
            "roster stored after failures",
            level=logging.WARNING,
            n_failures=self._n_failures,
            seconds=round(self._session.clock.now() - self._failing_since, 1),
            pools=",".join(sorted(pools)),
        )
        self._failing_since = None
        self._n_failures = 0
        self._logged_at = float("-inf")

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
