"""State of the VMs: the platform's list, and the orders that were sent since.

An order shows in the list only with a delay; until then the order itself counts.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ...ports.fleet_vms import FleetVm, VmState
from ..dispatch.dispatcher import Dispatcher
from ..workers.worker_state import WorkerRecord
from ..workers.worker_vms import VM_LIST_LAG_SECONDS
from .order_targets import OrderTarget, OrderTargets, VmOrder

REPEAT_SECONDS = 1.0
"""Time after which an order without an answer is sent again."""

REFUSAL_PAUSE_SECONDS = 1.0
"""Time for which the platform gets no more orders like one that it has refused."""

MAX_OLD_LIST_SECONDS = 6.0
"""Time by which the platform's list may be older than usual. A move that it should
show, and doesn't, counts as under way for this much longer."""


class VmBounds(NamedTuple):
    """Times that the platform specifies, in seconds.

    Args:
        upkeep: how long an upkeep takes.
        move: how long a move takes.
        order_gap: shortest time between orders of two successive owners for one VM.
    """

    upkeep: float
    move: float
    order_gap: float


class PendingOrder(NamedTuple):
    """An order that the platform's list does not show yet.

    Times are on the steady clock in seconds.

    Args:
        order: the order.
        first_sent_at: when it was first sent.
        sent_at: when it was last sent.
        answered_at: when its answer came; 0 before.
        n_uncertain: how many of its sendings may have been carried out.
    """

    order: VmOrder
    first_sent_at: float
    sent_at: float
    answered_at: float
    n_uncertain: int


class VmInventory:
    """The VMs, and the orders for them that the platform's list does not show yet.

    Args:
        dispatcher: jobs and workers.
        bounds: times that the platform specifies.

    Attributes:
        vm_by_id: the platform's latest list.
        listed_at: clock time in seconds at which that list was requested.
        reserved: VMs that are kept free for upkeep.
        idle_since_by_vm: clock time in seconds since which nothing has run on a VM.
        targets: workers that the orders end.
    """

    def __init__(self, dispatcher: Dispatcher, bounds: VmBounds) -> None:
        self.bounds = bounds
        self.vm_by_id: dict[str, FleetVm] = {}
        self.listed_at = float("-inf")
        self.reserved: set[str] = set()
        self.idle_since_by_vm: dict[str, float] = {}
        self.targets = OrderTargets()
        self._dispatcher = dispatcher
        self._pending_by_vm: dict[str, PendingOrder] = {}
        self._held_until_by_vm: dict[str, float] = {}
        self._ordered_at_by_vm: dict[str, float] = {}
        self._refused_at_by_vm: dict[str, float] = {}

    def update_vms(self, vms: Sequence[FleetVm], sent_at: float) -> None:
        """Apply the platform's list, which was requested at ``sent_at``."""
        self.vm_by_id = {vm.vm_id: vm for vm in vms}
        self.listed_at = sent_at
        refused = self._refused_at_by_vm.items()
        self._refused_at_by_vm = {v: at for v, at in refused if v in self.vm_by_id}
        for vm_id, pending in list(self._pending_by_vm.items()):
            if self._is_effect_listed(pending, self.vm_by_id.get(vm_id), sent_at):
                del self._pending_by_vm[vm_id]
                # The worker is still there if the order had been carried out before.
                self.release(vm_id)
        self._release_workers()
        self._reserve_held_workers()

    def hold_back(self, vm_ids: Iterable[str], until: float) -> None:
        """Send no orders to VMs until a clock time.

        A former owner may just have ordered them to move or to go down.
        """
        self._held_until_by_vm.update(dict.fromkeys(vm_ids, until))

    def adopt_upkeeps(self, wave_by_vm: Mapping[str, int], until: float) -> None:
        """Count upkeeps that a former owner has ordered without an answer as ordered.

        The platform may carry them out long after the holds of `hold_back` have ended.
        So their VMs count as down until the same orders of this owner are answered.

        Args:
            wave_by_vm: number of the wave by id of the VM.
            until: clock time in seconds from which on they are sent again.
        """
        for vm_id, wave in wave_by_vm.items():
            order = VmOrder(vm_id, wave, "")
            sent_at = until - REPEAT_SECONDS
            self._pending_by_vm[vm_id] = PendingOrder(order, until, sent_at, 0.0, 1)
        self._reserve_held_workers()

    def end_holds(self, now: float) -> None:
        """Remove the VMs whose hold by `hold_back` has ended."""
        held = self._held_until_by_vm.items()
        self._held_until_by_vm = {vm: until for vm, until in held if until > now}

    def find_recently_ordered(self, now: float) -> list[str]:
        """Return the VMs that a successor has to hold back for a while.

        They are those that this owner has ordered within the order gap, and those that
        it still holds back itself.
        """
        oldest = now - self.bounds.order_gap
        ordered = self._ordered_at_by_vm.items()
        self._ordered_at_by_vm = {vm: at for vm, at in ordered if at >= oldest}
        self.end_holds(now)
        return sorted({*self._ordered_at_by_vm, *self._held_until_by_vm})

    def find_unanswered_upkeeps(self) -> dict[str, int]:
        """Return the number of the wave by id of VM, for upkeeps without an answer."""
        return {
            vm_id: pending.order.wave
            for vm_id, pending in sorted(self._pending_by_vm.items())
            if pending.order.wave and not pending.answered_at
        }

    def note_sent(self, order: VmOrder, now: float) -> None:
        """Record that an order is about to be sent."""
        former = self._pending_by_vm.get(order.vm_id)
        if former is None or former.order != order:
            self.targets.note_first_sent(order, self.worker_on(order.vm_id), now)
        if former is None:
            pending = PendingOrder(order, now, now, 0.0, 1)
        else:
            # A round may note the same sending twice.
            n_uncertain = former.n_uncertain + (former.sent_at < now)
            pending = former._replace(
                order=order, sent_at=now, answered_at=0.0, n_uncertain=n_uncertain
            )
        self._pending_by_vm[order.vm_id] = pending
        self._ordered_at_by_vm[order.vm_id] = now

    def note_sending(self, order: VmOrder, now: float) -> None:
        """Record that an order is sent now, after its VM was stored."""
        self._ordered_at_by_vm[order.vm_id] = now
        pending = self._pending_by_vm.get(order.vm_id)
        if pending is None or pending.order != order:
            return
        is_first = pending.n_uncertain <= 1
        if is_first:
            self.targets.note_sending(order, now)
        first_sent_at = now if is_first else pending.first_sent_at
        self._pending_by_vm[order.vm_id] = pending._replace(
            first_sent_at=first_sent_at, sent_at=now
        )

    def is_sent_before(self, order: VmOrder) -> bool:
        """Return whether an earlier sending of an order may have been carried out."""
        pending = self._pending_by_vm.get(order.vm_id)
        return pending is not None and pending.n_uncertain > 1

    def note_done(self, order: VmOrder, now: float) -> OrderTarget | None:
        """Record that the platform has carried the order out.

        Returns:
            The worker that has therefore ended; ``None`` if no worker certainly has.
        """
        target = self.targets.note_done(order)
        pending = self._pending_by_vm.get(order.vm_id)
        if pending is None or pending.order != order:
            return None
        self._pending_by_vm[order.vm_id] = pending._replace(answered_at=now)
        return target

    def note_rejected(self, order: VmOrder) -> None:
        """Record that the platform has rejected the order and done nothing."""
        pending = self._pending_by_vm.pop(order.vm_id, None)
        if pending is not None and pending.n_uncertain <= 1:
            self.targets.forget(order)

    def note_no_effect(self, order: VmOrder) -> bool:
        """Record that a sending of an order was given up or had no effect.

        Returns:
            Whether the VM is under no order now; another sending of the order may
            have been carried out.
        """
        pending = self._pending_by_vm.get(order.vm_id)
        if pending is not None and pending.n_uncertain > 1:
            n_uncertain = pending.n_uncertain - 1
            self._pending_by_vm[order.vm_id] = pending._replace(n_uncertain=n_uncertain)
            return False
        self._pending_by_vm.pop(order.vm_id, None)
        self.targets.forget(order)
        return True

    def give_up(self, order: VmOrder) -> None:
        """Record that an order without an answer is not expected to take effect."""
        self._pending_by_vm.pop(order.vm_id, None)
        self.release(order.vm_id)

    def note_refused(self, order: VmOrder, now: float) -> None:
        """Record that an overloaded or unavailable platform has refused an order."""
        self._refused_at_by_vm[order.vm_id] = now

    def is_refused_lately(self, vm_id: str, now: float) -> bool:
        """Return whether an order for the VM was refused within the pause."""
        refused_at = self._refused_at_by_vm.get(vm_id, float("-inf"))
        return now - refused_at < REFUSAL_PAUSE_SECONDS

    def release_drained(self) -> list[str]:
        """Release the reserved VMs that are under no order; return their ids."""
        vm_ids = sorted(vm for vm in self.reserved if not self.is_under_order(vm))
        for vm_id in vm_ids:
            self.release(vm_id)
        return vm_ids

    @property
    def pending_orders(self) -> list[PendingOrder]:
        """Orders that the platform's list does not show yet."""
        return list(self._pending_by_vm.values())

    def find_unanswered(self, now: float) -> list[PendingOrder]:
        """Return the orders that have had no answer for `REPEAT_SECONDS`."""
        return [
            pending
            for pending in self._pending_by_vm.values()
            if not pending.answered_at and now - pending.sent_at >= REPEAT_SECONDS
        ]

    def _is_effect_listed(
        self, pending: PendingOrder, vm: FleetVm | None, sent_at: float
    ) -> bool:
        if vm is None:
            return True
        seconds = self.bounds.upkeep if pending.order.wave else self.bounds.move
        if not pending.answered_at:
            return False
        late_seconds = sent_at - pending.answered_at - seconds - VM_LIST_LAG_SECONDS
        # An older list has the VM in its former pool, where it may count as off. An
        # upkeep is chosen by the worker, which an older list does not name.
        is_old = bool(pending.order.pool) and vm.pool != pending.order.pool
        return late_seconds > (MAX_OLD_LIST_SECONDS if is_old else 0.0)

    def worker_on(self, vm_id: str) -> WorkerRecord | None:
        """Return the worker that the VM runs, if the dispatcher knows it."""
        vm = self.vm_by_id.get(vm_id)
        if vm is None or not vm.worker_id:
            return None
        return self._dispatcher.worker_by_id.get(vm.worker_id)

    def is_evacuated(self, vm: FleetVm) -> bool:
        """Return whether the VM, or the worker that it runs, is in an evacuated zone.

        The list of VMs may lack the zone.
        """
        if not self._dispatcher.evacuated_zones:
            return False
        if self._dispatcher.is_evacuated(vm.zone):
            return True
        worker = self.worker_on(vm.vm_id)
        return worker is not None and self._dispatcher.is_evacuated(worker.listed.zone)

    def is_up(self, vm: FleetVm) -> bool:
        """Return whether the VM is up and no order is about to change that."""
        return vm.state is VmState.UP and not self.is_under_order(vm.vm_id)

    def is_under_order(self, vm_id: str) -> bool:
        """Return whether an order may be about to end the runs on the VM.

        The order may also be a former owner's.
        """
        return vm_id in self._pending_by_vm or vm_id in self._held_until_by_vm

    def may_end_runs(self, worker: WorkerRecord) -> bool:
        """Return whether an order for its VM may be about to end the worker's runs.

        A worker that has started since an upkeep was last sent shows that it was most
        likely begun before. A worker on an unknown VM may be on any VM under order.
        """
        if not worker.vm_id:
            return bool(self._pending_by_vm)
        pending = self._pending_by_vm.get(worker.vm_id)
        if pending is not None and pending.order.wave:
            return worker.started_known_at <= pending.sent_at
        return self.is_under_order(worker.vm_id)

    def is_off(self, vm: FleetVm) -> bool:
        """Return whether the VM is switched off in the spare pool."""
        pool = self._dispatcher.configuration.pool_by_name.get(vm.pool)
        return pool is not None and pool.is_spare

    def may_be_down(self, vm: FleetVm, wave: int) -> bool:
        """Return whether the VM may be down for its upkeep in wave number ``wave``."""
        pending = self._pending_by_vm.get(vm.vm_id)
        if pending is not None and pending.order.wave == wave:
            return True
        # The list may not show the latest orders of a former owner yet.
        return vm.state is VmState.UPKEEP or vm.vm_id in self._held_until_by_vm

    def pool_of(self, vm: FleetVm) -> str:
        """Return the pool that the VM is in, or is moving to."""
        pending = self._pending_by_vm.get(vm.vm_id)
        return pending.order.pool if pending and pending.order.pool else vm.pool

    def note_idle(self, now: float) -> None:
        """Update since when nothing has run on each VM."""
        for vm_id, vm in self.vm_by_id.items():
            worker = self.worker_on(vm_id)
            is_idle = self.is_off(vm) or (
                worker is not None
                and not worker.run_by_key
                and worker.is_in_contact(now)
                and not worker.listed.is_draining
            )
            if not is_idle:
                self.idle_since_by_vm.pop(vm_id, None)
            else:
                self.idle_since_by_vm.setdefault(vm_id, now)

    def _release_workers(self) -> None:
        """Let workers get tasks again whose VM was released while the list lacked them.

        A VM that is down is listed without its worker, which may start again under its
        id.
        """
        for vm_id in self.vm_by_id:
            worker = self.worker_on(vm_id)
            is_kept = vm_id in self.reserved or vm_id in self._pending_by_vm
            if worker is not None and worker.is_reserved and not is_kept:
                worker.is_reserved = False

    def _reserve_held_workers(self) -> None:
        """Start no tasks that an adopted order, or its repetition, would end."""
        for vm_id in self._pending_by_vm.keys() & self._held_until_by_vm.keys():
            worker = self.worker_on(vm_id)
            if worker is not None:
                worker.is_reserved = True

    def reserve(self, vm_id: str) -> None:
        """Give a VM no new tasks until its upkeep."""
        self.reserved.add(vm_id)
        worker = self.worker_on(vm_id)
        if worker is not None:
            worker.is_reserved = True

    def release(self, vm_id: str) -> None:
        """Let a VM get new tasks again after `reserve`."""
        self.reserved.discard(vm_id)
        worker = self.worker_on(vm_id)
        if worker is not None:
            worker.is_reserved = False
