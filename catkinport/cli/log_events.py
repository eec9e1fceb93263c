"""Reads the key=value lines of the daemons' logs."""

import re
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

_PAIR = re.compile(r'(\w+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))')


class LogEvent(NamedTuple):
    """A line of a log: its fields by name."""

    field_by_name: dict[str, str]

    @property
    def name(self) -> str:
        """Name of the event."""
        return self.field_by_name.get("event", "")

    def get(self, name: str) -> str:
        """Return a field, empty if the line has none of that name."""
        return self.field_by_name.get(name, "")


def parse_line(line: str) -> LogEvent:
    """Read the key=value pairs of a line; whatever stands before them is ignored.

    Example:
        >>> parse_line('time=1 event="run lost" reason=vm-down').get("event")
        'run lost'
    """
    return LogEvent(
        {name: quoted or plain for name, quoted, plain in _PAIR.findall(line)}
    )


def read_lines(paths: list[Path]) -> Iterator[str]:
    """Iterate over the lines of the files, or of standard input if there are none."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as log:
            yield from log
