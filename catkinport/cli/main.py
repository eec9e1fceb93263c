"""The program ``catkinctl``."""

import os
import sys
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from .documents import Apply, Check, Diff, Promote, Show
from .exit_codes import ExitCode, Failure
from .explain import Explain
from .fleet import MaintenanceCommand, VmCommand
from .jobs import JobCommand
from .keys import KeyCommand
from .output import write_failure, write_report
from .overview import Members, Status, Top
from .session import DEFAULT_API, Session
from .timeline import TimelineCommand
from .waves import WavesCommand

Command = (
    Check
    | Diff
    | Apply
    | Promote
    | Show
    | Status
    | Members
    | KeyCommand
    | VmCommand
    | MaintenanceCommand
    | JobCommand
    | Top
    | Explain
    | TimelineCommand
    | WavesCommand
)


@cappa.command(
    name="catkinctl",
    help="Operate a catkinport environment.",
    description="The operator's key is NAME.SECRET in CATKIN_OPERATOR_KEY or in"
    " --key-file. Exit codes are listed in docs/administration.md.",
)
@dataclass
class Catkinctl:
    """Command line of ``catkinctl``: the command and global options."""

    command: cappa.Subcommands[Command]
    api: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("CATKIN_API", default=DEFAULT_API),
            help="Administration address of an entry, http://host:port.",
        ),
    ] = DEFAULT_API
    key_file: Annotated[
        str,
        cappa.Arg(long=True, propagate=True, help="File with the operator's key."),
    ] = ""
    output: Annotated[
        Literal["table", "json"],
        cappa.Arg(long=True, propagate=True, help="Format of the output."),
    ] = "table"
    change_id: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            help="Id of the change, to repeat one whose outcome is unknown.",
        ),
    ] = ""


def run(argv: Sequence[str] | None = None) -> ExitCode:
    """Run a command line and return the exit code.

    Args:
        argv: the arguments; ``None`` for those of the process.
    """
    arguments = cappa.parse(
        Catkinctl, argv=None if argv is None else list(argv), completion=False
    )
    session = Session(
        arguments.api,
        arguments.key_file,
        arguments.change_id or uuid.uuid4().hex,
        arguments.output,
        os.environ,
        sys.stdout,
    )
    outcome = arguments.command.run(session)
    if isinstance(outcome, Failure):
        write_failure(outcome, arguments.output, sys.stderr)
        return outcome.exit_code
    write_report(outcome, arguments.output, sys.stdout)
    return ExitCode.DONE


def main() -> None:
    """Run ``catkinctl`` and exit with its exit code."""
    try:
        sys.exit(run())
    except KeyboardInterrupt:
        # Ctrl-C is the usual way to end catkinctl top, so it is no failure.
        sys.exit(ExitCode.DONE)


if __name__ == "__main__":
    main()
