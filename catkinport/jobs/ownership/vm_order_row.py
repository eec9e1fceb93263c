"""The row by which a successor learns which VMs its predecessor has ordered."""

import logging
from collections.abc import Mapping
from typing import Any

from ...ports.table import Committed, Write
from ...runtime.logs import log_event
from ..tables import VM_ORDERS_KEY
from ..vms.vm_inventory import VmInventory
from .fenced_rows import FencedRows

logger = logging.getLogger(__name__)

COMMIT_ATTEMPTS = 2
"""Attempts of one commit of unknown outcome before its row is collected again."""

PRUNE_SECONDS = 1.0
"""Shortest time from a write of the row to one that only removes VMs. VMs are removed
once a successor need no longer wait before it orders them."""

NO_ORDERS: Mapping[str, Any] = {"vms": [], "unanswered_upkeeps": {}}
"""Value of the row while a successor has no orders to reckon with."""


class VmOrderRow:
    """Row of the VMs that were ordered lately, and of the upkeeps without an answer.

    Args:
        rows: writer of the rows of the owner.
        inventory: VMs and the orders for them.
        now: clock time in seconds.
    """

    def __init__(self, rows: FencedRows, inventory: VmInventory, now: float) -> None:
        self._rows = rows
        self._inventory = inventory
        self._stored: Mapping[str, Any] = NO_ORDERS
        self._stored_at = now

    def restore(self, value_by_key: Mapping[str, Any], held_until: float) -> None:
        """Reckon with the orders that the former owner may have under way.

        Args:
            value_by_key: rows of the waves and of the orders.
            held_until: clock time in seconds until which its VMs get no orders.
        """
        value = {**NO_ORDERS, **value_by_key.get(VM_ORDERS_KEY.key, {})}
        unanswered = {
            vm_id: wave
            for vm_id, wave in value["unanswered_upkeeps"].items()
            if vm_id not in value_by_key.get(str(wave), {}).get("begun", [])
        }
        self._inventory.hold_back([*value["vms"], *unanswered], held_until)
        self._inventory.adopt_upkeeps(unanswered, held_until)
        if unanswered:
            log_event(logger, "vm upkeeps adopted", vms=sorted(unanswered))
        # VMs are removed from the row once a successor need not know them.
        self._stored = value

    async def store(self, now: float) -> bool:
        """Store the orders that are about to be sent; return whether that is done."""
        return await self._write(self._make_value(now), now)

    async def prune(self, now: float) -> None:
        """Remove the VMs that a successor need not know any more."""
        if now - self._stored_at < PRUNE_SECONDS:
            return
        value = self._make_value(now)
        # An upkeep that was answered leaves the row with its VM. It is stored as begun.
        is_kept = bool(value["vms"]) and value["vms"] == self._stored["vms"]
        if value != self._stored and not is_kept:
            await self._write(value, now)

    def _make_value(self, now: float) -> dict[str, Any]:
        return {
            "vms": self._inventory.find_recently_ordered(now),
            "unanswered_upkeeps": self._inventory.find_unanswered_upkeeps(),
        }

    async def _write(self, value: Mapping[str, Any], now: float) -> bool:
        writes = [Write(VM_ORDERS_KEY, dict(value))]
        outcome = await self._rows.commit(writes, n_attempts=COMMIT_ATTEMPTS)
        if isinstance(outcome, Committed):
            self._stored = value
            self._stored_at = now
            return True
        log_event(
            logger,
            "vm orders not stored",
            n_vms=len(value["vms"]),
            reason=type(outcome).__name__,
        )
        return False
