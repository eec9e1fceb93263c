"""State machine of the jobs and workers of a fleet, run by the daemon that owns it.

One daemon at a time owns the fleet. Nothing here does input or output, and time is
passed in. `planner` decides which tasks start; `run_orders` sends the orders and
reports their outcomes to the dispatcher.

A run is one execution of a task on a worker; a lasting task runs until its job is
canceled. A job is inherited if a former owner may have started tasks of it, and closing
once no more of its tasks may start.
"""

import logging
from collections.abc import Sequence
from typing import Any

from ..ports.fleet_vms import FleetVm, VmState
from ..ports.fleet_workers import (
    Done,
    EndedTask,
    EndKind,
    ListedWorker,
    OrderOutcome,
    Rejected,
    Rejection,
    WorkerLists,
)
from ..runtime import Metrics
from ..runtime.logs import log_event
from .configuration import FleetConfiguration, Queue
from .job_estimates import JobEstimates
from .model import FINAL_STATES, Job, JobState, TaskId
from .record import JobRecord, Task, TaskPhase
from .uncertain_starts import UncertainStarts
from .worker_failures import note_failed_run, note_worker_failure
from .worker_state import (
    LEASE_SECONDS,
    UNHEALTHY_PAUSE_SECONDS,
    Incarnation,
    Run,
    RunKey,
    RunPhase,
    WorkerRecord,
    bound_lease,
)

logger = logging.getLogger(__name__)

UNCERTAIN_WORKER_PAUSE_SECONDS = 0.6
"""Pause before a worker that left a start unanswered, or whose VM is listed as dead,
gets another task. The worker's next report or the next VM list arrives by then."""

VM_LIST_LAG_SECONDS = 1.2
"""Maximum age of the data in the platform's VM list. If the list shows a VM as down or
with another worker, runs ordered there longer than this before the list was requested
have ended."""

NO_ROOM_PAUSE_SECONDS = 0.2
"""Pause before a worker that rejected a start for lack of room gets another task. Its
next report shows what occupies it."""

RESTART_PAUSE_SECONDS = 0.2
"""Pause before a lasting task whose run failed is started again."""


def is_over(row: dict[str, Any]) -> bool:
    """Return whether a stored state is final and no task of its job runs."""
    is_final = JobState(row["state"]) in FINAL_STATES
    return is_final and row.get("settled", True)


class Dispatcher:
    """Jobs and workers as the owner knows them.

    Args:
        configuration: version in force.
        metrics: metrics of the process; ``None`` for metrics that nobody reads.
        longest_lease: longest lease in seconds that a worker grants.

    Attributes:
        job_by_id: jobs that have not been stored as ended.
        worker_by_id: workers that are listed or may still run something.
        runs_by_task: runs of each task that may be alive, by the task's name.
        longest_lease: longest lease in seconds that a worker grants.
        estimates: expected durations and work of jobs.
        orphan_stop_sent_at: clock time in seconds of the latest stop order for each run
            whose job is unknown, by worker id and run; 0 before the first order.
        uncertain_starts: start orders that were given up, but may be carried out late.
        unresolved_by_id: pool of each worker that the former owner used and that may
            still run its tasks, by worker id. A worker is resolved once it has
            reported to this owner, its VM has gone or its lease has expired.
    """

    def __init__(
        self,
        configuration: FleetConfiguration,
        metrics: Metrics | None = None,
        longest_lease: float = LEASE_SECONDS,
    ) -> None:
        self.configuration = configuration
        self.longest_lease = longest_lease
        self._metrics = metrics or Metrics()
        self._known_queue_by_name: dict[str, Queue] = {}
        self.apply_configuration(configuration)
        self.job_by_id: dict[str, JobRecord] = {}
        self.worker_by_id: dict[str, WorkerRecord] = {}
        self.runs_by_task: dict[str, list[Run]] = {}
        self.unresolved_by_id: dict[str, str] = {}
        self.uncertain_starts = UncertainStarts()
        self.estimates = JobEstimates()
        self._retired_by_id: dict[str, Incarnation] = {}
        self.orphan_stop_sent_at: dict[tuple[str, RunKey], float] = {}

    def apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a version of the configuration.

        Queues that it removes stay known, because their accepted jobs continue.
        """
        self.configuration = configuration
        self._known_queue_by_name.update(configuration.queue_by_name)

    def add_job(
        self,
        job: Job,
        now: float,
        is_inherited: bool = False,
        age_seconds: float = 0.0,
    ) -> None:
        """Add an accepted job; do nothing if it is known already.

        Args:
            job: the job.
            now: clock time in seconds at which this owner has read it.
            is_inherited: whether a former owner may have started tasks of it.
            age_seconds: approximate time since it was accepted.
        """
        if job.job_id in self.job_by_id:
            return
        record = JobRecord(job, is_inherited)
        record.learned_at = now
        record.accepted_at = now - age_seconds
        self.job_by_id[job.job_id] = record
        self.estimates.learn_work(job)
        log_event(
            logger,
            "job added",
            request_id=job.job_id,
            queue=job.queue,
            account=job.account,
            n_steps=len(job.steps),
            n_tasks=sum(step.n_tasks for step in job.steps),
            lasting=any(step.is_lasting for step in job.steps),
            max_per_worker=max(step.max_per_worker for step in job.steps),
            max_away=max(step.max_away for step in job.steps),
            inherited=is_inherited,
        )

    def load_state(self, job_id: str, row: dict[str, Any], version: int) -> None:
        """Load the stored state of a job; drop the job if it is over."""
        record = self.job_by_id.get(job_id)
        if record is None:
            return
        record.load_row(row, version)
        if is_over(row):
            del self.job_by_id[job_id]

    def cancel_job(self, job_id: str) -> None:
        """Note that the caller has asked to cancel the job."""
        record = self.job_by_id.get(job_id)
        if record is None or record.is_cancel_asked:
            return
        record.is_cancel_asked = True
        log_event(logger, "job cancel taken in", request_id=job_id, state=record.state)
        self._finish_if_closing(record)

    def queue_of(self, record: JobRecord) -> Queue | None:
        """Return the queue of a job; ``None`` if no known configuration has it."""
        return self._known_queue_by_name.get(record.job.queue)

    def restore_queue(self, queue: Queue) -> None:
        """Add a removed queue that a former owner knew; a known one stays as it is."""
        self._known_queue_by_name.setdefault(queue.name, queue)

    def find_removed_queues(self) -> list[Queue]:
        """Return the removed queues that still have unfinished jobs."""
        names = {record.job.queue for record in self.job_by_id.values()}
        removed = names - self.configuration.queue_by_name.keys()
        known = self._known_queue_by_name
        return [known[name] for name in sorted(removed) if name in known]

    def count_waiting(self) -> dict[str, int]:
        """Return how many jobs of each queue have not started."""
        n_by_queue = dict.fromkeys(self.configuration.queue_by_name, 0)
        for record in self.job_by_id.values():
            if not record.is_begun and not record.is_closing:
                queue = record.job.queue
                n_by_queue[queue] = n_by_queue.get(queue, 0) + 1
        return n_by_queue

    def dirty_jobs(self) -> list[JobRecord]:
        """Return the jobs whose state has to be stored."""
        return [record for record in self.job_by_id.values() if record.is_dirty]

    def forget_ended(self, record: JobRecord) -> None:
        """Drop a job that has ended, once its end is stored and none of it runs."""
        is_over = record.is_final and not self._may_have_runs(record)
        if is_over and not record.is_dirty:
            self.job_by_id.pop(record.job.job_id, None)

    def update_workers(self, listed: Sequence[ListedWorker], now: float) -> None:
        """Update the workers from the latest list of them."""
        listed_by_id = {worker.worker_id: worker for worker in listed}
        for worker_id in self._retired_by_id.keys() - listed_by_id.keys():
            del self._retired_by_id[worker_id]
        for worker in listed:
            if not self._is_retired(worker):
                self._update_listed_worker(worker, now)
        for worker_record in list(self.worker_by_id.values()):
            if worker_record.worker_id in listed_by_id:
                continue
            if worker_record.is_listed:
                worker_record.is_listed = False
                log_event(
                    logger,
                    "worker no longer listed",
                    worker=worker_record.worker_id,
                    n_runs=len(worker_record.run_by_key),
                    silent_seconds=round(now - worker_record.contact_at, 2),
                )
            if not worker_record.run_by_key and now > worker_record.lease_until:
                self._remove_worker(worker_record)

    def _is_retired(self, worker: ListedWorker) -> bool:
        retired = self._retired_by_id.get(worker.worker_id)
        if retired is None:
            return False
        # An entry without the time of start can't be told from the retired one.
        return worker.started_at in (0.0, retired.started_at)

    def _update_listed_worker(self, worker: ListedWorker, now: float) -> None:
        worker_record = self.worker_by_id.get(worker.worker_id)
        if worker_record is None:
            worker_record = WorkerRecord(worker)
            self.worker_by_id[worker.worker_id] = worker_record
            log_event(
                logger,
                "worker listed",
                worker=worker.worker_id,
                pool=worker.pool,
                peer=worker.address,
                labels=",".join(worker.labels),
            )
            return
        if worker.is_draining and not worker_record.listed.is_draining:
            log_event(
                logger,
                "worker drain started",
                worker=worker.worker_id,
                remaining_seconds=worker.remaining_seconds,
                n_runs=len(worker_record.run_by_key),
            )
        if worker.pool != worker_record.listed.pool:
            worker_record.is_enrolled = False
        worker_record.listed = worker
        worker_record.is_listed = True

    def update_vms(self, vms: Sequence[FleetVm], sent_at: float, now: float) -> None:
        """Update the workers from the platform's VM list.

        Runs on a VM that is listed as down, absent or with another worker are given up,
        as they have ended. A run that the worker has not confirmed waits for the end of
        its lease, because its start may still be carried out if the worker restarts.
        """
        vm_id_by_worker = {vm.worker_id: vm.vm_id for vm in vms if vm.worker_id}
        vm_by_id = {vm.vm_id: vm for vm in vms}
        for worker in list(self.worker_by_id.values()):
            worker.vm_id = vm_id_by_worker.get(worker.worker_id, worker.vm_id)
            vm = vm_by_id.get(worker.vm_id)
            is_alive = vm is not None and (
                vm.state is VmState.UP and vm.worker_id == worker.worker_id
            )
            if not worker.vm_id or is_alive:
                continue
            reason = f"vm-{vm.state}" if vm else "vm-absent"
            worker.blocked_until = max(
                worker.blocked_until, now + UNCERTAIN_WORKER_PAUSE_SECONDS
            )
            self._resolve_worker(worker.worker_id, reason, now)
            self._lose_runs(worker, reason, now, sent_at - VM_LIST_LAG_SECONDS)

    def on_worker_report(
        self, worker_id: str, lists: WorkerLists, sent_at: float, now: float
    ) -> None:
        """Process a worker's report of the runs that it executes and that ended."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        is_other_process = lists.started_at != worker.started_at
        if is_other_process and sent_at < worker.started_known_at:
            # Polls overlap, so an earlier process may have given this answer.
            log_event(logger, "late worker report dropped", worker=worker_id)
            return
        is_restarted = is_other_process and worker.started_at > 0
        if is_restarted:
            self._on_worker_restart(worker, lists, now)
        if is_other_process:
            worker.started_known_at = now
        if worker.contact_at == float("-inf"):
            log_event(logger, "worker reached", worker=worker_id)
        worker.started_at = lists.started_at
        worker.note_contact(now, is_restarted)
        self._resolve_worker(worker_id, "reached", now)
        for ended in sorted(lists.ended):
            if ended.number > worker.processed_end:
                self._on_end(worker, ended, now)
                worker.processed_end = ended.number
        self._reconcile_running(worker, lists, sent_at, now)

    def _resolve_worker(self, worker_id: str, reason: str, now: float) -> None:
        pool = self.unresolved_by_id.pop(worker_id, None)
        if pool is not None:
            log_event(
                logger,
                "inherited worker resolved",
                worker=worker_id,
                pool=pool,
                reason=reason,
                n_left=len(self.unresolved_by_id),
            )
            if pool not in self.unresolved_by_id.values():
                self._log_resolved_pool(pool, now)
                self._finish_inherited_closing(pool)

    def _log_resolved_pool(self, pool: str, now: float) -> None:
        """Log what is known of a pool as its inherited jobs may go on."""
        workers = self.workers_of(pool)
        reached = [w for w in workers if w.contact_at > float("-inf")]
        oldest = min((w.contact_at for w in reached), default=now)
        log_event(
            logger,
            "inherited pool resolved",
            pool=pool,
            n_workers=len(workers),
            n_reached=len(reached),
            n_runs=sum(len(worker.run_by_key) for worker in workers),
            oldest_answer_seconds=round(now - oldest, 3),
        )

    def finish_closing_jobs(self) -> None:
        """End the closing jobs that can have no runs on any worker."""
        for record in list(self.job_by_id.values()):
            self._finish_if_closing(record)

    def _finish_inherited_closing(self, pool: str) -> None:
        for record in list(self.job_by_id.values()):
            queue = self.queue_of(record)
            if record.is_inherited and queue is not None and queue.pool == pool:
                self._finish_if_closing(record)

    def resolve_inherited_workers(self, now: float) -> None:
        """Note that the leases of the former owner's runs have expired.

        Workers that this owner has not reached have therefore ended those runs.
        """
        for worker_id in list(self.unresolved_by_id):
            self._resolve_worker(worker_id, "lease-ended", now)

    def retire_worker(self, incarnation: Incarnation, now: float) -> None:
        """Remove a worker that an order for its VM has ended, with all of its runs.

        A worker that has started again under the same id stays.
        """
        self._retired_by_id[incarnation.worker_id] = incarnation
        worker = self.worker_by_id.get(incarnation.worker_id)
        if worker is None or worker.incarnation != incarnation:
            return
        for run in list(worker.run_by_key.values()):
            self._lose_run(worker, run, "vm-ordered-away", now)
        self._remove_worker(worker)

    def _on_worker_restart(
        self, worker: WorkerRecord, lists: WorkerLists, now: float
    ) -> None:
        worker.processed_end = 0
        worker.stored_end = 0
        worker.acknowledged_end = 0
        # Calls with a lease on the former clock may have reached the worker after the
        # restart. On its new clock that lease ends far ahead.
        worker.lease_until = max(
            worker.lease_until, now + bound_lease(self.longest_lease)
        )
        listed = {RunKey(entry.task, entry.run) for entry in lists.running}
        listed |= {RunKey(entry.task, entry.run) for entry in lists.ended}
        lost = [run for key, run in worker.run_by_key.items() if key not in listed]
        log_event(
            logger,
            "worker restarted",
            worker=worker.worker_id,
            n_lost=len(lost),
            n_uncertain_starts=self.uncertain_starts.count(worker.worker_id),
        )
        for run in lost:
            if run.known_at:
                self._lose_run(worker, run, "worker-restarted", now)
                continue
            # The start order may still arrive late. The restarted worker would carry it
            # out, as it doesn't know of a stop that was confirmed before the restart.
            run.stop_sent_at = run.stopped_at = 0.0

    def _reconcile_running(
        self, worker: WorkerRecord, lists: WorkerLists, sent_at: float, now: float
    ) -> None:
        listed_keys = set()
        for entry in lists.running:
            key = RunKey(entry.task, entry.run)
            listed_keys.add(key)
            self.uncertain_starts.settle(worker.worker_id, key, now)
            run = worker.run_by_key.get(key) or self._adopt(worker, key, now)
            if run is None:
                self.orphan_stop_sent_at.setdefault((worker.worker_id, key), 0.0)
                continue
            self._confirm(run, now)
            if run.phase is RunPhase.ASKED and not run.is_start_uncertain:
                run.phase = RunPhase.RUNNING
            if entry.percent != run.percent:
                run.percent = entry.percent
                run.progressed_at = now
            run.load = entry.load
            if entry.checkpoint:
                run.task.checkpoint = entry.checkpoint
        for worker_id, key in list(self.orphan_stop_sent_at):
            if worker_id == worker.worker_id and key not in listed_keys:
                del self.orphan_stop_sent_at[worker_id, key]
        for key, run in list(worker.run_by_key.items()):
            if key in listed_keys:
                continue
            confirmed_at = run.stopped_at if run.is_start_uncertain else run.known_at
            if confirmed_at and confirmed_at < sent_at:
                self._lose_run(worker, run, "not-listed", now)

    @staticmethod
    def _confirm(run: Run, now: float) -> None:
        """Note that the worker has confirmed that it has the run."""
        run.known_at = run.known_at or now
        run.record.mark_begun()

    def _adopt(self, worker: WorkerRecord, key: RunKey, now: float) -> Run | None:
        """Adopt a run that the worker reports and that a former owner started.

        Returns:
            The adopted run, or ``None`` if its job or task is unknown.
        """
        task_id = TaskId.parse(key.task)
        record = self.job_by_id.get(task_id.job_id)
        task = record.find_task(task_id) if record else None
        if record is None or task is None:
            return None
        record.note_run(task, key.run)
        run = Run(record, task, key.run, worker.worker_id, now)
        run.phase = RunPhase.RUNNING
        self._confirm(run, now)
        self._attach(worker, run)
        log_event(
            logger,
            "run adopted",
            request_id=record.job.job_id,
            task=key.task,
            run=key.run,
            worker=worker.worker_id,
            task_phase=task.phase,
            n_runs=len(self.runs_by_task[task.text]),
        )
        if task.phase is TaskPhase.WAITING:
            task.phase = TaskPhase.PLACED
        return run

    def _attach(self, worker: WorkerRecord, run: Run) -> None:
        worker.add_run(run)
        self.runs_by_task.setdefault(run.task.text, []).append(run)
        if not run.record.ever_started:
            run.record.first_start_at = run.asked_at
        run.record.ever_started = True
        run.record.n_placed += 1
        run.task.ever_started = True

    def _detach(self, worker: WorkerRecord, run: Run) -> None:
        worker.drop_run(run.key)
        runs = self.runs_by_task.get(run.task.text, [])
        if run in runs:
            runs.remove(run)
            run.record.n_placed -= 1
        if not runs:
            self.runs_by_task.pop(run.task.text, None)

    def _on_end(self, worker: WorkerRecord, ended: EndedTask, now: float) -> None:
        task_id = TaskId.parse(ended.task)
        record = self.job_by_id.get(task_id.job_id)
        task = record.find_task(task_id) if record else None
        key = RunKey(ended.task, ended.run)
        run = worker.run_by_key.get(key)
        self.uncertain_starts.settle(worker.worker_id, key, now)
        log_event(
            logger,
            "run ended",
            request_id=task_id.job_id,
            task=ended.task,
            run=ended.run,
            worker=worker.worker_id,
            how=ended.how,
            end=ended.number,
            seconds=round(now - run.asked_at, 3) if run else "",
        )
        labels = {"how": ended.how.value, "pool": worker.listed.pool}
        self._metrics.increment("runs_ended", "Runs that have ended.", labels)
        if run is not None:
            self._detach(worker, run)
        if record is None or task is None:
            return
        if ended.run >= task.run:
            # The end of an earlier run says nothing of a later one that was given up.
            task.is_lost = False
        record.note_run(task, ended.run)
        record.note_checkpoint(task, ended.checkpoint)
        if ended.how is EndKind.DONE and not task.step.is_lasting:
            if run is not None:
                durations = self.estimates.durations_of(record.job.queue)
                durations.learn(task.step.estimate_seconds, now - run.asked_at)
            self._on_done(worker, record, task, now)
        elif ended.how is EndKind.FAILED:
            self._on_failed(worker, record, task, ended.run, now)
        self._requeue_task(record, task)
        self._finish_if_closing(record)

    def _on_done(
        self, worker: WorkerRecord, record: JobRecord, task: Task, now: float
    ) -> None:
        worker.note_outcome(True, now)
        tasks = [task]
        if task.step.is_gang:
            stage = (task.task_id.occurrence, task.task_id.step)
            tasks = record.tasks_by_stage[stage]
        for member in tasks:
            record.mark_done(member)
        if record.state is JobState.COMPLETED:
            self._log_complete(record, now)

    def _log_complete(self, record: JobRecord, now: float) -> None:
        queue = self.queue_of(record)
        seconds = now - record.accepted_at
        durations = self.estimates.durations_of(record.job.queue)
        objective = record.objective_seconds(queue, durations) if queue else 0.0
        log_event(
            logger,
            "job complete",
            request_id=record.job.job_id,
            queue=record.job.queue,
            pool=queue.pool if queue else "",
            seconds=round(seconds, 3),
            objective_seconds=round(objective, 3),
            late=seconds > objective,
            waited_seconds=round(record.first_start_at - record.accepted_at, 3),
        )

        labels = {"pool": queue.pool if queue else "", "late": str(seconds > objective)}
        self._metrics.observe("job_seconds", "Time of a job.", labels, seconds)
        waited = record.first_start_at - record.accepted_at
        self._metrics.observe(
            "job_wait_seconds", "Time until its first start.", labels, waited
        )

    def _on_failed(
        self,
        worker: WorkerRecord,
        record: JobRecord,
        task: Task,
        run: int,
        now: float,
    ) -> None:
        pool_workers = self.workers_of(worker.listed.pool)
        is_quarantined = note_failed_run(worker, record, task, pool_workers, now)
        task.avoided_worker = worker.worker_id
        task.not_before = now + RESTART_PAUSE_SECONDS * task.step.is_lasting
        queue = self.queue_of(record)
        counted = task
        if task.step.is_gang:
            # Any member's failure is one failure of the gang.
            stage = (task.task_id.occurrence, task.task_id.step)
            counted = record.tasks_by_stage[stage][0]
        record.mark_failed(counted, run, queue.max_failures if queue else 0)
        if is_quarantined:
            log_event(
                logger,
                "worker quarantined",
                worker=worker.worker_id,
                until_seconds=round(worker.quarantined_until - now, 2),
            )
        if record.state is JobState.FAILED:
            log_event(
                logger,
                "job failed",
                request_id=record.job.job_id,
                task=task.text,
                n_failures=len(counted.failed_runs),
                worker=worker.worker_id,
            )

    def _requeue_task(self, record: JobRecord, task: Task) -> None:
        if task.phase is TaskPhase.PLACED and not self.runs_by_task.get(task.text):
            task.phase = TaskPhase.WAITING

    def _lose_run(
        self, worker: WorkerRecord, run: Run, reason: str, now: float
    ) -> None:
        self._detach(worker, run)
        is_uncertain = not run.known_at and reason != "not-sent"
        if is_uncertain:
            self._keep_uncertain_start(worker, run)
        self._metrics.increment("runs_lost", "Runs given up.", {"reason": reason})
        log_event(
            logger,
            "run lost",
            request_id=run.record.job.job_id,
            task=run.key.task,
            run=run.key.run,
            worker=worker.worker_id,
            reason=reason,
            uncertain=is_uncertain,
            silent_seconds=round(now - worker.contact_at, 2),
        )
        run.task.is_lost = reason != "not-sent"
        self._requeue_task(run.record, run.task)
        self._finish_if_closing(run.record)

    def _keep_uncertain_start(self, worker: WorkerRecord, run: Run) -> None:
        # The incarnation that received the start rejects it once the lease is over.
        started_at = worker.started_at if run.stopped_at else run.sent_to
        incarnation = Incarnation(worker.worker_id, started_at)
        self.uncertain_starts.add(incarnation, run.key, run.asked_at)

    def _lose_runs(
        self, worker: WorkerRecord, reason: str, now: float, asked_before: float
    ) -> None:
        for run in list(worker.run_by_key.values()):
            if run.known_at and run.asked_at < asked_before:
                self._lose_run(worker, run, reason, now)

    def _remove_worker(self, worker: WorkerRecord) -> None:
        del self.worker_by_id[worker.worker_id]
        log_event(logger, "worker removed", worker=worker.worker_id)

    def begin_run(self, worker: WorkerRecord, task: Task, now: float) -> Run:
        """Note that a run of ``task`` is ordered on the worker."""
        record = self.job_by_id[task.task_id.job_id]
        number = task.run + 1
        if record.is_inherited:
            self._log_inherited_start(worker, task, number, now)
        record.note_run(task, number)
        run = Run(record, task, number, worker.worker_id, now)
        run.sent_to = worker.started_at
        self._attach(worker, run)
        task.phase = TaskPhase.PLACED
        return run

    def _log_inherited_start(
        self, worker: WorkerRecord, task: Task, number: int, now: float
    ) -> None:
        workers = self.workers_of(worker.listed.pool)
        oldest = min(other.contact_at for other in workers)
        possible = self.runs_by_task.get(task.text, [])
        log_event(
            logger,
            "inherited task start decided",
            request_id=task.task_id.job_id,
            task=task.text,
            run=number,
            worker=worker.worker_id,
            possible_runs=",".join(f"{r.key.run}@{r.worker_id}" for r in possible),
            n_workers=len(workers),
            oldest_answer_seconds=round(now - oldest, 3),
        )

    def on_start_outcome(self, run: Run, outcome: OrderOutcome, now: float) -> None:
        """Process the outcome of a start order."""
        worker = self.worker_by_id.get(run.worker_id)
        if worker is None or run.key not in worker.run_by_key:
            return
        if isinstance(outcome, Done):
            self._confirm(run, now)
            if run.phase is RunPhase.ASKED:
                run.phase = RunPhase.RUNNING
            return
        if isinstance(outcome, Rejected):
            self._on_start_rejected(worker, run, outcome.reason, now)
            return
        log_event(
            logger,
            "start without answer",
            request_id=run.record.job.job_id,
            task=run.key.task,
            run=run.key.run,
            worker=run.worker_id,
            reason=outcome.reason,
            may_run=outcome.may_have_committed,
        )
        worker.blocked_until = max(
            worker.blocked_until, now + UNCERTAIN_WORKER_PAUSE_SECONDS
        )
        if not outcome.may_have_committed:
            self._lose_run(worker, run, "not-sent", now)
            return
        run.is_start_uncertain = True

    def _on_start_rejected(
        self, worker: WorkerRecord, run: Run, reason: Rejection, now: float
    ) -> None:
        log_event(
            logger,
            "start rejected",
            request_id=run.record.job.job_id,
            task=run.key.task,
            run=run.key.run,
            worker=run.worker_id,
            reason=reason,
        )
        if reason in (Rejection.UNHEALTHY, Rejection.OTHER_INCARNATION):
            worker.blocked_until = now + UNHEALTHY_PAUSE_SECONDS
        if reason is Rejection.UNHEALTHY:
            note_worker_failure(worker, self.workers_of(worker.listed.pool), now)
        if reason is Rejection.NO_ROOM:
            worker.blocked_until = now + NO_ROOM_PAUSE_SECONDS
        if reason is Rejection.INVALID:
            run.task.not_before = now + UNHEALTHY_PAUSE_SECONDS
        self._detach(worker, run)
        self._requeue_task(run.record, run.task)
        self._finish_if_closing(run.record)

    def on_stop_outcome(self, run: Run, outcome: OrderOutcome, now: float) -> None:
        """Process the outcome of a stop order."""
        if isinstance(outcome, Done):
            run.stopped_at = now
        elif isinstance(outcome, Rejected):
            log_event(
                logger,
                "stop rejected",
                level=logging.WARNING,
                task=run.key.task,
                run=run.key.run,
                worker=run.worker_id,
                reason=outcome.reason,
            )

    def expire(self, now: float) -> None:
        """Give up the runs of silent workers whose lease has expired."""
        self.uncertain_starts.expire(now)
        for worker in self.worker_by_id.values():
            if worker.is_in_contact(now) or now <= worker.lease_until:
                continue
            for run in list(worker.run_by_key.values()):
                self._lose_run(worker, run, "lease-ended", now)

    def on_pace_done(self, worker_id: str, key: RunKey, percent: int) -> None:
        """Note that a worker has applied the new speed of a run, in percent."""
        worker = self.worker_by_id.get(worker_id)
        run = worker.run_by_key.get(key) if worker else None
        if run is not None:
            run.pace = percent

    def is_run_uncertain(self, run: Run, now: float) -> bool:
        """Return whether it is uncertain that the run is alive.

        A task that may run twice gets a second run then.
        """
        worker = self.worker_by_id[run.worker_id]
        return run.is_start_uncertain or not worker.is_in_contact(now)

    def workers_of(self, pool: str) -> list[WorkerRecord]:
        """Return the workers of a pool."""
        return [w for w in self.worker_by_id.values() if w.listed.pool == pool]

    def is_pool_resolved(self, pool: str) -> bool:
        """Return whether tasks of inherited jobs may start in the pool."""
        return pool not in self.unresolved_by_id.values()

    def _may_have_runs(self, record: JobRecord) -> bool:
        if record.n_placed > 0:
            return True
        queue = self.queue_of(record)
        pool = queue.pool if queue else ""
        return record.is_inherited and not self.is_pool_resolved(pool)

    def _finish_if_closing(self, record: JobRecord) -> None:
        if self._may_have_runs(record):
            return
        if record.is_cancel_asked:
            record.mark_canceled()
        if record.is_final:
            # Store it again, this time as a job without runs.
            record.is_dirty = True
