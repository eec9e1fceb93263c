"""Interface to the platform's list of VMs, which lags behind by seconds."""

from enum import StrEnum
from typing import NamedTuple, Protocol

from .outcomes import Unavailable


class VmStatus(StrEnum):
    """State of a VM as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"
    REBOOTING = "rebooting"
    GONE = "gone"


class ListedVm(NamedTuple):
    """Entry of the list of VMs. Addresses are ``host:port``."""

    vm_id: str
    status: VmStatus
    zone: str
    rack: str
    worker_address: str
    backend_address: str
    boot_id: str
    n_cores: float
    memory_gb: float
    n_accelerators: int


class VmList(Protocol):
    """Client of the VM list and of the reboot operation."""

    def list_vms(self) -> list[ListedVm] | Unavailable:
        """Return all VMs that the platform knows."""
        ...

    def reboot(self, vm_id: str, token: str) -> None | Unavailable:
        """Start a reboot; repeating it with the same ``token`` has no effect."""
        ...
