"""Repeats the orders for VMs that had no answer, and bounds how long they block a VM.

The platform may have carried out such an order, and then only confirms it when it is
sent again. If it has not, the order ends the tasks that are on the VM by then. While
its worker goes on answering, the VM gets tasks again after a time, as it is not known
whether the order ever takes effect.
"""

import logging

from ...runtime.logs import log_event
from ..workers.worker_state import WorkerRecord
from .disruption_budget import DisruptionBudget
from .order_targets import VmOrder
from .starved_pools import StarvedPools
from .vm_inventory import PendingOrder, VmInventory

logger = logging.getLogger(__name__)

MAX_BLOCK_SECONDS = 2.0
"""A worker that still answers this long after an order for its VM was first sent, and
had no answer, gets tasks again."""

DRAIN_AGAIN_SECONDS = 8.0
"""Time from the last sending of an order without an answer until its VM is drained for
the next one, or the order is given up if it is a move. Orders that are carried out
without an answer mostly are so within seconds."""

SURVIVAL_SECONDS = 1.0
"""A worker that answers this long after its VM's order was confirmed has started since
that was carried out. Answers to earlier polls arrive before."""


class UnansweredOrders:
    """Decides which orders without an answer are sent again.

    Args:
        inventory: VMs and the orders for them.
        disruption_budget: decides which lasting tasks may be ended.
        starved_pools: pools of which no VM may be kept free.
    """

    def __init__(
        self,
        inventory: VmInventory,
        disruption_budget: DisruptionBudget,
        starved_pools: StarvedPools,
    ) -> None:
        self._inventory = inventory
        self._starved_pools = starved_pools
        self._disruption_budget = disruption_budget

    def find_due(self, now: float) -> list[VmOrder]:
        """Return the orders to send again, noted as sent; drain the other VMs.

        Moves of VMs that have tasks again are given up after a time.
        """
        orders = []
        for pending in self._inventory.find_unanswered(now):
            worker = self._inventory.worker_on(pending.order.vm_id)
            if worker is None or self._may_repeat(pending, worker, now):
                # The next decisions count the tasks that this order may end.
                self._inventory.note_sent(pending.order, now)
                orders.append(pending.order)
            elif self._is_given_up(pending, now):
                self._inventory.give_up(pending.order)
            elif not self._may_take_tasks(pending, worker, now):
                worker.is_reserved = True
        self.unblock_workers(now)
        return orders

    def unblock_workers(self, now: float) -> None:
        """Let workers get tasks that have outlived an order for their VM."""
        for pending in self._inventory.pending_orders:
            worker = self._inventory.worker_on(pending.order.vm_id)
            if worker is None or not worker.is_reserved:
                continue
            if not self._may_take_tasks(pending, worker, now):
                continue
            worker.is_reserved = False
            # If the order takes effect after all, that is no crash.
            worker.is_taken_down = True
            log_event(
                logger,
                "vm under order gets tasks",
                vm=pending.order.vm_id,
                worker=worker.worker_id,
                seconds=round(now - pending.first_sent_at, 2),
                answered=bool(pending.answered_at),
            )

    def _may_take_tasks(
        self, pending: PendingOrder, worker: WorkerRecord, now: float
    ) -> bool:
        """Return whether the worker of a VM under order may get tasks."""
        if pending.answered_at:
            return worker.contact_at - pending.answered_at >= SURVIVAL_SECONDS
        if worker.run_by_key and now - pending.sent_at >= DRAIN_AGAIN_SECONDS:
            return self._starved_pools.is_relieved(worker.listed.pool, now)
        return worker.contact_at - pending.first_sent_at >= MAX_BLOCK_SECONDS

    def _is_given_up(self, pending: PendingOrder, now: float) -> bool:
        """Return whether a move is given up rather than repeated after its tasks."""
        return not pending.order.wave and now - pending.sent_at >= DRAIN_AGAIN_SECONDS

    def _may_repeat(
        self, pending: PendingOrder, worker: WorkerRecord, now: float
    ) -> bool:
        """Return whether an order may be sent again to the VM of a worker.

        Short tasks end by themselves first. Lasting ones never would, so they may be
        ended within their budget.
        """
        if not worker.run_by_key:
            return True
        if not worker.is_in_contact(now):
            return False
        is_new_worker = worker.started_known_at > pending.first_sent_at
        if is_new_worker and worker.listed.pool == pending.order.pool:
            # The VM has moved, so the platform does nothing for the order.
            return True
        runs = worker.run_by_key.values()
        is_drained = all(run.task.step.is_lasting for run in runs)
        # A worker that has started since shows that an upkeep was most likely begun.
        is_upkeep_likely_begun = is_new_worker and bool(pending.order.wave)
        if not is_drained and not is_upkeep_likely_begun:
            return False
        return self._disruption_budget.may_end_ordered(worker)
