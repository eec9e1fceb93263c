"""The operator's configuration as the job plane uses it."""

from collections.abc import Mapping
from typing import NamedTuple

from ..policy.resources import Resources


class AdviceTerms(NamedTuple):
    """A queue whose workers have to be approved for each step.

    Args:
        valid_seconds: how long an approval holds.
    """

    valid_seconds: float


class Queue(NamedTuple):
    """A queue of jobs.

    Args:
        name: name of the queue.
        host: host name that callers use.
        path_prefix: start of the path of its jobs; ends with a slash.
        pool: pool of workers that runs its tasks.
        is_open: whether callers need no key.
        priority: 0 comes first.
        max_failures: failed runs of one task after which its job fails; 0 for none.
        stretch: how many times its longest chain a job may take.
        target_seconds: time allowed on top of that.
        timeout_seconds: longest time that a call of a client may take.
        advice: terms of approval; ``None`` where workers need none.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    is_open: bool
    priority: int
    max_failures: int
    stretch: float
    target_seconds: float
    timeout_seconds: float
    advice: AdviceTerms | None = None


class Pool(NamedTuple):
    """A pool of VMs.

    Args:
        name: name of the pool.
        guards_capacity: whether its workers reject what does not fit.
        is_spare: whether its VMs are off and free of charge.
    """

    name: str
    guards_capacity: bool
    is_spare: bool


class Account(NamedTuple):
    """A client account.

    Args:
        name: name of the account.
        weight: its share when all is full.
        limit: most that it may have running; 0 in a resource for no limit.
    """

    name: str
    weight: float
    limit: Resources


class FleetConfiguration(NamedTuple):
    """One version of the configuration.

    Args:
        version: the operator's number; grows in uneven steps.
        queue_by_name: all queues.
        pool_by_name: all pools.
        account_by_name: all client accounts.
        account_name_by_key: account of each valid key.
        max_body_bytes: largest body of a call.
    """

    version: int
    queue_by_name: Mapping[str, Queue]
    pool_by_name: Mapping[str, Pool]
    account_by_name: Mapping[str, Account]
    account_name_by_key: Mapping[str, str]
    max_body_bytes: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` at ``host``."""
        matches = [
            queue
            for queue in self.queue_by_name.values()
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matches, key=lambda queue: len(queue.path_prefix), default=None)
