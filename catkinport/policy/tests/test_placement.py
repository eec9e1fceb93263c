"""Tests of the placement round and of preemption."""

from collections import defaultdict

import pytest

from ..placement import (
    THROTTLE_FRACTION,
    Start,
    Throttle,
    plan_placement,
)
from ..preemption import MAX_LOST_WORK_SECONDS
from .placement_problems import (
    SIZE,
    free_after,
    held_cores,
    make_job,
    make_problem,
    make_task,
    make_workers,
    random_problem,
)


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


class TestSpread:
    """Guards against a queue whose tasks all fail with a single rack."""

    def test_uses_several_racks(self) -> None:
        jobs = [make_job(f"j{n}", 2.0) for n in range(6)]
        plan = plan_placement(make_problem(make_workers(12), jobs))
        assert len({int(start.vm_id[3:]) // 4 for start in plan.starts}) == 3
