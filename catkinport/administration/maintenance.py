"""Routes that start, pause and plan maintenance."""

from collections import defaultdict
from collections.abc import Sequence
from typing import Any

from ..policy.maintenance import (
    MaintainableVm,
    PoolMaintenance,
    choose_vms_to_drain,
)
from ..ports import (
    ABSENT_VERSION,
    Committed,
    Condition,
    Reason,
    Refused,
    Row,
    Table,
    Transaction,
    Unavailable,
    Write,
    scan_all,
)
from ..state import MAINTENANCE, MaintenanceRow, VmState
from .calls import OperatorCall, OperatorRoutes

SECONDS_PER_DAY = 86400.0
_MAX_ATTEMPTS = 5


def add_maintenance_routes(routes: OperatorRoutes) -> None:
    """Add the routes below ``/v1/maintenance``."""

    @routes.read("/v1/maintenance")
    def show(call: OperatorCall) -> Any:
        rows = call.context.table.read([MAINTENANCE])
        if isinstance(rows, Unavailable):
            return rows
        return dict(_state(rows.get(MAINTENANCE)))

    @routes.read("/v1/maintenance/plan")
    def plan(call: OperatorCall) -> Any:
        rows = scan_all(call.context.table, "vms")
        if isinstance(rows, Unavailable):
            return rows
        return {"pools": _plan_pools(call, rows)}

    @routes.change("POST", "/v1/maintenance/start")
    def start(call: OperatorCall) -> Any:
        return _set_state(call, is_paused=False)

    @routes.change("POST", "/v1/maintenance/pause")
    def pause(call: OperatorCall) -> Any:
        return _set_state(call, is_paused=True)


def _state(row: Row | None) -> MaintenanceRow:
    if row is not None:
        return MaintenanceRow(**row.value)
    return MaintenanceRow(is_paused=False, is_started=False, operator="")


def _set_state(call: OperatorCall, is_paused: bool) -> Any:
    """Set the state; setting it twice has no further effect."""
    for _ in range(_MAX_ATTEMPTS):
        rows = call.context.table.read([MAINTENANCE])
        if isinstance(rows, Unavailable):
            return rows
        row = rows.get(MAINTENANCE)
        current = _state(row)
        is_started = current["is_started"] or not is_paused
        if (current["is_started"], current["is_paused"]) == (is_started, is_paused):
            return dict(current)
        changed = MaintenanceRow(
            is_paused=is_paused, is_started=is_started, operator=call.operator
        )
        outcome = _commit(call.context.table, row, changed)
        if isinstance(outcome, Committed):
            return dict(changed)
        if isinstance(outcome, Unavailable):
            return outcome
    detail = "other operators keep changing the state; try again"
    return Refused(Reason.VERSION_DIFFERS, "maintenance-set", detail=detail)


def _commit(table: Table, row: Row | None, changed: MaintenanceRow) -> Any:
    version = row.version if row else ABSENT_VERSION
    condition = Condition(MAINTENANCE, version)
    return table.commit(Transaction([condition], [Write(MAINTENANCE, dict(changed))]))


def _plan_pools(call: OperatorCall, rows: Sequence[Row]) -> list[dict[str, Any]]:
    environment = call.environment
    period_seconds = environment.maintenance.period_days * SECONDS_PER_DAY
    now = call.context.wall_clock()
    vms_by_pool: dict[str, list[MaintainableVm]] = defaultdict(list)
    for row in rows:
        vms_by_pool[row.value["pool"]].append(_maintainable(row))
    plans = []
    for name, pool in environment.pool_by_name.items():
        vms = vms_by_pool[name]
        problem = PoolMaintenance(name, pool.max_unavailable, vms)
        due = [vm for vm in vms if now - vm.last_maintained >= period_seconds]
        plans.append(
            {
                "pool": name,
                "n_vms": len(vms),
                "n_due": len(due),
                "n_unavailable": sum(not vm.is_serving for vm in vms),
                "max_unavailable": pool.max_unavailable,
                "next_vms": choose_vms_to_drain(problem, now, period_seconds),
            }
        )
    return plans


def _maintainable(row: Row) -> MaintainableVm:
    """Return the VM without its tasks, which only the owner of the pool knows."""
    vm = row.value
    return MaintainableVm(
        row.row_key.key,
        zone=vm["zone"],
        rack=vm["rack"],
        is_serving=vm["state"] == VmState.ACTIVE,
        last_maintained=vm["last_maintained"],
        n_tasks=0,
        n_unrestartable_tasks=0,
    )
