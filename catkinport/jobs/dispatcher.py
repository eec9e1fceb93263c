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
    ListedWorker,
    OrderOutcome,
    WorkerLists,
)
from ..runtime import Metrics
from ..runtime.logs import log_event
from .configuration import FleetConfiguration, Queue
from .inherited_workers import InheritedWorkers
from .job_table import JobTable, is_over
from .model import Job
from .order_outcomes import OrderOutcomes
from .record import JobRecord, Task
from .run_ends import RunEnds
from .run_table import RunTable
from .worker_state import (
    LEASE_SECONDS,
    Incarnation,
    Run,
    RunKey,
    RunPhase,
    WorkerRecord,
    bound_lease,
)
from .worker_table import WorkerTable

__all__ = ["Dispatcher", "is_over"]

logger = logging.getLogger(__name__)

VM_LIST_LAG_SECONDS = 1.2
"""Maximum age of the data in the platform's VM list. If the list shows a VM as down or
with another worker, runs ordered there longer than this before the list was requested
have ended."""


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
        metrics = metrics or Metrics()
        self._known_queue_by_name: dict[str, Queue] = {}
        self.apply_configuration(configuration)
        self._workers = WorkerTable()
        self._jobs = JobTable(self._known_queue_by_name, self._workers)
        self._runs = RunTable(self._jobs, self._workers, metrics)
        self._ends = RunEnds(self._jobs, self._runs, metrics)
        self._outcomes = OrderOutcomes(self._workers, self._runs)
        self._inherited = InheritedWorkers(self._workers, self._jobs)
        # The tables change these collections in place and never replace them.
        self.job_by_id = self._jobs.job_by_id
        self.estimates = self._jobs.estimates
        self.worker_by_id = self._workers.worker_by_id
        self.unresolved_by_id = self._workers.unresolved_by_id
        self.runs_by_task = self._runs.runs_by_task
        self.uncertain_starts = self._runs.uncertain_starts
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
        self._jobs.add(job, now, is_inherited, age_seconds)

    def load_state(self, job_id: str, row: dict[str, Any], version: int) -> None:
        """Load the stored state of a job; drop the job if it is over."""
        self._jobs.load_state(job_id, row, version)

    def cancel_job(self, job_id: str) -> None:
        """Note that the caller has asked to cancel the job."""
        self._jobs.cancel(job_id)

    def queue_of(self, record: JobRecord) -> Queue | None:
        """Return the queue of a job; ``None`` if no known configuration has it."""
        return self._jobs.queue_of(record)

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
        return self._jobs.count_waiting(self.configuration.queue_by_name)

    def dirty_jobs(self) -> list[JobRecord]:
        """Return the jobs whose state has to be stored."""
        return self._jobs.dirty_jobs()

    def forget_ended(self, record: JobRecord) -> None:
        """Drop a job that has ended, once its end is stored and none of it runs."""
        self._jobs.forget_ended(record)

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
                self._workers.remove(worker_record)

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
            worker.pause_as_uncertain(now)
            self._inherited.resolve(worker.worker_id, reason, now)
            self._runs.lose_confirmed(
                worker, reason, now, sent_at - VM_LIST_LAG_SECONDS
            )

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
        self._inherited.resolve(worker_id, "reached", now)
        for ended in sorted(lists.ended):
            if ended.number > worker.processed_end:
                self._ends.process(worker, ended, now)
                worker.processed_end = ended.number
        self._reconcile_running(worker, lists, sent_at, now)

    def finish_closing_jobs(self) -> None:
        """End the closing jobs that can have no runs on any worker."""
        self._jobs.finish_closing_jobs()

    def resolve_inherited_workers(self, now: float) -> None:
        """Note that the leases of the former owner's runs have expired.

        Workers that this owner has not reached have therefore ended those runs.
        """
        self._inherited.resolve_all(now)

    def retire_worker(self, incarnation: Incarnation, now: float) -> None:
        """Remove a worker that an order for its VM has ended, with all of its runs.

        A worker that has started again under the same id stays.
        """
        self._retired_by_id[incarnation.worker_id] = incarnation
        worker = self.worker_by_id.get(incarnation.worker_id)
        if worker is None or worker.incarnation != incarnation:
            return
        for run in list(worker.run_by_key.values()):
            self._runs.lose(worker, run, "vm-ordered-away", now)
        self._workers.remove(worker)

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
                self._runs.lose(worker, run, "worker-restarted", now)
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
            run = worker.run_by_key.get(key) or self._runs.adopt(worker, key, now)
            if run is None:
                self.orphan_stop_sent_at.setdefault((worker.worker_id, key), 0.0)
                continue
            self._runs.confirm(run, now)
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
                self._runs.lose(worker, run, "not-listed", now)

    def begin_run(self, worker: WorkerRecord, task: Task, now: float) -> Run:
        """Note that a run of ``task`` is ordered on the worker."""
        return self._runs.begin(worker, task, now)

    def on_start_outcome(self, run: Run, outcome: OrderOutcome, now: float) -> None:
        """Process the outcome of a start order."""
        self._outcomes.on_start(run, outcome, now)

    def on_stop_outcome(self, run: Run, outcome: OrderOutcome, now: float) -> None:
        """Process the outcome of a stop order."""
        self._outcomes.on_stop(run, outcome, now)

    def expire(self, now: float) -> None:
        """Give up the runs of silent workers whose lease has expired."""
        self._runs.expire(now)

    def on_pace_done(self, worker_id: str, key: RunKey, percent: int) -> None:
        """Note that a worker has applied the new speed of a run, in percent."""
        self._outcomes.on_pace_done(worker_id, key, percent)

    def is_run_uncertain(self, run: Run, now: float) -> bool:
        """Return whether it is uncertain that the run is alive.

        A task that may run twice gets a second run then.
        """
        return self._runs.is_uncertain(run, now)

    def workers_of(self, pool: str) -> list[WorkerRecord]:
        """Return the workers of a pool."""
        return self._workers.workers_of(pool)

    def is_pool_resolved(self, pool: str) -> bool:
        """Return whether tasks of inherited jobs may start in the pool."""
        return self._workers.is_pool_resolved(pool)
