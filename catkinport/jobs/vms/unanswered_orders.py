"""Repeats the orders for VMs that had no answer.

The platform may have carried out such an order, and then only confirms it when it is
sent again. If it has not, the order ends the tasks that are on the VM by then.
"""

from ..workers.worker_state import WorkerRecord
from .disruption_budget import DisruptionBudget
from .order_targets import VmOrder
from .vm_inventory import PendingOrder, VmInventory


class UnansweredOrders:
    """Decides which orders without an answer are sent again.

    Args:
        inventory: VMs and the orders for them.
        disruption_budget: decides which lasting tasks may be ended.
    """

    def __init__(
        self, inventory: VmInventory, disruption_budget: DisruptionBudget
    ) -> None:
        self._inventory = inventory
        self._disruption_budget = disruption_budget

    def find_due(self, now: float) -> list[VmOrder]:
        """Return the orders to send again, noted as sent; drain the other VMs."""
        orders = []
        for pending in self._inventory.find_unanswered(now):
            worker = self._inventory.worker_on(pending.order.vm_id)
            if worker is None or self._may_repeat(pending, worker, now):
                # The next decisions count the tasks that this order may end.
                self._inventory.note_sent(pending.order, now)
                orders.append(pending.order)
            else:
                worker.is_reserved = True
        return orders

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
