"""Tests of lasting tasks that need most of a worker in a pool full of short tasks."""

from ...policy.reservations import MAX_NEW_PER_ROUND
from ...policy.resources import Resources
from ...ports.fleet_workers import Done
from ..placement.round_budget import PlannedStart
from .builders import Fleet, make_job, make_step, make_worker

STEP_SECONDS = 0.25
LARGE = Resources(8.0, 200.0, 0)
SMALL = Resources(1.0, 30.0, 0)


class BusyPool:
    """A pool of workers with 256 GB that more short tasks want than fit.

    Attributes:
        fleet: the workers, full of short tasks that end one by one.
    """

    def __init__(self, n_workers: int, **configuration) -> None:
        workers = [make_worker(f"w{i}", cores=64.0) for i in range(n_workers)]
        self.fleet = Fleet(workers, **configuration)
        self._short: list[tuple[float, PlannedStart]] = []
        self._n_started = 0
        self._n_jobs = 0
        self.play(2.0)

    def play(self, seconds: float) -> list[PlannedStart]:
        """Let short tasks end and wait for more; return the starts of lasting tasks."""
        lasting = []
        for _ in range(round(seconds / STEP_SECONDS)):
            self._submit_short_job()
            self.fleet.advance(STEP_SECONDS)
            self._end_due()
            self.fleet.poll_all()
            for start in self.fleet.start():
                is_lasting = start.run.task.step.is_lasting
                if is_lasting:
                    lasting.append(start)
                    continue
                # Ends at different times open a small gap at a time on each worker.
                self._n_started += 1
                seconds = 1.0 + STEP_SECONDS * (self._n_started % 5)
                self._short.append((self.fleet.now + seconds, start))
        return lasting

    def add_lasting(self, n_tasks: int = 1, job_id: str = "00000000000000ff", **fields):
        step = make_step(n_tasks, is_lasting=True, **{"need": LARGE, **fields})
        self.fleet.dispatcher.add_job(make_job(job_id, steps=[step]), self.fleet.now)

    def _submit_short_job(self) -> None:
        self._n_jobs += 1
        step = make_step(16, need=SMALL)
        job = make_job(f"{self._n_jobs:016x}", steps=[step])
        self.fleet.dispatcher.add_job(job, self.fleet.now)

    def _end_due(self) -> None:
        due = [item for item in self._short if item[0] <= self.fleet.now]
        for item in due:
            self._short.remove(item)
            self.fleet.end(item[1])


class TestStarvation:
    def test_large_lasting_task_starts_while_short_tasks_keep_coming(self):
        """Guards against a lasting task that waits as long as the load lasts."""
        pool = BusyPool(3)
        pool.add_lasting()
        assert len(pool.play(3.0)) == 1

    def test_each_of_several_gets_a_worker(self):
        """Guards against one reservation that all waiting tasks of a step share."""
        pool = BusyPool(4)
        pool.add_lasting(n_tasks=3)
        assert len(pool.play(3.0)) == 3

    def test_other_workers_go_on_taking_short_tasks(self):
        """Guards against a reservation that stops a whole pool."""
        pool = BusyPool(4)
        pool.add_lasting()
        pool.play(1.0)
        workers = pool.fleet.dispatcher.worker_by_id.values()
        n_full = sum(worker.free().memory_gb < SMALL.memory_gb for worker in workers)
        assert n_full >= 3

    def test_account_at_its_limit_holds_no_worker(self):
        """Guards against workers kept free for tasks that may not start."""
        pool = BusyPool(2, limit=Resources(16.0, 0, 0))
        pool.add_lasting(need=Resources(17.0, 200.0, 0))
        pool.play(3.0)
        workers = pool.fleet.dispatcher.worker_by_id.values()
        assert sum(worker.used.cores for worker in workers) == 16.0

    def test_worker_is_free_again_once_the_job_is_canceled(self):
        """Guards against a worker that stays reserved for a task nobody wants."""
        pool = BusyPool(1)
        pool.add_lasting()
        pool.play(0.5)
        pool.fleet.dispatcher.cancel_job("00000000000000ff")
        pool.play(2.0)
        (worker,) = pool.fleet.dispatcher.worker_by_id.values()
        assert worker.free().memory_gb < SMALL.memory_gb

    def test_worker_full_of_lasting_tasks_is_not_reserved(self):
        """Guards against a worker kept free for a task that can never fit there."""
        fleet = Fleet([make_worker("w1")])
        held = make_step(1, need=Resources(1.0, 100.0, 0), is_lasting=True)
        fleet.dispatcher.add_job(make_job("0000000000000001", steps=[held]), fleet.now)
        assert len(fleet.start()) == 1
        large = make_step(1, need=LARGE, is_lasting=True)
        fleet.dispatcher.add_job(make_job("0000000000000002", steps=[large]), fleet.now)
        fleet.dispatcher.add_job(make_job("0000000000000003"), fleet.now)
        (start,) = fleet.start()
        assert start.run.key.task == "0000000000000003.0.0.0"

    def test_cordoned_worker_is_not_reserved(self):
        """Guards against a task that waits for a worker which gets no tasks."""
        pool = BusyPool(2)
        pool.add_lasting()
        pool.play(STEP_SECONDS)
        for worker in pool.fleet.dispatcher.worker_by_id.values():
            worker.is_cordoned = worker.worker_id == "w0"
        (start,) = pool.play(3.0)
        assert start.run.worker_id == "w1"

    def test_gang_does_not_take_a_reserved_worker(self):
        """Guards against a gang that takes the room which a lasting task waits for."""
        fleet = Fleet([make_worker("w1", cores=64.0)])
        short = make_step(4, need=Resources(1.0, 60.0, 0))
        fleet.dispatcher.add_job(make_job("0000000000000001", steps=[short]), fleet.now)
        starts = fleet.start()
        large = make_step(1, need=LARGE, is_lasting=True)
        fleet.dispatcher.add_job(make_job("0000000000000002", steps=[large]), fleet.now)
        gang = make_step(2, need=Resources(1.0, 20.0, 0), is_gang=True)
        fleet.dispatcher.add_job(make_job("0000000000000003", steps=[gang]), fleet.now)
        for start in starts:
            assert [s.run.key.task[:16] for s in fleet.plan()] in (
                [],
                ["0000000000000002"],
            )
            fleet.end(start)
        (lasting, *_) = fleet.plan()
        assert lasting.run.task.step.is_lasting
        fleet.answer(lasting, Done())


class TestLastingTasksBesideReservations:
    def test_lasting_task_uses_a_worker_reserved_for_one_that_does_not_fit_yet(self):
        """Guards against a lasting task that waits although a worker has room for it.

        No worker could hold it beside the task of the reservation, so it could reserve
        none and waited until that task had started, and then for good.
        """
        fleet = Fleet([make_worker("w1", cores=64.0)])
        short = make_step(1, need=Resources(1.0, 100.0, 0))
        fleet.dispatcher.add_job(make_job("0000000000000001", steps=[short]), fleet.now)
        assert len(fleet.start()) == 1
        large = make_step(1, need=LARGE, is_lasting=True)
        fleet.dispatcher.add_job(make_job("0000000000000002", steps=[large]), fleet.now)
        assert fleet.start() == []
        smaller = make_step(1, need=Resources(1.0, 100.0, 0), is_lasting=True)
        job = make_job("0000000000000003", steps=[smaller])
        fleet.dispatcher.add_job(job, fleet.now)
        (start,) = fleet.start()
        assert start.run.key.task == "0000000000000003.0.0.0"


class TestManyTasks:
    """More large lasting tasks than a round of planning reserves workers for."""

    N_WORKERS = 2 * MAX_NEW_PER_ROUND

    def _make_fleet(self) -> Fleet:
        workers = [make_worker(f"w{i}", cores=64.0) for i in range(self.N_WORKERS)]
        fleet = Fleet(workers)
        self._add_job(fleet, "0000000000000001", Resources(1.0, 150.0, 0))
        assert len(fleet.start()) == self.N_WORKERS
        self._add_job(fleet, "0000000000000002", LARGE, is_lasting=True)
        return fleet

    def _add_job(self, fleet: Fleet, job_id: str, need: Resources, **fields) -> None:
        step = make_step(self.N_WORKERS, need=need, **fields)
        fleet.dispatcher.add_job(make_job(job_id, steps=[step]), fleet.now)

    def test_a_round_makes_few_reservations(self):
        """Guards against a round of planning that blocks the event loop for seconds.

        Each new reservation looks at all workers of the pool.
        """
        fleet = self._make_fleet()
        self._add_job(fleet, "0000000000000003", Resources(1.0, 60.0, 0))
        assert len(fleet.plan()) == self.N_WORKERS - MAX_NEW_PER_ROUND

    def test_the_next_rounds_make_the_rest(self):
        """Guards against tasks that get no reservation because others have one."""
        fleet = self._make_fleet()
        assert fleet.plan() == []
        assert fleet.plan() == []
        self._add_job(fleet, "0000000000000003", Resources(1.0, 60.0, 0))
        assert fleet.plan() == []


class TestIdlePool:
    def test_small_task_starts_in_a_pool_that_is_mostly_free(self):
        """Guards against a pool that stands still for reservations.

        A long run on each worker leaves no room for the large tasks, and has taken
        longer than expected, so that it may end at any moment.
        """
        fleet = Fleet([make_worker(f"w{n}") for n in range(3)])
        long = make_step(3, need=Resources(4.0, 1.0, 0), max_per_worker=1)
        fleet.dispatcher.add_job(make_job("0000000000000001", steps=[long]), fleet.now)
        assert len(fleet.start()) == 3
        large = make_step(3, need=Resources(14.0, 1.0, 0), is_lasting=True)
        fleet.dispatcher.add_job(make_job("0000000000000002", steps=[large]), fleet.now)
        assert fleet.start() == []
        small = make_step(need=Resources(1.0, 1.0, 0))
        fleet.dispatcher.add_job(make_job("0000000000000003", steps=[small]), fleet.now)
        starts = []
        for _ in range(30):
            fleet.advance(0.1)
            fleet.poll_all()
            starts += fleet.start()
        (start,) = starts
        assert start.run.key.task == "0000000000000003.0.0.0"
