"""Tests of cancellations that find no job."""

import json

import pytest

from ...ports import NotRun, Reason, Unavailable, Unknown
from ...ports.async_table import Snapshot
from ...ports.clock import ManualClock
from ...ports.table import Committed, Conflict, Row
from ...runtime import Metrics
from ..caller_commits import CallerCommits
from ..configuration import AcceptedRules
from ..early_cancels import (
    KEEP_SECONDS,
    MAX_STORED_PER_CALLER,
    EarlyCancels,
    Prevented,
)
from ..intake import Absent, Accepted, IdInUse, Intake
from ..ownership.early_cancel_removal import MAX_ROWS_PER_COMMIT, EarlyCancelRemoval
from ..tables import EARLY_CANCELS_TABLE, job_key
from .builders import JOB_ID, QUEUE, make_configuration, make_job
from .virtual_time import run_in_virtual_time

ACCOUNT = "studio"
OPEN = ""
"""Account of a call on a queue that needs no key."""

ANSWER_BY = 2.85
"""Time of the virtual clock, which begins at 0, by which calls are answered."""

JOB = make_job()._replace(accepted_at=1.0)
RULES = AcceptedRules(make_configuration().queue_by_name[QUEUE], 1)


class FakeTable:
    """Table service that can leave commits unanswered and carry them out later.

    Attributes:
        row_by_key: all rows.
        is_silent: whether commits that could be carried out at once have no answer. The
            others are answered, as their condition fails.
        late: these commits.
    """

    def __init__(self):
        self.row_by_key = {}
        self.is_silent = False
        self.late = []
        self._version = 0

    async def read_range(self, table, start="", end=""):
        rows = [
            row
            for key, row in self.row_by_key.items()
            if key.table == table and start <= key.key and (not end or key.key < end)
        ]
        return Snapshot(rows, self._version)

    async def commit(self, transaction):
        if self.is_silent and not self.find_differing(transaction):
            self.late.append(transaction)
            return Unavailable(Reason.TIMEOUT, "commit", "t", "", True)
        return self.carry_out(transaction)

    def find_differing(self, transaction):
        version_by_key = {
            key: self.row_by_key[key].version if key in self.row_by_key else 0
            for key, _ in transaction.conditions
        }
        return {
            key: version_by_key[key]
            for key, version in transaction.conditions
            if version_by_key[key] != version
        }

    def carry_out(self, transaction):
        differing = self.find_differing(transaction)
        if differing:
            keys = [key for key, _ in transaction.conditions]
            rows = [self.row_by_key[key] for key in keys if key in self.row_by_key]
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

    def early_cancel_keys(self):
        return {key for key in self.row_by_key if key.table == EARLY_CANCELS_TABLE}


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def intake(table):
    return Intake(table, lambda: True, CallerCommits(Metrics()))


def submit(intake, job=JOB):
    return run_in_virtual_time(intake.submit(job, RULES, ANSWER_BY))


def cancel(intake, account=ACCOUNT, queue=QUEUE):
    return run_in_virtual_time(intake.cancel(JOB_ID, account, queue, ANSWER_BY))


class TestLateSubmission:
    def test_it_is_not_stored_after_its_cancellation(self, table, intake):
        """Guards against a job that runs after its cancellation was answered 410."""
        table.is_silent = True
        assert isinstance(submit(intake), Unknown)
        table.is_silent = False
        assert cancel(intake) == Absent()
        table.carry_out_late()
        assert job_key(JOB_ID) not in table.row_by_key

    def test_the_cancellation_of_another_account_is_not_taken_for_its_own(
        self, table, intake
    ):
        """Guards against status 410 for a job whose late write can still succeed.

        The submission passed over the row of the other account, and the cancellation
        took that row for its own.
        """
        cancel(intake, "other")
        table.is_silent = True
        assert isinstance(submit(intake), Unknown)
        table.is_silent = False
        assert cancel(intake) == Absent()
        table.carry_out_late()
        assert job_key(JOB_ID) not in table.row_by_key

    @pytest.mark.parametrize(
        ("submitting", "earlier", "asking"),
        [
            ((ACCOUNT, QUEUE), (ACCOUNT, "other-queue"), (ACCOUNT, QUEUE)),
            ((OPEN, QUEUE), (ACCOUNT, "other-queue"), (ACCOUNT, QUEUE)),
            ((OPEN, QUEUE), (OPEN, "other-queue"), (OPEN, QUEUE)),
            ((ACCOUNT, QUEUE), (OPEN, "other-queue"), (OPEN, QUEUE)),
        ],
    )
    def test_a_cancellation_prevents_each_job_that_its_caller_may_see(
        self, table, intake, submitting, earlier, asking
    ):
        """Guards against late jobs of queues that are opened or closed meanwhile."""
        account, queue = submitting
        cancel(intake, *earlier)
        table.is_silent = True
        submit(intake, JOB._replace(account=account, queue=queue))
        table.is_silent = False
        assert cancel(intake, *asking) == Absent()
        table.carry_out_late()
        assert job_key(JOB_ID) not in table.row_by_key

    def test_repeated_submission_is_refused(self, table, intake):
        """Guards against a job that is accepted, but was canceled before."""
        cancel(intake)
        outcome = submit(intake)
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.CANCELED
        assert job_key(JOB_ID) not in table.row_by_key

    def test_both_accounts_stay_canceled(self, table, intake):
        """Guards against a cancellation that replaces that of another account."""
        for account in (ACCOUNT, "other"):
            cancel(intake, account)
        for account in (ACCOUNT, "other"):
            outcome = submit(intake, JOB._replace(account=account))
            assert isinstance(outcome, NotRun)

    def test_cancellation_by_another_account_does_not_count(self, table, intake):
        """Guards against callers that block the jobs of others."""
        cancel(intake, "other")
        assert submit(intake) == Accepted(is_repeat=False)

    def test_job_is_not_held_up_as_that_cancellation_goes(
        self, table, intake, monkeypatch
    ):
        """Guards against an acceptance of a job that is not stored.

        Rows of other accounts come and go while a job is submitted.
        """
        cancel(intake, "other")
        carry_out = table.carry_out

        def carry_out_and_remove(transaction):
            for key in table.early_cancel_keys():
                del table.row_by_key[key]
            return carry_out(transaction)

        monkeypatch.setattr(table, "carry_out", carry_out_and_remove)
        assert submit(intake) == Accepted(is_repeat=False)
        assert job_key(JOB_ID) in table.row_by_key

    def test_unanswered_cancellation_is_not_taken_for_stored(self, table, intake):
        """Guards against status 410 before the job can't be stored any more."""
        table.is_silent = True
        assert isinstance(cancel(intake), Unknown)
        table.is_silent = False
        assert cancel(intake) == Absent()

    def test_repeated_cancellation_gets_the_same_answer(self, intake):
        assert cancel(intake) == Absent()
        assert cancel(intake) == Absent()

    def test_job_of_another_account_stays_absent(self, table, intake):
        """Guards against an answer that shows the ids of other accounts."""
        submit(intake)
        assert cancel(intake, "other") == Absent()
        assert not table.early_cancel_keys()


class TestIdOfAnotherAccount:
    def test_a_job_with_it_is_not_accepted(self, intake):
        """Guards against status 200 for a job that never runs.

        Each row of the id was taken for an earlier submission of the same job.
        """
        submit(intake)
        assert submit(intake, JOB._replace(account="other")) == IdInUse()
        assert submit(intake) == Accepted(is_repeat=True)


class TestLimit:
    def test_a_caller_stores_a_bounded_number(self, table):
        """Guards against a caller that fills the table service."""
        now = 0.0
        cancels = EarlyCancels(table, CallerCommits(Metrics()), lambda: now)

        def store(n, account=ACCOUNT):
            return run_in_virtual_time(
                cancels.store(f"{n:016x}", account, QUEUE, ANSWER_BY)
            )

        for n in range(MAX_STORED_PER_CALLER):
            assert store(n) == Prevented()
            now += 0.01
        n_rows = len(table.row_by_key)
        outcome = store(MAX_STORED_PER_CALLER)
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.LIMIT_REACHED
        assert outcome.retry_after_seconds == pytest.approx(KEEP_SECONDS - now)
        assert len(table.row_by_key) == n_rows
        assert store(MAX_STORED_PER_CALLER, "other") == Prevented()
        now = KEEP_SECONDS
        assert store(MAX_STORED_PER_CALLER) == Prevented()


class TestRemoval:
    @pytest.fixture
    def clock(self):
        return ManualClock(100.0)

    @pytest.fixture
    def removal(self, table, clock):
        return EarlyCancelRemoval(table, clock)

    def test_rows_of_an_ended_process_are_removed(self, table, clock, removal):
        """Guards against rows that stay for good once the process that wrote them ends.

        Each process removed its own rows only, one for each new one.
        """
        cancels = EarlyCancels(table, CallerCommits(Metrics()))
        for n in range(2 * MAX_ROWS_PER_COMMIT):
            account = f"account-{n}"
            run_in_virtual_time(
                cancels.store(f"{n % 3:016x}", account, QUEUE, ANSWER_BY)
            )
        run_in_virtual_time(removal.remove_outdated())
        clock.advance(KEEP_SECONDS - 1.0)
        run_in_virtual_time(removal.remove_outdated())
        assert len(table.row_by_key) > 2 * MAX_ROWS_PER_COMMIT
        clock.advance(1.0)
        run_in_virtual_time(removal.remove_outdated())
        assert not table.row_by_key

    def test_a_repeated_cancellation_is_kept_as_long_as_a_new_one(
        self, table, clock, removal
    ):
        """Guards against a late job that is stored as its cancellation is removed."""
        cancels = EarlyCancels(table, CallerCommits(Metrics()))
        for job_id in ("0" * 16, "0" * 15 + "1"):
            run_in_virtual_time(cancels.store(job_id, ACCOUNT, QUEUE, ANSWER_BY))
        run_in_virtual_time(removal.remove_outdated())
        clock.advance(KEEP_SECONDS)
        run_in_virtual_time(cancels.store("0" * 16, ACCOUNT, QUEUE, ANSWER_BY))
        run_in_virtual_time(removal.remove_outdated())
        assert {key.key[:16] for key in table.row_by_key} == {"0" * 16}

    def test_a_row_that_is_written_during_the_removal_is_kept(
        self, table, clock, removal, monkeypatch
    ):
        """Guards against one row that keeps the others of its partition for good."""
        cancels = EarlyCancels(table, CallerCommits(Metrics()))
        for n in range(3):
            run_in_virtual_time(cancels.store(f"{n:016x}", ACCOUNT, QUEUE, ANSWER_BY))
        run_in_virtual_time(removal.remove_outdated())
        clock.advance(KEEP_SECONDS)
        read_range = table.read_range

        async def read_then_write(*arguments):
            snapshot = await read_range(*arguments)
            await cancels.store(f"{1:016x}", ACCOUNT, QUEUE, ANSWER_BY)
            return snapshot

        monkeypatch.setattr(table, "read_range", read_then_write)
        run_in_virtual_time(removal.remove_outdated())
        assert {key.key[:16] for key in table.row_by_key} == {f"{1:016x}"}
