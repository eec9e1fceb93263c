"""Routes that show, check and change the environment's document."""

from typing import Any

from ..ports import Unavailable
from ..runtime import BadRequestError
from ..settings.document import parse_document
from ..settings.edits import diff_documents
from ..settings.environment import Environment
from .answers import answer_faults, answer_obstacles, describe_fault
from .calls import OperatorCall, OperatorRoutes, read_text, read_whole_number
from .removals import find_obstacles
from .stored_document import StoredDocument, read_stored_document


def add_configuration_routes(routes: OperatorRoutes) -> None:
    """Add the routes below ``/v1/configuration``."""

    @routes.read("/v1/configuration", allows_bootstrap=True)
    def show(call: OperatorCall) -> Any:
        stored = read_stored_document(call.context.table)
        if isinstance(stored, Unavailable):
            return _show_member_copy(call)
        return {**stored._asdict(), "source": "store"}

    @routes.change("PUT", "/v1/configuration", allows_bootstrap=True)
    def apply(call: OperatorCall) -> Any:
        body = call.read_body()
        document = read_text(body, "document")
        expected_revision = read_whole_number(body, "expected_revision")
        if expected_revision is None:
            raise BadRequestError(
                "expected_revision must be given; 0 for the first document"
            )
        outcome = parse_document(document)
        if isinstance(outcome, list):
            return answer_faults(outcome)
        obstacles = _find_obstacles(call, outcome)
        if isinstance(obstacles, Unavailable):
            return obstacles
        if obstacles:
            return answer_obstacles(obstacles)
        return call.context.membership.accept_document(
            document, expected_revision, call.change_id, call.operator
        )

    @routes.compute("/v1/configuration/check", allows_bootstrap=True)
    def check(call: OperatorCall) -> Any:
        outcome = parse_document(read_text(call.read_body(), "document"))
        faults = outcome if isinstance(outcome, list) else []
        return {"faults": [describe_fault(fault) for fault in faults]}

    @routes.compute("/v1/configuration/diff", allows_bootstrap=True)
    def diff(call: OperatorCall) -> Any:
        document = read_text(call.read_body(), "document")
        stored = read_stored_document(call.context.table)
        if isinstance(stored, Unavailable):
            return stored
        outcome = parse_document(document)
        faults = outcome if isinstance(outcome, list) else []
        obstacles = [] if faults else _find_obstacles(call, outcome)
        if isinstance(obstacles, Unavailable):
            return obstacles
        return {
            "current_revision": stored.revision,
            "diff": diff_documents(stored.document, document),
            "faults": [describe_fault(fault) for fault in faults],
            "obstacles": obstacles,
        }


def _find_obstacles(
    call: OperatorCall, environment: Environment
) -> list[str] | Unavailable:
    current = call.context.membership.snapshot().environment
    if current is None:
        return []
    return find_obstacles(call.context.table, current, environment)


def _show_member_copy(call: OperatorCall) -> dict[str, Any]:
    """Return this member's copy of the document, as the store can't be read."""
    snapshot = call.context.membership.snapshot()
    shown = StoredDocument(snapshot.revision, "", snapshot.document, [])
    return {**shown._asdict(), "source": "member"}
