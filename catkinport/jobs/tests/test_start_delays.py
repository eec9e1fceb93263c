"""Tests of the log lines on tasks that could start and still wait."""

import logging
import re

import pytest

from ...policy.resources import NO_RESOURCES, Resources
from ...policy.worker_choice import CandidateWorker
from ...runtime.logs import KeyValueFormatter
from ..configuration import ApprovalTerms
from ..dispatch.record import JobRecord
from ..placement.start_delays import MAX_LINE_WIDTH, StartDelays
from ..placement.task_needs import task_need
from ..workers.worker_state import StartBlock
from .builders import (
    JOB_ID,
    QUEUE,
    Fleet,
    make_configuration,
    make_job,
    make_step,
    make_worker,
)

EVENT = "task start delayed"


@pytest.fixture
def log(caplog):
    caplog.set_level(logging.INFO)
    return caplog


def wait(fleet: Fleet, seconds: float) -> None:
    for _ in range(round(seconds / 0.25)):
        fleet.advance(0.25)
        fleet.poll_all()
        fleet.plan()


def read_lines(log) -> list[dict]:
    return [r.event_fields for r in log.records if r.getMessage() == EVENT]


class TestStartDelays:
    def test_missing_room_is_named(self, log):
        """Guards against a task that waits without a line that says for what."""
        fleet = Fleet([make_worker()])
        big = make_step(need=Resources(1.0, 300.0, 0), is_lasting=True)
        fleet.dispatcher.add_job(make_job(steps=[big]), fleet.now)
        fleet.plan()
        wait(fleet, 0.75)
        assert read_lines(log) == []
        wait(fleet, 0.5)
        (line,) = read_lines(log)
        assert line["request_id"] == JOB_ID
        assert line["reason"] == "no-room:memory"

    def test_blocked_workers_are_counted_by_reason(self, log):
        """Guards against a blocked pool whose log shows no cause."""
        fleet = Fleet([make_worker(f"w{i}") for i in range(3)])
        workers = list(fleet.dispatcher.worker_by_id.values())
        workers[0].is_cordoned = workers[1].is_cordoned = True
        workers[2].is_reserved = True
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.plan()
        wait(fleet, 1.25)
        (line,) = read_lines(log)
        assert line["reason"] == "no-worker"
        assert line["blocked"] == "cordoned:2,reserved:1"

    def test_limit_of_the_account_is_named(self, log):
        """Guards against a limit that looks like missing room."""
        fleet = Fleet([make_worker()], limit=Resources(4.0, 0, 0))
        fleet.dispatcher.add_job(make_job(steps=[make_step(2)]), fleet.now)
        fleet.start()
        wait(fleet, 1.25)
        assert [line["reason"] for line in read_lines(log)] == ["account-limit"]

    def test_lines_are_bounded(self, log):
        """Guards against a long wait, or many waiting jobs, that fill the log."""
        fleet = Fleet([])
        for number in range(50):
            fleet.dispatcher.add_job(make_job(f"{number:016x}"), fleet.now)
        fleet.plan()
        wait(fleet, 4.0)
        lines = read_lines(log)
        assert 0 < len(lines) <= 40
        jobs = [line["request_id"] for line in lines]
        assert len(jobs) == len(set(jobs))

    def test_change_of_reason_is_logged_once_a_second_at_most(self, log):
        """Guards against a reason that changes each round and fills the log."""
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(
            make_job(steps=[make_step(need=Resources(1.0, 300.0, 0))]), fleet.now
        )
        (worker,) = fleet.dispatcher.worker_by_id.values()
        fleet.plan()
        for _ in range(12):
            worker.is_cordoned = not worker.is_cordoned
            wait(fleet, 0.25)
        assert 2 <= len(read_lines(log)) <= 3


class TestHeldTasks:
    def test_workers_with_broken_contact_are_counted(self, log):
        """Guards against workers that get no tasks and appear in no count.

        While the lease is in doubt, a worker that has left a poll unanswered since the
        last renewal gets none, although nothing else blocks it.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        renewed_at = fleet.now
        fleet.advance(0.25)
        for worker in fleet.dispatcher.worker_by_id.values():
            worker.note_no_answer()
        for _ in range(6):
            fleet.advance(0.25)
            fleet.poll_all()
            assert fleet.plan(learned_before=renewed_at) == []
        (line,) = read_lines(log)
        assert line["reason"] == "no-worker"
        assert line["blocked"] == "contact-broken:2"

    def test_missing_approval_is_no_missing_worker(self, log):
        """Guards against "no-worker" in a pool whose workers lack only approvals."""
        fleet = Fleet([make_worker()])
        configuration = make_configuration(version=2)
        queue = configuration.queue_by_name[QUEUE]
        queue = queue._replace(approval=ApprovalTerms(10.0))
        fleet.dispatcher.apply_configuration(
            configuration._replace(queue_by_name={QUEUE: queue})
        )
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.plan()
        wait(fleet, 1.25)
        (line,) = read_lines(log)
        assert line["reason"] == "no-approval"


BLOCKED_POOL = "twelve-chars"
EVACUATED_ZONE = "evacuated-zone"


def block(worker, reason: StartBlock, now: float) -> None:
    """Let one reason keep new tasks from a worker."""
    worker.is_listed = reason is not StartBlock.NOT_LISTED
    worker.is_enrolled = reason is not StartBlock.NOT_ENROLLED
    is_draining = reason is StartBlock.DRAINING
    worker.listed = worker.listed._replace(is_draining=is_draining)
    if reason is StartBlock.EVACUATED:
        worker.listed = worker.listed._replace(zone=EVACUATED_ZONE)
    worker.is_reserved = reason is StartBlock.RESERVED
    worker.is_cordoned = reason is StartBlock.CORDONED
    if reason is StartBlock.OUT_OF_CONTACT:
        worker.note_no_answer()
    if reason is StartBlock.PAUSED:
        worker.blocked_until = now + 1.0
    if reason is StartBlock.QUARANTINED:
        worker.quarantined_until = now + 1.0
    if reason is StartBlock.OTHER_INCARNATION:
        worker.listed = worker.listed._replace(started_at=2.0)
    if reason is StartBlock.ROOM_UNKNOWN:
        worker.listed_at = now - 60.0


def log_delay(rooms: list[CandidateWorker], n_workers: int) -> None:
    """Log the wait of a task of a pool whose workers are blocked for all reasons."""
    workers = [make_worker(f"w{i}", pool=BLOCKED_POOL) for i in range(n_workers)]
    fleet = Fleet(workers)
    fleet.dispatcher.evacuated_zones.add(EVACUATED_ZONE)
    reasons = list(StartBlock)
    for number, worker in enumerate(fleet.dispatcher.worker_by_id.values()):
        block(worker, reasons[number % len(reasons)], fleet.now)
    job = make_job("e9d334a977f9939c", steps=[make_step(400)] * 13)
    task = JobRecord(job).tasks_by_stage[0, 12][399]
    delays = StartDelays(fleet.dispatcher)
    delays.note(task, task_need(task), BLOCKED_POOL, fleet.now - 3600.0, rooms)
    delays.end_round()
    delays.note(task, task_need(task), BLOCKED_POOL, fleet.now, rooms)


class TestWidthOfLines:
    @pytest.mark.parametrize("n_workers", [9, 1200])
    @pytest.mark.parametrize("rooms", [[], [CandidateWorker("w", (), NO_RESOURCES)]])
    def test_line_is_never_cut_off(self, log, rooms, n_workers):
        """Guards against a line whose end an operator's tool cuts off."""
        log_delay(rooms, n_workers)
        (record,) = [r for r in log.records if r.getMessage() == EVENT]
        assert len(KeyValueFormatter().format(record)) <= MAX_LINE_WIDTH
        assert sum_counts(record.event_fields["blocked"]) == n_workers

    def test_what_decides_comes_first(self, log):
        """Guards against ids that push the cause to the end of the line."""
        log_delay([], 9)
        (record,) = [r for r in log.records if r.getMessage() == EVENT]
        assert list(record.event_fields)[:3] == ["reason", "blocked", "seconds"]


def sum_counts(text: str) -> int:
    return sum(int(re.split(r"[:+]", part)[-1]) for part in text.split(","))
