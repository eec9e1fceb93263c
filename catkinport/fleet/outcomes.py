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
    """The VM has changed since it was read, or another operation on it is under way.

    Usually nothing was changed. If the answer to a commit was lost and the row has
    another version since, that commit may have taken effect and been overwritten.
    """

    vm_id: str
    current_version: int


VmOutcome = VmChanged | VmConflict | Refused | Unavailable
