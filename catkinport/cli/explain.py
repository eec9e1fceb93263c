"""Command that shows the history of a request from the daemons' logs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from .exit_codes import ExitCode, Failure
from .log_events import LogEvent, parse_line, read_lines
from .output import Report, Table
from .session import Session

_COLUMNS = ("time", "event", "details")
# Left out of the details: shown in another column, or equal in all rows.
_OMITTED_FIELDS = frozenset({"time", "level", "event", "request_id"})
LATE_START_SECONDS = 1.0
"""Wait of a job's first task above which the wait is given as the cause of a delay."""


def find_history(lines: Iterable[str], request_id: str) -> list[LogEvent]:
    """Return the events of a request, sorted by time."""
    events = [parse_line(line) for line in lines if request_id in line]
    return sorted(
        (e for e in events if e.get("request_id") == request_id),
        key=lambda event: event.get("time"),
    )


def explain(history: list[LogEvent]) -> list[str]:
    """Return the causes of failures and delays in the history, a line each."""
    return list(_find_causes(history)) or ["nothing in these logs explains a failure"]


def _find_causes(history: list[LogEvent]) -> Iterator[str]:
    for event in history:
        status = event.get("status")
        if event.name == "call answered" and status >= "400":
            yield (
                f"{event.get('method')} was answered {status}: {event.get('reason')};"
                f" the configuration was {event.get('configuration_age_seconds')} s old"
            )
        elif event.name == "job failed":
            yield (
                f"task {event.get('task')} failed {event.get('n_failures')} times,"
                f" last on {event.get('worker')}"
            )
        elif event.name == "job cancel taken in":
            yield "its caller canceled it"
        elif event.name == "run lost":
            yield (
                f"run {event.get('run')} of {event.get('task')} was lost on"
                f" {event.get('worker')}: {event.get('reason')}"
            )
        elif event.name == "start without answer":
            reason = event.get("reason")
            is_sent = event.get("may_run") != "False"
            what = "had no answer" if is_sent else "was not sent"
            yield f"a start on {event.get('worker')} {what}: {reason}"
        elif event.name == "job complete" and event.get("late") == "True":
            yield _explain_late(event)


def _explain_late(event: LogEvent) -> str:
    waited = float(event.get("waited_seconds") or 0)
    cause = "its tasks took that long"
    if waited > LATE_START_SECONDS:
        cause = f"its first task waited {waited} s for a worker"
    seconds, objective = event.get("seconds"), event.get("objective_seconds")
    return f"complete after {seconds} s of {objective} s: {cause}"


@cappa.command(
    name="explain",
    help="Show the history of a request from logs; needs no connection.",
)
@dataclass
class Explain:
    """Command that prints the logged events of a request and causes of its failure."""

    request_id: Annotated[str, cappa.Arg(help="Id of the job or request.")]
    logs: Annotated[
        list[Path], cappa.Arg(help="Log files of all daemons; none for standard input.")
    ] = field(default_factory=list)

    def run(self, session: Session) -> Report | Failure:
        """Return the events and the causes."""
        try:
            history = find_history(read_lines(self.logs), self.request_id)
        except OSError as error:
            return Failure(ExitCode.USAGE, f"a log cannot be read: {error}")
        if not history:
            return Failure(
                ExitCode.NOT_FOUND,
                f"no log line is about the request {self.request_id}",
            )
        rows = [
            {
                "time": event.get("time"),
                "event": event.name,
                "details": _format_details(event),
            }
            for event in history
        ]
        causes = explain(history)
        return Report(
            {"events": rows, "causes": causes}, causes, [Table(_COLUMNS, rows)]
        )


def _format_details(event: LogEvent) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in event.field_by_name.items()
        if name not in _OMITTED_FIELDS
    )
