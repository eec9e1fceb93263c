"""Tests of pools whose VMs are drained for a wave that cannot go on."""

import pytest

from .builders import make_job, make_step
from .vm_fleet import VmFleet

LATER_JOB = "00000000000000b2"
N_VMS = 3
WAIT_SECONDS = 60.0
STEP_SECONDS = 0.25


class TestBudgetThatStaysUsedUp:
    @pytest.mark.xfail(
        strict=True,
        raises=AssertionError,
        reason="all VMs of a pool wait for a budget that never returns (issue 34)",
    )
    def test_pool_takes_tasks(self):
        """Guards against a pool that stands still when no VM of it may go down.

        One lasting task of a step fits on no VM, which uses up the budget of the step.
        The wave drains all VMs of the pool, and none can be ordered down.
        """
        fleet = VmFleet(N_VMS)
        step = make_step(N_VMS + 1, is_lasting=True, max_per_worker=1, max_away=1)
        fleet.dispatcher.add_job(make_job(steps=[step]), fleet.now)
        assert len(fleet.start()) == N_VMS
        fleet.make_lasting_tasks_available()
        fleet.request_wave([f"m{number}" for number in range(N_VMS)], max_down=2)
        for _ in range(round(WAIT_SECONDS / STEP_SECONDS)):
            assert fleet.step(STEP_SECONDS) == []
        fleet.dispatcher.add_job(make_job(LATER_JOB), fleet.now)
        n_started = 0
        for _ in range(round(WAIT_SECONDS / STEP_SECONDS)):
            fleet.step(STEP_SECONDS)
            n_started += len(fleet.start())
        assert n_started == 1
