"""Tests of what the watch of the configuration logs."""

import logging

from ...ports import ManualClock, Reason, Unavailable
from ..configuration_watch import FAILURE_LOG_SECONDS, ConfigurationWatch

FAILURE = Unavailable(Reason.TIMEOUT, "table-read", "store", "no answer in 1.0 s", True)


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
