"""Manages the jobs and VMs of one pool while this controller owns it."""

from collections.abc import Mapping
from typing import cast

from ..membership.interface import MembershipSnapshot
from ..ports import ListedVm, VmList
from .allowances import AllowanceManager
from .drains import DrainCoordinator
from .job_cache import JobCache
from .lease_guards import GuardedTable, GuardedVmList, GuardedWorkers
from .leases import LeaseManager
from .maintenance import MaintenanceScheduler
from .outcomes import OutcomeCommitter, update_health
from .ownership import Ownership
from .placement_rounds import PlacementRound
from .pool_state import PoolState
from .services import Services
from .sizes import SizeEstimator
from .task_starts import TaskStarter
from .vm_monitor import VmMonitor
from .vm_records import VmRecords


class PoolManager:
    """Runs the jobs and the VMs of one pool, one bounded step at a time.

    Nothing is written and no worker is called unless the freshness lease of the
    controller that owns the pool runs.

    Args:
        services: clients and shared objects of the process.
        ownership: ownership of the pool.
        snapshot: view of the cluster at the start; it must have a configuration.
    """

    def __init__(
        self,
        services: Services,
        ownership: Ownership,
        snapshot: MembershipSnapshot,
    ) -> None:
        if snapshot.environment is None:
            raise ValueError("snapshot must have an environment, got none")
        self._membership = services.membership
        self._clock = services.clock
        self._ownership = ownership
        guarded = services._replace(
            table=GuardedTable(services.table, self._is_lease_held),
            workers=GuardedWorkers(services.workers, self._is_lease_held),
            vm_list=cast(VmList, GuardedVmList(services.vm_list, self._is_lease_held)),
        )
        self.state = PoolState(ownership, snapshot.environment, JobCache(guarded.table))
        self.state.taken_at = self._clock.now()
        self._services = guarded
        self._records = VmRecords(guarded, self.state)
        self._vm_monitor = VmMonitor(guarded, self.state, self._records)
        sizes = SizeEstimator()
        self._leases = LeaseManager(guarded, self.state, sizes)
        self._outcomes = OutcomeCommitter(guarded, self.state)
        self._allowances = AllowanceManager(guarded, self.state)
        self._round = PlacementRound(
            guarded, self.state, self._leases, self._allowances, sizes
        )
        self._starter = TaskStarter(guarded, self.state)
        self._drains = DrainCoordinator(guarded, self.state, self._records)
        self._maintenance = MaintenanceScheduler(guarded, self.state, self._records)
        self._scan_seconds = services.timing.scan_seconds
        self._next_scan_at = 0.0

    def set_listed_vms(
        self,
        listed_by_vm: Mapping[str, ListedVm],
        requested_at: float | None = None,
    ) -> None:
        """Replace the VM list by the one that was read last.

        Args:
            listed_by_vm: the list.
            requested_at: time at which it was requested, in seconds on the clock of the
                process; ``None`` for now.
        """
        self.state.listed_by_vm = listed_by_vm
        if requested_at is None:
            requested_at = self._clock.now()
        self.state.listed_at = requested_at

    def notice_job(self, queue: str, job_id: str) -> None:
        """Have a new or cancelled job read in the next step."""
        self.state.job_cache.request_read(queue, job_id)

    def step(self) -> bool:
        """Do one step; return whether this controller still owns the pool.

        The step is skipped while the freshness lease does not run or after another
        controller has taken the pool over.
        """
        snapshot = self._membership.snapshot()
        if not self._is_lease_held() or not self.state.is_owner:
            return self.state.is_owner
        if snapshot.environment is not None:
            self.state.environment = snapshot.environment
        self._records.refresh(snapshot.generation)
        self._refresh_jobs()
        if not self.state.job_cache.is_loaded or not self._records.is_loaded:
            return self.state.is_owner
        self._run_tasks()
        self._run_vms()
        if not self._round.is_undecided:
            self._allowances.return_idle()
        return self.state.is_owner

    def _is_lease_held(self) -> bool:
        snapshot = self._membership.snapshot()
        is_same_member = snapshot.member_id == self._ownership.member_id
        return is_same_member and snapshot.is_fresh(self._clock.now())

    def _refresh_jobs(self) -> None:
        now = self._clock.now()
        queues = self.state.environment.queue_by_name.values()
        names = [queue.name for queue in queues if queue.pool == self.state.pool]
        self.state.job_cache.set_queues(sorted(names))
        if now >= self._next_scan_at:
            self._next_scan_at = now + self._scan_seconds
            self.state.job_cache.start_scan()
        self.state.job_cache.refresh()

    def _run_tasks(self) -> None:
        self._leases.sync()
        self._leases.renew_due()
        self._outcomes.commit_outcomes()
        update_health(self._services, self.state)
        self._outcomes.stop_cancelled()
        self._round.park_impossible()
        self._round.step()
        self._starter.start_pending()

    def _run_vms(self) -> None:
        self._vm_monitor.step()
        self._drains.step()
        self._maintenance.step()
