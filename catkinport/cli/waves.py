"""Command that shows from logs how far waves of upkeep are and what they wait for."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from .exit_codes import ExitCode, Failure
from .log_events import LogEvent, parse_line, read_lines
from .output import Report, Table
from .session import Session

_COLUMNS = ("wave", "state", "n_vms", "n_left", "reasons", "since")
_WAVE_EVENTS = ("wave added", "wave delayed", "wave reported")


def read_waves(lines: Iterable[str]) -> list[dict[str, str]]:
    """Return the latest state of each wave in the logs of all daemons, by number.

    The state is ``running``, ``delayed`` or ``completed``.
    """
    events = [parse_line(line) for line in lines if "event=" in line]
    events = [event for event in events if event.name in _WAVE_EVENTS]
    row_by_wave: dict[str, dict[str, str]] = {}
    for event in sorted(events, key=lambda event: event.get("time")):
        number = event.get("wave")
        row = row_by_wave.setdefault(number, dict.fromkeys(_COLUMNS, ""))
        row.update({"wave": number, **_changed_fields(event)})
    return sorted(row_by_wave.values(), key=lambda row: int(row["wave"]))


def _changed_fields(event: LogEvent) -> dict[str, str]:
    since = {"since": event.get("time")}
    if event.name == "wave added":
        return {"state": "running", "n_vms": event.get("n_vms"), **since}
    if event.name == "wave delayed":
        names = ("n_left", "reasons")
        return {
            "state": "delayed",
            **{name: event.get(name) for name in names},
            **since,
        }
    if event.get("completed") == "True":
        return {"state": "completed", "n_left": "0", "reasons": "", **since}
    return {}


@cappa.command(
    name="waves",
    help="Show from logs what waves of upkeep wait for; needs no connection.",
)
@dataclass
class WavesCommand:
    """Command that prints a row per wave of upkeep."""

    logs: Annotated[
        list[Path], cappa.Arg(help="Log files of all daemons; none for standard input.")
    ] = field(default_factory=list)

    def run(self, session: Session) -> Report | Failure:
        """Return the waves."""
        try:
            rows = read_waves(read_lines(self.logs))
        except OSError as error:
            return Failure(ExitCode.USAGE, f"a log cannot be read: {error}")
        if not rows:
            return Failure(ExitCode.NOT_FOUND, "the logs hold no wave")
        return Report({"waves": rows}, [], [Table(_COLUMNS, rows)])
