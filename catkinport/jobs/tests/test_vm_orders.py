"""Tests that orders for VMs are stored before they are sent."""

import asyncio
from types import SimpleNamespace

import pytest

from ...policy.leadership import OwnLease
from ...ports import Reason, Unavailable
from ...ports.async_table import Snapshot
from ...ports.fleet_vms import UpkeepWave
from ...ports.fleet_workers import Done, Rejection
from ...ports.table import Committed, Condition, Conflict
from ..ownership.vm_orders import FORMER_WAVE_SECONDS, VmOrders
from ..tables import OWNER_KEY, VM_ORDERS_KEY
from .builders import make_job, make_step
from .vm_fleet import VmFleet


class FakeSession:
    """A session and its clients; the test sets the outcome of the commits."""

    def __init__(self, clock):
        self.clock = clock
        self.lease = OwnLease(1, 0.0)
        self.table = self
        self.ports = SimpleNamespace(vms=self, desk=self)
        self.loaded_at = clock.now()
        self.wake = asyncio.Event()
        self.is_conflict = False
        self.is_deposed = False
        self.outcome = Done()
        self.stored = []
        self.sent = []

    def owner_condition(self):
        return Condition(OWNER_KEY, 1)

    async def commit(self, transaction):
        if self.is_conflict:
            return Conflict({OWNER_KEY: 2})
        self.stored += [w.value["vms"] for w in transaction.writes]
        return Committed({VM_ORDERS_KEY: len(self.stored)})

    async def maintain(self, vm_id, wave, token):
        self.sent.append((vm_id, len(self.stored)))
        return self.outcome

    async def move(self, vm_id, pool, token):
        self.sent.append((vm_id, len(self.stored)))
        return self.outcome

    def list_waves(self):
        return [UpkeepWave(1, ["m0"], 20.0, 1)]

    def depose(self, reason):
        self.is_deposed = True

    def check_fenced(self, outcome):
        self.is_deposed |= outcome.reason is Rejection.FENCED

    def spawn(self, coroutine):
        return asyncio.ensure_future(coroutine)


def run_orders(*steps_seconds, is_conflict=False, fleet=None):
    """Advance by each step and send the orders due; return the session."""
    fleet = fleet or VmFleet(1)
    fleet.request_wave(["m0"])
    session = FakeSession(SimpleNamespace(now=lambda: fleet.now))
    session.is_conflict = is_conflict

    async def run():
        orders = VmOrders(session, fleet.vm_planner, 0.0)
        orders._store_begun = lambda wave: asyncio.sleep(0)
        for step_seconds in steps_seconds:
            await orders._send_vm_orders(fleet.step(step_seconds), fleet.now)
            await asyncio.sleep(0)

    asyncio.run(run())
    return session


class TestStoredOrders:
    def test_a_vm_is_stored_before_its_order_is_sent(self):
        """Guards against a successor that orders the same VM at the same time."""
        assert run_orders(0.25).sent == [("m0", 1)]

    def test_a_replaced_owner_sends_nothing(self):
        """Guards against orders of an owner that has lost the ownership."""
        session = run_orders(0.25, is_conflict=True)
        assert session.sent == []
        assert session.is_deposed

    def test_vms_are_removed_from_the_row_once_their_hold_has_ended(self):
        """Guards against a successor that holds back VMs that were ordered long ago.

        The row still named VMs that were switched off seven seconds before, so that a
        new owner switched no VM on when the demand for a pool rose.
        """
        assert run_orders(0.25, 1.0, 4.0).stored == [["m0"], []]

    def test_a_repeated_order_that_was_not_stored_may_still_have_been_carried_out(self):
        """Guards against more VMs down for a wave than it allows."""
        fleet = VmFleet(1)
        run_orders(0.25, fleet=fleet)
        fleet.vm_planner.inventory._pending_by_vm["m0"] = (
            fleet.vm_planner.inventory._pending_by_vm["m0"]._replace(answered_at=0.0)
        )
        run_orders(1.5, is_conflict=True, fleet=fleet)
        assert fleet.vm_planner.inventory.is_under_order("m0")

    def test_an_order_that_was_not_stored_leaves_its_vm_free(self):
        """Guards against a VM that stays unused for an order that was never sent."""
        fleet = VmFleet(1)
        run_orders(0.25, is_conflict=True, fleet=fleet)
        assert not fleet.vm_planner.inventory.is_under_order("m0")


async def send_orders(fleet, session, on_stored):
    """Store the orders of a round, call ``on_stored``, then let them be sent."""
    orders = VmOrders(session, fleet.vm_planner, 0.0)
    orders._store_begun = lambda wave: asyncio.sleep(0)
    await orders._send_vm_orders(fleet.step(0.25), fleet.now)
    on_stored()
    await asyncio.sleep(0)


class TestSlowAnswer:
    def test_an_order_is_not_repeated_while_its_call_waits(self):
        """Guards against repetitions that take all connections to a slow platform.

        An order was sent again each second, and its first answer came after five.
        """
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))
        is_answered = asyncio.Event()

        async def maintain(vm_id, wave, token):
            session.sent.append(vm_id)
            await is_answered.wait()
            return Done()

        session.maintain = maintain

        async def run():
            orders = VmOrders(session, fleet.vm_planner, 0.0)
            orders._store_begun = lambda wave: asyncio.sleep(0)
            for _ in range(4):
                await orders._send_vm_orders(fleet.step(1.0), fleet.now)
                await asyncio.sleep(0)
            is_answered.set()
            await asyncio.sleep(0.01)

        asyncio.run(run())
        assert session.sent == ["m0"]
        state = fleet.vm_planner.wave_by_number[1]
        assert fleet.vm_planner.is_complete(state)


class TestOrderAfterPause:
    @pytest.mark.parametrize(("pause_seconds", "n_sent"), [(0.5, 1), (5.0, 0)])
    def test_it_is_not_sent_once_a_successor_may_order_the_vm(
        self, pause_seconds, n_sent
    ):
        """Guards against orders for one VM by two owners that take turns.

        The owner was paused between the commit that names the VM and the order. Where
        the platform checks no tokens, only the owner itself can hold the order back.
        """
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))

        def pause():
            fleet.now += pause_seconds

        asyncio.run(send_orders(fleet, session, pause))
        assert len(session.sent) == n_sent
        assert fleet.vm_planner.inventory.is_under_order("m0") == bool(n_sent)


class TestTaskThatGoesAwayMeanwhile:
    @pytest.mark.parametrize(("percent", "n_sent"), [(100.0, 1), (0.0, 0)])
    def test_no_order_ends_another_task_of_its_step(self, percent, n_sent):
        """Guards against two tasks of a step that are away where one may be.

        One of them went away while the order that ends the other was being stored.
        """
        fleet = VmFleet(2)
        step = make_step(2, is_lasting=True, max_per_worker=1, max_away=1)
        fleet.dispatcher.add_job(make_job(steps=[step]), fleet.now)
        fleet.start()
        fleet.make_lasting_tasks_available()
        fleet.request_wave(["m0"])
        assert fleet.step() == []
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))

        def change_other():
            running = fleet.running_by_worker["w1"]
            for key, entry in running.items():
                running[key] = entry._replace(percent=percent)
            fleet.poll("w1")

        asyncio.run(send_orders(fleet, session, change_other))
        assert len(session.sent) == n_sent
        assert fleet.vm_planner.inventory.is_under_order("m0") == bool(n_sent)


class TestOrderAfterSlowWrite:
    @pytest.mark.parametrize(
        ("write_seconds", "renewed_seconds_ago", "n_sent"),
        [(2.0, 0.2, 1), (2.0, 2.0, 0), (2.6, 0.2, 0)],
    )
    def test_it_is_sent_while_no_successor_can_order_the_vm(
        self, write_seconds, renewed_seconds_ago, n_sent
    ):
        """Guards against VMs that never move or go down while the store is far away.

        The write of the VMs took longer than the time that an order had. Without a
        renewal since, and near the end of the gap between the orders of two owners, a
        successor may order the VM.
        """
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))

        def end_write():
            fleet.now += write_seconds
            session.lease = OwnLease(1, fleet.now - renewed_seconds_ago)

        asyncio.run(send_orders(fleet, session, end_write))
        assert len(session.sent) == n_sent
        recently = fleet.vm_planner.inventory.find_recently_ordered(fleet.now + 2.9)
        assert ("m0" in recently) == bool(n_sent)


class TestOrderBesideSlowWrite:
    def test_no_task_starts_on_the_vm_before_its_order_is_sent(self):
        """Guards against orders that end tasks which nobody has counted.

        The write of the ordered VMs takes 2.3 s. Meanwhile its worker answers and the
        VM seems to have outlived an order that was not sent yet, so it gets a lasting
        task, which the order then ends.
        """
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))
        started = []

        async def commit(transaction):
            for _ in range(9):
                fleet.advance(0.25)
                fleet.poll_all()
                fleet.list_vms()
                fleet.vm_planner.unblock_idle(fleet.now)
            job = make_job(steps=[make_step(is_lasting=True)])
            fleet.dispatcher.add_job(job, fleet.now)
            started.extend(fleet.start())
            return Committed({VM_ORDERS_KEY: 1})

        session.commit = commit

        def renew():
            session.lease = OwnLease(1, fleet.now - 0.2)

        asyncio.run(send_orders(fleet, session, renew))
        assert not (started and session.sent)


class TestOutcomeOfAnOrder:
    @pytest.mark.parametrize("may_be_done", [False, True])
    def test_only_an_order_that_may_be_done_keeps_its_vm(self, may_be_done):
        """Guards against a VM that waits for an order that was certainly refused."""
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))
        session.outcome = Unavailable(
            Reason.STORE_UNAVAILABLE, "vm-upkeep", may_have_committed=may_be_done
        )

        async def run():
            orders = VmOrders(session, fleet.vm_planner, 0.0)
            await orders._send_vm_orders(fleet.step(), fleet.now)
            await asyncio.sleep(0)

        asyncio.run(run())
        assert session.sent == [("m0", 1)]
        assert fleet.vm_planner.inventory.is_under_order("m0") is may_be_done


class FakeDesk:
    """Takes the reports of waves; the test loses the answers to some."""

    def __init__(self):
        self.is_answered = True
        self.reports = []

    async def report(self, wave, is_completed):
        self.reports.append(is_completed)
        return self.is_answered


class TestWaveReports:
    def _orders(self):
        fleet = VmFleet(1)
        fleet.request_wave(["m0"])
        session = FakeSession(SimpleNamespace(now=lambda: 0.0))
        session.ports.desk = FakeDesk()
        return session, VmOrders(session, fleet.vm_planner, 0.0)

    def test_a_report_follows_one_without_an_answer(self):
        """Guards against a wave that is shown as completed by a late report.

        The VM that had not begun its upkeep was missing from one list of VMs.
        """
        session, orders = self._orders()
        asyncio.run(orders._report_waves())
        vm_by_id = orders._vm_planner.inventory.vm_by_id
        orders._vm_planner.inventory.vm_by_id = {"m9": vm_by_id["m0"]}
        session.ports.desk.is_answered = False
        asyncio.run(orders._report_waves())
        orders._vm_planner.inventory.vm_by_id = vm_by_id
        session.ports.desk.is_answered = True
        asyncio.run(orders._report_waves())
        assert session.ports.desk.reports == [False, True, False]

    def test_an_owner_that_may_be_replaced_reports_nothing(self):
        """Guards against a report that replaces one of the successor."""
        session, orders = self._orders()
        session.clock.now = lambda: 1.0
        asyncio.run(orders._report_waves())
        assert session.ports.desk.reports == []


class TestInheritedWaves:
    @pytest.mark.parametrize(
        ("seen_after_seconds", "is_removed"),
        [(0.0, False), (FORMER_WAVE_SECONDS + 0.1, True)],
    )
    def test_a_worker_is_removed_for_waves_of_this_owner_alone(
        self, seen_after_seconds, is_removed
    ):
        """Guards against a worker that started after an upkeep for the former owner."""
        fleet = VmFleet(1)
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))
        orders = VmOrders(session, fleet.vm_planner, 0.0)
        session.list_waves = lambda: []
        orders._add_waves({}, fleet.now)
        del session.list_waves
        fleet.advance(seen_after_seconds)
        orders._add_waves({}, fleet.now)
        (order,) = fleet.step()
        fleet.vm_planner.on_done(order, fleet.now)
        assert ("w0" not in fleet.dispatcher.worker_by_id) is is_removed

    def test_stored_progress_of_a_wave_is_restored(self):
        """Guards against a second order for an upkeep that is known to have begun."""
        fleet = VmFleet(1)
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))
        orders = VmOrders(session, fleet.vm_planner, 0.0)
        orders._add_waves({"1": {"begun": ["m0"]}}, fleet.now)
        assert fleet.step() == []

    def test_a_successor_learns_the_age_of_a_wave(self):
        """Guards against a schedule that begins anew with each owner.

        The wave was 8 s old when its row was written, and no upkeep had begun.
        """
        fleet = VmFleet(1)
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))
        writes = []

        async def commit(transaction):
            writes.extend(transaction.writes)
            return Committed({write.row_key: 1 for write in transaction.writes})

        session.commit = commit
        orders = VmOrders(session, fleet.vm_planner, 0.0)
        orders._add_waves({}, fleet.now)
        fleet.advance(8.0)
        asyncio.run(orders._store_new_waves())
        asyncio.run(orders._store_new_waves())
        (write,) = writes
        other_fleet = VmFleet(1)
        successor = VmOrders(session, other_fleet.vm_planner, 0.0)
        successor._add_waves({write.row_key.key: write.value}, other_fleet.now)
        state = other_fleet.vm_planner.wave_by_number[1]
        assert 8.0 <= other_fleet.now - state.seen_at < 10.0

    def test_clocks_that_are_apart_make_no_wave_older_than_its_deadline(self):
        """Guards against ages by the clocks of two VMs that differ by hours."""
        fleet = VmFleet(1)
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))
        orders = VmOrders(session, fleet.vm_planner, 0.0)
        stored = {"begun": [], "seen_unix": 0.0, "age_seconds": 3.0}
        orders._add_waves({"1": stored}, fleet.now)
        assert fleet.now - fleet.vm_planner.wave_by_number[1].seen_at == 20.0
        stored["seen_unix"] = 1e12
        orders = VmOrders(session, VmFleet(1).vm_planner, 0.0)
        orders._add_waves({"1": stored}, fleet.now)
        state = orders._vm_planner.wave_by_number[1]
        assert fleet.now - state.seen_at == 3.0

    def test_a_wave_that_was_there_before_the_stored_state_was_read_is_inherited(self):
        """Guards against a worker that is taken for ended while its tasks run.

        The stored waves could not be read for seven seconds after the jobs. The former
        owner had ordered the upkeep, which the platform only confirms now.
        """
        fleet = VmFleet(1)
        session = FakeSession(SimpleNamespace(now=lambda: fleet.now))
        answers = [
            Unavailable(Reason.TIMEOUT, "table-read"),
            Snapshot([], 1),
        ]

        async def read_range(table):
            fleet.advance(3.5)
            fleet.poll_all()
            fleet.list_vms()
            session.lease = OwnLease(1, fleet.now)
            return answers.pop(0)

        async def commit(transaction):
            return Committed({write.row_key: 1 for write in transaction.writes})

        session.read_range = read_range
        session.commit = commit

        async def run():
            orders = VmOrders(session, fleet.vm_planner, 0.0)
            orders._store_begun = lambda wave: asyncio.sleep(0)
            orders._report_loop = orders._unblock_loop = lambda: asyncio.sleep(0)
            task = asyncio.ensure_future(orders.run())
            await asyncio.sleep(0.4)
            task.cancel()

        asyncio.run(run())
        assert [vm_id for vm_id, _ in session.sent] == ["m0"]
        assert "w0" in fleet.dispatcher.worker_by_id
