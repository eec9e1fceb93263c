"""Commits a change of the configuration. Runs in the thread of the caller."""

import hashlib
from typing import NamedTuple

from ..ports import (
    Clock,
    Committed,
    Condition,
    Reason,
    Refused,
    Row,
    RowKey,
    Table,
    Transaction,
    Unavailable,
    Write,
)
from ..state import (
    CONFIGURATION,
    MARK_CHANGE,
    ROSTER,
    ConfigurationRow,
    MemberRow,
    RevisionRecord,
)
from .interface import RevisionConflict

HISTORY_LENGTH = 20
# Time to resolve lost answers and conflicts with a changing roster.
COMMIT_SECONDS = 4.0
_RETRY_SECONDS = 0.1


class Change(NamedTuple):
    """A change to commit."""

    document: str
    expected_revision: int
    change_id: str
    operator: str
    member_id: str


class CommittedChange(NamedTuple):
    """The change is committed; with all members at that time."""

    revision: int
    document: str
    member_row_by_id: dict[str, MemberRow]


CommitResult = CommittedChange | RevisionConflict | Refused | Unavailable


def digest_of(document: str) -> str:
    """Return the digest of a document.

    Example:
        >>> digest_of("")[:8]
        'e3b0c442'
    """
    return hashlib.sha256(document.encode()).hexdigest()


def commit_change(table: Table, clock: Clock, change: Change) -> CommitResult:
    """Commit a change, or find that it was committed before.

    After a lost answer the rows are read again, and the change is looked up by its
    ``change_id``. A repeated commit has the same condition on the revision, so that
    at most one of them takes effect.
    """
    deadline = clock.now() + COMMIT_SECONDS
    may_have_committed = False
    while True:
        result = _try_commit(table, change)
        if isinstance(result, Unavailable):
            may_have_committed |= result.may_have_committed
        elif result is not None:
            return result
        if not may_have_committed and isinstance(result, Unavailable):
            return result
        if clock.now() >= deadline:
            return _unresolved(result, may_have_committed)
        clock.sleep(_RETRY_SECONDS)


def _unresolved(result: Unavailable | None, may_have_committed: bool) -> Unavailable:
    """Return the outcome of a change that could not be resolved in time."""
    failure = result or Unavailable(
        Reason.VERSION_DIFFERS, "accept-document", detail="the roster keeps changing"
    )
    return failure._replace(may_have_committed=may_have_committed)


def _try_commit(table: Table, change: Change) -> CommitResult | None:
    """Try once; ``None`` asks for another try after a conflict."""
    rows = table.read([CONFIGURATION, ROSTER])
    if isinstance(rows, Unavailable):
        return rows
    settled = _find_settled(rows, change)
    if settled is not None:
        return settled
    row, revision = _next_row(rows.get(CONFIGURATION), change)
    outcome = table.commit(
        Transaction(
            # The roster may not change either: an evicted member must not accept,
            # and all members at the commit are asked to acknowledge.
            [_condition(rows, CONFIGURATION), _condition(rows, ROSTER)],
            [Write(CONFIGURATION, dict(row)), MARK_CHANGE],
        )
    )
    if isinstance(outcome, Committed):
        return CommittedChange(revision, change.document, _members(rows))
    return outcome if isinstance(outcome, Unavailable) else None


def _find_settled(rows: dict[RowKey, Row], change: Change) -> CommitResult | None:
    """Return what follows without a commit: a repetition, a conflict, a refusal."""
    current = rows[CONFIGURATION].value if CONFIGURATION in rows else {}
    for record in current.get("history", []):
        if record["change_id"] == change.change_id:
            return _repeat(rows, change, record)
    revision = current.get("revision", 0)
    if revision != change.expected_revision:
        return RevisionConflict(revision, current.get("digest", ""))
    member = _members(rows).get(change.member_id)
    if member is None or member["is_evicted"]:
        return Refused(
            Reason.CONFIGURATION_STALE,
            "accept-document",
            detail="this member is not in the roster; it registers anew",
        )
    return None


def _repeat(
    rows: dict[RowKey, Row], change: Change, record: RevisionRecord
) -> CommittedChange | Refused:
    if record["digest"] != digest_of(change.document):
        return Refused(
            Reason.DIGEST_DIFFERS,
            "accept-document",
            detail=f"change_id {change.change_id!r} was used for another document",
        )
    return CommittedChange(record["revision"], change.document, _members(rows))


def _next_row(current: Row | None, change: Change) -> tuple[ConfigurationRow, int]:
    history: list[RevisionRecord] = current.value["history"] if current else []
    revision = change.expected_revision + 1
    record: RevisionRecord = {
        "revision": revision,
        "digest": digest_of(change.document),
        "change_id": change.change_id,
        "accepted_by": change.member_id,
        "operator": change.operator,
    }
    row: ConfigurationRow = {
        **record,
        "document": change.document,
        "history": [*history, record][-HISTORY_LENGTH:],
    }
    return row, revision


def _condition(rows: dict[RowKey, Row], row_key: RowKey) -> Condition:
    return Condition(row_key, rows[row_key].version if row_key in rows else 0)


def _members(rows: dict[RowKey, Row]) -> dict[str, MemberRow]:
    return rows[ROSTER].value["member_by_id"] if ROSTER in rows else {}
