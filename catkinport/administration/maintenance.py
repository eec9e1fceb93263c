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
_MAX_COMMIT_ATTEMPTS = 5


def add_maintenance_routes(routes: OperatorRoutes) -> None:
    """Add the routes below ``/v1/maintenance``."""

    @routes.read("/v1/maintenance")
    def show(call: OperatorCall) -> Any:
        rows = call.context.table.read([MAINTENANCE])
        if isinstance(rows, Unavailable):
            return rows
        return dict(_read_state(rows.get(MAINTENANCE)))

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


def _read_state(row: Row | None) -> MaintenanceRow:
    if row is not None:
        return MaintenanceRow(**row.value)
    return MaintenanceRow(is_paused=False, is_started=False, operator="")


def _set_state(call: OperatorCall, is_paused: bool) -> Any:
    """Start or pause maintenance; idempotent.

    Another change is written even where it changes nothing but its id. An earlier one
    without an answer then depends on a former version and is not carried out any more.
    """
    for _ in range(_MAX_COMMIT_ATTEMPTS):
        rows = call.context.table.read([MAINTENANCE])
        if isinstance(rows, Unavailable):
            return rows
        row = rows.get(MAINTENANCE)
        current = _read_state(row)
        is_started = current["is_started"] or not is_paused
        changed = MaintenanceRow(
            is_paused=is_paused,
            is_started=is_started,
            operator=call.operator,
            change_id=call.change_id,
        )
        if changed == current:
            return dict(current)
        outcome = _commit_state(call.context.table, row, changed)
        if isinstance(outcome, Committed):
            return dict(changed)
        if isinstance(outcome, Unavailable):
            return outcome
    detail = "another operator changed the state during each attempt; try again"
    return Refused(Reason.VERSION_DIFFERS, "maintenance-set", detail=detail)


def _commit_state(table: Table, row: Row | None, changed: MaintenanceRow) -> Any:
    version = row.version if row else ABSENT_VERSION
    condition = Condition(MAINTENANCE, version)
    return table.commit(Transaction([condition], [Write(MAINTENANCE, dict(changed))]))


def _plan_pools(call: OperatorCall, rows: Sequence[Row]) -> list[dict[str, Any]]:
    environment = call.environment
    period_seconds = environment.maintenance.period_days * SECONDS_PER_DAY
    now = call.context.wall_clock()
    vms_by_pool: dict[str, list[MaintainableVm]] = defaultdict(list)
    for row in rows:
        vms_by_pool[row.value["pool"]].append(_build_maintainable_vm(row))
    plans = []
    for name, pool in environment.pool_by_name.items():
        vms = vms_by_pool[name]
        pool_maintenance = PoolMaintenance(name, pool.max_unavailable, vms)
        due = [vm for vm in vms if now - vm.last_maintained >= period_seconds]
        plans.append(
            {
                "pool": name,
                "n_vms": len(vms),
                "n_due": len(due),
                "n_unavailable": sum(not vm.is_serving for vm in vms),
                "max_unavailable": pool.max_unavailable,
                "next_vms": choose_vms_to_drain(pool_maintenance, now, period_seconds),
            }
        )
    return plans


def _build_maintainable_vm(row: Row) -> MaintainableVm:
    """Return the VM as if it had no tasks: only the owner of its pool knows them."""
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
