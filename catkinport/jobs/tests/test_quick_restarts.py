"""Tests of starts that reach a worker which has started again under its id.

Nothing has told the owner of the restart yet, so the start was made for the incarnation
before.
"""

import pytest

from ...policy.resources import Resources
from ...ports.fleet_vms import FleetVm, VmState
from ...ports.fleet_workers import Done
from ..workers.worker_vms import VM_LIST_LAG_SECONDS
from .builders import POOL, Fleet, make_job, make_worker

POLL_SECONDS = 0.3
"""Time for which the poll is under way that first shows the restart."""


class StartOnRestartedWorker:
    """A fleet of two workers, on one of which a task was started after its restart.

    Attributes:
        fleet: the fleet.
        run: run of the task, which the worker has confirmed.
        worker_id: worker of the run.
    """

    def __init__(self, answer_seconds: float = 0.0) -> None:
        """Start a task; the worker confirms it ``answer_seconds`` after the order."""
        self.fleet = Fleet([make_worker("w1"), make_worker("w2")])
        self.fleet.advance(1.0)
        self.fleet.poll_all()
        self.fleet.dispatcher.add_job(make_job(), self.fleet.now)
        (start,) = self.fleet.plan()
        self.run = start.run
        self.worker_id = start.worker.worker_id
        self.fleet.advance(answer_seconds)
        self.fleet.answer(start, Done())

    def list_vm_as_down(self) -> None:
        """Process a list of VMs that was requested just now."""
        list_vm_as_down(self.fleet, self.worker_id)

    def is_held(self) -> bool:
        """Return whether the owner knows of the run and starts the task nowhere."""
        worker = self.fleet.dispatcher.worker_by_id[self.worker_id]
        return self.run.key in worker.run_by_key and self.fleet.plan() == []


def list_vm_as_down(fleet: Fleet, worker_id: str) -> None:
    """Process a list of VMs, requested just now, that shows a worker's VM as down."""
    vm = FleetVm("m", POOL, VmState.DOWN, "z", (), Resources(16, 256, 0), "")
    fleet.dispatcher.worker_by_id[worker_id].vm_id = vm.vm_id
    fleet.dispatcher.update_vms([vm], fleet.now, fleet.now)


@pytest.fixture
def start():
    return StartOnRestartedWorker()


class TestFirstReport:
    def test_run_that_was_confirmed_after_the_poll_was_sent_is_kept(self, start):
        """Guards against a second run: the report may be older than the start."""
        reported = dict(start.fleet.running_by_worker[start.worker_id])
        start.fleet.running_by_worker[start.worker_id].clear()
        sent_at = start.fleet.now - POLL_SECONDS
        start.fleet.poll(start.worker_id, started_at=2.0, sent_at=sent_at)
        assert start.is_held()
        start.fleet.running_by_worker[start.worker_id].update(reported)
        start.fleet.poll(start.worker_id, started_at=2.0)
        assert start.is_held()

    def test_run_that_ended_with_the_former_incarnation_is_given_up(self, start):
        """Guards against a task that waits for a run that the next report lacks."""
        start.fleet.running_by_worker[start.worker_id].clear()
        sent_at = start.fleet.now - POLL_SECONDS
        start.fleet.poll(start.worker_id, started_at=2.0, sent_at=sent_at)
        start.fleet.advance(POLL_SECONDS)
        start.fleet.poll(start.worker_id, started_at=2.0)
        assert not start.is_held()


class TestVmList:
    """The data of the list may be `VM_LIST_LAG_SECONDS` old."""

    def test_run_that_was_confirmed_after_its_data_is_kept(self):
        """Guards against a second run: the VM may be up again, and run the task.

        The order was sent before the VM went down, and carried out after it was back.
        """
        start = StartOnRestartedWorker(answer_seconds=0.7)
        start.fleet.advance(VM_LIST_LAG_SECONDS - 0.5)
        start.list_vm_as_down()
        assert start.is_held()

    def test_run_that_was_confirmed_before_its_data_is_given_up(self):
        """Guards against a task that waits for the lease of a worker that is gone."""
        start = StartOnRestartedWorker(answer_seconds=0.7)
        start.fleet.advance(VM_LIST_LAG_SECONDS + 0.1)
        start.list_vm_as_down()
        assert not start.is_held()

    @pytest.mark.parametrize(
        ("seconds", "is_resolved"), [(1.0, False), (VM_LIST_LAG_SECONDS + 0.1, True)]
    )
    def test_inherited_worker_is_resolved_by_data_after_the_claim(
        self, seconds, is_resolved
    ):
        """Guards against a second run of a task that the former owner started.

        The VM was up again by then, and its worker had taken the order.
        """
        fleet = Fleet([make_worker("w1"), make_worker("w2")])
        fleet.dispatcher.unresolved_by_id["w1"] = POOL
        fleet.dispatcher.note_former_orders(fleet.now)
        fleet.advance(seconds)
        list_vm_as_down(fleet, "w1")
        assert fleet.dispatcher.is_pool_resolved(POOL) is is_resolved
