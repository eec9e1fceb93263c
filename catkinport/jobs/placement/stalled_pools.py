"""Measures which pools start nothing although they have room.

A job stalls if a task of it is ready, waits, and would fit several times into what its
pool has free, whatever blocks the workers there. In a pool that is more than half used,
a task may have to wait for its turn. Starts that no worker has confirmed take no room:
a pool may be full of starts without an answer, and run nothing.
"""

import operator
from collections import Counter
from collections.abc import Iterable, Mapping
from functools import cached_property, reduce
from typing import NamedTuple

from ...policy.resources import NO_RESOURCES, Resources, add
from ...policy.worker_choice import ROUNDING_TOLERANCE, TaskNeed
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.task import Task, TaskPhase
from ..workers.worker_state import WorkerRecord
from .blocked_workers import NOT_BLOCKED, name_block
from .ready_tasks import ReadyTask
from .start_delays import StartDelay, StartHold
from .task_needs import task_need

MIN_WAIT_SECONDS = 1.0
"""Shortest wait of a task that counts as stalled."""

MAX_USED_FRACTION = 0.5
"""Part of a pool's cores or memory in use from which on its tasks may have to wait."""

ROOM_FACTOR = 2
"""How often a task, or all tasks of a gang, must fit into the free part of a pool."""

MAX_STEPS_PER_POOL = 10
"""Most steps of a pool that are judged in one measurement. Each is compared with the
workers of the pool, and a pool that starts nothing stalls the first ones too."""

NO_BLOCK = "not-blocked"
"""Reason of a stall for which workers with room may get tasks."""


class PoolStall(NamedTuple):
    """Jobs of a pool that stall for one reason.

    Args:
        pool: name of the pool.
        reason: what keeps their tasks from starting.
        n_jobs: number of the jobs.
        oldest: the ready task that has waited longest.
        seconds: its wait in seconds.
        blocked: number of the pool's workers without new tasks, by reason.
        n_workers: number of the pool's workers.
    """

    pool: str
    reason: str
    n_jobs: int
    oldest: Task
    seconds: float
    blocked: Mapping[str, int]
    n_workers: int


class StartState(NamedTuple):
    """What the latest rounds of planning tell about the starts of tasks.

    Args:
        delay_by_job: waits of the tasks that they could not start, by job id.
        learned_before: clock time in seconds of the last stored renewal while a
            successor may already have replaced this owner; ``None`` otherwise.
        hold: why no task of any pool starts; ``None`` if tasks do.
    """

    delay_by_job: Mapping[str, StartDelay]
    learned_before: float | None = None
    hold: StartHold | None = None


def measure_stalls(
    dispatcher: Dispatcher,
    ready_tasks: Iterable[ReadyTask],
    state: StartState,
    now: float,
) -> list[PoolStall]:
    """Return the stalls of all pools, by pool and reason.

    Args:
        dispatcher: jobs and workers.
        ready_tasks: the first ready task of each job.
        state: what the planner knows about them.
        now: clock time in seconds.
    """
    waiting_by_pool: dict[str, list[ReadyTask]] = {}
    for ready in ready_tasks:
        if now - ready.since >= MIN_WAIT_SECONDS:
            waiting_by_pool.setdefault(ready.pool, []).append(ready)
    stalls: list[PoolStall] = []
    for pool, waiting in waiting_by_pool.items():
        waiting.sort(key=lambda ready: ready.since)
        stalls += _measure_pool(_PoolRoom(dispatcher, pool, state, now), waiting)
    return stalls


def _measure_pool(pool_room: "_PoolRoom", waiting: list[ReadyTask]) -> list[PoolStall]:
    if pool_room.used_fraction >= MAX_USED_FRACTION:
        return []
    stalled_by_reason: dict[str, list[ReadyTask]] = {}
    for ready in waiting:
        reason = pool_room.find_stall_reason(ready)
        if reason:
            stalled_by_reason.setdefault(reason, []).append(ready)
    return [
        PoolStall(
            pool_room.pool,
            reason,
            len(stalled),
            stalled[0].task,
            pool_room.now - stalled[0].since,
            pool_room.count_blocked(),
            len(pool_room.workers),
        )
        for reason, stalled in stalled_by_reason.items()
    ]


class _PoolRoom:
    """Free resources of a pool at one moment, whatever blocks its workers.

    Workers whose VM drains or is no longer in the pool are left out.
    """

    def __init__(
        self, dispatcher: Dispatcher, pool: str, state: StartState, now: float
    ) -> None:
        self.pool = pool
        self.now = now
        self.workers = [
            worker
            for worker in dispatcher.workers_of(pool)
            if not worker.is_taken_down and not worker.listed.is_draining
        ]
        self._dispatcher = dispatcher
        self._state = state
        self._reason_by_step: dict[object, str] = {}

    @cached_property
    def used_fraction(self) -> float:
        """Part of the cores or the memory in use, the larger one; 1 without workers."""
        cores = sum(worker.listed.capacity.cores for worker in self.workers)
        memory_gb = sum(worker.listed.capacity.memory_gb for worker in self.workers)
        if not cores or not memory_gb:
            return 1.0
        used_cores = sum(used.cores for used in self.used)
        used_memory_gb = sum(used.memory_gb for used in self.used)
        return max(used_cores / cores, used_memory_gb / memory_gb)

    @cached_property
    def used(self) -> list[Resources]:
        """Resources of each worker that confirmed runs take."""
        return [find_confirmed_use(worker) for worker in self.workers]

    @cached_property
    def free(self) -> list[Resources]:
        """Resources of each worker that no confirmed run takes."""
        return [
            Resources(*map(operator.sub, worker.listed.capacity, used))
            for worker, used in zip(self.workers, self.used, strict=True)
        ]

    @cached_property
    def blocks(self) -> list[str]:
        """Why each worker gets no new tasks."""
        learned_before = self._state.learned_before
        return [
            name_block(self._dispatcher, worker, self.now, learned_before)
            for worker in self.workers
        ]

    def count_blocked(self) -> Mapping[str, int]:
        """Return the number of workers without new tasks, by reason."""
        n_by_reason = Counter(self.blocks)
        del n_by_reason[NOT_BLOCKED]
        return n_by_reason

    def find_stall_reason(self, ready: ReadyTask) -> str:
        """Return why a ready task stalls; empty if it may have to wait.

        If all workers with room are blocked, these blocks are the reason: a job is
        often held back because they are out of contact.
        """
        hold = self._find_hold(ready)
        if hold is StartHold.ACCOUNT_LIMIT:
            return ""
        step = ready.task.step
        key = (step, ready.task.stage_name if step.max_per_worker else "")
        reason = self._reason_by_step.get(key)
        if reason is None:
            if len(self._reason_by_step) >= MAX_STEPS_PER_POOL:
                return ""
            reason = self._reason_by_step[key] = self._judge_step(ready.task)
        if not reason or not hold:
            return reason
        decisive_holds = (StartHold.START_UNANSWERED, self._state.hold)
        is_hold_decisive = reason == NO_BLOCK or hold in decisive_holds
        return hold.value if is_hold_decisive else reason

    def _find_hold(self, ready: ReadyTask) -> StartHold | None:
        is_held = ready.task.late_start_until > self.now
        if ready.task.phase is TaskPhase.PLACED or is_held:
            return StartHold.START_UNANSWERED
        if self._state.hold is not None:
            return self._state.hold
        if ready.record.must_store_crashes(ready.task):
            return StartHold.CRASH_NOT_STORED
        if ready.task.is_lost_since(self._state.learned_before):
            return StartHold.LEASE_IN_DOUBT
        delay = self._state.delay_by_job.get(ready.record.job.job_id)
        return delay.hold if delay else None

    def _judge_step(self, task: Task) -> str:
        """Return what blocks the workers with room; empty if there are too few."""
        n_wanted = ROOM_FACTOR * (task.step.n_tasks if task.step.is_gang else 1)
        need = task_need(task)
        n_by_reason: Counter[str] = Counter()
        for worker, free, block in zip(
            self.workers, self.free, self.blocks, strict=True
        ):
            n_by_reason[block] += count_fitting(need, worker, free, n_wanted)
        if n_by_reason.total() < n_wanted:
            return ""
        if n_by_reason[NOT_BLOCKED]:
            is_open = self._has_open_room(need)
            return NO_BLOCK if is_open else StartHold.START_UNANSWERED.value
        return max(n_by_reason, key=lambda reason: (n_by_reason[reason], reason))

    def _has_open_room(self, need: TaskNeed) -> bool:
        """Return whether a worker has room beside the starts it has not confirmed."""
        return any(
            block == NOT_BLOCKED and count_fitting(need, worker, worker.free(), 1)
            for worker, block in zip(self.workers, self.blocks, strict=True)
        )


def find_confirmed_use(worker: WorkerRecord) -> Resources:
    """Return the resources of the runs that the worker has confirmed."""
    needs = (
        task_need(run.task).counted_need
        for run in worker.run_by_key.values()
        if run.known_at
    )
    return reduce(add, needs, NO_RESOURCES)


def count_fitting(
    need: TaskNeed, worker: WorkerRecord, free: Resources, most: int
) -> int:
    """Return how often a task fits on the worker besides its runs, up to ``most``.

    Args:
        need: requirements of the task.
        worker: the worker, which may be blocked.
        free: its free resources.
        most: number to stop at.
    """
    if need.required_label and need.required_label not in worker.listed.labels:
        return 0
    n_fitting = most
    for amount, free_amount in zip(need.counted_need, free, strict=True):
        if amount > 0:
            n_fitting = min(n_fitting, int((free_amount + ROUNDING_TOLERANCE) / amount))
    if need.max_per_worker:
        names = (run.task.stage_name for run in worker.run_by_key.values())
        n_of_step = sum(name == need.step for name in names)
        n_fitting = min(n_fitting, need.max_per_worker - n_of_step)
    return max(0, n_fitting)
