"""Waves of upkeep: which VMs have begun it, and which go down or are drained next."""

import logging
from collections.abc import Iterator, Sequence, Set

from ...policy.upkeep import (
    UpkeepCandidate,
    UpkeepChoice,
    UpkeepCost,
    WaveView,
    choose_upkeep,
)
from ...ports.fleet_vms import FleetVm, UpkeepWave
from ...runtime.logs import log_event
from ..workers.run import Run
from ..workers.worker_state import WorkerRecord
from ..workers.worker_vms import VM_LIST_LAG_SECONDS
from .disruption_budget import DisruptionBudget
from .order_targets import VmOrder
from .pool_mover import PoolMover
from .starved_pools import StarvedPools
from .vm_inventory import REFUSAL_PAUSE_SECONDS, VmInventory
from .wave_delays import WaveDelays

logger = logging.getLogger(__name__)


class WaveState:
    """A wave of upkeep and its progress.

    Attributes:
        wave: request of the operator.
        seen_at: clock time in seconds at which an owner has first seen it.
        begun: ids of the VMs that have begun their upkeep.
        is_stored: whether a successor can learn when it was first seen.
        is_announced: whether it was reported as running.
        is_reported: whether its completion was reported.
    """

    def __init__(self, wave: UpkeepWave, seen_at: float) -> None:
        self.wave = wave
        self.seen_at = seen_at
        self.begun: set[str] = set()
        self.is_reported = False
        self.is_stored = False
        self.is_announced = False


class UpkeepWaves:
    """Waves that the operator has requested, and the upkeeps that are due for them.

    Args:
        inventory: VMs and the orders for them.
        mover: knows which pools are at the peak of their demand.
        budget: knows which lasting tasks may be ended.
        starved_pools: pools of which no VM may be kept free.

    Attributes:
        wave_by_number: the waves.
    """

    def __init__(
        self,
        inventory: VmInventory,
        mover: PoolMover,
        budget: DisruptionBudget,
        starved_pools: StarvedPools,
    ) -> None:
        self._inventory = inventory
        self._mover = mover
        self._budget = budget
        self._starved_pools = starved_pools
        self._paused_until = float("-inf")
        self._delays = WaveDelays()
        self.wave_by_number: dict[int, WaveState] = {}

    def add(
        self,
        wave: UpkeepWave,
        now: float,
        is_inherited: bool = False,
        age_seconds: float = 0.0,
    ) -> None:
        """Add a wave; do nothing if it is known already.

        Args:
            wave: request of the operator.
            now: clock time in seconds.
            is_inherited: whether a former owner may have ordered some of its upkeeps.
            age_seconds: time since a former owner has first seen it; 0 if none has.
        """
        if wave.wave in self.wave_by_number:
            return
        if is_inherited:
            self._inventory.targets.note_inherited_wave(wave.wave)
        self.wave_by_number[wave.wave] = WaveState(wave, now - age_seconds)
        log_event(
            logger,
            "wave added",
            wave=wave.wave,
            n_vms=len(wave.vm_ids),
            max_down=wave.max_down,
            deadline_seconds=wave.deadline_seconds,
            inherited=is_inherited,
            age_seconds=round(age_seconds, 1),
        )

    def restore_started_vms(self, number: int, vm_ids: Sequence[str]) -> None:
        """Add the VMs of a wave whose upkeep an earlier owner has stored as begun."""
        state = self.wave_by_number.get(number)
        if state is not None:
            state.begun.update(vm_ids)

    def note_begun(self, order: VmOrder) -> None:
        """Note that the platform has carried out an order, if it is of a known wave."""
        if order.wave and order.wave in self.wave_by_number:
            self.wave_by_number[order.wave].begun.add(order.vm_id)
            self._inventory.reserved.discard(order.vm_id)

    def pause(self, now: float) -> None:
        """Order no upkeep until the platform may accept orders again."""
        self._paused_until = now + REFUSAL_PAUSE_SECONDS

    def is_complete(self, state: WaveState) -> bool:
        """Return whether all VMs of the wave that still exist have begun their upkeep.

        Nothing is complete before the first VM list.
        """
        return bool(self._inventory.vm_by_id) and all(
            vm_id in state.begun or vm_id not in self._inventory.vm_by_id
            for vm_id in state.wave.vm_ids
        )

    def find_due_vms(self) -> set[str]:
        """Return the ids of the VMs whose upkeep has not begun."""
        return {
            vm_id
            for state in self.wave_by_number.values()
            for vm_id in state.wave.vm_ids
            if vm_id not in state.begun
        }

    def plan(self, now: float, short_pools: Set[str]) -> Iterator[VmOrder]:
        """Yield the upkeeps to order now, and drain VMs for the next ones.

        Args:
            now: clock time in seconds.
            short_pools: pools of which a VM was just given back to a task that waits.
        """
        if now < self._paused_until:
            return
        for state in self.wave_by_number.values():
            if not self.is_complete(state):
                yield from self._plan_wave(state, now, short_pools)

    def _plan_wave(
        self, state: WaveState, now: float, short_pools: Set[str]
    ) -> Iterator[VmOrder]:
        inventory, wave = self._inventory, state.wave
        members = [
            inventory.vm_by_id[v] for v in wave.vm_ids if v in inventory.vm_by_id
        ]
        for vm in members:
            worker = inventory.worker_on(vm.vm_id)
            if worker is not None:
                worker.is_maintenance_due = vm.vm_id not in state.begun
        candidates = [
            self._make_candidate(vm, now, short_pools)
            for vm in members
            if vm.vm_id not in state.begun and inventory.is_up(vm)
        ]
        down = [vm.vm_id for vm in members if inventory.may_be_down(vm, wave.wave)]
        view = WaveView(
            n_vms=len(members),
            n_begun=len(state.begun),
            n_down=len(down),
            max_down=wave.max_down,
            age_seconds=now - state.seen_at,
            deadline_seconds=wave.deadline_seconds,
            candidates=candidates,
            n_begun_down=sum(vm_id in state.begun for vm_id in down),
            upkeep_seconds=inventory.bounds.upkeep + VM_LIST_LAG_SECONDS,
        )
        self._delays.note(wave.wave, view, now)
        yield from self._order_upkeep(choose_upkeep(view), wave.wave, now)

    def _order_upkeep(
        self, choice: UpkeepChoice, wave: int, now: float
    ) -> Iterator[VmOrder]:
        for vm_id in choice.release:
            log_event(logger, "vm upkeep put off", vm=vm_id, reason="budget-exhausted")
            self._inventory.release(vm_id)
        for vm_id in choice.drain:
            log_event(logger, "vm reserved for upkeep", vm=vm_id, wave=wave)
            self._inventory.reserve(vm_id)
        for vm_id in choice.maintain:
            # An earlier order of this round may have ended tasks of the same step.
            worker = self._inventory.worker_on(vm_id)
            if worker is not None and not self._budget.may_end_all(worker):
                continue
            # No task may start on the VM between this decision and the order.
            self._inventory.reserve(vm_id)
            order = VmOrder(vm_id, wave, "")
            self._inventory.note_sent(order, now)
            yield order

    def _make_candidate(
        self, vm: FleetVm, now: float, short_pools: Set[str]
    ) -> UpkeepCandidate:
        worker = self._inventory.worker_on(vm.vm_id)
        runs = list(worker.run_by_key.values()) if worker else []
        short = [run for run in runs if not run.task.step.is_lasting]
        return UpkeepCandidate(
            vm_id=vm.vm_id,
            pool=vm.pool,
            cost=self._upkeep_cost(vm, worker, runs, now),
            busy_cores=sum(run.task.step.need.cores for run in short),
            is_reserved=vm.vm_id in self._inventory.reserved,
            may_end_lasting=worker is not None and self._budget.may_end_all(worker),
            is_pool_busy=self._mover.is_busy(vm.pool),
            is_pool_short=vm.pool in short_pools
            or self._starved_pools.is_relieved(vm.pool, now),
            is_budget_exhausted=worker is not None
            and self._budget.is_exhausted(worker),
            # The labels of a VM are its kind and its rack.
            rack=vm.labels[1] if len(vm.labels) > 1 else "",
        )

    def _upkeep_cost(
        self, vm: FleetVm, worker: WorkerRecord | None, runs: list[Run], now: float
    ) -> UpkeepCost:
        if self._inventory.is_off(vm):
            return UpkeepCost.OFF
        # The runs of a worker that a new owner has not reached yet are unknown.
        if worker is None or not worker.is_in_contact(now):
            return UpkeepCost.UNKNOWN_WORK
        if not runs:
            return UpkeepCost.IDLE
        lasting = [run for run in runs if run.task.step.is_lasting]
        if not lasting:
            return UpkeepCost.SHORT_WORK
        if any(run.task.step.max_away < 1 for run in lasting):
            return UpkeepCost.FORBIDDEN
        return UpkeepCost.LASTING_WORK
