"""Waits of small and large jobs in a pool with and without look-ahead placement.

The owner's planner is replayed over two queues whose demand comes in turns. The
baseline is the planner with the option switched off. The last figures are the
processor time of one of the owner's rounds of planning in a large pool.
"""

import heapq
import math
import time
from collections import defaultdict
from collections.abc import Iterator, Sequence
from random import Random
from typing import NamedTuple

from catkinport.jobs.configuration import Account, FleetConfiguration, Pool, Queue
from catkinport.jobs.model import Job, Step
from catkinport.jobs.placement.planner import Planner
from catkinport.jobs.placement.round_budget import PlannedStart
from catkinport.jobs.tests.builders import POOL, Fleet, make_worker
from catkinport.policy.job_order import LATE_FACTOR
from catkinport.policy.resources import NO_RESOURCES, Resources
from catkinport.ports.fleet_workers import Done

from .registry import Figure, register

SEEDS = (1, 2, 3)
SECONDS = 36.0
"""Time in which jobs arrive; the replay goes on until all have ended."""

ROUND_SECONDS = 0.05
POLL_SECONDS = 1.0
TURN_SECONDS = 12.0
PEAK_FACTOR = 5.0
REST_FACTOR = 0.05
PEAK_SECONDS = TURN_SECONDS * (1 - REST_FACTOR) / (PEAK_FACTOR - REST_FACTOR)
"""Length of a peak with which the mean over a turn is 1."""

LARGE_DELAY_SECONDS = 1.2
"""Time by which the peak of the large jobs follows that of the small ones."""

N_ACCOUNTS = 20
MEAN_TASKS = 8
MEAN_STEPS = 2.5
MEAN_SECONDS = 1.2
STRETCH = 1.6
TARGET_SECONDS = 0.6
DURATION_DEVIATION = 0.15
SMALL, LARGE = "small", "large"

N_MANY_WORKERS = 3000
N_MANY_JOBS = 60
N_MANY_ROUNDS = 20
N_ENDS_PER_ROUND = 8
FILL_AGE_SECONDS = 0.6


class Setting(NamedTuple):
    """A pool and its load.

    Args:
        n_workers: number of workers.
        cores: cores of a worker; it has twice as many GB of memory.
        small_cores: cores of a task of a small job.
        large_cores: cores of a task of a large job.
        load: mean demand as a fraction of the pool's cores.
        estimate_error: largest factor by which estimates are wrong; 1 for none.
    """

    n_workers: int
    cores: float
    small_cores: float
    large_cores: float
    load: float
    estimate_error: float = 1.0

    @property
    def name(self) -> str:
        """Text form in the table."""
        return (
            f"{self.n_workers} x {self.cores:.0f} cores, tasks of "
            f"{self.small_cores:.0f} and {self.large_cores:.0f}, load {self.load}, "
            f"estimates off by {self.estimate_error:.0f}"
        )


SETTINGS = (
    Setting(30, 32.0, 3.0, 7.0, 0.8),
    Setting(45, 32.0, 6.0, 13.0, 0.8),
    Setting(30, 64.0, 6.0, 13.0, 0.8),
    Setting(36, 32.0, 6.0, 13.0, 0.95),
    Setting(36, 32.0, 6.0, 13.0, 0.8, 10.0),
)


class Result(NamedTuple):
    """Figures of one replay; times in seconds, shares from 0 to 1."""

    mean_small_wait: float
    p95_small_wait: float
    mean_large_wait: float
    p95_large_wait: float
    small_late_share: float
    large_late_share: float
    small_hopeless_share: float
    large_hopeless_share: float
    idle_share: float


class _Expected(NamedTuple):
    """When a job arrived, and how long it takes without any wait."""

    kind: str
    arrived_at: float
    chain_seconds: float


class Load:
    """Jobs of both queues in the order of their arrival, with their true durations."""

    def __init__(self, setting: Setting, seed: int) -> None:
        self._setting = setting
        self._rng = Random(seed)
        self._n_jobs = 0
        self.true_seconds_by_task: dict[str, float] = {}
        self.expected_by_job: dict[str, _Expected] = {}
        arrivals = [
            (at, kind)
            for kind, delay in ((SMALL, 0.0), (LARGE, LARGE_DELAY_SECONDS))
            for at in self._arrival_times(kind, delay)
        ]
        self.arrivals = [
            (at, self._make_job(kind, at)) for at, kind in sorted(arrivals)
        ]

    def _task_cores(self, kind: str) -> float:
        setting = self._setting
        return setting.small_cores if kind == SMALL else setting.large_cores

    def _arrival_times(self, kind: str, delay: float) -> Iterator[float]:
        setting = self._setting
        work = MEAN_STEPS * MEAN_TASKS * MEAN_SECONDS * self._task_cores(kind)
        per_second = setting.load * setting.n_workers * setting.cores / 2 / work
        at = 0.0
        while True:
            at += self._rng.expovariate(per_second * PEAK_FACTOR)
            if at >= SECONDS:
                return
            is_peak = (at - delay) % TURN_SECONDS < PEAK_SECONDS
            if is_peak or self._rng.random() < REST_FACTOR / PEAK_FACTOR:
                yield at

    def _make_job(self, kind: str, at: float) -> Job:
        self._n_jobs += 1
        job_id = f"{self._n_jobs:016x}"
        cores = self._task_cores(kind)
        error = self._setting.estimate_error ** self._rng.uniform(-1, 1)
        steps = []
        chain_seconds = 0.0
        for number in range(self._rng.randint(1, 4)):
            n_tasks = self._rng.randint(MEAN_TASKS - 2, MEAN_TASKS + 2)
            seconds = self._rng.uniform(1.0, 1.4)
            longest = 0.0
            for index in range(n_tasks):
                true = seconds * math.exp(self._rng.gauss(0.0, DURATION_DEVIATION))
                self.true_seconds_by_task[f"{job_id}.0.{number}.{index}"] = true
                longest = max(longest, true)
            chain_seconds += longest
            after = (number - 1,) if number else ()
            need = Resources(cores, cores, 0)
            steps.append(Step(n_tasks, need, seconds * error, after))
        self.expected_by_job[job_id] = _Expected(kind, at, chain_seconds)
        account = f"a{min(int(self._rng.expovariate(0.3)), N_ACCOUNTS - 1)}"
        return Job(job_id, kind, account, "s", tuple(steps), at)


def make_configuration(pool_cores: float) -> FleetConfiguration:
    """Return two queues on one pool; no account may use more than half of its cores."""
    queues = {
        name: Queue(
            name, "h", f"/{name}/", POOL, False, 0, 3, STRETCH, TARGET_SECONDS, 3.0
        )
        for name in (SMALL, LARGE)
    }
    limit = NO_RESOURCES._replace(cores=pool_cores / 2)
    names = [f"a{n}" for n in range(N_ACCOUNTS)]
    accounts = {name: Account(name, 1.0, limit) for name in names}
    pools = {POOL: Pool(POOL, True, False)}
    return FleetConfiguration(2, queues, pools, accounts, {}, 262144)


def make_fleet(n_workers: int, cores: float, looks_ahead: bool) -> Fleet:
    """Return a pool of equal workers with the two queues."""
    capacity = Resources(cores, 2 * cores, 0)
    fleet = Fleet([make_worker(f"w{n}", capacity=capacity) for n in range(n_workers)])
    fleet.dispatcher.apply_configuration(make_configuration(n_workers * cores))
    fleet.planner = Planner(fleet.dispatcher, looks_ahead)
    return fleet


class Replay:
    """Replay of a load on a pool, in rounds of planning."""

    def __init__(self, setting: Setting, seed: int, looks_ahead: bool) -> None:
        self._setting = setting
        self._load = Load(setting, seed)
        self._fleet = make_fleet(setting.n_workers, setting.cores, looks_ahead)
        self._began_at = self._fleet.now
        self._ends: list[tuple[float, int, PlannedStart]] = []
        self._n_starts = 0
        self._wait_by_job: dict[str, float] = {}
        self._idle_core_seconds = 0.0
        self._waiting_seconds = 0.0

    def run(self) -> Result:
        """Run until all jobs have ended."""
        arrivals = list(reversed(self._load.arrivals))
        polled_at = self._fleet.now
        while arrivals or self._fleet.dispatcher.job_by_id:
            self._fleet.advance(ROUND_SECONDS)
            if self._fleet.now - polled_at >= POLL_SECONDS:
                polled_at = self._fleet.now
                self._fleet.poll_all()
            while arrivals and arrivals[-1][0] <= self._elapsed:
                self._fleet.dispatcher.add_job(arrivals.pop()[1], self._fleet.now)
            self._end_due()
            for start in self._fleet.start():
                self._n_starts += 1
                seconds = self._load.true_seconds_by_task[start.run.key.task]
                ends_at = self._fleet.now + seconds
                heapq.heappush(self._ends, (ends_at, self._n_starts, start))
            self._measure_idle()
        return self._summarize()

    @property
    def _elapsed(self) -> float:
        return self._fleet.now - self._began_at

    def _end_due(self) -> None:
        fleet = self._fleet
        while self._ends and self._ends[0][0] <= fleet.now:
            _, _, start = heapq.heappop(self._ends)
            fleet.end(start)
            record = start.run.record
            if record.is_final:
                expected = self._load.expected_by_job[record.job.job_id]
                took = self._elapsed - expected.arrived_at
                wait = max(0.0, took - expected.chain_seconds)
                self._wait_by_job[record.job.job_id] = wait
                record.is_dirty = False
                fleet.dispatcher.job_by_id.pop(record.job.job_id, None)

    def _measure_idle(self) -> None:
        if self._fleet.planner.delays.delay_by_job:
            workers = self._fleet.dispatcher.worker_by_id.values()
            free = sum(worker.free().cores for worker in workers)
            self._idle_core_seconds += free * ROUND_SECONDS
            self._waiting_seconds += ROUND_SECONDS

    def _summarize(self) -> Result:
        waits = defaultdict(list)
        n_late: dict[str, int] = defaultdict(int)
        n_hopeless: dict[str, int] = defaultdict(int)
        for job_id, wait in self._wait_by_job.items():
            expected = self._load.expected_by_job[job_id]
            waits[expected.kind].append(wait)
            took = expected.chain_seconds + wait
            objective = STRETCH * expected.chain_seconds + TARGET_SECONDS
            n_late[expected.kind] += took > objective
            n_hopeless[expected.kind] += took > LATE_FACTOR * objective
        cores = self._setting.n_workers * self._setting.cores
        return Result(
            *_mean_and_p95(waits[SMALL]),
            *_mean_and_p95(waits[LARGE]),
            n_late[SMALL] / len(waits[SMALL]),
            n_late[LARGE] / len(waits[LARGE]),
            n_hopeless[SMALL] / len(waits[SMALL]),
            n_hopeless[LARGE] / len(waits[LARGE]),
            self._idle_core_seconds / max(1e-9, self._waiting_seconds * cores),
        )


def _mean_and_p95(values: Sequence[float]) -> tuple[float, float]:
    ordered = sorted(values)
    return sum(ordered) / len(ordered), ordered[int(0.95 * len(ordered))]


def _replay_all(setting: Setting, looks_ahead: bool) -> Result:
    results = [Replay(setting, seed, looks_ahead).run() for seed in SEEDS]
    return Result(
        *(sum(column) / len(results) for column in zip(*results, strict=True))
    )


def _compare(setting: Setting) -> Iterator[Figure]:
    off, on = (_replay_all(setting, looks_ahead) for looks_ahead in (False, True))
    texts = (
        "mean wait of small jobs, s",
        "p95 wait of small jobs, s",
        "mean wait of large jobs, s",
        "p95 wait of large jobs, s",
        "share of small jobs not on time",
        "share of large jobs not on time",
        "share of small jobs later than three times the objective",
        "share of large jobs later than three times the objective",
        "cores idle while something waits, share",
    )
    for text, before, after in zip(texts, off, on, strict=True):
        yield Figure(setting.name, text, after, baseline=before)


def _time_rounds(looks_ahead: bool) -> list[float]:
    """Return the processor time of rounds in a large full pool, in milliseconds."""
    fleet = make_fleet(N_MANY_WORKERS, 64.0, looks_ahead)
    running = _fill(fleet)
    # The ends of many tasks are then close enough for holds.
    fleet.advance(FILL_AGE_SECONDS)
    fleet.poll_all()
    rng = Random(1)
    for n in range(N_MANY_JOBS):
        is_large = n % 2
        need = Resources(13.0 if is_large else 6.0, 6.0, 0)
        step = Step(MEAN_TASKS, need, rng.uniform(1.0, 1.4))
        kind = LARGE if is_large else SMALL
        job = Job(f"{n + 1:016x}", kind, f"a{n % N_ACCOUNTS}", "s", (step,), 0.0)
        fleet.dispatcher.add_job(job, fleet.now)
    milliseconds = []
    for _ in range(N_MANY_ROUNDS):
        fleet.advance(ROUND_SECONDS)
        rng.shuffle(running)
        for _ in range(N_ENDS_PER_ROUND):
            fleet.end(running.pop())
        began_at = time.process_time()
        fleet.planner.plan(fleet.now, fleet.now, None, 64, time.thread_time)
        milliseconds.append((time.process_time() - began_at) * 1000)
    return milliseconds


def _fill(fleet: Fleet) -> list[PlannedStart]:
    """Let every worker run ten tasks, with 4 cores left; return their starts."""
    n_tasks = 10 * N_MANY_WORKERS
    step = Step(n_tasks, Resources(6.0, 6.0, 0), 1.2)
    job = Job("f" * 16, SMALL, "", "s", (step,), 0.0)
    fleet.dispatcher.add_job(job, fleet.now)
    record = fleet.dispatcher.job_by_id[job.job_id]
    workers = list(fleet.dispatcher.worker_by_id.values())
    starts = []
    for index, task in enumerate(list(record.all_tasks())):
        worker = workers[index // 10]
        run = fleet.dispatcher.begin_run(worker, task, fleet.now)
        starts.append(PlannedStart(worker, run, ""))
        fleet.answer(starts[-1], Done())
    return starts


@register("look-ahead")
def measure_look_ahead() -> Sequence[Figure]:
    """Compare the waits of jobs and the time of rounds with the option off and on."""
    figures = [figure for setting in SETTINGS for figure in _compare(setting)]
    off, on = (_time_rounds(looks_ahead) for looks_ahead in (False, True))
    name = f"{N_MANY_WORKERS} workers, {N_MANY_JOBS} jobs waiting"
    for text, pick in (("median", 0.5), ("longest", 1.0)):
        before, after = (
            sorted(times)[min(len(times) - 1, int(pick * len(times)))]
            for times in (off, on)
        )
        figures.append(Figure(name, f"{text} round, ms", after, baseline=before))
    return figures
