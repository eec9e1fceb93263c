"""A fleet of VMs each of which has room for one large lasting task."""

from ...policy.resources import Resources
from ...policy.turns import PoolMemory
from ...ports.fleet_vms import FleetVm, VmState
from ..dispatch.task import TaskPhase
from ..vms.vm_inventory import VmBounds
from ..vms.vm_planner import VmPlanner
from .builders import POOL, Fleet, make_job, make_step, make_worker

BOUNDS = VmBounds(upkeep=2.0, move=1.5, order_gap=3.0)
VM_CAPACITY = Resources(64.0, 128.0, 0)
LARGE_NEED = Resources(8.0, 90.0, 0)
"""An eighth of a VM's cores, but most of its memory."""

RESTING = PoolMemory(None, 5.0)
BEFORE_TURN = PoolMemory(None, None)
IN_TURN = PoolMemory(0.5, None)


class LargeTaskFleet(Fleet):
    """A fleet of VMs each of which has room for one large lasting task.

    Args:
        n_workers: VMs that are on, each with a running task.
        n_off: VMs that are off.
        phase: turns of the pool so far.
        own_vms: VMs of the pool when none are lent or switched off.
        off_labels: labels of the VMs that are off.
        **configuration: see `make_configuration`.
    """

    def __init__(
        self,
        n_workers,
        n_off,
        phase,
        own_vms=8,
        off_labels=("a", "r9"),
        **configuration,
    ):
        workers = [make_worker(f"w{i}", capacity=VM_CAPACITY) for i in range(n_workers)]
        super().__init__(workers, **configuration)
        self.vms = [self._vm(f"m{i}", POOL, f"w{i}") for i in range(n_workers)]
        self.vms += [self._vm(f"off{i}", "off", "", off_labels) for i in range(n_off)]
        self.vm_planner = VmPlanner(self.dispatcher, BOUNDS)
        self.vm_planner.mover.restore_own_vms({POOL: own_vms})
        self.list_vms()
        self.vm_planner.mover.turns.restore({POOL: phase}, None, self.now)

    @staticmethod
    def _vm(vm_id, pool, worker_id, labels=("a", "r1")):
        return FleetVm(vm_id, pool, VmState.UP, "z", labels, VM_CAPACITY, worker_id)

    def list_vms(self) -> None:
        self.vm_planner.update_vms(self.vms, self.now)
        self.dispatcher.update_vms(self.vms, self.now, self.now)

    def lose_vms(self, n_vms: int) -> None:
        """Take the first VMs of the pool down for good."""
        for index in range(n_vms):
            lost = self.vms[index]
            self.vms[index] = lost._replace(state=VmState.DOWN, worker_id="")
            del self.running_by_worker[lost.worker_id]
        self.workers = self.workers[n_vms:]
        self.dispatcher.update_workers(self.workers, self.now, self.now)

    def finish_moves(self, orders) -> None:
        """Carry out moves to the pool; each VM comes back with a new worker."""
        for order in orders:
            worker_id = f"w-{order.vm_id}"
            index = next(i for i, v in enumerate(self.vms) if v.vm_id == order.vm_id)
            vm = self.vms[index]._replace(pool=order.pool, worker_id=worker_id)
            self.vms[index] = vm
            self.vm_planner.on_done(order, self.now)
            self.running_by_worker[worker_id] = {}
            self.ended_by_worker[worker_id] = []
            self.workers.append(
                make_worker(worker_id, capacity=VM_CAPACITY, labels=vm.labels)
            )
        self.list_workers()

    def step(self, seconds: float = 0.25) -> list:
        self.advance(seconds)
        self.poll_all()
        self.list_vms()
        return self.vm_planner.plan(self.now)


def make_lasting_job(n_tasks, **fields):
    values = {"need": LARGE_NEED, "is_lasting": True, "max_away": 2, **fields}
    return make_job(steps=[make_step(n_tasks, **values)])


def fleet_after_loss(phase, n_lost=4, n_off=8, step_fields=None, **fields):
    fleet = LargeTaskFleet(8, n_off, phase, **fields)
    fleet.dispatcher.add_job(make_lasting_job(8, **(step_fields or {})), fleet.now)
    assert len(fleet.start()) == 8
    fleet.advance(2.0)
    fleet.poll_all()
    fleet.lose_vms(n_lost)
    fleet.list_vms()
    waiting = [
        task
        for record in fleet.dispatcher.job_by_id.values()
        for task in record.all_tasks()
        if task.phase is TaskPhase.WAITING
    ]
    assert len(waiting) >= n_lost
    return fleet
