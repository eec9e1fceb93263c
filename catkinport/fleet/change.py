"""Commits one change of a VM together with its pools' rows and the generation."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, cast

from ..ports import (
    ABSENT_VERSION,
    Committed,
    Condition,
    Conflict,
    Reason,
    Refused,
    Row,
    RowKey,
    Table,
    Transaction,
    Unavailable,
    Write,
)
from ..ports.table import Value
from ..state import CHANGES_WRITE, GENERATION, PoolRow, VmRow, pool_key, vm_key
from .fence import Fence
from .outcomes import VmChanged, VmConflict, VmOutcome

MAX_ATTEMPTS = 8
"""Attempts of one change. An attempt fails only if another commit came first or its
answer was lost. 8 suffice even when every pool changes at once; after that the caller
tries again later."""


class VmView(NamedTuple):
    """Rows that a change is decided on; ``vm`` is ``None`` for a VM without a row."""

    vm: VmRow | None
    pool_by_name: Mapping[str, PoolRow]


class VmPlan(NamedTuple):
    """New values of the VM's row and of the pools' rows that change with it.

    The rows of ``removed_vms`` are deleted in the same transaction.
    """

    vm: VmRow
    pool_by_name: Mapping[str, PoolRow]
    removed_vms: tuple[str, ...] = ()


class Unchanged(NamedTuple):
    """The VM is in the wanted state already."""


class Busy(NamedTuple):
    """Another operation on the VM is under way."""


Decision = VmPlan | Unchanged | Busy | Refused
Decide = Callable[[VmView], Decision]


class VmChange(NamedTuple):
    """A change to commit.

    Args:
        vm_id: the VM.
        token: token of the operation; a repeated token has no further effect.
        decide: returns the new values of the rows that were read, or why there are
            none. It is called again in each attempt.
        pools: names of pools that are read besides the VM's own.
        expected_version: version that the VM's row must have; ``None`` for any.
        fence: ownership that must still hold; ``None`` for operators.
    """

    vm_id: str
    token: str
    decide: Decide
    pools: Sequence[str] = ()
    expected_version: int | None = None
    fence: Fence | None = None


class _Reading(NamedTuple):
    row_by_key: Mapping[RowKey, Row]
    pool_names: Sequence[str]

    def version(self, row_key: RowKey) -> int:
        row = self.row_by_key.get(row_key)
        return row.version if row else ABSENT_VERSION

    def value(self, row_key: RowKey) -> Value | None:
        row = self.row_by_key.get(row_key)
        return row.value if row else None


def commit_change(table: Table, change: VmChange) -> VmOutcome:
    """Commit ``change``; read the rows and decide again after each conflict."""
    # Version of the VM's row that was read before a commit whose answer was lost.
    unconfirmed_version: int | None = None
    for _ in range(MAX_ATTEMPTS):
        reading = _read(table, change)
        if isinstance(reading, Unavailable):
            is_unconfirmed = unconfirmed_version is not None
            return reading._replace(may_have_committed=is_unconfirmed)
        version = reading.version(vm_key(change.vm_id))
        outcome = _attempt(table, change, reading, unconfirmed_version)
        if isinstance(outcome, Conflict):
            continue
        if isinstance(outcome, Unavailable) and outcome.may_have_committed:
            unconfirmed_version = version
            continue
        return outcome
    if unconfirmed_version is not None:
        return Unavailable(
            Reason.STORE_UNAVAILABLE,
            "vm-change",
            "",
            "the answer to a commit was lost",
            True,
        )
    return VmConflict(change.vm_id, version)


def _read(table: Table, change: VmChange) -> _Reading | Unavailable:
    """Read the VM, then all rows of the change in one snapshot."""
    row_key = vm_key(change.vm_id)
    first = table.read([row_key])
    if isinstance(first, Unavailable):
        return first
    names = set(change.pools)
    if row_key in first:
        names.add(first[row_key].value["pool"])
    pool_names = sorted(names)
    keys = [row_key, GENERATION, *(pool_key(name) for name in pool_names)]
    if change.fence is not None:
        keys.append(change.fence.row_key)
    rows = table.read(keys)
    return rows if isinstance(rows, Unavailable) else _Reading(rows, pool_names)


def _attempt(
    table: Table, change: VmChange, reading: _Reading, unconfirmed_version: int | None
) -> VmOutcome | Conflict:
    version = reading.version(vm_key(change.vm_id))
    vm = cast("VmRow | None", reading.value(vm_key(change.vm_id)))
    if vm is not None and vm["last_token"] == change.token:
        return _describe(change.vm_id, vm, version)
    if unconfirmed_version not in (None, version):
        # The commit whose answer was lost may have taken effect and been overwritten
        # by another one, so that it must not be repeated.
        return VmConflict(change.vm_id, version)
    refusal = _check_conditions(change, reading, version)
    if refusal is not None:
        return refusal
    if vm is not None and vm["pool"] not in reading.pool_names:
        return Conflict({vm_key(change.vm_id): version})
    decision = change.decide(VmView(vm, _pools(reading)))
    if isinstance(decision, Unchanged):
        return _confirm_unchanged(table, change, cast(VmRow, vm), version)
    if isinstance(decision, Busy):
        return VmConflict(change.vm_id, version)
    if isinstance(decision, Refused):
        return decision
    plan = decision._replace(
        vm=cast(VmRow, {**decision.vm, "last_token": change.token})
    )
    return _commit(table, change, reading, plan)


def _confirm_unchanged(
    table: Table, change: VmChange, vm: VmRow, version: int
) -> VmOutcome | Conflict:
    """Confirm that the VM is in the wanted state.

    For an operator the row is written with the token. An earlier change without an
    answer then depends on a former version, so that the store cannot carry it out any
    more.
    """
    if change.fence is not None:
        return _describe(change.vm_id, vm, version)
    row_key = vm_key(change.vm_id)
    write = Write(row_key, {**vm, "last_token": change.token})
    outcome = table.commit(Transaction([Condition(row_key, version)], [write]))
    if isinstance(outcome, Committed):
        return _describe(change.vm_id, vm, outcome.versions_by_row_key[row_key])
    return outcome


def _check_conditions(
    change: VmChange, reading: _Reading, version: int
) -> VmConflict | Refused | None:
    fence = change.fence
    if fence is not None and reading.version(fence.row_key) != fence.version:
        return Refused(Reason.NOT_OWNER, "vm-change", detail=fence.pool)
    if change.expected_version not in (None, version):
        return VmConflict(change.vm_id, version)
    return None


def _commit(
    table: Table, change: VmChange, reading: _Reading, plan: VmPlan
) -> VmOutcome | Conflict:
    keys = [vm_key(change.vm_id), GENERATION]
    keys += [pool_key(name) for name in plan.pool_by_name]
    conditions = [Condition(key, reading.version(key)) for key in keys]
    if change.fence is not None:
        conditions.append(change.fence.condition)
    generation = (reading.value(GENERATION) or {"generation": 0})["generation"] + 1
    writes = [
        Write(vm_key(change.vm_id), dict(plan.vm)),
        Write(GENERATION, {"generation": generation}),
        CHANGES_WRITE,
    ]
    writes += [Write(pool_key(n), dict(row)) for n, row in plan.pool_by_name.items()]
    writes += [Write(vm_key(vm_id), None) for vm_id in plan.removed_vms]
    outcome = table.commit(Transaction(conditions, writes))
    if isinstance(outcome, Committed):
        version = outcome.versions_by_row_key[vm_key(change.vm_id)]
        return _describe(change.vm_id, plan.vm, version)
    return outcome


def _pools(reading: _Reading) -> dict[str, PoolRow]:
    return {
        name: cast(PoolRow, reading.value(pool_key(name)) or empty_pool())
        for name in reading.pool_names
    }


def empty_pool() -> PoolRow:
    """Return the row of a pool without VMs."""
    return {"serving_vm_by_id": {}, "reason_by_disrupted_vm": {}}


def _describe(vm_id: str, vm: VmRow, version: int) -> VmChanged:
    return VmChanged(vm_id, vm["state"], vm["pool"], version)
