"""VMs of the stand-in: each runs one incarnation of a worker at a time."""

import base64
import json
from collections.abc import Callable, Iterator
from string import ascii_lowercase
from typing import Any, NamedTuple

from ...policy.resources import Resources
from ...ports.fleet_vms import VmState
from .rows import StoreKey
from .store_server import StoreServer
from .worker_incarnation import RunEvent, WorkerIncarnation

HEARTBEAT_SECONDS = 1.0
"""Time between two heartbeats of a worker."""

SILENT_HEARTBEATS = 3
"""Number of missed heartbeats after which the store removes a worker's entry."""

MOVE_SECONDS = 0.5
"""Time that a move takes; shorter than on the platform, to keep tests fast."""

UPKEEP_SECONDS = 0.5
"""Time that the maintenance of a VM takes."""

MAX_LEASE_SECONDS = 6.0
"""Longest lease that a worker grants, unless the size of the stand-in says another."""

SPARE_POOL = "spare"
"""Pool whose VMs are off."""

VMS_PER_RACK = 4
"""Number of VMs in a rack."""


class FleetSize(NamedTuple):
    """Number and size of the pools and VMs of a stand-in; VMs are counted per pool.

    Args:
        n_pools: number of pools.
        n_vms: number of VMs in each pool.
        n_spare_vms: number of VMs that are off.
        cores: cores of each VM.
        move_seconds: time that a move of a VM takes; 0 for `MOVE_SECONDS`.
        upkeep_seconds: time that an upkeep takes; 0 for `UPKEEP_SECONDS`.
        n_zones: number of availability zones, 26 at most, which the VMs are in by
            turns.
        max_lease_seconds: longest lease that a worker grants.
    """

    n_pools: int = 2
    n_vms: int = 4
    n_spare_vms: int = 2
    cores: float = 16.0
    move_seconds: float = 0.0
    upkeep_seconds: float = 0.0
    n_zones: int = 1
    max_lease_seconds: float = MAX_LEASE_SECONDS

    def pool_of_each_vm(self) -> Iterator[str]:
        """Yield the initial pool of each VM."""
        for number in range(self.n_pools):
            yield from [f"pool-{number}"] * self.n_vms
        yield from [SPARE_POOL] * self.n_spare_vms


class Crash(NamedTuple):
    """How a VM's worker crashes.

    Args:
        down_seconds: time for which the VM is down.
        keeps_id: whether the next incarnation starts under the same id.
        is_dark: whether the whole VM is gone at once, so that its clients notice the
            end of their connections only when they use them again.
    """

    down_seconds: float
    keeps_id: bool = False
    is_dark: bool = False


class MisdirectedCall(NamedTuple):
    """A call that a worker has carried out with a value of a former incarnation.

    Args:
        at: time in seconds.
        path: path of the call.
        worker: id of the worker.
        born: start of the incarnation that has carried it out, in milliseconds.
        lease_seconds: time from its present clock to the end of the lease; 0 if the
            call has no lease.
        last_seen: number up to which the call acknowledges ends; 0 for none.
        n_listed: highest number of an end that the incarnation has listed.
        is_late: whether the order was carried out late.
    """

    at: float
    path: str
    worker: str
    born: int
    lease_seconds: float
    last_seen: int
    n_listed: int
    is_late: bool


class StandinVm:
    """A VM and the current incarnation of its worker.

    Attributes:
        vm_id: id of the VM.
        pool: name of its pool.
        rack: label of its rack.
        zone: its availability zone.
        address: ``host:port`` of its worker.
        instance: current incarnation of its worker; ``None`` while no worker runs.
        ready_at: time in seconds at which the VM is up again; 0 if none is due.
        state: state in the platform's list.
        maintained: numbers of the waves in which it was maintained.
        kept_id: id under which its next worker starts; empty for a new one.
        is_silent: whether its worker runs on but neither answers calls nor sends
            heartbeats.
        cold_until: time in seconds until which its worker says that it is slow.
        on_crash: called when its worker crashes, with whether the VM is dark.
        held_paths: paths of the calls that are held up on their way until the next
            incarnation is up.
        crash_at_held_call: crash that the first of these calls brings about; ``None``
            for none.
    """

    def __init__(self, vm_id: str, pool: str, rack: str, zone: str) -> None:
        self.vm_id = vm_id
        self.pool = pool
        self.rack = rack
        self.zone = zone
        self.address = ""
        self.instance: WorkerIncarnation | None = None
        self.ready_at = 0.0
        self.state = VmState.UP
        self.maintained: set[int] = set()
        self.kept_id = ""
        self.is_silent = False
        self.cold_until = 0.0
        self.on_crash: Callable[[bool], None] = lambda is_dark: None
        self.held_paths: frozenset[str] = frozenset()
        self.crash_at_held_call: Crash | None = None


class VmFleet:
    """All VMs and their workers.

    Args:
        store: server of the store in which workers register.
        size: number and size of pools and VMs.
        now: returns the time in seconds.
    """

    def __init__(
        self, store: StoreServer, size: FleetSize, now: Callable[[], float]
    ) -> None:
        self._store = store
        self._now = now
        self._size = size
        self._n_instances = 0
        self._heartbeat_at_by_worker: dict[str, float] = {}
        self.events: list[RunEvent] = []
        self.misdirected_calls: list[MisdirectedCall] = []
        self.vm_by_id: dict[str, StandinVm] = {}
        for number, pool in enumerate(size.pool_of_each_vm()):
            rack = f"r{number // VMS_PER_RACK}"
            zone = f"zone-{ascii_lowercase[number % size.n_zones]}"
            vm = StandinVm(f"m-{number}", pool, rack, zone)
            self.vm_by_id[vm.vm_id] = vm

    def start_workers(self) -> None:
        """Start a worker on each VM outside the spare pool."""
        for vm in self.vm_by_id.values():
            if vm.pool != SPARE_POOL:
                self._start_instance(vm)

    def tick(self) -> None:
        """Advance the runs, send heartbeats and start the workers that are due."""
        now = self._now()
        for vm in self.vm_by_id.values():
            if vm.ready_at and now >= vm.ready_at:
                vm.ready_at = 0.0
                vm.state = VmState.UP
                if vm.pool != SPARE_POOL:
                    self._start_instance(vm)
            if vm.instance is not None:
                vm.instance.advance(now)
                if not vm.is_silent:
                    self._send_heartbeat(vm, now)
        self._remove_silent_workers(now)

    def list_vms(self) -> list[dict[str, Any]]:
        """Return the VMs as the platform's list holds them."""
        return [
            {
                "Machine": vm.vm_id,
                "Pool": vm.pool,
                "State": vm.state.value,
                "Zone": vm.zone,
                "Labels": ["a", vm.rack],
                "Capacity": self._capacity(),
                "Id": vm.instance.worker_id if vm.instance else "",
            }
            for vm in self.vm_by_id.values()
        ]

    def move(self, vm_id: str, pool: str) -> bool:
        """Move a VM to another pool; return ``False`` if it is not up."""
        vm = self.vm_by_id[vm_id]
        if vm.pool == pool:
            return True
        if vm.state is not VmState.UP:
            return False
        self._end_instance(vm)
        vm.pool = pool
        vm.state = VmState.MOVING
        vm.ready_at = self._now() + (self._size.move_seconds or MOVE_SECONDS)
        return True

    def maintain(self, vm_id: str, wave: int) -> bool:
        """Take a VM down for maintenance; return ``False`` if it is not up."""
        vm = self.vm_by_id[vm_id]
        if wave in vm.maintained:
            return True
        if vm.state is not VmState.UP:
            return False
        vm.maintained.add(wave)
        self._end_instance(vm)
        vm.state = VmState.UPKEEP
        vm.ready_at = self._now() + (self._size.upkeep_seconds or UPKEEP_SECONDS)
        return True

    def crash(self, vm_id: str, crash: Crash) -> None:
        """End a VM's worker; another incarnation starts after a time."""
        vm = self.vm_by_id[vm_id]
        if vm.instance is not None:
            vm.kept_id = vm.instance.worker_id if crash.keeps_id else ""
        self._end_instance(vm)
        vm.on_crash(crash.is_dark or vm.is_silent)
        vm.state = VmState.DOWN
        vm.ready_at = self._now() + crash.down_seconds

    def _start_instance(self, vm: StandinVm) -> None:
        self._n_instances += 1
        worker_id = vm.kept_id or f"i-{vm.vm_id}-{self._n_instances}"
        vm.kept_id = ""
        vm.held_paths = frozenset()
        vm.crash_at_held_call = None
        vm.instance = WorkerIncarnation(
            worker_id,
            Resources(self._size.cores, 64.0, 0),
            int(self._now() * 1000),
            self.events,
            self._size.max_lease_seconds,
        )
        self._heartbeat_at_by_worker.pop(worker_id, None)
        self._send_heartbeat(vm, self._now())

    def _end_instance(self, vm: StandinVm) -> None:
        if vm.instance is None:
            return
        vm.instance.end_all("gone", self._now())
        # The worker's entry stays in the store until heartbeats have been missed, as a
        # worker that ends sends nothing.
        vm.instance = None

    def _send_heartbeat(self, vm: StandinVm, now: float) -> None:
        instance = vm.instance
        assert instance is not None
        sent_at = self._heartbeat_at_by_worker.get(instance.worker_id)
        if sent_at is not None and now - sent_at < HEARTBEAT_SECONDS:
            return
        self._heartbeat_at_by_worker[instance.worker_id] = now
        entry = {
            "Service": vm.pool,
            "Address": vm.address,
            "Zone": vm.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": max(0, int((vm.cold_until - now) * 1000)),
            "Sequence": int(now * 1000),
            "Capacity": self._capacity(),
            "Labels": ["a", vm.rack],
            "born": instance.born,
        }
        key = StoreKey("servers", "", instance.worker_id)
        self._store.write(key, encode_value(entry))

    def _remove_silent_workers(self, now: float) -> None:
        longest = SILENT_HEARTBEATS * HEARTBEAT_SECONDS
        for worker_id, sent_at in list(self._heartbeat_at_by_worker.items()):
            if now - sent_at > longest:
                del self._heartbeat_at_by_worker[worker_id]
                self._store.write(StoreKey("servers", "", worker_id), None)

    def _capacity(self) -> dict[str, float]:
        return {"Cpu": self._size.cores * 1000, "MemMb": 65536, "Gpu": 0}


def encode_value(value: dict[str, Any]) -> str:
    """Encode a value as the store keeps it: JSON in base64."""
    return base64.b64encode(json.dumps(value).encode()).decode()


def decode_value(text: str) -> dict[str, Any]:
    """Decode a value that the store keeps."""
    return json.loads(base64.b64decode(text))
