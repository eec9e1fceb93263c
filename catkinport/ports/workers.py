"""Interface to workers, which run each task under a lease."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from .outcomes import NotRun, Unavailable, Unknown


class TaskState(StrEnum):
    """State of a task on its worker."""

    RUNNING = "running"
    THROTTLED = "throttled"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


class TaskSpecification(NamedTuple):
    """Description of one attempt of a job, as a worker needs it to run the attempt.

    Args:
        job_id: the job.
        attempt: number of the attempt, from 1.
        epoch: fencing epoch of the pool's owner; a worker rejects a lower one.
        team: team that the job belongs to.
        command: name of the command to run, for instance ``"sleep"``.
        input_reference: object that contains the input.
        checkpoint_reference: object to resume from, empty for a fresh start.
        result_reference: object in which to store the result.
        n_cores: declared number of processors.
        memory_gb: declared memory in GB.
        n_accelerators: declared number of accelerators.
        run_seconds: declared run time in seconds.
    """

    job_id: str
    attempt: int
    epoch: int
    team: str
    command: str
    input_reference: str
    checkpoint_reference: str
    result_reference: str
    n_cores: float
    memory_gb: float
    n_accelerators: int
    run_seconds: float


class TaskReport(NamedTuple):
    """Report of a worker on one attempt; the usage is some seconds old."""

    job_id: str
    attempt: int
    state: TaskState
    used_cores: float
    used_memory_gb: float
    progress: float
    checkpoint_reference: str
    detail: str


class Workers(Protocol):
    """Client of the workers. All methods block and are thread-safe."""

    def start_task(
        self, address: str, task: TaskSpecification, lease_seconds: float
    ) -> None | NotRun | Unknown:
        """Start an attempt; repeating it for the same attempt has no effect."""
        ...

    def renew_leases(
        self, address: str, epoch: int, job_ids: Sequence[str], lease_seconds: float
    ) -> list[TaskReport] | Unavailable:
        """Renew the leases of ``job_ids`` and return reports of every task."""
        ...

    def checkpoint_task(
        self, address: str, job_id: str, attempt: int, epoch: int
    ) -> None | Unavailable:
        """Ask a task to write a checkpoint and stop; a later report shows that."""
        ...

    def throttle_task(
        self, address: str, job_id: str, attempt: int, epoch: int, fraction: float
    ) -> None | Unavailable:
        """Limit a task to ``fraction`` of its declared processors (0 to 1)."""
        ...

    def stop_task(
        self, address: str, job_id: str, attempt: int, epoch: int
    ) -> None | Unavailable:
        """Stop a task; this has no effect if the worker does not run it."""
        ...
