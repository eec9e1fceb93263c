"""Routes that show the state of the environment and of its members."""

from collections import Counter
from typing import Any

from ..ports import Unavailable
from ..state import allowance_key, pool_key
from .calls import OperatorCall, OperatorRoutes

_RESOURCES = ("slots", "cores")


def add_status_routes(routes: OperatorRoutes) -> None:
    """Add ``/v1/status``, ``/v1/members`` and ``/v1/usage``."""

    @routes.read("/v1/status", allows_bootstrap=True)
    def show_status(call: OperatorCall) -> Any:
        snapshot = call.context.membership.snapshot()
        live = [m for m in snapshot.member_by_id.values() if not m.is_evicted]
        now = call.context.clock.now()
        return {
            "member_id": snapshot.member_id,
            "revision": snapshot.revision,
            "generation": snapshot.generation,
            "lease_seconds_left": round(max(0.0, snapshot.lease_expires_at - now), 3),
            "is_store_reachable": snapshot.is_store_reachable,
            "n_members_by_role": dict(Counter(member.role for member in live)),
            "not_ready": call.context.check_ready(),
            "pools": _describe_pools(call),
        }

    @routes.read("/v1/members")
    def list_members(call: OperatorCall) -> Any:
        members = call.context.membership.snapshot().member_by_id.values()
        return {"members": [member._asdict() for member in members]}

    @routes.read("/v1/usage")
    def show_usage(call: OperatorCall) -> Any:
        teams = call.environment.team_by_name.values()
        keys = [allowance_key(t.name, r) for t in teams for r in _RESOURCES]
        rows = call.context.table.read(keys)
        if isinstance(rows, Unavailable):
            return rows
        total_weight = sum(team.weight for team in teams)
        usage = []
        for team in teams:
            held = {
                resource: sum(row.value["amount_by_holder"].values()) if row else 0
                for resource in _RESOURCES
                for row in [rows.get(allowance_key(team.name, resource))]
            }
            usage.append(
                {
                    "team": team.name,
                    "share_percent": round(100 * team.weight / total_weight, 1),
                    "slots_held": held["slots"],
                    "max_slots": team.max_slots,
                    "cores_held": held["cores"],
                    "max_cores": team.max_cores,
                }
            )
        return {"teams": usage}


def _describe_pools(call: OperatorCall) -> list[dict[str, Any]]:
    """Return the state of each pool.

    The list is empty if there is no document or the store can't be read.
    """
    environment = call.context.membership.snapshot().environment
    if environment is None:
        return []
    pools = environment.pool_by_name.values()
    rows = call.context.table.read([pool_key(pool.name) for pool in pools])
    if isinstance(rows, Unavailable):
        return []
    described = []
    for pool in pools:
        row = rows.get(pool_key(pool.name))
        described.append(
            {
                "pool": pool.name,
                "n_serving": len(row.value["serving_vm_by_id"]) if row else 0,
                "n_disrupted": len(row.value["reason_by_disrupted_vm"]) if row else 0,
                "max_unavailable": pool.max_unavailable,
                "is_spare": pool.is_spare,
            }
        )
    return described
