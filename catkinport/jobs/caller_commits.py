"""Commits the writes of callers, and repeats those whose outcome is unknown.

The table service may lose an answer and carry out the write all the same, seconds later
at worst. Each write has conditions that only one attempt can meet, so a repetition
tells whether it is stored.
"""

import asyncio
import logging
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..ports import Reason, Unavailable
from ..ports.async_table import CommitAttempts
from ..ports.table import CommitOutcome, Conflict
from ..runtime import Metrics
from ..runtime.logs import log_event

logger = logging.getLogger(__name__)

SURE_ATTEMPTS = 2
"""Attempts of a commit that surely had no effect; after that the caller is told so, and
may try another daemon."""

FIRST_PAUSE_SECONDS = 0.02
"""Pause before the first repetition of a commit whose outcome is unknown."""

PAUSE_FACTOR = 2.0
"""Factor by which the pause grows with each further repetition."""

MAX_PAUSE_SECONDS = 0.4
"""Longest pause between two repetitions."""

MAX_WAITING_CALLS = 128
"""Most calls that repeat a commit whose outcome is unknown at the same time. Each holds
a row of up to 64 KiB, so that all of them hold 8 MB at most."""


class CallerCommits:
    """Commits within the deadlines of calls.

    Args:
        metrics: metrics of the process.
        max_waiting: most calls at a time that repeat a commit whose outcome is unknown.
    """

    def __init__(self, metrics: Metrics, max_waiting: int = MAX_WAITING_CALLS) -> None:
        self._metrics = metrics
        self._max_waiting = max_waiting
        self._n_waiting = 0
        self._latest = math.inf
        self._limits: set[asyncio.Timeout] = set()

    def end_by(self, latest: float) -> None:
        """End all calls at a time of the event loop's clock, also those to come."""
        self._latest = latest
        for limit in self._limits:
            when = limit.when()
            if when is not None and when > latest and not limit.expired():
                limit.reschedule(latest)

    @asynccontextmanager
    async def time_limit(self, answer_by: float) -> AsyncIterator[None]:
        """Raise `TimeoutError` at a time of the event loop's clock, or at the stop."""
        async with asyncio.timeout_at(min(answer_by, self._latest)) as limit:
            self._limits.add(limit)
            try:
                yield
            finally:
                self._limits.discard(limit)

    async def commit(
        self, attempts: CommitAttempts, answer_by: float, job_id: str
    ) -> CommitOutcome:
        """Commit, and repeat the commit while its outcome is unknown.

        Nothing is sent once the time is over. ``attempts.may_have_committed`` tells
        whether an attempt had no answer, also after a conflict.

        Args:
            attempts: attempts of the commit, none of them sent yet.
            answer_by: time of the event loop's clock after which the outcome stays
                unknown.
            job_id: id of the job, for the log.
        """
        started_at = asyncio.get_running_loop().time()
        if started_at >= min(answer_by, self._latest):
            return Unavailable(Reason.DEADLINE, "intake")
        try:
            async with self.time_limit(answer_by):
                outcome = await self._send_first(attempts)
                if attempts.may_have_committed and isinstance(outcome, Unavailable):
                    outcome = await self._wait_until_known(attempts, outcome)
        except TimeoutError:
            outcome = Unavailable(
                Reason.DEADLINE,
                "intake",
                detail=f"{attempts.n_sent} attempts",
                may_have_committed=attempts.may_have_committed,
            )
        if attempts.may_have_committed:
            seconds = asyncio.get_running_loop().time() - started_at
            self._report(attempts, outcome, job_id, seconds)
        return outcome

    async def _send_first(self, attempts: CommitAttempts) -> CommitOutcome:
        """Commit until an attempt is answered or may have had an effect."""
        while True:
            outcome = await attempts.send()
            if not isinstance(outcome, Unavailable) or outcome.may_have_committed:
                return outcome
            if attempts.n_sent >= SURE_ATTEMPTS:
                return outcome

    async def _wait_until_known(
        self, attempts: CommitAttempts, outcome: Unavailable
    ) -> CommitOutcome:
        """Repeat a commit after pauses; return at once if too many calls do so."""
        if self._n_waiting >= self._max_waiting:
            return outcome._replace(reason=Reason.LIMIT_REACHED, step="intake")
        self._n_waiting += 1
        pause_seconds = FIRST_PAUSE_SECONDS
        try:
            while True:
                await asyncio.sleep(pause_seconds)
                known = await attempts.send()
                if not isinstance(known, Unavailable):
                    return known
                pause_seconds = min(PAUSE_FACTOR * pause_seconds, MAX_PAUSE_SECONDS)
        finally:
            self._n_waiting -= 1

    def _report(
        self,
        attempts: CommitAttempts,
        outcome: CommitOutcome,
        job_id: str,
        seconds: float,
    ) -> None:
        """Log and count a commit of which an attempt had no answer."""
        if isinstance(outcome, Unavailable):
            result = "limit" if outcome.reason is Reason.LIMIT_REACHED else "unknown"
        else:
            result = "conflict" if isinstance(outcome, Conflict) else "stored"
        self._metrics.increment(
            "late_outcomes",
            "Writes of callers of which an attempt had no answer, by what was found.",
            {"result": result},
        )
        log_event(
            logger,
            "outcome not found"
            if isinstance(outcome, Unavailable)
            else "outcome found",
            request_id=job_id,
            result=result,
            n_attempts=attempts.n_sent,
            seconds=round(seconds, 3),
        )
