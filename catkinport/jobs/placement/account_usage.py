"""Resources of the runs that each client account has or may have, and its limit."""

from collections.abc import Mapping

from ...policy.resources import NO_RESOURCES, Resources, add, scale
from ..configuration import Account
from ..dispatch.dispatcher import Dispatcher


def usage_by_account(dispatcher: Dispatcher) -> dict[str, Resources]:
    """Return the resources of the runs that each client account has or may have."""
    usage: dict[str, Resources] = {}
    for worker in dispatcher.worker_by_id.values():
        for run in worker.run_by_key.values():
            need = run.task.step.need
            account = run.record.job.account
            usage[account] = add(usage.get(account, NO_RESOURCES), need)
    for account, unreached in _unreached_usage(dispatcher).items():
        usage[account] = add(usage.get(account, NO_RESOURCES), unreached)
    return usage


def _unreached_usage(dispatcher: Dispatcher) -> dict[str, Resources]:
    """Return the resources that accounts may use on workers not reached yet.

    After a change of owner, each inherited task that no worker has reported may still
    run on a worker that the new owner has not reached.
    """
    usage: dict[str, Resources] = {}
    if not dispatcher.unresolved_by_id:
        return usage
    for record in dispatcher.job_by_id.values():
        if dispatcher.is_job_resolved(record):
            continue
        account = record.job.account
        for number, step in enumerate(record.job.steps):
            need = scale(step.need, record.count_waiting(number))
            usage[account] = add(usage.get(account, NO_RESOURCES), need)
    return usage


def is_within_limit(
    usage: Mapping[str, Resources], account: Account | None, need: Resources, n: int
) -> bool:
    """Return whether the account stays within its limit with ``n`` more tasks.

    A limit of 0 means that the resource is not limited.
    """
    if account is None:
        return True
    have = usage.get(account.name, NO_RESOURCES)
    return all(
        not limit or used + n * more <= limit
        for used, more, limit in zip(have, need, account.limit, strict=True)
    )
