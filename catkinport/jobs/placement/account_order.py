"""Finds the jobs that wait behind those of other accounts in a pool that is short."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ...policy.account_shares import (
    AccountDemand,
    AccountTurn,
    ArrivalRates,
    RecentUse,
    find_allowances,
)
from ...policy.resources import NO_RESOURCES, Resources
from ...policy.wait_forecast import JobWork
from ..configuration import Account
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.record import JobRecord
from .share_reporter import AccountShare


class WaitingJob(NamedTuple):
    """A job and its work that has not started."""

    record: JobRecord
    work: JobWork

    @property
    def account(self) -> str:
        """Name of its account."""
        return self.record.job.account


class AccountOrder:
    """Shares and rates of the accounts that compete for each pool.

    Shares count only while several accounts have jobs that wait for the pool. Jobs
    without a known account and lasting jobs belong to no share.

    Args:
        dispatcher: jobs and workers.

    Attributes:
        shares_by_pool: shares of the accounts that compete, by pool and account.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self.shares_by_pool: dict[str, dict[str, AccountShare]] = {}
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

    def find_turns(
        self,
        pool: str,
        jobs: Sequence[WaitingJob],
        running: Mapping[str, float],
        usage: Mapping[str, Resources],
        free_cores: float,
        now: float,
    ) -> dict[str, AccountTurn]:
        """Return the places by their account of the jobs that come later, by job id.

        Args:
            pool: name of the pool, which is short.
            jobs: jobs that wait for it, in their order so far.
            running: cores of each account's runs in the pool.
            usage: resources of the runs of each account in all pools.
            free_cores: cores of the pool that are free for new tasks.
            now: clock time in seconds.
        """
        accounts = self._dispatcher.configuration.account_by_name
        jobs = [job for job in jobs if job.account in accounts]
        if len({job.account for job in jobs}) < 2:
            self.shares_by_pool.pop(pool, None)
            return {}
        running = {name: n for name, n in running.items() if name in accounts}
        recent = self._use_by_pool.setdefault(pool, RecentUse())
        recent.note(running, now)
        demands = self._find_demands(jobs, running, usage)
        cores = free_cores + sum(running.values())
        allowances = find_allowances(cores, demands, recent.cores_by_account)
        self.shares_by_pool[pool] = _find_shares(jobs, allowances, running)
        taken = dict(running)
        turn_by_job: dict[str, AccountTurn] = {}
        for job in jobs:
            if job.record.is_surplus:
                turn_by_job[job.record.job.job_id] = AccountTurn.SURPLUS
                continue
            before = taken.get(job.account, 0.0)
            # A job that has begun keeps its place: to stop halfway wastes its work.
            is_beyond = before >= allowances[job.account]
            if is_beyond and not job.record.is_begun:
                turn_by_job[job.record.job.job_id] = AccountTurn.BEYOND_SHARE
            taken[job.account] = before + job.work.ready_cores
        return turn_by_job

    def _find_demands(
        self,
        jobs: Sequence[WaitingJob],
        running: Mapping[str, float],
        usage: Mapping[str, Resources],
    ) -> list[AccountDemand]:
        cores_by_account = dict.fromkeys(running, 0.0)
        for job in jobs:
            cores = cores_by_account.get(job.account, 0.0) + job.work.ready_cores
            cores_by_account[job.account] = cores
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


def _find_shares(
    jobs: Sequence[WaitingJob],
    allowances: Mapping[str, float],
    running: Mapping[str, float],
) -> dict[str, AccountShare]:
    n_waiting = Counter(job.account for job in jobs)
    n_surplus = Counter(job.account for job in jobs if job.record.is_surplus)
    return {
        name: AccountShare(
            allowances[name], running.get(name, 0.0), n_waiting[name], n_surplus[name]
        )
        for name in n_waiting
    }


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
