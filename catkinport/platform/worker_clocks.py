"""Estimates of the clocks of workers, by which the ends of their leases are named.

A clock belongs to one incarnation of a worker. That of the next one begins anew, so a
time on the former clock could be far ahead on it.
"""

from collections.abc import Collection


class WorkerClock:
    """Estimate of a worker's clock, taken from its latest lists of runs.

    Attributes:
        started_at: Unix time in seconds at which the incarnation started that the clock
            belongs to.
        known_at: clock time in seconds at which a list of that incarnation was first
            read.
    """

    def __init__(
        self, milliseconds: int, started_at: float, read_at: float, known_at: float
    ) -> None:
        self.started_at = started_at
        self.known_at = known_at
        self._milliseconds = milliseconds
        self._read_at = read_at

    def lower_bound(self, now: float) -> int:
        """Return a time in milliseconds that the worker's clock has surely reached."""
        # The clock was read before the answer arrived here, and it may run up to 2 %
        # slow, so a second counts as 980 ms.
        return self._milliseconds + int((now - self._read_at) * 980)


class WorkerClocks:
    """Clocks of the present incarnations of workers, as far as they are known."""

    def __init__(self) -> None:
        self._clock_by_worker: dict[str, WorkerClock] = {}
        # Clock time at which the latest poll without an answer was sent.
        self._unanswered_by_worker: dict[str, float] = {}

    def find(self, worker_id: str) -> WorkerClock | None:
        """Return the clock of a worker, or ``None`` if it is not known."""
        return self._clock_by_worker.get(worker_id)

    def known_incarnation(self, worker_id: str) -> float | None:
        """Return the start of the incarnation whose clock is known, in Unix seconds."""
        clock = self._clock_by_worker.get(worker_id)
        return clock.started_at if clock else None

    def note_clock(
        self,
        worker_id: str,
        milliseconds: int,
        started_at: float,
        sent_at: float,
        now: float,
    ) -> bool:
        """Note the clock in an answer, unless it may be one of a former incarnation.

        Polls overlap. The answer to one that was sent before a later incarnation was
        known, or before a poll that had no answer, may have been written by the former
        one.

        Args:
            worker_id: the worker.
            milliseconds: what its clock showed.
            started_at: Unix time in seconds at which the incarnation started.
            sent_at: clock time in seconds at which the poll was sent.
            now: clock time in seconds.

        Returns:
            Whether the answer shows another incarnation than the known one.
        """
        known = self._clock_by_worker.get(worker_id)
        is_same = known is not None and known.started_at == started_at
        if known is not None and not is_same and sent_at < known.known_at:
            return False
        if sent_at >= self._unanswered_by_worker.get(worker_id, float("-inf")):
            known_at = known.known_at if known is not None and is_same else now
            self._clock_by_worker[worker_id] = WorkerClock(
                milliseconds, started_at, now, known_at
            )
        return known is not None and not is_same

    def note_no_answer(self, worker_id: str, sent_at: float) -> None:
        """Note that a poll sent at clock time ``sent_at`` had no answer.

        It tells nothing of an incarnation that became known since.
        """
        known = self._clock_by_worker.get(worker_id)
        if known is not None and known.known_at <= sent_at:
            del self._clock_by_worker[worker_id]
        latest = self._unanswered_by_worker.get(worker_id, sent_at)
        self._unanswered_by_worker[worker_id] = max(latest, sent_at)

    def forget_incarnation(self, worker_id: str, started_at: float, now: float) -> bool:
        """Forget the clock of an incarnation that has ended, if it is the known one.

        Answers of it that are still on their way don't bring the clock back.

        Returns:
            Whether it was the known one.
        """
        if self.known_incarnation(worker_id) != started_at:
            return False
        del self._clock_by_worker[worker_id]
        self._unanswered_by_worker[worker_id] = now
        return True

    def keep_only(self, worker_ids: Collection[str]) -> None:
        """Forget all other workers.

        One that is not listed may still answer; its next answer adds the clock again.
        """
        for by_worker in (self._clock_by_worker, self._unanswered_by_worker):
            for worker_id in by_worker.keys() - worker_ids:
                del by_worker[worker_id]
