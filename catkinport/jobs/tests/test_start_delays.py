"""Tests of the log lines on tasks that could start and still wait."""

import logging

import pytest

from ...policy.resources import Resources
from .builders import JOB_ID, Fleet, make_job, make_step, make_worker

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
