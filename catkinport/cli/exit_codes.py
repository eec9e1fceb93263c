"""Exit codes of catkinctl. They are stable; docs/administration.md lists them."""

from enum import IntEnum
from typing import Any, NamedTuple


class ExitCode(IntEnum):
    """Exit code of a command."""

    DONE = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    ACCESS = 5
    UNAVAILABLE = 6
    UNKNOWN = 7
    NOT_FOUND = 8


class Failure(NamedTuple):
    """The failure of a command.

    Args:
        exit_code: exit code of the program.
        error: what went wrong.
        hint: what the operator can do; empty when the error says it.
        details: further fields of the JSON output, for instance faults of a document.
    """

    exit_code: ExitCode
    error: str
    hint: str = ""
    details: dict[str, Any] = {}
