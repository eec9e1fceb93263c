"""Tests of the log of workers that get out of contact."""

import logging

import pytest

from ...ports import Reason, Unavailable
from ...ports.fleet_workers import WorkerLists
from ...runtime.logs import KeyValueFormatter
from ..ownership.worker_contacts import MAX_LINES_PER_SECOND, WorkerContacts
from ..placement.start_delays import MAX_LINE_WIDTH
from .builders import POOL, Fleet, make_worker
from .test_worker_watch import LOST, poll

NO_ANSWER = Unavailable(Reason.TIMEOUT, "worker-hold", "w0", "", True)
ANSWER = WorkerLists(1.0, [], [])


@pytest.fixture
def log(caplog):
    caplog.set_level(logging.INFO)
    return caplog


def read_lines(log, event: str) -> list[dict]:
    return [r.event_fields for r in log.records if r.getMessage() == event]


class ContactFleet(Fleet):
    """A fleet whose polls are noted."""

    def __init__(self, n_workers: int) -> None:
        super().__init__([make_worker(f"w{number}") for number in range(n_workers)])
        self._contacts = WorkerContacts(self.dispatcher)

    def note(self, outcome, worker_id: str = "w0") -> None:
        worker = self.dispatcher.worker_by_id[worker_id]
        self._contacts.note(worker, outcome, self.now)
        if outcome is ANSWER:
            self.poll(worker_id)


class TestLostContact:
    def test_reason_and_number_are_logged_once(self, log):
        """Guards against a pool out of contact whose log does not say why."""
        fleet = ContactFleet(3)
        fleet.advance(1.2)
        fleet.note(NO_ANSWER)
        fleet.note(NO_ANSWER)
        fleet.note(NO_ANSWER, "w1")
        lines = read_lines(log, "worker contact lost")
        assert [line["worker"] for line in lines] == ["w0", "w1"]
        assert [line["out_of_contact"] for line in lines] == ["1/3", "2/3"]
        assert lines[0]["reason"] == "timeout"
        assert lines[0]["seconds"] == 1.2
        assert lines[0]["pool"] == POOL

    def test_lines_are_bounded(self, log):
        """Guards against a lost pool of hundreds of workers that fills the log."""
        n_workers = MAX_LINES_PER_SECOND + 30
        fleet = ContactFleet(n_workers)
        for number in range(n_workers):
            fleet.note(NO_ANSWER, f"w{number}")
        lines = read_lines(log, "worker contact lost")
        assert len(lines) == MAX_LINES_PER_SECOND
        fleet.advance(1.0)
        fleet.note(ANSWER)
        (line,) = read_lines(log, "worker contact restored")
        assert line["unlogged"] == 30

    def test_line_is_never_cut_off(self, log):
        """Guards against a line whose end an operator's tool cuts off."""
        worker = make_worker("i-0123456789abcdef0", pool="twelve-chars")
        fleet = Fleet([worker])
        (record,) = fleet.dispatcher.worker_by_id.values()
        outcome = NO_ANSWER._replace(reason=max(Reason, key=len))
        WorkerContacts(fleet.dispatcher).note(record, outcome, fleet.now + 9999.99)
        (line,) = [r for r in log.records if r.getMessage() == "worker contact lost"]
        assert len(KeyValueFormatter().format(line)) <= MAX_LINE_WIDTH


class TestRestoredContact:
    def test_seconds_without_contact_are_logged(self, log):
        """Guards against a loss of contact whose length is unknown."""
        fleet = ContactFleet(2)
        fleet.note(NO_ANSWER)
        fleet.advance(2.5)
        fleet.note(ANSWER)
        fleet.note(ANSWER)
        (line,) = read_lines(log, "worker contact restored")
        assert line["seconds"] == 2.5
        assert line["out_of_contact"] == "0/2"

    def test_late_answer_is_logged(self, log):
        """Guards against answers that all come late, so that no worker gets a task.

        Each poll is answered, so no failed poll tells of it.
        """
        fleet = ContactFleet(1)
        fleet.note(ANSWER)
        fleet.advance(1.9)
        fleet.note(ANSWER)
        (line,) = read_lines(log, "worker contact restored")
        assert (line["reason"], line["seconds"]) == ("late-answer", 1.9)

    def test_first_answer_is_no_restored_contact(self, log):
        """Guards against a line for each new worker."""
        fleet = ContactFleet(1)
        (worker,) = fleet.dispatcher.worker_by_id.values()
        worker.contact_at = float("-inf")
        fleet.note(ANSWER)
        assert read_lines(log, "worker contact restored") == []


class TestHook:
    def test_polls_are_noted(self, log):
        """Guards against polls whose outcomes the log leaves out."""
        poll(Fleet([make_worker("w1")]), LOST, ANSWER)
        events = [r.getMessage() for r in log.records]
        assert "worker contact lost" in events
        assert events[-1] == "worker contact restored"
