"""Interface to workers that accept orders under a fencing token."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from ..policy.resources import Resources
from .outcomes import Unavailable


class EndKind(StrEnum):
    """Way in which a run of a task ended; ``LAPSED`` means that its lease expired."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningTask(NamedTuple):
    """Entry of a worker's list of running tasks.

    Args:
        task: name of the task.
        run: number of the run.
        checkpoint: reference to the latest checkpoint; empty if there is none.
        percent: progress in percent; for a task that runs until it is stopped,
            100 once it has begun its work and 0 before.
        load: approximate value over the last half second. It is the tail latency in
            milliseconds for a task that serves requests, and the processor use in
            thousandths of a core for any other task.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float


class EndedTask(NamedTuple):
    """Entry of a worker's list of ended runs.

    ``number`` counts the ended runs since the worker started.
    """

    number: int
    task: str
    run: int
    how: EndKind
    checkpoint: str


class WorkerLists(NamedTuple):
    """Lists of the running tasks and of the recently ended runs of a worker.

    Args:
        started_at: Unix time in seconds at which the worker started; a change of it
            shows that the worker has restarted.
        running: all running tasks.
        ended: ended runs that the caller has not acknowledged yet, by number.
        may_lack_ends: whether more runs may have ended than ``ended`` holds. The worker
            lists the next ones once these have been acknowledged. A run in neither list
            may then have ended.
    """

    started_at: float
    running: Sequence[RunningTask]
    ended: Sequence[EndedTask]
    may_lack_ends: bool = False


class ListedWorker(NamedTuple):
    """Entry that a worker itself writes to the list of workers.

    Args:
        worker_id: id of the worker; a restarted worker has a new one.
        pool: pool that it serves.
        address: ``host:port`` for orders.
        zone: availability zone.
        is_draining: whether it is about to leave.
        remaining_seconds: minimum time until a draining worker leaves.
        capacity: resources that its tasks may use together.
        labels: kind and rack.
        started_at: Unix time in seconds at which it started; 0 if the entry lacks it.
        cold_seconds: for how much longer it is slow after its start, as its entry says.
    """

    worker_id: str
    pool: str
    address: str
    zone: str
    is_draining: bool
    remaining_seconds: float
    capacity: Resources
    labels: tuple[str, ...]
    started_at: float
    cold_seconds: float = 0.0


class StartOrder(NamedTuple):
    """Order to start one run of a task.

    Args:
        task: name of the task.
        run: number of the run.
        specification: specification of the job as text.
        checkpoint: reference to the checkpoint to resume from; empty for a fresh start.
        ticket: ticket by which the advice service approves this worker for the step
            of the job; empty if none is needed.
    """

    task: str
    run: int
    specification: str
    checkpoint: str
    ticket: str


class Rejection(StrEnum):
    """Reason why a worker did not carry out an order; the order had no effect.

    ``FENCED`` means that the worker has seen a higher fencing token, ``OLD_RUN`` that
    the run was stopped or has ended or that another run of the task is active,
    ``LATE`` that the lease in the order had expired on arrival,
    ``OTHER_INCARNATION`` that the worker has restarted under another id, and ``NOT_UP``
    that the VM of the order is down, moving or about to leave.
    """

    FENCED = "fenced"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other-life"
    NOT_UP = "not-up"
    INVALID = "invalid"


class Done(NamedTuple):
    """Outcome of an order that the worker has carried out.

    Args:
        shows_restart: whether the answer is that of a later incarnation than the one
            that the order was made for.
    """

    shows_restart: bool = False


class Rejected(NamedTuple):
    """Outcome of an order that the worker rejected and that had no effect.

    Args:
        reason: why it was rejected.
        shows_restart: whether the answer is that of a later incarnation than the one
            that the order was made for.
    """

    reason: Rejection
    shows_restart: bool = False


OrderOutcome = Done | Rejected | Unavailable


class FleetWorkers(Protocol):
    """Client of the workers; every order has the fencing token of the pool's owner."""

    async def list_workers(self) -> list[ListedWorker] | Unavailable:
        """Read the list of workers; entries that cannot be decoded are left out."""
        ...

    def bound_answer(self, worker_id: str) -> float:
        """Return how many seconds after its wait a poll of a live worker is answered.

        Where answers take long, it is longer.
        """
        ...

    async def renew_lease(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged_end: int,
        lease_seconds: float,
        wait_seconds: float,
    ) -> WorkerLists | Rejected | Unavailable:
        """Renew the lease of all tasks on ``worker`` and read its lists.

        Args:
            worker: the worker.
            token: fencing token; the worker refuses lower ones from then on.
            acknowledged_end: number of the last ended run that the caller has stored;
                the worker no longer lists the runs up to it. 0 acknowledges none.
            lease_seconds: how long tasks may continue without another call.
            wait_seconds: how long the worker may wait until a run ends.
        """
        ...

    async def start(
        self, worker: ListedWorker, token: int, order: StartOrder, lease_seconds: float
    ) -> OrderOutcome:
        """Start a run; after ``Unavailable`` it may still start seconds later."""
        ...

    async def stop(
        self, worker: ListedWorker, token: int, task: str, run: int
    ) -> OrderOutcome:
        """Stop a run; if it has not started yet, the worker will reject its start."""
        ...

    async def limit_speed(
        self, worker: ListedWorker, token: int, task: str, run: int, percent: int
    ) -> OrderOutcome:
        """Limit a task to ``percent`` of its full speed."""
        ...
