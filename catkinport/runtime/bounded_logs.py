"""Log handler that never blocks its caller and limits the lines that it writes."""

import logging
import threading
import time
from collections import deque
from typing import TextIO

MAX_WAITING_LINES = 4000
"""Lines kept while the output is slower than the program; more are dropped."""

MAX_LINES_PER_SECOND = 3000
"""Lines accepted per second; more are dropped and counted."""

FLUSH_SECONDS = 0.02
"""Time between two writes, so that lines of a burst are written in one call."""

STOP_SECONDS = 1.0
"""Longest time that a stopping process waits for its last lines."""


class BoundedHandler(logging.Handler):
    """Handler that queues lines for a writer thread and drops lines rather than wait.

    Dropped lines are counted, and a line of its own reports their number as soon as
    the output accepts lines again.

    Args:
        stream: where lines go.
        max_waiting_lines: lines kept while the output is slow.
        max_lines_per_second: lines accepted per second.
    """

    def __init__(
        self,
        stream: TextIO,
        max_waiting_lines: int = MAX_WAITING_LINES,
        max_lines_per_second: int = MAX_LINES_PER_SECOND,
    ) -> None:
        super().__init__()
        self._stream = stream
        self._max_waiting_lines = max_waiting_lines
        self._max_lines_per_second = max_lines_per_second
        self._lines: deque[str] = deque()
        self._wake = threading.Event()
        self._is_closing = False
        self._second = 0
        self._n_in_second = 0
        self.n_dropped = 0
        self._n_reported = 0
        self._thread = threading.Thread(
            target=self._write_loop, name="log-writer", daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of ``record``, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._n_in_second = 0
        self._n_in_second += 1
        is_burst = self._n_in_second > self._max_lines_per_second
        if is_burst or len(self._lines) >= self._max_waiting_lines:
            self.n_dropped += 1
            return
        self._lines.append(self.format(record))
        self._wake.set()

    def close(self) -> None:
        """Write the queued lines, within `STOP_SECONDS`."""
        self._is_closing = True
        self._wake.set()
        self._thread.join(STOP_SECONDS)
        super().close()

    def _write_loop(self) -> None:
        while not self._is_closing:
            self._wake.wait()
            self._wake.clear()
            self._write_queued()
            time.sleep(FLUSH_SECONDS)
        self._write_queued()

    def _write_queued(self) -> None:
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        n_dropped = self.n_dropped
        if n_dropped > self._n_reported:
            n_new = n_dropped - self._n_reported
            lines.append(f'level=warning event="log lines dropped" n_lines={n_new}')
            self._n_reported = n_dropped
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The output is closed, so the loss of these lines cannot be reported there.
            self.n_dropped += len(lines)
