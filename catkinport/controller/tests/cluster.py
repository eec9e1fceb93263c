"""Pools with in-memory workers, a fake membership and a clock that tests advance."""

from collections.abc import Callable

from ...entry.callers import AuthorizedRequest
from ...entry.job_requests import build_job
from ...fleet.fence import Fence
from ...fleet.operations import register_vm
from ...membership.interface import MemberRecord, MembershipSnapshot
from ...ports import ListedVm, ManualClock, Table, VmStatus, Write
from ...ports.table import Transaction
from ...runtime import Metrics
from ...settings.environment import Environment, Maintenance, Pool, Queue, Team
from ...standins import MemoryTable, MemoryVmList, MemoryWorkers
from ...state import GENERATION, job_key, owner_key
from ..ownership import Ownership
from ..pool_manager import PoolManager
from ..services import Services, run_serially

JOB_BODY = {"command": "sleep", "cores": 4, "memory_gb": 8, "run_seconds": 20}
UNIX_START = 1_800_000_000.0


class FakeMembership:
    """Membership whose snapshot a test sets."""

    def __init__(self, member_id: str, environment: Environment, cluster) -> None:
        self.member_id = member_id
        self.environment = environment
        self.cluster = cluster
        self.lease_expires_at = float("inf")

    def snapshot(self) -> MembershipSnapshot:
        rows = self.cluster.table.read([GENERATION])
        generation = rows[GENERATION].value["generation"] if rows else 0
        return MembershipSnapshot(
            self.member_id,
            self.lease_expires_at,
            1,
            self.environment,
            "",
            generation,
            self.cluster.member_by_id,
            True,
        )


class Cluster:
    """VMs, pools, jobs and the services of their managers, all in memory.

    Args:
        max_cores: upper limit of each of the teams ``a`` and ``b``, in cores.
        max_unavailable: availability budget of each pool.
        pools: names of the pools; each has a queue of the same name.
        wrap_table: wraps the table that managers use, to inject faults.
    """

    def __init__(
        self,
        max_cores: int = 1000,
        max_unavailable: int = 2,
        pools: tuple[str, ...] = ("p",),
        wrap_table: Callable[[MemoryTable], Table] = lambda table: table,
    ) -> None:
        self.clock = ManualClock(1000.0)
        self.table = MemoryTable()
        self.manager_table = wrap_table(self.table)
        self.vm_list = MemoryVmList(self.clock)
        self.workers = MemoryWorkers(self.clock)
        self.member_by_id: dict[str, MemberRecord] = {}
        teams = {name: Team(name, 1.0, 10, max_cores) for name in ("a", "b")}
        queues = {n: Queue(n, False, False, "", n, (), "") for n in pools}
        pool_by_name = {n: Pool(n, max_unavailable, False, 0) for n in pools}
        maintenance = Maintenance(56.0, 60.0, 60.0)
        self.environment = Environment(
            teams, {}, {}, {}, {}, queues, pool_by_name, maintenance
        )

    def add_member(self, member_id: str, is_evicted: bool = False) -> None:
        self.member_by_id[member_id] = MemberRecord(
            member_id, "controller", "", "", "z", is_evicted
        )

    def membership(self, member_id: str) -> FakeMembership:
        return FakeMembership(member_id, self.environment, self)

    def services(self, membership: FakeMembership) -> Services:
        return Services(
            self.manager_table,
            self.vm_list,
            self.workers,
            membership,
            self.clock,
            lambda: UNIX_START + self.clock.now(),
            Metrics(),
            run_serially,
        )

    def add_owner(self, pool: str = "p", member_id: str = "c-1") -> PoolManager:
        """Make a controller the owner of a pool and return its manager."""
        rows = self.table.read([owner_key(pool)])
        epoch = rows[owner_key(pool)].value["epoch"] + 1 if rows else 1
        value = {"member_id": member_id, "epoch": epoch}
        outcome = self.table.commit(Transaction([], [Write(owner_key(pool), value)]))
        version = outcome.versions_by_row_key[owner_key(pool)]
        ownership = Ownership(pool, member_id, epoch, Fence(pool, version))
        membership = self.membership(member_id)
        manager = PoolManager(
            self.services(membership), ownership, membership.snapshot()
        )
        self._update_vm_list(manager)
        return manager

    def add_vm(self, vm_id: str, pool: str = "p", rack: str = "r", cores: float = 8.0):
        listed = ListedVm(
            vm_id, VmStatus.LIVE, "z", rack, f"w-{vm_id}", "", "1", cores, 64.0, 0
        )
        self.vm_list.put(listed._asdict())
        register_vm(self.table, listed, pool, f"register-{vm_id}", UNIX_START)

    def set_status(self, vm_id: str, status: VmStatus) -> None:
        vm_by_id = {vm.vm_id: vm for vm in self.vm_list.list_vms()}
        self.vm_list.put({**vm_by_id[vm_id]._asdict(), "status": status})

    def submit(self, job_id: str, queue: str = "p", **changes) -> None:
        environment = self.environment
        team, entered = environment.team_by_name["a"], Queue(queue, *[None] * 6)
        authorized = AuthorizedRequest(team, "", entered, environment, "", "")
        now = UNIX_START + self.clock.now()
        row = build_job(JOB_BODY, authorized, now) | {"is_urgent": False} | changes
        self.write_job(job_id, queue, row)

    def write_job(self, job_id: str, queue: str, row) -> None:
        self.table.commit(Transaction([], [Write(job_key(queue, job_id), dict(row))]))

    def cancel(self, job_id: str, queue: str = "p") -> None:
        row = {**self.job(job_id, queue), "is_cancel_requested": True}
        self.write_job(job_id, queue, row)

    def job(self, job_id: str, queue: str = "p"):
        return self.table.read([job_key(queue, job_id)])[job_key(queue, job_id)].value

    def run(self, *managers: PoolManager, seconds: float, period: float = 0.5):
        """Step the managers every ``period`` until ``seconds`` have passed."""
        for _ in range(round(seconds / period)):
            for manager in managers:
                self._update_vm_list(manager)
                manager.step()
            self.clock.advance(period)

    def _update_vm_list(self, manager: PoolManager) -> None:
        manager.set_listed_vms({vm.vm_id: vm for vm in self.vm_list.list_vms()})
