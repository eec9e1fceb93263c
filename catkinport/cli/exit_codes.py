"""Exit codes of catkinctl. They are stable; docs/administration.md lists them."""

from enum import IntEnum
from typing import Any, NamedTuple


class ExitCode(IntEnum):
    """Exit code of a command.

    Attributes:
        DONE: the command succeeded.
        INTERNAL: an exception was not handled; Python itself exits with this code.
        USAGE: the command line is wrong, or a log it names cannot be read.
        INVALID: a document, file or request is not valid, or a change is refused.
        CONFLICT: something differs from what the operator expected.
        ACCESS: the operator's key is missing or refused.
        UNAVAILABLE: the API or the store is not available; nothing was changed.
        UNKNOWN: the change may have taken effect.
        NOT_FOUND: what the command names does not exist.
    """

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
