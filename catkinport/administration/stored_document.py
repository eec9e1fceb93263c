"""Reads and edits of the accepted document in the table service."""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..membership.interface import RevisionConflict
from ..ports import Refused, Table, Unavailable
from ..settings.document import parse_document
from ..state import CONFIGURATION, RevisionRecord
from .answers import answer_faults
from .calls import OperatorCall

# An attempt fails only if another change is accepted meanwhile, and one is accepted
# about every 40 s.
_MAX_EDIT_ATTEMPTS = 5


class StoredDocument(NamedTuple):
    """The accepted document; revision 0 and an empty text before the first."""

    revision: int
    digest: str
    document: str
    history: list[RevisionRecord]


def read_stored_document(table: Table) -> StoredDocument | Unavailable:
    """Return the accepted document, or revision 0 if there is none yet."""
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
    """Apply ``edit`` to the accepted document and submit the result for acceptance.

    Args:
        call: the operator's request.
        change_id: id of the change; different edits must have different ids.
        expected_revision: revision that the edit is for. With ``None`` the edit is
            repeated on a newer document, which is safe for an edit that adds or
            removes one section.
        edit: returns the new document, or why the edit is refused.
    """
    outcome: Any = None
    for _ in range(_MAX_EDIT_ATTEMPTS):
        stored = read_stored_document(call.context.table)
        if isinstance(stored, Unavailable):
            return stored
        for record in stored.history:
            if record["change_id"] == change_id:
                return _answer_repeated_change(call, change_id, stored, record)
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


def _answer_repeated_change(
    call: OperatorCall, change_id: str, stored: StoredDocument, record: RevisionRecord
) -> Any:
    """Return the outcome of a change that an earlier request committed."""
    revision = record["revision"]
    if revision == stored.revision:
        return _accept(call, change_id, stored.document, revision - 1)
    # The store keeps only the newest document, so that of an older revision can't be
    # submitted again to learn when it is in force.
    return {"revision": revision, "seconds_until_in_force": None}
