"""Sends the orders for VMs that `VmPlanner` decides on: upkeep in waves, and moves."""

import asyncio
import logging
import time
from collections.abc import Mapping
from typing import Any

from ...ports import Unavailable
from ...ports.fleet_workers import Done, Rejected, Rejection
from ...ports.table import Committed, Write
from ...runtime.logs import log_event
from ..tables import (
    MEMORY_KEY,
    OWN_VMS_KEY,
    WAVES_TABLE,
    wave_key,
)
from ..vms.order_targets import VmOrder
from ..vms.vm_planner import VmPlanner
from ..workers.worker_vms import VM_LIST_LAG_SECONDS
from .fenced_rows import FencedRows
from .owner_memory import MEMORY_STORE_SECONDS, build_memory, restore_memory
from .session import RETRY_SECONDS, OwnerSession
from .vm_order_row import COMMIT_ATTEMPTS, VmOrderRow

logger = logging.getLogger(__name__)

VM_LIST_SECONDS = 0.4
"""Time between reads of the platform's list of VMs, which is the first source to show
that a VM is down. Each read is charged."""

MIN_VM_LIST_PAUSE_SECONDS = 0.1
"""Shortest pause after a read of that list."""

PLAN_SECONDS = 0.25
"""Time between two rounds of decisions about VMs."""

MAX_SEND_DELAY_SECONDS = 1.2
"""Longest time from a round of decisions to the sending of its orders while a successor
may have claimed the ownership. It leaves the stored VMs alone for longer, so that an
order of an owner that was paused meanwhile cannot follow one of its successor."""

SEND_MARGIN_SECONDS = 0.5
"""How much sooner than the order gap all orders are sent. The row that names their VMs
keeps them for the gap after the decision."""

FORMER_WAVE_SECONDS = 6.0
"""A wave that is first seen within this time of the takeover may have been seen, and
its upkeeps ordered, by the former owner. The time covers a delayed read of the waves.
"""


class VmOrders:
    """Sender of orders for VMs, which also reports the progress of waves.

    Args:
        session: the ownership.
        vm_planner: decides about VMs.
        held_until: clock time in seconds until which VMs that the former owner has
            ordered lately get no orders.
    """

    def __init__(
        self, session: OwnerSession, vm_planner: VmPlanner, held_until: float
    ) -> None:
        self._session = session
        self._vm_planner = vm_planner
        self._held_until = held_until
        self._memory_stored_at = session.clock.now()
        self._rows = FencedRows(session)
        self._begun_lock = asyncio.Lock()
        self._order_row = VmOrderRow(
            self._rows, vm_planner.inventory, session.clock.now()
        )
        self._calls_under_way: set[VmOrder] = set()
        self._are_waves_added = False

    async def follow_vm_list(self) -> None:
        """Poll the platform's list of VMs until the ownership ends."""
        while True:
            sent_at = self._session.clock.now()
            vms = await self._session.ports.vms.list_vms()
            if isinstance(vms, Unavailable):
                log_event(logger, "vms not listed", reason=vms.reason, peer=vms.peer)
            else:
                if sent_at > self._session.loaded_at + VM_LIST_LAG_SECONDS:
                    self._session.dispatcher.update_vms(
                        vms, sent_at, self._session.clock.now()
                    )
                self._vm_planner.update_vms(vms, sent_at)
                self._session.wake.set()
            # A list that took long is old already when it arrives.
            seconds = self._session.clock.now() - sent_at
            await asyncio.sleep(
                max(MIN_VM_LIST_PAUSE_SECONDS, VM_LIST_SECONDS - seconds)
            )

    async def run(self) -> None:
        """Restore the stored state, then send orders until the ownership ends."""
        snapshot = await self._session.table.read_range(WAVES_TABLE)
        while isinstance(snapshot, Unavailable):
            await asyncio.sleep(RETRY_SECONDS)
            snapshot = await self._session.table.read_range(WAVES_TABLE)
        self._rows.note_read(snapshot.rows)
        value_by_key = {row.row_key.key: row.value for row in snapshot.rows}
        self._order_row.restore(value_by_key, self._held_until)
        own_vms = value_by_key.get(OWN_VMS_KEY.key)
        if own_vms is not None:
            self._vm_planner.mover.restore_own_vms(own_vms["n_by_pool"])
        memory = value_by_key.get(MEMORY_KEY.key)
        if memory is not None:
            restore_memory(
                memory,
                self._session.dispatcher,
                self._vm_planner.mover.turns,
                self._session.clock.now(),
            )
        self._session.spawn(self._report_loop())
        self._session.spawn(self._unblock_loop())
        while True:
            now = self._session.clock.now()
            self._add_waves(value_by_key, now)
            if not self._session.lease.may_be_replaced(now):
                if own_vms is None and self._vm_planner.mover.own_vms_by_pool:
                    own_vms = await self._store_own_vms()
                await self._send_vm_orders(self._vm_planner.plan(now), now)
                for run in self._vm_planner.find_evacuations(now):
                    run.is_evacuated = True
                    self._session.wake.set()
                self._begin_zone_moves()
            await asyncio.sleep(PLAN_SECONDS)

    def _begin_zone_moves(self) -> None:
        """Let lasting tasks leave evacuated zones, apart from the drains of VMs."""
        # The commit before the orders for VMs may have taken seconds.
        now = self._session.clock.now()
        if self._session.lease.may_be_replaced(now):
            return
        for run in self._vm_planner.find_zone_moves(now):
            run.is_evacuated = True
            worker = self._session.dispatcher.worker_by_id[run.worker_id]
            log_event(
                logger,
                "lasting task leaves zone",
                request_id=run.record.job.job_id,
                task=run.key.task,
                run=run.key.run,
                worker=run.worker_id,
                zone=worker.listed.zone,
            )
            self._session.ports.metrics.increment(
                "evacuation_moves",
                "Runs of lasting tasks that were stopped to leave an evacuated zone.",
                {},
            )
            self._session.wake.set()

    async def _report_loop(self) -> None:
        """Report waves and store the memory, however long the store takes."""
        while True:
            if not self._session.lease.may_be_replaced(self._session.clock.now()):
                await self._store_new_waves()
                await self._report_waves()
                await self._store_memory(self._session.clock.now())
            await asyncio.sleep(PLAN_SECONDS)

    async def _unblock_loop(self) -> None:
        """Let VMs get tasks while the orders that they wait for can't be planned."""
        while True:
            self._vm_planner.unblock_idle(self._session.clock.now())
            await asyncio.sleep(PLAN_SECONDS)

    def _add_waves(self, value_by_key: Mapping[str, Any], now: float) -> None:
        """Add the waves that are new to this owner, with their stored progress.

        Those that were there before the first call, however late it comes, may have
        been seen by the former owner.
        """
        is_early = now <= self._session.loaded_at + FORMER_WAVE_SECONDS
        is_inherited = is_early or not self._are_waves_added
        self._are_waves_added = True
        for wave in self._session.ports.desk.list_waves():
            if wave.wave in self._vm_planner.wave_by_number:
                continue
            stored = value_by_key.get(str(wave.wave), {})
            age_seconds = _find_age(stored, wave.deadline_seconds)
            self._vm_planner.add_wave(wave, now, is_inherited, age_seconds)
            state = self._vm_planner.wave_by_number[wave.wave]
            state.is_stored = "seen_unix" in stored
            self._vm_planner.restore_started_vms(wave.wave, stored.get("begun", []))

    async def _send_vm_orders(self, orders: list[VmOrder], now: float) -> None:
        """Store the VMs to be ordered, then send the orders.

        The stored row makes a successor wait before it orders these VMs. For an owner
        that was replaced without knowing it, the write fails and nothing is sent.
        """
        if not orders:
            await self._order_row.prune(now)
            return
        if await self._order_row.store(now):
            for order in orders:
                self._session.spawn(self._send_vm_order(order, now))
            return
        for order in orders:
            self._vm_planner.on_no_effect(order)

    async def _send_vm_order(self, order: VmOrder, planned_at: float) -> None:
        """Send an order that was decided at clock time ``planned_at``, in seconds.

        It is not sent if a successor may order the VM by now, and not repeated while a
        call with it waits for its answer. On a slow platform, repetitions would take
        the connections of all other calls.
        """
        if order in self._calls_under_way:
            self._vm_planner.on_no_effect(order)
            return
        self._calls_under_way.add(order)
        try:
            await self._call_with_order(order, planned_at)
        finally:
            self._calls_under_way.discard(order)

    def _may_send(self, planned_at: float, now: float) -> bool:
        """Return whether no successor can order the VMs that were stored with orders.

        The write of these VMs may take longer than `MAX_SEND_DELAY_SECONDS`.
        """
        age_seconds = now - planned_at
        if age_seconds <= MAX_SEND_DELAY_SECONDS:
            return True
        order_gap = self._vm_planner.inventory.bounds.order_gap
        is_in_doubt = self._session.lease.may_be_replaced(now)
        return age_seconds <= order_gap - SEND_MARGIN_SECONDS and not is_in_doubt

    def _has_new_runs(self, order: VmOrder, planned_at: float) -> bool:
        """Return whether tasks have started on the VM since the order was decided.

        The decision did not count them among those that the order ends.
        """
        worker = self._vm_planner.inventory.worker_on(order.vm_id)
        runs = worker.run_by_key.values() if worker else ()
        return any(run.asked_at > planned_at for run in runs)

    async def _call_with_order(self, order: VmOrder, planned_at: float) -> None:
        now = self._session.clock.now()
        if (
            not self._may_send(planned_at, now)
            or self._has_new_runs(order, planned_at)
            or not self._vm_planner.may_still_end(order)
        ):
            log_event(
                logger,
                "vm order not sent",
                vm=order.vm_id,
                age_seconds=round(now - planned_at, 2),
            )
            self._vm_planner.on_no_effect(order)
            return
        self._vm_planner.inventory.note_sending(order, now)
        token = self._session.lease.token
        if order.wave:
            outcome = await self._session.ports.vms.maintain(
                order.vm_id, order.wave, token
            )
        else:
            outcome = await self._session.ports.vms.move(order.vm_id, order.pool, token)
        log_event(
            logger,
            "vm order sent",
            vm=order.vm_id,
            wave=order.wave,
            pool=order.pool,
            token=token,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            detail=getattr(outcome, "detail", ""),
            may_be_done=getattr(outcome, "may_have_committed", ""),
        )
        if isinstance(outcome, Done):
            self._vm_planner.on_done(order, self._session.clock.now())
            self._session.wake.set()
            if order.wave:
                await self._store_begun(order.wave)
        elif isinstance(outcome, Rejected):
            self._session.check_fenced(outcome)
            if outcome.reason is Rejection.NOT_UP:
                # The VM may be down for another sending, whose answer was lost.
                self._vm_planner.on_no_effect(order)
            else:
                self._vm_planner.on_rejected(order)
        elif not outcome.may_have_committed:
            self._vm_planner.on_refused(order, self._session.clock.now())

    async def _store_memory(self, now: float) -> None:
        if now - self._memory_stored_at < MEMORY_STORE_SECONDS:
            return
        self._memory_stored_at = now
        turns = self._vm_planner.mover.turns
        value = build_memory(self._session.dispatcher, turns, now)
        outcome = await self._rows.commit([Write(MEMORY_KEY, value)])
        if not isinstance(outcome, Committed):
            log_event(logger, "owner memory not stored", reason=type(outcome).__name__)

    async def _store_own_vms(self) -> dict[str, Any] | None:
        value = {"n_by_pool": dict(self._vm_planner.mover.own_vms_by_pool)}
        writes = [Write(OWN_VMS_KEY, value)]
        outcome = await self._rows.commit(writes, n_attempts=COMMIT_ATTEMPTS)
        return value if isinstance(outcome, Committed) else None

    async def _store_begun(self, wave: int) -> None:
        async with self._begun_lock:
            state = self._vm_planner.wave_by_number[wave]
            age_seconds = self._session.clock.now() - state.seen_at
            value = {
                "begun": sorted(state.begun),
                "seen_unix": time.time() - age_seconds,
                "age_seconds": age_seconds,
            }
            write = Write(wave_key(wave), value)
            outcome = await self._rows.commit([write], n_attempts=COMMIT_ATTEMPTS)
        if isinstance(outcome, Committed):
            state.is_stored = True
        else:
            # A successor would order the upkeep again, which is harmless: the platform
            # confirms such an order without a second upkeep.
            log_event(logger, "wave progress not stored", wave=wave)

    async def _store_new_waves(self) -> None:
        """Store when the waves were first seen, so that a successor goes on by it."""
        for number, state in list(self._vm_planner.wave_by_number.items()):
            if not state.is_stored and not self._vm_planner.is_complete(state):
                await self._store_begun(number)

    async def _report_waves(self) -> None:
        for state in list(self._vm_planner.wave_by_number.values()):
            is_complete = self._vm_planner.is_complete(state)
            if state.is_reported or (state.is_announced and not is_complete):
                continue
            if self._session.lease.may_be_replaced(self._session.clock.now()):
                return
            # A report without an answer may still be stored, so another one follows it
            # even if that says what was said before.
            state.is_announced = False
            if await self._session.ports.desk.report(state.wave.wave, is_complete):
                state.is_announced = True
                state.is_reported = is_complete
                log_event(
                    logger,
                    "wave reported",
                    wave=state.wave.wave,
                    completed=is_complete,
                    n_begun=len(state.begun),
                )


def _find_age(stored: Mapping[str, Any], deadline_seconds: float) -> float:
    """Return the age of a wave by the row that a former owner has stored.

    The age at the time of the write is a lower bound. The time since then is known by
    the clocks of two VMs only, which may be apart, so it is cut off at the deadline.
    """
    if "seen_unix" not in stored:
        return 0.0
    age_seconds = min(time.time() - stored["seen_unix"], deadline_seconds)
    return max(age_seconds, stored.get("age_seconds", 0.0), 0.0)
