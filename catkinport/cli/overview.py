"""Commands that show the state of the environment."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from .exit_codes import ExitCode, Failure
from .fleet import read_resource
from .output import Report, Table, clear_screen, write_report
from .session import Session

_POOL_COLUMNS = ("pool", "n_serving", "n_disrupted", "max_unavailable", "is_spare")
_MEMBER_COLUMNS = (
    "member_id", "role", "zone", "peer_address", "admin_address", "is_evicted",
)  # fmt: skip
_USAGE_COLUMNS = (
    "team", "share_percent", "slots_held", "max_slots", "cores_held", "max_cores",
)  # fmt: skip


@cappa.command(name="status", help="Show revision, members and pools.")
@dataclass
class Status:
    """Command that shows the state of the environment as known to one entry."""

    def run(self, session: Session) -> Report | Failure:
        """Return the state of the environment."""
        answer = read_resource(session, "/v1/status")
        if isinstance(answer, Failure):
            return answer
        lines = [
            f"{name.replace('_', ' ')}: {value}"
            for name, value in answer.items()
            if name != "pools" and value != ""
        ]
        return Report(answer, lines, [Table(_POOL_COLUMNS, answer["pools"])])


@cappa.command(name="members", help="List the running daemons.")
@dataclass
class Members:
    """Command that lists members."""

    def run(self, session: Session) -> Report | Failure:
        """Return the members."""
        answer = read_resource(session, "/v1/members")
        if isinstance(answer, Failure):
            return answer
        return Report(answer, tables=[Table(_MEMBER_COLUMNS, answer["members"])])


@cappa.command(
    name="top", help="Show the usage of teams and pools, updated periodically."
)
@dataclass
class Top:
    """Command that shows usage until it is interrupted."""

    interval: Annotated[
        float,
        cappa.Arg(long=True, help="Seconds between two updates, from 0.5 to 3600."),
    ] = 2.0
    count: Annotated[
        int, cappa.Arg(long=True, help="Stop after this many updates; 0 for never.")
    ] = 0

    def run(self, session: Session) -> Report | Failure:
        """Return the usage that was read last."""
        if not 0.5 <= self.interval <= 3600:
            error = f"--interval must be from 0.5 to 3600 seconds, got {self.interval}"
            return Failure(ExitCode.USAGE, error)
        n_reads = 1
        report = self._read(session)
        while isinstance(report, Report) and n_reads != self.count:
            clear_screen(session.stdout)
            write_report(report, session.output, session.stdout)
            session.sleep(self.interval)
            report = self._read(session)
            n_reads += 1
        return report

    def _read(self, session: Session) -> Report | Failure:
        usage = read_resource(session, "/v1/usage")
        status = read_resource(session, "/v1/status")
        if isinstance(usage, Failure):
            return usage
        if isinstance(status, Failure):
            return status
        tables = [
            Table(_USAGE_COLUMNS, usage["teams"]),
            Table(_POOL_COLUMNS, status["pools"]),
        ]
        return Report({**usage, "pools": status["pools"]}, tables=tables)
