"""Tests of throttled tasks in the placement round: preempted, limited and ended."""

from collections.abc import Callable

import pytest

from .._round import RoundState
from ..placement import (
    PlacementProblem,
    Preempt,
    Resources,
    Start,
    TeamView,
    Throttle,
    plan_placement,
)
from .placement_problems import (
    N_RANDOM_PROBLEMS,
    NO_LIMIT,
    check_plan,
    make_job,
    make_problem,
    make_task,
    make_workers,
    random_problem,
    random_uneven_problem,
)


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
