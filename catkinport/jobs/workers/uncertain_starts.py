"""Start orders that were given up, but that a worker may still carry out.

A start without an answer may be carried out seconds later. The worker that received it
rejects it then, because its lease is over or because a stop was confirmed. If that
worker restarts under the same id, it knows neither, and its clock begins anew, so that
the lease in the order lies in the future. The owner's fencing token is the same too.
Only a stop that the restarted worker itself has confirmed makes it reject the start.
"""

import logging
from collections.abc import Iterator
from dataclasses import dataclass

from ...runtime.logs import log_event
from ..dispatch.task import ORDER_DELAY_SECONDS
from .run import RunKey
from .worker_state import Incarnation

logger = logging.getLogger(__name__)


@dataclass
class _UncertainStart:
    sent_at: float
    stopped_in: float
    stop_sent_at: float = float("-inf")
    stop_sent_to: float = 0.0


class UncertainStarts:
    """The start orders that were given up without an answer, by worker and run."""

    def __init__(self) -> None:
        self._starts_by_worker: dict[str, dict[RunKey, _UncertainStart]] = {}

    def add(self, incarnation: Incarnation, key: RunKey, sent_at: float) -> None:
        """Remember a start that was given up.

        Args:
            incarnation: incarnation of the worker that can't carry the start out,
                because it has confirmed a stop, has ended, or because the lease in the
                order is over on its clock.
            key: the run.
            sent_at: clock time in seconds of the start order.
        """
        starts = self._starts_by_worker.setdefault(incarnation.worker_id, {})
        starts[key] = _UncertainStart(sent_at, incarnation.started_at)

    def worker_ids(self) -> list[str]:
        """Return the ids of the workers that may carry out a start."""
        return list(self._starts_by_worker)

    def count(self, worker_id: str) -> int:
        """Return how many starts on a worker are remembered."""
        return len(self._starts_by_worker.get(worker_id, {}))

    def may_be_carried_out(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation may carry out a start that was given up."""
        starts = self._starts_by_worker.get(incarnation.worker_id, {})
        return any(s.stopped_in != incarnation.started_at for s in starts.values())

    def settle(self, worker_id: str, key: RunKey, now: float) -> bool:
        """Forget a start that a worker has carried out, and return if it was known."""
        start = self._starts_by_worker.get(worker_id, {}).pop(key, None)
        if start is not None:
            log_event(
                logger,
                "late start carried out",
                level=logging.WARNING,
                request_id=key.task.partition(".")[0],
                task=key.task,
                run=key.run,
                worker=worker_id,
                seconds=round(now - start.sent_at, 3),
            )
        return start is not None

    def note_stopped(self, incarnation: Incarnation, key: RunKey) -> None:
        """Note that an incarnation has confirmed a stop.

        Args:
            incarnation: the incarnation that was known when the stop was sent. If the
                worker has restarted since then, the stop is sent again.
            key: the run.
        """
        start = self._starts_by_worker.get(incarnation.worker_id, {}).get(key)
        if start is not None:
            start.stopped_in = incarnation.started_at

    def find_stops(
        self, incarnation: Incarnation, now: float, retry_seconds: float
    ) -> Iterator[RunKey]:
        """Yield the runs to stop on a worker, and note the stops as sent at ``now``.

        The caller must not change the starts before it has consumed the iterator.

        Args:
            incarnation: incarnation of the worker that answered last.
            now: clock time in seconds.
            retry_seconds: time after which a stop without an answer is sent again to
                the same incarnation.
        """
        starts = self._starts_by_worker.get(incarnation.worker_id, {})
        for key, start in starts.items():
            if start.stopped_in == incarnation.started_at:
                continue
            is_sent = start.stop_sent_to == incarnation.started_at
            if not is_sent or now - start.stop_sent_at >= retry_seconds:
                start.stop_sent_at = now
                start.stop_sent_to = incarnation.started_at
                yield key

    def expire(self, now: float) -> None:
        """Forget the starts that can be carried out no more."""
        for worker_id, starts in list(self._starts_by_worker.items()):
            for key, start in list(starts.items()):
                if now - start.sent_at > ORDER_DELAY_SECONDS:
                    del starts[key]
            if not starts:
                del self._starts_by_worker[worker_id]
