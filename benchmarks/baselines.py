"""Simple implementations that the product's functions are measured against."""

from collections.abc import Mapping

from catkinport.policy.maintenance import PoolMaintenance
from catkinport.policy.placement import (
    PlacementPlan,
    PlacementProblem,
    Resources,
    Start,
    WaitingJob,
)


def choose_one_vm_to_drain(
    pool: PoolMaintenance, now: float, period_seconds: float
) -> list[str]:
    """Choose the VM whose maintenance is longest due, one at a time.

    Args:
        pool: the pool.
        now: seconds since the Unix epoch.
        period_seconds: every VM is maintained once in this time.

    Returns:
        Ids of the VMs to drain now, within what is left of the budget.
    """
    n_unavailable = sum(not vm.is_serving for vm in pool.vms)
    if n_unavailable >= min(1, pool.max_unavailable):
        return []
    due = [vm for vm in pool.vms if now - vm.last_maintained >= period_seconds]
    return [vm.vm_id for vm in sorted(due, key=lambda vm: vm.last_maintained)[:1]]


def plan_placement_first_fit(problem: PlacementProblem) -> PlacementPlan:
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
    # Free capacity only shrinks in a round, so a size that did not fit is skipped.
    no_room: list[Resources] = []
    for job in sorted(problem.waiting, key=lambda job: job.submitted_at):
        team = problem.team_by_name.get(job.team)
        used_cores = used_cores_by_team.get(job.team, 0.0)
        if team is None or used_cores + job.request.cores > team.max_cores:
            reason_by_waiting_job[job.job_id] = "upper limit of the team"
            continue
        vm_id = None
        if not any(_is_at_least(job.request, size) for size in no_room):
            vm_id = _find_first_fit(job, free_by_vm)
        if vm_id is None:
            if not job.excluded_vms:
                no_room.append(job.request)
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


def _is_at_least(request: Resources, size: Resources) -> bool:
    return (
        request.cores >= size.cores
        and request.memory_gb >= size.memory_gb
        and request.accelerators >= size.accelerators
    )


def _subtract(amount: Resources, other: Resources) -> Resources:
    return Resources(*(a - b for a, b in zip(amount, other, strict=True)))
