"""State of a pool that its owner keeps in memory; the parts of its manager share it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..fleet.change import empty_pool
from ..fleet.fence import Fence
from ..policy.worker_health import WorkerHealth, WorkerState
from ..ports import ListedVm, TaskReport, TaskState
from ..settings.environment import Environment
from ..state import PoolRow, VmRow, VmState
from .job_cache import Job, JobCache
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
    """Liveness of one worker and the time of the next call to it.

    Times are in seconds on the clock of the process.

    Args:
        vm_id: VM of the worker.
        address: address of the worker.
        last_answer_at: time of its last answer, or at which it became known.
        silent_seconds: time without an answer after which it counts as lost.
        next_call_at: time of the next call.
        has_answered: whether it has answered this owner once.
        no_tasks_until: time before which it gets no new task.
    """

    vm_id: str
    address: str
    last_answer_at: float
    silent_seconds: float
    next_call_at: float = 0.0
    has_answered: bool = False
    no_tasks_until: float = 0.0

    def call_by(self, time: float) -> None:
        """Make the next call no later than ``time``."""
        self.next_call_at = min(self.next_call_at, time)

    def is_silent(self, now: float) -> bool:
        """Return whether the last answer is ``silent_seconds`` ago or longer."""
        return now - self.last_answer_at >= self.silent_seconds


@dataclass
class Task:
    """Running attempt of a job. Times are in seconds on the clock of the process.

    Args:
        job_id: the job.
        attempt: number of the attempt.
        vm_id: VM of its worker.
        lease_until: time from which its lease has certainly ended.
        absent_after: the worker does not have the task if its answer to a call sent
            after this time lacks it.
        needs_start: whether a start must still be sent to the worker.
        requeue_reason: why the attempt cannot have started, so that its job is queued
            again; else empty. Such an attempt is never started, as the store may have
            queued the job already.
        is_start_uncertain: whether a start got no answer, so that the worker may run
            it.
        is_lost: whether the VM is gone or has rebooted since the start.
        is_absent: whether the worker's last answer lacked the task.
        ending: ``"checkpoint"`` or ``"stop"`` once the worker was asked for it, else
            empty.
        ending_since: time at which the worker was last asked for that.
        checkpointed_at: time of the last checkpoint or start.
        is_throttled: whether it is limited to a fraction of its processors.
        report: last report of this attempt.
        highest_cores: highest processor usage reported, in cores.
        highest_memory_gb: highest memory usage reported, in GB.
    """

    job_id: str
    attempt: int
    vm_id: str
    lease_until: float
    absent_after: float
    needs_start: bool = False
    requeue_reason: str = ""
    is_start_uncertain: bool = False
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
        """Whether the task's lease may be renewed.

        A start without an answer is not renewed until a report shows that the worker
        has the task. Otherwise the time at which its lease has certainly ended would
        be put off with every renewal.
        """
        return not self.needs_start and (
            self.report is not None or not self.is_start_uncertain
        )

    @property
    def has_ended(self) -> bool:
        """Whether the worker has reported the end of the attempt."""
        return self.report is not None and self.report.state in ENDED_STATES


@dataclass
class PoolState:
    """State of one pool.

    ``is_owner`` becomes false once a commit has failed because the owner has changed.
    Times are on the clock of the process, in seconds: ``taken_at`` is after the
    take-over, and the VM list was requested at ``listed_at``.
    """

    ownership: Ownership
    environment: Environment
    job_cache: JobCache
    pool_row: PoolRow = field(default_factory=empty_pool)
    vm_by_id: dict[str, VmRecord] = field(default_factory=dict)
    link_by_vm: dict[str, WorkerLink] = field(default_factory=dict)
    task_by_job: dict[str, Task] = field(default_factory=dict)
    listed_by_vm: Mapping[str, ListedVm] = field(default_factory=dict)
    listed_at: float = float("-inf")
    taken_at: float = float("-inf")
    health: WorkerHealth | None = None
    is_owner: bool = True
    n_operations: int = 0

    @property
    def pool(self) -> str:
        """Name of the pool."""
        return self.ownership.pool

    @property
    def is_list_current(self) -> bool:
        """Whether the VM list was requested after the take-over of the pool.

        An older one may be from before what the former owner has decided.
        """
        return self.listed_at >= self.taken_at

    @property
    def fence(self) -> Fence:
        """Ownership that every write for the pool depends on."""
        return self.ownership.fence

    def next_token(self) -> str:
        """Return a token that no other owner and no other operation uses."""
        self.n_operations += 1
        owner = self.ownership
        return f"{owner.member_id}/{owner.pool}/{owner.epoch}/{self.n_operations}"

    def may_get_task(self, vm_id: str) -> bool:
        """Return whether the health of the worker allows a new task now.

        A worker on probation gets one task at a time.
        """
        health = self.health.state_of(vm_id) if self.health else WorkerState.GOOD
        if health is WorkerState.PROBATION:
            return not self.tasks_on(vm_id)
        return health is WorkerState.GOOD

    def good_vms(self) -> set[str]:
        """Return the VMs whose workers are neither quarantined nor on probation."""
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
        """Return the job of a task if this attempt is still its latest one."""
        job = self.job_cache.get(task.job_id)
        return job if job and job.row["attempt"] == task.attempt else None
