"""Keeps the VMs: upkeep in waves, and moves between pools.

The state is rebuilt from the platform's list of VMs, which an order changes only later;
until then the order itself is what counts.
"""

import logging
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from ..policy.pool_size import IdleVm, PoolMove, PoolView, choose_moves
from ..policy.turns import TurnTracker
from ..policy.upkeep import (
    UpkeepCandidate,
    UpkeepChoice,
    UpkeepCost,
    WaveView,
    choose_upkeep,
)
from ..ports.fleet_vms import FleetVm, UpkeepWave, VmState
from ..runtime.logs import log_event
from .dispatcher import VM_LIST_LAG_SECONDS, Dispatcher
from .record import TaskPhase
from .worker_state import Run, WorkerBelief

logger = logging.getLogger(__name__)

REPEAT_SECONDS = 1.0
"""Time after which an order without an answer is sent again."""

Stage = tuple[str, int, int]
"""Job, occurrence and number of a step."""

AT_WORK_PERCENT = 100.0
"""Figure that a worker lists for a lasting task that is at work."""

LONG_LIST_GAP_SECONDS = 3.0
"""Without a list for so long no VM is ordered about."""


class VmOrder(NamedTuple):
    """An order for a VM.

    Args:
        vm_id: the VM.
        wave: number of the wave for an upkeep; 0 for a move.
        pool: new pool for a move; empty for an upkeep.
    """

    vm_id: str
    wave: int
    pool: str


class VmBounds(NamedTuple):
    """Times that the platform names, in seconds.

    Args:
        upkeep: how long an upkeep takes.
        move: how long a move takes.
        away_notice: how long a lasting task must be at work to count as present.
        order_gap: shortest time between orders of two owners for one VM.
    """

    upkeep: float
    move: float
    away_notice: float
    order_gap: float


class PendingOrder(NamedTuple):
    """An order and when it was sent; ``answered_at`` is 0 before its answer."""

    order: VmOrder
    sent_at: float
    answered_at: float


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
    """

    def __init__(self, dispatcher: Dispatcher, bounds: VmBounds) -> None:
        self._dispatcher = dispatcher
        self._bounds = bounds
        self._held_until_by_vm: dict[str, float] = {}
        self._ordered_at_by_vm: dict[str, float] = {}
        self._vm_by_id: dict[str, FleetVm] = {}
        self._listed_at = float("-inf")
        self._pending_by_vm: dict[str, PendingOrder] = {}
        self._idle_since_by_vm: dict[str, float] = {}
        self._reserved: set[str] = set()
        self._own_vms_by_pool: dict[str, int] = {}
        self._turns = TurnTracker({})
        self._phase_by_pool: dict[str, str] = {}
        self.wave_by_number: dict[int, WaveState] = {}

    def take_vms(self, vms: Sequence[FleetVm], sent_at: float) -> None:
        """Take in the platform's list."""
        self._vm_by_id = {vm.vm_id: vm for vm in vms}
        self._listed_at = sent_at
        if not self._own_vms_by_pool:
            self._own_vms_by_pool = _count_own_vms(vms)
        self._update_own_cores()
        for vm_id, pending in list(self._pending_by_vm.items()):
            if self._is_settled(pending, self._vm_by_id.get(vm_id), sent_at):
                del self._pending_by_vm[vm_id]

    def restore_own_vms(self, n_by_pool: Mapping[str, int]) -> None:
        """Note how many VMs each pool has when none are lent or switched off."""
        self._own_vms_by_pool = dict(n_by_pool)
        self._update_own_cores()

    @property
    def own_vms_by_pool(self) -> Mapping[str, int]:
        """VMs that each pool has when none are lent or switched off."""
        return self._own_vms_by_pool

    def _update_own_cores(self) -> None:
        # A new owner learns the pools' sizes from their row before it has a list.
        cores = [vm.capacity.cores for vm in self._vm_by_id.values()]
        mean_cores = sum(cores) / max(1, len(cores))
        for pool, n_vms in self._own_vms_by_pool.items():
            self._turns.set_own_cores(pool, n_vms * mean_cores)

    def note_work(self, pool: str, core_seconds: float, now: float) -> None:
        """Note that work for a pool has arrived."""
        self._turns.add_arrival(pool, core_seconds, now)

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

    def hold_back(self, vm_ids: Iterable[str], until: float) -> None:
        """Leave VMs alone that a former owner may just have ordered about."""
        self._held_until_by_vm.update(dict.fromkeys(vm_ids, until))

    def lately_ordered(self, now: float) -> list[str]:
        """Return the VMs whose latest order a successor has to wait for."""
        oldest = now - self._bounds.order_gap
        ordered = self._ordered_at_by_vm.items()
        self._ordered_at_by_vm = {vm: at for vm, at in ordered if at >= oldest}
        return sorted(self._ordered_at_by_vm)

    def plan(self, now: float) -> list[VmOrder]:
        """Return the orders to send now; they count as sent."""
        if now - self._listed_at > LONG_LIST_GAP_SECONDS:
            return []
        held = self._held_until_by_vm.items()
        self._held_until_by_vm = {vm: until for vm, until in held if until > now}
        self._note_idle(now)
        self._update_turns(now)
        orders = list(self._repeat_orders(now))
        for state in self.wave_by_number.values():
            orders.extend(self._plan_wave(state, now))
        orders.extend(self._plan_moves(now))
        for order in orders:
            self._pending_by_vm[order.vm_id] = PendingOrder(order, now, 0.0)
            self._ordered_at_by_vm[order.vm_id] = now
        return orders

    def on_done(self, order: VmOrder, now: float) -> None:
        """Note that the platform has carried the order out."""
        pending = self._pending_by_vm.get(order.vm_id)
        if pending is not None and pending.order == order:
            self._pending_by_vm[order.vm_id] = pending._replace(answered_at=now)
        worker_id = self._vm_by_id[order.vm_id].worker_id if pending else ""
        if worker_id:
            self._dispatcher.retire_worker(worker_id, now)
        if order.wave and order.wave in self.wave_by_number:
            self.wave_by_number[order.wave].begun.add(order.vm_id)
            self._reserved.discard(order.vm_id)

    def on_rejected(self, order: VmOrder) -> None:
        """Note that the platform has done nothing."""
        self._pending_by_vm.pop(order.vm_id, None)
        self._release(order.vm_id)

    def is_complete(self, state: WaveState) -> bool:
        """Return whether every VM of the wave that is left has begun its upkeep."""
        return bool(self._vm_by_id) and all(
            vm_id in state.begun or vm_id not in self._vm_by_id
            for vm_id in state.wave.vm_ids
        )

    def _update_turns(self, now: float) -> None:
        self._turns.update(now)
        for pool in self._own_vms_by_pool:
            phase = "turn" if self._turns.is_busy(pool) else "waiting"
            if self._turns.may_rest(pool, now, self._bounds.move):
                phase = "resting"
            if self._phase_by_pool.get(pool) != phase:
                self._phase_by_pool[pool] = phase
                period = self._turns.period_seconds
                log_event(
                    logger,
                    "pool phase changed",
                    pool=pool,
                    phase=phase,
                    period_seconds=round(period, 2) if period else "",
                )

    # What the list and the orders say together.

    def _is_settled(
        self, pending: PendingOrder, vm: FleetVm | None, sent_at: float
    ) -> bool:
        if vm is None:
            return True
        seconds = self._bounds.upkeep if pending.order.wave else self._bounds.move
        if not pending.answered_at:
            return False
        return sent_at > pending.answered_at + seconds + VM_LIST_LAG_SECONDS

    def _repeat_orders(self, now: float) -> Iterator[VmOrder]:
        for pending in list(self._pending_by_vm.values()):
            if pending.answered_at or now - pending.sent_at < REPEAT_SECONDS:
                continue
            belief = self._worker_on(pending.order.vm_id)
            if belief is not None and belief.run_by_key:
                continue
            yield pending.order

    def _worker_on(self, vm_id: str) -> WorkerBelief | None:
        vm = self._vm_by_id.get(vm_id)
        if vm is None or not vm.worker_id:
            return None
        return self._dispatcher.worker_by_id.get(vm.worker_id)

    def _is_up(self, vm: FleetVm) -> bool:
        is_free = not self._is_under_order(vm.vm_id)
        return vm.state is VmState.UP and is_free

    def _is_under_order(self, vm_id: str) -> bool:
        """Return whether an order may be about to end what runs on the VM."""
        return vm_id in self._pending_by_vm or vm_id in self._held_until_by_vm

    def _is_off(self, vm: FleetVm) -> bool:
        pool = self._dispatcher.configuration.pool_by_name.get(vm.pool)
        return pool is not None and pool.is_spare

    def _note_idle(self, now: float) -> None:
        for vm_id, vm in self._vm_by_id.items():
            belief = self._worker_on(vm_id)
            is_idle = self._is_off(vm) or (
                belief is not None
                and not belief.run_by_key
                and belief.is_in_contact(now)
                and not belief.listed.is_draining
            )
            if not is_idle:
                self._idle_since_by_vm.pop(vm_id, None)
            else:
                self._idle_since_by_vm.setdefault(vm_id, now)

    def _reserve(self, vm_id: str) -> None:
        self._reserved.add(vm_id)
        belief = self._worker_on(vm_id)
        if belief is not None:
            belief.is_reserved = True

    def _release(self, vm_id: str) -> None:
        self._reserved.discard(vm_id)
        belief = self._worker_on(vm_id)
        if belief is not None:
            belief.is_reserved = False

    # Waves.

    def _plan_wave(self, state: WaveState, now: float) -> Iterator[VmOrder]:
        if self.is_complete(state):
            return
        wave = state.wave
        members = [self._vm_by_id[v] for v in wave.vm_ids if v in self._vm_by_id]
        for vm in members:
            belief = self._worker_on(vm.vm_id)
            if belief is not None:
                belief.is_due = vm.vm_id not in state.begun
        n_down = sum(self._may_be_down(vm, wave.wave) for vm in members)
        candidates = [
            self._candidate(vm, now)
            for vm in members
            if vm.vm_id not in state.begun and self._is_up(vm)
        ]
        view = WaveView(
            n_vms=len(members),
            n_begun=len(state.begun),
            n_down=n_down,
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
            self._reserve(vm_id)
        for vm_id in choice.maintain:
            # An order of this round may have taken tasks of the same step away.
            belief = self._worker_on(vm_id)
            if belief is not None and not self._may_end_lasting(belief):
                continue
            # Nothing may start on it between this decision and the order.
            self._reserve(vm_id)
            order = VmOrder(vm_id, wave, "")
            self._pending_by_vm[vm_id] = PendingOrder(order, now, 0.0)
            yield order

    def _may_be_down(self, vm: FleetVm, wave: int) -> bool:
        pending = self._pending_by_vm.get(vm.vm_id)
        if pending is not None and pending.order.wave == wave:
            return True
        # The list may not show yet what a former owner ordered.
        return vm.state is VmState.UPKEEP or vm.vm_id in self._held_until_by_vm

    def _candidate(self, vm: FleetVm, now: float) -> UpkeepCandidate:
        belief = self._worker_on(vm.vm_id)
        runs = list(belief.run_by_key.values()) if belief else []
        short = [run for run in runs if not run.task.step.is_lasting]
        return UpkeepCandidate(
            vm_id=vm.vm_id,
            pool=vm.pool,
            cost=self._upkeep_cost(vm, belief, runs, now),
            busy_cores=sum(run.task.step.need.cores for run in short),
            is_reserved=vm.vm_id in self._reserved,
            may_end_lasting=belief is not None and self._may_end_lasting(belief),
            is_pool_busy=self._turns.is_busy(vm.pool),
        )

    def _upkeep_cost(
        self, vm: FleetVm, belief: WorkerBelief | None, runs: list[Run], now: float
    ) -> UpkeepCost:
        if self._is_off(vm):
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

    def find_evacuations(self) -> list[Run]:
        """Return lasting runs to stop, so that their drained VM may go down.

        A VM with more tasks of a step than may be away at once gives them up one
        after the other.
        """
        runs = []
        evacuated: dict[Stage, int] = {}
        for vm_id in self._reserved:
            belief = self._worker_on(vm_id)
            if belief is None or self._may_end_lasting(belief):
                continue
            for run in belief.run_by_key.values():
                stage = run.task.task_id[:3]
                if not run.task.step.is_lasting or run.is_evacuated:
                    continue
                n_away = self._count_away(stage) + evacuated.get(stage, 0)
                is_last = self._count_here(belief)[stage] <= self._max_away(stage)
                if n_away + 1 <= self._max_away(stage) and not is_last:
                    evacuated[stage] = evacuated.get(stage, 0) + 1
                    runs.append(run)
        return runs

    @staticmethod
    def _count_here(belief: WorkerBelief) -> dict[Stage, int]:
        n_here: dict[Stage, int] = {}
        for run in belief.run_by_key.values():
            if run.task.step.is_lasting:
                stage = run.task.task_id[:3]
                n_here[stage] = n_here.get(stage, 0) + 1
        return n_here

    def _may_end_lasting(self, belief: WorkerBelief) -> bool:
        """Return whether all lasting tasks of the worker may be ended together."""
        return all(
            self._count_away(stage) + n <= self._max_away(stage)
            for stage, n in self._count_here(belief).items()
        )

    def _max_away(self, stage: Stage) -> int:
        record = self._dispatcher.job_by_id[stage[0]]
        return record.job.steps[stage[2]].max_away

    def _count_away(self, stage: Stage) -> int:
        """Return how many tasks of the step are not surely at work."""
        record = self._dispatcher.job_by_id[stage[0]]
        tasks = record.tasks_by_stage[stage[1], stage[2]]
        return sum(not self._is_settled_task(task.text) for task in tasks)

    def _is_settled_task(self, task: str) -> bool:
        runs = self._dispatcher.runs_by_task.get(task, [])
        return any(self._is_settled_run(run) for run in runs)

    def _is_settled_run(self, run: Run) -> bool:
        belief = self._dispatcher.worker_by_id[run.worker_id]
        if run.task.phase is not TaskPhase.PLACED or run.percent < AT_WORK_PERCENT:
            return False
        if run.is_evacuated or self._is_under_order(belief.vm_id):
            return False
        at_work_seconds = belief.contact_at - run.progressed_at
        return at_work_seconds >= self._bounds.away_notice

    # Moves.

    def _plan_moves(self, now: float) -> Iterator[VmOrder]:
        pools = self._pool_views(now)
        if not any(pool.is_spare for pool in pools.values()):
            return
        wave_vms = {
            vm_id
            for state in self.wave_by_number.values()
            for vm_id in state.wave.vm_ids
            if vm_id not in state.begun
        }
        idle = [
            IdleVm(
                vm_id, vm.pool, now - self._idle_since_by_vm[vm_id], self._is_off(vm)
            )
            for vm_id, vm in self._vm_by_id.items()
            if vm_id in self._idle_since_by_vm
            and self._is_up(vm)
            and vm_id not in self._reserved
            and (vm_id not in wave_vms or self._is_off(vm))
        ]
        for move in choose_moves(pools, idle):
            yield self._order_move(move, pools, now)

    def _order_move(
        self, move: PoolMove, pools: Mapping[str, PoolView], now: float
    ) -> VmOrder:
        vm = self._vm_by_id[move.vm_id]
        belief = self._worker_on(move.vm_id)
        if belief is not None:
            belief.is_reserved = True
        log_event(
            logger,
            "vm moves",
            vm=move.vm_id,
            pool=move.pool,
            from_pool=vm.pool,
            busy_cores=round(pools[move.pool].busy_cores, 1),
            waiting_cores=round(pools[move.pool].waiting_cores, 1),
            n_vms=pools[move.pool].n_vms,
            own_vms=pools[move.pool].own_vms,
            may_rest=pools[move.pool].may_rest,
            from_may_rest=pools[vm.pool].may_rest,
            list_age_seconds=round(now - self._listed_at, 2),
        )
        return VmOrder(move.vm_id, 0, move.pool)

    def _pool_views(self, now: float) -> dict[str, PoolView]:
        busy, waiting = self._cores_by_pool()
        n_vms: dict[str, int] = {}
        cores: dict[str, float] = {}
        for vm in self._vm_by_id.values():
            pending = self._pending_by_vm.get(vm.vm_id)
            pool = pending.order.pool if pending and pending.order.pool else vm.pool
            is_down = vm.state is VmState.DOWN or vm.vm_id in self._reserved
            if is_down:
                continue
            n_vms[pool] = n_vms.get(pool, 0) + 1
            cores[pool] = cores.get(pool, 0.0) + vm.capacity.cores
        mean_cores = sum(cores.values()) / max(1, sum(n_vms.values()))
        return {
            name: PoolView(
                name=name,
                is_spare=pool.is_spare,
                busy_cores=busy.get(name, 0.0),
                waiting_cores=waiting.get(name, 0.0),
                vm_cores=cores[name] / n_vms[name] if n_vms.get(name) else mean_cores,
                own_vms=self._own_vms_by_pool.get(name, 0),
                n_vms=n_vms.get(name, 0),
                may_rest=self._turns.may_rest(name, now, self._bounds.move),
                is_busy=self._turns.is_busy(name),
            )
            for name, pool in self._dispatcher.configuration.pool_by_name.items()
        }

    def _cores_by_pool(self) -> tuple[dict[str, float], dict[str, float]]:
        """Return the cores of what runs, and of what could start, by pool."""
        busy: dict[str, float] = {}
        for belief in self._dispatcher.worker_by_id.values():
            pool = belief.listed.pool
            busy[pool] = busy.get(pool, 0.0) + belief.used.cores
        waiting: dict[str, float] = {}
        for record in self._dispatcher.job_by_id.values():
            queue = self._dispatcher.queue_of(record)
            if queue is None or record.is_closing:
                continue
            cores = sum(
                task.step.need.cores
                for stage in record.ready_stages()
                for task in record.tasks_by_stage[stage]
                if task.phase is TaskPhase.WAITING and not task.step.is_filler
            )
            waiting[queue.pool] = waiting.get(queue.pool, 0.0) + cores
        return busy, waiting


def _count_own_vms(vms: Sequence[FleetVm]) -> dict[str, int]:
    n_by_pool: dict[str, int] = {}
    for vm in vms:
        n_by_pool[vm.pool] = n_by_pool.get(vm.pool, 0) + 1
    return n_by_pool
