"""Command that shows from logs how many jobs were on time around a fault.

A job is late if it took longer than its objective, the time within which it should be
complete.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Annotated, NamedTuple

import cappa

from .exit_codes import ExitCode, Failure
from .log_events import LogEvent, parse_line, read_lines
from .output import Report, Table
from .session import Session

WINDOW_SECONDS = 2
"""Time that one row of the timeline covers."""

_COLUMNS = ("from", "accepted", "on_time", "late", "runs_lost", "owners", "vms_moved")
_COUNTED_EVENTS = {
    "run lost": "runs_lost",
    "ownership begins": "owners",
    "vm moves": "vms_moved",
}


class ServedJob(NamedTuple):
    """A complete job; its time is in seconds since the first line of the logs."""

    accepted_at: float
    is_late: bool


class Timeline(NamedTuple):
    """Complete jobs and counted events of a set of logs.

    Args:
        jobs: complete jobs, sorted by the time of their acceptance.
        counts: number of events by window and name of their column.
        began_at: time of the first line, as logged.
    """

    jobs: Sequence[ServedJob]
    counts: Counter[tuple[int, str]]
    began_at: str


def read_timeline(lines: Iterable[str]) -> Timeline | None:
    """Return the timeline of all daemons' logs, ``None`` if no line has a time.

    A job counts once, even if a new owner of its pool logs its completion again.
    """
    events = [parse_line(line) for line in lines if "event=" in line]
    events = sorted((e for e in events if e.get("time")), key=lambda e: e.get("time"))
    if not events:
        return None
    began_at = datetime.fromisoformat(events[0].get("time"))
    job_by_id: dict[str, ServedJob] = {}
    counts: Counter[tuple[int, str]] = Counter()
    for event in events:
        elapsed = datetime.fromisoformat(event.get("time")) - began_at
        seconds = elapsed.total_seconds()
        if event.name == "job complete":
            job = ServedJob(seconds - float(event.get("seconds")), _is_late(event))
            job_by_id.setdefault(event.get("request_id"), job)
        elif event.name in _COUNTED_EVENTS:
            counts[int(seconds // WINDOW_SECONDS), _COUNTED_EVENTS[event.name]] += 1
    jobs = sorted(job_by_id.values())
    return Timeline(jobs, counts, events[0].get("time"))


def _is_late(event: LogEvent) -> bool:
    return event.get("late") == "True"


def share_on_time(jobs: Iterable[ServedJob], start: float, end: float) -> float | None:
    """Return which fraction of the jobs accepted from ``start`` to ``end`` was on time.

    ``None`` if no job was accepted in that time.
    """
    late = [job.is_late for job in jobs if start <= job.accepted_at < end]
    return 1 - sum(late) / len(late) if late else None


def recovery_seconds(
    jobs: Sequence[ServedJob], start: float, end: float
) -> float | None:
    """Return the seconds from the end of a fault until jobs are on time as before it.

    That is the start of the first window after ``end`` in which the fraction of jobs on
    time is at least that before ``start``; ``None`` if there is no such window or no
    job was accepted before ``start``.
    """
    before = share_on_time(jobs, 0.0, start)
    last = max((job.accepted_at for job in jobs), default=0.0)
    window_start = end
    while before is not None and window_start <= last:
        share = share_on_time(jobs, window_start, window_start + WINDOW_SECONDS)
        if share is not None and share >= before:
            return window_start - end
        window_start += WINDOW_SECONDS
    return None


@cappa.command(
    name="timeline",
    help="Show from logs how many jobs were on time; needs no connection.",
)
@dataclass
class TimelineCommand:
    """Command that prints a row per window, and the shares on time around a fault."""

    logs: Annotated[
        list[Path], cappa.Arg(help="Log files of all daemons; none for standard input.")
    ] = field(default_factory=list)
    fault: Annotated[
        tuple[float, float] | None,
        cappa.Arg(
            long=True, help="Start and end of a fault, in seconds from the first line."
        ),
    ] = None

    def run(self, session: Session) -> Report | Failure:
        """Return the timeline."""
        try:
            timeline = read_timeline(read_lines(self.logs))
        except OSError as error:
            return Failure(ExitCode.USAGE, f"a log cannot be read: {error}")
        if timeline is None:
            return Failure(ExitCode.NOT_FOUND, "the logs hold no line with a time")
        rows = _build_rows(timeline)
        lines = [f"seconds count from {timeline.began_at}"]
        if self.fault is not None:
            lines += _describe_fault(timeline.jobs, *self.fault)
        return Report({"windows": rows}, lines, [Table(_COLUMNS, rows)])


def _build_rows(timeline: Timeline) -> list[dict[str, int]]:
    windows = {window for window, _ in timeline.counts}
    windows |= {int(job.accepted_at // WINDOW_SECONDS) for job in timeline.jobs}
    rows = []
    for window in sorted(windows):
        start = window * WINDOW_SECONDS
        end = start + WINDOW_SECONDS
        late = [job.is_late for job in timeline.jobs if start <= job.accepted_at < end]
        row = {"from": start, "accepted": len(late)}
        row |= {"on_time": late.count(False), "late": late.count(True)}
        row |= {name: timeline.counts[window, name] for name in _COLUMNS[4:]}
        rows.append(row)
    return rows


def _describe_fault(jobs: Sequence[ServedJob], start: float, end: float) -> list[str]:
    spans = (("before", 0.0, start), ("during", start, end), ("after", end, 1e9))
    lines = []
    for name, first, last in spans:
        share = share_on_time(jobs, first, last)
        shown = "no jobs" if share is None else f"{share:.0%}"
        lines.append(f"on time {name} the fault: {shown}")
    recovery = recovery_seconds(jobs, start, end)
    shown = "not within these logs" if recovery is None else f"{recovery:.0f} s"
    return [*lines, f"as good as before again after: {shown}"]
