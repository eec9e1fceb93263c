"""Logs why tasks that could start still wait.

One line names a job, its first waiting task and what keeps the task from starting.
What decides comes first, and the line fits into `MAX_LINE_WIDTH`, because tools of
operators cut off the ends of long lines.
"""

import logging
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from ...policy.resources import Resources
from ...policy.worker_choice import CandidateWorker, TaskNeed, is_suitable
from ...runtime.logs import log_event
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.task import Task, TaskPhase
from .blocked_workers import count_blocks, format_counts

logger = logging.getLogger(__name__)

MIN_DELAY_SECONDS = 1.0
"""Shortest wait that is logged, and shortest time between two lines on a job."""

REPEAT_SECONDS = 5.0
"""Time after which a wait for the same reason is logged again."""

MAX_LINES_PER_SECOND = 10
"""Most lines a second; an overloaded pool has hundreds of waiting jobs."""


MAX_LINE_WIDTH = 200
"""Most characters of a line whose pool has a name of up to 12 characters."""

_FIXED_WIDTH = 116
"""Characters of a line without the values of its fields."""

_MIN_BLOCKED_WIDTH = 5
"""Characters that the number of blocked workers of a large pool takes."""


class StartHold(StrEnum):
    """Reason for which a task doesn't start whatever workers are free."""

    ACCOUNT_LIMIT = "account-limit"
    NO_APPROVAL = "no-approval"
    POOL_UNRESOLVED = "pool-unresolved"
    POOL_NOT_STORED = "pool-not-stored"
    LEASE_IN_DOUBT = "lease-in-doubt"
    LEASE_EXPIRED = "lease-expired"
    CRASH_NOT_STORED = "crash-not-stored"
    ROOM_HELD = "room-held"
    STARTS_IN_FLIGHT = "starts-in-flight"
    START_UNANSWERED = "start-unanswered"


class StartDelay(NamedTuple):
    """Wait of a job's first waiting task.

    Args:
        task: the task; ``None`` while the whole job is held back.
        pool: pool of its workers.
        since: clock time in seconds since which it could start.
        hold: reason that doesn't depend on workers; ``None`` for none.
        reason: reason that was logged last; empty for none.
        logged_at: clock time in seconds of the latest line on the job.
    """

    task: Task | None
    pool: str
    since: float
    hold: StartHold | None = None
    reason: str = ""
    logged_at: float = float("-inf")


class StartDelays:
    """Waits of the tasks that the latest rounds of planning could not start.

    Args:
        dispatcher: jobs and workers.

    Attributes:
        learned_before: clock time in seconds of the last stored renewal while a
            successor may already have replaced this owner; ``None`` otherwise.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.learned_before: float | None = None
        self._dispatcher = dispatcher
        self._delay_by_job: dict[str, StartDelay] = {}
        self._noted_ids: set[str] = set()
        self._second_began_at = float("-inf")
        self._n_lines = 0

    @property
    def delay_by_job(self) -> Mapping[str, StartDelay]:
        """Waits by job id, those of incomplete rounds among them."""
        return self._delay_by_job

    def note(
        self,
        task: Task,
        need: TaskNeed,
        pool: str,
        now: float,
        rooms: list[CandidateWorker],
        hold: StartHold | None = None,
    ) -> None:
        """Note that a task could start, and has not been started in this round.

        Args:
            task: first such task of its job; later ones in a round are ignored.
            need: its requirements.
            pool: pool of its workers.
            now: clock time in seconds.
            rooms: workers that may get tasks, with their free resources.
            hold: what keeps it from starting whatever workers are free.
        """
        job_id = task.task_id.job_id
        if job_id in self._noted_ids:
            return
        delay = self._update(job_id, task, pool, now, hold)
        since = max(delay.since, delay.logged_at)
        if now - since < MIN_DELAY_SECONDS or not self._may_log(now):
            return
        reason = hold.value if hold else find_reason(need, rooms)
        if reason == delay.reason and now - delay.logged_at < REPEAT_SECONDS:
            return
        self._n_lines += 1
        delay = delay._replace(reason=reason, logged_at=now)
        self._delay_by_job[job_id] = delay
        self._log(task, delay, now)

    def note_held_job(
        self, job_id: str, pool: str, now: float, hold: StartHold
    ) -> None:
        """Note that no task of a job may start in this round, even if one is ready.

        Args:
            job_id: id of the job.
            pool: pool of its workers.
            now: clock time in seconds.
            hold: why the job is held back.
        """
        self._update(job_id, None, pool, now, hold)

    def end_round(self) -> None:
        """Forget the jobs that no longer wait."""
        for job_id in self._delay_by_job.keys() - self._noted_ids:
            del self._delay_by_job[job_id]
        self._noted_ids.clear()

    def _may_log(self, now: float) -> bool:
        if now - self._second_began_at >= 1.0:
            self._second_began_at = now
            self._n_lines = 0
        return self._n_lines < MAX_LINES_PER_SECOND

    def _update(
        self,
        job_id: str,
        task: Task | None,
        pool: str,
        now: float,
        hold: StartHold | None,
    ) -> StartDelay:
        """Keep the wait of a job, or begin a new one if its task or pool is another."""
        self._noted_ids.add(job_id)
        former = self._delay_by_job.get(job_id)
        if former is None:
            delay = StartDelay(task, pool, now, hold)
        elif former.pool != pool or _is_other(task, former.task):
            delay = StartDelay(task, pool, now, hold, "", former.logged_at)
        elif former.task is task and former.hold is hold:
            return former
        else:
            delay = former._replace(task=task or former.task, hold=hold)
        self._delay_by_job[job_id] = delay
        return delay

    def _log(self, task: Task, delay: StartDelay, now: float) -> None:
        job_id, _, number = task.text.partition(".")
        seconds = round(now - delay.since, 1)
        values = (delay.reason, job_id, delay.pool, number, seconds)
        rest = MAX_LINE_WIDTH - _FIXED_WIDTH - sum(len(str(value)) for value in values)
        log_event(
            logger,
            "task start delayed",
            reason=delay.reason,
            blocked=self._format_blocked(delay.pool, now, rest),
            seconds=seconds,
            request_id=job_id,
            pool=delay.pool,
            task=number,
        )

    def _format_blocked(self, pool: str, now: float, max_width: int) -> str:
        """Return the number of workers without new tasks, by reason."""
        dispatcher = self._dispatcher
        workers = dispatcher.workers_of(pool)
        n_by_reason = count_blocks(dispatcher, workers, now, self.learned_before)
        return format_counts(n_by_reason, max(max_width, _MIN_BLOCKED_WIDTH))


def _is_other(task: Task | None, former: Task | None) -> bool:
    """Return whether the wait of the ``former`` task is over; ``None`` is any task."""
    if former is None:
        return False
    return former is not task if task else former.phase is not TaskPhase.WAITING


def find_reason(need: TaskNeed, rooms: list[CandidateWorker]) -> str:
    """Return why the task fits on none of the workers ``rooms``.

    Example:
        >>> room = CandidateWorker("w", (), Resources(4.0, 8.0, 0))
        >>> find_reason(TaskNeed("s", Resources(1.0, 16.0, 0)), [room])
        'no-room:memory'
    """
    if not rooms:
        return "no-worker"
    suitable = [room for room in rooms if is_suitable(need, room)]
    if not suitable:
        return "no-suitable-worker"
    suitable = [room for room in suitable if room.is_open_to(need)]
    if not suitable:
        return "all-reserved"
    names = ("cores", "memory", "accelerators")
    most = Resources(
        max(room.cores for room in suitable),
        max(room.memory_gb for room in suitable),
        max(room.accelerators for room in suitable),
    )
    lacking = [
        name
        for name, amount, free in zip(names, need.counted_need, most, strict=True)
        if amount > free
    ]
    return "no-room:" + ("+".join(lacking) or "together")
