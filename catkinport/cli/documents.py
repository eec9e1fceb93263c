"""Commands on the environment's document."""

from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from ..settings.declaration import Fault, format_fault
from ..settings.document import parse_document
from .api import ApiClient
from .exit_codes import ExitCode, Failure
from .output import Report
from .session import Session, read_file

ExpectedRevision = Annotated[
    int | None,
    cappa.Arg(
        long="--expected-revision",
        help="Revision that the change was made for; 0 for the first document.",
    ),
]
DryRun = Annotated[
    bool, cappa.Arg(long="--dry-run", help="Show what would change, change nothing.")
]


@cappa.command(name="check", help="Check a document without an environment.")
@dataclass
class Check:
    """Command that checks a file locally."""

    file: Annotated[str, cappa.Arg(help="The document.")]

    def run(self, session: Session) -> Report | Failure:
        """Return a report without faults, or the faults of the document."""
        text = _read_document(self.file)
        if isinstance(text, Failure):
            return text
        return Report({"faults": []}, [f"{self.file} has no faults"])


@cappa.command(name="show", help="Print the accepted document.")
@dataclass
class Show:
    """Command that prints the accepted document, as a base for a change."""

    def run(self, session: Session) -> Report | Failure:
        """Return the document."""
        client = session.connect()
        stored = client if isinstance(client, Failure) else _read_stored(client)
        if isinstance(stored, Failure):
            return stored
        return Report(stored, [stored["document"].rstrip("\n")])


@cappa.command(name="diff", help="Compare a document with the accepted one.")
@dataclass
class Diff:
    """Command that shows what applying a file would change."""

    file: Annotated[str, cappa.Arg(help="The proposed document.")]

    def run(self, session: Session) -> Report | Failure:
        """Return the difference, the current revision and obstacles to applying it."""
        text = _read_document(self.file)
        client = session.connect()
        for outcome in (text, client):
            if isinstance(outcome, Failure):
                return outcome
        return _request_diff(client, text)


@cappa.command(name="apply", help="Apply a document and wait until it is in force.")
@dataclass
class Apply:
    """Command that applies a file."""

    file: Annotated[str, cappa.Arg(help="The document.")]
    expected_revision: ExpectedRevision = None
    dry_run: DryRun = False

    def run(self, session: Session) -> Report | Failure:
        """Return the revision of the accepted document."""
        text = _read_document(self.file)
        client = session.connect()
        for outcome in (text, client):
            if isinstance(outcome, Failure):
                return outcome
        return _apply(client, text, self.expected_revision, self.dry_run)


@cappa.command(
    name="promote",
    help="Apply the document of another environment, byte for byte, to this one.",
)
@dataclass
class Promote:
    """Command that applies the accepted document of ``--from-api`` at ``--api``."""

    from_api: Annotated[str, cappa.Arg(long=True, help="API of the other environment.")]
    from_key_file: Annotated[
        str,
        cappa.Arg(
            long=True, help="File with an operator's key of the other environment."
        ),
    ] = ""
    from_revision: Annotated[
        int | None,
        cappa.Arg(long=True, help="Revision that was tested in the other environment."),
    ] = None
    expected_revision: ExpectedRevision = None
    dry_run: DryRun = False

    def run(self, session: Session) -> Report | Failure:
        """Return the revision of the accepted document."""
        source = session.connect_to(self.from_api, self.from_key_file)
        target = session.connect()
        for outcome in (source, target):
            if isinstance(outcome, Failure):
                return outcome
        stored = _read_stored(source)
        if isinstance(stored, Failure):
            return stored
        revision = stored["revision"]
        if self.from_revision not in (None, revision):
            error = f"{self.from_api} has revision {revision}, not {self.from_revision}"
            hint = "test the new revision first, then give it as --from-revision"
            return Failure(ExitCode.CONFLICT, error, hint)
        document = stored["document"]
        return _apply(target, document, self.expected_revision, self.dry_run)


def _read_document(path: str) -> str | Failure:
    text = read_file(path)
    if isinstance(text, Failure):
        return text
    outcome = parse_document(text)
    if not isinstance(outcome, list):
        return text
    error = f"{path} has {len(outcome)} faults"
    faults = [_describe_fault(fault) for fault in outcome]
    return Failure(ExitCode.INVALID, error, details={"faults": faults})


def _describe_fault(fault: Fault) -> dict[str, Any]:
    return {**fault._asdict(), "text": format_fault(fault)}


def _read_stored(client: ApiClient) -> dict[str, Any] | Failure:
    stored = client.get("/v1/configuration")
    if isinstance(stored, Failure):
        return stored
    if stored["source"] != "store":
        error = "the store cannot be read, so the document shown may not be the newest"
        return Failure(ExitCode.UNAVAILABLE, error, "try again when the store is back")
    if not stored["revision"]:
        error = "the environment has no document yet"
        hint = "catkinctl apply FILE --expected-revision 0"
        return Failure(ExitCode.NOT_FOUND, error, hint)
    return stored


def _request_diff(client: ApiClient, text: str) -> Report | Failure:
    answer = client.compute("/v1/configuration/diff", {"document": text})
    if isinstance(answer, Failure):
        return answer
    difference = answer["diff"].rstrip("\n") or "no difference"
    lines = [difference, f"current revision: {answer['current_revision']}"]
    lines += [f"cannot be applied yet: {text}" for text in answer["obstacles"]]
    return Report(answer, lines)


def _apply(
    client: ApiClient, text: str, expected_revision: int | None, dry_run: bool
) -> Report | Failure:
    if dry_run:
        return _dry_run(client, text, expected_revision)
    if expected_revision is None:
        error = "--expected-revision must be given"
        hint = "--dry-run shows the difference and the current revision"
        return Failure(ExitCode.USAGE, error, hint)
    body = {"document": text, "expected_revision": expected_revision}
    answer = client.change("PUT", "/v1/configuration", body)
    return answer if isinstance(answer, Failure) else report_acceptance(answer)


def _dry_run(
    client: ApiClient, text: str, expected_revision: int | None
) -> Report | Failure:
    report = _request_diff(client, text)
    if isinstance(report, Failure):
        return report
    revision = report.value["current_revision"]
    if expected_revision not in (None, revision):
        error = f"the current revision is {revision}, not {expected_revision}"
        hint = "look at the difference to the current document with catkinctl diff"
        return Failure(ExitCode.CONFLICT, error, hint)
    return report


def report_acceptance(answer: dict[str, Any]) -> Report:
    """Return the report of an accepted change, with its revision."""
    seconds = answer["seconds_until_in_force"]
    after = "" if seconds is None else f", in force everywhere after {seconds:.2f} s"
    return Report(answer, [f"accepted as revision {answer['revision']}{after}"])
