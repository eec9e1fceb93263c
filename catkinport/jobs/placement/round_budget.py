"""Bounds the work of one round of planning, which runs on the owner's event loop."""

from collections.abc import Callable
from typing import NamedTuple

from ..workers.run import Run
from ..workers.worker_state import WorkerRecord

MAX_STARTS_PER_JOB = 64
"""Most starts of a job before all other jobs have had their turn. A gang, whose tasks
start together, may exceed it."""

MAX_PLAN_SECONDS = 0.05
"""Processor time after which a round plans no other job, a small part of the lag at
which an owner falls behind. The work before the first job of a pool, which grows with
the number of runs, is not counted: however long it takes, each round gets on."""


class PlannedStart(NamedTuple):
    """A run that the dispatcher counts as ordered; the caller sends the order.

    ``ticket`` is the text of the worker's approval; empty if none is needed.
    """

    worker: WorkerRecord
    run: Run
    ticket: str


class RoundBudget:
    """Starts that a round has planned, and what it may still do.

    Args:
        max_starts: number of starts after which no other job is planned.
        clock: returns the processor time in seconds.

    Attributes:
        starts: the starts so far.
    """

    def __init__(self, max_starts: float, clock: Callable[[], float]) -> None:
        self.starts: list[PlannedStart] = []
        self._max_starts = max_starts
        self._clock = clock
        self._n_starts_before_job = 0
        self._job_began_at = 0.0
        self._taken_seconds = 0.0

    @property
    def may_plan_job(self) -> bool:
        """Whether another job may be planned."""
        has_starts_left = len(self.starts) < self._max_starts
        return has_starts_left and self._taken_seconds < MAX_PLAN_SECONDS

    @property
    def may_start_of_job(self) -> bool:
        """Whether another task of the present job may start."""
        return len(self.starts) - self._n_starts_before_job < MAX_STARTS_PER_JOB

    def begin_job(self) -> None:
        """Note that the next starts are those of another job."""
        self._n_starts_before_job = len(self.starts)
        self._job_began_at = self._clock()

    def end_job(self) -> None:
        """Count the time that the job has taken."""
        self._taken_seconds += self._clock() - self._job_began_at
