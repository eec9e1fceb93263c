"""VMs of the platform stand-in, with a list that can be out of date."""

import threading
from collections import deque
from collections.abc import Mapping
from typing import Any

from ..ports import Clock, ListedVm, VmStatus


class MemoryVmList:
    """In-memory list of VMs and of its earlier states.

    Args:
        clock: clock of reboots and earlier states.
        reboot_seconds: duration of a reboot.
    """

    def __init__(self, clock: Clock, reboot_seconds: float = 2.0) -> None:
        self._clock = clock
        self._reboot_seconds = reboot_seconds
        self._lock = threading.Lock()
        self._vm_by_id: dict[str, ListedVm] = {}
        self._ready_time_by_vm: dict[str, float] = {}
        self._reboot_tokens: set[str] = set()
        self._snapshots: deque[tuple[float, list[ListedVm]]] = deque(maxlen=2000)

    def put(self, value: Mapping[str, Any]) -> None:
        """Add a VM or replace it."""
        vm = ListedVm(**{**value, "status": VmStatus(value["status"])})
        with self._lock:
            self._vm_by_id[vm.vm_id] = vm
            self._record_snapshot()

    def reboot(self, vm_id: str, token: str) -> bool:
        """Start a reboot, once per ``token``; return whether the VM exists."""
        with self._lock:
            if vm_id not in self._vm_by_id:
                return False
            if token in self._reboot_tokens:
                return True
            self._reboot_tokens.add(token)
            vm = self._vm_by_id[vm_id]
            self._vm_by_id[vm_id] = vm._replace(status=VmStatus.REBOOTING)
            self._ready_time_by_vm[vm_id] = self._clock.now() + self._reboot_seconds
            self._record_snapshot()
            return True

    def list_vms(self, lag_seconds: float = 0.0) -> list[ListedVm]:
        """Return the VMs as they were ``lag_seconds`` ago."""
        with self._lock:
            self._finish_reboots()
            if lag_seconds <= 0:
                return list(self._vm_by_id.values())
            shown_at = self._clock.now() - lag_seconds
            visible = [vms for time, vms in self._snapshots if time <= shown_at]
            return visible[-1] if visible else []

    def _finish_reboots(self) -> None:
        now = self._clock.now()
        ready = [vm_id for vm_id, time in self._ready_time_by_vm.items() if time <= now]
        for vm_id in ready:
            del self._ready_time_by_vm[vm_id]
            vm = self._vm_by_id[vm_id]
            boot_id = str(int(vm.boot_id or 0) + 1)
            self._vm_by_id[vm_id] = vm._replace(status=VmStatus.LIVE, boot_id=boot_id)
        if ready:
            self._record_snapshot()

    def _record_snapshot(self) -> None:
        self._snapshots.append((self._clock.now(), list(self._vm_by_id.values())))
