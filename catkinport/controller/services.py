"""What the parts of the controller share."""

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple, TypeVar

from ..membership.interface import Membership
from ..ports import Clock, ObjectStore, Table, VmList, Workers
from ..runtime import Metrics
from .timing import Timing

Result = TypeVar("Result")
RunAll = Callable[[Sequence[Callable[[], Result]]], list[Result]]

N_WORKER_CALLS_AT_ONCE = 8
"""Enough that a rack of silent workers does not delay a step by more than one
time-out, few enough for the memory of the daemon."""


class Services(NamedTuple):
    """Ports and shared objects of the daemon.

    Args:
        table: client of the table service.
        vm_list: client of the VM list.
        workers: client of the workers.
        membership: membership of this daemon.
        clock: clock of leases and periods.
        unix_time: returns seconds since the Unix epoch, for times kept in rows.
        metrics: metrics of the process.
        run_all: calls several functions, possibly at once, and returns the results
            in order.
        objects: client of the object store, for inputs kept in job rows.
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


def run_in_turn(calls: Iterable[Callable[[], Result]]) -> list[Result]:
    """Call functions one after the other.

    Example:
        >>> run_in_turn([lambda: 1, lambda: 2])
        [1, 2]
    """
    return [call() for call in calls]


class ParallelRunner:
    """Calls functions at once on a few threads."""

    def __init__(self, n_threads: int = N_WORKER_CALLS_AT_ONCE) -> None:
        self._executor = ThreadPoolExecutor(n_threads, "worker-call")

    def __call__(self, calls: Sequence[Callable[[], Result]]) -> list[Result]:
        """Call functions and return their results in order."""
        if len(calls) < 2:
            return run_in_turn(calls)
        return list(self._executor.map(lambda call: call(), calls))

    def stop(self) -> None:
        """Stop the threads."""
        self._executor.shutdown(wait=False, cancel_futures=True)
