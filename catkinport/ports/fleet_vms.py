"""VMs that the platform moves between pools and takes down for upkeep."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from ..policy.resources import Resources
from .fleet_workers import OrderOutcome
from .outcomes import Unavailable


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class FleetVm(NamedTuple):
    """A VM; ``worker_id`` is empty while no worker runs on it."""

    vm_id: str
    pool: str
    state: VmState
    zone: str
    labels: tuple[str, ...]
    capacity: Resources
    worker_id: str


class UpkeepWave(NamedTuple):
    """VMs that the operator wants maintained.

    Args:
        wave: number of the wave.
        vm_ids: the VMs.
        deadline_seconds: time that the wave may take, from its announcement.
        max_down: most VMs of the wave that may be down at once.
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
        """Take a VM down for upkeep; everything that runs on it ends at once."""
        ...


class UpkeepDesk(Protocol):
    """Where the operator asks for waves of upkeep and reads how they go."""

    def list_waves(self) -> list[UpkeepWave]:
        """Return the waves that were asked for, as last seen."""
        ...

    async def report(self, wave: int, is_completed: bool) -> bool:
        """Report a wave as running or completed; return whether that is stored."""
        ...
