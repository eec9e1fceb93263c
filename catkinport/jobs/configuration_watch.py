"""Follows the operator's configuration, and bounds how far it may be out of date."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from ..ports import Unavailable
from ..ports.async_table import AsyncTable, Changes, HistoryLost, Snapshot
from ..ports.clock import Clock
from ..ports.table import Row
from ..runtime.logs import log_event
from .configuration import FleetConfiguration

logger = logging.getLogger(__name__)

FOLLOW_SECONDS = 0.8
"""Longest wait of one long-poll call on the change feed of the operator's rows. Each
answer shows that the configuration was current when the call was sent."""

MAX_WAIT_AGE_SECONDS = 2.5
"""Age of the configuration from which on a call of the change feed does not wait for a
change. An answer that took long to arrive leaves the configuration that old, and a
call that waits would let it age further before it shows that it is current."""

LONG_LATENCY_SECONDS = 1.0
"""Time of an answer without a wait from which on calls of the change feed overlap. One
after the other, they would leave the configuration older than twice that time."""

OVERLAP_SECONDS = 0.5
"""Time from one overlapping call of the change feed to the next one."""

MAX_OVERLAPPING_CALLS = 6
"""Most overlapping calls of the change feed."""

RETRY_SECONDS = 0.15
"""Pause after a call to the table service that had no answer."""

FEED_LAG_SECONDS = 1.0
"""Longest time for which the change feed may hide a change while the table service
loses its history. An answer of the feed counts as older by this time."""

FAILURE_LOG_SECONDS = 5.0
"""Time between two log lines while calls to the table service go on failing."""

Decode = Callable[[Mapping[str, Any]], FleetConfiguration]
Listener = Callable[[FleetConfiguration], None]


class ConfigurationWatch:
    """Watcher of the configuration, which tracks when it was last known to be current.

    Args:
        table: client of the table service.
        clock: steady clock that also counts while the VM is suspended.
        operator_table: table of the operator's rows.
        configuration_key: key of the row of the configuration.
        decode: converts the row's value; raises ValueError if it is not valid.

    Attributes:
        current: the configuration in force; ``None`` before the first valid one.
        row_by_key: the operator's rows as last read.
    """

    def __init__(
        self,
        table: AsyncTable,
        clock: Clock,
        operator_table: str,
        configuration_key: str,
        decode: Decode,
    ) -> None:
        self._table = table
        self._clock = clock
        self._operator_table = operator_table
        self._configuration_key = configuration_key
        self._decode = decode
        self._version: int | None = None
        self._known_current_at = float("-inf")
        self._latency_seconds = 0.0
        self._failure: Unavailable | None = None
        self._n_failures = 0
        self._failure_logged_at = float("-inf")
        self._listeners: list[Listener] = []
        self.current: FleetConfiguration | None = None
        self.row_by_key: dict[str, Row] = {}

    def add_listener(self, listener: Listener) -> None:
        """Add a listener that is called with each new configuration."""
        self._listeners.append(listener)

    def age_seconds(self) -> float:
        """Return for how many seconds a newer configuration may have been in force."""
        return self._clock.now() - self._known_current_at

    def is_table_reached(self) -> bool:
        """Return whether the latest call to the table service had an answer."""
        return self._failure is None

    async def run(self) -> None:
        """Follow the operator's rows until cancelled."""
        in_flight: set[asyncio.Task[Unavailable | None]] = set()
        try:
            while True:
                in_flight.add(asyncio.ensure_future(self._poll()))
                await self._await_turn(in_flight)
        finally:
            for call in in_flight:
                call.cancel()

    async def _await_turn(
        self, in_flight: set[asyncio.Task[Unavailable | None]]
    ) -> None:
        """Wait until the next call is due; remove the calls that have ended.

        That is after an answer or, while answers take long, after `OVERLAP_SECONDS`.
        """
        may_overlap = self._is_far() and len(in_flight) < MAX_OVERLAPPING_CALLS
        ended, _ = await asyncio.wait(
            in_flight,
            timeout=OVERLAP_SECONDS if may_overlap else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        in_flight -= ended
        for call in ended:
            self._record_outcome(call.result())
        if ended and self._failure is not None:
            await asyncio.sleep(RETRY_SECONDS)

    def _is_far(self) -> bool:
        return self._latency_seconds >= LONG_LATENCY_SECONDS

    def _record_outcome(self, failure: Unavailable | None) -> None:
        """Note how the latest call ended; log changes, and failures at intervals."""
        is_lost_now = failure is not None and self._failure is None
        if failure is None and self._failure is not None:
            log_event(
                logger,
                "table service contact restored",
                age_seconds=round(self.age_seconds(), 2),
                n_failures=self._n_failures,
            )
        self._n_failures = 0 if failure is None else self._n_failures + 1
        self._failure = failure
        if failure is None:
            return
        now = self._clock.now()
        if not is_lost_now and now - self._failure_logged_at < FAILURE_LOG_SECONDS:
            return
        self._failure_logged_at = now
        log_event(
            logger,
            "table service contact lost" if is_lost_now else "table service calls fail",
            age_seconds=round(self.age_seconds(), 2),
            n_failures=self._n_failures,
            step=failure.step,
            reason=failure.reason.value,
            detail=failure.detail,
        )

    async def _poll(self) -> Unavailable | None:
        """Read or follow the operator's rows once; return why there is no answer."""
        sent_at = self._clock.now()
        if self._version is None:
            snapshot = await self._table.read_range(self._operator_table)
            if isinstance(snapshot, Unavailable):
                return snapshot
            self._latency_seconds = self._clock.now() - sent_at
            self._apply_snapshot(snapshot)
            self._known_current_at = max(self._known_current_at, sent_at)
            return None
        may_wait = not self._is_far() and self.age_seconds() < MAX_WAIT_AGE_SECONDS
        wait_seconds = FOLLOW_SECONDS if may_wait else 0.0
        outcome = await self._table.follow(
            self._operator_table, self._version, wait_seconds
        )
        if isinstance(outcome, HistoryLost):
            log_event(logger, "configuration feed lost its history")
            self._version = None
            return None
        if not isinstance(outcome, Changes):
            return outcome
        if not outcome.rows:
            self._latency_seconds = self._clock.now() - sent_at - wait_seconds
        if self._version is None:
            # An overlapping call found that the history was lost, so these changes may
            # lack some, and the answer does not show that the configuration is current.
            return None
        self._apply_changes(outcome)
        self._known_current_at = max(self._known_current_at, sent_at - FEED_LAG_SECONDS)
        return None

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply all rows, unless an overlapping call has had later ones."""
        if self._version is not None and snapshot.version < self._version:
            return
        self._version = snapshot.version
        self.row_by_key = {row.row_key.key: row for row in snapshot.rows}
        self._apply_configuration()

    def _apply_changes(self, changes: Changes) -> None:
        """Apply the changed rows, unless an overlapping call has had later ones."""
        if self._version is not None and changes.version < self._version:
            return
        self._version = changes.version
        for row in changes.rows:
            if row.value is None:
                self.row_by_key.pop(row.row_key.key, None)
            else:
                self.row_by_key[row.row_key.key] = row
        if changes.rows:
            self._apply_configuration()

    def _apply_configuration(self) -> None:
        row = self.row_by_key.get(self._configuration_key)
        if row is None:
            return
        try:
            configuration = self._decode(row.value)
        except ValueError as error:
            log_event(
                logger,
                "configuration decode failed",
                level=logging.ERROR,
                reason=str(error),
            )
            return
        if self.current is not None and configuration.version <= self.current.version:
            return
        self.current = configuration
        log_event(
            logger,
            "configuration applied",
            version=configuration.version,
            n_queues=len(configuration.queue_by_name),
            n_accounts=len(configuration.account_by_name),
            n_keys=len(configuration.account_name_by_key),
        )
        for listener in self._listeners:
            listener(configuration)
