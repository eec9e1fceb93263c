"""Workers that are driven by direct orders under a fencing token."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from ..policy.resources import Resources
from .outcomes import Unavailable


class EndKind(StrEnum):
    """How a run of a task ended on its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningTask(NamedTuple):
    """An entry of a worker's list of what runs.

    Args:
        task: name of the task.
        run: number of the run.
        saved: latest checkpoint; empty for none.
        percent: progress, or for a lasting task whether it is at work.
        gauge: rough figure of the last half second: the tail latency in milliseconds
            of a task that serves, the thousandths of a core in use of any other.
    """

    task: str
    run: int
    saved: str
    percent: float
    gauge: float


class EndedTask(NamedTuple):
    """An entry of a worker's list of ends; ``number`` counts within one life."""

    number: int
    task: str
    run: int
    how: EndKind
    saved: str


class WorkerLists(NamedTuple):
    """What a worker runs and which ends it still lists.

    Args:
        born: Unix time in seconds of the worker's start; tells its lives apart.
        running: everything that runs.
        ended: ends that were not noted yet, by number.
    """

    born: float
    running: Sequence[RunningTask]
    ended: Sequence[EndedTask]


class ListedWorker(NamedTuple):
    """A worker's own entry in the list of workers.

    Args:
        worker_id: id of this life of the worker.
        pool: pool that it serves.
        address: ``host:port`` for orders.
        zone: availability zone.
        is_draining: whether it is about to leave.
        remaining_seconds: least time until a draining worker leaves.
        capacity: what its tasks may take together.
        labels: kind and rack.
        born: Unix time in seconds of its start; 0 when the entry does not say.
    """

    worker_id: str
    pool: str
    address: str
    zone: str
    is_draining: bool
    remaining_seconds: float
    capacity: Resources
    labels: tuple[str, ...]
    born: float


class StartOrder(NamedTuple):
    """Starts one run of a task.

    Args:
        task: name of the task.
        run: number of the run.
        specification: the job's text.
        saved: checkpoint to resume from; empty for none.
        ticket: approval of this worker for the step; empty where none is needed.
    """

    task: str
    run: int
    specification: str
    saved: str
    ticket: str


class Rejection(StrEnum):
    """Why a worker did not carry out an order. It has done nothing."""

    FENCED = "fenced"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other-life"
    INVALID = "invalid"


class Done(NamedTuple):
    """The worker has carried out the order."""


class Rejected(NamedTuple):
    """The worker has done nothing, for ``reason``."""

    reason: Rejection


OrderOutcome = Done | Rejected | Unavailable


class FleetWorkers(Protocol):
    """Client of the workers; every call carries the owner's fencing token."""

    async def list_workers(self) -> list[ListedWorker] | Unavailable:
        """Read the list of workers; entries that cannot be read are left out."""
        ...

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        noted_end: int,
        lease_seconds: float,
        wait_seconds: float,
    ) -> WorkerLists | Rejected | Unavailable:
        """Renew the lease of all that runs on ``worker`` and read its lists.

        Args:
            worker: the worker.
            token: fencing token; the worker refuses lower ones from then on.
            noted_end: number of the last end that is stored.
            lease_seconds: how long tasks may go on without another call.
            wait_seconds: how long the worker may wait for an end to report.
        """
        ...

    async def start(
        self, worker: ListedWorker, token: int, order: StartOrder, lease_seconds: float
    ) -> OrderOutcome:
        """Start a run; ``Unavailable`` means that it may start seconds later."""
        ...

    async def stop(
        self, worker: ListedWorker, token: int, task: str, run: int
    ) -> OrderOutcome:
        """Stop a run; one that is not there yet is refused from then on."""
        ...

    async def pace(
        self, worker: ListedWorker, token: int, task: str, run: int, percent: int
    ) -> OrderOutcome:
        """Let a task work at ``percent`` of its speed."""
        ...

    async def advise(
        self, step: str, worker_ids: Sequence[str]
    ) -> dict[str, str] | Unavailable:
        """Return the ticket of each worker that may run ``step``, by worker id."""
        ...
