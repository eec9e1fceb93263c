"""Log handler that never blocks its caller and limits the lines that it writes."""

import logging
import threading
import time
from collections import deque
from collections.abc import Mapping
from enum import StrEnum
from typing import TextIO

from .log_output import OutputFailure, open_output
from .metrics import Metrics

MAX_WAITING_LINES = 4000
"""Lines kept while the output is slower than the program; more are dropped."""

MAX_LINES_PER_SECOND = 3000
"""Lines accepted per second; more are dropped and counted."""

FLUSH_SECONDS = 0.02
"""Time between two writes, so that lines of a burst are written in one call."""

REPORT_SECONDS = 1.0
"""Shortest time between two reports of dropped lines."""

STOP_SECONDS = 1.0
"""Longest time that a stopping process waits for its last lines."""

EVENT_FIELDS = "event_fields"
"""Attribute of a log record that holds the fields of its event."""


class DropReason(StrEnum):
    """Reason for which log lines were dropped."""

    RATE = "rate"
    QUEUE_FULL = "queue-full"
    OUTPUT_FAILED = "output-failed"


class BoundedHandler(logging.Handler):
    """Handler that queues lines for a writer thread and drops lines rather than wait.

    Dropped lines are counted by reason. A line for each reason reports their number as
    soon as the output accepts lines again.

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
        self._output = open_output(stream)
        self._max_waiting_lines = max_waiting_lines
        self._max_lines_per_second = max_lines_per_second
        self._lines: deque[str] = deque()
        self._wake = threading.Event()
        self._is_closing = False
        self._close_by = float("inf")
        self._second = 0
        self._n_in_second = 0
        # All keys exist from the start, as other threads iterate over the counts.
        self._n_dropped_by_reason = dict.fromkeys(DropReason, 0)
        self._n_reported_by_reason = dict.fromkeys(DropReason, 0)
        self._reported_at = float("-inf")
        self._output_error = ""
        self._thread = threading.Thread(
            target=self._write_loop, name="log-writer", daemon=True
        )
        self._thread.start()

    @property
    def n_dropped_by_reason(self) -> Mapping[DropReason, int]:
        """Number of dropped lines by reason."""
        return dict(self._n_dropped_by_reason)

    @property
    def n_dropped(self) -> int:
        """Number of dropped lines."""
        return sum(self._n_dropped_by_reason.values())

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of ``record``, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._n_in_second = 0
        self._n_in_second += 1
        if self._n_in_second > self._max_lines_per_second:
            self._n_dropped_by_reason[DropReason.RATE] += 1
        elif len(self._lines) >= self._max_waiting_lines:
            self._n_dropped_by_reason[DropReason.QUEUE_FULL] += 1
        else:
            self._lines.append(self.format(record))
        self._wake.set()

    def close(self) -> None:
        """Write the queued lines, within `STOP_SECONDS`."""
        self._close_by = time.monotonic() + STOP_SECONDS
        self._is_closing = True
        self._wake.set()
        self._thread.join(STOP_SECONDS)
        super().close()

    def _write_loop(self) -> None:
        while not self._is_closing:
            self._wake.wait(REPORT_SECONDS if self._unreported() else None)
            self._wake.clear()
            self._write_queued()
            time.sleep(FLUSH_SECONDS)
        self._write_queued()
        self._output.close()

    def _write_queued(self) -> None:
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        n_by_reason = self._unreported() if self._is_report_due() else {}
        reports = [self._format_report(*item) for item in n_by_reason.items()]
        if not lines and not reports:
            return
        failure = self._output.write([*lines, *reports], self._must_give_up)
        n_written = failure.n_written if failure else len(lines) + len(reports)
        if failure:
            self._note_failure(failure, len(lines))
        for reason in list(n_by_reason)[: max(0, n_written - len(lines))]:
            self._n_reported_by_reason[reason] += n_by_reason[reason]
            self._reported_at = time.monotonic()

    def _must_give_up(self) -> bool:
        return time.monotonic() >= self._close_by

    def _note_failure(self, failure: OutputFailure, n_lines: int) -> None:
        n_lost = max(0, n_lines - failure.n_written)
        self._n_dropped_by_reason[DropReason.OUTPUT_FAILED] += n_lost
        self._output_error = failure.error

    def _is_report_due(self) -> bool:
        is_early = time.monotonic() - self._reported_at < REPORT_SECONDS
        return self._is_closing or not is_early

    def _unreported(self) -> dict[DropReason, int]:
        """Return the number of dropped lines that no line has reported, by reason."""
        return {
            reason: n_dropped - self._n_reported_by_reason[reason]
            for reason, n_dropped in self._n_dropped_by_reason.items()
            if n_dropped > self._n_reported_by_reason[reason]
        }

    def _format_report(self, reason: DropReason, n_lines: int) -> str:
        fields = {"reason": reason.value, "n_lines": n_lines}
        if reason is DropReason.OUTPUT_FAILED:
            fields["error"] = self._output_error
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "msg": "log lines dropped",
                "levelno": logging.WARNING,
                "levelname": logging.getLevelName(logging.WARNING),
                EVENT_FIELDS: fields,
            }
        )
        return self.format(record)


def export_dropped_lines(metrics: Metrics) -> None:
    """Set the metric of the lines that the root logger's handlers have dropped."""
    for handler in logging.getLogger().handlers:
        if not isinstance(handler, BoundedHandler):
            continue
        for reason, n_dropped in handler.n_dropped_by_reason.items():
            metrics.set(
                "log_lines_dropped",
                "Log lines dropped since the start.",
                {"reason": reason.value},
                n_dropped,
            )
