"""Operations on VMs and pools, each of them one transaction.

Planned drains and moves check the pool's availability budget in the transaction that
starts them. An operation that is repeated with the same ``token`` has no further
effect.
"""

from ..fence import Fence
from ..outcomes import VmChanged, VmConflict, VmOutcome
from .drains import OPERATIONS, drain_vm, undrain_vm
from .failures import fail_vm, recover_vm
from .moves import finish_move, move_vm
from .registration import register_vm
from .steps import advance_vm, mark_maintained

__all__ = [
    "OPERATIONS",
    "Fence",
    "VmChanged",
    "VmConflict",
    "VmOutcome",
    "advance_vm",
    "drain_vm",
    "fail_vm",
    "finish_move",
    "mark_maintained",
    "move_vm",
    "recover_vm",
    "register_vm",
    "undrain_vm",
]
