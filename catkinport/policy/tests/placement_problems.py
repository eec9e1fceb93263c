"""Problems of the placement round for tests, and checks of plans for them."""

from collections import defaultdict
from collections.abc import Sequence
from random import Random
from typing import Any

from ..placement import (
    THROTTLE_FRACTION,
    PlacementPlan,
    PlacementProblem,
    Resources,
    RunningTask,
    TeamView,
    WaitingJob,
    WorkerView,
)

SIZE = Resources(64.0, 256.0, 0.0)


NO_LIMIT = float("inf")


def make_workers(n_workers: int, capacity: Resources = SIZE) -> list[WorkerView]:
    return [
        WorkerView(f"vm-{n}", f"zone-{n // 4 % 3}", f"rack-{n // 4}", capacity)
        for n in range(n_workers)
    ]


def make_job(
    name: str,
    cores: float,
    team: str = "a",
    is_urgent: bool = False,
    memory_gb: float = 1.0,
    excluded_vms: frozenset[str] = frozenset(),
) -> WaitingJob:
    size = Resources(cores, memory_gb, 0.0)
    return WaitingJob(name, f"{team}-queue", team, is_urgent, size, 0.0, excluded_vms)


def make_task(
    name: str,
    cores: float,
    vm_id: str = "vm-0",
    team: str = "a",
    memory_gb: float = 1.0,
    **fields: Any,
) -> RunningTask:
    size = Resources(cores, memory_gb, 0.0)
    task = RunningTask(name, f"{team}-queue", team, vm_id, False, True, size, 100.0)
    return task._replace(**fields)


def make_problem(
    workers: Sequence[WorkerView],
    waiting: Sequence[WaitingJob],
    running: Sequence[RunningTask] = (),
    limits: Sequence[tuple[str, float]] = (("a", NO_LIMIT), ("b", NO_LIMIT)),
) -> PlacementProblem:
    teams = {name: TeamView(name, 1.0, limit) for name, limit in limits}
    return PlacementProblem(workers, waiting, running, teams)


def random_problem(seed: int) -> PlacementProblem:
    """Return a nearly full pool with all kinds of jobs and tasks."""
    rng = Random(seed)
    workers = make_workers(rng.randint(1, 9))
    workers[0] = workers[0]._replace(is_quarantined=rng.random() < 0.3)
    running: list[RunningTask] = []
    for worker in workers:
        free_cores, free_memory = SIZE.cores, SIZE.memory_gb
        while free_cores >= 16 and rng.random() < 0.95:
            cores, memory_gb = rng.choice((2.0, 8.0, 16.0)), rng.uniform(1, 60)
            if memory_gb > free_memory:
                break
            is_urgent = rng.random() < 0.2
            task = make_task(
                f"task-{len(running)}",
                cores,
                worker.vm_id,
                rng.choice("abc"),
                memory_gb,
                is_urgent=is_urgent,
                is_restartable=rng.random() < 0.8,
                is_throttled=not is_urgent and rng.random() < 0.2,
                is_ending=rng.random() < 0.1,
            )
            running.append(task)
            free_cores -= held_cores(task)
            free_memory -= memory_gb
    waiting = [
        make_job(
            f"job-{n}",
            rng.choice((1.0, 4.0, 16.0)),
            rng.choice("abc"),
            rng.random() < 0.4,
            rng.uniform(1, 60),
            excluded_vms=frozenset(rng.sample(["vm-0", "vm-1", "vm-2"], 1)),
        )
        for n in range(rng.randint(1, 30))
    ]
    limits = [("a", NO_LIMIT), ("b", 200.0), ("c", 60.0)]
    return make_problem(workers, waiting, running, limits)


def random_uneven_problem(seed: int) -> PlacementProblem:
    """Return a pool with many throttled tasks, whose teams have uneven weights.

    Some tasks are on a VM that is not among the workers.
    """
    rng = Random(seed)
    problem = random_problem(seed)
    running = [
        task._replace(
            vm_id="vm-unknown" if rng.random() < 0.2 else task.vm_id,
            is_throttled=not task.is_urgent
            and (task.is_throttled or rng.random() < 0.6),
        )
        for task in problem.running
    ]
    teams = {
        name: TeamView(name, rng.choice((1.0, 2.0, 5.0)), view.max_cores)
        for name, view in problem.team_by_name.items()
    }
    return problem._replace(running=running, team_by_name=teams)


def held_cores(task: RunningTask) -> float:
    return task.reserved.cores * (THROTTLE_FRACTION if task.is_throttled else 1.0)


def free_after(
    problem: PlacementProblem, plan: PlacementPlan
) -> dict[str, list[float]]:
    """Return the free cores and memory by worker once a plan is applied."""
    fraction_by_job = {t.job_id: t.fraction for t in plan.throttles}
    free = {worker.vm_id: [SIZE.cores, SIZE.memory_gb] for worker in problem.workers}
    for task in problem.running:
        present = THROTTLE_FRACTION if task.is_throttled else 1.0
        fraction = fraction_by_job.get(task.job_id, present)
        free[task.vm_id][0] -= task.reserved.cores * fraction
        free[task.vm_id][1] -= task.reserved.memory_gb
    job_by_id = {job.job_id: job for job in problem.waiting}
    for start in plan.starts:
        free[start.vm_id][0] -= job_by_id[start.job_id].request.cores
        free[start.vm_id][1] -= job_by_id[start.job_id].request.memory_gb
    return free


N_RANDOM_PROBLEMS = 600


def check_plan(problem: PlacementProblem, plan: PlacementPlan) -> None:
    """Check that a plan decides once on each job and task and keeps every limit."""
    started = [start.job_id for start in plan.starts]
    assert sorted([*started, *plan.reason_by_waiting_job]) == sorted(
        job.job_id for job in problem.waiting
    )
    preempted = [preemption.job_id for preemption in plan.preemptions]
    assert len(set(preempted)) == len(preempted)
    unthrottled = {t.job_id for t in plan.throttles if t.fraction == 1.0}
    assert not unthrottled & set(preempted)
    known_vms = {worker.vm_id for worker in problem.workers}
    known = [task for task in problem.running if task.vm_id in known_vms]
    for free in free_after(problem._replace(running=known), plan).values():
        assert min(free) >= -1e-6
    check_limits(problem, plan)


def check_limits(problem: PlacementProblem, plan: PlacementPlan) -> None:
    """Check the upper limit of each team that a plan gives more processors."""
    fraction_by_job = {t.job_id: t.fraction for t in plan.throttles}
    started = {start.job_id for start in plan.starts}
    cores_by_team: dict[str, float] = defaultdict(float)
    gaining_teams = set()
    for task in problem.running:
        fraction = fraction_by_job.get(task.job_id)
        if fraction == 1.0:
            gaining_teams.add(task.team)
        cores_by_team[task.team] += (
            held_cores(task) if fraction is None else task.reserved.cores * fraction
        )
    for job in problem.waiting:
        if job.job_id in started:
            gaining_teams.add(job.team)
            cores_by_team[job.team] += job.request.cores
    for team in gaining_teams:
        assert cores_by_team[team] <= problem.team_by_name[team].max_cores + 1e-6
