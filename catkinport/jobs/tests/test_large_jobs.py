"""Tests of jobs with thousands of tasks beside the work of other accounts."""

import asyncio
import contextlib
import gc
import itertools
import time

import pytest

from ...policy.leadership import MAX_OWNER_LAG_SECONDS, MAY_BE_REPLACED_SECONDS
from ...policy.resources import Resources
from ...ports.fleet_workers import Done
from ...ports.table import Row
from ..configuration import Pool
from ..dispatch.record import JobRecord
from ..model import job_to_row
from ..placement.round_budget import MAX_STARTS_PER_JOB
from ..placement.run_stops import (
    MAX_STOPS_PER_JOB,
    STOP_RETRY_SECONDS,
    StopOrder,
    StopTurns,
)
from ..tables import (
    JOBS_TABLE,
    ROSTER_TABLE,
    STATES_TABLE,
    job_key,
    roster_key,
    state_key,
)
from ..vms.pool_demand import measure_demand
from .builders import Fleet, make_configuration, make_job, make_step, make_worker
from .late_table import SilentWorkers
from .test_job_feed import FakeTable, make_owner
from .vm_fleet import VmFleet

N_TASKS = 8000
SMALL_NEED = Resources(0.005, 0.004, 0)
LARGE_JOB = "00000000000000b1"
SMALL_JOB = "00000000000000b2"
OTHER_POOL = "encodes"
OTHER_QUEUE = "daily"
MAX_STARTS = 16
N_JOBS = 20
N_STOPPED = 1000
MAX_STOPS = 50
N_LASTING_VMS = 30
LASTING_WAIT_SECONDS = 10.0
"""Time after which the wave is behind its schedule."""


def make_large_job(job_id=LARGE_JOB, n_tasks=N_TASKS, **fields):
    return make_job(job_id, [make_step(n_tasks, need=SMALL_NEED, **fields)])


def make_fleet(n_workers=4):
    return Fleet([make_worker(f"w{i}", cores=64.0) for i in range(n_workers)])


def job_ids(starts):
    return {start.run.record.job.job_id for start in starts}


@pytest.fixture(autouse=True)
def other_objects_exempt():
    """Keep objects of earlier tests out of the garbage collector, as in a daemon.

    A full collection of all objects of a test run takes 0.2 s.
    """
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


def find_longest_seconds(function, n_calls):
    """Return the processor time of the longest of some calls, in seconds."""
    longest = 0.0
    for _ in range(n_calls):
        began_at = time.process_time()
        function()
        longest = max(longest, time.process_time() - began_at)
    return longest


class TestLargeJob:
    def test_a_round_keeps_to_its_number_of_starts(self):
        """Guards against an event loop that stands still while one job is placed."""
        fleet = make_fleet()
        fleet.dispatcher.add_job(make_large_job(), fleet.now)
        assert len(fleet.plan(max_starts=MAX_STARTS)) <= MAX_STARTS_PER_JOB

    def test_it_leaves_starts_to_later_jobs_of_its_pool(self):
        """Guards against a small job that waits until all of a large one is placed."""
        fleet = make_fleet()
        fleet.dispatcher.add_job(make_large_job(), fleet.now)
        late = make_job(SMALL_JOB, [make_step(need=Resources(400.0, 1.0, 0))])
        fits = make_job(SMALL_JOB[:-1] + "3", [make_step(n_tasks=8)])
        fleet.dispatcher.add_job(late, fleet.now)
        fleet.dispatcher.add_job(fits, fleet.now)
        for record in fleet.dispatcher.job_by_id.values():
            # The large job is on time and so goes first; the others are hopeless.
            is_large = record.job.job_id == LARGE_JOB
            record.accepted_at = fleet.now if is_large else fleet.now - 1000.0
        ids = set()
        for _ in range(10):
            ids |= job_ids(fleet.start(max_starts=MAX_STARTS))
        assert fits.job_id in ids

    def test_it_leaves_starts_to_other_pools(self):
        """Guards against a pool that gets no starts while a large job is placed."""
        configuration = make_configuration()
        queue = configuration.queue_by_name["nightly"]
        other = queue._replace(name=OTHER_QUEUE, pool=OTHER_POOL)
        configuration.queue_by_name[OTHER_QUEUE] = other
        configuration.pool_by_name[OTHER_POOL] = Pool(OTHER_POOL, True, False)
        fleet = make_fleet()
        fleet.workers.append(make_worker("o1", pool=OTHER_POOL))
        fleet.running_by_worker["o1"] = {}
        fleet.ended_by_worker["o1"] = []
        fleet.list_workers()
        fleet.dispatcher.apply_configuration(configuration)
        fleet.dispatcher.add_job(make_large_job(), fleet.now)
        fleet.dispatcher.add_job(make_job(SMALL_JOB, queue=OTHER_QUEUE), fleet.now)
        ids = set()
        for _ in range(2):
            ids |= job_ids(fleet.start(max_starts=MAX_STARTS))
        assert SMALL_JOB in ids

    def test_no_round_takes_long_while_it_is_placed(self):
        """Guards against rounds whose time grows with the square of the tasks.

        Best fit puts small tasks onto one worker, and each of them added up all runs of
        that worker again.
        """
        fleet = make_fleet(n_workers=1)
        fleet.dispatcher.add_job(make_large_job(), fleet.now)
        longest = find_longest_seconds(lambda: fleet.plan(max_starts=256), 50)
        assert len(fleet.dispatcher.runs_by_task) >= N_TASKS / 3
        assert longest < MAX_OWNER_LAG_SECONDS


class TestCancellationOfLargeJob:
    def make_running_fleet(self) -> Fleet:
        """Return a fleet with a large job on two workers, and a small one on each."""
        fleet = make_fleet(n_workers=2)
        job = make_large_job(n_tasks=N_STOPPED, max_per_worker=N_STOPPED // 2)
        fleet.dispatcher.add_job(job, fleet.now)
        step = make_step(2, need=Resources(1.0, 1.0, 0), max_per_worker=1)
        fleet.dispatcher.add_job(make_job(SMALL_JOB, [step]), fleet.now)
        while fleet.start():
            pass
        assert len(fleet.dispatcher.runs_by_task) == N_STOPPED + 2
        return fleet

    def take_stops(self, fleet, turns) -> list[StopOrder]:
        """Return the orders of a round, which their workers carry out."""
        stops = turns.take(fleet.now, MAX_STOPS)
        assert len(stops) <= MAX_STOPS
        for stop in stops:
            run = fleet.dispatcher.worker_by_id[stop.worker_id].run_by_key[stop.key]
            fleet.dispatcher.on_stop_outcome(run, Done(), fleet.now)
        return stops

    def test_all_its_runs_are_stopped_a_part_at_a_time(self):
        """Guards against an event loop that stands still while orders are sent."""
        fleet = self.make_running_fleet()
        turns = StopTurns(fleet.dispatcher)
        fleet.dispatcher.cancel_job(LARGE_JOB)
        n_stopped = 0
        while stops := self.take_stops(fleet, turns):
            n_stopped += len(stops)
        assert n_stopped == N_STOPPED

    def test_other_jobs_are_stopped_beside_it(self):
        """Guards against a cancellation that takes effect after that of a large job."""
        fleet = self.make_running_fleet()
        turns = StopTurns(fleet.dispatcher)
        fleet.dispatcher.cancel_job(LARGE_JOB)
        fleet.dispatcher.cancel_job(SMALL_JOB)
        n_rounds = -(-2 * (MAX_STOPS_PER_JOB + 1) // MAX_STOPS)
        first = [s for _ in range(n_rounds) for s in self.take_stops(fleet, turns)]
        assert sum(stop.key.task.startswith(SMALL_JOB) for stop in first) == 2

    def test_a_worker_without_answers_does_not_hold_up_the_others(self):
        """Guards against runs that go on, as orders for a lost worker come first."""
        fleet = self.make_running_fleet()
        turns = StopTurns(fleet.dispatcher)
        fleet.dispatcher.cancel_job(LARGE_JOB)
        workers = set()
        for _ in range(2 * MAX_STOPS_PER_JOB // MAX_STOPS + 1):
            workers |= {stop.worker_id for stop in turns.take(fleet.now, MAX_STOPS)}
            fleet.advance(STOP_RETRY_SECONDS)
        assert len(workers) == 2


class TestLargeLastingJob:
    def test_a_wave_beside_it_is_planned_soon(self):
        """Guards against an event loop that stands still while a wave is planned.

        All tasks of a step were counted again for each VM of the wave.
        """
        fleet = VmFleet(N_LASTING_VMS)
        fleet.dispatcher.add_job(make_large_job(is_lasting=True, max_away=3), fleet.now)
        while fleet.start():
            pass
        fleet.make_lasting_tasks_available()
        fleet.request_wave([f"m{number}" for number in range(N_LASTING_VMS)])
        fleet.advance(LASTING_WAIT_SECONDS)
        fleet.poll_all()
        fleet.list_vms()
        seconds = find_longest_seconds(lambda: fleet.vm_planner.plan(fleet.now), 2)
        assert seconds < MAY_BE_REPLACED_SECONDS


class TestLargeGang:
    def test_one_that_fits_nowhere_takes_little_time(self):
        """Guards against a gang that is placed task by task in vain in each round."""
        fleet = make_fleet()
        step = make_step(20_000, need=Resources(0.02, 0.004, 0), is_gang=True)
        fleet.dispatcher.add_job(make_job(LARGE_JOB, [step]), fleet.now)
        assert fleet.plan() == []
        seconds = [find_longest_seconds(fleet.plan, 1) for _ in range(5)]
        assert min(seconds) < MAX_OWNER_LAG_SECONDS / 5


class TestRecurringJob:
    """A job that recurs thousands of times; the times in the tests are of its owner."""

    JOB = make_job(
        LARGE_JOB,
        [make_step(need=SMALL_NEED)],
        n_occurrences=20_000,
        first_due_at=1.0,
        interval_seconds=1000.0,
    )

    def test_fifty_take_little_time_of_a_round(self):
        """Guards against rounds that look at each occurrence of each job."""
        fleet = make_fleet()
        for number in range(50):
            job = self.JOB._replace(job_id=f"{number:016x}")
            fleet.dispatcher.add_job(job, fleet.now)
        fleet.start()
        assert len(fleet.dispatcher.runs_by_task) == 50

        def run_round():
            fleet.plan()
            measure_demand(fleet.dispatcher, fleet.now)

        assert find_longest_seconds(run_round, 3) < MAX_OWNER_LAG_SECONDS

    def test_occurrences_that_fit_nowhere_are_not_all_tried(self):
        """Guards against a round that tries a step that has no room once more often."""
        fleet = make_fleet()
        large_step = make_step(need=Resources(400.0, 1.0, 0))
        job = self.JOB._replace(steps=(large_step,), interval_seconds=0.0)
        fleet.dispatcher.add_job(job, fleet.now)
        fleet.advance(2.0)
        assert find_longest_seconds(fleet.plan, 3) < MAX_OWNER_LAG_SECONDS


class TestTimeOfRound:
    def test_rounds_that_run_out_of_time_reach_all_jobs(self):
        """Guards against jobs that no round reaches, as each begins with the first."""
        fleet = make_fleet()
        for number in range(N_JOBS):
            job = make_job(f"{number:016x}", [make_step(need=Resources(100.0, 1.0, 0))])
            fleet.dispatcher.add_job(job, fleet.now)
        fleet.dispatcher.add_job(make_job(SMALL_JOB), fleet.now)
        ids = set()
        for _ in range(N_JOBS + 1):
            ids |= job_ids(fleet.start(clock=itertools.count().__next__))
        assert SMALL_JOB in ids

    def test_rounds_that_run_out_of_time_leave_out_no_job(self):
        """Guards against a round that goes on where the former one did not end."""
        fleet = make_fleet()
        for number in range(N_JOBS):
            job = make_large_job(f"{number:016x}", n_tasks=1)
            fleet.dispatcher.add_job(job, fleet.now)
        for _ in range(N_JOBS):
            fleet.start(clock=itertools.count().__next__)
        assert len(fleet.dispatcher.runs_by_task) == N_JOBS

    def test_jobs_that_arrive_all_the_time_do_not_keep_others_from_their_turn(self):
        """Guards against a job of which some tasks start, and then none for good."""
        fleet = make_fleet()
        fleet.dispatcher.add_job(make_job(SMALL_JOB, [make_step(n_tasks=2)]), fleet.now)
        record = fleet.dispatcher.job_by_id[SMALL_JOB]
        (first, second) = record.all_tasks()
        second.not_before = fleet.now + 1.0
        names = []
        for number in range(40):
            fleet.advance(0.2)
            fleet.poll_all()
            record.accepted_at = fleet.now
            for copy in range(2):
                job_id = f"{2 * number + copy:016x}"
                fleet.dispatcher.add_job(make_large_job(job_id, n_tasks=1), fleet.now)
                # Hopeless jobs come after those that are on time.
                fleet.dispatcher.job_by_id[job_id].accepted_at = fleet.now - 1000.0
            starts = fleet.start(clock=itertools.count().__next__)
            names += [start.run.task.text for start in starts]
        assert {first.text, second.text} <= set(names)

    def test_an_unfinished_round_is_told(self):
        """Guards against the rest of a round that waits for the next event."""
        fleet = make_fleet()
        for number in range(N_JOBS):
            fleet.dispatcher.add_job(make_job(f"{number:016x}"), fleet.now)
        fleet.start(clock=itertools.count().__next__)
        assert fleet.planner.is_unfinished
        fleet.start()
        assert not fleet.planner.is_unfinished


class TestLoading:
    N_JOBS = 60
    N_TASKS = 4000

    def _make_table(self):
        table = FakeTable()
        table.rows_by_table = {JOBS_TABLE: [], STATES_TABLE: []}
        for number in range(self.N_JOBS):
            job = make_large_job(f"{number:016x}", self.N_TASKS)._replace(
                accepted_at=1.0
            )
            record = JobRecord(job)
            for task in record.tasks_by_stage[0, 0][1:]:
                record.mark_done(task)
            job_row = Row(job_key(job.job_id), 1, job_to_row(job))
            state_row = Row(state_key(job.job_id), 2, record.to_row())
            table.rows_by_table[JOBS_TABLE].append(job_row)
            table.rows_by_table[STATES_TABLE].append(state_row)
        return table

    def test_no_worker_reports_before_all_states_are_known(self):
        """Guards against runs of a former owner that are stopped or start again.

        The report of a worker names runs and ends of jobs; those of unknown jobs are
        dropped, and their ends would be acknowledged all the same.
        """
        table = self._make_table()
        entry = {
            "address": "h:1",
            "zone": "z",
            "capacity": [4.0, 8.0, 0],
            "labels": [],
        }
        roster_row = Row(roster_key("renders"), 1, {"workers": {"w1": entry}})
        table.rows_by_table[ROSTER_TABLE] = [roster_row]

        async def load() -> list[int]:
            owner = make_owner(table)
            workers = CountingWorkers(owner._session.dispatcher)
            ports = owner._session.ports._replace(workers=workers)
            owner._session.ports = ports
            assert await owner._load()
            await asyncio.sleep(0.05)
            owner._session.cancel_all()
            return workers.n_known_at_poll

        n_known_at_poll = asyncio.run(load())
        assert n_known_at_poll
        assert min(n_known_at_poll) == self.N_JOBS

    def test_it_leaves_the_loop_to_the_renewals(self):
        """Guards against a new owner that is replaced while it loads large jobs.

        The next one would load the same jobs, and be replaced as well.
        """

        async def load() -> float:
            owner = make_owner(self._make_table())
            watch = asyncio.ensure_future(find_longest_gap())
            await asyncio.sleep(0)
            assert await owner._load()
            watch.cancel()
            assert len(owner._session.dispatcher.job_by_id) == self.N_JOBS
            return await watch

        assert asyncio.run(load()) < MAX_OWNER_LAG_SECONDS


class CountingWorkers(SilentWorkers):
    """Workers that answer nothing, and count the states that are known at each poll."""

    def __init__(self, dispatcher):
        self.n_known_at_poll = []
        self._dispatcher = dispatcher

    async def renew_lease(self, worker, *arguments):
        records = self._dispatcher.job_by_id.values()
        self.n_known_at_poll.append(sum(record.row_version > 0 for record in records))
        return await super().renew_lease(worker, *arguments)


async def find_longest_gap() -> float:
    """Return the longest processor time between two turns, until it is canceled."""
    longest = 0.0
    turn_at = time.process_time()
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            await asyncio.sleep(0)
            longest = max(longest, time.process_time() - turn_at)
            turn_at = time.process_time()
    return max(longest, time.process_time() - turn_at)
