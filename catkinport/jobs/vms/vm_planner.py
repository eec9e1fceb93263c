"""Plans the orders for VMs: upkeep in waves, and moves between pools.

An upkeep takes a VM down for planned maintenance; a wave is the operator's request to
do so for many VMs. The state is rebuilt from the platform's list of VMs. The effect of
an order shows there only after a delay; until then the order counts as carried out.

Lasting tasks run until their job is canceled. For each step, only a limited number of
them may be unavailable at once while VMs are taken down.
"""

import logging
from collections.abc import Mapping, Sequence, Set

from ...policy.worker_choice import TaskNeed
from ...ports.fleet_vms import FleetVm, UpkeepWave
from ...runtime.logs import log_event
from ..dispatch.dispatcher import Dispatcher
from ..workers.run import Run
from .disruption_budget import DisruptionBudget
from .order_targets import VmOrder
from .pool_mover import PoolMover
from .starved_pools import StarvedPools
from .unanswered_orders import UnansweredOrders
from .upkeep_waves import UpkeepWaves, WaveState
from .vm_inventory import VmBounds, VmInventory
from .zone_moves import ZoneMoves

logger = logging.getLogger(__name__)

MAX_LIST_AGE_SECONDS = 3.0
"""No VM gets an order while the latest VM list is older than this."""


MAX_PLAN_GAP_SECONDS = 1.5
"""VMs that wait for an order get tasks if none was planned for this long."""


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
        self._waves = UpkeepWaves(
            self.inventory, self.mover, self._disruption_budget, self._starved_pools
        )
        self.wave_by_number = self._waves.wave_by_number
        self._short_pools: set[str] = set()
        self._zone_moves = ZoneMoves(
            dispatcher, self.inventory, self._disruption_budget, self.mover
        )
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
        self._waves.add(wave, now, is_inherited, age_seconds)

    def restore_started_vms(self, number: int, vm_ids: Sequence[str]) -> None:
        """Add the VMs of a wave whose upkeep an earlier owner has stored as begun."""
        self._waves.restore_started_vms(number, vm_ids)

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
        orders.extend(self._waves.plan(now, self._short_pools))
        wave_vms = self._waves.find_due_vms()
        draining = self._disruption_budget.find_evacuations(self.inventory.reserved)
        # A VM that is drained may be in an evacuated zone.
        leaving = list(dict.fromkeys([*draining, *self._zone_moves.find_leaving()]))
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
            self._dispatcher.retire_worker(ended.incarnation, ended.ordered_at, now)
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
        self._waves.note_begun(order)

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
        self._waves.pause(now)
        self._release_drained_vms("order-refused")

    def is_complete(self, state: WaveState) -> bool:
        """Return whether all VMs of the wave that still exist have begun their upkeep.

        Nothing is complete before the first VM list.
        """
        return self._waves.is_complete(state)

    def find_evacuations(self, now: float) -> list[Run]:
        """Return the lasting runs to stop so that reserved VMs can go down.

        A run goes on until there is room for its task on another VM. Tasks that leave
        evacuated zones get their room first.
        """
        runs = self._disruption_budget.find_evacuations(self.inventory.reserved)
        ahead_by_pool: Mapping[str, Sequence[TaskNeed]] = {}
        if runs and self._dispatcher.evacuated_zones:
            ahead_by_pool = self._zone_moves.find_needs_ahead(now)
        return self.mover.lasting_room.find_placeable(runs, now, ahead_by_pool)

    def find_zone_moves(self, now: float) -> list[Run]:
        """Return the lasting runs to stop now so that they leave evacuated zones."""
        return self._zone_moves.find(now)

    def may_end_run(self, run: Run) -> bool:
        """Return whether the disruption budget lets a run be ended now."""
        return self._disruption_budget.may_end_run(run)

    def may_still_end(self, order: VmOrder) -> bool:
        """Return whether the lasting tasks on the VM of an order may be ended now.

        Other tasks of their steps may have become unavailable since it was decided. An
        order that was sent before may end them anyway.
        """
        worker = self.inventory.worker_on(order.vm_id)
        if worker is None or self.inventory.is_sent_before(order):
            return True
        return self._disruption_budget.may_still_end(worker)

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
