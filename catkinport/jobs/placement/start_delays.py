"""Logs why tasks that could start still wait.

One line names a job, its first waiting task and what keeps the task from starting.
"""

import logging
from collections import Counter
from typing import NamedTuple

from ...policy.resources import Resources
from ...policy.worker_choice import CandidateWorker, TaskNeed, is_suitable
from ...runtime.logs import log_event
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.task import Task
from .start_blocks import find_start_block

logger = logging.getLogger(__name__)

MIN_DELAY_SECONDS = 1.0
"""Shortest wait that is logged, and shortest time between two lines on a job."""

REPEAT_SECONDS = 5.0
"""Time after which a wait for the same reason is logged again."""

MAX_LINES_PER_SECOND = 10
"""Most lines a second; an overloaded pool has hundreds of waiting jobs."""


class _Delay(NamedTuple):
    """Wait of a job's first waiting task.

    Args:
        task: name of the task.
        since: clock time in seconds since which it could start.
        reason: reason that was logged last; empty for none.
        logged_at: clock time in seconds of the latest line on the job.
    """

    task: str
    since: float
    reason: str = ""
    logged_at: float = float("-inf")


class StartDelays:
    """Waits of the tasks that the latest rounds of planning could not start.

    Args:
        dispatcher: jobs and workers.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._delay_by_job: dict[str, _Delay] = {}
        self._noted_ids: set[str] = set()
        self._second_began_at = float("-inf")
        self._n_lines = 0

    def note(
        self,
        task: Task,
        need: TaskNeed,
        pool: str,
        now: float,
        rooms: list[CandidateWorker],
        is_over_limit: bool = False,
    ) -> None:
        """Note that a task could start, and has not been started in this round.

        Args:
            task: first such task of its job; later ones in a round are ignored.
            need: its requirements.
            pool: pool of its workers.
            now: clock time in seconds.
            rooms: workers that may get tasks, with their free resources.
            is_over_limit: whether the limit of its account keeps it from starting.
        """
        job_id = task.task_id.job_id
        if job_id in self._noted_ids:
            return
        self._noted_ids.add(job_id)
        delay = self._delay_by_job.get(job_id)
        if delay is None or delay.task != task.text:
            logged_at = delay.logged_at if delay else float("-inf")
            delay = _Delay(task.text, now, "", logged_at)
            self._delay_by_job[job_id] = delay
        since = max(delay.since, delay.logged_at)
        if now - since < MIN_DELAY_SECONDS or not self._may_log(now):
            return
        reason = "account-limit" if is_over_limit else find_reason(need, rooms)
        if reason == delay.reason and now - delay.logged_at < REPEAT_SECONDS:
            return
        self._n_lines += 1
        self._delay_by_job[job_id] = delay._replace(reason=reason, logged_at=now)
        log_event(
            logger,
            "task start delayed",
            request_id=job_id,
            task=task.text,
            pool=pool,
            seconds=round(now - delay.since, 2),
            reason=reason,
            cores=need.need.cores,
            memory_gb=need.need.memory_gb,
            lasting=need.is_lasting,
            blocked=self._count_blocked(pool, now),
        )

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

    def _count_blocked(self, pool: str, now: float) -> str:
        """Return the number of workers without new tasks, by reason."""
        dispatcher = self._dispatcher
        workers = dispatcher.workers_of(pool)
        blocks = [find_start_block(dispatcher, worker, now) for worker in workers]
        n_by_reason = Counter(block.value for block in blocks if block is not None)
        return ",".join(f"{why}:{n}" for why, n in sorted(n_by_reason.items()))


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
