"""Tests of the log handler under a stalled output and under a burst."""

import io
import logging
import threading
import time

from ..bounded_logs import BoundedHandler


class StalledStream(io.StringIO):
    """Output whose writes block until ``release`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.release = threading.Event()

    def write(self, text: str) -> int:
        self.release.wait(10.0)
        return super().write(text)


def make_logger(handler: BoundedHandler) -> logging.Logger:
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger


class TestBoundedHandler:
    def test_stalled_output_does_not_block_the_caller(self):
        """Guards against requests that wait for a slow reader of the logs."""
        stream = StalledStream()
        handler = BoundedHandler(stream, max_waiting_lines=50)
        logger = make_logger(handler)
        started_at = time.monotonic()
        for number in range(1000):
            logger.info("line %d", number)
        assert time.monotonic() - started_at < 1.0
        assert handler.n_dropped >= 1000 - 2 * 50 - 1
        stream.release.set()
        handler.close()
        assert "log lines dropped" in stream.getvalue()

    def test_burst_stays_within_the_bound(self):
        """Guards against a burst of events that is written without a limit."""
        stream = io.StringIO()
        handler = BoundedHandler(stream, max_lines_per_second=100)
        logger = make_logger(handler)
        for number in range(5000):
            logger.info("line %d", number)
        handler.close()
        # The limit applies to each second of the clock, and the burst may span two.
        n_lines = sum(
            line.startswith("line") for line in stream.getvalue().splitlines()
        )
        assert n_lines <= 200
        assert handler.n_dropped >= 4800

    def test_lines_keep_their_order(self):
        """Guards against lines that the writer thread reorders."""
        stream = io.StringIO()
        handler = BoundedHandler(stream)
        logger = make_logger(handler)
        for number in range(100):
            logger.info("%d", number)
        handler.close()
        assert stream.getvalue().split() == [str(number) for number in range(100)]
