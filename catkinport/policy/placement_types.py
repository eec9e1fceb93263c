"""Input and output of a placement round."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .resources import Resources

THROTTLE_FRACTION = 0.5
"""Fraction of its processors that a throttled task keeps."""


class WorkerView(NamedTuple):
    """A worker of the pool; it gets no tasks while ``is_quarantined`` is true."""

    vm_id: str
    zone: str
    rack: str
    capacity: Resources
    is_quarantined: bool = False


class WaitingJob(NamedTuple):
    """A job that waits to be placed.

    ``request`` is its size as corrected from usage reports, ``submitted_at`` a time in
    seconds, and ``excluded_vms`` are the VMs that it must not run on.
    """

    job_id: str
    queue: str
    team: str
    is_urgent: bool
    request: Resources
    submitted_at: float
    excluded_vms: frozenset[str] = frozenset()


class RunningTask(NamedTuple):
    """A task that holds resources on a worker.

    ``is_ending`` is true while a checkpoint or stop is under way: its resources
    will be free soon, and it must not be chosen for preemption again. ``reserved`` is
    what the task holds unthrottled; while ``is_throttled`` is true, it holds only
    ``THROTTLE_FRACTION`` of these processors.
    """

    job_id: str
    queue: str
    team: str
    vm_id: str
    is_urgent: bool
    is_restartable: bool
    reserved: Resources
    seconds_since_checkpoint: float
    is_throttled: bool = False
    is_ending: bool = False


class TeamView(NamedTuple):
    """Weight and upper limit of a team; ``max_cores`` is the limit within this pool."""

    name: str
    weight: float
    max_cores: float


class PlacementProblem(NamedTuple):
    """Input of a placement round."""

    workers: Sequence[WorkerView]
    waiting: Sequence[WaitingJob]
    running: Sequence[RunningTask]
    team_by_name: Mapping[str, TeamView]


class Start(NamedTuple):
    """An order to start a job on a worker."""

    job_id: str
    vm_id: str


class Throttle(NamedTuple):
    """An order to limit a task to a fraction of its processors; 1 ends the limit."""

    job_id: str
    fraction: float


class Preempt(NamedTuple):
    """An order to end a running task to make room for the job ``for_job_id``.

    ``with_checkpoint`` is whether the task saves a checkpoint before it ends.
    """

    job_id: str
    for_job_id: str
    with_checkpoint: bool


class PlacementPlan(NamedTuple):
    """Output of a placement round; each waiting job has a start or a reason."""

    starts: Sequence[Start]
    throttles: Sequence[Throttle]
    preemptions: Sequence[Preempt]
    reason_by_waiting_job: Mapping[str, str]
