"""Reads the rows of a pool and of its VMs."""

from typing import cast

from ..ports import Table, Unavailable
from ..state import PoolRow, VmRow, pool_key, vm_key
from .pool_state import PoolState, VmRecord
from .services import Services

REFRESH_SECONDS = 60.0
"""Every change of a VM counts the generation up, so that this is a safety net only;
a shorter period would use up the daemon's network budget."""


class VmRecords:
    """Keeps the rows of the pool and its VMs current in the state.

    Args:
        services: ports.
        state: state of the pool.
    """

    def __init__(self, services: Services, state: PoolState) -> None:
        self._table: Table = services.table
        self._clock = services.clock
        self._state = state
        self._generation = -1
        self._next_read_at = 0.0
        self.is_loaded = False

    def invalidate(self) -> None:
        """Have the rows read again in the next step."""
        self._next_read_at = 0.0

    def refresh(self, generation: int) -> None:
        """Read the rows when VMs have changed, and from time to time."""
        now = self._clock.now()
        if generation == self._generation and now < self._next_read_at:
            return
        rows = self._table.read([pool_key(self._state.pool)])
        if isinstance(rows, Unavailable):
            return
        if pool_key(self._state.pool) in rows:
            value = rows[pool_key(self._state.pool)].value
            self._state.pool_row = cast(PoolRow, value)
        if self._read_vms():
            self._generation = generation
            self._next_read_at = now + REFRESH_SECONDS
            self.is_loaded = True

    def _read_vms(self) -> bool:
        pool_row = self._state.pool_row
        vm_ids = [*pool_row["serving_vm_by_id"], *pool_row["reason_by_disrupted_vm"]]
        if not vm_ids:
            self._state.vm_by_id = {}
            return True
        rows = self._table.read([vm_key(vm_id) for vm_id in vm_ids])
        if isinstance(rows, Unavailable):
            return False
        self._state.vm_by_id = {
            row.row_key.key: VmRecord(
                row.row_key.key, row.version, cast(VmRow, row.value)
            )
            for row in rows.values()
            if row.value["pool"] == self._state.pool
        }
        return True
