"""Decides which VMs move between pools as the demand for the pools changes.

A pool's turn is a period in which its queues ask for much more than on average. After
it the pool rests, which means that its idle VMs may move to other pools or be switched
off.
"""

import logging
from collections.abc import Iterator, Mapping, Sequence, Set

from ...policy.pool_size import (
    BusyVm,
    IdleVm,
    PoolMove,
    PoolView,
    apply_moves,
    choose_moves,
    choose_vms_to_cordon,
    find_lendable_vms,
    wanted_vms,
)
from ...policy.turns import TurnTracker
from ...ports.fleet_vms import FleetVm, VmState
from ...runtime.logs import log_event
from ..dispatch.dispatcher import Dispatcher
from ..workers.run import Run
from ..workers.worker_state import WorkerRecord
from .lasting_room import LastingPlan, LastingRoom
from .lasting_waits import LastingWait, LastingWaits
from .order_targets import VmOrder
from .pool_demand import PoolDemand, measure_demand
from .pool_report import PoolReporter, make_report
from .vm_inventory import VmInventory

logger = logging.getLogger(__name__)


class PoolMover:
    """Planner of the moves of VMs between pools.

    Args:
        dispatcher: jobs and workers.
        inventory: VMs and the orders for them.

    Attributes:
        turns: tracker of the turns of all pools.
        lasting_room: planner of the VMs for lasting tasks.
        lasting_waits: lasting tasks that wait for a worker.
        released_vms: reserved VMs that, by the latest plan, have the only room for a
            lasting task that waits.
    """

    def __init__(self, dispatcher: Dispatcher, inventory: VmInventory) -> None:
        self._dispatcher = dispatcher
        self._inventory = inventory
        self._own_vms_by_pool: dict[str, int] = {}
        self.turns = TurnTracker({})
        self._phase_by_pool: dict[str, str] = {}
        self.lasting_waits = LastingWaits(dispatcher)
        self.lasting_room = LastingRoom(dispatcher, inventory)
        self.released_vms: frozenset[str] = frozenset()
        self._reporter = PoolReporter()

    @property
    def own_vms_by_pool(self) -> Mapping[str, int]:
        """Number of VMs of each pool while none are in another pool or switched off."""
        return self._own_vms_by_pool

    def restore_own_vms(self, n_by_pool: Mapping[str, int]) -> None:
        """Restore `own_vms_by_pool` as an earlier owner stored it."""
        self._own_vms_by_pool = dict(n_by_pool)
        self._update_own_cores()

    def update_vms(self, vms: Sequence[FleetVm]) -> None:
        """Count `own_vms_by_pool` in the platform's list if it is not known yet."""
        if not self._own_vms_by_pool:
            for vm in vms:
                n_vms = self._own_vms_by_pool.get(vm.pool, 0)
                self._own_vms_by_pool[vm.pool] = n_vms + 1
        self._update_own_cores()

    def _update_own_cores(self) -> None:
        # A new owner restores the numbers of VMs before it has a list, so the mean is
        # 0 until then.
        cores = [vm.capacity.cores for vm in self._inventory.vm_by_id.values()]
        mean_cores = sum(cores) / max(1, len(cores))
        for pool, n_vms in self._own_vms_by_pool.items():
            self.turns.set_own_cores(pool, n_vms * mean_cores)

    def note_work(self, pool: str, core_seconds: float, now: float) -> None:
        """Record that a job with ``core_seconds`` of work for a pool has arrived."""
        self.turns.add_arrival(pool, core_seconds, now)

    def is_busy(self, pool: str) -> bool:
        """Return whether the pool has its turn, the peak of demand of its queues."""
        return self.turns.is_busy(pool)

    def update_turns(self, now: float) -> None:
        """Begin and end turns by the latest demand, and log each change of a pool."""
        self.turns.update(now)
        for pool in self._own_vms_by_pool:
            phase = "turn" if self.turns.is_busy(pool) else "waiting"
            if self.turns.may_rest(pool, now, self._inventory.bounds.move):
                phase = "resting"
            if self._phase_by_pool.get(pool) != phase:
                self._phase_by_pool[pool] = phase
                period = self.turns.period_seconds
                log_event(
                    logger,
                    "pool phase changed",
                    pool=pool,
                    phase=phase,
                    period_seconds=round(period, 2) if period else "",
                )

    def plan(
        self,
        wave_vms: Set[str],
        now: float,
        leaving: Sequence[Run] = (),
        kept_pools: Set[str] = frozenset(),
    ) -> Iterator[VmOrder]:
        """Yield the moves to order now.

        Args:
            wave_vms: VMs that may not be moved before their upkeep.
            now: clock time in seconds.
            leaving: lasting runs to stop before the upkeep of their VM, and those in
                evacuated zones.
            kept_pools: pools whose VMs are not cordoned, as jobs wait for them.
        """
        demand_by_pool = measure_demand(self._dispatcher, now)
        pools = self._pool_views(demand_by_pool, now)
        waits_by_pool = self.lasting_waits.find(now)
        may_move = any(pool.is_spare for pool in pools.values())
        movable = [
            vm
            for vm_id, vm in self._inventory.vm_by_id.items()
            if may_move
            and self._inventory.is_up(vm)
            and vm_id not in self._inventory.reserved
            and not self._inventory.is_evacuated(vm)
            and not self._inventory.is_refused_lately(vm_id, now)
            and (vm_id not in wave_vms or self._inventory.is_off(vm))
        ]
        self._report_pools(pools, demand_by_pool, waits_by_pool, movable, now)
        idle_vms = [
            self._idle_vm(vm, now)
            for vm in movable
            if vm.vm_id in self._inventory.idle_since_by_vm
        ]
        lasting = self._plan_lasting(pools, idle_vms, waits_by_pool, leaving, now)
        self.released_vms = lasting.released_vms
        for move in lasting.moves:
            yield self._start_move(move, pools, now, is_for_lasting=True)
        source_by_vm = {vm.vm_id: vm.pool for vm in idle_vms}
        pools = apply_moves(pools, lasting.moves, source_by_vm)
        settled = lasting.kept_vms | {move.vm_id for move in lasting.moves}
        others = [vm for vm in movable if vm.vm_id not in settled]
        may_cordon = [vm for vm in others if vm.pool not in kept_pools]
        self._update_cordons(pools, may_cordon, lasting.n_missing_by_pool)
        other_idle_vms = [vm for vm in idle_vms if vm.vm_id not in settled]
        for move in choose_moves(pools, other_idle_vms):
            yield self._start_move(move, pools, now)

    def _plan_lasting(
        self,
        pools: Mapping[str, PoolView],
        idle_vms: Sequence[IdleVm],
        waits_by_pool: Mapping[str, Sequence[LastingWait]],
        leaving: Sequence[Run],
        now: float,
    ) -> LastingPlan:
        """Find room for lasting tasks, in any phase of their pool."""
        lendable = [
            self._inventory.vm_by_id[vm.vm_id]
            for vm in find_lendable_vms(pools, idle_vms)
        ]
        return self.lasting_room.plan(waits_by_pool, leaving, lendable, now)

    def _report_pools(
        self,
        pools: Mapping[str, PoolView],
        demand_by_pool: Mapping[str, PoolDemand],
        waits_by_pool: Mapping[str, Sequence[LastingWait]],
        movable: Sequence[FleetVm],
        now: float,
    ) -> None:
        n_off = sum(self._inventory.is_off(vm) for vm in movable)
        for name, pool in pools.items():
            demand = demand_by_pool[name]
            waits = waits_by_pool.get(name, ())
            is_waiting = demand.waiting_cores + demand.late_cores > 0 or bool(waits)
            if pool.is_spare or not is_waiting or not self._reporter.is_due(name, now):
                continue
            report = make_report(
                demand,
                waits,
                self._dispatcher.workers_outside_evacuations(name),
                pool.n_vms,
                wanted_vms(pool),
                n_off,
                now,
            )
            self._reporter.note(name, report, now)

    def _update_cordons(
        self,
        pools: Mapping[str, PoolView],
        movable: Sequence[FleetVm],
        n_lasting_by_pool: Mapping[str, int],
    ) -> None:
        """Choose the workers that get no new tasks, so that their VMs can move.

        Once the runs on such a VM have ended, it can move to a pool that needs it more.
        """
        busy = []
        n_free = 0
        for vm in movable:
            worker = self._inventory.worker_on(vm.vm_id)
            is_idle = vm.vm_id in self._inventory.idle_since_by_vm
            if is_idle and not (worker and worker.is_cordoned):
                n_free += 1
            elif worker is not None and not _has_lasting_task(worker):
                cores = worker.used.cores
                busy.append(BusyVm(vm.vm_id, vm.pool, cores, worker.is_cordoned))
        cordoned_ids = choose_vms_to_cordon(pools, busy, n_free, n_lasting_by_pool)
        # A VM that a wave names in the meantime may not be moved, so its worker gets
        # tasks again.
        self._set_cordons(cordoned_ids)

    def uncordon_all(self) -> None:
        """Let all workers get tasks again, as no VM can be moved now."""
        self._set_cordons(frozenset())

    def _set_cordons(self, cordoned_ids: Set[str]) -> None:
        for vm in self._inventory.vm_by_id.values():
            worker = self._inventory.worker_on(vm.vm_id)
            if worker is None or worker.is_cordoned == (vm.vm_id in cordoned_ids):
                continue
            worker.is_cordoned = vm.vm_id in cordoned_ids
            log_event(
                logger,
                "vm cordoned" if worker.is_cordoned else "vm uncordoned",
                vm=vm.vm_id,
                pool=vm.pool,
                busy_cores=round(worker.used.cores, 1),
            )

    def _idle_vm(self, vm: FleetVm, now: float) -> IdleVm:
        worker = self._inventory.worker_on(vm.vm_id)
        return IdleVm(
            vm.vm_id,
            vm.pool,
            now - self._inventory.idle_since_by_vm[vm.vm_id],
            self._inventory.is_off(vm),
            worker is not None and worker.is_cordoned,
        )

    def _start_move(
        self,
        move: PoolMove,
        pools: Mapping[str, PoolView],
        now: float,
        is_for_lasting: bool = False,
    ) -> VmOrder:
        vm = self._inventory.vm_by_id[move.vm_id]
        worker = self._inventory.worker_on(move.vm_id)
        if worker is not None:
            worker.is_reserved = True
        self.lasting_room.note_move(move.vm_id, now)
        target = pools[move.pool]
        log_event(
            logger,
            "vm moves",
            vm=move.vm_id,
            pool=move.pool,
            from_pool=vm.pool,
            for_lasting=is_for_lasting,
            busy_cores=round(target.busy_cores, 1),
            waiting_cores=round(target.waiting_cores, 1),
            late_cores=round(target.late_cores, 1),
            n_vms=target.n_vms,
            own_vms=target.own_vms,
            may_rest=target.may_rest,
            from_may_rest=pools[vm.pool].may_rest,
            list_age_seconds=round(now - self._inventory.listed_at, 2),
        )
        return VmOrder(move.vm_id, 0, move.pool)

    def _pool_views(
        self, demand_by_pool: Mapping[str, PoolDemand], now: float
    ) -> dict[str, PoolView]:
        n_vms: dict[str, int] = {}
        cores: dict[str, float] = {}
        for vm in self._inventory.vm_by_id.values():
            if vm.state is VmState.DOWN or vm.vm_id in self._inventory.reserved:
                continue
            if self._inventory.is_evacuated(vm):
                continue
            pool = self._inventory.pool_of(vm)
            n_vms[pool] = n_vms.get(pool, 0) + 1
            cores[pool] = cores.get(pool, 0.0) + vm.capacity.cores
        mean_cores = sum(cores.values()) / max(1, sum(n_vms.values()))
        return {
            name: PoolView(
                name=name,
                is_spare=pool.is_spare,
                busy_cores=demand_by_pool[name].busy_cores,
                waiting_cores=demand_by_pool[name].waiting_cores,
                vm_cores=cores[name] / n_vms[name] if n_vms.get(name) else mean_cores,
                own_vms=self._own_vms_by_pool.get(name, 0),
                n_vms=n_vms.get(name, 0),
                may_rest=self.turns.may_rest(name, now, self._inventory.bounds.move),
                is_busy=self.turns.is_busy(name),
                urgent_cores=demand_by_pool[name].urgent_cores,
                late_cores=demand_by_pool[name].late_cores,
            )
            for name, pool in self._dispatcher.configuration.pool_by_name.items()
        }


def _has_lasting_task(worker: WorkerRecord) -> bool:
    return any(run.task.step.is_lasting for run in worker.run_by_key.values())
