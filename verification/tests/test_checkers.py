"""Tests of the checks on histories that keep a promise and on ones that break it."""

from ..checkers import (
    check_at_most_once,
    check_availability_budgets,
    check_leaving_servers,
    check_no_call_cut,
    check_not_run,
    check_one_pool,
    check_own_answer,
    check_revisions,
    check_team,
    check_upper_limits,
    check_withdrawn_keys,
)
from ..history import (
    Execution,
    Operation,
    Outcome,
    RevisionChange,
    RevisionUse,
    RowChange,
    Withdrawal,
)

CALL = Operation(
    "o1", "k1", "a", "", False, "entry-1", 10.0, 11.0, Outcome.ANSWERED, 200, "", "o1"
)
RUN = Execution("o1", "", "a", "server-1", 10.2, 10.8)


def pool_change(version, pool, serving=(), **reason_by_vm):
    """Return a write of a pool's row."""
    value = {
        "serving_vm_by_id": dict.fromkeys(serving, {}),
        "reason_by_disrupted_vm": reason_by_vm,
    }
    return RowChange(version, "pools", pool, value)


class TestRequestChecks:
    def test_good_history_passes(self):
        """Guards against checks that reject a correct history."""
        assert not check_at_most_once([CALL], [RUN])
        assert not check_own_answer([CALL])
        assert not check_team([CALL], [RUN])
        assert not check_not_run([CALL], [RUN])
        assert not check_no_call_cut([CALL])

    def test_second_run_through_another_entry_is_found(self):
        """Guards against counting the runs of each call instead of each request."""
        first = CALL._replace(idempotency_key="i")
        retry = first._replace(operation_id="o2", entry="entry-2")
        runs = [RUN, RUN._replace(operation_id="o2")]
        assert check_at_most_once([first, retry], runs)
        assert not check_at_most_once([first, retry], runs[:1])

    def test_crossed_answer_is_found(self):
        """Guards against accepting another caller's answer."""
        assert check_own_answer([CALL._replace(answered_operation_id="o2")])

    def test_replayed_answer_of_the_same_request_passes(self):
        """Guards against rejecting the replay of a stored answer."""
        first = CALL._replace(idempotency_key="i")
        retry = first._replace(operation_id="o2", answered_operation_id="o1")
        assert not check_own_answer([first, retry])

    def test_false_refusal_is_found(self):
        """Guards against missing a call that ran though its outcome is "not run"."""
        assert check_not_run([CALL._replace(outcome=Outcome.NOT_RUN)], [RUN])

    def test_run_for_another_team_is_found(self):
        """Guards against missing work that ran without a valid key."""
        assert check_team([CALL._replace(team="")], [RUN])

    def test_late_use_of_a_withdrawn_key_is_found(self):
        """Guards against missing a key that is accepted after the bound."""
        withdrawals = [Withdrawal("k1", 5.0)]
        assert check_withdrawn_keys([CALL], withdrawals, 4.0)
        assert not check_withdrawn_keys([CALL], withdrawals, 6.0)

    def test_limit_exceeded_for_a_moment_is_found(self):
        """Guards against a check that misses a short excess over a limit."""
        runs = [RUN, RUN._replace(started_at=10.7, ended_at=12.0)]
        assert check_upper_limits(runs, {"a": 1}, now=20.0)
        assert not check_upper_limits(runs, {"a": 2}, now=20.0)

    def test_work_on_a_leaving_server_is_found(self):
        """Guards against missing an entry that routes by an old list of servers."""
        assert check_leaving_servers([RUN], {"server-1": 5.0}, 4.0)

    def test_broken_call_is_found(self):
        """Guards against missing a request that a planned stop cut off."""
        assert check_no_call_cut([CALL._replace(outcome=Outcome.BROKEN)])


class TestFleetChecks:
    def test_planned_drain_over_the_budget_is_found(self):
        """Guards against missing a drain while a failure already uses the budget."""
        changes = [
            pool_change(1, "p", ["v2"], v1="failed"),
            pool_change(2, "p", [], v1="failed", v2="maintenance"),
        ]
        assert check_availability_budgets(changes, {"p": 1})
        assert not check_availability_budgets(changes, {"p": 2})

    def test_failures_alone_break_no_budget(self):
        """Guards against reporting failures as planned actions."""
        changes = [pool_change(1, "p", [], v1="failed", v2="failed")]
        assert not check_availability_budgets(changes, {"p": 1})

    def test_vm_in_two_pools_is_found(self):
        """Guards against missing a move that adds a VM before it removes it."""
        changes = [pool_change(1, "p", ["v1"]), pool_change(2, "q", ["v1"])]
        assert check_one_pool(changes)

    def test_move_in_one_commit_passes(self):
        """Guards against checking a transaction before all of its rows are applied."""
        changes = [
            pool_change(1, "p", ["v1"]),
            pool_change(2, "q", ["v1"]),
            pool_change(2, "p", []),
        ]
        assert not check_one_pool(changes)


class TestRevisionChecks:
    def test_older_revision_is_found(self):
        """Guards against missing an entry that returns to an older revision."""
        uses = [RevisionUse("e", 1.0, 2), RevisionUse("e", 2.0, 1)]
        assert check_revisions(uses, [], 4.0)

    def test_late_revision_is_found(self):
        """Guards against missing an entry that uses an old revision too long."""
        uses = [RevisionUse("e", 9.0, 1)]
        changes = [RevisionChange(2, 4.0)]
        assert check_revisions(uses, changes, 4.0)
        assert not check_revisions(uses, changes, 5.0)
