"""Tests of look-ahead placement by the planner, under loads of many small tasks."""

import math
import random

import pytest

from ...policy.account_shares import AccountTurn
from ...policy.job_order import Prospect, find_prospect
from ...policy.look_ahead import MAX_KEPT_SECONDS, MIN_SLACK_SECONDS
from ...policy.resources import Resources
from ..placement.gap_planner import GapPlanner
from ..placement.planner import Planner
from ..placement.pool_order import PoolOrder, PoolState
from ..placement.round_budget import PlannedStart
from ..placement.start_delays import StartHold
from .builders import POOL, Fleet, make_job, make_step, make_worker

ROUND_SECONDS = 0.1
SMALL = Resources(4.0, 8.0, 0)
LARGE = Resources(12.0, 24.0, 0)
LARGE_ID = "00000000000000ff"


def make_chain(first):
    """Return the steps of a job of four, whose objective leaves time to wait."""
    later = [make_step(2, need=SMALL, after=(number,)) for number in range(3)]
    return [first, *later]


class LoadedPool:
    """Workers of 16 cores with more small tasks than fit; each ends after some time.

    Attributes:
        fleet: the workers.
        started_at_by_task: clock time at which each task started first.
        adds_small: whether small tasks keep arriving.
        longest_seconds: longest duration of a small task; the shortest is 1 s.
    """

    def __init__(
        self, n_workers: int = 5, looks_ahead: bool = True, **configuration
    ) -> None:
        workers = [make_worker(f"w{n}") for n in range(n_workers)]
        self.fleet = Fleet(workers, **configuration)
        self.fleet.planner = Planner(self.fleet.dispatcher, looks_ahead)
        self.started_at_by_task: dict[str, float] = {}
        self.longest_seconds = 1.5
        self.adds_small = True
        self._rng = random.Random(1)
        self._running: list[tuple[float, PlannedStart]] = []
        self._n_jobs = 0
        self.play(3.0)

    def play(self, seconds: float) -> None:
        for _ in range(round(seconds / ROUND_SECONDS)):
            self._keep_small_tasks_waiting()
            self.fleet.advance(ROUND_SECONDS)
            self._end_due()
            self.fleet.poll_all()
            for start in self.fleet.start():
                self.started_at_by_task[start.run.key.task] = self.fleet.now
                self._check_room(start)
                lasts = self._rng.uniform(1.0, self.longest_seconds)
                self._running.append((self.fleet.now + lasts, start))

    def add_large(self, n_tasks: int = 1, **fields) -> None:
        step = make_step(n_tasks, need=fields.pop("need", LARGE), **fields)
        job = make_job(LARGE_ID, steps=make_chain(step))
        self.fleet.dispatcher.add_job(job, self.fleet.now)

    def large_starts(self) -> list[str]:
        first_step = f"{LARGE_ID}.0.0."
        return [name for name in self.started_at_by_task if name.startswith(first_step)]

    def lose_worker(self, worker_id: str) -> None:
        fleet = self.fleet
        fleet.workers = [w for w in fleet.workers if w.worker_id != worker_id]
        self._running = [x for x in self._running if x[1].run.worker_id != worker_id]
        del fleet.running_by_worker[worker_id]
        fleet.dispatcher.update_workers(fleet.workers, fleet.now, fleet.now)

    def held_workers(self) -> set[str]:
        holds = self.fleet.planner._gaps.holds_of("renders").holds
        return {hold.worker_id for hold in holds}

    def _keep_small_tasks_waiting(self) -> None:
        if not self.adds_small:
            return
        # Younger jobs are on time and have little work, so they come first.
        if sum(self.fleet.dispatcher.count_waiting().values()) < 6:
            self._n_jobs += 1
            job = make_job(
                f"{self._n_jobs:016x}", steps=make_chain(make_step(8, need=SMALL))
            )
            self.fleet.dispatcher.add_job(job, self.fleet.now)

    def _end_due(self) -> None:
        due = [item for item in self._running if item[0] <= self.fleet.now]
        for item in due:
            self._running.remove(item)
            self.fleet.end(item[1])

    def _check_room(self, start: PlannedStart) -> None:
        free = start.worker.free()
        assert min(free) >= 0
        n_of_step = sum(
            run.task.step is start.run.task.step
            for run in start.worker.run_by_key.values()
        )
        most = start.run.task.step.max_per_worker
        assert not most or n_of_step <= most


class TestManySmallTasksAheadOfAWideStep:
    def test_wide_step_starts_sooner_than_without(self):
        """Guards against gaps that small tasks take one by one for seconds."""
        waits = []
        for looks_ahead in (False, True):
            pool = LoadedPool(15, looks_ahead)
            pool.add_large(3)
            added_at = pool.fleet.now
            while len(pool.large_starts()) < 3 and pool.fleet.now < added_at + 30:
                pool.play(ROUND_SECONDS)
            waits.append(pool.fleet.now - added_at)
        assert waits[1] < 0.8 * waits[0]

    def test_small_tasks_go_on(self):
        """Guards against a pool that stands still for a wide step."""
        pool = LoadedPool()
        pool.add_large(8)
        n_before = len(pool.started_at_by_task)
        pool.play(2.0)
        n_small = len(pool.started_at_by_task) - n_before - len(pool.large_starts())
        assert n_small >= 8

    def test_task_kept_waiting_by_holds_says_so(self):
        """Guards against a delay that is logged as a lack of room."""
        pool = LoadedPool(15)
        pool.add_large(8)
        delays = pool.fleet.planner.delays
        noted = set()
        for _ in range(20):
            pool.play(ROUND_SECONDS)
            noted |= {delay.hold for delay in delays.delay_by_job.values()}
        assert StartHold.ROOM_HELD in noted


class TestEndsLaterThanEstimated:
    def test_small_tasks_go_on(self):
        """Guards against room that is held for ends which do not come.

        Each task takes up to ten times its estimate.
        """
        pool = LoadedPool()
        pool.longest_seconds = 10.0
        pool.add_large(4)
        n_idle_rounds = 0
        for _ in range(100):
            pool.play(ROUND_SECONDS)
            workers = pool.fleet.dispatcher.worker_by_id.values()
            free = sum(worker.free().cores for worker in workers)
            n_idle_rounds = n_idle_rounds + 1 if free >= SMALL.cores else 0
            assert n_idle_rounds * ROUND_SECONDS <= 2 * MAX_KEPT_SECONDS


class TestReservedWorkerThatDies:
    def test_large_task_starts_elsewhere(self):
        """Guards against a task that waits for a worker that is gone."""
        pool = LoadedPool()
        pool.add_large()
        while not pool.held_workers():
            pool.play(ROUND_SECONDS)
        (worker_id,) = pool.held_workers()
        pool.lose_worker(worker_id)
        pool.play(ROUND_SECONDS)
        assert worker_id not in pool.held_workers()
        pool.play(5.0)
        assert len(pool.large_starts()) == 1

    def test_cordoned_worker_is_given_up(self):
        """Guards against a hold on a worker that gets no tasks."""
        pool = LoadedPool()
        pool.add_large()
        while not pool.held_workers():
            pool.play(ROUND_SECONDS)
        (worker_id,) = pool.held_workers()
        pool.fleet.dispatcher.worker_by_id[worker_id].is_cordoned = True
        pool.play(ROUND_SECONDS)
        assert worker_id not in pool.held_workers()


class TestAccountAtItsUpperLimit:
    def test_it_holds_no_room(self):
        """Guards against room kept empty for tasks that may not start."""
        pool = LoadedPool(limit=Resources(68.0, 0, 0))
        pool.add_large(4)
        pool.play(2.0)
        assert pool.held_workers() == set()
        workers = pool.fleet.dispatcher.worker_by_id.values()
        assert sum(worker.used.cores for worker in workers) == 68.0


class TestSwitchedOff:
    def test_planner_holds_nothing(self):
        """Guards against another placement in existing deployments."""
        assert LoadedPool(looks_ahead=False).fleet.planner._gaps is None


class TestRandomLoads:
    @pytest.mark.parametrize("seed", range(6))
    def test_all_tasks_start_where_they_fit(self, seed):
        """Guards against starts beyond room or anti-affinity, and against starvation.

        Gangs, spread steps and large steps wait together; `_check_room` checks each
        start. The small tasks stop, as they precede jobs that are late.
        """
        rng = random.Random(seed)
        pool = LoadedPool(4)
        for number in range(6):
            need = rng.choice([LARGE, SMALL, Resources(8.0, 100.0, 0)])
            fields = rng.choice([{}, {"is_gang": True}, {"max_per_worker": 1}])
            step = make_step(rng.randint(1, 4), need=need, **fields)
            job = make_job(f"{number + 0xF00:016x}", steps=[step])
            pool.fleet.dispatcher.add_job(job, pool.fleet.now)
        pool.play(10.0)
        pool.adds_small = False
        pool.play(20.0)
        states = pool.fleet.states()
        for number in range(6):
            assert states[f"{number + 0xF00:016x}"] == "completed"


class TestPlaceInTheOrder:
    def test_job_that_is_late_by_its_wait_is_bound_by_holds(self):
        """Guards against holds that spare jobs which the order calls late already.

        Each of the jobs would be on time if it started at once, with little to spare.
        """
        fleet = Fleet([make_worker("w0")])
        for number in range(12):
            fleet.dispatcher.add_job(make_job(f"{number:016x}", [make_step(4)]), 100.0)
        fleet.advance(0.6)
        gaps = GapPlanner(fleet.dispatcher)
        order = sort_jobs(fleet)
        slacks = []
        for record in fleet.dispatcher.job_by_id.values():
            place = order.place_of(record.job.job_id)
            assert find_prospect(place.view, fleet.now) is Prospect.ON_TIME
            gaps.begin_job(POOL, record, place, fleet.now)
            slacks.append(gaps._turn.slack_seconds)
        assert min(slacks) < MIN_SLACK_SECONDS
        assert slacks.count(math.inf) >= 6

    def test_surplus_job_binds_no_job_that_comes_before_it(self):
        """Guards against room held for the surplus of an account ahead of others."""
        fleet = Fleet([make_worker("w0")])
        fleet.dispatcher.add_job(make_job(steps=[make_step(4)]), fleet.now)
        (record,) = fleet.dispatcher.job_by_id.values()
        gaps = GapPlanner(fleet.dispatcher)
        place = sort_jobs(fleet).place_of(record.job.job_id)
        ranks = []
        for turn in AccountTurn:
            gaps.begin_job(POOL, record, place._replace(turn=turn), fleet.now)
            ranks.append(gaps._turn.rank)
        assert ranks == sorted(set(ranks))


def sort_jobs(fleet):
    """Return the order after it has sorted the jobs of a pool."""
    queue_of = fleet.dispatcher.queue_of
    records = fleet.dispatcher.job_by_id.values()
    items = [(record, queue_of(record)) for record in records]
    order = PoolOrder(fleet.dispatcher)
    order.sort(PoolState(POOL, 16.0, {}), items, fleet.now, fleet.now)
    return order
