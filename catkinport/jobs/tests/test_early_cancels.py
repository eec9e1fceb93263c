"""Tests of cancellations that find no job."""

import asyncio
import json

import pytest

from ...ports import NotRun, Reason, Unavailable, Unknown
from ...ports.async_table import Snapshot
from ...ports.table import Committed, Conflict, Row
from ..configuration import AcceptedRules
from ..early_cancels import KEEP_SECONDS, EarlyCancels
from ..intake import Absent, Accepted, Intake
from ..tables import early_cancel_key, job_key
from .builders import JOB_ID, QUEUE, make_configuration, make_job

ACCOUNT = "studio"
JOB = make_job()._replace(accepted_at=1.0)
RULES = AcceptedRules(make_configuration().queue_by_name[QUEUE], 1)


class FakeTable:
    """Table service that can leave commits unanswered and carry them out later.

    Attributes:
        row_by_key: all rows.
        n_unanswered: number of the next commits without an answer.
        late: these commits.
    """

    def __init__(self):
        self.row_by_key = {}
        self.n_unanswered = 0
        self.late = []
        self._version = 0

    async def read_range(self, table, start="", end=""):
        rows = [
            row
            for key, row in self.row_by_key.items()
            if key.table == table and start <= key.key < end
        ]
        return Snapshot(rows, self._version)

    async def commit(self, transaction):
        if self.n_unanswered:
            self.n_unanswered -= 1
            self.late.append(transaction)
            return Unavailable(Reason.TIMEOUT, "commit", "t", "", True)
        return self.carry_out(transaction)

    def carry_out(self, transaction):
        differing = {}
        rows = []
        for key, version in transaction.conditions:
            row = self.row_by_key.get(key)
            rows += [row] if row else []
            if (row.version if row else 0) != version:
                differing[key] = row.version if row else 0
        if differing:
            return Conflict(differing, "commit", "t", rows)
        self._version += 1
        for key, value in transaction.writes:
            if value is None:
                self.row_by_key.pop(key)
            else:
                stored = json.loads(json.dumps(value))
                self.row_by_key[key] = Row(key, self._version, stored)
        return Committed({write.row_key: self._version for write in transaction.writes})

    def carry_out_late(self):
        for transaction in self.late:
            self.carry_out(transaction)


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def intake(table):
    return Intake(table, lambda: True)


def submit(intake, job=JOB):
    return asyncio.run(intake.submit(job, RULES))


def cancel(intake, account=ACCOUNT):
    return asyncio.run(intake.cancel(JOB_ID, account, QUEUE))


class TestLateSubmission:
    def test_it_is_not_stored_after_its_cancellation(self, table, intake):
        """Guards against a job that runs after its cancellation was answered 410."""
        table.n_unanswered = 2
        assert isinstance(submit(intake), Unknown)
        assert cancel(intake) == Absent()
        table.carry_out_late()
        assert job_key(JOB_ID) not in table.row_by_key

    def test_repeated_submission_is_refused(self, table, intake):
        """Guards against a job that is accepted, but was canceled before."""
        cancel(intake)
        outcome = submit(intake)
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.CANCELED
        assert job_key(JOB_ID) not in table.row_by_key

    def test_cancellation_by_another_account_does_not_count(self, table, intake):
        """Guards against callers that block the jobs of others."""
        cancel(intake, "other")
        assert submit(intake) == Accepted(is_repeat=False)

    def test_job_is_not_accepted_as_that_cancellation_goes(
        self, table, intake, monkeypatch
    ):
        """Guards against an acceptance of a job that is not stored."""
        cancel(intake, "other")
        carry_out = table.carry_out

        def carry_out_and_remove(transaction):
            outcome = carry_out(transaction)
            table.row_by_key.clear()
            return outcome

        monkeypatch.setattr(table, "carry_out", carry_out_and_remove)
        assert isinstance(submit(intake), NotRun)
        assert submit(intake) == Accepted(is_repeat=False)

    def test_unanswered_cancellation_is_not_taken_for_stored(self, table, intake):
        """Guards against status 410 before the job can't be stored any more."""
        table.n_unanswered = 2
        assert isinstance(cancel(intake), Unknown)
        assert cancel(intake) == Absent()

    def test_repeated_cancellation_gets_the_same_answer(self, intake):
        assert cancel(intake) == Absent()
        assert cancel(intake) == Absent()

    def test_job_of_another_account_stays_absent(self, table, intake):
        """Guards against an answer that shows the ids of other accounts."""
        submit(intake)
        assert cancel(intake, "other") == Absent()
        assert early_cancel_key(JOB_ID) not in table.row_by_key


class TestRemoval:
    def test_outdated_cancellation_is_removed(self, table):
        """Guards against a table that grows with every cancellation."""
        now = 0.0
        cancels = EarlyCancels(table, lambda: now)
        for n in range(5):
            asyncio.run(cancels.store(f"{n:016x}", ACCOUNT, QUEUE))
            now += KEEP_SECONDS / 2
        assert [key.key[-1] for key in table.row_by_key] == ["3", "4"]
