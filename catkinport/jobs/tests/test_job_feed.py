"""Tests of how an owner learns of jobs from the table service's change feed."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from ...ports import ManualClock
from ...ports.async_table import Changes, HistoryLost, Snapshot
from ...ports.table import Row
from ...runtime import Metrics
from ..dispatch.dispatcher import Dispatcher
from ..model import JobState, job_to_row
from ..ownership.owner import ACCEPT_SECONDS, FleetOwner
from ..ownership.ownership_watch import Claim
from ..ownership.session import OwnerPorts
from ..tables import JOBS_TABLE, STATES_TABLE, cancel_key, job_key, state_key
from .builders import JOB_ID, make_configuration, make_job
from .vm_fleet import BOUNDS


class FakeTable:
    """Table service whose feed has lost its history, with one job that is running.

    Attributes:
        on_states_read: called after the states were read and before they are returned.
    """

    def __init__(self) -> None:
        self.rows_by_table = {
            JOBS_TABLE: [Row(job_key(JOB_ID), 1, encode_job(JOB_ID))],
            STATES_TABLE: [
                Row(
                    state_key(JOB_ID),
                    2,
                    {"state": "running", "account": "studio", "top_run": 1},
                )
            ],
        }
        self.on_states_read = lambda: None

    async def read_range(self, table, start="", end=""):
        snapshot = Snapshot(list(self.rows_by_table.get(table, [])), 3)
        if table == STATES_TABLE:
            self.on_states_read()
        return snapshot

    async def follow(self, table, after_version, wait_seconds):
        return HistoryLost()


def encode_job(job_id: str) -> dict:
    return job_to_row(make_job(job_id)._replace(accepted_at=1.0))


def end_job(dispatcher: Dispatcher) -> None:
    """Let the job complete, and forget it as after its end was stored."""
    record = dispatcher.job_by_id[JOB_ID]
    record.state = JobState.COMPLETED
    dispatcher.forget_ended(record)


def make_owner(table: FakeTable) -> FleetOwner:
    clock = SimpleNamespace(now=lambda: 100.0)
    ports = OwnerPorts(table, None, None, None, clock, Metrics())
    claim = Claim(1, 100.0, None, False)
    return FleetOwner(ports, make_configuration(), claim, BOUNDS, 10.0)


class TestLostHistory:
    def test_a_job_that_ended_during_the_read_does_not_run_again(self):
        """Guards against a second run of a job whose end the read has just missed.

        The answer of a slow table service may be older than the end that was stored
        and forgotten meanwhile.
        """
        table = FakeTable()

        async def end_job_during_reread():
            owner = make_owner(table)
            await owner._load()
            dispatcher = owner._session.dispatcher
            table.on_states_read = lambda: end_job(dispatcher)
            await owner._reread_jobs()
            return dispatcher

        assert asyncio.run(end_job_during_reread()).job_by_id == {}

    def test_jobs_and_cancellations_that_the_feed_lost_are_learned(self):
        """Guards against accepted jobs and cancellations that no owner learns of."""
        table = FakeTable()
        other_id = "00000000000000b2"

        async def accept_before_reread():
            owner = make_owner(table)
            await owner._load()
            table.rows_by_table[JOBS_TABLE] += [
                Row(cancel_key(JOB_ID), 4, {}),
                Row(job_key(other_id), 5, encode_job(other_id)),
            ]
            await owner._reread_jobs()
            return owner._session.dispatcher

        dispatcher = asyncio.run(accept_before_reread())
        assert dispatcher.job_by_id[other_id].state is JobState.QUEUED
        # Without runs, a job whose cancellation is taken in ends at once.
        assert dispatcher.job_by_id[JOB_ID].state is JobState.CANCELED


class TestRowsReadAndFollowed:
    def test_a_job_that_ended_before_the_feed_repeats_its_row_does_not_run_again(self):
        """Guards against a second run of a job that a read and the feed both return.

        The parts of the table are read one by one and the feed continues from the
        oldest of their versions. It may have no answer until a job of another part has
        ended and was forgotten.
        """
        table = FakeTable()
        row = Row(job_key(JOB_ID), 5, encode_job(JOB_ID))
        table.rows_by_table[JOBS_TABLE] = [row]
        table.rows_by_table[STATES_TABLE] = []

        async def follow_after_end():
            owner = make_owner(table)
            await owner._load()
            assert owner._job_feed_version < row.version
            dispatcher = owner._session.dispatcher
            end_job(dispatcher)
            owner._apply_changes(Changes([row], 6))
            return dispatcher

        assert asyncio.run(follow_after_end()).job_by_id == {}


class TestUnknownQueue:
    def test_a_job_that_cannot_start_is_logged(self, caplog):
        """Guards against jobs that stand still without a line in the log."""
        table = FakeTable()

        async def load():
            owner = make_owner(table)
            without_queue = make_configuration(version=2)._replace(queue_by_name={})
            owner._session.dispatcher._known_queue_by_name.clear()
            owner.apply_configuration(without_queue)
            await owner._load()

        asyncio.run(load())
        assert "job has no known queue" in caplog.text


class TestWallClocks:
    """The wall clocks of the daemons that accept jobs may be wrong."""

    @pytest.mark.parametrize("seconds_behind", [30.0, 3600.0, -30.0, -3600.0])
    def test_the_age_of_a_new_job_does_not_depend_on_them(self, seconds_behind):
        """Guards against jobs that count as hopeless from the start.

        They came last in their pool, and their pool asked for fewer VMs.
        """
        clock = ManualClock(100.0)

        class FeedTable(FakeTable):
            async def follow(self, table, after_version, wait_seconds):
                clock.advance(0.5)
                job = make_job("00000000000000b3")
                accepted_at = time.time() - seconds_behind
                row = job_to_row(job._replace(accepted_at=accepted_at))
                if after_version < 10:
                    return Changes([], 10)
                return Changes([Row(job_key(job.job_id), 11, row)], 11)

        async def run() -> float:
            ports = OwnerPorts(FeedTable(), None, None, None, clock, Metrics())
            claim = Claim(1, 100.0, None, False)
            owner = FleetOwner(ports, make_configuration(), claim, BOUNDS, 10.0)
            await owner._load()
            await owner._follow_jobs()
            await owner._follow_jobs()
            record = owner._session.dispatcher.job_by_id["00000000000000b3"]
            return clock.now() - record.accepted_at

        assert 0.0 <= asyncio.run(run()) <= 1.0 + ACCEPT_SECONDS
