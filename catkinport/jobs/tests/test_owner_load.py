"""Tests of how a new owner loads the state; no pool starts a task before that."""

import asyncio
from collections import Counter

from ...ports import Reason, Unavailable
from ...ports.async_table import Snapshot
from ...ports.clock import ManualClock
from ...runtime import Metrics
from ..ownership.owner import FleetOwner
from ..ownership.ownership_watch import Claim
from ..ownership.session import OwnerPorts
from ..tables import JOBS_TABLE, ROSTER_TABLE, STATES_TABLE
from .builders import Fleet, make_configuration, make_job, make_step, make_worker
from .vm_fleet import BOUNDS

LONGEST_LEASE = 10.0


class FailingTable:
    """Table whose reads fail as often as the test says, and count how many overlap."""

    def __init__(self, **n_failures_by_table: int) -> None:
        self.n_failures_by_table = Counter(n_failures_by_table)
        self.n_reads_by_table: Counter[str] = Counter()
        self.n_in_flight = 0
        self.max_in_flight = 0

    async def read_range(self, table: str, start: str = "", end: str = ""):
        self.n_reads_by_table[table] += 1
        self.n_in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.n_in_flight)
        await asyncio.sleep(0)
        self.n_in_flight -= 1
        if self.n_failures_by_table[table]:
            self.n_failures_by_table[table] -= 1
            return Unavailable(Reason.TIMEOUT, "table-read", "store")
        return Snapshot([], 1)


def make_owner(table: FailingTable, now: float = 100.0) -> FleetOwner:
    """Return the owner at clock time ``now``, by a claim that was sent at 100."""
    ports = OwnerPorts(table, None, None, None, ManualClock(now), Metrics())
    claim = Claim(1, 100.0, None, False)
    return FleetOwner(ports, make_configuration(), claim, BOUNDS, LONGEST_LEASE)


def load(table: FailingTable) -> int:
    """Load the state; return the number of attempts."""
    owner = make_owner(table)

    async def run() -> int:
        n_attempts = 1
        while not await owner._load():
            n_attempts += 1
        return n_attempts

    return asyncio.run(run())


class TestFailedReads:
    def test_only_what_failed_is_read_again(self):
        """Guards against a load that begins anew for each lost answer.

        On a store that is far away, the read of all jobs took seconds each time.
        """
        table = FailingTable(roster=2, states=1)
        assert load(table) == 3
        assert table.n_reads_by_table[JOBS_TABLE] == 1
        assert table.n_reads_by_table[STATES_TABLE] == 2
        assert table.n_reads_by_table[ROSTER_TABLE] == 3


class TestFarStore:
    def test_the_tables_are_read_at_once(self):
        """Guards against a load that takes a round trip for each table."""
        table = FailingTable()
        load(table)
        assert table.max_in_flight == 4


class TestLateClaim:
    def test_vms_of_the_former_owner_are_left_alone_from_the_answer_on(self):
        """Guards against two owners that order one VM within a short time.

        The first attempt of the claim was lost. The second one was carried out when the
        time that counted from the first one was over.
        """
        owner = make_owner(FailingTable(), now=103.5)
        assert owner._vm_orders._held_until >= 103.5 + BOUNDS.order_gap


class TestInheritedStarts:
    def test_the_workers_of_a_pool_are_looked_at_once_in_a_round(self, monkeypatch):
        """Guards against a log line that takes as long as planning the start.

        Each start of an inherited task looked at all workers of its pool.
        """
        fleet = Fleet([make_worker(f"w{number}") for number in range(4)])
        workers = fleet.dispatcher._runs._workers
        workers_of = workers.workers_of
        asked = []

        def note(pool):
            asked.append(pool)
            return workers_of(pool)

        job = make_job(steps=[make_step(8)])
        fleet.dispatcher.add_job(job, fleet.now, is_inherited=True)
        (first,) = fleet.plan(max_starts=1)[:1]
        monkeypatch.setattr(workers, "workers_of", note)
        task = first.run.task
        for _ in range(5):
            fleet.dispatcher._runs.begin(first.worker, task, fleet.now + 1.0)
        assert len(asked) == 1


class TestPoolWithoutWaitingTasks:
    """Load: thousands of workers, whose reports each begin a round of planning."""

    def _count_looks(self, fleet, monkeypatch) -> int:
        looks = []
        find_rooms = fleet.planner._free_rooms

        def count(pool, now):
            looks.append(pool)
            return find_rooms(pool, now)

        monkeypatch.setattr(fleet.planner, "_free_rooms", count)
        fleet.plan()
        return len(looks)

    def test_its_workers_are_not_looked_at(self, monkeypatch):
        """Guards against an owner whose processor is used up by rounds for nothing."""
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(steps=[make_step(2)]), fleet.now)
        assert len(fleet.start()) == 2
        assert self._count_looks(fleet, monkeypatch) == 0

    def test_a_task_that_waits_is_placed(self, monkeypatch):
        """Guards against a task that waits beside a job without waiting tasks."""
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(steps=[make_step(2)]), fleet.now)
        fleet.start()
        job = make_job(f"{7:016x}", steps=[make_step(1)])
        fleet.dispatcher.add_job(job, fleet.now)
        assert self._count_looks(fleet, monkeypatch) == 1
