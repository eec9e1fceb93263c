"""Detects failed and recovered VMs from the VM list and the workers' answers."""

import logging

from ..fleet.operations import fail_vm, mark_maintained, recover_vm, undrain_vm
from ..fleet.pool_rows import GONE
from ..fleet.vm_rows import is_former_boot, is_later_boot
from ..ports import ListedVm, VmStatus
from ..runtime import log_event
from ..state import VmState
from .pool_state import PoolState, VmRecord
from .services import Services
from .vm_records import VmRecords

logger = logging.getLogger(__name__)

MISSING_SECONDS = 30.0
"""Time without an entry in the VM list after which a VM counts as failed. The list may
lag behind, so that a shorter absence means nothing."""

SILENT = "silent"
MISSING = "missing"
REBOOTING = "rebooting"
LEAVING = "leaving"
OVERDUE = "reboot-overdue"
LISTED_REASONS = (MISSING, REBOOTING, GONE, OVERDUE)
"""Reasons that no longer hold once the list shows the VM as live."""


class VmMonitor:
    """Takes failed VMs out of service and returns recovered ones to it.

    An entry of the VM list decides nothing if it is from before a reboot that the row
    of its VM shows, nor does a list that was requested before the take-over of the
    pool. The former owner may have seen later ones, and tasks may have started since.
    Until the next list, only the answers of the workers count.

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
        self._missing_since_by_vm: dict[str, float] = {}

    def step(self) -> None:
        """Check every VM of the pool once; do nothing before a list was read."""
        if not self._state.listed_by_vm:
            return
        for vm in list(self._state.vm_by_id.values()):
            listed = self._state.listed_by_vm.get(vm.vm_id)
            if not self._state.is_list_current:
                self._check_answers(vm)
                continue
            if listed is None:
                self._check_missing(vm)
                continue
            self._missing_since_by_vm.pop(vm.vm_id, None)
            self._check_listed(vm, listed)

    def _check_missing(self, vm: VmRecord) -> None:
        now = self._services.clock.now()
        since = self._missing_since_by_vm.setdefault(vm.vm_id, now)
        if now - since >= MISSING_SECONDS:
            self._fail(vm, MISSING)

    def _check_listed(self, vm: VmRecord, listed: ListedVm) -> None:
        if is_former_boot(vm.row, listed):
            self._check_answers(vm)
        elif listed.status == VmStatus.GONE:
            self._mark_tasks_lost(vm)
            self._fail(vm, GONE)
        elif listed.status == VmStatus.LEAVING:
            self._fail(vm, LEAVING)
        elif listed.status == VmStatus.REBOOTING:
            if vm.row["state"] != VmState.REBOOTING:
                self._fail(vm, REBOOTING)
        elif is_later_boot(vm.row, listed):
            self._check_rebooted(vm, listed)
        else:
            self._check_live(vm)

    def _check_rebooted(self, vm: VmRecord, listed: ListedVm) -> None:
        """Return a rebooted VM to service once the loss of its tasks is committed."""
        self._mark_tasks_lost(vm)
        if self._state.tasks_on(vm.vm_id):
            return
        is_out_of_service = vm.row["state"] in (VmState.REBOOTING, VmState.FAILED)
        if vm.row["operation"] == "maintenance" and is_out_of_service:
            mark_maintained(
                self._services.table,
                listed,
                self._state.next_token(),
                self._services.unix_time(),
                self._state.fence,
            )
        else:
            self._recover(vm, listed)
        self._records.invalidate()

    def _check_live(self, vm: VmRecord) -> None:
        if self._check_answers(vm):
            return
        reason = self._reason(vm)
        is_failed = vm.row["state"] == VmState.FAILED
        if reason == LEAVING:
            self._cancel_leaving(vm)
        elif is_failed and reason in LISTED_REASONS and not self._is_silent(vm):
            self._recover(vm, None)

    def _check_answers(self, vm: VmRecord) -> bool:
        """Fail a VM whose worker is silent, or recover one that answers again.

        Returns:
            Whether one of the two was due.
        """
        is_silent = self._is_silent(vm)
        if is_silent and vm.row["state"] != VmState.REBOOTING:
            self._fail(vm, SILENT)
            return True
        link = self._state.link_by_vm.get(vm.vm_id)
        has_answered = link is None or link.has_answered
        is_failed = vm.row["state"] == VmState.FAILED and self._reason(vm) == SILENT
        if not is_failed or is_silent or not has_answered:
            return False
        self._recover(vm, None)
        return True

    def _is_silent(self, vm: VmRecord) -> bool:
        link = self._state.link_by_vm.get(vm.vm_id)
        return link is not None and link.is_silent(self._services.clock.now())

    def _reason(self, vm: VmRecord) -> str:
        return self._state.pool_row["reason_by_disrupted_vm"].get(vm.vm_id, "")

    def _cancel_leaving(self, vm: VmRecord) -> None:
        """Let a VM serve again that the list no longer shows as leaving."""
        outcome = undrain_vm(
            self._services.table,
            self._state.environment,
            vm.vm_id,
            self._state.next_token(),
            fence=self._state.fence,
        )
        self._log("VM undrain attempted", vm, "", outcome)

    def _mark_tasks_lost(self, vm: VmRecord) -> None:
        for task in self._state.tasks_on(vm.vm_id):
            task.is_lost = True

    def _fail(self, vm: VmRecord, reason: str) -> None:
        known = self._state.pool_row["reason_by_disrupted_vm"].get(vm.vm_id)
        is_final = vm.row["state"] == VmState.FAILED or reason == LEAVING
        if known == reason and is_final:
            return
        outcome = fail_vm(
            self._services.table,
            vm.vm_id,
            reason,
            self._state.next_token(),
            self._state.fence,
            is_leaving=reason == LEAVING,
        )
        self._log("VM removal from service attempted", vm, reason, outcome)

    def _recover(self, vm: VmRecord, listed: ListedVm | None) -> None:
        outcome = recover_vm(
            self._services.table,
            vm.vm_id,
            self._state.next_token(),
            listed,
            self._state.fence,
        )
        self._log("VM recovery attempted", vm, "", outcome)

    def _log(self, event: str, vm: VmRecord, reason: str, outcome: object) -> None:
        self._records.invalidate()
        log_event(
            logger,
            event,
            vm=vm.vm_id,
            pool=self._state.pool,
            reason=reason,
            outcome=type(outcome).__name__,
        )
