"""Follows the platform's VM list, which shows the workers whose VM is gone."""

from collections.abc import Sequence

from ...ports.fleet_vms import FleetVm, VmState
from ..dispatch.run_table import RunTable
from .inherited_workers import InheritedWorkers
from .worker_crashes import note_crash, note_listed_vm
from .worker_state import WorkerRecord
from .worker_table import WorkerTable

VM_LIST_LAG_SECONDS = 1.2
"""Maximum age of the data in the platform's VM list. If the list shows a VM as down or
with another worker, runs confirmed there longer than this before the list was requested
have ended."""


class WorkerVms:
    """Keeps the workers as the VM list says.

    Args:
        workers: workers that are known.
        runs: runs that may be alive.
        inherited: resolves workers of a former owner whose VM is gone.
    """

    def __init__(
        self, workers: WorkerTable, runs: RunTable, inherited: InheritedWorkers
    ) -> None:
        self._workers = workers
        self._runs = runs
        self._inherited = inherited

    def update(self, vms: Sequence[FleetVm], sent_at: float, now: float) -> None:
        """Update the workers from the platform's VM list.

        Runs on a VM that is listed as down, absent or with another worker are given up,
        as they have ended. A run that the worker has not confirmed waits for the end of
        its lease, because its start may still be carried out if the worker restarts.

        Args:
            vms: the VM list.
            sent_at: clock time in seconds at which the list was requested.
            now: clock time in seconds.
        """
        vm_id_by_worker = {vm.worker_id: vm.vm_id for vm in vms if vm.worker_id}
        vm_by_id = {vm.vm_id: vm for vm in vms}
        for worker in list(self._workers.worker_by_id.values()):
            worker.vm_id = vm_id_by_worker.get(worker.worker_id, worker.vm_id)
            vm = vm_by_id.get(worker.vm_id)
            if worker.vm_id and not _is_alive(worker, vm):
                self._on_vm_gone(worker, vm, sent_at, now)
            elif not worker.vm_id and sent_at > worker.vm_due_at:
                # Its VM is back under another worker before the list has named it.
                note_crash(worker, "vm-never-named", now)

    def _on_vm_gone(
        self, worker: WorkerRecord, vm: FleetVm | None, sent_at: float, now: float
    ) -> None:
        note_listed_vm(worker, vm, now)
        reason = f"vm-{vm.state}" if vm else "vm-absent"
        worker.pause_as_uncertain(now)
        known_before = sent_at - VM_LIST_LAG_SECONDS
        worker.former_leases.note_ended(known_before)
        # The VM may have come back since then, and its worker, under the same id, may
        # have carried out an order of the former owner.
        if known_before >= self._workers.former_orders_until:
            self._inherited.resolve(worker.worker_id, reason, now)
        self._runs.lose_confirmed(worker, reason, now, known_before)


def _is_alive(worker: WorkerRecord, vm: FleetVm | None) -> bool:
    if vm is None:
        return False
    return vm.state is VmState.UP and vm.worker_id == worker.worker_id
