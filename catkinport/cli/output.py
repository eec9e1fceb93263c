"""Output of results as tables for people or as JSON for programs."""

import json
import sys
from collections.abc import Sequence
from typing import Any, NamedTuple, TextIO

from .exit_codes import Failure


class Table(NamedTuple):
    """Rows of a table, and the names of the fields shown as columns."""

    columns: Sequence[str]
    rows: Sequence[dict[str, Any]]


class Report(NamedTuple):
    """Result of a command.

    Args:
        value: the object of the JSON output.
        lines: lines of the table output, before the tables.
        tables: tables of the table output.
    """

    value: dict[str, Any]
    lines: Sequence[str] = ()
    tables: Sequence[Table] = ()


def render_table(table: Table) -> list[str]:
    """Return the lines of a table with aligned columns, none of which is cut off.

    Example:
        >>> render_table(Table(("vm", "state"), [{"vm": "vm-1", "state": "active"}]))
        ['VM    STATE', 'vm-1  active']
    """
    if not table.rows:
        return ["(none)"]
    cells = [[name.upper().replace("_", " ") for name in table.columns]]
    cells += [
        [_format_cell(row.get(name)) for name in table.columns] for row in table.rows
    ]
    widths = [max(len(row[i]) for row in cells) for i in range(len(table.columns))]
    return ["  ".join(map(str.ljust, row, widths)).rstrip() for row in cells]


def write_report(report: Report, output_format: str, stream: TextIO) -> None:
    """Write the result of a command to ``stream`` as ``table`` or ``json``."""
    if output_format == "json":
        print(json.dumps(report.value, indent=2), file=stream)
        return
    lines = list(report.lines)
    for table in report.tables:
        lines += ([""] if lines else []) + render_table(table)
    print("\n".join(lines), file=stream)


def write_failure(failure: Failure, output_format: str, stream: TextIO) -> None:
    """Write why a command failed to ``stream`` as text or, for ``json``, as JSON."""
    if output_format == "json":
        value = {
            **failure.details,
            "error": failure.error,
            "hint": failure.hint,
            "exit_code": int(failure.exit_code),
        }
        print(json.dumps(value, indent=2), file=stream)
        return
    print(f"catkinctl: {failure.error}", file=stream)
    for fault in failure.details.get("faults", []):
        print(f"  {fault['text']}", file=stream)
    for obstacle in failure.details.get("obstacles", []):
        print(f"  {obstacle}", file=stream)
    if failure.hint:
        print(f"catkinctl: {failure.hint}", file=stream)


def clear_screen(stream: TextIO) -> None:
    """Clear the screen if ``stream`` is standard output on a terminal."""
    if stream is sys.stdout and stream.isatty():
        stream.write("\x1b[2J\x1b[H")


def _format_cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = "-" if value is None or value == "" else str(value)
    # Values come from the store; control characters in them could alter the terminal.
    return "".join(char if char.isprintable() else "?" for char in text)
