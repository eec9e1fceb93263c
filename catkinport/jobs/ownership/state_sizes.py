"""Fits states of jobs and renewals into the rows and transactions of the table service.

The table service refuses a row or a transaction that is too large, at each attempt. A
refused transaction keeps all states in it from being stored, and the ends of runs from
being acknowledged. An owner whose renewals are refused is replaced.
"""

import json
import logging
from collections.abc import Mapping, Sequence
from operator import itemgetter
from typing import Any, NamedTuple

from ...runtime.logs import log_event
from ..dispatch.record import JobRecord
from ..tables import MAX_ROW_BYTES

logger = logging.getLogger(__name__)

ROWS_PER_COMMIT = 40
"""States stored in one transaction. A transaction may name 100 rows in all."""

MAX_COMMIT_BYTES = 150_000
"""Most bytes of the states in one transaction. Encoded they take a third more: 0.35 s
on a link of 5 Mbit/s, within the shortest timeout of a commit. The table service
refuses transactions over 1 MB."""

OPTIONAL_FIELDS = ("saved", "crashes", "failed_runs")
"""Fields whose entries are left out of a state that is too large, in this order. For
these entries a successor does saved work again and counts fewer failures."""

ENTRY_BYTES = 4
"""Quotes, colon and comma of an entry of a field."""

MAX_WAITING_BYTES = 40_000
"""Largest size of the numbers of waiting jobs in a renewal. All daemons read about
three renewals a second."""

ESCAPED_CHARACTER_BYTES = 12
"""Most bytes of a character in JSON; one that is not in ASCII is escaped."""


class SizedState(NamedTuple):
    """State of a job as it is about to be stored.

    Args:
        record: the job.
        row: its state.
        n_bytes: size of the state.
    """

    record: JobRecord
    row: dict[str, Any]
    n_bytes: int


def encode_batch(records: Sequence[JobRecord]) -> list[SizedState]:
    """Return the present states of the first jobs that fit into one transaction."""
    states: list[SizedState] = []
    n_bytes = 0
    for record in records[:ROWS_PER_COMMIT]:
        state = encode_state(record)
        n_bytes += state.n_bytes
        if states and n_bytes > MAX_COMMIT_BYTES:
            break
        states.append(state)
    return states


def encode_state(record: JobRecord) -> SizedState:
    """Return the state of a job, without some of its entries if it is too large."""
    row = record.to_row()
    n_bytes = _count_bytes(row)
    if n_bytes > MAX_ROW_BYTES:
        row = record.to_row(is_compact=True)
        n_bytes = _count_bytes(row)
    for field in OPTIONAL_FIELDS:
        if n_bytes <= MAX_ROW_BYTES:
            break
        n_entries = len(row[field])
        _leave_out(row[field], n_bytes - MAX_ROW_BYTES)
        n_bytes = _count_bytes(row)
        log_event(
            logger,
            "job state shortened",
            level=logging.WARNING,
            request_id=record.job.job_id,
            field=field,
            n_left_out=n_entries - len(row[field]),
            n_bytes=n_bytes,
        )
    return SizedState(record, row, n_bytes)


def fit_waiting(n_by_queue: Mapping[str, int]) -> dict[str, int]:
    """Return the numbers of waiting jobs that a renewal has room for, largest first."""
    fitting = {}
    n_bytes = 0
    for queue, n_jobs in sorted(n_by_queue.items(), key=itemgetter(1), reverse=True):
        character_bytes = 1 if queue.isascii() else ESCAPED_CHARACTER_BYTES
        n_bytes += len(queue) * character_bytes + len(str(n_jobs)) + ENTRY_BYTES
        if n_bytes > MAX_WAITING_BYTES:
            break
        fitting[queue] = n_jobs
    return fitting


def _leave_out(entries: dict[str, Any], n_bytes: int) -> None:
    """Remove the last entries until they have taken ``n_bytes`` or none is left."""
    while entries and n_bytes > 0:
        name, value = entries.popitem()
        n_bytes -= len(name) + _count_bytes(value) + ENTRY_BYTES


def _count_bytes(value: Any) -> int:
    return len(json.dumps(value, separators=(",", ":")))
