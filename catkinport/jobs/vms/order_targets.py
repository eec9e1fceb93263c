"""Which worker has certainly ended once an order for its VM is answered as done.

The platform also answers an order as done if it was carried out before. The worker on
the VM may have started after that, and its runs go on. So only an order that can't
have been carried out before its worker started tells that the worker has ended. For any
other order, the worker's reports, the platform's list of VMs and the lease decide.

They also decide on runs that were confirmed after the order may have been carried out.
The worker may have started again since, under its id, and confirmed them.
"""

from typing import NamedTuple

from ..workers.worker_state import Incarnation, WorkerRecord


class VmOrder(NamedTuple):
    """An order to the platform to take a VM down for upkeep, or to move it.

    Args:
        vm_id: the VM.
        wave: for an upkeep, the number of its wave (an operator's request that names
            the VMs to maintain); 0 for a move.
        pool: new pool for a move; empty for an upkeep.
    """

    vm_id: str
    wave: int
    pool: str


class OrderTarget(NamedTuple):
    """The worker that an order ends.

    Args:
        incarnation: the worker.
        ordered_at: clock time in seconds before which the order was not carried out.
    """

    incarnation: Incarnation
    ordered_at: float


class OrderTargets:
    """The worker that each order ends, noted when the order is first sent."""

    def __init__(self) -> None:
        self._target_by_order: dict[VmOrder, Incarnation | None] = {}
        self._ordered_at_by_order: dict[VmOrder, float] = {}
        self._unresolved_orders: set[VmOrder] = set()
        self._inherited_waves: set[int] = set()

    def note_inherited_wave(self, wave: int) -> None:
        """Note that a former owner may have ordered the upkeeps of a wave."""
        self._inherited_waves.add(wave)

    def note_first_sent(
        self, order: VmOrder, worker: WorkerRecord | None, now: float
    ) -> None:
        """Note the worker that an order ends.

        Call it before the order is sent, and not when it is repeated.

        Args:
            order: the order.
            worker: the worker on the VM; ``None`` if it is unknown.
            now: clock time in seconds.
        """
        if order in self._ordered_at_by_order:
            # It was given up or rejected after a sending that may have had an effect.
            self._unresolved_orders.add(order)
        else:
            self._ordered_at_by_order[order] = now
        is_known = worker is not None and _is_incarnation_known(worker)
        if worker is None or not is_known or self._may_be_done(order, worker):
            self._target_by_order[order] = None
        else:
            self._target_by_order[order] = worker.incarnation

    def note_sending(self, order: VmOrder, now: float) -> None:
        """Note that a first sending begins now, which may be long after its decision.

        Call it after `note_first_sent`, and not when the order is repeated.
        """
        if order not in self._unresolved_orders:
            self._ordered_at_by_order[order] = now

    def forget(self, order: VmOrder) -> None:
        """Note that an order had no effect since it was first sent."""
        # An order without a target may have had an effect when it was sent before.
        if self._target_by_order.get(order) is not None:
            del self._target_by_order[order]
        if order not in self._unresolved_orders:
            self._ordered_at_by_order.pop(order, None)

    def note_done(self, order: VmOrder) -> OrderTarget | None:
        """Note that an order is answered as done; return the worker that has ended.

        ``None`` means that this is not certain of any worker.
        """
        self._unresolved_orders.discard(order)
        # The answer to another sending gives up no run that the first one has left.
        ordered_at = self._ordered_at_by_order.pop(order, float("-inf"))
        incarnation = self._target_by_order.get(order)
        return None if incarnation is None else OrderTarget(incarnation, ordered_at)

    def _may_be_done(self, order: VmOrder, worker: WorkerRecord) -> bool:
        """Return whether the order may have been carried out before the worker started.

        A move changes the pool, so it ends all workers of the VM in other pools. An
        upkeep is carried out once for each wave.
        """
        if not order.wave:
            return worker.listed.pool == order.pool
        return order.wave in self._inherited_waves or order in self._target_by_order


def _is_incarnation_known(worker: WorkerRecord) -> bool:
    """Return whether the worker has answered, and its entry is not an earlier one's."""
    return 0.0 < worker.started_at == worker.listed.started_at
