"""Stores the queues that have unfinished jobs, and the pools that queues had before.

Accepted jobs of a removed queue go on under its last rules. A successor that has read
only the present configuration learns of them from the stored row. A queue may be
removed while there is no owner, so the row also holds queues that are configured. Until
the row holds a queue, the rules in the rows of its jobs count. The row also holds the
former pools of queues, where inherited jobs may have runs. A queue that has got another
pool starts accepted jobs there only once the row holds it.
"""

import asyncio
import logging
from collections.abc import Mapping
from typing import Any

from ...ports import Unavailable
from ...ports.table import Committed, Write
from ...runtime.logs import log_event
from ..configuration import ApprovalTerms, Queue
from ..tables import REMOVED_QUEUES_KEY
from .fenced_rows import FencedRows
from .session import RETRY_SECONDS, OwnerSession

logger = logging.getLogger(__name__)

CHECK_SECONDS = 0.2
"""Longest time after the first job of a queue until the row holds the queue, and after
the last job of a removed queue until the queue leaves the row."""

FORMER_POOLS_FIELD = "former_pools"
"""Field with the pools that a queue had before, beside the fields of the queue."""

COMMIT_ATTEMPTS = 2
"""Attempts of one commit of unknown outcome before the queues are collected again."""


class QueueStore:
    """Keeper of the row of queues that have to stay known after a change of them.

    Args:
        session: the ownership.
    """

    def __init__(self, session: OwnerSession) -> None:
        self._session = session
        self._changed = asyncio.Event()
        self._rows = FencedRows(session)
        self._stored: dict[str, Any] = {}

    def check_soon(self) -> None:
        """Compare the row with a new version of the configuration at once."""
        self._changed.set()

    async def load(self) -> bool:
        """Restore the queues that a former owner has stored.

        Returns:
            Whether the table service answered.
        """
        key = REMOVED_QUEUES_KEY.key
        rows = await self._session.table.read_range(
            REMOVED_QUEUES_KEY.table, key, key + "\0"
        )
        if isinstance(rows, Unavailable):
            return False
        self._rows.note_read(rows.rows)
        for row in rows.rows:
            self._note_stored(dict(row.value))
            for name, fields in row.value.items():
                self._restore(name, fields)
        return True

    def _note_stored(self, value: dict[str, Any]) -> None:
        """Note the value of the row, which a successor will read."""
        self._stored = value
        pool_by_queue = {
            name: fields["pool"]
            for name, fields in value.items()
            if isinstance(fields, Mapping) and isinstance(fields.get("pool"), str)
        }
        self._session.dispatcher.note_stored_queues(pool_by_queue)

    def _restore(self, name: str, fields: Mapping[str, Any]) -> None:
        try:
            queue = decode_queue(name, fields)
            former_pools = dict(fields.get(FORMER_POOLS_FIELD, {}))
        except (TypeError, AttributeError) as error:
            log_event(
                logger,
                "removed queue decode failed",
                level=logging.ERROR,
                queue=name,
                reason=repr(error)[:200],
            )
            return
        self._session.dispatcher.restore_queue(queue)
        self._session.dispatcher.restore_former_pools(name, former_pools)

    def _encode(self, queue: Queue) -> dict[str, Any]:
        """Return the part of the row about a queue, with its former pools if any."""
        row = encode_queue(queue)
        former_pools = self._session.dispatcher.find_former_pools(queue.name)
        return {**row, FORMER_POOLS_FIELD: former_pools} if former_pools else row

    async def run(self) -> None:
        """Store the queues when they change, until the ownership ends."""
        while True:
            if not await self._store():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                async with asyncio.timeout(CHECK_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _store(self) -> bool:
        """Store the present queues if they are not stored; return whether they are."""
        self._changed.clear()
        queues = self._session.dispatcher.find_used_queues(self._stored)
        value = {queue.name: self._encode(queue) for queue in queues}
        if value == self._stored:
            return True
        writes = [Write(REMOVED_QUEUES_KEY, value)]
        outcome = await self._rows.commit(writes, n_attempts=COMMIT_ATTEMPTS)
        log_event(
            logger,
            "queues stored",
            outcome=type(outcome).__name__,
            n_queues=len(value),
            queues=",".join(sorted(value)),
        )
        if not isinstance(outcome, Committed):
            return False
        self._note_stored(value)
        # Jobs of a queue with another pool may start there from now on.
        self._session.wake.set()
        return True


def encode_queue(queue: Queue) -> dict[str, Any]:
    """Return the fields of a queue as the row holds them."""
    approval = queue.approval._asdict() if queue.approval else None
    return {**queue._asdict(), "approval": approval}


def decode_queue(name: str, fields: Mapping[str, Any]) -> Queue:
    """Return the queue whose fields a row holds."""
    approval = fields.get("approval")
    terms = ApprovalTerms(**approval) if approval else None
    queue_fields = {k: v for k, v in fields.items() if k != FORMER_POOLS_FIELD}
    return Queue(**{**queue_fields, "name": name, "approval": terms})
