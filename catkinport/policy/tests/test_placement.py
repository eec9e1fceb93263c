"""Tests of the placement round and of preemption."""

from collections import defaultdict
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import pytest

from .._round import RoundState
from ..placement import (
    THROTTLE_FRACTION,
    PlacementPlan,
    PlacementProblem,
    Preempt,
    Resources,
    RunningTask,
    Start,
    TeamView,
    Throttle,
    WaitingJob,
    WorkerView,
    plan_placement,
)
from ..preemption import MAX_LOST_WORK_SECONDS

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


@pytest.mark.parametrize("seed", range(60))
class TestAnyRound:
    """Guards against plans that overcommit, exceed a limit or end tasks in vain."""

    def test_overcommits_no_worker(self, seed: int) -> None:
        problem = random_problem(seed)
        for free in free_after(problem, plan_placement(problem)).values():
            assert min(free) >= -1e-6

    def test_keeps_upper_limits_and_exclusions(self, seed: int) -> None:
        problem = random_problem(seed)
        plan = plan_placement(problem)
        job_by_id = {job.job_id: job for job in problem.waiting}
        quarantined = {w.vm_id for w in problem.workers if w.is_quarantined}
        before: dict[str, float] = defaultdict(float)
        started: dict[str, float] = defaultdict(float)
        for task in problem.running:
            before[task.team] += held_cores(task)
        for start in plan.starts:
            job = job_by_id[start.job_id]
            assert start.vm_id not in job.excluded_vms | quarantined
            started[job.team] += job.request.cores
        throttled = {t.job_id for t in plan.throttles if t.fraction < 1}
        for task in problem.running:
            if task.job_id in throttled:
                before[task.team] -= task.reserved.cores * (1 - THROTTLE_FRACTION)
        for team, cores in started.items():
            limit = problem.team_by_name[team].max_cores
            assert before[team] + cores <= limit + 1e-6

    def test_preempts_only_tasks_whose_end_makes_room(self, seed: int) -> None:
        problem = random_problem(seed)
        plan = plan_placement(problem)
        task_by_id = {task.job_id: task for task in problem.running}
        job_by_id = {job.job_id: job for job in problem.waiting}
        free = free_after(problem, plan)
        for task in problem.running:
            if task.is_ending:
                free[task.vm_id][0] += held_cores(task)
                free[task.vm_id][1] += task.reserved.memory_gb
        vm_by_job: dict[str, str] = {}
        for preemption in plan.preemptions:
            task = task_by_id[preemption.job_id]
            assert task.is_restartable and not task.is_urgent and not task.is_ending
            assert vm_by_job.setdefault(preemption.for_job_id, task.vm_id) == task.vm_id
            free[task.vm_id][0] += held_cores(task)
            free[task.vm_id][1] += task.reserved.memory_gb
        for job_id, vm_id in vm_by_job.items():
            free[vm_id][0] -= job_by_id[job_id].request.cores
            free[vm_id][1] -= job_by_id[job_id].request.memory_gb
        assert all(min(free[vm_id]) >= -1e-6 for vm_id in vm_by_job.values())

    def test_decides_once_on_every_job(self, seed: int) -> None:
        problem = random_problem(seed)
        plan = plan_placement(problem)
        decided = [start.job_id for start in plan.starts] + list(
            plan.reason_by_waiting_job
        )
        assert sorted(decided) == sorted(job.job_id for job in problem.waiting)
        victims = [preemption.job_id for preemption in plan.preemptions]
        throttled = [throttle.job_id for throttle in plan.throttles]
        assert len(set(victims)) == len(victims)
        assert len(set(throttled)) == len(throttled)

    def test_leaves_no_urgent_job_waiting_that_fits(self, seed: int) -> None:
        problem = random_problem(seed)
        plan = plan_placement(problem)
        free = free_after(problem, plan)
        is_claimed = "room is being freed" in plan.reason_by_waiting_job.values()
        for job in problem.waiting:
            reason = plan.reason_by_waiting_job.get(job.job_id)
            if not job.is_urgent or reason != "no worker has room" or is_claimed:
                continue
            for worker in problem.workers:
                if worker.is_quarantined or worker.vm_id in job.excluded_vms:
                    continue
                cores, memory_gb = free[worker.vm_id]
                assert cores < job.request.cores or memory_gb < job.request.memory_gb


class TestUrgentWork:
    """Guards against urgent jobs that wait, or preempt more tasks than they need."""

    def test_throttles_before_it_preempts(self) -> None:
        tasks = [make_task(f"t{n}", 16.0) for n in range(4)]
        job = make_job("u", 4.0, is_urgent=True)
        plan = plan_placement(make_problem(make_workers(1), [job], tasks))
        assert plan.starts == [Start("u", "vm-0")]
        assert plan.throttles == [Throttle("t0", THROTTLE_FRACTION)]
        assert not plan.preemptions

    def test_preempts_a_task_when_memory_is_short(self) -> None:
        tasks = [make_task(f"t{n}", 16.0, memory_gb=64.0) for n in range(4)]
        job = make_job("u", 4.0, is_urgent=True, memory_gb=8.0)
        plan = plan_placement(make_problem(make_workers(1), [job], tasks))
        assert [p.for_job_id for p in plan.preemptions] == ["u"]
        assert plan.preemptions[0].with_checkpoint
        assert plan.reason_by_waiting_job == {"u": "room is being freed"}

    def test_stops_without_checkpoint_right_after_one(self) -> None:
        task = make_task(
            "t",
            64.0,
            memory_gb=256.0,
            seconds_since_checkpoint=MAX_LOST_WORK_SECONDS / 2,
        )
        job = make_job("u", 4.0, is_urgent=True, memory_gb=8.0)
        plan = plan_placement(make_problem(make_workers(1), [job], [task]))
        assert [p.with_checkpoint for p in plan.preemptions] == [False]

    def test_waits_for_an_ending_task_instead_of_preempting_another(self) -> None:
        tasks = [make_task(f"t{n}", 32.0, memory_gb=128.0) for n in range(2)]
        tasks[0] = tasks[0]._replace(is_ending=True)
        job = make_job("u", 4.0, is_urgent=True, memory_gb=8.0)
        plan = plan_placement(make_problem(make_workers(1), [job], tasks))
        assert not plan.preemptions

    def test_never_preempts_a_task_that_cannot_resume(self) -> None:
        task = make_task("t", 64.0, memory_gb=256.0, is_restartable=False)
        job = make_job("u", 4.0, is_urgent=True, memory_gb=8.0)
        plan = plan_placement(make_problem(make_workers(1), [job], [task]))
        assert not plan.preemptions and not plan.starts

    def test_long_jobs_leave_the_reserve_free(self) -> None:
        long_jobs = [make_job(f"l{n}", 4.0) for n in range(20)]
        plan = plan_placement(make_problem(make_workers(1), long_jobs))
        assert 0 < len(plan.starts) * 4.0 < SIZE.cores


class TestShares:
    """Guards against a team that keeps another from its fair share."""

    def test_divides_an_empty_pool_equally(self) -> None:
        jobs = [make_job(f"a{n}", 4.0) for n in range(90)]
        jobs += [make_job(f"b{n}", 4.0, team="b") for n in range(90)]
        plan = plan_placement(make_problem(make_workers(4), jobs))
        n_of_a = sum(start.job_id.startswith("a") for start in plan.starts)
        assert abs(2 * n_of_a - len(plan.starts)) <= 1

    def test_gives_a_returning_team_its_share_back(self) -> None:
        tasks = [
            make_task(f"t{w}-{n}", 8.0, f"vm-{w}", memory_gb=32.0)
            for w in range(4)
            for n in range(8)
        ]
        jobs = [make_job(f"b{n}", 8.0, team="b", memory_gb=30.0) for n in range(20)]
        plan = plan_placement(make_problem(make_workers(4), jobs, tasks))
        assert 14 <= len(plan.preemptions) <= 16

    def test_preempts_nothing_between_teams_at_their_share(self) -> None:
        tasks = [
            make_task(f"t{w}-{n}", 8.0, f"vm-{w}", "ab"[n % 2], memory_gb=32.0)
            for w in range(4)
            for n in range(8)
        ]
        jobs = [make_job(f"{team}1", 8.0, team=team) for team in "ab"]
        plan = plan_placement(make_problem(make_workers(4), jobs, tasks))
        assert not plan.preemptions and not plan.throttles

    def test_many_urgent_jobs_leave_the_share_of_another_team(self) -> None:
        jobs = [make_job(f"a{n}", 4.0, is_urgent=True) for n in range(200)]
        jobs += [make_job(f"b{n}", 4.0, team="b") for n in range(200)]
        plan = plan_placement(make_problem(make_workers(4), jobs))
        n_of_b = sum(start.job_id.startswith("b") for start in plan.starts)
        assert n_of_b >= 0.45 * len(plan.starts)

    def test_gives_processors_back_to_throttled_tasks(self) -> None:
        task = make_task("t", 8.0, is_throttled=True)
        plan = plan_placement(make_problem(make_workers(1), [], [task]))
        assert plan.throttles == [Throttle("t", 1.0)]


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


class TestThrottledTaskThatIsPreempted:
    """Guards against rounds that give processors back to a task that they preempt."""

    def test_stays_throttled_if_its_team_is_above_its_share(self) -> None:
        """Guards against a round that fails on the task as it was before its end."""
        tasks = [
            make_task("t0", 8.0, memory_gb=128.0, is_restartable=False),
            make_task("t1", 8.0, memory_gb=100.0, is_throttled=True),
        ]
        jobs = [make_job(f"b{n}", 4.0, team="b", memory_gb=64.0) for n in range(2)]
        plan = plan_placement(make_problem(make_workers(1), jobs, tasks))
        assert plan.preemptions == [Preempt("t1", "b0", True)]
        assert not plan.throttles

    def test_stays_throttled_if_its_team_was_within_its_share(self) -> None:
        """Guards against an order to end the throttle of a task that will end."""
        tasks = [
            make_task("t0", 8.0, memory_gb=128.0, is_restartable=False),
            make_task("t1", 2.0, memory_gb=2.0, is_throttled=True),
        ]
        jobs = [make_job(f"b{n}", 4.0, team="b", memory_gb=95.0) for n in range(2)]
        plan = plan_placement(make_problem(make_workers(1), jobs, tasks))
        assert plan.preemptions == [Preempt("t1", "b0", True)]
        assert not plan.throttles

    def test_holds_its_processors_if_only_this_round_throttled_it(self) -> None:
        """Guards against starts on processors of a task that gets no throttle."""
        tasks = [
            make_task("t0", 28.0, memory_gb=127.9, is_urgent=True),
            make_task("t1", 2.0, memory_gb=2.0),
            make_task("t2", 34.0, team="c", is_restartable=False),
        ]
        jobs = [
            make_job("a0", 1.0, is_urgent=True, memory_gb=0.5),
            make_job("c0", 1.0, team="c", is_urgent=True, memory_gb=0.5),
            make_job("b0", 0.1, team="b", memory_gb=93.0),
            make_job("b1", 0.1, team="b", memory_gb=93.0),
            make_job("c1", 15.5, team="c", is_urgent=True, memory_gb=0.5),
        ]
        problem = make_problem(make_workers(1), jobs, tasks)
        teams = {**problem.team_by_name, "c": TeamView("c", 0.1, NO_LIMIT)}
        problem = problem._replace(team_by_name=teams)
        plan = plan_placement(problem)
        assert plan.preemptions == [Preempt("t1", "b0", True)]
        assert [throttle.job_id for throttle in plan.throttles] == ["t2"]
        check_plan(problem, plan)

    @pytest.mark.parametrize("make", [random_problem, random_uneven_problem])
    def test_random_rounds_decide_once_and_keep_limits(
        self, make: Callable[[int], PlacementProblem]
    ) -> None:
        """Guards against the same faults with several workers and teams."""
        failed_seeds = []
        for seed in range(N_RANDOM_PROBLEMS):
            problem = make(seed)
            try:
                check_plan(problem, plan_placement(problem))
            except (AssertionError, ValueError):
                failed_seeds.append(seed)
        assert not failed_seeds


class TestLimitOfThrottledTask:
    """Guards against a start and the end of a throttle under different limits."""

    # 2.2 + 0.1 + 0.35 + 0.35 is 3.0000000000000004 in binary floating point.
    TASKS = (make_task("t0", 2.2), make_task("t1", 0.1))

    def test_rounding_does_not_keep_a_throttle(self) -> None:
        """Guards against a task that stays throttled although its team has room."""
        tasks = [*self.TASKS, make_task("t", 0.7, is_throttled=True)]
        plan = plan_placement(make_problem(make_workers(1), [], tasks, [("a", 3.0)]))
        assert plan.throttles == [Throttle("t", 1.0)]

    def test_rounding_does_not_keep_a_job_waiting(self) -> None:
        """Guards against a job that waits although its team has room."""
        tasks = [*self.TASKS, make_task("t", 0.35)]
        job = make_job("j", 0.35)
        plan = plan_placement(make_problem(make_workers(1), [job], tasks, [("a", 3.0)]))
        assert plan.starts == [Start("j", "vm-0")]

    def test_a_throttle_does_not_end_above_the_limit(self) -> None:
        """Guards against a tolerance that lets a team exceed its limit."""
        tasks = [*self.TASKS, make_task("t", 0.7, is_throttled=True)]
        limits = [("a", 3.0 - 1e-6)]
        plan = plan_placement(make_problem(make_workers(1), [], tasks, limits))
        assert not plan.throttles


class TestProcessorsOfThrottledTask:
    """Guards against wrong amounts of processors that throttles free or take."""

    def test_rounding_does_not_keep_a_throttle_on_a_full_worker(self) -> None:
        """Guards against a task that stays throttled although its worker has room."""
        tasks = [make_task("t0", 0.1), make_task("t1", 1.3)]
        tasks.append(make_task("t", 2.6, is_throttled=True))
        workers = make_workers(1, Resources(4.0, 256.0, 0.0))
        plan = plan_placement(make_problem(workers, [], tasks))
        assert plan.throttles == [Throttle("t", 1.0)]

    def test_end_of_a_throttle_is_counted_like_a_task_without_one(self) -> None:
        """Guards against a preemption where a throttle would make enough room."""
        for is_urgent in (False, True):
            task = make_task("t", 8.0, is_throttled=True, is_urgent=is_urgent)
            state = RoundState(make_problem(make_workers(1), [], [task]))
            assert state.unthrottle(task)
            task = task._replace(is_throttled=False)
            expected = RoundState(make_problem(make_workers(1), [], [task]))
            assert state.free == expected.free
            assert state.throttleable_cores == expected.throttleable_cores

    def test_job_starts_beside_a_task_that_stays_throttled(self) -> None:
        """Guards against a job that waits for an end where a throttle makes room."""
        plan = plan_placement(random_problem(1626))
        assert Start("job-8", "vm-5") in plan.starts


class TestSpread:
    """Guards against a queue whose tasks all fail with a single rack."""

    def test_uses_several_racks(self) -> None:
        jobs = [make_job(f"j{n}", 2.0) for n in range(6)]
        plan = plan_placement(make_problem(make_workers(12), jobs))
        assert len({int(start.vm_id[3:]) // 4 for start in plan.starts}) == 3
