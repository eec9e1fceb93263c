"""Tests of the measurement of rounds of planning."""

import logging

import pytest

from ...runtime.metrics import Metrics
from ..ownership import round_times
from ..ownership.round_times import RoundTimes


@pytest.fixture
def log(caplog):
    caplog.set_level(logging.INFO)
    return caplog


def read_lines(log) -> list[dict]:
    messages = [r for r in log.records if r.getMessage() == "planning round slow"]
    return [record.event_fields for record in messages]


class TestRoundTimes:
    def test_slow_rounds_are_logged_once_a_second(self, log):
        """Guards against rounds that block an overloaded owner without a line."""
        times = RoundTimes(Metrics())
        for number in range(8):
            times.note(0.3, 900, number * 0.3)
        lines = read_lines(log)
        assert [line["unlogged"] for line in lines] == [0, 3]
        assert lines[0]["seconds"] == 0.3
        assert lines[0]["n_jobs"] == 900

    def test_short_rounds_are_counted_only(self, log):
        """Guards against a line for each of a hundred rounds a second."""
        metrics = Metrics()
        times = RoundTimes(metrics)
        for number in range(10):
            times.note(0.1, 10, number * 0.1)
        assert read_lines(log) == []
        assert b"planning_round_seconds_count 10" in metrics.render()[0]

    def test_time_of_the_context_is_measured(self, monkeypatch, log):
        """Guards against a measurement that leaves out the round."""
        times = iter([10.0, 10.4])
        monkeypatch.setattr(round_times.time, "monotonic", lambda: next(times))
        with RoundTimes(Metrics()).measure(5):
            pass
        (line,) = read_lines(log)
        assert line["seconds"] == 0.4
