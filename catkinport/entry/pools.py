"""The actor that reads the serving VMs, again after each change of the fleet."""

import logging
from typing import Any

import pykka

from ..membership.interface import MembershipSnapshot
from ..ports import Unavailable
from ..runtime import log_event
from ..state import pool_key
from . import messages
from .services import EntryServices

logger = logging.getLogger(__name__)


class PoolsActor(pykka.ThreadingActor):
    """Reads the pools of all services and sends their VMs to the dispatcher.

    Args:
        services: ports and shared objects.
        dispatcher: the actor that chooses backend servers.
    """

    def __init__(self, services: EntryServices, dispatcher: Any) -> None:
        super().__init__()
        self._services = services
        self._dispatcher = dispatcher
        self._last_query: messages.PoolsQuery | None = None

    def on_receive(self, message: Any) -> None:
        """Read the pools if they or the generation changed since the last read.

        Every message starts a check; after a failed read, the next one tries again.
        """
        snapshot = self._services.membership.snapshot()
        query = _build_query(snapshot)
        if query is None or query == self._last_query:
            return
        row_keys = [pool_key(pool) for pool in query.pools]
        rows = self._services.table.read(row_keys)
        if isinstance(rows, Unavailable):
            # The servers of the last read stay in use until the store answers.
            log_event(
                logger,
                "pool read failed",
                logging.WARNING,
                step=rows.step,
                peer=rows.peer,
                reason=rows.reason.value,
            )
            return
        vms = {key.key: row.value["serving_vm_by_id"] for key, row in rows.items()}
        self._dispatcher.tell(messages.ServingChanged(vms))
        self._last_query = query


def _build_query(snapshot: MembershipSnapshot) -> messages.PoolsQuery | None:
    if snapshot.environment is None:
        return None
    services = snapshot.environment.service_by_name.values()
    pools = sorted({service.pool for service in services})
    return messages.PoolsQuery(snapshot.generation, tuple(pools))
