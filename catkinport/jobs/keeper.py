"""Keeps the VMs: upkeep in waves, and moves between pools.

The state is rebuilt from the platform's list of VMs, which an order changes only later;
until then the order itself is what counts.
"""

import logging
from collections.abc import Iterator, Sequence

from ..policy.upkeep import (
    UpkeepCandidate,
    UpkeepChoice,
    UpkeepCost,
    WaveView,
    choose_upkeep,
)
from ..ports.fleet_vms import FleetVm, UpkeepWave
from ..runtime.logs import log_event
from .dispatcher import Dispatcher
from .lasting_guard import LastingGuard
from .pool_mover import PoolMover
from .vm_book import VmBook, VmBounds, VmOrder
from .worker_state import Run, WorkerBelief

logger = logging.getLogger(__name__)

LONG_LIST_GAP_SECONDS = 3.0
"""Without a list for so long no VM is ordered about."""


class WaveState:
    """A wave and what has been done for it.

    Attributes:
        wave: what the operator asked for.
        seen_at: clock time in seconds at which it was first seen.
        begun: VMs that have begun their upkeep.
        is_announced: whether it was reported as running.
        is_reported: whether its completion was reported.
    """

    def __init__(self, wave: UpkeepWave, seen_at: float) -> None:
        self.wave = wave
        self.seen_at = seen_at
        self.begun: set[str] = set()
        self.is_reported = False
        self.is_announced = False


class Keeper:
    """Decides about VMs.

    Args:
        dispatcher: jobs and workers.
        bounds: times that the platform names.

    Attributes:
        book: VMs and the orders for them.
        mover: moves between pools.
        wave_by_number: waves that were asked for.
    """

    def __init__(self, dispatcher: Dispatcher, bounds: VmBounds) -> None:
        self._dispatcher = dispatcher
        self.book = VmBook(dispatcher, bounds)
        self.mover = PoolMover(dispatcher, self.book)
        self._guard = LastingGuard(dispatcher, self.book)
        self.wave_by_number: dict[int, WaveState] = {}

    def take_vms(self, vms: Sequence[FleetVm], sent_at: float) -> None:
        """Take in the platform's list."""
        self.book.take_vms(vms, sent_at)
        self.mover.take_vms(vms)

    def take_wave(self, wave: UpkeepWave, now: float) -> None:
        """Take in a wave; a known one is left as it is."""
        if wave.wave in self.wave_by_number:
            return
        self.wave_by_number[wave.wave] = WaveState(wave, now)
        log_event(
            logger,
            "wave taken in",
            wave=wave.wave,
            n_vms=len(wave.vm_ids),
            max_down=wave.max_down,
            deadline_seconds=wave.deadline_seconds,
        )

    def restore_begun(self, number: int, vm_ids: Sequence[str]) -> None:
        """Take over which VMs of a wave have begun their upkeep."""
        state = self.wave_by_number.get(number)
        if state is not None:
            state.begun.update(vm_ids)

    def plan(self, now: float) -> list[VmOrder]:
        """Return the orders to send now; they count as sent."""
        if now - self.book.listed_at > LONG_LIST_GAP_SECONDS:
            return []
        self.book.end_holds(now)
        self.book.note_idle(now)
        self.mover.update_turns(now)
        orders = list(self.book.repeat_orders(now))
        for state in self.wave_by_number.values():
            orders.extend(self._plan_wave(state, now))
        wave_vms = {
            vm_id
            for state in self.wave_by_number.values()
            for vm_id in state.wave.vm_ids
            if vm_id not in state.begun
        }
        orders.extend(self.mover.plan(wave_vms, now))
        for order in orders:
            self.book.note_sent(order, now)
        return orders

    def on_done(self, order: VmOrder, now: float) -> None:
        """Note that the platform has carried the order out."""
        is_pending = self.book.pending_order(order.vm_id) is not None
        self.book.note_done(order, now)
        vm = self.book.vm_by_id.get(order.vm_id)
        if is_pending and vm is not None and vm.worker_id:
            self._dispatcher.retire_worker(vm.worker_id, now)
        if order.wave and order.wave in self.wave_by_number:
            self.wave_by_number[order.wave].begun.add(order.vm_id)
            self.book.reserved.discard(order.vm_id)

    def on_rejected(self, order: VmOrder) -> None:
        """Note that the platform has done nothing."""
        self.book.note_rejected(order)
        self.book.release(order.vm_id)

    def on_not_sent(self, order: VmOrder) -> None:
        """Note that an order could not be stored and was not sent therefore."""
        if self.book.note_not_sent(order):
            self.book.release(order.vm_id)

    def is_complete(self, state: WaveState) -> bool:
        """Return whether every VM of the wave that is left has begun its upkeep."""
        return bool(self.book.vm_by_id) and all(
            vm_id in state.begun or vm_id not in self.book.vm_by_id
            for vm_id in state.wave.vm_ids
        )

    def find_evacuations(self) -> list[Run]:
        """Return lasting runs to stop, so that their drained VM may go down."""
        return self._guard.find_evacuations(self.book.reserved)

    def _plan_wave(self, state: WaveState, now: float) -> Iterator[VmOrder]:
        if self.is_complete(state):
            return
        book, wave = self.book, state.wave
        members = [book.vm_by_id[v] for v in wave.vm_ids if v in book.vm_by_id]
        for vm in members:
            belief = book.worker_on(vm.vm_id)
            if belief is not None:
                belief.is_due = vm.vm_id not in state.begun
        candidates = [
            self._candidate(vm, now)
            for vm in members
            if vm.vm_id not in state.begun and book.is_up(vm)
        ]
        view = WaveView(
            n_vms=len(members),
            n_begun=len(state.begun),
            n_down=sum(book.may_be_down(vm, wave.wave) for vm in members),
            max_down=wave.max_down,
            age_seconds=now - state.seen_at,
            deadline_seconds=wave.deadline_seconds,
            candidates=candidates,
        )
        yield from self._carry_out(choose_upkeep(view), wave.wave, now)

    def _carry_out(
        self, choice: UpkeepChoice, wave: int, now: float
    ) -> Iterator[VmOrder]:
        for vm_id in choice.drain:
            log_event(logger, "vm drains for upkeep", vm=vm_id, wave=wave)
            self.book.reserve(vm_id)
        for vm_id in choice.maintain:
            # An order of this round may have taken tasks of the same step away.
            belief = self.book.worker_on(vm_id)
            if belief is not None and not self._guard.may_end_all(belief):
                continue
            # Nothing may start on it between this decision and the order.
            self.book.reserve(vm_id)
            order = VmOrder(vm_id, wave, "")
            self.book.note_sent(order, now)
            yield order

    def _candidate(self, vm: FleetVm, now: float) -> UpkeepCandidate:
        belief = self.book.worker_on(vm.vm_id)
        runs = list(belief.run_by_key.values()) if belief else []
        short = [run for run in runs if not run.task.step.is_lasting]
        return UpkeepCandidate(
            vm_id=vm.vm_id,
            pool=vm.pool,
            cost=self._upkeep_cost(vm, belief, runs, now),
            busy_cores=sum(run.task.step.need.cores for run in short),
            is_reserved=vm.vm_id in self.book.reserved,
            may_end_lasting=belief is not None and self._guard.may_end_all(belief),
            is_pool_busy=self.mover.is_busy(vm.pool),
        )

    def _upkeep_cost(
        self, vm: FleetVm, belief: WorkerBelief | None, runs: list[Run], now: float
    ) -> UpkeepCost:
        if self.book.is_off(vm):
            return UpkeepCost.OFF
        # What runs on a worker that a new owner has not reached is not known.
        if belief is None or not belief.is_in_contact(now):
            return UpkeepCost.FORBIDDEN
        if not runs:
            return UpkeepCost.IDLE
        lasting = [run for run in runs if run.task.step.is_lasting]
        if not lasting:
            return UpkeepCost.SHORT_WORK
        if any(run.task.step.max_away < 1 for run in lasting):
            return UpkeepCost.FORBIDDEN
        return UpkeepCost.LASTING_WORK
