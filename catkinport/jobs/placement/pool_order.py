"""Orders the jobs of a pool for a round of planning.

The order is found once a round, before anything is placed: jobs are placed in this
order, so the work ahead of each job is known beforehand. Shares of accounts and waits
count only while the jobs that wait for the pool want more cores than it has free.
"""

import operator
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ...policy.account_shares import AccountTurn
from ...policy.job_order import JobView, Prospect, order_key
from ...policy.resources import Resources
from ...policy.wait_forecast import (
    ComingCores,
    ForecastJob,
    JobWork,
    PoolRoom,
    forecast_prospects,
)
from ..configuration import Queue
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.record import JobRecord
from ..workers.worker_state import WorkerRecord
from .account_order import AccountOrder, WaitingJob
from .ready_cores import measure_work
from .share_reporter import SharesByPool

JobAndQueue = tuple[JobRecord, Queue]

MAX_FORECAST_JOBS = 500
"""Most jobs of a pool whose waits are forecast in a round, the first ones in order. Far
fewer start in a round, and a forecast of 4,000 jobs takes 40 ms more."""


class PoolState(NamedTuple):
    """What a round knows of a pool and of the accounts before it places tasks.

    Args:
        pool: name of the pool.
        free_cores: cores that are free for new tasks.
        usage: resources of the runs of each account in all pools.
        coming: cores that are being moved to the pool.
    """

    pool: str
    free_cores: float
    usage: Mapping[str, Resources]
    coming: Sequence[ComingCores] = ()


class JobPlace(NamedTuple):
    """What a job is ordered by.

    Args:
        view: the job.
        prospect: its expected outcome, with its wait where the pool is short.
        turn: its place by its account, where accounts compete.
    """

    view: JobView
    prospect: Prospect
    turn: AccountTurn


class _OrderedJob(NamedTuple):
    """A job with its queue, and the figures by which it is ordered."""

    item: JobAndQueue
    view: JobView
    work: JobWork
    key: tuple[float, ...]
    turn: AccountTurn = AccountTurn.WITHIN_SHARE

    @property
    def job_id(self) -> str:
        return self.item[0].job.job_id


_key_of = operator.attrgetter("key")


class PoolOrder:
    """Order of the jobs of each pool.

    Args:
        dispatcher: jobs and workers.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._accounts = AccountOrder(dispatcher)
        self._place_by_job: dict[str, JobPlace] = {}

    @property
    def shares_by_pool(self) -> SharesByPool:
        """Shares of the accounts that compete, by pool and account."""
        return self._accounts.shares_by_pool

    def note_arrivals(self) -> None:
        """Find out which of the new jobs exceed the rates of their accounts."""
        self._accounts.note_arrivals()

    def place_of(self, job_id: str) -> JobPlace:
        """Return the place of a job in the pool that was sorted last."""
        return self._place_by_job[job_id]

    def sort(
        self,
        state: PoolState,
        items: Sequence[JobAndQueue],
        now: float,
        unix_now: float,
    ) -> list[JobAndQueue]:
        """Return the jobs of a pool in the order in which they may start.

        Args:
            state: the pool.
            items: jobs and their queues.
            now: clock time in seconds.
            unix_now: Unix time in seconds, for jobs with due times.
        """
        jobs = [self._measure(item, now, unix_now) for item in items]
        jobs.sort(key=_key_of)
        ending = [job for job in jobs if not job.view.is_lasting]
        if sum(job.work.ready_cores for job in ending) <= state.free_cores:
            self._accounts.shares_by_pool.pop(state.pool, None)
            return self._keep_places(jobs)
        workers = self._dispatcher.workers_of(state.pool)
        ending = self._apply_turns(state, ending, _running_cores(workers), now)
        usable = self._dispatcher.workers_outside_evacuations(state.pool)
        room = PoolRoom(_usable_cores(usable), state.free_cores, state.coming)
        ending = _apply_waits(ending, room, now)
        lasting = [job for job in jobs if job.view.is_lasting]
        return self._keep_places([*lasting, *ending])

    def _keep_places(self, jobs: Sequence[_OrderedJob]) -> list[JobAndQueue]:
        self._place_by_job = {
            job.job_id: JobPlace(job.view, Prospect(int(job.key[0])), job.turn)
            for job in jobs
        }
        return [job.item for job in jobs]

    def _measure(self, item: JobAndQueue, now: float, unix_now: float) -> _OrderedJob:
        estimates = self._dispatcher.estimates
        view = estimates.view_job(*item)
        durations = estimates.durations_of(item[1].name)
        work = measure_work(item[0], durations, unix_now)
        return _OrderedJob(item, view, work, order_key(view, now))

    def _apply_turns(
        self,
        state: PoolState,
        jobs: list[_OrderedJob],
        running: Mapping[str, float],
        now: float,
    ) -> list[_OrderedJob]:
        """Return the jobs in their order with the shares of accounts."""
        waiting = [
            WaitingJob(job.item[0], job.work) for job in jobs if job.work.ready_cores
        ]
        turn_by_job = self._accounts.find_turns(
            state.pool, waiting, running, state.usage, state.free_cores, now
        )
        if not turn_by_job:
            return jobs
        jobs = [_with_turn(job, turn_by_job, now) for job in jobs]
        jobs.sort(key=_key_of)
        return jobs


def _running_cores(workers: Iterable[WorkerRecord]) -> dict[str, float]:
    """Return the cores of each account's runs on workers, lasting tasks aside."""
    cores_by_account: dict[str, float] = {}
    for worker in workers:
        for run in worker.run_by_key.values():
            step = run.task.step
            if not step.is_lasting and not step.is_filler:
                account = run.record.job.account
                cores = cores_by_account.get(account, 0.0)
                cores_by_account[account] = cores + step.need.cores
    return cores_by_account


def _usable_cores(workers: Iterable[WorkerRecord]) -> float:
    """Return the cores of workers for jobs that end.

    Workers that are out of contact count, as they mostly come back: a new owner has
    reached few of them in its first rounds.
    """
    cores = 0.0
    for worker in workers:
        is_leaving = worker.is_taken_down or worker.is_reserved or worker.is_cordoned
        if is_leaving or not worker.is_listed or worker.listed.is_draining:
            continue
        cores += worker.listed.capacity.cores
        for run in worker.run_by_key.values():
            if run.task.step.is_lasting:
                cores -= run.task.step.need.cores
    return max(0.0, cores)


def _with_turn(
    job: _OrderedJob, turn_by_job: Mapping[str, AccountTurn], now: float
) -> _OrderedJob:
    turn = turn_by_job.get(job.job_id)
    if turn is None:
        return job
    key = order_key(job.view, now, turn)
    return _OrderedJob(job.item, job.view, job.work, key, turn)


def _apply_waits(
    jobs: list[_OrderedJob], room: PoolRoom, now: float
) -> list[_OrderedJob]:
    """Return the jobs in their order by the outcomes that their waits allow."""
    first = jobs[:MAX_FORECAST_JOBS]
    prospects = forecast_prospects(
        [ForecastJob(job.view, job.work, job.turn) for job in first], room, now
    )
    # A job beyond the bound waits at least as long as the last one before it that has
    # the same prospect without a wait, so it can't pass that one.
    latest = {job.key[0]: own for job, own in zip(first, prospects, strict=True)}
    rest = jobs[MAX_FORECAST_JOBS:]
    prospects += [latest.get(job.key[0], Prospect(int(job.key[0]))) for job in rest]
    changed = [
        job._replace(key=order_key(job.view, now, job.turn, prospect))
        if job.key[0] != prospect
        else job
        for job, prospect in zip(jobs, prospects, strict=True)
    ]
    return sorted(changed, key=_key_of)
