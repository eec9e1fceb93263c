"""Reads the rows of a pool and of its VMs."""

from typing import cast

from ..ports import Table, Unavailable
from ..state import PoolRow, VmRow, pool_key, vm_key
from .pool_state import PoolState, VmRecord
from .services import Services

REFRESH_SECONDS = 60.0
"""Longest time between reads. Changes of VMs are found by the generation, which every
one of them increases; this period only limits the effect of one that was missed. A
shorter period would use up the network budget of the process."""


class VmRecords:
    """Reads the rows of the pool and its VMs into the state.

    Args:
        services: clients and shared objects of the process.
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
        """Have the rows read again by the next ``refresh``."""
        self._next_read_at = 0.0

    def refresh(self, generation: int) -> None:
        """Read the rows if ``generation`` is new or the last read is too long ago."""
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
