"""Tests of operators' changes that are carried out after a newer one was confirmed."""

from ...ports import Unavailable
from ...standins import LateTable, LossyTable
from ...state import VmState, vm_key
from ..change import MAX_ATTEMPTS
from ..operations import VmChanged, drain_vm, undrain_vm
from .test_operations import ENVIRONMENT, make_table, value


class TestLateDrain:
    """A drain without an answer may be stored after the VM was to serve again."""

    def test_late_drain_does_not_undo_a_confirmed_undrain(self):
        """Guards against a VM that drains after it was confirmed to serve.

        The VM has not begun to drain when the undrain is confirmed.
        """
        table = LateTable(make_table(), n_held=MAX_ATTEMPTS)
        assert isinstance(drain_vm(table, ENVIRONMENT, "vm-0", "t"), Unavailable)
        assert isinstance(undrain_vm(table, ENVIRONMENT, "vm-0", "u"), VmChanged)
        table.carry_out_held()
        assert value(table, vm_key("vm-0"))["state"] == VmState.ACTIVE

    def test_undrain_without_an_answer_is_not_confirmed(self):
        """Guards against a confirmation that a late drain can still undo."""
        table = LateTable(make_table(), n_held=MAX_ATTEMPTS)
        outcome = undrain_vm(table, ENVIRONMENT, "vm-0", "u")
        assert isinstance(outcome, Unavailable)
        assert outcome.may_have_committed

    def test_lost_answer_to_an_undrain_of_an_active_vm_is_read_back(self):
        """Guards against a conflict with the own confirmation."""
        table = make_table()
        lossy = LossyTable(table, 1)
        outcome = undrain_vm(lossy, ENVIRONMENT, "vm-0", "u")
        assert isinstance(outcome, VmChanged)
        assert outcome.version == table.read([vm_key("vm-0")])[vm_key("vm-0")].version
