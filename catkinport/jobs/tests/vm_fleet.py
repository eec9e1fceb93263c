"""A fleet of VMs for tests of waves of upkeep and moves between pools."""

from ...policy.resources import Resources
from ...ports.fleet_vms import FleetVm, UpkeepWave, VmState
from ..vms.vm_inventory import VmBounds
from ..vms.vm_planner import VmPlanner
from .builders import POOL, Fleet, make_worker

BOUNDS = VmBounds(upkeep=2.0, move=1.5, order_gap=3.0)
CAPACITY = Resources(16.0, 256.0, 0)
NEXT_STARTED_AT = 2.0
"""Unix time in seconds at which the worker starts that takes another's place."""


class VmFleet(Fleet):
    """A fleet whose workers run on listed VMs."""

    def __init__(self, n_workers: int, n_off: int = 0) -> None:
        super().__init__([make_worker(f"w{i}") for i in range(n_workers)])
        self.vms = [self._vm(f"m{i}", POOL, f"w{i}") for i in range(n_workers)]
        self.vms += [self._vm(f"off{i}", "off", "") for i in range(n_off)]
        self.vm_planner = VmPlanner(self.dispatcher, BOUNDS)
        self.list_vms()

    @staticmethod
    def _vm(vm_id, pool, worker_id):
        return FleetVm(vm_id, pool, VmState.UP, "z", (), CAPACITY, worker_id)

    def add_vm(self, vm_id: str, worker_id: str) -> None:
        """Add a VM without tasks to the pool."""
        self.workers.append(make_worker(worker_id))
        self.running_by_worker[worker_id] = {}
        self.ended_by_worker[worker_id] = []
        self.vms.append(self._vm(vm_id, POOL, worker_id))
        self.list_workers()
        self.list_vms()

    def poll(self, worker_id: str, started_at: float = 1.0) -> None:
        """Poll a worker; a listed one has the time of start that the list has."""
        listed = {worker.worker_id: worker.started_at for worker in self.workers}
        super().poll(worker_id, listed.get(worker_id, started_at))

    def replace_worker(self, vm_id: str, worker_id: str, is_vm_listed=True) -> None:
        """Let a new worker start on a VM and report to the owner.

        Args:
            vm_id: id of the VM.
            worker_id: id of the new worker, which may be that of the former one.
            is_vm_listed: whether the list of VMs shows the new worker.
        """
        number = int(vm_id[1:])
        former_id = self.workers[number].worker_id
        self.workers[number] = make_worker(worker_id, started_at=NEXT_STARTED_AT)
        for by_worker in (self.running_by_worker, self.ended_by_worker):
            del by_worker[former_id]
        self.running_by_worker[worker_id] = {}
        self.ended_by_worker[worker_id] = []
        self.list_workers()
        if is_vm_listed:
            self.change_vm(vm_id, pool=POOL, worker_id=worker_id)

    def change_vm(self, vm_id: str, **changes) -> None:
        """Let the platform's list show changes of a VM."""
        number = int(vm_id[1:])
        self.vms[number] = self.vms[number]._replace(**changes)
        self.list_vms()

    def list_vms(self) -> None:
        self.vm_planner.update_vms(self.vms, self.now)
        self.dispatcher.update_vms(self.vms, self.now, self.now)

    def request_wave(self, vm_ids, max_down=5) -> None:
        self.vm_planner.add_wave(UpkeepWave(1, vm_ids, 20.0, max_down), self.now)

    def step(self, seconds: float = 0.25) -> list:
        self.advance(seconds)
        for worker_id in list(self.running_by_worker):
            if worker_id in self.dispatcher.worker_by_id:
                self.poll(worker_id)
        self.list_vms()
        return self.vm_planner.plan(self.now)

    def make_lasting_tasks_available(self) -> None:
        """Report all started tasks as ready for long enough to count as available."""
        for running in self.running_by_worker.values():
            for key, entry in running.items():
                running[key] = entry._replace(percent=100.0)
        for _ in range(4):
            self.advance(0.3)
            self.poll_all()
        self.list_vms()
