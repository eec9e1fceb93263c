"""What the owner of a pool keeps in memory, shared by the steps of its manager."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..fleet.change import empty_pool
from ..fleet.fence import Fence
from ..policy.worker_health import WorkerHealth, WorkerState
from ..ports import ListedVm, TaskReport, TaskState
from ..settings.environment import Environment
from ..state import PoolRow, VmRow, VmState
from .job_book import Job, JobBook
from .ownership import Ownership

ENDED_STATES = (
    TaskState.DONE,
    TaskState.FAILED,
    TaskState.STOPPED,
    TaskState.CHECKPOINTED,
)


class VmRecord(NamedTuple):
    """A VM's row as it was last read."""

    vm_id: str
    version: int
    row: VmRow

    @property
    def is_active(self) -> bool:
        """Whether the VM may get new work."""
        return self.row["state"] == VmState.ACTIVE


@dataclass
class WorkerLink:
    """Contact with one worker. Times are on the daemon's clock."""

    vm_id: str
    address: str
    last_answer_at: float
    silent_seconds: float
    next_call_at: float = 0.0
    has_answered: bool = False
    avoid_until: float = 0.0

    def call_by(self, time: float) -> None:
        """Have the next call at ``time`` or earlier."""
        self.next_call_at = min(self.next_call_at, time)

    def is_silent(self, now: float) -> bool:
        """Return whether the worker has not answered for several renewals."""
        return now - self.last_answer_at >= self.silent_seconds


@dataclass
class Task:
    """A running attempt. Times are on the daemon's clock.

    Args:
        job_id: the job.
        attempt: number of the attempt.
        vm_id: VM of its worker.
        lease_until: time at which its lease has certainly ended.
        absent_after: a report from a later time that lacks the task means that the
            worker does not have it.
        needs_start: whether the worker has still to be told to start it.
        is_unsure: whether the answer to a start was lost.
        is_lost: whether the VM is gone or has rebooted since.
        is_absent: whether the worker answered without knowing the task.
        ending: ``"checkpoint"`` or ``"stop"`` once asked for, else empty.
        ending_since: when that was asked for.
        checkpointed_at: time of the last checkpoint or start.
        is_throttled: whether it was limited to a part of its processors.
        report: last report of this attempt.
        highest_cores: highest usage reported.
        highest_memory_gb: highest usage reported.
    """

    job_id: str
    attempt: int
    vm_id: str
    lease_until: float
    absent_after: float
    needs_start: bool = False
    is_unsure: bool = False
    is_lost: bool = False
    is_absent: bool = False
    ending: str = ""
    ending_since: float = 0.0
    checkpointed_at: float = 0.0
    is_throttled: bool = False
    report: TaskReport | None = None
    highest_cores: float = 0.0
    highest_memory_gb: float = 0.0

    @property
    def is_renewable(self) -> bool:
        """Whether the worker has the task as far as is known.

        Renewing a task whose start got no answer would keep its lease from certainly
        ending.
        """
        return not self.needs_start and (self.report is not None or not self.is_unsure)

    @property
    def has_ended(self) -> bool:
        """Whether the worker reported its end."""
        return self.report is not None and self.report.state in ENDED_STATES


@dataclass
class PoolState:
    """State of a pool in the memory of its owner."""

    ownership: Ownership
    environment: Environment
    book: JobBook
    pool_row: PoolRow = field(default_factory=empty_pool)
    vm_by_id: dict[str, VmRecord] = field(default_factory=dict)
    link_by_vm: dict[str, WorkerLink] = field(default_factory=dict)
    task_by_job: dict[str, Task] = field(default_factory=dict)
    listed_by_vm: Mapping[str, ListedVm] = field(default_factory=dict)
    health: WorkerHealth | None = None
    is_owner: bool = True
    n_operations: int = 0

    @property
    def pool(self) -> str:
        """Name of the pool."""
        return self.ownership.pool

    @property
    def fence(self) -> Fence:
        """Condition of all writes."""
        return self.ownership.fence

    def next_token(self) -> str:
        """Return a token that no other owner and no other operation uses."""
        self.n_operations += 1
        owner = self.ownership
        return f"{owner.member_id}/{owner.pool}/{owner.epoch}/{self.n_operations}"

    def may_get_task(self, vm_id: str) -> bool:
        """Return whether a worker's health lets it get a task now.

        On probation it gets one task at a time.
        """
        health = self.health.state_of(vm_id) if self.health else WorkerState.GOOD
        if health is WorkerState.PROBATION:
            return not self.tasks_on(vm_id)
        return health is WorkerState.GOOD

    def good_vms(self) -> set[str]:
        """Return the workers that are not under suspicion."""
        health = self.health
        return {
            vm_id
            for vm_id in self.link_by_vm
            if health is None or health.state_of(vm_id) is WorkerState.GOOD
        }

    def tasks_on(self, vm_id: str) -> list[Task]:
        """Return the running attempts on a VM."""
        return [task for task in self.task_by_job.values() if task.vm_id == vm_id]

    def job_of(self, task: Task) -> Job | None:
        """Return the job of a task if the row still names this attempt."""
        job = self.book.get(task.job_id)
        return job if job and job.row["attempt"] == task.attempt else None
