"""Outcomes of jobs in a pool that is short for a time, by the order of the planner.

The baseline orders jobs without the shares of accounts and without their waits.
"""

import random
from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from catkinport.jobs.configuration import Account
from catkinport.jobs.placement.planner import Planner
from catkinport.jobs.placement.pool_order import PoolOrder
from catkinport.jobs.placement.round_budget import PlannedStart
from catkinport.jobs.tests.builders import Fleet, make_job, make_step, make_worker
from catkinport.policy.job_order import LATE_FACTOR, order_key
from catkinport.policy.resources import NO_RESOURCES, Resources

from .registry import Figure, register

N_WORKERS = 12
CORES_PER_WORKER = 8.0
N_QUEUES = 3
SECONDS = 40.0
TICK_SECONDS = 0.1
DRAIN_SECONDS = 30.0
SEEDS = range(4)

JOBS_PER_SECOND = 3.6
"""About nine tenths of what the pool can do: a job has 24 core-seconds on average."""

TURN_SECONDS = 4.0
PEAK_SECONDS = 0.77
"""Part of a turn with five times the mean, so that the rest has a twentieth."""

TASK_SECONDS = (1.0, 1.4)
STRETCH = 1.6
TARGET_SECONDS = 0.6
LATE_VALUE = 0.07
BASE_VALUE = 0.3

WEIGHT_BY_ACCOUNT = {
    f"a{number}": JOBS_PER_SECOND * weight / 30
    for number, weight in enumerate([5, 4, 4, *[1] * 17])
}
HOT_ACCOUNT = "a3"


class Load(NamedTuple):
    """A load of the pool.

    Args:
        name: what it is called.
        factor: rate of jobs relative to `JOBS_PER_SECOND`.
        outage: start and end in seconds of a time without any start.
        hot_rate: jobs a second of an account beyond its weight.
    """

    name: str
    factor: float = 1.0
    outage: tuple[float, float] = (0.0, 0.0)
    hot_rate: float = 0.0


LOADS = (
    Load("turns"),
    Load("turns, a fifth more jobs", 1.2),
    Load("turns, outage of 4 s", outage=(12.0, 16.0)),
    Load("turns, an account with ten times its rate", hot_rate=9 * 0.12 * 2),
)


class Arrival(NamedTuple):
    """A job that arrives, with the durations of the tasks of each step."""

    at: float
    queue: str
    account: str
    durations: Sequence[Sequence[float]]

    @property
    def work(self) -> float:
        """Core-seconds of the job."""
        return sum(map(sum, self.durations))

    @property
    def objective_seconds(self) -> float:
        """Time in which the job should be complete."""
        return STRETCH * sum(map(max, self.durations)) + TARGET_SECONDS


class PlainOrder(PoolOrder):
    """Order without shares and waits."""

    def sort(self, state, items, now, unix_now):
        """Return the jobs ordered by their own figures."""
        view_job = self._dispatcher.estimates.view_job
        return sorted(items, key=lambda item: order_key(view_job(*item), now))


def make_arrivals(load: Load, seed: int) -> list[Arrival]:
    """Return the jobs of a load in the order of their arrival."""
    rng = random.Random(seed)
    names, weights = zip(*WEIGHT_BY_ACCOUNT.items(), strict=True)
    arrivals = []
    for queue in range(N_QUEUES):
        rate = load.factor * JOBS_PER_SECOND / N_QUEUES
        at = 0.0
        while (at := at + rng.expovariate(5 * rate)) < SECONDS:
            phase = (at + queue * TURN_SECONDS / N_QUEUES) % TURN_SECONDS
            if phase < PEAK_SECONDS or rng.random() < 0.01:
                account = rng.choices(names, weights)[0]
                arrivals.append(_make_arrival(at, f"q{queue}", account, rng))
    at = 0.0
    while load.hot_rate and (at := at + rng.expovariate(load.hot_rate)) < SECONDS:
        arrivals.append(_make_arrival(at, "q0", HOT_ACCOUNT, rng))
    return sorted(arrivals)


def _make_arrival(at: float, queue: str, account: str, rng: random.Random) -> Arrival:
    durations = [
        [rng.uniform(*TASK_SECONDS) for _ in range(rng.randint(6, 10))]
        for _ in range(rng.randint(1, 4))
    ]
    return Arrival(at, queue, account, durations)


class ReplayFleet(Fleet):
    """A fleet that replays arrivals.

    Args:
        load: outage of the load.
        arrivals: the jobs.
        order: class of the order of its planner.
    """

    def __init__(
        self, load: Load, arrivals: Sequence[Arrival], order: type[PoolOrder]
    ) -> None:
        super().__init__(
            [make_worker(f"w{i}", CORES_PER_WORKER) for i in range(N_WORKERS)]
        )
        self.load = load
        self.arrivals = arrivals
        self.latency_by_job: dict[str, float] = {}
        self._running: list[tuple[float, PlannedStart]] = []
        self._configure(order)

    def _configure(self, order: type[PoolOrder]) -> None:
        configuration = self.dispatcher.configuration
        (queue,) = configuration.queue_by_name.values()
        queues = {
            f"q{i}": queue._replace(name=f"q{i}", path_prefix=f"/q{i}/")
            for i in range(N_QUEUES)
        }
        accounts = {
            name: Account(name, weight, NO_RESOURCES)
            for name, weight in WEIGHT_BY_ACCOUNT.items()
        }
        self.dispatcher.apply_configuration(
            configuration._replace(queue_by_name=queues, account_by_name=accounts)
        )
        self.planner = Planner(self.dispatcher)
        self.planner.order = order(self.dispatcher)

    def replay(self) -> None:
        """Replay all arrivals, and let the jobs go on for a time."""
        start = self.now
        left = list(reversed(self.arrivals))
        while self.now < start + SECONDS + DRAIN_SECONDS:
            self.advance(TICK_SECONDS)
            while left and left[-1].at <= self.now - start:
                self._add(len(left), left.pop())
            self._end_due()
            self.list_workers()
            first, last = self.load.outage
            if not first <= self.now - start < last:
                self._start()

    def _add(self, number: int, arrival: Arrival) -> None:
        steps = [
            make_step(
                len(durations),
                need=Resources(1.0, 1.0, 0),
                after=(index - 1,) if index else (),
            )
            for index, durations in enumerate(arrival.durations)
        ]
        job_id = f"{len(self.arrivals) - number:016x}"
        job = make_job(job_id, steps, queue=arrival.queue, account=arrival.account)
        self.dispatcher.add_job(job, self.now)

    def _start(self) -> None:
        for start in self.start():
            task_id = start.run.task.task_id
            durations = self.arrivals[int(task_id.job_id, 16)].durations
            seconds = durations[task_id.step][task_id.index]
            self._running.append((self.now + seconds, start))

    def _end_due(self) -> None:
        due = [start for ends_at, start in self._running if ends_at <= self.now]
        self._running = [entry for entry in self._running if entry[0] > self.now]
        for start in due:
            self.end(start)
        for record in list(self.dispatcher.job_by_id.values()):
            if record.is_final:
                latency = self.now - record.accepted_at
                self.latency_by_job[record.job.job_id] = latency
                record.is_dirty = False
                self.dispatcher.forget_ended(record)


class Outcome(NamedTuple):
    """Outcomes in percent.

    Args:
        late: late jobs of accounts that keep to their rate.
        hopeless: hopeless jobs of these accounts.
        lost_value: part of the value owed that was lost. An account is owed the mean
            value for each job within its rate.
        worst_lost_value: the same of the account that has lost most.
    """

    late: float
    hopeless: float
    lost_value: float
    worst_lost_value: float


def judge(fleets: Sequence[ReplayFleet]) -> Outcome:
    """Return the outcome of the replays."""
    n_jobs = n_late = n_hopeless = 0
    owed_by_account: defaultdict[str, float] = defaultdict(float)
    earned_by_account: defaultdict[str, float] = defaultdict(float)
    for fleet in fleets:
        works = [arrival.work for arrival in fleet.arrivals]
        mean_work = sum(works) / len(works)
        for number, arrival in enumerate(fleet.arrivals):
            latency = fleet.latency_by_job.get(f"{number:016x}", float("inf"))
            ratio = latency / arrival.objective_seconds
            value = BASE_VALUE + (1 - BASE_VALUE) * arrival.work / mean_work
            part = 1.0 if ratio <= 1 else LATE_VALUE if ratio <= LATE_FACTOR else 0.0
            owed_by_account[arrival.account] += value
            earned_by_account[arrival.account] += part * value
            if not fleet.load.hot_rate or arrival.account != HOT_ACCOUNT:
                n_jobs += 1
                n_late += part == LATE_VALUE
                n_hopeless += part == 0.0
    if fleets[0].load.hot_rate:
        owed = WEIGHT_BY_ACCOUNT[HOT_ACCOUNT] * SECONDS * len(fleets)
        owed_by_account[HOT_ACCOUNT] = owed
        earned_by_account[HOT_ACCOUNT] = min(owed, earned_by_account[HOT_ACCOUNT])
    lost = 1 - sum(earned_by_account.values()) / sum(owed_by_account.values())
    worst = max(
        1 - earned_by_account[name] / owed for name, owed in owed_by_account.items()
    )
    parts = (n_late / n_jobs, n_hopeless / n_jobs, lost, worst)
    return Outcome(*(100 * part for part in parts))


def replay_load(load: Load, order: type[PoolOrder]) -> Outcome:
    """Return the outcome of a load with an order, over all seeds."""
    fleets = [ReplayFleet(load, make_arrivals(load, seed), order) for seed in SEEDS]
    for fleet in fleets:
        fleet.replay()
    return judge(fleets)


@register("job-order")
def measure_job_order() -> Sequence[Figure]:
    """Measure the outcomes of each load."""
    return list(_measure())


def _measure() -> Iterator[Figure]:
    names = ("late jobs, %", "hopeless jobs, %", "value lost, %", "worst account, %")
    for load in LOADS:
        product = replay_load(load, PoolOrder)
        baseline = replay_load(load, PlainOrder)
        for name, figure, before in zip(names, product, baseline, strict=True):
            setting = f"{N_WORKERS} workers, {load.name}"
            yield Figure(setting, name, figure, before)
