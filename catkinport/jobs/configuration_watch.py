"""Follows the operator's configuration and proves how current it is."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from ..ports import Unavailable
from ..ports.async_table import AsyncTable, Changes, HistoryLost
from ..ports.clock import Clock
from ..ports.table import Row
from ..runtime.logs import log_event
from .configuration import FleetConfiguration

logger = logging.getLogger(__name__)

FOLLOW_SECONDS = 0.8
"""Longest wait of one look. Each answer proves that the configuration is current."""

RETRY_SECONDS = 0.15
"""Pause after a look that had no answer."""

FEED_LAG_SECONDS = 1.0
"""While the table service loses its history, a feed may hide changes for this long."""

Decode = Callable[[Mapping[str, Any]], FleetConfiguration]
Listener = Callable[[FleetConfiguration], None]


class ConfigurationWatch:
    """The configuration in force, and since when it is known to be current.

    Args:
        table: client of the table service.
        clock: steady clock that also counts while the VM is suspended.
        operator_table: table of the operator's rows.
        configuration_key: key of the row of the configuration.
        decode: reads the row's value; raises ValueError if it cannot be used.
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
        self._proved_at = float("-inf")
        self._is_reached = True
        self._listeners: list[Listener] = []
        self.current: FleetConfiguration | None = None
        self.row_by_key: dict[str, Row] = {}

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with each new configuration."""
        self._listeners.append(listener)

    def age_seconds(self) -> float:
        """Return for how long a newer configuration may have been in force."""
        return self._clock.now() - self._proved_at

    def is_table_reached(self) -> bool:
        """Return whether the latest look at the table service had an answer."""
        return self._is_reached

    async def run(self) -> None:
        """Follow the rows for ever."""
        while True:
            is_answered = await self._look()
            if is_answered != self._is_reached:
                self._is_reached = is_answered
                log_event(
                    logger,
                    "table service regained" if is_answered else "table service lost",
                    age_seconds=round(self.age_seconds(), 2),
                )
            if not is_answered:
                await asyncio.sleep(RETRY_SECONDS)

    async def _look(self) -> bool:
        sent_at = self._clock.now()
        if self._version is None:
            snapshot = await self._table.read_range(self._operator_table)
            if isinstance(snapshot, Unavailable):
                return False
            self._version = snapshot.version
            self.row_by_key = {row.row_key.key: row for row in snapshot.rows}
            self._take_configuration()
            self._proved_at = max(self._proved_at, sent_at)
            return True
        outcome = await self._table.follow(
            self._operator_table, self._version, FOLLOW_SECONDS
        )
        if isinstance(outcome, HistoryLost):
            log_event(logger, "configuration feed lost its history")
            self._version = None
            return True
        if not isinstance(outcome, Changes):
            return False
        self._version = outcome.version
        for row in outcome.rows:
            if row.value is None:
                self.row_by_key.pop(row.row_key.key, None)
            else:
                self.row_by_key[row.row_key.key] = row
        if outcome.rows:
            self._take_configuration()
        self._proved_at = max(self._proved_at, sent_at - FEED_LAG_SECONDS)
        return True

    def _take_configuration(self) -> None:
        row = self.row_by_key.get(self._configuration_key)
        if row is None:
            return
        try:
            configuration = self._decode(row.value)
        except ValueError as error:
            log_event(
                logger,
                "configuration unreadable",
                level=logging.ERROR,
                reason=str(error),
            )
            return
        if self.current is not None and configuration.version <= self.current.version:
            return
        self.current = configuration
        log_event(
            logger,
            "configuration in force",
            version=configuration.version,
            n_queues=len(configuration.queue_by_name),
            n_accounts=len(configuration.account_by_name),
            n_keys=len(configuration.account_name_by_key),
        )
        for listener in self._listeners:
            listener(configuration)
