"""What the pools are asked for, in cores."""

from collections import defaultdict
from typing import NamedTuple

from ..policy.job_order import Prospect, find_prospect
from .account_usage import usage_by_account
from .dispatcher import Dispatcher
from .record import JobRecord, TaskPhase


class PoolDemand(NamedTuple):
    """Cores that a pool is asked for.

    Args:
        busy_cores: of what runs.
        urgent_cores: of what runs for jobs that can still be on time.
        waiting_cores: of what could start for such jobs and has no worker yet.
        late_cores: of what could start for other jobs.
    """

    busy_cores: float = 0.0
    urgent_cores: float = 0.0
    waiting_cores: float = 0.0
    late_cores: float = 0.0


def measure_demand(dispatcher: Dispatcher, now: float) -> dict[str, PoolDemand]:
    """Return the demand of each pool; a pool without any has an empty one."""
    demand: defaultdict[str, PoolDemand] = defaultdict(PoolDemand)
    for belief in dispatcher.worker_by_id.values():
        pool = belief.listed.pool
        cores = demand[pool].busy_cores + belief.used.cores
        demand[pool] = demand[pool]._replace(busy_cores=cores)
    left_by_account = _cores_left(dispatcher)
    for record in dispatcher.job_by_id.values():
        queue = dispatcher.queue_of(record)
        if queue is None or record.is_closing:
            continue
        # What an account's limit keeps from starting needs no VM.
        left = left_by_account.get(record.job.account, float("inf"))
        waiting = min(count_cores(record, TaskPhase.WAITING), left)
        left_by_account[record.job.account] = left - waiting
        prospect = find_prospect(dispatcher.outlook.view_job(record, queue), now)
        former = demand[queue.pool]
        if prospect > Prospect.ON_TIME:
            late_cores = former.late_cores + waiting
            demand[queue.pool] = former._replace(late_cores=late_cores)
            continue
        running = count_cores(record, TaskPhase.PLACED)
        demand[queue.pool] = former._replace(
            urgent_cores=former.urgent_cores + running,
            waiting_cores=former.waiting_cores + waiting,
        )
    return demand


def count_cores(record: JobRecord, phase: TaskPhase) -> float:
    """Return the cores of the job's tasks in ``phase`` whose turn has come."""
    return sum(
        task.step.need.cores
        for stage in record.ready_stages()
        for task in record.tasks_by_stage[stage]
        if task.phase is phase and not task.step.is_filler
    )


def _cores_left(dispatcher: Dispatcher) -> dict[str, float]:
    usage = usage_by_account(dispatcher)
    return {
        name: max(0.0, account.limit.cores - usage[name].cores)
        if name in usage
        else account.limit.cores
        for name, account in dispatcher.configuration.account_by_name.items()
        if account.limit.cores
    }
