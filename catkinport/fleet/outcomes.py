"""Outcomes of operations on VMs."""

from typing import NamedTuple

from ..ports import Refused, Unavailable


class VmChanged(NamedTuple):
    """The operation took effect; ``version`` is the new version of the VM's row."""

    vm_id: str
    state: str
    pool: str
    version: int


class VmConflict(NamedTuple):
    """Another operation got ahead or is under way; nothing was changed."""

    vm_id: str
    current_version: int


VmOutcome = VmChanged | VmConflict | Refused | Unavailable
