"""A parser of the key=value lines in the daemons' logs."""

import re
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

_PAIR_PATTERN = re.compile(r'(\w+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))')


class LogEvent(NamedTuple):
    """The event in a line of a log, with its fields by name."""

    field_by_name: dict[str, str]

    @property
    def name(self) -> str:
        """Name of the event."""
        return self.field_by_name.get("event", "")

    def get(self, name: str) -> str:
        """Return a field, an empty text if the line has none of that name."""
        return self.field_by_name.get(name, "")


def parse_line(line: str) -> LogEvent:
    """Return the event of a line; text that is no key=value pair is ignored.

    Example:
        >>> parse_line('time=1 event="run lost" reason=vm-down').get("event")
        'run lost'
    """
    return LogEvent(
        {name: quoted or plain for name, quoted, plain in _PAIR_PATTERN.findall(line)}
    )


def read_lines(paths: list[Path]) -> Iterator[str]:
    """Iterate over the lines of the files, or of standard input if there are none."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as log:
            yield from log
