"""Renews the leases of tasks and processes the reports of their workers."""

import logging

from ..ports import TaskReport, TaskState, Unavailable
from ..runtime import log_event
from ..state import JobRow, JobState, VmState
from .pool_state import PoolState, Task, WorkerLink
from .services import Services
from .sizes import SizeEstimator

logger = logging.getLogger(__name__)

ENDING_TASK_CALL_SECONDS = 0.5
"""Period of calls to a worker that was asked to end a task. Shorter than that of other
calls, because other work waits for the capacity."""

MIN_END_CHECK_SECONDS = 2.0
"""Shortest time between calls that check whether a task has ended as expected. It
bounds the traffic of a process with 150 workers of short tasks to about 20 KB/s. Calls
come that often only while jobs are queued or the task is urgent."""

ADOPTED_START_WAIT_SECONDS = 20.0
"""Time after which a start that the previous owner sent has been answered or has timed
out. Until then, a report without the task does not mean that the worker lacks it."""


class LeaseManager:
    """Calls the workers of a pool to renew leases and to get reports.

    Args:
        services: clients and shared objects of the process.
        state: state of the pool.
        sizes: gets the reported usage.
    """

    def __init__(
        self, services: Services, state: PoolState, sizes: SizeEstimator
    ) -> None:
        self._services = services
        self._state = state
        self._timing = services.timing
        self._sizes = sizes
        self._expected_starts: set[tuple[str, int, str]] = set()

    def expect_start(self, job_id: str, attempt: int, vm_id: str) -> None:
        """Record an attempt that this owner is about to commit and will then start.

        Other running attempts are treated as started by the previous owner.
        """
        self._expected_starts.add((job_id, attempt, vm_id))

    def forget_start(self, job_id: str, attempt: int, vm_id: str) -> None:
        """Forget an attempt that was certainly not committed."""
        self._expected_starts.discard((job_id, attempt, vm_id))

    def sync(self) -> None:
        """Make the links match the pool's VMs and the tasks match its running jobs."""
        self._sync_links()
        self._sync_tasks()

    def renew_due(self) -> None:
        """Call each worker that is due and process its reports."""
        now = self._services.clock.now()
        tasks = self._state.task_by_job.values()
        ending_task_vms = {task.vm_id for task in tasks if task.ending}
        links = self._state.link_by_vm.values()
        due = [
            link for link in links if self._is_due(link, link.vm_id in ending_task_vms)
        ]
        calls = [lambda link=link: self._call(link, now) for link in due]
        answers = self._services.run_all(calls)
        for link, answer in zip(due, answers, strict=True):
            self._process_answer(link, now, answer)

    def _sync_links(self) -> None:
        state = self._state
        now = self._services.clock.now()
        for vm_id, vm in state.vm_by_id.items():
            address = vm.row["worker_address"]
            link = state.link_by_vm.get(vm_id)
            if not address:
                state.link_by_vm.pop(vm_id, None)
            elif link is None or link.address != address:
                state.link_by_vm[vm_id] = WorkerLink(
                    vm_id, address, now, self._timing.silent_seconds
                )
        for vm_id in state.link_by_vm.keys() - state.vm_by_id.keys():
            del state.link_by_vm[vm_id]

    def _sync_tasks(self) -> None:
        state = self._state
        for job in state.job_cache.list_jobs(JobState.RUNNING):
            task = state.task_by_job.get(job.job_id)
            if task is None or task.attempt != job.row["attempt"]:
                vm_id, attempt = job.row["worker_vm"], job.row["attempt"]
                state.task_by_job[job.job_id] = self._new_task(
                    job.job_id, attempt, vm_id
                )
        for job_id, task in list(state.task_by_job.items()):
            job = state.job_of(task)
            if job is None or job.row["state"] != JobState.RUNNING:
                del state.task_by_job[job_id]

    def _new_task(self, job_id: str, attempt: int, vm_id: str) -> Task:
        now = self._services.clock.now()
        task = Task(job_id, attempt, vm_id, now, now, checkpointed_at=now)
        if (job_id, attempt, vm_id) in self._expected_starts:
            self._expected_starts.discard((job_id, attempt, vm_id))
            task.needs_start = True
            return task
        # The previous owner may have renewed the lease just before it stopped.
        task.lease_until = now + self._timing.lease_wait_seconds
        task.absent_after = now + ADOPTED_START_WAIT_SECONDS
        return task

    def _is_due(self, link: WorkerLink, has_ending_task: bool) -> bool:
        now = self._services.clock.now()
        if now >= link.next_call_at:
            return True
        return has_ending_task and now >= link.next_call_at - (
            self._timing.renew_seconds - ENDING_TASK_CALL_SECONDS
        )

    def _call(self, link: WorkerLink, now: float) -> list[TaskReport] | Unavailable:
        # A silent worker is asked for reports without renewals. A renewal may arrive
        # although its answer is lost, so that no lease would ever certainly end.
        is_silent = link.is_silent(now)
        tasks = [] if is_silent else self._state.tasks_on(link.vm_id)
        job_ids = [task.job_id for task in tasks if task.is_renewable]
        epoch = self._state.ownership.epoch
        return self._services.workers.renew_leases(
            link.address, epoch, job_ids, self._timing.lease_seconds
        )

    def _process_answer(
        self, link: WorkerLink, sent_at: float, answer: list[TaskReport] | Unavailable
    ) -> None:
        now = self._services.clock.now()
        link.next_call_at = now + self._timing.renew_seconds
        tasks = self._state.tasks_on(link.vm_id)
        is_failed = isinstance(answer, Unavailable)
        may_be_renewed = not is_failed or answer.may_have_committed
        if may_be_renewed and not link.is_silent(sent_at):
            for task in tasks:
                if task.is_renewable:
                    task.lease_until = now + self._timing.lease_wait_seconds
        if isinstance(answer, Unavailable):
            log_event(
                logger,
                "worker call failed",
                vm=link.vm_id,
                step=answer.step,
                peer=answer.peer,
                reason=str(answer.reason),
            )
            return
        link.last_answer_at = now
        link.has_answered = True
        self._process_reports(link, sent_at, answer)
        self._schedule_end_checks(link, now)

    def _schedule_end_checks(self, link: WorkerLink, now: float) -> None:
        """Schedule the next call for the expected end of a task that other work awaits.

        The end is awaited if jobs are queued or if the task itself is urgent.
        """
        has_waiting = bool(self._state.job_cache.list_jobs(JobState.QUEUED))
        for task in self._state.tasks_on(link.vm_id):
            job = self._state.job_of(task)
            if job is not None and (has_waiting or job.row["is_urgent"]):
                seconds = self._remaining_seconds(task, job.row)
                link.call_by(now + max(MIN_END_CHECK_SECONDS, seconds))

    def _remaining_seconds(self, task: Task, row: JobRow) -> float:
        """Estimate the remaining time by progress, else by the declared run time."""
        elapsed = max(0.0, self._services.unix_time() - row["started_at"])
        progress = task.report.progress if task.report else 0.0
        if 0.0 < progress < 1.0:
            return elapsed * (1.0 - progress) / progress
        remaining = row["run_seconds"] - elapsed
        return remaining if remaining > 0 else self._timing.renew_seconds

    def _process_reports(
        self, link: WorkerLink, sent_at: float, reports: list[TaskReport]
    ) -> None:
        report_by_attempt = {(r.job_id, r.attempt): r for r in reports}
        for task in self._state.tasks_on(link.vm_id):
            report = report_by_attempt.pop((task.job_id, task.attempt), None)
            if report is None:
                task.is_absent = sent_at > task.absent_after
                continue
            task.is_absent = False
            task.report = report
            if not task.has_ended:
                task.needs_start = False
            job = self._state.job_of(task)
            if job is not None:
                self._sizes.add_report(job, task, self._services.unix_time())
        for report in report_by_attempt.values():
            if report.state in (TaskState.RUNNING, TaskState.THROTTLED):
                self._stop_outdated(link, report)

    def _stop_outdated(self, link: WorkerLink, report: TaskReport) -> None:
        """Stop an attempt that is not the latest one of its job.

        Nothing is stopped before all jobs were read or while the VM reboots.
        """
        if (
            not self._state.job_cache.is_loaded
            or link.vm_id not in self._state.vm_by_id
        ):
            return
        if self._state.vm_by_id[link.vm_id].row["state"] == VmState.REBOOTING:
            return
        known = self._state.job_cache.get(report.job_id)
        if known is not None and known.row["attempt"] < report.attempt:
            # The cached job is older than the row, so it is read again.
            self._state.job_cache.request_read(known.queue, report.job_id)
            return
        log_event(
            logger,
            "outdated attempt stopped",
            vm=link.vm_id,
            job_id=report.job_id,
            attempt=report.attempt,
        )
        self._services.workers.stop_task(
            link.address, report.job_id, report.attempt, self._state.ownership.epoch
        )
