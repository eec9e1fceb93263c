"""Operations on VMs, with concurrent operations and lost answers."""

import threading

import pytest

from ...ports import ListedVm, Reason, Refused, VmStatus, Write
from ...ports.table import Transaction
from ...settings.environment import Environment, Maintenance, Pool
from ...standins import LossyTable, MemoryTable
from ...state import GENERATION, VmState, owner_key, pool_key, vm_key
from ..operations import (
    Fence,
    VmChanged,
    VmConflict,
    advance_vm,
    drain_vm,
    drains,
    fail_vm,
    finish_move,
    move_vm,
    recover_vm,
    register_vm,
    undrain_vm,
)

POOLS = {name: Pool(name, 1, False, 2) for name in ("p", "q", "r")}
ENVIRONMENT = Environment(*[{}] * 6, POOLS, Maintenance(56.0, 60.0, 60.0))


def make_table(n_vms: int = 4) -> MemoryTable:
    table = MemoryTable()
    for number in range(n_vms):
        register(table, f"vm-{number}")
    return table


def register(table, vm_id: str, pool: str = "p"):
    listed = ListedVm(vm_id, VmStatus.LIVE, "z", "r", "w", "b", "1", 8.0, 64.0, 0)
    return register_vm(table, listed, pool, f"register-{vm_id}", 100.0)


def value(table, row_key):
    return table.read([row_key])[row_key].value


class RacingTable:
    """Runs another operation just before the first commit."""

    def __init__(self, table, race) -> None:
        self._table = table
        self._race = race

    def __getattr__(self, name):
        return getattr(self._table, name)

    def commit(self, transaction):
        race, self._race = self._race, None
        if race is not None:
            race()
        return self._table.commit(transaction)


class TestDrain:
    def test_draining_vm_leaves_the_serving_ones_in_one_transaction(self):
        """Guards against requests that are routed to a VM that drains."""
        table = make_table()
        generation = value(table, GENERATION)["generation"]
        outcome = drain_vm(table, ENVIRONMENT, "vm-0", "t")
        assert isinstance(outcome, VmChanged)
        pool = value(table, pool_key("p"))
        assert "vm-0" not in pool["serving_vm_by_id"]
        assert pool["reason_by_disrupted_vm"] == {"vm-0": "drain"}
        assert value(table, GENERATION)["generation"] == generation + 1

    @pytest.mark.parametrize("reason", ["rebooting", "silent", "gone"])
    def test_failed_vms_count_against_the_budget(self, reason):
        """Guards against planned drains that ignore VMs out of service by a failure."""
        table = make_table()
        fail_vm(table, "vm-1", reason, "f")
        outcome = drain_vm(table, ENVIRONMENT, "vm-0", "t")
        assert isinstance(outcome, Refused)
        assert outcome.reason == Reason.BUDGET_EXHAUSTED

    def test_budget_holds_for_concurrent_drains(self):
        """Guards against two drains that both read the budget before either commits."""
        table = make_table()
        race = RacingTable(table, lambda: drain_vm(table, ENVIRONMENT, "vm-1", "u"))
        outcome = drain_vm(race, ENVIRONMENT, "vm-0", "t")
        assert isinstance(outcome, Refused)
        assert list(value(table, pool_key("p"))["reason_by_disrupted_vm"]) == ["vm-1"]

    @pytest.mark.parametrize("is_applied", [True, False])
    def test_lost_answer_is_read_back(self, is_applied):
        """Guards against a drain that is refused because its first commit took effect.

        The answer to that commit is lost, before or after it takes effect.
        """
        table = make_table()
        lossy = LossyTable(table, 1, is_applied)
        assert isinstance(drain_vm(lossy, ENVIRONMENT, "vm-0", "t"), VmChanged)
        assert isinstance(drain_vm(table, ENVIRONMENT, "vm-0", "t"), VmChanged)

    def test_lost_answer_to_an_overwritten_commit_is_a_conflict(self):
        """Guards against a repeat of a drain that took effect and was then undone."""
        table = make_table()

        class Undone(LossyTable):
            def commit(self, transaction):
                outcome = super().commit(transaction)
                undrain_vm(table, ENVIRONMENT, "vm-0", "u")
                return outcome

        outcome = drain_vm(Undone(table, 1), ENVIRONMENT, "vm-0", "t")
        assert isinstance(outcome, VmConflict)
        assert value(table, vm_key("vm-0"))["state"] == VmState.ACTIVE

    def test_old_version_is_a_conflict(self):
        """Guards against an operator who overwrites the change of another one."""
        table = make_table()
        version = table.read([vm_key("vm-0")])[vm_key("vm-0")].version
        drain_vm(table, ENVIRONMENT, "vm-0", "t")
        outcome = undrain_vm(table, ENVIRONMENT, "vm-0", "u", version)
        assert isinstance(outcome, VmConflict)

    def test_former_owner_changes_nothing(self):
        """Guards against changes by an owner whose pool was taken over meanwhile."""
        table = make_table()
        key = owner_key("p")
        first = table.commit(
            Transaction([], [Write(key, {"member_id": "c-1", "epoch": 1})])
        )
        fence = Fence("p", first.versions_by_row_key[key])

        def take_over():
            value = {"member_id": "c-2", "epoch": 2}
            table.commit(Transaction([], [Write(key, value)]))

        race = RacingTable(table, take_over)
        outcome = drain_vm(race, ENVIRONMENT, "vm-0", "t", fence=fence)
        assert isinstance(outcome, Refused)
        assert outcome.reason == Reason.NOT_OWNER
        assert value(table, vm_key("vm-0"))["state"] == VmState.ACTIVE


class TestMove:
    def test_concurrent_moves_of_one_vm(self):
        """Guards against a VM that ends up in two pools."""
        table = make_table()
        barrier = threading.Barrier(2)
        outcomes = {}

        def move(target):
            barrier.wait()
            outcomes[target] = move_vm(table, ENVIRONMENT, "vm-0", target, target)

        threads = [threading.Thread(target=move, args=(t,)) for t in ("q", "r")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = [t for t, outcome in outcomes.items() if isinstance(outcome, VmChanged)]
        assert len(won) == 1
        advance_vm(table, "vm-0", VmState.DRAINING, VmState.DRAINED, "d")
        finish_move(table, "vm-0", "f")
        assert value(table, vm_key("vm-0"))["pool"] == won[0]
        assert list(pools_of(table, "vm-0")) == won

    @pytest.mark.parametrize("is_applied", [True, False])
    def test_lost_answers_to_finishing_a_move(self, is_applied):
        """Guards against a VM in no pool or in two pools after an interrupted move."""
        table = make_table()
        move_vm(table, ENVIRONMENT, "vm-0", "q", "m")
        advance_vm(table, "vm-0", VmState.DRAINING, VmState.DRAINED, "d")
        lossy = LossyTable(table, 100, is_applied)
        finish_move(lossy, "vm-0", "f-1")
        assert len(list(pools_of(table, "vm-0"))) == 1
        finish_move(table, "vm-0", "f-2")
        assert list(pools_of(table, "vm-0")) == ["q"]
        assert value(table, vm_key("vm-0"))["pool"] == "q"

    def test_move_keeps_the_minimum_size_of_a_pool(self):
        """Guards against moves that empty a pool one VM after another."""
        table = make_table(2)
        outcome = move_vm(table, ENVIRONMENT, "vm-0", "q", "m")
        assert isinstance(outcome, Refused)


class TestFailure:
    def test_failure_keeps_the_operation(self):
        """Guards against a move that is dropped because the VM failed during it."""
        table = make_table()
        move_vm(table, ENVIRONMENT, "vm-0", "q", "m")
        fail_vm(table, "vm-0", "silent", "f")
        recover_vm(table, "vm-0", "r")
        row = value(table, vm_key("vm-0"))
        assert (row["state"], row["operation"]) == (VmState.DRAINING, "move")
        assert "vm-0" not in value(table, pool_key("p"))["serving_vm_by_id"]

    def test_gone_vm_counts_until_it_is_replaced(self):
        """Guards against a budget that ignores VMs that are gone.

        It must count them only until a new VM replaces them.
        """
        table = make_table()
        fail_vm(table, "vm-0", "gone", "f")
        assert isinstance(drain_vm(table, ENVIRONMENT, "vm-1", "t"), Refused)
        register(table, "vm-9")
        assert vm_key("vm-0") not in table.read([vm_key("vm-0")])
        assert isinstance(drain_vm(table, ENVIRONMENT, "vm-1", "t"), VmChanged)


class TestRackFailure:
    def drain_during_rack_failure(self) -> int:
        """Drain VMs while a rack fails; return the drains above the budget."""
        table = make_table(8)
        n_above = 0
        for number in range(8):
            if number == 1:
                fail_vm(table, "vm-6", "silent", "f-6")
                fail_vm(table, "vm-7", "silent", "f-7")
            drained = drain_vm(table, ENVIRONMENT, f"vm-{number}", f"t-{number}")
            n_disrupted = len(value(table, pool_key("p"))["reason_by_disrupted_vm"])
            n_above += isinstance(drained, VmChanged) and n_disrupted > 1
        return n_above

    def test_rack_fails_during_drains(self):
        """Guards against drains that go on while failed VMs use up the budget."""
        assert self.drain_during_rack_failure() == 0

    def test_drains_exceed_the_budget_without_the_check(self, monkeypatch):
        """Guards against a rack test that cannot see drains beyond the budget."""
        monkeypatch.setattr(drains, "_check_drain", lambda *arguments: None)
        assert self.drain_during_rack_failure() > 0


def pools_of(table, vm_id: str):
    for row in table.scan("pools").rows:
        names = row.value["serving_vm_by_id"].keys()
        if vm_id in names | row.value["reason_by_disrupted_vm"].keys():
            yield row.row_key.key
