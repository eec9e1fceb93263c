"""Empties draining VMs, then reboots them or moves them to another pool."""

import logging

from ..fleet.operations import VmChanged, advance_vm, fail_vm, finish_move
from ..fleet.vm_rows import is_later_boot
from ..ports import VmList
from ..runtime import log_event
from ..state import VmState
from .outcomes import end_task
from .pool_state import PoolState, VmRecord
from .services import Services
from .vm_monitor import OVERDUE
from .vm_records import VmRecords

logger = logging.getLogger(__name__)

ROUTING_UPDATE_SECONDS = 5.0
"""Time until all entries know that a VM no longer serves. Most of it is the freshness
lease and its renewal period."""

REBOOT_RETRY_SECONDS = 5.0


class DrainCoordinator:
    """Carries out the drains, moves and maintenance reboots of a pool's VMs.

    Args:
        services: clients and shared objects of the process.
        state: state of the pool.
        records: reads the rows of VMs again after a change.
    """

    def __init__(
        self, services: Services, state: PoolState, records: VmRecords
    ) -> None:
        self._services = services
        self._vm_list: VmList = services.vm_list
        self._state = state
        self._records = records
        self._state_since_by_vm: dict[tuple[str, str, str], float] = {}
        self._next_reboot_by_vm: dict[str, float] = {}

    def step(self) -> None:
        """Take the next step of each VM that drains, is drained or reboots."""
        step_by_state = {
            VmState.DRAINING: self._drain,
            VmState.DRAINED: self._continue_drained,
            VmState.REBOOTING: self._reboot,
        }
        for vm in list(self._state.vm_by_id.values()):
            step = step_by_state.get(VmState(vm.row["state"]))
            if step is not None:
                step(vm)
        self._forget_finished()

    def _seconds_in_state(self, vm: VmRecord) -> float:
        now = self._services.clock.now()
        key = (vm.vm_id, vm.row["state"], vm.row["operation"])
        return now - self._state_since_by_vm.setdefault(key, now)

    def _forget_finished(self) -> None:
        current = {
            (vm.vm_id, vm.row["state"], vm.row["operation"])
            for vm in self._state.vm_by_id.values()
        }
        for key in self._state_since_by_vm.keys() - current:
            del self._state_since_by_vm[key]

    def _drain(self, vm: VmRecord) -> None:
        seconds = self._seconds_in_state(vm)
        tasks = self._state.tasks_on(vm.vm_id)
        for task in tasks:
            job = self._state.job_of(task)
            # A job that is not restartable runs to its end on this VM.
            if job is None or not job.row["is_restartable"]:
                continue
            is_overdue = seconds >= self._state.environment.maintenance.drain_seconds
            end_task(
                self._services,
                self._state,
                task,
                "stop" if is_overdue else "checkpoint",
            )
        if not tasks and seconds >= self._in_flight_seconds(vm):
            self._advance(vm, VmState.DRAINING, VmState.DRAINED)

    def _in_flight_seconds(self, vm: VmRecord) -> float:
        """Return how long after the drain began requests may still run on the VM."""
        environment = self._state.environment
        longest = [
            service.max_request_seconds
            for service in environment.service_by_name.values()
            if service.pool == self._state.pool and vm.row["backend_address"]
        ]
        return ROUTING_UPDATE_SECONDS + max(longest, default=0.0)

    def _continue_drained(self, vm: VmRecord) -> None:
        if vm.row["operation"] == "maintenance":
            self._advance(vm, VmState.DRAINED, VmState.REBOOTING)
        elif vm.row["operation"] == "move":
            outcome = finish_move(
                self._services.table,
                vm.vm_id,
                self._state.next_token(),
                self._state.fence,
            )
            self._log("VM move attempted", vm, vm.row["target_pool"], outcome)

    def _reboot(self, vm: VmRecord) -> None:
        now = self._services.clock.now()
        listed = self._state.listed_by_vm.get(vm.vm_id)
        if listed is not None and is_later_boot(vm.row, listed):
            return
        limit = self._state.environment.maintenance.reboot_seconds
        if self._seconds_in_state(vm) >= limit:
            token = self._state.next_token()
            outcome = fail_vm(
                self._services.table, vm.vm_id, OVERDUE, token, self._state.fence
            )
            self._log("VM reboot timed out", vm, OVERDUE, outcome)
            return
        if now >= self._next_reboot_by_vm.get(vm.vm_id, 0.0):
            self._next_reboot_by_vm[vm.vm_id] = now + REBOOT_RETRY_SECONDS
            # The row's token identifies this reboot, so that a repeat, also by a new
            # owner, does not start a second one.
            self._vm_list.reboot(vm.vm_id, vm.row["last_token"])

    def _advance(self, vm: VmRecord, from_state: VmState, to_state: VmState) -> None:
        outcome = advance_vm(
            self._services.table,
            vm.vm_id,
            from_state,
            to_state,
            self._state.next_token(),
            self._state.fence,
        )
        self._log("VM state change attempted", vm, str(to_state), outcome)

    def _log(self, event: str, vm: VmRecord, state: str, outcome: object) -> None:
        if isinstance(outcome, VmChanged):
            self._records.invalidate()
        log_event(
            logger,
            event,
            vm=vm.vm_id,
            pool=self._state.pool,
            state=state,
            operation=vm.row["operation"],
            outcome=type(outcome).__name__,
        )
