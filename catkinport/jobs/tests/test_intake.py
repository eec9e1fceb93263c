"""Tests of which jobs a caller may see and cancel."""

import asyncio
import math

import pytest

from ...ports.async_table import Snapshot
from ...ports.table import Committed, Row
from ...runtime import Metrics
from ..caller_commits import CallerCommits
from ..configuration import AcceptedRules
from ..intake import Absent, Canceled, Intake, TooLarge
from ..model import JobState, job_to_row
from ..tables import JOBS_TABLE, MAX_ROW_BYTES, STATES_TABLE, job_key, state_key
from .builders import (
    ACCOUNT,
    JOB_ID,
    QUEUE,
    make_configuration,
    make_job,
    make_step,
)

OPEN = ""
"""Account of a call on a queue that needs no key."""


ANSWER_BY = math.inf
"""Time by which a call is answered, where none has to wait."""


class FakeTable:
    """Table service with one job, which may have a state."""

    def __init__(self, account: str, has_state: bool) -> None:
        job = make_job(account=account)._replace(accepted_at=1.0)
        state = {"state": "running", "account": account, "top_run": 1}
        self.rows_by_table = {
            JOBS_TABLE: [Row(job_key(JOB_ID), 1, job_to_row(job))],
            STATES_TABLE: [Row(state_key(JOB_ID), 2, state)] if has_state else [],
        }

    async def read_range(self, table, start="", end=""):
        return Snapshot(self.rows_by_table[table], 3)

    async def commit(self, transaction):
        return Committed({write.row_key: 4 for write in transaction.writes})


class TestSizeOfJob:
    def test_a_job_that_no_row_can_hold_is_refused_at_once(self):
        """Guards against a caller that is told to come back with it again and again.

        The table service refuses the row at each attempt.
        """
        steps = [make_step() for _ in range(2000)]
        job = make_job(steps=steps)._replace(accepted_at=1.0)
        configuration = make_configuration()
        rules = AcceptedRules(configuration.queue_by_name[QUEUE], 1)
        intake = Intake(
            FakeTable(ACCOUNT, False), lambda: True, CallerCommits(Metrics())
        )
        outcome = asyncio.run(intake.submit(job, rules, ANSWER_BY))
        assert isinstance(outcome, TooLarge)
        assert outcome.n_bytes > outcome.max_bytes == MAX_ROW_BYTES


class TestVisibility:
    @pytest.mark.parametrize("has_state", [False, True])
    @pytest.mark.parametrize(
        ("stored", "asking"), [(ACCOUNT, ACCOUNT), (ACCOUNT, OPEN), (OPEN, ACCOUNT)]
    )
    def test_a_job_is_known_after_its_queue_was_opened_or_closed(
        self, stored, asking, has_state
    ):
        """Guards against status 410 for an accepted job.

        A configuration may change whether a queue needs a key.
        """
        intake = Intake(
            FakeTable(stored, has_state), lambda: True, CallerCommits(Metrics())
        )
        expected = JobState.RUNNING if has_state else JobState.QUEUED
        assert asyncio.run(intake.find_state(JOB_ID, asking, QUEUE)) is expected
        assert (
            asyncio.run(intake.cancel(JOB_ID, asking, QUEUE, ANSWER_BY)) == Canceled()
        )

    @pytest.mark.parametrize("has_state", [False, True])
    @pytest.mark.parametrize(
        ("stored", "asking", "queue"),
        [
            (ACCOUNT, "other", QUEUE),
            (ACCOUNT, OPEN, "other-queue"),
            (OPEN, ACCOUNT, "other-queue"),
        ],
    )
    def test_a_job_of_another_account_is_absent(self, stored, asking, queue, has_state):
        """Guards against jobs that callers of other accounts or queues can see."""
        intake = Intake(
            FakeTable(stored, has_state), lambda: True, CallerCommits(Metrics())
        )
        assert asyncio.run(intake.find_state(JOB_ID, asking, queue)) == Absent()
        assert asyncio.run(intake.cancel(JOB_ID, asking, queue, ANSWER_BY)) == Absent()

    @pytest.mark.parametrize("has_state", [False, True])
    def test_the_own_account_sees_its_job_through_another_queue(self, has_state):
        """Guards against a job that is lost as its path leads to another queue.

        A configuration may add a queue with a longer prefix.
        """
        intake = Intake(
            FakeTable(ACCOUNT, has_state), lambda: True, CallerCommits(Metrics())
        )
        state = asyncio.run(intake.find_state(JOB_ID, ACCOUNT, "other-queue"))
        assert not isinstance(state, Absent)
