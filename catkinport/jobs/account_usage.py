"""What client accounts have, or may have, running."""

from ..policy.resources import NOTHING, Resources, add
from .dispatcher import Dispatcher
from .record import TaskPhase


def usage_by_account(dispatcher: Dispatcher) -> dict[str, Resources]:
    """Return what each client account has or may have running."""
    usage: dict[str, Resources] = {}
    for belief in dispatcher.worker_by_id.values():
        for run in belief.run_by_key.values():
            need = run.task.step.need
            account = run.record.job.account
            usage[account] = add(usage.get(account, NOTHING), need)
    for account, unseen in _unseen_usage(dispatcher).items():
        usage[account] = add(usage.get(account, NOTHING), unseen)
    return usage


def _unseen_usage(dispatcher: Dispatcher) -> dict[str, Resources]:
    """Return what accounts may have on workers that a new owner has not reached.

    Each inherited task that no worker has listed may run on one of them.
    """
    usage: dict[str, Resources] = {}
    if not dispatcher.unresolved_by_id:
        return usage
    for record in dispatcher.job_by_id.values():
        queue = dispatcher.queue_of(record)
        is_open = queue is None or not dispatcher.is_pool_resolved(queue.pool)
        if not record.is_inherited or not is_open:
            continue
        for task in record.all_tasks():
            if task.phase is TaskPhase.WAITING:
                account = record.job.account
                need = task.step.need
                usage[account] = add(usage.get(account, NOTHING), need)
    return usage
