"""Tests of the age of the configuration, and of the log lines of lost contact."""

import asyncio
import logging

import pytest

from ...ports import ManualClock, Reason, Unavailable
from ...ports.async_table import Changes, HistoryLost, Snapshot
from ...ports.table import Row, RowKey
from ..configuration_watch import (
    FAILURE_LOG_SECONDS,
    FEED_LAG_SECONDS,
    FOLLOW_SECONDS,
    ConfigurationWatch,
)
from .builders import make_configuration

FAILURE = Unavailable(Reason.TIMEOUT, "table-read", "store", "no answer in 1.0 s", True)


class SlowTransferTable:
    """Table whose feed has one change, which takes ``seconds`` to arrive."""

    def __init__(self, clock: ManualClock, seconds: float) -> None:
        self._clock = clock
        self._seconds = seconds
        self.waits: list[float] = []

    async def read_range(self, table: str):
        return Snapshot([], 1)

    async def follow(self, table: str, after_version: int, wait_seconds: float):
        self.waits.append(wait_seconds)
        if after_version == 1:
            self._clock.advance(self._seconds)
            return Changes([], 2)
        self._clock.advance(wait_seconds)
        return Changes([], 2)


class TestAge:
    # Guards against calls with a key that are refused after each large configuration:
    # the call after the transfer waited for a change, and the age passed the limit.
    def test_a_call_after_a_long_transfer_does_not_wait(self):
        clock = ManualClock()
        table = SlowTransferTable(clock, 4.0)
        watch = ConfigurationWatch(table, clock, "op", "config", None)
        ages = []
        for _ in range(4):
            asyncio.run(watch._poll())
            ages.append(watch.age_seconds())
        assert table.waits == [FOLLOW_SECONDS, 0.0, FOLLOW_SECONDS]
        assert ages == pytest.approx(
            [0.0, 4.0, FEED_LAG_SECONDS, FOLLOW_SECONDS + FEED_LAG_SECONDS]
        )


class OverlappingTable:
    """Table whose calls are answered when the test says so."""

    def __init__(self) -> None:
        self.answers: list[asyncio.Future] = []

    def _call(self) -> asyncio.Future:
        self.answers.append(asyncio.get_running_loop().create_future())
        return self.answers[-1]

    async def read_range(self, table: str):
        return await self._call()

    async def follow(self, table: str, after_version: int, wait_seconds: float):
        return await self._call()


def configuration_row(version: int) -> Row:
    return Row(RowKey("op", "config"), version, {"version": version})


class TestOverlappingCalls:
    """Answers of overlapping calls may arrive in another order."""

    def _watch(self, table, clock) -> ConfigurationWatch:
        return ConfigurationWatch(
            table, clock, "op", "config", lambda value: make_configuration(**value)
        )

    def _run(self, outcomes) -> tuple[ConfigurationWatch, float]:
        """Answer two calls, the second one sent 3 s later; return the watch's age."""
        clock = ManualClock()
        table = OverlappingTable()
        watch = self._watch(table, clock)

        async def run() -> float:
            first_read = asyncio.ensure_future(watch._poll())
            await asyncio.sleep(0)
            table.answers[0].set_result(Snapshot([configuration_row(1)], 1))
            await first_read
            calls = []
            for _ in range(2):
                calls.append(asyncio.ensure_future(watch._poll()))
                await asyncio.sleep(0)
                clock.advance(3.0)
            for number, outcome in outcomes:
                table.answers[1 + number].set_result(outcome)
                await calls[number]
            return watch.age_seconds()

        return watch, asyncio.run(run())

    def test_an_older_answer_replaces_nothing(self):
        """Guards against a withdrawn key that is accepted again."""
        old = Changes([configuration_row(2)], 2)
        new = Changes([configuration_row(2), configuration_row(5)], 5)
        watch, _ = self._run([(1, new), (0, old)])
        assert watch.current.version == 5
        assert watch.row_by_key["config"].version == 5

    def test_changes_that_are_not_applied_prove_nothing(self):
        """Guards against a withdrawn key that is used for too long.

        The answer of the second call is dropped, since the first one has shown that the
        history was lost.
        """
        changes = Changes([configuration_row(5)], 5)
        watch, age_seconds = self._run([(0, HistoryLost()), (1, changes)])
        assert watch.current.version == 1
        assert age_seconds == pytest.approx(6.0)


class TestFailureLog:
    def _watch(self, caplog) -> tuple[ConfigurationWatch, ManualClock]:
        caplog.set_level(logging.INFO)
        clock = ManualClock()
        return ConfigurationWatch(None, clock, "op", "config", None), clock

    # Guards against a daemon that fails for minutes after one line, and against a line
    # for each call.
    def test_failures_are_logged_at_intervals_while_they_go_on(self, caplog):
        watch, clock = self._watch(caplog)
        for _ in range(100):
            watch._record_outcome(FAILURE)
            clock.advance(0.1)
        events = [record.getMessage() for record in caplog.records]
        assert FAILURE_LOG_SECONDS == 5.0
        assert events == ["table service contact lost", "table service calls fail"]
        assert caplog.records[-1].event_fields["n_failures"] > 40

    def test_the_restored_contact_tells_how_many_calls_had_failed(self, caplog):
        watch, clock = self._watch(caplog)
        for outcome in (FAILURE, FAILURE, None, None):
            watch._record_outcome(outcome)
        assert caplog.records[-1].getMessage() == "table service contact restored"
        assert caplog.records[-1].event_fields["n_failures"] == 2
        assert len(caplog.records) == 2
