"""Tests of the checks of what the simulated workers recorded."""

import pytest

from ..checkers import check_no_misdirected_calls

CALL = {
    "at": 7.0,
    "path": "/hold",
    "worker": "i-m-0-1",
    "born": 5000,
    "lease_seconds": 9.5,
    "last_seen": 6,
    "n_listed": 0,
    "is_late": False,
}


class TestMisdirectedCalls:
    def test_a_call_with_a_former_value_is_a_violation(self):
        """Guards against runs that pass though a worker took a former lease."""
        (violation,) = check_no_misdirected_calls([CALL])
        assert violation == (
            "MISDIRECTED: /hold on i-m-0-1 born 5000, lease 9.5 s, ends to 6"
        )

    @pytest.mark.parametrize("calls", [[], [CALL | {"is_late": True}]])
    def test_a_late_order_is_none(self, calls):
        """Guards against owners that are blamed for orders carried out late."""
        assert check_no_misdirected_calls(calls) == []
