"""Measures the demand of each pool in cores."""

from collections import defaultdict
from typing import NamedTuple

from ...policy.job_order import Prospect, find_prospect
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.record import JobRecord
from ..dispatch.task import TaskPhase
from ..placement.account_usage import usage_by_account
from ..placement.ready_cores import count_cores


class PoolDemand(NamedTuple):
    """Demand of a pool in cores.

    Args:
        busy_cores: cores of all runs on the pool's workers, filler tasks aside.
        urgent_cores: cores of running tasks of lasting jobs and of jobs that can still
            complete on time.
        waiting_cores: cores of waiting tasks of such jobs whose earlier steps are done.
        late_cores: cores of waiting tasks of all other jobs whose earlier steps are
            done.
        waiting_memory_gb: memory of the waiting tasks of all jobs whose earlier steps
            are done.
    """

    busy_cores: float = 0.0
    urgent_cores: float = 0.0
    waiting_cores: float = 0.0
    late_cores: float = 0.0
    waiting_memory_gb: float = 0.0


def measure_demand(dispatcher: Dispatcher, now: float) -> dict[str, PoolDemand]:
    """Return the demand of each pool; a pool without any defaults to zeros."""
    demand: defaultdict[str, PoolDemand] = defaultdict(PoolDemand)
    for worker in dispatcher.worker_by_id.values():
        pool = worker.listed.pool
        cores = demand[pool].busy_cores + worker.used.cores
        demand[pool] = demand[pool]._replace(busy_cores=cores)
    allowed_by_account = _cores_within_limit(dispatcher)
    for record in dispatcher.job_by_id.values():
        queue = dispatcher.queue_of(record)
        if queue is None or record.is_closing:
            continue
        # Tasks that can't start because of their account's limit need no VM.
        allowed = allowed_by_account.get(record.job.account, float("inf"))
        waiting = min(count_cores(record, TaskPhase.WAITING), allowed)
        allowed_by_account[record.job.account] = allowed - waiting
        prospect = find_prospect(dispatcher.estimates.view_job(record, queue), now)
        memory_gb = demand[queue.pool].waiting_memory_gb + _waiting_memory_gb(record)
        present = demand[queue.pool]._replace(waiting_memory_gb=memory_gb)
        if prospect > Prospect.ON_TIME:
            late_cores = present.late_cores + waiting
            demand[queue.pool] = present._replace(late_cores=late_cores)
            continue
        running = count_cores(record, TaskPhase.PLACED)
        demand[queue.pool] = present._replace(
            urgent_cores=present.urgent_cores + running,
            waiting_cores=present.waiting_cores + waiting,
        )
    return demand


def _waiting_memory_gb(record: JobRecord) -> float:
    return sum(
        step.need.memory_gb * record.count_ready(number, TaskPhase.WAITING)
        for number, step in enumerate(record.job.steps)
    )


def _cores_within_limit(dispatcher: Dispatcher) -> dict[str, float]:
    """Return the cores that accounts with a limit may still use, by account."""
    usage = usage_by_account(dispatcher)
    return {
        name: max(0.0, account.limit.cores - usage[name].cores)
        if name in usage
        else account.limit.cores
        for name, account in dispatcher.configuration.account_by_name.items()
        if account.limit.cores
    }
