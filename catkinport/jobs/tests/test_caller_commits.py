"""Tests of submissions and cancellations whose outcome is unknown at first."""

import asyncio

import pytest

from ...ports import NotRun, Reason, Unavailable, Unknown
from ...runtime import Metrics
from ..caller_commits import MAX_WAITING_CALLS, SURE_ATTEMPTS, CallerCommits
from ..configuration import AcceptedRules
from ..intake import Absent, Accepted, Canceled, Intake
from ..tables import cancel_key, job_key
from .builders import ACCOUNT, JOB_ID, QUEUE, make_configuration, make_job
from .test_early_cancels import FakeTable
from .virtual_time import run_in_virtual_time

JOB = make_job()._replace(accepted_at=1.0)
RULES = AcceptedRules(make_configuration().queue_by_name[QUEUE], 1)

ANSWER_BY = 2.85
"""Time of the virtual clock, which begins at 0, by which calls are answered."""

LOST = Unavailable(Reason.CONNECTION_LOST, "table-commit", "store", "", True)
NOT_CONNECTED = Unavailable(Reason.CONNECT_FAILED, "table-commit", "store")


class UnsoundTable(FakeTable):
    """Table service whose first commits get the outcomes of a script.

    Attributes:
        faults: outcomes of the next commits.
        are_carried_out: whether these commits take effect all the same.
        sound_from: time from which on commits are answered; before, each gets `LOST`
            and is carried out late by `carry_out_late`.
        answer_seconds: time until a commit is answered.
        sent_at: times of all commits.
    """

    def __init__(self, faults=(), are_carried_out=False):
        super().__init__()
        self.faults = list(faults)
        self.are_carried_out = are_carried_out
        self.sound_from = 0.0
        self.answer_seconds = 0.0
        self.sent_at = []

    async def commit(self, transaction):
        now = asyncio.get_running_loop().time()
        self.sent_at.append(now)
        await asyncio.sleep(self.answer_seconds)
        if self.faults:
            fault = self.faults.pop(0)
            if fault.may_have_committed and self.are_carried_out:
                self.carry_out(transaction)
            elif fault.may_have_committed:
                self.late.append(transaction)
            return fault
        if now < self.sound_from:
            self.late.append(transaction)
            return LOST
        return await super().commit(transaction)


class Calls:
    """Calls of one daemon, each with the time at which it ended."""

    def __init__(self, table, max_waiting=MAX_WAITING_CALLS):
        self.table = table
        self.metrics = Metrics()
        commits = CallerCommits(self.metrics, max_waiting)
        self.intake = Intake(table, lambda: True, commits)

    async def submit(self, job=JOB, answer_by=ANSWER_BY):
        outcome = await self.intake.submit(job, RULES, answer_by)
        return outcome, asyncio.get_running_loop().time()

    async def cancel(self):
        outcome = await self.intake.cancel(JOB_ID, ACCOUNT, QUEUE, ANSWER_BY)
        return outcome, asyncio.get_running_loop().time()

    def n_outcomes(self, result):
        text = self.metrics.render()[0].decode()
        lines = [x for x in text.splitlines() if x.startswith("late_outcomes{")]
        return sum(float(x.split()[-1]) for x in lines if f'"{result}"' in x)


def submit(table, **arguments):
    return run_in_virtual_time(Calls(table).submit(**arguments))


class TestSubmission:
    def test_a_lost_answer_is_found_out(self):
        """Guards against status 504 for a job that is stored."""
        calls = Calls(UnsoundTable([LOST] * 3, are_carried_out=True))
        outcome, ended_at = run_in_virtual_time(calls.submit())
        assert outcome == Accepted(is_repeat=False)
        assert ended_at < 0.5
        assert calls.n_outcomes("stored") == 1

    def test_a_connection_that_is_reset_before_the_write_is_repeated(self):
        """Guards against status 504 some milliseconds after a call.

        The store reset its connections, and both attempts followed at once.
        """
        table = UnsoundTable([LOST] * 3)
        outcome, ended_at = submit(table)
        assert outcome == Accepted(is_repeat=False)
        assert ended_at < 0.5
        table.carry_out_late()
        assert table.row_by_key[job_key(JOB_ID)].version == 1

    def test_a_store_that_is_back_after_a_second_is_used(self):
        """Guards against calls that fail with most of their time left."""
        table = UnsoundTable()
        table.sound_from = 1.0
        outcome, ended_at = submit(table)
        assert outcome == Accepted(is_repeat=False)
        assert 1.0 <= ended_at < 1.5
        pauses = [b - a for a, b in zip(table.sent_at, table.sent_at[1:], strict=False)]
        assert pauses == sorted(pauses)

    def test_a_late_write_that_is_carried_out_after_the_repetition_has_no_effect(self):
        """Guards against a job that is stored twice, or over another row."""
        table = UnsoundTable([LOST])
        assert submit(table)[0] == Accepted(is_repeat=False)
        rows = dict(table.row_by_key)
        table.carry_out_late()
        assert table.row_by_key == rows

    def test_it_is_unknown_at_the_deadline(self):
        """Guards against answers that come after the caller has gone."""
        table = UnsoundTable()
        table.sound_from = 100.0
        outcome, ended_at = submit(table)
        assert isinstance(outcome, Unknown)
        assert ended_at == pytest.approx(ANSWER_BY)
        assert len(table.sent_at) < 20

    def test_an_attempt_without_an_answer_ends_at_the_deadline(self):
        """Guards against a wait for the timeout of the store."""
        table = UnsoundTable()
        table.answer_seconds = 10.0
        outcome, ended_at = submit(table)
        assert isinstance(outcome, Unknown)
        assert ended_at == pytest.approx(ANSWER_BY)

    def test_nothing_is_sent_after_the_deadline(self):
        """Guards against an unknown outcome of a call that came too late."""
        table = UnsoundTable()
        outcome, _ = submit(table, answer_by=0.0)
        assert isinstance(outcome, NotRun)
        assert not table.sent_at

    def test_it_is_refused_at_once_if_no_attempt_had_an_effect(self):
        """Guards against callers that wait where another daemon could serve them."""
        table = UnsoundTable([NOT_CONNECTED] * SURE_ATTEMPTS)
        outcome, ended_at = submit(table)
        assert isinstance(outcome, NotRun)
        assert ended_at == 0.0

    def test_it_is_not_refused_once_an_attempt_may_have_had_an_effect(self):
        """Guards against status 503 for a job that the store still stores."""
        table = UnsoundTable([LOST] + [NOT_CONNECTED] * 100)
        outcome, ended_at = submit(table)
        assert isinstance(outcome, Unknown)
        assert ended_at == pytest.approx(ANSWER_BY)
        table.carry_out_late()
        assert job_key(JOB_ID) in table.row_by_key

    def test_a_cancellation_during_the_wait_prevents_it(self):
        """Guards against a refusal although an earlier attempt may be stored yet.

        The cancellation may be removed before the store carries that attempt out.
        """

        async def run():
            submission = asyncio.ensure_future(calls.submit())
            await asyncio.sleep(0.5)
            table.sound_from = 0.0
            canceled, _ = await calls.cancel()
            return canceled, *(await submission)

        table = UnsoundTable()
        table.sound_from = 100.0
        calls = Calls(table)
        canceled, outcome, ended_at = run_in_virtual_time(run())
        assert canceled == Absent()
        assert isinstance(outcome, Unknown)
        assert ended_at < 1.5
        table.carry_out_late()
        assert job_key(JOB_ID) not in table.row_by_key


class TestManyCalls:
    def test_calls_beyond_the_limit_do_not_wait(self):
        """Guards against an outage that piles up calls and their memory."""

        async def run():
            jobs = [JOB._replace(job_id=f"{n:016x}") for n in range(5)]
            return await asyncio.gather(*(calls.submit(job) for job in jobs))

        table = UnsoundTable()
        table.sound_from = 100.0
        calls = Calls(table, max_waiting=3)
        results = run_in_virtual_time(run())
        assert all(isinstance(outcome, Unknown) for outcome, _ in results)
        ends = [ended_at for _, ended_at in results]
        assert ends == pytest.approx([ANSWER_BY] * 3 + [0.0] * 2)
        assert calls.n_outcomes("limit") == 2
        assert calls.n_outcomes("unknown") == 3

    def test_calls_end_when_the_daemon_stops(self):
        """Guards against a stop that cuts off calls, and against calls after it."""

        async def run():
            submission = asyncio.ensure_future(calls.submit(answer_by=30.0))
            await asyncio.sleep(0.5)
            calls.intake.end_by(1.0)
            ended = await submission
            await asyncio.sleep(0.1)
            return ended, await calls.submit()

        table = UnsoundTable()
        table.sound_from = 100.0
        calls = Calls(table)
        (outcome, ended_at), (later, _) = run_in_virtual_time(run())
        assert isinstance(outcome, Unknown)
        assert ended_at == pytest.approx(1.0)
        assert isinstance(later, NotRun)


class TestCancellation:
    def test_a_lost_answer_is_found_out(self):
        """Guards against status 504 for a cancellation that is stored."""
        table = UnsoundTable()
        submit(table)
        table.faults = [LOST] * 3
        table.are_carried_out = True
        outcome, ended_at = run_in_virtual_time(Calls(table).cancel())
        assert outcome == Canceled()
        assert ended_at < 0.5
        assert cancel_key(JOB_ID) in table.row_by_key

    def test_one_that_finds_no_job_is_repeated_until_known(self):
        """Guards against status 504 with most of the time left."""
        table = UnsoundTable()
        table.sound_from = 1.0
        outcome, ended_at = run_in_virtual_time(Calls(table).cancel())
        assert outcome == Absent()
        assert 1.0 <= ended_at < 1.5

    def test_it_is_unknown_at_the_deadline(self):
        """Guards against status 410 or 503 while it may be stored yet."""
        table = UnsoundTable()
        submit(table)
        table.sound_from = 100.0
        outcome, ended_at = run_in_virtual_time(Calls(table).cancel())
        assert isinstance(outcome, Unknown)
        assert ended_at == pytest.approx(ANSWER_BY)

    def test_it_is_refused_if_the_state_is_not_read_in_time(self):
        """Guards against an unknown outcome where nothing was sent."""

        async def read_range(*_):
            await asyncio.sleep(10.0)

        table = UnsoundTable()
        table.read_range = read_range
        outcome, ended_at = run_in_virtual_time(Calls(table).cancel())
        assert isinstance(outcome, NotRun)
        assert ended_at == pytest.approx(ANSWER_BY)
        assert not table.sent_at
