"""Orders the jobs of a pool, with shares for the accounts that compete for it.

The order is found once a round, before anything is placed: jobs are placed in this
order, so the work ahead of a job of its account is known beforehand.
"""

import math
import operator
from collections.abc import Mapping
from typing import NamedTuple

from ...policy.account_shares import (
    AccountDemand,
    AccountTurn,
    ArrivalRates,
    RecentUse,
    find_allowances,
)
from ...policy.job_order import JobView, order_key
from ...policy.resources import NO_RESOURCES, Resources
from ..configuration import Account, Queue
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.record import JobRecord
from ..dispatch.task import TaskPhase
from .ready_cores import count_cores

JobAndQueue = tuple[JobRecord, Queue]


class _OrderedJob(NamedTuple):
    """A job with its queue, the figures by which it is ordered, and its sort key."""

    item: JobAndQueue
    view: JobView
    key: tuple[float, ...]

    @property
    def account(self) -> str:
        return self.item[0].job.account


_KEY_OF = operator.attrgetter("key")


class AccountOrder:
    """Order of the jobs of each pool.

    The order depends on accounts only while the jobs that wait for a pool want more
    cores than it has free and several accounts have such jobs. Jobs without a known
    account and lasting jobs belong to no share.

    Args:
        dispatcher: jobs and workers.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._rates = ArrivalRates()
        self._use_by_pool: dict[str, RecentUse] = {}

    def note_arrivals(self) -> None:
        """Find out which of the new jobs exceed the rates of their accounts."""
        accounts = self._dispatcher.configuration.account_by_name
        records = self._dispatcher.job_by_id.values()
        new = [record for record in records if record.is_surplus is None]
        if not new:
            return
        self._rates.keep_only(accounts)
        new.sort(key=lambda record: record.accepted_at)
        for record in new:
            account = accounts.get(record.job.account)
            is_lasting = any(step.is_lasting for step in record.job.steps)
            record.is_surplus = (
                account is not None
                and not is_lasting
                and self._rates.is_surplus(
                    account.name, account.weight, record.accepted_at
                )
            )

    def sort(
        self,
        pool: str,
        items: list[JobAndQueue],
        usage: Mapping[str, Resources],
        free_cores: float,
        now: float,
        unix_now: float,
    ) -> list[JobAndQueue]:
        """Return the jobs of a pool in the order in which they may start.

        Args:
            pool: name of the pool.
            items: jobs and their queues.
            usage: resources of the runs of each account in all pools.
            free_cores: cores of the pool that are free for new tasks.
            now: clock time in seconds.
            unix_now: Unix time in seconds, for jobs with due times.
        """
        view_job = self._dispatcher.estimates.view_job
        views = [view_job(*item) for item in items]
        jobs = [
            _OrderedJob(item, view, order_key(view, now))
            for item, view in zip(items, views, strict=True)
        ]
        jobs.sort(key=_KEY_OF)
        waiting = self._find_waiting(jobs, unix_now)
        n_accounts = len({job.account for job, _ in waiting})
        if n_accounts > 1 and sum(cores for _, cores in waiting) > free_cores:
            turns = self._find_turns(pool, waiting, usage, free_cores, now)
            jobs = [_apply_turn(job, turns, now) for job in jobs]
            jobs.sort(key=_KEY_OF)
        return [job.item for job in jobs]

    def _find_waiting(
        self, jobs: list[_OrderedJob], unix_now: float
    ) -> list[tuple[_OrderedJob, float]]:
        """Return the jobs that belong to a share and wait, with their waiting cores."""
        accounts = self._dispatcher.configuration.account_by_name
        return [
            (job, cores)
            for job in jobs
            if job.account in accounts and not job.view.is_lasting
            if (cores := _waiting_cores(job.item[0], unix_now)) > 0
        ]

    def _find_turns(
        self,
        pool: str,
        waiting: list[tuple[_OrderedJob, float]],
        usage: Mapping[str, Resources],
        free_cores: float,
        now: float,
    ) -> dict[str, AccountTurn]:
        """Return the place of each waiting job by its account, by job id.

        Args:
            pool: name of the pool.
            waiting: jobs in their order so far, with their waiting cores.
            usage: resources of the runs of each account in all pools.
            free_cores: cores of the pool that are free for new tasks.
            now: clock time in seconds.
        """
        running = self._running_cores(pool)
        recent = self._use_by_pool.setdefault(pool, RecentUse())
        recent.note(running, now)
        demands = self._find_demands(waiting, running, usage)
        allowances = find_allowances(
            free_cores + sum(running.values()), demands, recent.cores_by_account
        )
        taken = dict(running)
        turn_by_job: dict[str, AccountTurn] = {}
        for job, cores in waiting:
            record = job.item[0]
            if record.is_surplus:
                turn_by_job[record.job.job_id] = AccountTurn.SURPLUS
                continue
            before = taken.get(job.account, 0.0)
            if before >= allowances[job.account]:
                turn_by_job[record.job.job_id] = AccountTurn.BEYOND_SHARE
            taken[job.account] = before + cores
        return turn_by_job

    def _running_cores(self, pool: str) -> dict[str, float]:
        """Return the cores of each account's runs in a pool, lasting tasks aside."""
        accounts = self._dispatcher.configuration.account_by_name
        cores_by_account: dict[str, float] = {}
        for worker in self._dispatcher.workers_of(pool):
            for run in worker.run_by_key.values():
                account = run.record.job.account
                if account in accounts and not run.task.step.is_lasting:
                    cores = cores_by_account.get(account, 0.0)
                    cores_by_account[account] = cores + run.task.step.need.cores
        return cores_by_account

    def _find_demands(
        self,
        waiting: list[tuple[_OrderedJob, float]],
        running: Mapping[str, float],
        usage: Mapping[str, Resources],
    ) -> list[AccountDemand]:
        cores_by_account = dict.fromkeys(running, 0.0)
        for job, cores in waiting:
            waiting_cores = cores_by_account.get(job.account, 0.0)
            cores_by_account[job.account] = waiting_cores + cores
        accounts = self._dispatcher.configuration.account_by_name
        return [
            AccountDemand(
                name,
                accounts[name].weight,
                running.get(name, 0.0),
                cores,
                _max_cores(accounts[name], running, usage),
            )
            for name, cores in cores_by_account.items()
        ]


def _apply_turn(
    job: _OrderedJob, turn_by_job: Mapping[str, AccountTurn], now: float
) -> _OrderedJob:
    turn = turn_by_job.get(job.item[0].job.job_id)
    if turn is None:
        return job
    return _OrderedJob(job.item, job.view, order_key(job.view, now, turn))


def _max_cores(
    account: Account, running: Mapping[str, float], usage: Mapping[str, Resources]
) -> float:
    """Return the cores that an account may use in a pool beside its runs elsewhere."""
    limit = account.limit.cores
    if not limit:
        return math.inf
    own = running.get(account.name, 0.0)
    used = usage.get(account.name, NO_RESOURCES).cores
    return own + max(0.0, limit - used)


def _waiting_cores(record: JobRecord, unix_now: float) -> float:
    """Return the cores of the job's tasks that are due and could start."""
    if not record.job.n_occurrences:
        return count_cores(record, TaskPhase.WAITING)
    cores = 0.0
    for occurrence, number in record.ready_stages():
        if record.job.due_at(occurrence) > unix_now:
            break
        step = record.job.steps[number]
        n_open = step.n_tasks - record.count_done((occurrence, number))
        cores += n_open * step.need.cores
    return cores
