"""Reads and writes of the rows that membership uses. Every function blocks."""

from collections.abc import Callable, Collection
from typing import NamedTuple

from ..policy.freshness import View, ViewMember
from ..ports import (
    Committed,
    Condition,
    Reason,
    Row,
    RowKey,
    Table,
    Transaction,
    Unavailable,
    Write,
)
from ..state import (
    CHANGES,
    CHANGES_WRITE,
    CONFIGURATION,
    GENERATION,
    ROSTER,
    MemberRow,
)

# Enough for all members of a deployment to register at the same time, each of which
# makes the attempts of the others conflict.
_MAX_ATTEMPTS = 24


class StoreState(NamedTuple):
    """The configuration, the roster and the generation at one time.

    ``changes_version`` is the version of a row that is written with each change of
    any of them.
    """

    changes_version: int
    revision: int
    document: str
    view: View
    member_row_by_id: dict[str, MemberRow]
    generation: int


def read_state(
    table: Table, known: StoreState | None = None
) -> StoreState | Unavailable:
    """Read the state.

    One small row shows whether anything has changed since ``known``; only then are
    all rows read, in one snapshot.

    Args:
        table: client of the table service.
        known: state read before, returned again while nothing has changed.

    Returns:
        The state, or ``Unavailable`` when the read failed or its answer is older than
        ``known``. Such an answer came from a replica that lags behind, so it must not
        renew a lease.
    """
    if known is not None and known.changes_version > 0:
        rows = table.read([CHANGES])
        if isinstance(rows, Unavailable):
            return rows
        version = rows[CHANGES].version if CHANGES in rows else 0
        if version == known.changes_version:
            return known
        if version < known.changes_version:
            detail = (
                f"version {version} is older than the known {known.changes_version}"
            )
            return Unavailable(Reason.VERSION_DIFFERS, "membership-read", detail=detail)
    rows = table.read([CHANGES, CONFIGURATION, ROSTER, GENERATION])
    if isinstance(rows, Unavailable):
        return rows
    return _parse_state(rows)


def _parse_state(rows: dict[RowKey, Row]) -> StoreState:
    configuration = rows[CONFIGURATION].value if CONFIGURATION in rows else {}
    generation = rows[GENERATION].value if GENERATION in rows else {}
    roster = rows.get(ROSTER)
    members = roster.value["member_by_id"] if roster else {}
    return StoreState(
        changes_version=rows[CHANGES].version if CHANGES in rows else 0,
        revision=configuration.get("revision", 0),
        document=configuration.get("document", ""),
        view=view_of_roster(roster),
        member_row_by_id=members,
        generation=generation.get("generation", 0),
    )


def view_of_roster(roster: Row | None) -> View:
    """Return the view in the roster row; an empty view without a row."""
    if roster is None:
        return View(0, {})
    member_by_id = {
        member_id: ViewMember(
            row["role"], row["peer_address"], row["zone"], row["is_evicted"]
        )
        for member_id, row in roster.value["member_by_id"].items()
    }
    return View(roster.version, member_by_id)


def register(
    table: Table, member_id: str, member: MemberRow
) -> StoreState | Unavailable:
    """Add a member to the roster and return the state right after it."""

    def add(members: dict[str, MemberRow]) -> dict[str, MemberRow]:
        return members if member_id in members else {**members, member_id: member}

    failure = change_roster(table, add)
    return failure or read_state(table)


def evict(table: Table, member_ids: Collection[str]) -> Unavailable | None:
    """Mark members as evicted."""

    def mark(members: dict[str, MemberRow]) -> dict[str, MemberRow]:
        evicted: dict[str, MemberRow] = {
            member_id: {**members[member_id], "is_evicted": True}
            for member_id in member_ids
            if member_id in members and not members[member_id]["is_evicted"]
        }
        return {**members, **evicted}

    return change_roster(table, mark)


def remove(table: Table, member_ids: Collection[str]) -> Unavailable | None:
    """Remove members that left or whose eviction is complete."""

    def drop(members: dict[str, MemberRow]) -> dict[str, MemberRow]:
        return {m: row for m, row in members.items() if m not in member_ids}

    return change_roster(table, drop)


def change_roster(
    table: Table, change: Callable[[dict[str, MemberRow]], dict[str, MemberRow]]
) -> Unavailable | None:
    """Apply an idempotent change to the roster by compare-and-set.

    After a conflict or a lost answer the roster is read again. Nothing is written if
    the change has no effect any more; else the write is retried.
    """
    failure: Unavailable | None = None
    for _ in range(_MAX_ATTEMPTS):
        rows = table.read([ROSTER])
        if isinstance(rows, Unavailable):
            return rows
        roster = rows.get(ROSTER)
        members = dict(roster.value["member_by_id"]) if roster else {}
        changed = change(members)
        if changed == members:
            return None
        transaction = Transaction(
            [Condition(ROSTER, roster.version if roster else 0)],
            [Write(ROSTER, {"member_by_id": changed}), CHANGES_WRITE],
        )
        outcome = table.commit(transaction)
        if isinstance(outcome, Committed):
            return None
        failure = outcome if isinstance(outcome, Unavailable) else None
        if failure is not None and not failure.may_have_committed:
            return failure
    return failure or Unavailable(
        Reason.VERSION_DIFFERS,
        "roster-write",
        detail="each attempt conflicted with another write",
    )
