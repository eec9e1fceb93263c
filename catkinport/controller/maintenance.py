"""Drains the VMs of a pool for maintenance, a few at a time."""

import logging

from ..fleet.operations import VmChanged, drain_vm
from ..policy.maintenance import MaintainableVm, PoolMaintenance, choose_vms_to_drain
from ..ports import Unavailable
from ..runtime import log_event
from ..state import MAINTENANCE, VmState
from .pool_state import PoolState, VmRecord
from .services import Services
from .vm_records import VmRecords

logger = logging.getLogger(__name__)

CHECK_PERIOD_SECONDS = 2.0
SECONDS_PER_DAY = 86_400.0


class MaintenanceScheduler:
    """Starts maintenance drains while maintenance is started and not paused.

    Args:
        services: clients and shared objects of the process.
        state: state of the pool.
        records: reads the rows of VMs again after a change.
    """

    def __init__(
        self, services: Services, state: PoolState, records: VmRecords
    ) -> None:
        self._services = services
        self._state = state
        self._records = records
        self._next_check_at = 0.0

    def step(self) -> None:
        """Drain the VMs that are next for maintenance, until a drain is refused."""
        now = self._services.clock.now()
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_PERIOD_SECONDS
        rows = self._services.table.read([MAINTENANCE])
        if isinstance(rows, Unavailable) or MAINTENANCE not in rows:
            return
        value = rows[MAINTENANCE].value
        if not value["is_started"] or value["is_paused"]:
            return
        for vm_id in self._choose_vms():
            outcome = drain_vm(
                self._services.table,
                self._state.environment,
                vm_id,
                self._state.next_token(),
                "maintenance",
                fence=self._state.fence,
            )
            log_event(
                logger,
                "maintenance drain attempted",
                vm=vm_id,
                pool=self._state.pool,
                outcome=type(outcome).__name__,
            )
            self._records.invalidate()
            if not isinstance(outcome, VmChanged):
                return

    def _choose_vms(self) -> list[str]:
        pool = self._state.environment.pool_by_name.get(self._state.pool)
        if pool is None:
            return []
        vms = [self._describe(vm) for vm in self._state.vm_by_id.values()]
        period = self._state.environment.maintenance.period_days * SECONDS_PER_DAY
        problem = PoolMaintenance(pool.name, pool.max_unavailable, vms)
        return choose_vms_to_drain(problem, self._services.unix_time(), period)

    def _describe(self, vm: VmRecord) -> MaintainableVm:
        tasks = self._state.tasks_on(vm.vm_id)
        jobs = [self._state.job_of(task) for task in tasks]
        return MaintainableVm(
            vm.vm_id,
            vm.row["zone"],
            vm.row["rack"],
            vm.is_active,
            vm.row["last_maintained"],
            len(tasks),
            sum(job is not None and not job.row["is_restartable"] for job in jobs),
            vm.row["state"] == VmState.FAILED,
        )
