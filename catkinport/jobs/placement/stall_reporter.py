"""Reports stalled pools in metrics and log lines."""

import logging
from collections.abc import Sequence

from ...runtime.logs import log_event
from ...runtime.metrics import Metrics
from ..dispatch.dispatcher import Dispatcher
from .blocked_workers import format_counts
from .ready_tasks import ReadyTasks
from .stalled_pools import PoolStall, StartState, measure_stalls

logger = logging.getLogger(__name__)

MEASURE_SECONDS = 1.0
"""Shortest time between two measurements."""

STALL_SECONDS = 3.0
"""Wait of a task beside room from which on its pool is logged as stalled."""

REPEAT_SECONDS = 5.0
"""Shortest time between two lines on a pool."""

MAX_BLOCKED_WIDTH = 28
"""Most characters of the blocked workers in a line."""


class StallReporter:
    """Measures the stalls of pools and reports them while a daemon is the owner.

    Args:
        dispatcher: jobs and workers.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._ready_tasks = ReadyTasks(dispatcher)
        self._measured_at = float("-inf")
        self._logged_at_by_pool: dict[str, float] = {}
        self._stalled_pools: set[str] = set()
        self._labels: set[tuple[str, str]] = set()

    def is_due(self, now: float) -> bool:
        """Return whether stalls are to be measured again."""
        return now - self._measured_at >= MEASURE_SECONDS

    def measure(
        self, state: StartState, now: float, unix_now: float, metrics: Metrics
    ) -> None:
        """Measure the stalls of all pools and report them.

        Args:
            state: what the planner knows about ready tasks.
            now: clock time in seconds.
            unix_now: Unix time in seconds.
            metrics: metrics of the process.
        """
        self._measured_at = now
        self._ready_tasks.update(now, unix_now)
        ready_tasks = self._ready_tasks.ready_by_job.values()
        stalls = measure_stalls(self._dispatcher, ready_tasks, state, now)
        self._set_gauges(stalls, metrics)
        self._log(stalls, now)

    def clear(self, metrics: Metrics) -> None:
        """Set the metrics to 0, as this daemon is no longer the owner."""
        self._set_gauges([], metrics)

    def _set_gauges(self, stalls: Sequence[PoolStall], metrics: Metrics) -> None:
        stall_by_labels = {(stall.pool, stall.reason): stall for stall in stalls}
        self._labels |= stall_by_labels.keys()
        for pool, reason in self._labels:
            stall = stall_by_labels.get((pool, reason))
            labels = {"pool": pool, "reason": reason}
            metrics.set(
                "jobs_stalled",
                "Jobs with a ready task that waits although its pool has room.",
                labels,
                stall.n_jobs if stall else 0,
            )
            metrics.set(
                "oldest_stall_seconds",
                "Longest wait of such a task.",
                labels,
                round(stall.seconds, 1) if stall else 0,
            )

    def _log(self, stalls: Sequence[PoolStall], now: float) -> None:
        oldest_by_pool: dict[str, PoolStall] = {}
        for stall in sorted(stalls, key=lambda stall: stall.seconds):
            oldest_by_pool[stall.pool] = stall
        for pool, stall in oldest_by_pool.items():
            logged_at = self._logged_at_by_pool.get(pool, float("-inf"))
            is_repeated = now - logged_at < REPEAT_SECONDS
            if stall.seconds >= STALL_SECONDS and not is_repeated:
                self._logged_at_by_pool[pool] = now
                self._stalled_pools.add(pool)
                log_stall(stall)
        for pool in self._stalled_pools - oldest_by_pool.keys():
            self._stalled_pools.discard(pool)
            log_event(logger, "pool stall ended", pool=pool)


def log_stall(stall: PoolStall) -> None:
    """Log a stall in a line that no tool cuts off, what decides first."""
    log_event(
        logger,
        "pool stalled",
        level=logging.WARNING,
        reason=stall.reason,
        blocked=format_counts(stall.blocked, MAX_BLOCKED_WIDTH),
        workers=stall.n_workers,
        seconds=round(stall.seconds, 1),
        pool=stall.pool,
        request_id=stall.oldest.task_id.job_id,
    )
