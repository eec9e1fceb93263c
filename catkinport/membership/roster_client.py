"""Store calls of the membership actor, which do not block it."""

from collections.abc import Callable, Collection
from typing import Any

from ..ports import Clock, Table, Unavailable
from ..state import MemberRow
from . import messages, roster_store
from .store_actor import StoreActor, StoreCall

Report = Callable[[Any], None]


class RosterClient:
    """Reads and writes the rows of membership, at most one of each at a time.

    The results are reported as messages, after which ``on_read_ended`` or
    ``on_write_ended`` must be called. A slow read does not delay a write.

    Args:
        table: client of the table service.
        clock: clock of the leases.
        report: called with each result in a thread of its own.
    """

    def __init__(self, table: Table, clock: Clock, report: Report) -> None:
        self._table = table
        self._clock = clock
        self._report = report
        self._reader = StoreActor.start()
        self._writer = StoreActor.start()
        self._is_reading = False
        self.is_writing = False

    def stop(self) -> None:
        """Stop without waiting for the store."""
        self._reader.stop(block=False)
        self._writer.stop(block=False)

    def read(self, known: roster_store.StoreState | None) -> None:
        """Read the state, unless a read is in progress; report a ``StoreRead``."""
        if self._is_reading:
            return
        self._is_reading = True

        def read() -> messages.StoreRead:
            sent_at = self._clock.now()
            state = roster_store.read_state(self._table, known)
            return messages.StoreRead(sent_at, state)

        on_error = messages.StoreRead(0.0, None)
        self._run(self._reader, read, on_error)

    def register(self, member_id: str, row: MemberRow) -> None:
        """Register, unless a write is in progress; report ``Registered``."""
        if self.is_writing:
            return
        self.is_writing = True

        def write() -> messages.Registered:
            state = roster_store.register(self._table, member_id, row)
            return messages.Registered(member_id, state)

        self._run(self._writer, write, messages.Registered(member_id, None))

    def evict(self, member_ids: Collection[str]) -> None:
        """Mark members as evicted; report ``StoreWritten``."""
        self._change(roster_store.evict, member_ids)

    def remove(self, member_ids: Collection[str]) -> None:
        """Remove members; report ``StoreWritten``."""
        self._change(roster_store.remove, member_ids)

    def on_read_ended(self) -> None:
        """Allow the next read."""
        self._is_reading = False

    def on_write_ended(self) -> None:
        """Allow the next write."""
        self.is_writing = False

    def _change(
        self,
        change: Callable[[Table, Collection[str]], Unavailable | None],
        member_ids: Collection[str],
    ) -> None:
        self.is_writing = True

        def write() -> messages.StoreWritten:
            return messages.StoreWritten(change(self._table, member_ids))

        self._run(self._writer, write, messages.StoreWritten(None))

    def _run(self, actor: Any, function: Callable[[], Any], on_error: Any) -> None:
        actor.tell(StoreCall(function, lambda result: self._report(result or on_error)))
