"""Routes that show, drain and move VMs."""

from typing import Any

from ..fleet import operations
from ..ports import Row, Unavailable, scan_all
from ..state import vm_key
from .calls import (
    OperatorCall,
    OperatorRoutes,
    not_found,
    read_text,
    read_whole_number,
)

INTERNAL_FIELDS = ("last_token", "former_boot_ids")


def add_vm_routes(routes: OperatorRoutes) -> None:
    """Add the routes below ``/v1/vms``."""

    @routes.read("/v1/vms")
    def list_vms(call: OperatorCall) -> Any:
        rows = scan_all(call.context.table, "vms")
        if isinstance(rows, Unavailable):
            return rows
        query = call.request.query
        value_by_field = {
            name: query[name] for name in ("pool", "state") if name in query
        }
        vms = [_describe_vm(row) for row in rows]
        return {"vms": [vm for vm in vms if value_by_field.items() <= vm.items()]}

    @routes.read("/v1/vms/{vm_id}")
    def show(call: OperatorCall, vm_id: str) -> Any:
        rows = call.context.table.read([vm_key(vm_id)])
        if isinstance(rows, Unavailable):
            return rows
        row = rows.get(vm_key(vm_id))
        return _describe_vm(row) if row else not_found("vm-show", f"VM {vm_id}")

    @routes.change("POST", "/v1/vms/{vm_id}/drain")
    def drain(call: OperatorCall, vm_id: str) -> Any:
        return operations.drain_vm(
            call.context.table,
            call.environment,
            vm_id,
            _change_token(call),
            expected_version=read_whole_number(call.read_body(), "expected_version"),
        )

    @routes.change("POST", "/v1/vms/{vm_id}/undrain")
    def undrain(call: OperatorCall, vm_id: str) -> Any:
        return operations.undrain_vm(
            call.context.table,
            call.environment,
            vm_id,
            _change_token(call),
            expected_version=read_whole_number(call.read_body(), "expected_version"),
        )

    @routes.change("POST", "/v1/vms/{vm_id}/move")
    def move(call: OperatorCall, vm_id: str) -> Any:
        body = call.read_body()
        pool = read_text(body, "pool")
        if pool not in call.environment.pool_by_name:
            return not_found("vm-move", f"pool {pool}")
        return operations.move_vm(
            call.context.table,
            call.environment,
            vm_id,
            pool,
            _change_token(call),
            expected_version=read_whole_number(body, "expected_version"),
        )


def _change_token(call: OperatorCall) -> str:
    # Operators choose change ids independently; the operator's name keeps the tokens of
    # equal ids apart.
    return f"operator/{call.operator}/{call.change_id}"


def _describe_vm(row: Row) -> dict[str, Any]:
    value = {
        name: part for name, part in row.value.items() if name not in INTERNAL_FIELDS
    }
    return {"vm_id": row.row_key.key, "version": row.version, **value}
