"""Tests of pools whose VMs are drained for a wave that cannot go on."""

import logging

from ...runtime.logs import EVENT_FIELDS
from ..vms.disruption_budget import MAX_RETURN_SECONDS
from ..vms.wave_delays import MIN_DELAY_SECONDS
from .builders import make_job, make_step
from .vm_fleet import BOUNDS, VmFleet

LATER_JOB = "00000000000000b2"
N_VMS = 3
WAIT_SECONDS = 60.0
STEP_SECONDS = 0.25


class LargeJobFleet(VmFleet):
    """A pool with a lasting task on each VM, and one more that fits on none of them.

    One task of the step may be unavailable at once. A wave names all VMs.
    """

    def __init__(self) -> None:
        super().__init__(N_VMS)
        step = make_step(N_VMS + 1, is_lasting=True, max_per_worker=1, max_away=1)
        self.dispatcher.add_job(make_job(steps=[step]), self.now)
        assert len(self.start()) == N_VMS
        self.make_lasting_tasks_available()
        self.request_wave([f"m{number}" for number in range(N_VMS)], max_down=2)

    def wait(self, seconds: float) -> None:
        """Let time pass in which no upkeep may be ordered."""
        for _ in range(round(seconds / STEP_SECONDS)):
            assert self.step(STEP_SECONDS) == []

    def finish_upkeep(self) -> None:
        """Let the next VM go down and come back, and its task start again."""
        orders = []
        for _ in range(20):
            orders += self.step(STEP_SECONDS)
            if orders:
                break
        (order,) = orders
        self.vm_planner.on_done(order, self.now)
        self.replace_worker(order.vm_id, f"{order.vm_id}-next")
        self.step(BOUNDS.upkeep)
        self.start()
        self.make_lasting_tasks_available()


class TestBudgetThatStaysUsedUp:
    def test_pool_takes_tasks(self):
        """Guards against a pool that stands still when no VM of it may go down.

        One lasting task of a step fits on no VM, which uses up the budget of the step.
        The wave drains all VMs of the pool, and none can be ordered down.
        """
        fleet = LargeJobFleet()
        fleet.wait(WAIT_SECONDS)
        fleet.dispatcher.add_job(make_job(LATER_JOB), fleet.now)
        n_started = 0
        for _ in range(round(WAIT_SECONDS / STEP_SECONDS)):
            fleet.step(STEP_SECONDS)
            n_started += len(fleet.start())
        assert n_started == 1

    def test_vms_are_given_back_soon(self):
        """Guards against a pool without tasks until the deadline of its wave."""
        fleet = LargeJobFleet()
        fleet.wait(MAX_RETURN_SECONDS + 2 * STEP_SECONDS)
        workers = fleet.dispatcher.worker_by_id.values()
        assert not [w.worker_id for w in workers if w.is_reserved]

    def test_the_log_tells_what_the_wave_waits_for(self, caplog):
        """Guards against a wave that stays open without a line that tells why."""
        caplog.set_level(logging.INFO)
        fleet = LargeJobFleet()
        fleet.wait(WAIT_SECONDS)
        records = [r for r in caplog.records if r.getMessage() == "wave delayed"]
        fields = getattr(records[-1], EVENT_FIELDS)
        assert fields["reasons"] == f"budget-exhausted:{N_VMS}"
        assert len(records) <= WAIT_SECONDS / MIN_DELAY_SECONDS

    def test_wave_completes_once_the_budget_is_back(self):
        """Guards against a wave that ends for good when its VMs are given back."""
        fleet = LargeJobFleet()
        fleet.wait(WAIT_SECONDS)
        fleet.add_vm(f"m{N_VMS}", f"w{N_VMS}")
        fleet.step(STEP_SECONDS)
        assert len(fleet.start()) == 1
        fleet.make_lasting_tasks_available()
        for _ in range(N_VMS):
            fleet.finish_upkeep()
        assert fleet.vm_planner.is_complete(fleet.vm_planner.wave_by_number[1])
