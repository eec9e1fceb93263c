"""Commands on jobs."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from .api import path_of
from .exit_codes import Failure
from .fleet import read_resource, send_change
from .output import Report, Table
from .session import Session

_COLUMNS = ("queue", "job_id", "team", "state", "attempt", "worker_vm", "reason")
QueueName = Annotated[str, cappa.Arg(help="Queue of the job.")]
JobId = Annotated[str, cappa.Arg(help="The job.")]


@cappa.command(name="list", help="List jobs.")
@dataclass
class JobList:
    """Command that lists jobs."""

    queue: Annotated[str, cappa.Arg(long=True, help="Only jobs of this queue.")] = ""
    state: Annotated[str, cappa.Arg(long=True, help="Only jobs in this state.")] = ""
    team: Annotated[str, cappa.Arg(long=True, help="Only jobs of this team.")] = ""
    after: Annotated[
        str,
        cappa.Arg(
            long=True, help="Only jobs after QUEUE/JOB_ID, to get the next page."
        ),
    ] = ""
    limit: Annotated[int, cappa.Arg(long=True, help="At most this many jobs.")] = 100

    def run(self, session: Session) -> Report | Failure:
        """Return a page of jobs."""
        answer = read_resource(
            session,
            "/v1/jobs",
            queue=self.queue,
            state=self.state,
            team=self.team,
            after=self.after,
            limit=str(self.limit),
        )
        if isinstance(answer, Failure):
            return answer
        lines = []
        if answer["next_after"]:
            lines = [
                f"there are more jobs; continue with --after {answer['next_after']}"
            ]
        return Report(answer, lines, [Table(_COLUMNS, answer["jobs"])])


@cappa.command(name="show", help="Show a job.")
@dataclass
class JobShow:
    """Command that shows a job."""

    queue: QueueName
    job_id: JobId

    def run(self, session: Session) -> Report | Failure:
        """Return the job."""
        answer = read_resource(session, path_of("jobs", self.queue, self.job_id))
        if isinstance(answer, Failure):
            return answer
        rows = [{"field": name, "value": value} for name, value in answer.items()]
        return Report(answer, tables=[Table(("field", "value"), rows)])


@cappa.command(name="cancel", help="Request the cancellation of a job.")
@dataclass
class JobCancel:
    """Command that requests the cancellation of a job."""

    queue: QueueName
    job_id: JobId

    def run(self, session: Session) -> Report | Failure:
        """Return the job's state."""
        path = path_of("jobs", self.queue, self.job_id, "cancel")
        answer = send_change(session, "POST", path)
        if isinstance(answer, Failure):
            return answer
        if answer["is_cancel_requested"]:
            return Report(answer, [f"the cancellation of {self.job_id} is under way"])
        return Report(answer, [f"{self.job_id} is {answer['state']} already"])


@cappa.command(name="job", help="List, show and cancel jobs.")
@dataclass
class JobCommand:
    """Group of the commands on jobs."""

    command: cappa.Subcommands[JobList | JobShow | JobCancel]

    def run(self, session: Session) -> Report | Failure:
        """Run the chosen command of the group."""
        return self.command.run(session)
