"""Input and output of a placement round."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .resources import Resources

THROTTLE_FRACTION = 0.5
"""Part of its processors that a throttled task keeps."""


class WorkerView(NamedTuple):
    """A worker that may get tasks."""

    vm_id: str
    zone: str
    rack: str
    capacity: Resources
    is_quarantined: bool = False


class WaitingJob(NamedTuple):
    """A job that waits; ``request`` is the corrected size, times in seconds."""

    job_id: str
    queue: str
    team: str
    is_urgent: bool
    request: Resources
    submitted_at: float
    excluded_vms: frozenset[str] = frozenset()


class RunningTask(NamedTuple):
    """A task that holds ``reserved`` on a worker.

    ``is_ending`` is true while a checkpoint or stop is under way: its resources
    will be free soon, and it must not be chosen again. ``reserved`` is what the task
    holds unthrottled; while ``is_throttled`` it counts for ``THROTTLE_FRACTION`` of
    its processors.
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
    """Share and upper limit of a team; ``max_cores`` is what this pool may use."""

    name: str
    weight: float
    max_cores: float


class PlacementProblem(NamedTuple):
    """Everything that a placement round decides on."""

    workers: Sequence[WorkerView]
    waiting: Sequence[WaitingJob]
    running: Sequence[RunningTask]
    team_by_name: Mapping[str, TeamView]


class Start(NamedTuple):
    """Start a job on a worker."""

    job_id: str
    vm_id: str


class Throttle(NamedTuple):
    """Limit a running task to a fraction of its processors; 1 ends the limit."""

    job_id: str
    fraction: float


class Preempt(NamedTuple):
    """Stop a running task for another; a checkpoint comes first if it can resume."""

    job_id: str
    for_job_id: str
    with_checkpoint: bool


class PlacementPlan(NamedTuple):
    """What a placement round decided."""

    starts: Sequence[Start]
    throttles: Sequence[Throttle]
    preemptions: Sequence[Preempt]
    reason_by_waiting_job: Mapping[str, str]
