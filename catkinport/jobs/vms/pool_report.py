"""Logs why the waiting tasks of a pool don't start, as far as its size explains it."""

import logging
from collections.abc import Sequence
from typing import NamedTuple

from ...runtime.logs import log_event
from ..workers.worker_state import WorkerRecord
from .lasting_waits import LONG_WAIT_SECONDS, LastingWait
from .pool_demand import PoolDemand

logger = logging.getLogger(__name__)

MIN_REPORT_SECONDS = 1.0
"""Shortest time between two lines about one pool."""


class PoolReport(NamedTuple):
    """Demand of a pool beside its VMs and workers.

    Args:
        waiting_cores: cores of waiting tasks.
        waiting_memory_gb: memory of waiting tasks.
        n_waiting_lasting: lasting tasks without a worker.
        n_long_waiting_lasting: those that wait longer than `LONG_WAIT_SECONDS`.
        n_vms: VMs that are on or are being moved to the pool.
        wanted_vms: VMs that it should have.
        n_workers: workers that are listed in the pool.
        n_ready_workers: workers that may get new tasks.
        n_cordoned: workers that get none because their VM is to move.
        n_reserved: workers that get none because their VM goes down or moves.
        n_off: VMs that are off and may be moved.
    """

    waiting_cores: float
    waiting_memory_gb: float
    n_waiting_lasting: int
    n_long_waiting_lasting: int
    n_vms: int
    wanted_vms: int
    n_workers: int
    n_ready_workers: int
    n_cordoned: int
    n_reserved: int
    n_off: int


def make_report(
    demand: PoolDemand,
    waits: Sequence[LastingWait],
    workers: Sequence[WorkerRecord],
    n_vms: int,
    wanted_vms: int,
    n_off: int,
    now: float,
) -> PoolReport:
    """Return the report of a pool at clock time ``now``."""
    return PoolReport(
        waiting_cores=round(demand.waiting_cores + demand.late_cores, 1),
        waiting_memory_gb=round(demand.waiting_memory_gb, 1),
        n_waiting_lasting=len(waits),
        n_long_waiting_lasting=sum(w.wait_seconds > LONG_WAIT_SECONDS for w in waits),
        n_vms=n_vms,
        wanted_vms=wanted_vms,
        n_workers=len(workers),
        n_ready_workers=sum(worker.may_start(now) for worker in workers),
        n_cordoned=sum(worker.is_cordoned for worker in workers),
        n_reserved=sum(worker.is_reserved for worker in workers),
        n_off=n_off,
    )


class PoolReporter:
    """Logs the report of each pool when it changes, at most once a second."""

    def __init__(self) -> None:
        self._logged_by_pool: dict[str, PoolReport] = {}
        self._logged_at_by_pool: dict[str, float] = {}

    def is_due(self, pool: str, now: float) -> bool:
        """Return whether a line about the pool may be logged again."""
        logged_at = self._logged_at_by_pool.get(pool, float("-inf"))
        return now - logged_at >= MIN_REPORT_SECONDS

    def note(self, pool: str, report: PoolReport, now: float) -> None:
        """Log a report that has changed; call it only if it is due."""
        if self._logged_by_pool.get(pool) == report:
            return
        self._logged_by_pool[pool] = report
        self._logged_at_by_pool[pool] = now
        log_event(logger, "pool demand measured", pool=pool, **report._asdict())
