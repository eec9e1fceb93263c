"""Tests of the measurement of pools that start nothing although they have room."""

import asyncio
import logging
from types import SimpleNamespace

import pytest

from ...policy.leadership import OwnLease
from ...policy.resources import Resources
from ...ports import Reason, Unavailable
from ...runtime.logs import KeyValueFormatter
from ...runtime.metrics import Metrics
from ..ownership.run_orders import RunOrders
from ..placement.stall_reporter import StallReporter, log_stall
from ..placement.stalled_pools import PoolStall, StartState
from ..placement.start_delays import MAX_LINE_WIDTH, StartHold
from ..workers.worker_state import StartBlock
from .builders import JOB_ID, POOL, Fleet, make_job, make_step, make_worker

STEP_SECONDS = 0.25
"""Time between two rounds of planning."""


class StallingFleet(Fleet):
    """A fleet whose stalls are measured.

    Attributes:
        metrics: metrics with the stalls.
        hold: why no task of any pool starts.
        is_contact_kept: whether the workers go on answering.
    """

    def __init__(self, workers, **configuration) -> None:
        super().__init__(workers, **configuration)
        self.metrics = Metrics()
        self.hold: StartHold | None = None
        self.learned_before: float | None = None
        self.is_contact_kept = True
        self._reporter = StallReporter(self.dispatcher)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.advance(STEP_SECONDS)
            if self.is_contact_kept:
                self.poll_all()
            if self.hold is None:
                self.start(learned_before=self.learned_before)
            self.measure()

    def measure(self) -> None:
        delays = self.planner.delays
        state = StartState(delays.delay_by_job, delays.learned_before, self.hold)
        if self._reporter.is_due(self.now):
            self._reporter.measure(state, self.now, self.now, self.metrics)

    def read_gauges(self, name: str = "jobs_stalled") -> dict[str, float]:
        """Return the values of a gauge by reason; the pool is always the same."""
        lines = self.metrics.render()[0].decode().splitlines()
        value_by_labels = dict(
            line.rsplit(" ", 1) for line in lines if line.startswith(name + "{")
        )
        reasons = {labels.split('"')[3]: v for labels, v in value_by_labels.items()}
        return {reason: float(value) for reason, value in reasons.items()}

    @property
    def worker_records(self):
        return list(self.dispatcher.worker_by_id.values())


@pytest.fixture
def log(caplog):
    caplog.set_level(logging.INFO)
    return caplog


def read_lines(log, event: str = "pool stalled") -> list[dict]:
    return [r.event_fields for r in log.records if r.getMessage() == event]


def make_fleet(n_workers: int = 3, **configuration) -> StallingFleet:
    workers = [make_worker(f"w{number}") for number in range(n_workers)]
    return StallingFleet(workers, **configuration)


EVACUATED_ZONE = "evacuated-zone"


def block(worker, reason: StartBlock) -> None:
    """Let one reason keep new tasks from a worker for good."""
    worker.is_listed = reason is not StartBlock.NOT_LISTED
    worker.is_enrolled = reason is not StartBlock.NOT_ENROLLED
    worker.is_reserved = reason is StartBlock.RESERVED
    worker.is_cordoned = reason is StartBlock.CORDONED
    if reason is StartBlock.EVACUATED:
        worker.listed = worker.listed._replace(zone=EVACUATED_ZONE)
    if reason is StartBlock.PAUSED:
        worker.blocked_until = float("inf")
    if reason is StartBlock.OTHER_INCARNATION:
        worker.listed = worker.listed._replace(started_at=2.0)
    if reason is StartBlock.ROOM_UNKNOWN:
        worker.listed_at = float("-inf")


class TestStalls:
    @pytest.mark.parametrize(
        "reason",
        [
            StartBlock.NOT_LISTED,
            StartBlock.NOT_ENROLLED,
            StartBlock.RESERVED,
            StartBlock.CORDONED,
            StartBlock.PAUSED,
            StartBlock.OTHER_INCARNATION,
            StartBlock.ROOM_UNKNOWN,
            StartBlock.EVACUATED,
        ],
    )
    def test_reason_of_blocked_workers_is_named(self, log, reason):
        """Guards against a pool that stands still beside room without a line."""
        is_strict = reason is StartBlock.ROOM_UNKNOWN
        fleet = make_fleet(forbids_overcommit=not is_strict)
        fleet.dispatcher.evacuated_zones.add(EVACUATED_ZONE)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        for worker in fleet.worker_records:
            block(worker, reason)
        fleet.measure()
        fleet.run(2.75)
        assert fleet.read_gauges() == {reason.value: 1}
        assert read_lines(log) == []
        fleet.run(1.0)
        (line,) = read_lines(log)
        assert line["reason"] == reason.value
        assert line["blocked"] == f"{reason.value}:3"
        assert line["pool"] == POOL
        assert line["request_id"] == JOB_ID

    def test_silent_workers_are_named(self, log):
        """Guards against a pool whose workers are all taken for out of contact."""
        fleet = make_fleet()
        fleet.is_contact_kept = False
        for worker in fleet.worker_records:
            worker.note_no_answer()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.run(4.25)
        assert fleet.read_gauges() == {"out-of-contact": 1}
        assert [line["blocked"] for line in read_lines(log)] == ["out-of-contact:3"]

    def test_broken_contact_is_named(self):
        """Guards against a lease in doubt that leaves workers out without a trace."""
        fleet = make_fleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.learned_before = fleet.now
        for worker in fleet.worker_records:
            worker.note_no_answer()
        fleet.run(2.25)
        assert fleet.read_gauges() == {"contact-broken": 1}

    def test_held_jobs_are_named(self):
        """Guards against jobs that the planner passes over and that no line names."""
        fleet = make_fleet()
        fleet.dispatcher.add_job(make_job(), fleet.now, is_inherited=True)
        fleet.dispatcher.unresolved_by_id["w9"] = POOL
        fleet.run(2.25)
        assert fleet.read_gauges() == {"pool-unresolved": 1}

    def test_silent_workers_of_held_jobs_are_named(self):
        """Guards against a held job that hides why its pool is not resolved."""
        fleet = make_fleet()
        fleet.dispatcher.add_job(make_job(), fleet.now, is_inherited=True)
        fleet.dispatcher.unresolved_by_id["w9"] = POOL
        fleet.is_contact_kept = False
        for worker in fleet.worker_records:
            worker.note_no_answer()
        fleet.run(2.25)
        assert fleet.read_gauges() == {"out-of-contact": 1}

    def test_missing_rounds_are_named(self):
        """Guards against an owner that plans nothing and measures nothing either."""
        fleet = make_fleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.hold = StartHold.LEASE_EXPIRED
        fleet.is_contact_kept = False
        fleet.run(2.25)
        assert fleet.read_gauges() == {"lease-expired": 1}

    def test_starts_without_answers_are_named(self, log):
        """Guards against a pool full of unanswered starts that counts as busy.

        On workers far away each start was given up before its answer arrived. All room
        was taken by such starts, and nothing ran.
        """
        fleet = make_fleet(2)
        fleet.dispatcher.add_job(make_job(steps=[make_step(8)]), fleet.now)
        fleet.measure()
        lost = Unavailable(Reason.TIMEOUT, "worker-start", "w", "", True)
        for _ in range(16):
            fleet.advance(STEP_SECONDS)
            for start in fleet.plan():
                fleet.answer(start, lost)
            fleet.measure()
        (line,) = read_lines(log)
        assert line["reason"] == "start-unanswered"
        assert fleet.read_gauges()["start-unanswered"] == 1

    def test_room_of_unanswered_starts_is_named(self):
        """Guards against a job without room that looks like a fault of the planner.

        The starts of another job have no answer and take the room.
        """
        fleet = make_fleet(1)
        fleet.dispatcher.add_job(make_job(steps=[make_step(4)]), fleet.now)
        fleet.plan()
        waiting = make_job("00000000000000a2")
        fleet.dispatcher.add_job(waiting, fleet.now)
        for _ in range(8):
            fleet.plan()
            fleet.measure()
            fleet.advance(STEP_SECONDS)
            (worker,) = fleet.worker_records
            worker.note_contact(fleet.now, False)
        assert fleet.read_gauges() == {"start-unanswered": 2}

    def test_stall_beside_open_workers_is_named(self):
        """Guards against a fault of the planner that leaves a task out."""
        fleet = make_fleet()
        fleet.dispatcher.add_job(make_job(), fleet.now)
        for _ in range(3):
            fleet.measure()
            fleet.advance(1.0)
            fleet.poll_all()
        fleet.measure()
        assert fleet.read_gauges() == {"not-blocked": 1}

    def test_oldest_wait_is_measured(self):
        """Guards against a count that doesn't tell a short wait from a stall."""
        fleet = make_fleet()
        for worker in fleet.worker_records:
            worker.is_cordoned = True
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.run(5.0)
        fleet.dispatcher.add_job(make_job("00000000000000a2"), fleet.now)
        fleet.run(2.5)
        assert fleet.read_gauges() == {"cordoned": 2}
        (oldest,) = fleet.read_gauges("oldest_stall_seconds").values()
        assert 6.0 <= oldest <= 7.5


class TestNoStall:
    def check(self, fleet: StallingFleet) -> None:
        fleet.run(5.0)
        assert sum(fleet.read_gauges().values()) == 0

    def test_full_pool(self):
        """Guards against alarms for tasks that only wait for their turn."""
        fleet = make_fleet(1)
        fleet.dispatcher.add_job(make_job(steps=[make_step(8)]), fleet.now)
        self.check(fleet)

    def test_pool_with_room_for_one_task_only(self):
        """Guards against alarms while workers have room for one task more."""
        fleet = make_fleet(1)
        fleet.worker_records[0].is_cordoned = True
        step = make_step(need=Resources(9.0, 8.0, 0))
        fleet.dispatcher.add_job(make_job(steps=[step]), fleet.now)
        self.check(fleet)

    def test_pool_that_is_half_used(self):
        """Guards against alarms while a move or an upkeep takes room of a busy pool."""
        fleet = make_fleet(2)
        fleet.worker_records[0].is_cordoned = True
        fleet.dispatcher.add_job(make_job(steps=[make_step(5)]), fleet.now)
        self.check(fleet)

    def test_account_at_its_limit(self):
        """Guards against alarms for tasks that their account's limit holds back."""
        fleet = make_fleet(3, limit=Resources(4.0, 0, 0))
        fleet.dispatcher.add_job(make_job(steps=[make_step(2)]), fleet.now)
        self.check(fleet)

    def test_unsuitable_workers(self):
        """Guards against alarms for tasks whose label no worker has."""
        fleet = make_fleet()
        step = make_step(required_label="gpu")
        fleet.dispatcher.add_job(make_job(steps=[step]), fleet.now)
        self.check(fleet)

    def test_workers_that_drain(self):
        """Guards against alarms for a pool whose VMs are going away."""
        fleet = make_fleet()
        for worker in fleet.worker_records:
            worker.listed = worker.listed._replace(is_draining=True)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        self.check(fleet)

    def test_spread_step_with_a_task_on_each_worker(self):
        """Guards against alarms for tasks that may not share a worker."""
        fleet = make_fleet(2)
        step = make_step(3, max_per_worker=1)
        fleet.dispatcher.add_job(make_job(steps=[step]), fleet.now)
        self.check(fleet)

    def test_steps_that_are_not_ready(self):
        """Guards against alarms for steps that wait for others."""
        fleet = make_fleet()
        steps = [make_step(), make_step(after=(0,))]
        fleet.dispatcher.add_job(make_job(steps=steps), fleet.now)
        self.check(fleet)


class TestReports:
    def test_line_is_repeated_each_five_seconds(self, log):
        """Guards against a line each second for as long as a pool stalls."""
        fleet = make_fleet()
        for worker in fleet.worker_records:
            worker.is_cordoned = True
        for number in range(20):
            fleet.dispatcher.add_job(make_job(f"{number:016x}"), fleet.now)
        fleet.run(14.0)
        assert len(read_lines(log)) == 3

    def test_gauges_return_to_zero(self, log):
        """Guards against an alarm that stays once the pool has gone on."""
        fleet = make_fleet()
        for worker in fleet.worker_records:
            worker.is_cordoned = True
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.run(5.0)
        assert fleet.read_gauges() == {"cordoned": 1}
        for worker in fleet.worker_records:
            worker.is_cordoned = False
        fleet.run(2.0)
        assert fleet.read_gauges() == {"cordoned": 0}
        assert fleet.read_gauges("oldest_stall_seconds") == {"cordoned": 0}
        assert len(read_lines(log, "pool stall ended")) == 1

    def test_line_is_never_cut_off(self, log):
        """Guards against a line whose end an operator's tool cuts off."""
        fleet = make_fleet()
        fleet.dispatcher.add_job(make_job("e9d334a977f9939c"), fleet.now)
        (record,) = fleet.dispatcher.job_by_id.values()
        blocked = {reason.value: 1200 for reason in StartBlock}
        task = record.tasks_by_stage[0, 0][0]
        reason = max(StartHold, key=len).value
        log_stall(PoolStall("twelve-chars", reason, 9, task, 999.9, blocked, 1200))
        (line,) = [r for r in log.records if r.getMessage() == "pool stalled"]
        assert len(KeyValueFormatter().format(line)) <= MAX_LINE_WIDTH


class TestEndOfOwnership:
    def test_gauges_return_to_zero(self):
        """Guards against a former owner that reports stalls for good."""
        fleet = make_fleet()
        for worker in fleet.worker_records:
            worker.is_cordoned = True
        fleet.dispatcher.add_job(make_job(), fleet.now)
        session = SimpleNamespace(
            dispatcher=fleet.dispatcher,
            clock=SimpleNamespace(now=lambda: fleet.now),
            lease=OwnLease(1, fleet.now),
            ports=SimpleNamespace(metrics=fleet.metrics),
            wake=asyncio.Event(),
            store_wake=asyncio.Event(),
            may_order=lambda: True,
        )
        seen = []

        async def run_until_stalled():
            running = asyncio.ensure_future(RunOrders(session, None).run())
            while 1.0 not in fleet.read_gauges().values():
                fleet.advance(STEP_SECONDS)
                fleet.poll_all()
                session.lease = OwnLease(1, fleet.now)
                session.wake.set()
                await asyncio.sleep(0.01)
            seen.append(fleet.read_gauges())
            running.cancel()
            await asyncio.wait([running])

        asyncio.run(asyncio.wait_for(run_until_stalled(), 10.0))
        assert seen == [{"cordoned": 1}]
        assert fleet.read_gauges() == {"cordoned": 0}
