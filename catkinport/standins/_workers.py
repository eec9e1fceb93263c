"""In-memory workers with fault injection."""

from ..ports import Clock, NotRun, Reason, Unavailable, Unknown
from ._tasks import TaskTable


class MemoryWorkers:
    """In-memory implementation of ``ports.Workers``; faults are sets of addresses.

    Args:
        clock: clock of leases and progress.

    Attributes:
        down: workers that refuse connections.
        loses_renewal_answers: workers that renew leases but whose answers to renewals
            are lost.
        failing: workers that fail every task.
        loses_start_answers: workers that start tasks but whose answers to starts are
            lost.
        drops_starts: workers that a start never reaches.
        n_calls: calls so far.
        n_stops: calls to stop a task so far.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tasks_by_address: dict[str, TaskTable] = {}
        self.down: set[str] = set()
        self.loses_start_answers: set[str] = set()
        self.drops_starts: set[str] = set()
        self.loses_renewal_answers: set[str] = set()
        self.failing: set[str] = set()
        self.n_calls = 0
        self.n_stops = 0

    def tasks_of(self, address: str) -> TaskTable:
        """Return the tasks of a worker."""
        return self.tasks_by_address.setdefault(address, TaskTable(self.clock))

    def drop_tasks(self, address: str) -> None:
        """Drop all tasks of a worker, as a reboot does; the execution log is kept."""
        old_tasks = self.tasks_of(address)
        self.tasks_by_address[address] = TaskTable(self.clock)
        self.tasks_by_address[address].events.extend(old_tasks.events)

    def count_starts(self, job_id: str) -> int:
        """Return how often a job was started."""
        tables = self.tasks_by_address.values()
        events = [event for table in tables for event in table.events]
        return sum(e.job_id == job_id and e.event == "started" for e in events)

    def list_running_jobs(self) -> list[str]:
        """Return the jobs that run on reachable workers."""
        return [
            report.job_id
            for address, table in self.tasks_by_address.items()
            if address not in self.down
            for report in table.list_reports()
            if report.state in ("running", "throttled")
        ]

    def start_task(self, address, task, lease_seconds):
        """Start an attempt."""
        self.n_calls += 1
        if address in self.down:
            return NotRun(Reason.CONNECT_FAILED, "task-start", address)
        if address in self.drops_starts:
            return Unknown(Reason.TIMEOUT, "task-start", address)
        is_failing = address in self.failing
        started = self.tasks_of(address).start(task, lease_seconds, 0.0, is_failing)
        if address in self.loses_start_answers:
            return Unknown(Reason.TIMEOUT, "task-start", address)
        return None if started else NotRun(Reason.NOT_OWNER, "task-start", address)

    def renew_leases(self, address, epoch, job_ids, lease_seconds):
        """Renew leases and return a report of each task."""
        self.n_calls += 1
        if address in self.down:
            return Unavailable(Reason.CONNECT_FAILED, "lease-renew", address)
        self.tasks_of(address).renew(epoch, list(job_ids), lease_seconds)
        if address in self.loses_renewal_answers:
            return Unavailable(Reason.TIMEOUT, "lease-renew", address, "", True)
        return self.tasks_of(address).list_reports()

    def checkpoint_task(self, address, job_id, attempt, epoch):
        """Checkpoint and stop a task."""
        return self._apply_operation(address, job_id, "checkpoint", attempt, epoch)

    def throttle_task(self, address, job_id, attempt, epoch, fraction):
        """Limit a task to ``fraction`` of its declared processors."""
        return self._apply_operation(
            address, job_id, "throttle", attempt, epoch, fraction
        )

    def stop_task(self, address, job_id, attempt, epoch):
        """Stop a task; has no effect if the worker does not have it."""
        self.n_stops += 1
        return self._apply_operation(address, job_id, "stop", attempt, epoch)

    def _apply_operation(
        self, address, job_id, operation, attempt, epoch, fraction=1.0
    ):
        self.n_calls += 1
        if address in self.down:
            return Unavailable(Reason.CONNECT_FAILED, operation, address)
        body = {"attempt": attempt, "epoch": epoch, "fraction": fraction}
        self.tasks_of(address).apply_operation(job_id, operation, body)
        return None
