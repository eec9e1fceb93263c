"""Forecasts how long the jobs of a pool wait, and which can't be on time for that.

A job's wait follows from the work ahead of it in the order, in core-seconds, and from
the cores that the pool has and will have. A job that is recognised as late early leaves
its room to jobs that can still be on time. New jobs, which may come first, are unknown,
so a forecast is too short rather than too long.
"""

from collections.abc import Sequence
from typing import NamedTuple

from .account_shares import AccountTurn
from .job_order import JobView, Prospect, find_prospect, order_key

MAX_ITERATIONS = 4
"""Steps by which a wait is found. It depends on the later steps that are ready before
its end, and so on itself; most waits change no more after two."""


class ComingCores(NamedTuple):
    """Cores of a VM that is being moved to the pool, and the seconds until it is up."""

    seconds: float
    cores: float


class PoolRoom(NamedTuple):
    """Cores of a pool for jobs that end.

    Args:
        cores: cores that these jobs use, or could use.
        free_cores: the part of them that is free.
        coming: cores that the pool gets.
    """

    cores: float
    free_cores: float
    coming: Sequence[ComingCores] = ()

    def find_seconds(self, core_seconds: float) -> float:
        """Return the time in which the pool does this work; infinite if it never does.

        Example:
            >>> PoolRoom(4.0, 0.0, [ComingCores(1.0, 4.0)]).find_seconds(12.0)
            2.0
        """
        seconds, cores, left = 0.0, self.cores, core_seconds
        for at, more in sorted(self.coming):
            done = (max(at, seconds) - seconds) * cores
            if done >= left:
                break
            seconds, cores, left = max(at, seconds), cores + more, left - done
        if left <= 0:
            return seconds
        return seconds + left / cores if cores > 0 else float("inf")


class JobWork(NamedTuple):
    """Work of a job that has not started.

    Args:
        ready_cores: cores of the tasks that could start.
        ready_core_seconds: their work.
        later_core_seconds: work of the steps after them.
    """

    ready_cores: float
    ready_core_seconds: float
    later_core_seconds: float = 0.0


class ForecastJob(NamedTuple):
    """A job, its work and its place by its account."""

    view: JobView
    work: JobWork
    turn: AccountTurn = AccountTurn.WITHIN_SHARE


class WaitForecast:
    """Waits of jobs behind the work that was added so far.

    Args:
        room: cores of the pool.
    """

    def __init__(self, room: PoolRoom) -> None:
        self._room = room
        self._ready_core_seconds = 0.0
        self._later_core_seconds = 0.0
        self._longest_chain = 0.0

    def add(self, job: ForecastJob) -> None:
        """Add a job that comes before the later ones."""
        self._ready_core_seconds += job.work.ready_core_seconds
        self._later_core_seconds += job.work.later_core_seconds
        chain = job.view.remaining_chain_seconds
        self._longest_chain = max(self._longest_chain, chain)

    def find_wait(self, work: JobWork) -> float:
        """Return the seconds until all tasks of a job that could start have started."""
        if work.ready_cores <= 0:
            return 0.0
        task_seconds = work.ready_core_seconds / work.ready_cores
        free = self._room.free_cores * task_seconds
        ready = self._ready_core_seconds + work.ready_core_seconds - free
        if ready <= 0:
            return 0.0
        wait = 0.0
        for _ in range(MAX_ITERATIONS):
            # Later steps get ready over the time of their chain.
            part = min(1.0, wait / self._longest_chain) if self._longest_chain else 1.0
            former, wait = (
                wait,
                self._room.find_seconds(ready + part * self._later_core_seconds),
            )
            if wait - former < 0.01:
                break
        return wait


def forecast_prospects(
    jobs: Sequence[ForecastJob], room: PoolRoom, now: float
) -> list[Prospect]:
    """Return the expected outcomes of jobs that are not lasting, with their waits.

    Jobs that can't be on time by their wait count as late, and take no room from those
    that can; late jobs that would be hopeless take none from the other late ones.

    Args:
        jobs: in the order of `order_key`.
        room: cores of the pool.
        now: time in seconds.
    """
    prospects = [find_prospect(job.view, now) for job in jobs]
    forecast = WaitForecast(room)
    for prospect in (Prospect.ON_TIME, Prospect.LATE):
        indices = [i for i, own in enumerate(prospects) if own is prospect]
        if prospect is Prospect.LATE:
            indices.sort(
                key=lambda i: order_key(jobs[i].view, now, jobs[i].turn, Prospect.LATE)
            )
        for index in indices:
            job = jobs[index]
            wait = forecast.find_wait(job.work)
            prospects[index] = find_prospect(job.view, now, wait)
            if prospects[index] is prospect:
                forecast.add(job)
    return prospects
