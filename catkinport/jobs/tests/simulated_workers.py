"""Simulated workers for tests of changes of ownership."""

from typing import NamedTuple

from ...ports.fleet_workers import (
    Done,
    EndedTask,
    EndKind,
    Rejected,
    Rejection,
    RunningTask,
    WorkerLists,
)

MAX_LISTED_ENDS = 2
"""Most ended runs in one answer; few, so that short histories need several answers."""


class Order(NamedTuple):
    """An order to a worker to start or stop a run.

    Args:
        until: time in seconds on the worker's clock at which the lease of a start ends.
    """

    worker_id: str
    token: int
    task: str
    run: int
    until: float
    is_start: bool


class FakeWorker:
    """Simulated worker with fencing tokens, a lease, and refusal of outdated runs.

    Args:
        clock_rate: seconds of its clock per second.
        booted_at: time in seconds at which its clock showed 0.
        max_lease_seconds: longest lease that it grants, on its clock.
        forgets_later_ends: whether it also forgets, up to the highest number that was
            acknowledged, the ends that come later.

    Attributes:
        lapsed_end: number of the last end after which the lease has ended once.
    """

    def __init__(
        self,
        clock_rate: float = 1.0,
        booted_at: float = 0.0,
        max_lease_seconds: float = float("inf"),
        forgets_later_ends: bool = False,
    ) -> None:
        self.clock_rate = clock_rate
        self.booted_at = booted_at
        self.max_lease_seconds = max_lease_seconds
        self.forgets_later_ends = forgets_later_ends
        self.started_at = 1.0
        self._forget_all()

    def _forget_all(self) -> None:
        self.token = 0
        self.lease_until = 0.0
        self.running: dict[tuple[str, int], float] = {}
        self.ended: list[EndedTask] = []
        self.refused_run: dict[str, int] = {}
        self.n_ends = 0
        self.lapsed_end = 0
        self.acknowledged_end = 0

    def clock(self, now: float) -> float:
        """Return what its clock shows at ``now``."""
        return (now - self.booted_at) * self.clock_rate

    def expire(self, now: float) -> None:
        """End all runs if the lease has ended."""
        if self.clock(now) > self.lease_until:
            self.lapsed_end = self.n_ends
            for key in list(self.running):
                self.end(key, EndKind.LAPSED)

    def end(self, key: tuple[str, int], how: EndKind) -> None:
        """End a run."""
        del self.running[key]
        self.n_ends += 1
        self.ended.append(EndedTask(self.n_ends, *key, how, ""))
        self._refuse(*key)

    def carry_out(self, order: Order, now: float) -> Done | Rejected:
        """Start or stop a run."""
        self.expire(now)
        if order.token < self.token:
            return Rejected(Rejection.FENCED)
        self.token = order.token
        key = (order.task, order.run)
        if not order.is_start:
            if key in self.running:
                self.end(key, EndKind.STOPPED)
            self._refuse(*key)
            return Done()
        if order.until < self.clock(now):
            return Rejected(Rejection.LATE)
        if key in self.running:
            return Done()
        if order.run <= self.refused_run.get(order.task, 0):
            return Rejected(Rejection.OLD_RUN)
        self.running[key] = now
        self._extend_lease(order.until, now)
        return Done()

    def renew_lease(self, token: int, acknowledged_end: int, until: float, now: float):
        """Renew the lease of all runs and return the lists of runs."""
        self.expire(now)
        if token < self.token:
            return Rejected(Rejection.FENCED)
        self.token = token
        self._extend_lease(until, now)
        if self.forgets_later_ends:
            self.acknowledged_end = max(self.acknowledged_end, acknowledged_end)
            acknowledged_end = self.acknowledged_end
        self.ended = [end for end in self.ended if end.number > acknowledged_end]
        running = [RunningTask(*key, "", 0.0, 0.0) for key in self.running]
        ended = self.ended[:MAX_LISTED_ENDS]
        may_lack_ends = len(ended) == MAX_LISTED_ENDS
        return WorkerLists(self.started_at, running, ended, may_lack_ends)

    def crash(self) -> None:
        """Restart with nothing known, not even a fencing token."""
        self._forget_all()
        self.started_at += 1.0

    def _extend_lease(self, until: float, now: float) -> None:
        latest = self.clock(now) + self.max_lease_seconds
        self.lease_until = max(self.lease_until, min(until, latest))

    def _refuse(self, task: str, run: int) -> None:
        self.refused_run[task] = max(run, self.refused_run.get(task, 0))
