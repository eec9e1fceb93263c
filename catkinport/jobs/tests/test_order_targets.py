"""Tests of which worker is removed once an order for its VM is answered as done."""

import pytest

from ...ports import Reason, Unavailable
from ...ports.fleet_vms import UpkeepWave, VmState
from ...ports.fleet_workers import Done
from ..vms.order_targets import VmOrder
from .builders import POOL, make_job, make_worker
from .vm_fleet import BOUNDS, VmFleet

OTHER_POOL = "off"
"""Pool that the VM of a test leaves by a move to ``POOL``."""

MOVE_AWAY = VmOrder("m0", 0, OTHER_POOL)
"""Move of the VM of a test from ``POOL``."""

REPEAT_STEP_SECONDS = 1.25
"""Longer than the time after which an order without an answer is repeated."""

LIST_STEP_SECONDS = 1.5
"""Longer than the list of VMs may lag behind the VMs."""


class OneVmFleet(VmFleet):
    """A fleet whose VM ``m0``, on which worker ``w0`` runs, gets an order.

    Attributes:
        order: an upkeep, or a move from ``OTHER_POOL`` to ``POOL``.
    """

    def __init__(self, kind: str = "upkeep", n_workers: int = 1) -> None:
        super().__init__(n_workers)
        self.order = VmOrder("m0", 1, "")
        if kind == "move":
            self.order = VmOrder("m0", 0, POOL)
            self.workers[0] = make_worker("w0", pool=OTHER_POOL)
            self.list_workers()
            self.change_vm("m0", pool=OTHER_POOL)

    def send_order(self) -> None:
        """Note the order as sent, for the first time or again."""
        self.vm_planner.inventory.reserve("m0")
        self.vm_planner.inventory.note_sent(self.order, self.now)

    def repeat_order(self) -> None:
        """Let the planner send the order again because it has had no answer."""
        self.advance(REPEAT_STEP_SECONDS)
        self.poll_all()
        assert self.order in self.vm_planner.plan(self.now)

    def answer_order(self) -> None:
        """Let the platform answer the order as done."""
        self.vm_planner.on_done(self.order, self.now)

    def come_back(self, worker_id: str = "w1", is_vm_listed: bool = True) -> None:
        """Let a new worker start on the VM and report to the owner."""
        self.replace_worker("m0", worker_id, is_vm_listed)

    def start_task(self) -> str:
        """Start a task of a new job; return the id of its worker."""
        self.dispatcher.add_job(make_job(), self.now)
        (start,) = self.start()
        return start.run.worker_id

    def runs_on(self, worker_id: str) -> int:
        return len(self.dispatcher.worker_by_id[worker_id].run_by_key)


@pytest.mark.parametrize("kind", ["upkeep", "move"])
class TestNewWorker:
    def test_stays_when_the_repeated_order_is_answered(self, kind):
        """Guards against a second start of tasks that run on the new worker.

        The first order had no answer and was carried out. A worker that is removed is
        not in the stored roster either, so that a successor does not wait for it.
        """
        fleet = OneVmFleet(kind)
        fleet.send_order()
        fleet.repeat_order()
        fleet.come_back()
        assert fleet.start_task() == "w1"
        fleet.answer_order()
        assert fleet.runs_on("w1") == 1
        assert fleet.start() == []

    def test_stays_under_the_id_of_the_former_one(self, kind):
        """Guards against telling workers apart by their ids, which may be used anew."""
        fleet = OneVmFleet(kind)
        fleet.send_order()
        fleet.repeat_order()
        fleet.come_back("w0")
        fleet.vm_planner.inventory.release("m0")
        assert fleet.start_task() == "w0"
        fleet.answer_order()
        assert fleet.runs_on("w0") == 1

    def test_stays_when_the_list_of_vms_still_shows_the_former_one(self, kind):
        """Guards against a choice by a list of VMs that is older than the order."""
        fleet = OneVmFleet(kind)
        fleet.send_order()
        fleet.repeat_order()
        fleet.come_back(is_vm_listed=False)
        assert fleet.start_task() == "w1"
        fleet.answer_order()
        assert fleet.runs_on("w1") == 1
        assert "w0" not in fleet.dispatcher.worker_by_id

    def test_stays_when_an_order_sent_earlier_is_answered_last(self, kind):
        """Guards against removing it for an order that is carried out late."""
        fleet = OneVmFleet(kind)
        fleet.send_order()
        fleet.repeat_order()
        fleet.answer_order()
        fleet.come_back()
        assert fleet.start_task() == "w1"
        fleet.answer_order()
        assert fleet.runs_on("w1") == 1

    def test_stays_when_the_order_was_rejected_in_between(self, kind):
        """Guards against forgetting an order that was sent before a rejection.

        The platform rejects orders for a VM that is down, here for the order itself.
        """
        fleet = OneVmFleet(kind)
        fleet.send_order()
        fleet.repeat_order()
        fleet.vm_planner.on_rejected(fleet.order)
        fleet.come_back()
        assert fleet.start_task() == "w1"
        fleet.send_order()
        fleet.answer_order()
        assert fleet.runs_on("w1") == 1

    def test_stays_when_the_order_was_rejected_twice_in_between(self, kind):
        """Guards against forgetting it with a later sending that had no effect."""
        fleet = OneVmFleet(kind)
        fleet.send_order()
        fleet.repeat_order()
        fleet.vm_planner.on_rejected(fleet.order)
        fleet.come_back()
        assert fleet.start_task() == "w1"
        fleet.send_order()
        fleet.vm_planner.on_rejected(fleet.order)
        fleet.send_order()
        fleet.answer_order()
        assert fleet.runs_on("w1") == 1

    def test_loses_its_runs_when_a_late_order_has_taken_its_vm_down(self, kind):
        """Guards against tasks that wait for the lease of a worker that has ended."""
        fleet = OneVmFleet(kind)
        fleet.send_order()
        fleet.repeat_order()
        fleet.come_back()
        assert fleet.start_task() == "w1"
        fleet.answer_order()
        fleet.advance(LIST_STEP_SECONDS)
        fleet.change_vm("m0", state=VmState.UPKEEP, worker_id="")
        assert fleet.runs_on("w1") == 0


class TestFormerWorker:
    @pytest.mark.parametrize("is_repeated", [False, True])
    @pytest.mark.parametrize("is_rejected_before", [False, True])
    def test_tasks_start_elsewhere_at_once(self, is_repeated, is_rejected_before):
        """Guards against waiting for the list when the answer already tells the end."""
        fleet = OneVmFleet(n_workers=2)
        other = fleet.dispatcher.worker_by_id["w1"]
        other.is_cordoned = True
        assert fleet.start_task() == "w0"
        other.is_cordoned = False
        if is_rejected_before:
            fleet.send_order()
            fleet.vm_planner.on_rejected(fleet.order)
        fleet.send_order()
        if is_repeated:
            fleet.advance(0.5)
            fleet.send_order()
        fleet.answer_order()
        assert "w0" not in fleet.dispatcher.worker_by_id
        assert [start.run.worker_id for start in fleet.start()] == ["w1"]

    def test_stays_if_it_was_not_reached_before_the_order(self):
        """Guards against removing a worker whose time of start is unknown."""
        fleet = OneVmFleet()
        fleet.dispatcher.worker_by_id["w0"].started_at = 0.0
        fleet.send_order()
        fleet.answer_order()
        assert "w0" in fleet.dispatcher.worker_by_id

    def test_stays_if_its_entry_is_of_an_earlier_incarnation(self):
        """Guards against a choice by the pool of an entry that is out of date."""
        fleet = OneVmFleet("move")
        restarted = make_worker("w0", pool=OTHER_POOL, started_at=2.0)
        fleet.workers[0] = restarted
        fleet.poll("w0")
        fleet.send_order()
        fleet.answer_order()
        assert "w0" in fleet.dispatcher.worker_by_id

    def test_stays_if_it_serves_the_pool_of_the_move_already(self):
        """Guards against a move that was carried out for a former owner."""
        fleet = OneVmFleet()
        fleet.order = VmOrder("m0", 0, POOL)
        fleet.send_order()
        fleet.answer_order()
        assert "w0" in fleet.dispatcher.worker_by_id


class TestInheritedWave:
    def _fleet(self):
        """Answer an upkeep that a former owner may have ordered too."""
        fleet = OneVmFleet()
        fleet.start_task()
        wave = UpkeepWave(1, ["m0"], 20.0, 1)
        fleet.vm_planner.add_wave(wave, fleet.now, is_inherited=True)
        fleet.dispatcher.worker_by_id["w0"].is_maintenance_due = True
        fleet.send_order()
        fleet.answer_order()
        return fleet

    def test_worker_stays_as_the_upkeep_may_have_been_done_before(self):
        """Guards against a second start of the tasks of a VM that came back before.

        The former owner got no answer, or could not store that the upkeep had begun.
        """
        fleet = self._fleet()
        assert fleet.runs_on("w0") == 1
        assert fleet.start() == []

    def test_worker_gets_tasks_again_if_it_is_listed_after_the_upkeep(self):
        """Guards against a VM that stays unused because its upkeep was done before."""
        fleet = self._fleet()
        worker = fleet.dispatcher.worker_by_id["w0"]
        assert not worker.may_start(fleet.now)
        fleet.step(BOUNDS.upkeep + LIST_STEP_SECONDS)
        assert worker.may_start(fleet.now)
        assert not worker.is_maintenance_due

    def test_tasks_are_given_up_once_the_list_shows_the_vm_as_down(self):
        """Guards against tasks that wait for the lease of a worker that has ended."""
        fleet = self._fleet()
        fleet.advance(LIST_STEP_SECONDS)
        fleet.change_vm("m0", state=VmState.UPKEEP, worker_id="")
        assert fleet.runs_on("w0") == 0


class TestRunConfirmedAcrossTheOrder:
    def _fleet(self, order=MOVE_AWAY):
        """Return a fleet with a run on ``w0`` that is confirmed after the order."""
        fleet = OneVmFleet(n_workers=2)
        fleet.dispatcher.worker_by_id["w1"].is_cordoned = True
        fleet.order = order
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        assert start.run.worker_id == "w0"
        fleet.send_order()
        fleet.advance(0.1)
        fleet.answer(start, Done())
        fleet.dispatcher.worker_by_id["w1"].is_cordoned = False
        return fleet

    def test_it_is_kept_when_the_repeated_order_is_answered(self):
        """Guards against a second run of a task that the next incarnation executes.

        An upkeep without an answer is carried out once its VM gets tasks again. The
        worker comes back under its id, and confirms a start before it answers a poll.
        """
        fleet = OneVmFleet(n_workers=2)
        fleet.dispatcher.worker_by_id["w1"].is_cordoned = True
        fleet.send_order()
        while not fleet.dispatcher.worker_by_id["w0"].may_start(fleet.now):
            fleet.advance(0.5)
            fleet.poll_all()
            fleet.vm_planner.plan(fleet.now)
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.dispatcher.worker_by_id["w1"].is_cordoned = False
        assert start.run.worker_id == "w0"
        fleet.answer(start, Done())
        fleet.answer_order()
        assert fleet.plan() == []

    @pytest.mark.parametrize("order", [VmOrder("m0", 1, ""), MOVE_AWAY])
    def test_it_is_given_up_once_the_list_shows_the_vm_as_down(self, order):
        """Guards against a task that waits for the lease of a worker that has ended."""
        fleet = self._fleet(order)
        fleet.answer_order()
        assert fleet.plan() == []
        fleet.advance(LIST_STEP_SECONDS)
        state = VmState.UPKEEP if order.wave else VmState.MOVING
        fleet.poll("w1")
        fleet.change_vm("m0", state=state, worker_id="")
        assert fleet.runs_on("w0") == 0
        assert [start.run.worker_id for start in fleet.plan()] == ["w1"]

    def test_it_is_given_up_once_the_next_incarnation_does_not_list_it(self):
        """Guards against a task that waits for the list, and against a false crash."""
        fleet = self._fleet(VmOrder("m0", 1, ""))
        fleet.answer_order()
        fleet.running_by_worker["w0"].clear()
        fleet.advance(0.1)
        fleet.workers[0] = make_worker("w0", started_at=2.0)
        fleet.poll("w0")
        worker = fleet.dispatcher.worker_by_id["w0"]
        assert not worker.run_by_key
        assert worker.crash is None

    def test_it_is_kept_after_a_move_that_was_given_up(self):
        """Guards against counting from the last sending, not from the first."""
        fleet = self._fleet()
        fleet.vm_planner.inventory.give_up(fleet.order)
        fleet.advance(0.1)
        fleet.send_order()
        fleet.vm_planner.on_no_effect(fleet.order)
        fleet.send_order()
        fleet.answer_order()
        assert fleet.runs_on("w0") == 1
        assert fleet.plan() == []

    def test_run_without_an_answer_is_kept(self):
        """Guards against a start that the next incarnation carries out late."""
        fleet = OneVmFleet(n_workers=2)
        fleet.dispatcher.worker_by_id["w1"].is_cordoned = True
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.dispatcher.worker_by_id["w1"].is_cordoned = False
        fleet.send_order()
        fleet.answer(start, Unavailable(Reason.TIMEOUT, "worker-start", "w0", "", True))
        fleet.answer_order()
        assert fleet.runs_on("w0") == 1
        assert fleet.plan() == []

    def test_run_confirmed_before_the_sending_is_given_up_at_once(self):
        """Guards against waiting for the list after a slow write before the sending."""
        fleet = self._fleet()
        fleet.vm_planner.inventory.note_sending(fleet.order, fleet.now)
        fleet.answer_order()
        assert "w0" not in fleet.dispatcher.worker_by_id
        assert [start.run.worker_id for start in fleet.plan()] == ["w1"]

    def test_earlier_moves_that_are_done_do_not_count(self):
        """Guards against waiting for the list at each later move to the same pool."""
        fleet = OneVmFleet(n_workers=2)
        fleet.order = MOVE_AWAY
        fleet.send_order()
        fleet.answer_order()
        fleet.advance(0.1)
        fleet.come_back("w2")
        fleet.poll_all()
        fleet.vm_planner.inventory.give_up(fleet.order)
        fleet.dispatcher.worker_by_id["w1"].is_cordoned = True
        assert fleet.start_task() == "w2"
        fleet.dispatcher.worker_by_id["w1"].is_cordoned = False
        fleet.send_order()
        fleet.answer_order()
        assert "w2" not in fleet.dispatcher.worker_by_id
