"""Places waiting jobs on workers."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of each resource: processors, memory in GB, accelerators."""

    cores: float
    memory_gb: float
    accelerators: float


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
    will be free soon, and it must not be chosen again.
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
    """Limit a running task to a fraction of its processors."""

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


def plan_placement(problem: PlacementProblem) -> PlacementPlan:
    """Place jobs in order of submission on the first worker that fits.

    Args:
        problem: workers, jobs and teams of one pool.

    Returns:
        The starts and the reason of every job that has to wait.
    """
    free_by_vm = {
        worker.vm_id: worker.capacity
        for worker in problem.workers
        if not worker.is_quarantined
    }
    used_cores_by_team = dict.fromkeys(problem.team_by_name, 0.0)
    for task in problem.running:
        if task.vm_id in free_by_vm:
            free_by_vm[task.vm_id] = _subtract(free_by_vm[task.vm_id], task.reserved)
        used_cores_by_team[task.team] = (
            used_cores_by_team.get(task.team, 0.0) + task.reserved.cores
        )
    starts = []
    reason_by_waiting_job = {}
    for job in sorted(problem.waiting, key=lambda job: job.submitted_at):
        team = problem.team_by_name.get(job.team)
        used_cores = used_cores_by_team.get(job.team, 0.0)
        if team is None or used_cores + job.request.cores > team.max_cores:
            reason_by_waiting_job[job.job_id] = "upper limit of the team"
            continue
        vm_id = _find_first_fit(job, free_by_vm)
        if vm_id is None:
            reason_by_waiting_job[job.job_id] = "no worker has room"
            continue
        starts.append(Start(job.job_id, vm_id))
        free_by_vm[vm_id] = _subtract(free_by_vm[vm_id], job.request)
        used_cores_by_team[job.team] = used_cores + job.request.cores
    return PlacementPlan(starts, [], [], reason_by_waiting_job)


def _find_first_fit(job: WaitingJob, free_by_vm: Mapping[str, Resources]) -> str | None:
    for vm_id, free in free_by_vm.items():
        if vm_id in job.excluded_vms:
            continue
        if all(need <= room for need, room in zip(job.request, free, strict=True)):
            return vm_id
    return None


def _subtract(amount: Resources, other: Resources) -> Resources:
    return Resources(*(a - b for a, b in zip(amount, other, strict=True)))
