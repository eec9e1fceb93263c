"""Refusals that several operations share."""

from ...ports import Reason, Refused
from ...state import VmRow


def not_found(vm_id: str) -> Refused:
    """Return the refusal for a VM that has no row."""
    return Refused(Reason.NOT_FOUND, "vm-change", detail=f"VM {vm_id!r} has no row")


def wrong_state(step: str, vm_id: str, vm: VmRow, allowed: str) -> Refused:
    """Return the refusal for a VM whose state is not an ``allowed`` one."""
    operation = vm["operation"] or "none"
    detail = f"VM {vm_id!r} must be {allowed}; "
    detail += f"it is {vm['state']}, operation {operation}"
    return Refused(Reason.REQUEST_INVALID, step, detail=detail)
