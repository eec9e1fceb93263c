"""Checks of the promises on histories. Every check returns the violations found."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .history import (
    Execution,
    Operation,
    Outcome,
    RevisionChange,
    RevisionSeen,
    RowChange,
    Withdrawal,
)


class Violation(NamedTuple):
    """A promise that a history breaks."""

    promise: str
    detail: str


def check_at_most_once(
    operations: Sequence[Operation], executions: Sequence[Execution]
) -> list[Violation]:
    """Check that a non-idempotent request ran at most once (P8).

    Calls with one idempotency key are one request; a call without one is a
    request of its own.
    """
    request_by_operation = {
        operation.operation_id: operation.idempotency_key or operation.operation_id
        for operation in operations
        if not operation.is_idempotent
    }
    n_runs_by_request: dict[str, int] = defaultdict(int)
    for execution in executions:
        request = request_by_operation.get(execution.operation_id)
        if request is not None:
            n_runs_by_request[request] += 1
    return [
        Violation("P8", f"request {request} ran {n_runs} times")
        for request, n_runs in n_runs_by_request.items()
        if n_runs > 1
    ]


def check_own_answer(operations: Sequence[Operation]) -> list[Violation]:
    """Check that every whole answer belongs to the caller's own request (P6).

    An answer that is replayed for an idempotency key belongs to the call of the
    same request that ran.
    """
    request_by_operation = {
        operation.operation_id: operation.idempotency_key or operation.operation_id
        for operation in operations
    }
    violations = []
    for operation in operations:
        if operation.outcome is not Outcome.ANSWERED or operation.status != 200:
            continue
        answered = request_by_operation.get(operation.answered_operation_id)
        if answered != request_by_operation[operation.operation_id]:
            detail = (
                f"{operation.operation_id} got the answer of "
                f"{operation.answered_operation_id or 'nobody'}"
            )
            violations.append(Violation("P6", detail))
    return violations


def check_not_run(
    operations: Sequence[Operation], executions: Sequence[Execution]
) -> list[Violation]:
    """Check that a call that was refused as "not run" never ran (P7)."""
    executed = {execution.operation_id for execution in executions}
    return [
        Violation("P7", f"{operation.operation_id} ran after all: {operation.reason}")
        for operation in operations
        if operation.outcome is Outcome.NOT_RUN and operation.operation_id in executed
    ]


def check_team(
    operations: Sequence[Operation], executions: Sequence[Execution]
) -> list[Violation]:
    """Check that work ran only for the team of the key that came with it (P3).

    An operation whose key is not valid has an empty team and must not run.
    """
    team_by_operation = {
        operation.operation_id: operation.team for operation in operations
    }
    violations = []
    for execution in executions:
        team = team_by_operation.get(execution.operation_id)
        if team is not None and team != execution.team:
            detail = f"{execution.operation_id} of {team!r} ran for {execution.team!r}"
            violations.append(Violation("P3", detail))
    return violations


def check_withdrawn_keys(
    operations: Sequence[Operation],
    withdrawals: Sequence[Withdrawal],
    bound_seconds: float,
) -> list[Violation]:
    """Check that a withdrawn key stops working within ``bound_seconds`` (P4)."""
    time_by_key = {w.key_name: w.acknowledged_at for w in withdrawals}
    violations = []
    for operation in operations:
        withdrawn_at = time_by_key.get(operation.key_name)
        if withdrawn_at is None or operation.outcome is not Outcome.ANSWERED:
            continue
        late = operation.started_at - withdrawn_at
        if late > bound_seconds and operation.status < 400:
            detail = f"key {operation.key_name} was accepted {late:.1f} s too late"
            violations.append(Violation("P4", detail))
    return violations


def check_upper_limits(
    executions: Sequence[Execution], limit_by_team: Mapping[str, int], now: float
) -> list[Violation]:
    """Check that no team ran more than its limit at any instant (P5)."""
    violations = []
    for team, limit in limit_by_team.items():
        intervals = [
            (execution.started_at, execution.ended_at or now)
            for execution in executions
            if execution.team == team
        ]
        most = find_most_at_once(intervals)
        if most > limit:
            detail = f"team {team} ran {most} at once, limit {limit}"
            violations.append(Violation("P5", detail))
    return violations


def find_most_at_once(intervals: Iterable[tuple[float, float]]) -> int:
    """Return how many of the half-open intervals overlap at most.

    Example:
        >>> find_most_at_once([(0, 2), (1, 3), (2, 4)])
        2
    """
    events = []
    for start, end in intervals:
        events.append((start, 1))
        events.append((end, -1))
    running = most = 0
    # An end sorts before a start at the same time.
    for _, change in sorted(events):
        running += change
        most = max(most, running)
    return most


def check_availability_budgets(
    changes: Sequence[RowChange],
    budget_by_pool: Mapping[str, int],
    involuntary_reasons: frozenset[str] = frozenset({"failed"}),
) -> list[Violation]:
    """Check at every commit that a pool's budget holds (P1).

    Failures may exceed a budget by themselves; what must never happen is a VM
    taken out on purpose while the budget is used up.
    """
    violations = []
    disrupted_by_pool: dict[str, set[str]] = defaultdict(set)
    for change in _sorted_changes(changes, "pools"):
        reasons = (change.value or {}).get("reason_by_disrupted_vm", {})
        added = set(reasons) - disrupted_by_pool[change.key]
        planned = [vm for vm in added if reasons[vm] not in involuntary_reasons]
        disrupted_by_pool[change.key] = set(reasons)
        budget = budget_by_pool.get(change.key, 0)
        if planned and len(reasons) > budget:
            detail = (
                f"pool {change.key}: {sorted(planned)} taken out with "
                f"{len(reasons)} unavailable, budget {budget}"
            )
            violations.append(Violation("P1", detail))
    return violations


def check_one_pool(changes: Sequence[RowChange]) -> list[Violation]:
    """Check at every commit that a VM is in one pool only (P2)."""
    violations = []
    vms_by_pool: dict[str, set[str]] = {}
    by_version: dict[int, list[RowChange]] = defaultdict(list)
    for change in _sorted_changes(changes, "pools"):
        by_version[change.version].append(change)
    for version, rows in by_version.items():
        for change in rows:
            value = change.value or {}
            serving = set(value.get("serving_vm_by_id", {}))
            disrupted = set(value.get("reason_by_disrupted_vm", {}))
            vms_by_pool[change.key] = serving | disrupted
        violations.extend(_find_shared_vms(vms_by_pool, version))
    return violations


def check_revisions(
    seen: Sequence[RevisionSeen],
    changes: Sequence[RevisionChange],
    bound_seconds: float,
) -> list[Violation]:
    """Check that revisions never go back and are in force in time (P11)."""
    violations = []
    highest_by_observer: dict[str, int] = defaultdict(int)
    for entry in sorted(seen, key=lambda entry: entry.time):
        highest = highest_by_observer[entry.observer]
        if entry.revision < highest:
            detail = f"{entry.observer} went from {highest} to {entry.revision}"
            violations.append(Violation("P11", detail))
        highest_by_observer[entry.observer] = max(highest, entry.revision)
        for change in changes:
            late = entry.time - change.acknowledged_at
            if late > bound_seconds and entry.revision < change.revision:
                detail = (
                    f"{entry.observer} used {entry.revision} {late:.1f} s after "
                    f"{change.revision} was accepted"
                )
                violations.append(Violation("P11", detail))
    return violations


def check_leaving_servers(
    executions: Sequence[Execution],
    left_at_by_server: Mapping[str, float],
    bound_seconds: float,
) -> list[Violation]:
    """Check that a leaving backend server gets no new work after the bound (P9)."""
    violations = []
    for execution in executions:
        left_at = left_at_by_server.get(execution.backend_server)
        if left_at is None:
            continue
        late = execution.started_at - left_at
        if late > bound_seconds:
            detail = f"{execution.backend_server} got work {late:.1f} s after leaving"
            violations.append(Violation("P9", detail))
    return violations


def check_nothing_cut(operations: Sequence[Operation]) -> list[Violation]:
    """Check that planned stops broke no call (P10).

    Use it on a schedule whose only events are planned stops.
    """
    return [
        Violation("P10", f"{operation.operation_id} was cut at {operation.entry}")
        for operation in operations
        if operation.outcome in (Outcome.BROKEN, Outcome.UNKNOWN)
    ]


def measure_share_served(operations: Sequence[Operation]) -> float:
    """Return the share of operations with a valid key that were answered."""
    valid = [operation for operation in operations if operation.team]
    if not valid:
        return 0.0
    served = sum(operation.outcome is Outcome.ANSWERED for operation in valid)
    return served / len(valid)


def measure_recovery(operations: Sequence[Operation], fault_at: float) -> float:
    """Return the seconds from a fault to the last failure that it caused.

    Failures are calls with a valid key, started after the fault, that were not
    answered.
    """
    failures = [
        operation.ended_at
        for operation in operations
        if operation.team
        and operation.started_at >= fault_at
        and operation.outcome is not Outcome.ANSWERED
    ]
    return max(failures) - fault_at if failures else 0.0


def _sorted_changes(changes: Sequence[RowChange], table: str) -> list[RowChange]:
    selected = [change for change in changes if change.table == table]
    return sorted(selected, key=lambda change: change.version)


def _find_shared_vms(
    vms_by_pool: Mapping[str, set[str]], version: int
) -> list[Violation]:
    violations = []
    pool_by_vm: dict[str, str] = {}
    for pool, vms in vms_by_pool.items():
        for vm_id in vms:
            if vm_id in pool_by_vm:
                detail = f"{vm_id} in {pool_by_vm[vm_id]} and {pool} at {version}"
                violations.append(Violation("P2", detail))
            pool_by_vm[vm_id] = pool
    return violations
