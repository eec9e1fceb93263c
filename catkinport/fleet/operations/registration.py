"""Registration of VMs that have no row yet."""

from ...ports import ListedVm, Table
from ..change import Decision, Unchanged, VmChange, VmPlan, VmView, commit_change
from ..fence import Fence
from ..outcomes import VmOutcome
from ..pool_rows import replace_gone, serve
from ..vm_rows import new_vm


def register_vm(
    table: Table,
    listed: ListedVm,
    pool: str,
    token: str,
    now: float,
    fence: Fence | None = None,
) -> VmOutcome:
    """Add a VM that has no row yet to ``pool``.

    A VM that replaces one that is gone counts as maintained at ``now`` (seconds since
    the Unix epoch), because it was built recently. The last maintenance of other VMs
    is not known, so they are the first that are due.
    """

    def decide(view: VmView) -> Decision:
        if view.vm is not None:
            return Unchanged()
        pool_row, removed = replace_gone(view.pool_by_name[pool])
        vm = new_vm(listed, pool, now if removed else 0.0)
        return VmPlan(vm, {pool: serve(pool_row, listed.vm_id, vm)}, removed)

    return commit_change(
        table, VmChange(listed.vm_id, token, decide, (pool,), None, fence)
    )
