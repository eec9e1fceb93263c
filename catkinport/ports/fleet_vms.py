"""Interface to VMs that move between pools and are taken down for maintenance."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from ..policy.resources import Resources
from .fleet_workers import OrderOutcome
from .outcomes import Unavailable


class VmState(StrEnum):
    """State of a VM in the platform's list; ``UPKEEP`` is down for maintenance."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class FleetVm(NamedTuple):
    """VM in the platform's list; ``worker_id`` is empty if no worker runs on it."""

    vm_id: str
    pool: str
    state: VmState
    zone: str
    labels: tuple[str, ...]
    capacity: Resources
    worker_id: str


class UpkeepWave(NamedTuple):
    """Group of VMs for which the operator requests maintenance.

    Args:
        wave: number of the wave.
        vm_ids: the VMs.
        deadline_seconds: time that the wave may take from its announcement.
        max_down: maximum number of VMs of the wave that may be down at once.
    """

    wave: int
    vm_ids: Sequence[str]
    deadline_seconds: float
    max_down: int


class FleetVms(Protocol):
    """Client of the platform's interface for VMs."""

    async def list_vms(self) -> list[FleetVm] | Unavailable:
        """Read all VMs."""
        ...

    async def move(self, vm_id: str, pool: str, token: int) -> OrderOutcome:
        """Move a VM; everything that runs on it ends at once."""
        ...

    async def maintain(self, vm_id: str, wave: int, token: int) -> OrderOutcome:
        """Take a VM down for maintenance; everything that runs on it ends at once."""
        ...


class EvacuationRequests(Protocol):
    """Interface to the operator's requests to evacuate availability zones."""

    def list_zones(self) -> frozenset[str]:
        """Return the zones to evacuate, as last read from the store."""
        ...


class NoEvacuationRequests:
    """Implements `EvacuationRequests` where no zone is ever evacuated."""

    def list_zones(self) -> frozenset[str]:
        """Return no zone."""
        return frozenset()


class UpkeepDesk(Protocol):
    """Interface to the operator's maintenance requests and their progress."""

    def list_waves(self) -> list[UpkeepWave]:
        """Return the requested waves, as last read from the store."""
        ...

    async def report(self, wave: int, is_completed: bool) -> bool:
        """Report a wave as running or completed; return whether this was stored."""
        ...
