"""The operator's configuration in the form in which jobs use it."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from ..policy.resources import Resources

MAX_WORKERS_PER_REQUEST = 100
"""Most workers that the advice service judges in one call."""


class ApprovalTerms(NamedTuple):
    """Terms of a queue whose jobs need an approval of the worker for each step.

    Args:
        valid_seconds: time in seconds for which an approval is valid.
        decide_seconds: time in seconds that a call to the advice service takes.
        each_seconds: additional time in seconds for each worker that a call names.
    """

    valid_seconds: float
    decide_seconds: float = 0.0
    each_seconds: float = 0.0

    def call_seconds(self, n_workers: int) -> float:
        """Return the time in seconds that the service takes for a call."""
        return self.decide_seconds + self.each_seconds * n_workers

    def fewest_workers(self) -> int:
        """Return how many workers a call names at least, if there are so many.

        They add a quarter to the time of the call at most, but for the first two.
        """
        if not self.each_seconds:
            return MAX_WORKERS_PER_REQUEST
        return max(2, int(self.decide_seconds / 4 / self.each_seconds))

    def most_workers(self) -> int:
        """Return how many workers a call may name, so that its tickets can be used.

        The call takes half of the time for which its tickets hold, if that is possible.
        """
        if not self.each_seconds:
            return MAX_WORKERS_PER_REQUEST
        left_seconds = self.valid_seconds / 2 - self.decide_seconds
        n_workers = int(left_seconds / self.each_seconds)
        return max(1, min(n_workers, MAX_WORKERS_PER_REQUEST))


class Queue(NamedTuple):
    """A queue of jobs.

    Args:
        name: name of the queue.
        host: host name of the requests for its jobs.
        path_prefix: start of the path of these requests; ends with a slash.
        pool: pool of workers that runs its tasks.
        is_open: whether callers need no key.
        priority: queues with a lower number come first; 0 is the first.
        max_failures: failed runs of one task after which its job fails; 0 for no limit.
        stretch: factor on the expected duration of a job's longest chain of steps. The
            product plus ``target_seconds`` is the time within which the job should be
            complete.
        target_seconds: time in seconds that is added to that product.
        timeout_seconds: longest time in seconds that a call of a client may take.
        approval: terms of approval; ``None`` where workers need no approval.
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
    approval: ApprovalTerms | None = None

    def objective_seconds(self, chain_seconds: float) -> float:
        """Return the time within which a job with this longest chain should be done."""
        return self.stretch * chain_seconds + self.target_seconds


class AcceptedRules(NamedTuple):
    """Rules under which a job was accepted.

    Args:
        queue: queue of the job, without the fields that only matter for calls.
        version: version of the configuration that had the queue.
    """

    queue: Queue
    version: int


_RULE_FIELDS = (
    "pool",
    "priority",
    "max_failures",
    "stretch",
    "target_seconds",
)
"""Fields of a queue, beside its approval, that matter for accepted jobs."""


def rules_to_row(rules: AcceptedRules) -> dict[str, Any]:
    """Return the part of a job's row that holds its rules."""
    row = {name: getattr(rules.queue, name) for name in _RULE_FIELDS}
    if rules.queue.approval is not None:
        row["approval"] = rules.queue.approval._asdict()
    return {**row, "version": rules.version}


def rules_from_row(name: str, row: Mapping[str, Any]) -> AcceptedRules:
    """Return the rules of the queue ``name`` that a job's row holds.

    Raises:
        KeyError, TypeError: if the row has missing or unknown fields.
    """
    fields = {field: row[field] for field in _RULE_FIELDS}
    approval = row.get("approval")
    queue = Queue(
        name=name,
        host="",
        path_prefix="",
        is_open=False,
        timeout_seconds=0.0,
        approval=ApprovalTerms(**approval) if approval else None,
        **fields,
    )
    return AcceptedRules(queue, row["version"])


class Pool(NamedTuple):
    """A pool of VMs.

    Args:
        name: name of the pool.
        forbids_overcommit: whether its workers reject tasks that exceed their capacity.
        is_spare: whether its VMs are switched off and free of charge.
    """

    name: str
    forbids_overcommit: bool
    is_spare: bool


class Account(NamedTuple):
    """A client account.

    Args:
        name: name of the account.
        weight: weight of its share when there is not enough capacity for all accounts.
        limit: resources that its running tasks may take together; 0 in a resource for
            no limit.
    """

    name: str
    weight: float
    limit: Resources


class FleetConfiguration(NamedTuple):
    """One version of the configuration.

    Args:
        version: version number that the operator assigns; grows, but may skip numbers.
        queue_by_name: all queues.
        pool_by_name: all pools.
        account_by_name: all client accounts.
        account_name_by_key: account of each valid key.
        max_body_bytes: largest body of a request.
        max_header_bytes: largest head of a request.
        header_seconds: longest time that the head of a request may take.
        idle_seconds: longest time without progress of the body of a request.
    """

    version: int
    queue_by_name: Mapping[str, Queue]
    pool_by_name: Mapping[str, Pool]
    account_by_name: Mapping[str, Account]
    account_name_by_key: Mapping[str, str]
    max_body_bytes: int
    max_header_bytes: int = 16384
    header_seconds: float = 3.0
    idle_seconds: float = 15.0

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of ``host`` with the longest prefix of ``path``."""
        matches = [
            queue
            for queue in self.queue_by_name.values()
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matches, key=lambda queue: len(queue.path_prefix), default=None)
