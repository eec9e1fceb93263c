"""The actor that reads which VMs serve, again with every new generation."""

import logging
from typing import Any

import pykka

from ..membership.interface import Snapshot
from ..ports import Unavailable
from ..runtime import log_event
from ..state import pool_key
from . import messages
from .services import EntryServices

logger = logging.getLogger(__name__)


class PoolsActor(pykka.ThreadingActor):
    """Reads the pools of all services and tells the dispatcher.

    Args:
        services: ports and shared objects.
        dispatcher: the actor that routes.
    """

    def __init__(self, services: EntryServices, dispatcher: Any) -> None:
        super().__init__()
        self._services = services
        self._dispatcher = dispatcher
        self._last_read: messages.ReadPools | None = None

    def on_receive(self, message: Any) -> None:
        """Read the pools unless that generation was read; ``Tick`` tries again."""
        snapshot = self._services.membership.snapshot()
        request = _read_request(snapshot)
        if request is None or request == self._last_read:
            return
        row_keys = [pool_key(pool) for pool in request.pools]
        rows = self._services.table.read(row_keys)
        if isinstance(rows, Unavailable):
            # The servers of the last generation are used until the store answers.
            log_event(
                logger,
                "pools not read",
                logging.WARNING,
                step=rows.step,
                peer=rows.peer,
                reason=rows.reason.value,
            )
            return
        vms = {key.key: row.value["serving_vm_by_id"] for key, row in rows.items()}
        self._dispatcher.tell(messages.ServingChanged(vms))
        self._last_read = request


def _read_request(snapshot: Snapshot) -> messages.ReadPools | None:
    if snapshot.environment is None:
        return None
    services = snapshot.environment.service_by_name.values()
    pools = sorted({service.pool for service in services})
    return messages.ReadPools(snapshot.generation, tuple(pools))
