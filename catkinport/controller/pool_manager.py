"""Decides for one pool as long as this controller owns it."""

from collections.abc import Mapping
from typing import cast

from ..membership.interface import Snapshot
from ..ports import ListedVm, VmList
from .allowances import AllowanceKeeper
from .drains import DrainKeeper
from .fleet_watch import FleetWatch
from .guards import GuardedTable, GuardedVmList, GuardedWorkers
from .job_book import JobBook
from .leases import LeaseKeeper
from .outcomes import OutcomeKeeper, update_health
from .ownership import Ownership
from .pool_state import PoolState
from .rounds import PlacementRound
from .services import Services
from .sizes import SizeKeeper
from .starts import Starter
from .vm_records import VmRecords
from .waves import WaveKeeper


class PoolManager:
    """Runs the jobs and the VMs of one pool, one bounded step at a time.

    Nothing is written and no worker is called unless the freshness lease of the
    member that owns the pool runs.

    Args:
        services: ports of the daemon.
        ownership: the pool and its epoch.
        snapshot: what the member knows, with a configuration.
    """

    def __init__(
        self,
        services: Services,
        ownership: Ownership,
        snapshot: Snapshot,
    ) -> None:
        if snapshot.environment is None:
            raise ValueError("snapshot must have a configuration")
        self._membership = services.membership
        self._clock = services.clock
        self._ownership = ownership
        guarded = services._replace(
            table=GuardedTable(services.table, self._is_held),
            workers=GuardedWorkers(services.workers, self._is_held),
            vm_list=cast(VmList, GuardedVmList(services.vm_list, self._is_held)),
        )
        self.state = PoolState(ownership, snapshot.environment, JobBook(guarded.table))
        self._services = guarded
        self._records = VmRecords(guarded, self.state)
        self._watch = FleetWatch(guarded, self.state, self._records)
        sizes = SizeKeeper()
        self._leases = LeaseKeeper(guarded, self.state, sizes)
        self._outcomes = OutcomeKeeper(guarded, self.state)
        self._allowances = AllowanceKeeper(guarded, self.state)
        self._round = PlacementRound(
            guarded, self.state, self._leases, self._allowances, sizes
        )
        self._starter = Starter(guarded, self.state)
        self._drains = DrainKeeper(guarded, self.state, self._records)
        self._waves = WaveKeeper(guarded, self.state, self._records)
        self._scan_seconds = services.timing.scan_seconds
        self._next_scan_at = 0.0

    def set_listed_vms(self, listed_by_vm: Mapping[str, ListedVm]) -> None:
        """Take in the VM list; the last one is kept while the list is down."""
        self.state.listed_by_vm = listed_by_vm

    def notice_job(self, queue: str, job_id: str) -> None:
        """Have a new or cancelled job read in the next step."""
        self.state.book.notice(queue, job_id)

    def step(self) -> bool:
        """Do one step; return whether this controller still owns the pool."""
        snapshot = self._membership.snapshot()
        if not self._is_held() or not self.state.is_owner:
            return self.state.is_owner
        if snapshot.environment is not None:
            self.state.environment = snapshot.environment
        self._records.refresh(snapshot.generation)
        self._refresh_jobs()
        if not self.state.book.is_loaded or not self._records.is_loaded:
            return self.state.is_owner
        self._run_tasks()
        self._run_fleet()
        self._allowances.return_idle()
        return self.state.is_owner

    def _is_held(self) -> bool:
        snapshot = self._membership.snapshot()
        is_same_member = snapshot.member_id == self._ownership.member_id
        return is_same_member and snapshot.is_fresh(self._clock.now())

    def _refresh_jobs(self) -> None:
        now = self._clock.now()
        queues = self.state.environment.queue_by_name.values()
        names = [queue.name for queue in queues if queue.pool == self.state.pool]
        self.state.book.set_queues(sorted(names))
        if now >= self._next_scan_at:
            self._next_scan_at = now + self._scan_seconds
            self.state.book.start_scan()
        self.state.book.refresh()

    def _run_tasks(self) -> None:
        self._leases.sync()
        self._leases.renew_due()
        self._outcomes.settle()
        update_health(self._services, self.state)
        self._outcomes.stop_cancelled()
        self._round.park_impossible()
        self._round.step()
        self._starter.start_pending()

    def _run_fleet(self) -> None:
        self._watch.step()
        self._drains.step()
        self._waves.step()
