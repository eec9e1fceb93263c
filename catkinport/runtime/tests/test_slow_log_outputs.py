"""Tests of the log handler with pipes that are read slowly, not at all or closed."""

import errno
import logging
import os
import re
import threading
import time
from collections import Counter

import pytest

from .. import log_output
from ..bounded_logs import BoundedHandler, DropReason, export_dropped_lines
from ..logs import KeyValueFormatter
from ..metrics import Metrics

LINE_PATTERN = re.compile(r"^line (\d+) x{150}$", re.MULTILINE)


class PipedLog:
    """A logger whose handler writes to a pipe.

    Attributes:
        logger: the logger.
        handler: its handler.
        reader: file descriptor of the end of the pipe that is read.
    """

    def __init__(self, is_blocking: bool = True, **options) -> None:
        self.reader, writer = os.pipe()
        os.set_blocking(writer, is_blocking)
        self._stream = os.fdopen(writer, "w")
        self.handler = BoundedHandler(self._stream, **options)
        self.handler.setFormatter(logging.Formatter("%(message)s"))
        self.logger = logging.Logger("test")
        self.logger.addHandler(self.handler)

    def log_lines(self, n_lines: int, first: int = 0) -> float:
        """Log numbered lines and return the seconds that it took."""
        started_at = time.monotonic()
        for number in range(first, first + n_lines):
            self.logger.info("line %d %s", number, "x" * 150)
        return time.monotonic() - started_at

    def close(self) -> None:
        self.handler.close()
        self._stream.close()

    def read_slowly(self, pause_seconds: float = 0.0005) -> str:
        """Read to the end, a part of a line at a time."""
        parts = []
        while part := os.read(self.reader, 1000):
            parts.append(part)
            time.sleep(pause_seconds)
        os.close(self.reader)
        return b"".join(parts).decode()

    def read_while_closing(self) -> str:
        """Close the log beside a reader, and return what is read to the end."""
        closing = threading.Thread(target=self.close)
        closing.start()
        text = self.read_slowly(0.0)
        closing.join()
        return text


def read_numbers(text: str) -> list[int]:
    return [int(number) for number in LINE_PATTERN.findall(text)]


def wait_until(condition) -> None:
    deadline = time.monotonic() + 10.0
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@pytest.mark.parametrize("is_blocking", [True, False])
class TestSlowReader:
    def test_all_lines_arrive_once_and_in_order(self, is_blocking):
        """Guards against lines that a full pipe loses, cuts off or repeats."""
        log = PipedLog(is_blocking)
        texts: list[str] = []
        reading = threading.Thread(target=lambda: texts.append(log.read_slowly()))
        reading.start()
        log.log_lines(1500)
        wait_until(lambda: not log.handler._lines)
        log.close()
        reading.join()
        assert read_numbers(texts[0]) == list(range(1500))
        assert len(texts[0].splitlines()) == 1500
        assert log.handler.n_dropped == 0

    def test_lost_lines_are_reported_with_their_reason(self, is_blocking):
        """Guards against lines that a stalled reader loses silently."""
        log = PipedLog(is_blocking, max_waiting_lines=100)
        assert log.log_lines(2500) < 1.0
        text = log.read_while_closing()
        n_dropped = log.handler.n_dropped_by_reason[DropReason.QUEUE_FULL]
        assert len(read_numbers(text)) == 2500 - n_dropped
        assert "log lines dropped" in text
        assert n_dropped > 1000

    def test_stop_does_not_wait_for_a_stalled_reader(self, is_blocking):
        """Guards against a daemon that ends after its stop grace period."""
        log = PipedLog(is_blocking)
        log.log_lines(1500)
        started_at = time.monotonic()
        log.handler.close()
        assert time.monotonic() - started_at < 2.0
        os.close(log.reader)


class TestReports:
    def test_each_reason_has_a_line_with_its_count(self):
        """Guards against a count of lost lines that tells no cause."""
        log = PipedLog(max_lines_per_second=100, max_waiting_lines=50)
        log.handler.setFormatter(KeyValueFormatter())
        log.log_lines(1000)
        text = log.read_while_closing()
        n_by_reason: Counter[str] = Counter()
        for reason, n_lines in re.findall(r"reason=(\S+) n_lines=(\d+)", text):
            n_by_reason[reason] += int(n_lines)
        dropped = log.handler.n_dropped_by_reason
        assert n_by_reason["rate"] == dropped[DropReason.RATE] >= 800
        assert n_by_reason["queue-full"] == dropped[DropReason.QUEUE_FULL]
        assert all(line.startswith("time=") for line in text.splitlines())

    def test_report_comes_without_further_lines(self):
        """Guards against a loss that is reported with the next line, perhaps never."""
        log = PipedLog(max_lines_per_second=10)
        log.log_lines(1000)
        text = b""
        while b"log lines dropped" not in text:
            text += os.read(log.reader, 10000)
        log.close()
        os.close(log.reader)

    def test_closed_output_is_counted(self):
        """Guards against lines that a closed output loses beside no count."""
        log = PipedLog()
        os.close(log.reader)
        log.log_lines(10)
        wait_until(lambda: log.handler.n_dropped == 10)
        log.close()
        assert log.handler.n_dropped_by_reason[DropReason.OUTPUT_FAILED] == 10

    def test_failed_write_is_reported_with_its_error(self, monkeypatch):
        """Guards against a fault of the output that leaves a number only.

        The write fails in the middle of a line, so the lines before it were written and
        the next one begins a line of its own.
        """
        log = PipedLog()
        log.handler.setFormatter(KeyValueFormatter())
        write = os.write
        n_calls = 0

        def fail_second(fd, data):
            nonlocal n_calls
            n_calls += 1
            if n_calls == 2:
                raise OSError(errno.ENOSPC, "No space left on device")
            return write(fd, data[:500])

        monkeypatch.setattr(log_output.os, "write", fail_second)
        log.log_lines(5)
        wait_until(lambda: log.handler.n_dropped)
        n_lost = log.handler.n_dropped
        log.log_lines(1, first=5)
        text = log.read_while_closing()
        lines = text.splitlines()
        complete = [line for line in lines if line.endswith('x"')]
        assert len(complete) == 6 - n_lost
        assert all(line.startswith("time=") for line in lines)
        assert f"reason=output-failed n_lines={n_lost} error=ENOSPC" in text


class TestMetric:
    def test_dropped_lines_are_a_metric_by_reason(self, monkeypatch):
        """Guards against losses that show only in the log that loses lines."""
        log = PipedLog(max_lines_per_second=10)
        log.log_lines(1000)
        log.read_while_closing()
        monkeypatch.setattr(logging.getLogger(), "handlers", [log.handler])
        metrics = Metrics()
        export_dropped_lines(metrics)
        n_dropped = log.handler.n_dropped_by_reason[DropReason.RATE]
        sample = f'log_lines_dropped{{reason="rate"}} {n_dropped}'
        assert sample.encode() in metrics.render()[0]
