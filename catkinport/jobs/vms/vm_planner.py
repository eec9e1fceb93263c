"""Plans the orders for VMs: upkeep in waves, and moves between pools.

An upkeep takes a VM down for planned maintenance; a wave is the operator's request to
do so for many VMs. The state is rebuilt from the platform's list of VMs. The effect of
an order shows there only after a delay; until then the order counts as carried out.

Lasting tasks run until their job is canceled. For each step, only a limited number of
them may be unavailable at once while VMs are taken down.
"""

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
from ..dispatch.dispatcher import Dispatcher
from ..workers.run import Run
from ..workers.worker_state import WorkerRecord
from .disruption_budget import DisruptionBudget
from .order_targets import VmOrder
from .pool_mover import PoolMover
from .starved_pools import StarvedPools
from .unanswered_orders import UnansweredOrders
from .vm_inventory import REFUSAL_PAUSE_SECONDS, VmBounds, VmInventory

logger = logging.getLogger(__name__)

MAX_LIST_AGE_SECONDS = 3.0
"""No VM gets an order while the latest VM list is older than this."""


MAX_PLAN_GAP_SECONDS = 1.5
"""VMs that wait for an order get tasks if none was planned for this long."""


class WaveState:
    """A wave of upkeep and its progress.

    Attributes:
        wave: request of the operator.
        seen_at: clock time in seconds at which it was first seen.
        begun: ids of the VMs that have begun their upkeep.
        is_announced: whether it was reported as running.
        is_reported: whether its completion was reported.
    """

    def __init__(self, wave: UpkeepWave, seen_at: float) -> None:
        self.wave = wave
        self.seen_at = seen_at
        self.begun: set[str] = set()
        self.is_reported = False
        self.is_announced = False


class VmPlanner:
    """Decides which VMs are taken down for upkeep or moved to another pool.

    Args:
        dispatcher: jobs and workers.
        bounds: durations that the platform gives for its orders.

    Attributes:
        inventory: VMs and the orders for them.
        mover: decides on moves between pools.
        wave_by_number: waves that the operator has requested.
    """

    def __init__(self, dispatcher: Dispatcher, bounds: VmBounds) -> None:
        self._dispatcher = dispatcher
        self.inventory = VmInventory(dispatcher, bounds)
        self.mover = PoolMover(dispatcher, self.inventory)
        self._disruption_budget = DisruptionBudget(dispatcher, self.inventory)
        self._starved_pools = StarvedPools(dispatcher)
        self._unanswered_orders = UnansweredOrders(
            self.inventory, self._disruption_budget, self._starved_pools
        )
        self.wave_by_number: dict[int, WaveState] = {}
        self._short_pools: set[str] = set()
        self._waves_paused_until = float("-inf")
        self._planned_at = float("-inf")

    def update_vms(self, vms: Sequence[FleetVm], sent_at: float) -> None:
        """Update the VMs from the platform's list.

        Args:
            vms: the list.
            sent_at: clock time in seconds at which it was requested.
        """
        self.inventory.update_vms(vms, sent_at)
        self.mover.update_vms(vms)

    def add_wave(
        self, wave: UpkeepWave, now: float, is_inherited: bool = False
    ) -> None:
        """Add a wave; do nothing if it is known already.

        Args:
            wave: request of the operator.
            now: clock time in seconds.
            is_inherited: whether a former owner may have ordered some of its upkeeps.
        """
        if wave.wave in self.wave_by_number:
            return
        if is_inherited:
            self.inventory.targets.note_inherited_wave(wave.wave)
        self.wave_by_number[wave.wave] = WaveState(wave, now)
        log_event(
            logger,
            "wave added",
            wave=wave.wave,
            n_vms=len(wave.vm_ids),
            max_down=wave.max_down,
            deadline_seconds=wave.deadline_seconds,
            inherited=is_inherited,
        )

    def restore_started_vms(self, number: int, vm_ids: Sequence[str]) -> None:
        """Add the VMs of a wave whose upkeep an earlier owner has stored as begun."""
        state = self.wave_by_number.get(number)
        if state is not None:
            state.begun.update(vm_ids)

    def plan(self, now: float) -> list[VmOrder]:
        """Return the orders to send now, and note them as sent.

        None are sent by an old list. It shows that the platform doesn't answer, so VMs
        get tasks meanwhile.
        """
        if now - self.inventory.listed_at > MAX_LIST_AGE_SECONDS:
            self._unblock_vms("list-old", now)
            return []
        self._planned_at = now
        self.inventory.end_holds(now)
        self.inventory.note_idle(now)
        self.mover.update_turns(now)
        self._disruption_budget.update(now)
        self._relieve_starved_pools(now)
        orders = self._unanswered_orders.find_due(now)
        if now >= self._waves_paused_until:
            for state in self.wave_by_number.values():
                orders.extend(self._plan_wave(state, now))
        wave_vms = {
            vm_id
            for state in self.wave_by_number.values()
            for vm_id in state.wave.vm_ids
            if vm_id not in state.begun
        }
        leaving = self._disruption_budget.find_evacuations(self.inventory.reserved)
        kept_pools = {
            pool
            for pool in self._dispatcher.configuration.pool_by_name
            if self._starved_pools.is_relieved(pool, now)
        }
        orders.extend(self.mover.plan(wave_vms, now, leaving, kept_pools))
        self._release_vms(self.mover.released_vms)
        for order in orders:
            self.inventory.note_sent(order, now)
        return orders

    def unblock_idle(self, now: float) -> None:
        """Let VMs get tasks if no orders have been planned for a time.

        The owner plans none while it may have been replaced or a write is under way.
        """
        if now - self._planned_at > MAX_PLAN_GAP_SECONDS:
            self._unblock_vms("no-plan", now)

    def on_done(self, order: VmOrder, now: float) -> None:
        """Note that the platform has carried the order out, now or earlier."""
        ended = self.inventory.note_done(order, now)
        if ended is not None:
            self._dispatcher.retire_worker(ended, now)
        worker = self.inventory.worker_on(order.vm_id)
        if worker is not None:
            worker.is_maintenance_due = False
            log_event(
                logger,
                "worker kept after vm order",
                vm=order.vm_id,
                worker=worker.worker_id,
                n_runs=len(worker.run_by_key),
            )
        if order.wave and order.wave in self.wave_by_number:
            self.wave_by_number[order.wave].begun.add(order.vm_id)
            self.inventory.reserved.discard(order.vm_id)

    def on_rejected(self, order: VmOrder) -> None:
        """Note that the platform has rejected the order and done nothing."""
        self.inventory.note_rejected(order)
        self.inventory.release(order.vm_id)

    def on_no_effect(self, order: VmOrder) -> None:
        """Note that a sending of the order was given up, or had no effect.

        The VM stays under order if another sending may have had one.
        """
        if self.inventory.note_no_effect(order):
            self.inventory.release(order.vm_id)

    def on_refused(self, order: VmOrder, now: float) -> None:
        """Note that the platform has refused the order for now and done nothing.

        The VMs that were kept free for upkeep get tasks until the platform may accept
        orders again: how long it refuses them is not known.
        """
        self.inventory.note_refused(order, now)
        self.on_no_effect(order)
        if not order.wave:
            return
        self._waves_paused_until = now + REFUSAL_PAUSE_SECONDS
        self._release_drained_vms("order-refused")

    def is_complete(self, state: WaveState) -> bool:
        """Return whether all VMs of the wave that still exist have begun their upkeep.

        Nothing is complete before the first VM list.
        """
        return bool(self.inventory.vm_by_id) and all(
            vm_id in state.begun or vm_id not in self.inventory.vm_by_id
            for vm_id in state.wave.vm_ids
        )

    def find_evacuations(self, now: float) -> list[Run]:
        """Return the lasting runs to stop so that reserved VMs can go down.

        A run goes on until there is room for its task on another VM.
        """
        runs = self._disruption_budget.find_evacuations(self.inventory.reserved)
        return self.mover.lasting_room.find_placeable(runs, now)

    def _unblock_vms(self, reason: str, now: float) -> None:
        """Let all VMs get tasks that need not be blocked for an order under way."""
        self._release_drained_vms(reason)
        self.mover.uncordon_all()
        self._unanswered_orders.unblock_workers(now)

    def _release_drained_vms(self, reason: str) -> None:
        """Let the VMs that wait for an upkeep get tasks, as none can be ordered now."""
        for vm_id in self.inventory.release_drained():
            log_event(logger, "vm upkeep put off", vm=vm_id, reason=reason)

    def _relieve_starved_pools(self, now: float) -> None:
        """Put off the upkeep of VMs beside whose room jobs have waited for too long."""
        starved = self._starved_pools.update(now)
        for vm_id in sorted(self.inventory.reserved):
            vm = self.inventory.vm_by_id.get(vm_id)
            if vm is None or vm.pool not in starved:
                continue
            if not self.inventory.is_under_order(vm_id):
                log_event(logger, "vm upkeep put off", vm=vm_id, reason="starved-jobs")
                self.inventory.release(vm_id)

    def _release_vms(self, vm_ids: Set[str]) -> None:
        """Put off the upkeep of VMs that have the only room for a waiting lasting task.

        While such a task is unavailable, upkeep that would make more tasks of its step
        unavailable can't begin.
        """
        self._short_pools = {self.inventory.vm_by_id[vm_id].pool for vm_id in vm_ids}
        for vm_id in sorted(vm_ids):
            log_event(logger, "vm upkeep put off", vm=vm_id, reason="lasting-task")
            self.inventory.release(vm_id)

    def _plan_wave(self, state: WaveState, now: float) -> Iterator[VmOrder]:
        if self.is_complete(state):
            return
        inventory, wave = self.inventory, state.wave
        members = [
            inventory.vm_by_id[v] for v in wave.vm_ids if v in inventory.vm_by_id
        ]
        for vm in members:
            worker = inventory.worker_on(vm.vm_id)
            if worker is not None:
                worker.is_maintenance_due = vm.vm_id not in state.begun
        candidates = [
            self._make_candidate(vm, now)
            for vm in members
            if vm.vm_id not in state.begun and inventory.is_up(vm)
        ]
        view = WaveView(
            n_vms=len(members),
            n_begun=len(state.begun),
            n_down=sum(inventory.may_be_down(vm, wave.wave) for vm in members),
            max_down=wave.max_down,
            age_seconds=now - state.seen_at,
            deadline_seconds=wave.deadline_seconds,
            candidates=candidates,
        )
        yield from self._order_upkeep(choose_upkeep(view), wave.wave, now)

    def _order_upkeep(
        self, choice: UpkeepChoice, wave: int, now: float
    ) -> Iterator[VmOrder]:
        for vm_id in choice.release:
            log_event(logger, "vm upkeep put off", vm=vm_id, reason="budget-exhausted")
            self.inventory.release(vm_id)
        for vm_id in choice.drain:
            log_event(logger, "vm reserved for upkeep", vm=vm_id, wave=wave)
            self.inventory.reserve(vm_id)
        for vm_id in choice.maintain:
            # An earlier order of this round may have ended tasks of the same step.
            worker = self.inventory.worker_on(vm_id)
            if worker is not None and not self._disruption_budget.may_end_all(worker):
                continue
            # No task may start on the VM between this decision and the order.
            self.inventory.reserve(vm_id)
            order = VmOrder(vm_id, wave, "")
            self.inventory.note_sent(order, now)
            yield order

    def _make_candidate(self, vm: FleetVm, now: float) -> UpkeepCandidate:
        worker = self.inventory.worker_on(vm.vm_id)
        runs = list(worker.run_by_key.values()) if worker else []
        short = [run for run in runs if not run.task.step.is_lasting]
        return UpkeepCandidate(
            vm_id=vm.vm_id,
            pool=vm.pool,
            cost=self._upkeep_cost(vm, worker, runs, now),
            busy_cores=sum(run.task.step.need.cores for run in short),
            is_reserved=vm.vm_id in self.inventory.reserved,
            may_end_lasting=worker is not None
            and self._disruption_budget.may_end_all(worker),
            is_pool_busy=self.mover.is_busy(vm.pool),
            is_pool_short=vm.pool in self._short_pools
            or self._starved_pools.is_relieved(vm.pool, now),
            is_budget_exhausted=worker is not None
            and self._disruption_budget.is_exhausted(worker, now),
        )

    def _upkeep_cost(
        self, vm: FleetVm, worker: WorkerRecord | None, runs: list[Run], now: float
    ) -> UpkeepCost:
        if self.inventory.is_off(vm):
            return UpkeepCost.OFF
        # The runs of a worker that a new owner has not reached yet are unknown.
        if worker is None or not worker.is_in_contact(now):
            return UpkeepCost.FORBIDDEN
        if not runs:
            return UpkeepCost.IDLE
        lasting = [run for run in runs if run.task.step.is_lasting]
        if not lasting:
            return UpkeepCost.SHORT_WORK
        if any(run.task.step.max_away < 1 for run in lasting):
            return UpkeepCost.FORBIDDEN
        return UpkeepCost.LASTING_WORK
