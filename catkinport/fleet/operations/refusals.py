"""Refusals that several operations share."""

from collections.abc import Callable

from ...ports import Reason, Refused
from ...state import VmRow
from ..change import Decide, Decision, VmView

RowDecide = Callable[[VmRow, VmView], Decision]


def refuse_without_row(vm_id: str) -> Callable[[RowDecide], Decide]:
    """Return a decorator for a decision on a VM, which is refused without a row.

    Args:
        vm_id: the VM.
    """

    def decorate(decide: RowDecide) -> Decide:
        def decide_or_refuse(view: VmView) -> Decision:
            return _not_found(vm_id) if view.vm is None else decide(view.vm, view)

        return decide_or_refuse

    return decorate


def wrong_state(step: str, vm_id: str, vm: VmRow, allowed: str) -> Refused:
    """Return the refusal for a VM whose state is not an ``allowed`` one."""
    operation = vm["operation"] or "none"
    detail = f"VM {vm_id!r} must be {allowed}; "
    detail += f"it is {vm['state']}, operation {operation}"
    return Refused(Reason.REQUEST_INVALID, step, detail=detail)


def _not_found(vm_id: str) -> Refused:
    return Refused(Reason.NOT_FOUND, "vm-change", detail=f"VM {vm_id!r} has no row")
