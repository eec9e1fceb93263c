"""Transactions on VMs and pools. Each checks the availability budget as it commits.

``drain_vm``, ``undrain_vm``, ``move_vm`` and ``register_vm`` are called by the
administration API and by the controller; an operation repeated with the same
``token`` has no further effect.
"""

from typing import NamedTuple

from ..ports import Refused, Table, Unavailable
from ..settings.environment import Environment


class VmChanged(NamedTuple):
    """The operation took effect; ``version`` is the new version of the VM's row."""

    vm_id: str
    state: str
    pool: str
    version: int


class VmConflict(NamedTuple):
    """The VM's row is not at the expected version; nothing was changed."""

    vm_id: str
    current_version: int


VmOutcome = VmChanged | VmConflict | Refused | Unavailable


def drain_vm(
    table: Table,
    environment: Environment,
    vm_id: str,
    token: str,
    operation: str = "drain",
    target_pool: str = "",
    expected_version: int | None = None,
) -> VmOutcome:
    """Mark a VM as draining if its pool's availability budget allows it.

    Args:
        table: client of the table service.
        environment: the configuration, for the budget.
        vm_id: the VM.
        token: token of the attempt.
        operation: ``"drain"``, ``"maintenance"`` or ``"move"``.
        target_pool: pool to move to, for a move.
        expected_version: version that the VM's row must have; ``None`` for any.

    Returns:
        The change, a conflict, or why it was refused.
    """
    raise NotImplementedError


def undrain_vm(
    table: Table,
    environment: Environment,
    vm_id: str,
    token: str,
    expected_version: int | None = None,
) -> VmOutcome:
    """Let a drained or draining VM serve again."""
    raise NotImplementedError


def move_vm(
    table: Table,
    environment: Environment,
    vm_id: str,
    target_pool: str,
    token: str,
    expected_version: int | None = None,
) -> VmOutcome:
    """Start a move: drain now; the controller changes the pool once it is empty."""
    raise NotImplementedError
