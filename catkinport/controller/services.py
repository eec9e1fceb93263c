"""Clients, clocks and helpers that all parts of the controller use."""

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple, TypeVar

from ..membership.interface import Membership
from ..ports import Clock, ObjectStore, Table, VmList, Workers
from ..runtime import Metrics
from .timing import Timing

Result = TypeVar("Result")
RunAll = Callable[[Sequence[Callable[[], Result]]], list[Result]]

MAX_CONCURRENT_WORKER_CALLS = 8
"""Enough that a rack of silent workers delays a step by one time-out at most, and few
enough threads for the memory of the process."""


class Services(NamedTuple):
    """Clients of the platform and shared objects of the process.

    Args:
        table: client of the table service.
        vm_list: client of the VM list.
        workers: client of the workers.
        membership: membership of this controller.
        clock: monotonic clock, in seconds, for leases and periods.
        unix_time: returns seconds since the Unix epoch, for times kept in rows.
        metrics: metrics of the process.
        run_all: calls several functions, possibly concurrently, and returns the
            results in the order of the functions.
        objects: client of the object store, to which inputs kept in job rows are
            copied; ``None`` to leave them in the rows.
        timing: durations from the settings of the process.
    """

    table: Table
    vm_list: VmList
    workers: Workers
    membership: Membership
    clock: Clock
    unix_time: Callable[[], float]
    metrics: Metrics
    run_all: RunAll
    objects: ObjectStore | None = None
    timing: Timing = Timing()


def run_serially(calls: Iterable[Callable[[], Result]]) -> list[Result]:
    """Call the functions one after the other and return their results.

    Example:
        >>> run_serially([lambda: 1, lambda: 2])
        [1, 2]
    """
    return [call() for call in calls]


class ParallelRunner:
    """Calls functions concurrently on a fixed number of threads."""

    def __init__(self, n_threads: int = MAX_CONCURRENT_WORKER_CALLS) -> None:
        self._executor = ThreadPoolExecutor(n_threads, "worker-call")

    def __call__(self, calls: Sequence[Callable[[], Result]]) -> list[Result]:
        """Call the functions and return their results in order."""
        if len(calls) < 2:
            return run_serially(calls)
        return list(self._executor.map(lambda call: call(), calls))

    def stop(self) -> None:
        """Cancel calls that have not begun and let the threads end."""
        self._executor.shutdown(wait=False, cancel_futures=True)
