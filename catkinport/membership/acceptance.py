"""Commit of a configuration change. Runs in the thread of the caller."""

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
    CHANGES_WRITE,
    CONFIGURATION,
    ROSTER,
    ConfigurationRow,
    MemberRow,
    RevisionRecord,
)
from .interface import RevisionConflict

HISTORY_LENGTH = 20
# Time limit for retries after lost answers and after conflicts with roster changes.
COMMIT_TIMEOUT_SECONDS = 4.0
_RETRY_DELAY_SECONDS = 0.1


class Change(NamedTuple):
    """A configuration change to commit."""

    document: str
    expected_revision: int
    change_id: str
    operator: str
    member_id: str


class CommittedChange(NamedTuple):
    """Result for a committed change, with all members of the roster at that time."""

    revision: int
    document: str
    member_row_by_id: dict[str, MemberRow]


CommitResult = CommittedChange | RevisionConflict | Refused | Unavailable


def digest_of(document: str) -> str:
    """Return the SHA-256 digest of a document in hexadecimal.

    Example:
        >>> digest_of("")[:8]
        'e3b0c442'
    """
    return hashlib.sha256(document.encode()).hexdigest()


def commit_change(table: Table, clock: Clock, change: Change) -> CommitResult:
    """Commit a change, or return its result if it was committed before.

    After a lost answer the rows are read again, and the change is looked up by its
    ``change_id``. A repeated commit has the same condition on the revision, so that
    at most one of them takes effect.
    """
    deadline = clock.now() + COMMIT_TIMEOUT_SECONDS
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
            return _undecided_outcome(result, may_have_committed)
        clock.sleep(_RETRY_DELAY_SECONDS)


def _undecided_outcome(
    result: Unavailable | None, may_have_committed: bool
) -> Unavailable:
    """Return the outcome of a change that is still undecided at the deadline."""
    failure = result or Unavailable(
        Reason.VERSION_DIFFERS,
        "accept-document",
        detail="the roster changed at each attempt",
    )
    return failure._replace(may_have_committed=may_have_committed)


def _try_commit(table: Table, change: Change) -> CommitResult | None:
    """Attempt the commit once; return ``None`` after a conflict, to try again."""
    rows = table.read([CONFIGURATION, ROSTER])
    if isinstance(rows, Unavailable):
        return rows
    decided = _outcome_without_commit(rows, change)
    if decided is not None:
        return decided
    row, revision = _next_row(rows.get(CONFIGURATION), change)
    outcome = table.commit(
        Transaction(
            # The commit also fails if the roster has changed since the read: an
            # evicted member must not accept a change, and a member that joined must be
            # among those that are asked to acknowledge it.
            [_condition(rows, CONFIGURATION), _condition(rows, ROSTER)],
            [Write(CONFIGURATION, dict(row)), CHANGES_WRITE],
        )
    )
    if isinstance(outcome, Committed):
        return CommittedChange(revision, change.document, _member_rows(rows))
    return outcome if isinstance(outcome, Unavailable) else None


def _outcome_without_commit(
    rows: dict[RowKey, Row], change: Change
) -> CommitResult | None:
    """Return the outcome of a repetition, conflict or refusal; else ``None``."""
    current = rows[CONFIGURATION].value if CONFIGURATION in rows else {}
    for record in current.get("history", []):
        if record["change_id"] == change.change_id:
            return _outcome_of_repetition(rows, change, record)
    revision = current.get("revision", 0)
    if revision != change.expected_revision:
        return RevisionConflict(revision, current.get("digest", ""))
    member = _member_rows(rows).get(change.member_id)
    if member is None or member["is_evicted"]:
        return Refused(
            Reason.CONFIGURATION_STALE,
            "accept-document",
            detail="this member is evicted or not in the roster; it registers again",
        )
    return None


def _outcome_of_repetition(
    rows: dict[RowKey, Row], change: Change, record: RevisionRecord
) -> CommittedChange | Refused:
    if record["digest"] != digest_of(change.document):
        return Refused(
            Reason.DIGEST_DIFFERS,
            "accept-document",
            detail=f"change_id {change.change_id!r} was used for another document",
        )
    return CommittedChange(record["revision"], change.document, _member_rows(rows))


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


def _member_rows(rows: dict[RowKey, Row]) -> dict[str, MemberRow]:
    return rows[ROSTER].value["member_by_id"] if ROSTER in rows else {}
