"""The accepted document in the table service, and edits of it."""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..membership.interface import RevisionConflict
from ..ports import Refused, Table, Unavailable
from ..settings.document import parse_document
from ..state import CONFIGURATION, RevisionRecord
from .answers import answer_faults
from .calls import OperatorCall

# Each attempt loses only to another accepted change, and there is about one in 40 s.
_MAX_EDIT_ATTEMPTS = 5


class StoredDocument(NamedTuple):
    """The accepted document; revision 0 and an empty text before the first."""

    revision: int
    digest: str
    document: str
    history: list[RevisionRecord]


def read_stored_document(table: Table) -> StoredDocument | Unavailable:
    """Read the accepted document."""
    rows = table.read([CONFIGURATION])
    if isinstance(rows, Unavailable):
        return rows
    if CONFIGURATION not in rows:
        return StoredDocument(0, "", "", [])
    value = rows[CONFIGURATION].value
    return StoredDocument(*(value[field] for field in StoredDocument._fields))


def edit_document(
    call: OperatorCall,
    change_id: str,
    expected_revision: int | None,
    edit: Callable[[str], str | Refused],
) -> Any:
    """Apply ``edit`` to the accepted document and have the result accepted.

    Args:
        call: the operator's request.
        change_id: id of the change, which must tell different edits apart.
        expected_revision: revision that the edit is for. ``None`` lets the edit be
            repeated on a newer document, which suits edits of a section of its own.
        edit: returns the new document or why it is refused.
    """
    outcome: Any = None
    for _ in range(_MAX_EDIT_ATTEMPTS):
        stored = read_stored_document(call.context.table)
        if isinstance(stored, Unavailable):
            return stored
        for record in stored.history:
            if record["change_id"] == change_id:
                return _repeat(call, change_id, stored, record)
        if expected_revision not in (None, stored.revision):
            return RevisionConflict(stored.revision, stored.digest)
        edited = edit(stored.document)
        if isinstance(edited, Refused):
            return edited
        outcome = _accept(call, change_id, edited, stored.revision)
        if not isinstance(outcome, RevisionConflict):
            return outcome
    return outcome


def _accept(call: OperatorCall, change_id: str, document: str, revision: int) -> Any:
    parsed = parse_document(document)
    if isinstance(parsed, list):
        return answer_faults(parsed)
    membership = call.context.membership
    return membership.accept_document(document, revision, change_id, call.operator)


def _repeat(
    call: OperatorCall, change_id: str, stored: StoredDocument, record: RevisionRecord
) -> Any:
    """Answer a change that was committed before."""
    revision = record["revision"]
    if revision == stored.revision:
        return _accept(call, change_id, stored.document, revision - 1)
    # The document of that revision is gone, so its acceptance can't be asked again.
    return {"revision": revision, "seconds_until_in_force": None}
