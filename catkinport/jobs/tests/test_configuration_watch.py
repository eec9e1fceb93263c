"""Tests of the age of the configuration, and of the log lines of lost contact."""

import asyncio
import logging

import pytest

from ...ports import ManualClock, Reason, Unavailable
from ...ports.async_table import Changes, Snapshot
from ..configuration_watch import (
    FAILURE_LOG_SECONDS,
    FEED_LAG_SECONDS,
    FOLLOW_SECONDS,
    ConfigurationWatch,
)

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
