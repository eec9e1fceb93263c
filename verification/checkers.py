"""Checks of recorded histories against the promises.

A promise is a guarantee that the system gives its users. Each check states its promise
and the number of it (P1 to P11), and returns the violations found.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .history import (
    Execution,
    Operation,
    Outcome,
    RevisionChange,
    RevisionUse,
    RowChange,
    Withdrawal,
)


class Violation(NamedTuple):
    """A broken promise: its number or wording, and what in the history breaks it."""

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

    A stored answer that is replayed for an idempotency key names the earlier call of
    the same request that ran.
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
    """Check that a call whose outcome is "not run" never ran (P7)."""
    executed = {execution.operation_id for execution in executions}
    return [
        Violation("P7", f"{operation.operation_id} ran after all: {operation.reason}")
        for operation in operations
        if operation.outcome is Outcome.NOT_RUN and operation.operation_id in executed
    ]


def check_team(
    operations: Sequence[Operation], executions: Sequence[Execution]
) -> list[Violation]:
    """Check that work ran only for the team of the key that it was sent with (P3).

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
        age_seconds = operation.started_at - withdrawn_at
        if age_seconds > bound_seconds and operation.status < 400:
            detail = (
                f"key {operation.key_name} was accepted {age_seconds:.1f} s after its "
                f"withdrawal"
            )
            violations.append(Violation("P4", detail))
    return violations


def check_upper_limits(
    executions: Sequence[Execution], limit_by_team: Mapping[str, int], now: float
) -> list[Violation]:
    """Check that no team ran more requests than its limit at any time (P5).

    ``now`` stands for the end of the executions that still run, in seconds since the
    Unix epoch.
    """
    violations = []
    for team, limit in limit_by_team.items():
        intervals = [
            (execution.started_at, execution.ended_at or now)
            for execution in executions
            if execution.team == team
        ]
        most = count_max_concurrent(intervals)
        if most > limit:
            detail = f"team {team} ran {most} requests at once, limit {limit}"
            violations.append(Violation("P5", detail))
    return violations


def count_max_concurrent(intervals: Iterable[tuple[float, float]]) -> int:
    """Return the largest number of half-open intervals that overlap at any time.

    Example:
        >>> count_max_concurrent([(0, 2), (1, 3), (2, 4)])
        2
    """
    events = []
    for start, end in intervals:
        events.append((start, 1))
        events.append((end, -1))
    running = most = 0
    # At the same time, an end sorts before a start, since -1 < 1.
    for _, change in sorted(events):
        running += change
        most = max(most, running)
    return most


def check_availability_budgets(
    changes: Sequence[RowChange],
    budget_by_pool: Mapping[str, int],
    involuntary_reasons: frozenset[str] = frozenset({"failed"}),
) -> list[Violation]:
    """Check at every commit that a planned action keeps the pool's budget (P1).

    A budget is the number of VMs of a pool that may be unavailable at a time. Failures
    alone may exceed it; a VM must never be taken out on purpose if the number of
    unavailable VMs is then above the budget.
    """
    violations = []
    disrupted_by_pool: dict[str, set[str]] = defaultdict(set)
    for change in _sort_changes(changes, "pools"):
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
    """Check at every commit that no VM is in more than one pool (P2)."""
    violations = []
    vms_by_pool: dict[str, set[str]] = {}
    by_version: dict[int, list[RowChange]] = defaultdict(list)
    for change in _sort_changes(changes, "pools"):
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
    uses: Sequence[RevisionUse],
    changes: Sequence[RevisionChange],
    bound_seconds: float,
) -> list[Violation]:
    """Check that no observer returns to an older revision or uses one too long (P11).

    A revision must be in use by every observer ``bound_seconds`` after it was
    acknowledged.
    """
    violations = []
    highest_by_observer: dict[str, int] = defaultdict(int)
    for use in sorted(uses, key=lambda use: use.time):
        highest = highest_by_observer[use.observer]
        if use.revision < highest:
            detail = f"{use.observer} went from {highest} to {use.revision}"
            violations.append(Violation("P11", detail))
        highest_by_observer[use.observer] = max(highest, use.revision)
        for change in changes:
            age_seconds = use.time - change.acknowledged_at
            if age_seconds > bound_seconds and use.revision < change.revision:
                detail = (
                    f"{use.observer} used revision {use.revision} {age_seconds:.1f} s "
                    f"after revision {change.revision} was acknowledged"
                )
                violations.append(Violation("P11", detail))
    return violations


def check_leaving_servers(
    executions: Sequence[Execution],
    left_at_by_server: Mapping[str, float],
    bound_seconds: float,
) -> list[Violation]:
    """Check that a leaving backend server gets no new work after the bound (P9).

    ``bound_seconds`` counts from the time at which the platform listed it as leaving.
    """
    violations = []
    for execution in executions:
        left_at = left_at_by_server.get(execution.backend_server)
        if left_at is None:
            continue
        delay_seconds = execution.started_at - left_at
        if delay_seconds > bound_seconds:
            detail = (
                f"{execution.backend_server} got work {delay_seconds:.1f} s after "
                f"leaving"
            )
            violations.append(Violation("P9", detail))
    return violations


def check_no_call_cut(operations: Sequence[Operation]) -> list[Violation]:
    """Check that planned stops cut no call off (P10).

    The check holds only for a schedule whose only events are planned stops.
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
    """Return the seconds from a fault to the end of the last failed call.

    Failed calls are those with a valid key that were started after the fault and were
    not answered. Without one the result is 0.
    """
    failures = [
        operation.ended_at
        for operation in operations
        if operation.team
        and operation.started_at >= fault_at
        and operation.outcome is not Outcome.ANSWERED
    ]
    return max(failures) - fault_at if failures else 0.0


def _sort_changes(changes: Sequence[RowChange], table: str) -> list[RowChange]:
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
                detail = (
                    f"{vm_id} in {pool_by_vm[vm_id]} and {pool} at version {version}"
                )
                violations.append(Violation("P2", detail))
            pool_by_vm[vm_id] = pool
    return violations
