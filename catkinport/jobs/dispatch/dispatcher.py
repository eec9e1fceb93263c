"""State machine of the jobs and workers of a fleet, run by the daemon that owns it.

One daemon at a time owns the fleet. Nothing here does input or output, and time is
passed in. `planner` decides which tasks start; `run_orders` sends the orders and
reports their outcomes to the dispatcher.

A run is one execution of a task on a worker; a lasting task runs until its job is
canceled. A job is inherited if a former owner may have started tasks of it, and closing
once no more of its tasks may start.

The state is in `job_table`, `worker_table` and `run_table`. `run_ends`,
`order_outcomes`, `worker_reports`, `worker_listing`, `worker_vms` and
`inherited_workers` process one kind of event each.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from ...ports.fleet_vms import FleetVm
from ...ports.fleet_workers import ListedWorker, OrderOutcome, WorkerLists
from ...runtime import Metrics
from ..configuration import AcceptedRules, FleetConfiguration, Queue
from ..model import Job
from ..workers.inherited_workers import InheritedWorkers
from ..workers.run import Run, RunKey
from ..workers.worker_listing import WorkerListing
from ..workers.worker_reports import WorkerReports
from ..workers.worker_state import LEASE_SECONDS, Incarnation, WorkerRecord
from ..workers.worker_table import WorkerTable
from ..workers.worker_vms import WorkerVms
from .approvals import Approvals
from .former_pools import FormerPools
from .job_table import JobTable, is_over
from .order_outcomes import OrderOutcomes
from .record import JobRecord
from .run_ends import RunEnds
from .run_table import RunTable
from .task import Task

__all__ = ["Dispatcher", "is_over"]


class Dispatcher:
    """Jobs and workers as the owner knows them.

    Args:
        configuration: version in force.
        metrics: metrics of the process; ``None`` for metrics that nobody reads.
        longest_lease: longest lease in seconds that a worker grants.

    Attributes:
        configuration: version in force.
        job_by_id: jobs that have not been stored as ended.
        worker_by_id: workers that are listed or may still run something.
        runs_by_task: runs of each task that may be alive, by the task's name.
        estimates: expected durations and work of jobs.
        orphan_stop_sent_at: clock time in seconds of the latest stop order for each run
            whose job is unknown, by worker id and run; 0 before the first order.
        uncertain_starts: start orders that were given up, but may be carried out late.
        unanswered_runs: runs on the workers whose start order had no answer, and that
            no report shows.
        unresolved_by_id: pool of each worker that the former owner used and that may
            still run its tasks, by worker id. A worker is resolved once it has
            reported to this owner, its VM has gone or its lease has expired.
        evacuated_zones: availability zones whose workers get no new tasks, kept up to
            date by `ZoneEvacuations`.
        approvals: approvals of workers for steps.
    """

    def __init__(
        self,
        configuration: FleetConfiguration,
        metrics: Metrics | None = None,
        longest_lease: float = LEASE_SECONDS,
    ) -> None:
        self.configuration = configuration
        self._known_queue_by_name: dict[str, Queue] = {}
        self._former_pools = FormerPools()
        self._stored_pool_by_queue: dict[str, str] = {}
        self._later_rules: list[AcceptedRules] = []
        metrics = metrics or Metrics()
        self._workers = WorkerTable(longest_lease)
        self._jobs = JobTable(
            self._known_queue_by_name, self._workers, self._former_pools
        )
        self._runs = RunTable(self._jobs, self._workers, metrics)
        self._inherited = InheritedWorkers(self._workers, self._jobs)
        self._listing = WorkerListing(self._workers, self._runs)
        self._vms = WorkerVms(self._workers, self._runs, self._inherited)
        ends = RunEnds(self._jobs, self._workers, self._runs, metrics)
        self._reports = WorkerReports(self._workers, self._runs, ends, self._inherited)
        self.approvals = Approvals()
        self._outcomes = OrderOutcomes(self._workers, self._runs, self.approvals)
        # The tables change these collections in place and never replace them.
        self.job_by_id = self._jobs.job_by_id
        self.estimates = self._jobs.estimates
        self.worker_by_id = self._workers.worker_by_id
        self.unresolved_by_id = self._workers.unresolved_by_id
        self.evacuated_zones = self._workers.evacuated_zones
        self.runs_by_task = self._runs.runs_by_task
        self.uncertain_starts = self._runs.uncertain_starts
        self.unanswered_runs = self._runs.unanswered_runs
        self.orphan_stop_sent_at = self._reports.orphan_stop_sent_at
        self.apply_configuration(configuration)

    @property
    def longest_lease(self) -> float:
        """Longest lease in seconds that a worker grants."""
        return self._workers.longest_lease

    @longest_lease.setter
    def longest_lease(self, seconds: float) -> None:
        self._workers.longest_lease = seconds

    def is_evacuated(self, zone: str) -> bool:
        """Return whether workers in the availability zone get no new tasks."""
        return zone in self.evacuated_zones

    def apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a version of the configuration.

        Queues that it removes stay known, because their accepted jobs continue.
        """
        self.configuration = configuration
        for queue in configuration.queue_by_name.values():
            self._note_former_pool(queue)
        self._known_queue_by_name.update(configuration.queue_by_name)
        later, self._later_rules = self._later_rules, []
        for rules in later:
            self.add_rules(rules)

    def add_rules(self, rules: AcceptedRules) -> None:
        """Add the rules of an accepted job's queue, if no configuration had it.

        Rules of a newer version than the configuration in force wait for that version,
        which may have new limits of accounts too.
        """
        if rules.version > self.configuration.version:
            self._later_rules.append(rules)
        else:
            self._known_queue_by_name.setdefault(rules.queue.name, rules.queue)

    def restore_queue(self, queue: Queue) -> None:
        """Add a queue that a former owner has stored; a known one stays as it is."""
        present = self._known_queue_by_name.setdefault(queue.name, queue)
        if present.pool != queue.pool:
            version = self.configuration.version
            self._former_pools.note(queue.name, queue.pool, version)

    def restore_former_pools(
        self, queue: str, version_by_pool: Mapping[str, int]
    ) -> None:
        """Add the former pools of a queue that a former owner knew."""
        for pool, version in version_by_pool.items():
            self._former_pools.note(queue, pool, version)

    def note_stored_queues(self, pool_by_queue: Mapping[str, str]) -> None:
        """Note the pools of queues that a successor will read from the table service.

        Args:
            pool_by_queue: pool of each queue in the stored row.
        """
        self._stored_pool_by_queue = dict(pool_by_queue)

    def may_start_in(self, record: JobRecord, queue: Queue) -> bool:
        """Return whether a successor would look for runs of a job in its queue's pool.

        The row of the job tells it the pool under which the job was accepted, and the
        stored queues tell it later ones. A run in any other pool would be unknown to
        it until the pool's workers are reached, and the task could start twice.
        """
        if record.rules is not None:
            is_accepted_pool = record.rules.queue.pool == queue.pool
        else:
            is_accepted_pool = not self._former_pools.versions_by_pool(queue.name)
        stored_pool = self._stored_pool_by_queue.get(queue.name)
        return is_accepted_pool or stored_pool == queue.pool

    def find_former_pools(self, queue: str) -> dict[str, int]:
        """Return the former pools of a queue in which its jobs may have runs.

        Returns:
            For each pool, the latest version of the configuration under which such a
            job was accepted.
        """
        self._former_pools.prune(self.job_by_id.values())
        return self._former_pools.versions_by_pool(queue)

    def _note_former_pool(self, queue: Queue) -> None:
        """Remember the pool that a queue is about to lose."""
        former = self._known_queue_by_name.get(queue.name)
        if former is None or former.pool == queue.pool:
            return
        # Other daemons may have accepted jobs under a newer version already.
        accepted = [record.accepted_version for record in self.job_by_id.values()]
        until_version = max(self.configuration.version, *accepted, 0)
        self._former_pools.note(queue.name, former.pool, until_version)

    def find_used_queues(self, former_names: Iterable[str]) -> list[Queue]:
        """Return the queues that have unfinished jobs, or may soon have some again.

        Args:
            former_names: names that an earlier call returned; those that the
                configuration has are returned again.
        """
        names = {record.job.queue for record in self.job_by_id.values()}
        names |= self.configuration.queue_by_name.keys() & set(former_names)
        known = self._known_queue_by_name
        return [known[name] for name in sorted(names) if name in known]

    def queue_of(self, record: JobRecord) -> Queue | None:
        """Return the queue of a job; ``None`` if no known configuration has it."""
        return self._jobs.queue_of(record)

    def add_job(
        self,
        job: Job,
        now: float,
        is_inherited: bool = False,
        age_seconds: float = 0.0,
        rules: AcceptedRules | None = None,
    ) -> None:
        """Add an accepted job; do nothing if it is known already.

        Args:
            job: the job.
            now: clock time in seconds at which this owner has read it.
            is_inherited: whether a former owner may have started tasks of it.
            age_seconds: approximate time since it was accepted.
            rules: rules under which it was accepted; ``None`` if unknown.
        """
        self._jobs.add(job, now, is_inherited, age_seconds, rules)

    def load_state(self, job_id: str, row: dict[str, Any], version: int) -> None:
        """Load the stored state of a job; drop the job if it is over."""
        self._jobs.load_state(job_id, row, version)

    def cancel_job(self, job_id: str) -> None:
        """Note that the caller has asked to cancel the job."""
        self._jobs.cancel(job_id)

    def count_waiting(self) -> dict[str, int]:
        """Return how many jobs have not started, for each queue with such jobs."""
        return self._jobs.count_waiting()

    def dirty_jobs(self) -> list[JobRecord]:
        """Return the jobs whose state has to be stored."""
        return self._jobs.dirty_jobs()

    def forget_ended(self, record: JobRecord) -> None:
        """Drop a job that has ended, once its end is stored and none of it runs."""
        self._jobs.forget_ended(record)

    def finish_closing_jobs(self) -> None:
        """End the closing jobs that can have no runs on any worker."""
        self._jobs.finish_closing_jobs()

    def update_workers(
        self, listed: Sequence[ListedWorker], sent_at: float, now: float
    ) -> None:
        """Update the workers from the latest list of them, requested at ``sent_at``."""
        self._listing.update(listed, sent_at, now)

    def retire_worker(
        self, incarnation: Incarnation, ordered_at: float, now: float
    ) -> None:
        """Remove a worker that an order for its VM has ended, with its runs.

        A worker that has started again under the same id stays, or may have done so.

        Args:
            incarnation: the worker.
            ordered_at: clock time in seconds before which the order was not carried
                out.
            now: clock time in seconds.
        """
        self._listing.retire(incarnation, ordered_at, now)

    def update_vms(self, vms: Sequence[FleetVm], sent_at: float, now: float) -> None:
        """Update the workers from the platform's VM list, requested at ``sent_at``."""
        self._vms.update(vms, sent_at, now)

    def on_worker_report(
        self, worker_id: str, lists: WorkerLists, sent_at: float, now: float
    ) -> None:
        """Process a worker's report of the runs that it executes and that ended."""
        self._reports.process(worker_id, lists, sent_at, now)

    def note_former_orders(self, until: float) -> None:
        """Note that former owners may have sent orders until that clock time."""
        self._workers.former_orders_until = until

    def resolve_inherited_workers(self, now: float) -> None:
        """Note that the leases of the former owner's runs have expired.

        Workers that this owner has not reached have therefore ended those runs. Those
        that it has reached in part are left out, unless its own lease has expired too.
        """
        self._inherited.resolve_expired(now)

    def workers_outside_evacuations(self, pool: str) -> list[WorkerRecord]:
        """Return the workers of a pool that are not in evacuated zones."""
        return self._workers.workers_outside_evacuations(pool)

    def workers_of(self, pool: str) -> list[WorkerRecord]:
        """Return the workers of a pool."""
        return self._workers.workers_of(pool)

    def is_pool_resolved(self, pool: str) -> bool:
        """Return whether all workers that a former owner used in the pool are known."""
        return self._workers.is_pool_resolved(pool)

    def is_job_resolved(self, record: JobRecord) -> bool:
        """Return whether no worker that is not reached yet can run tasks of a job."""
        return self._jobs.is_resolved(record)

    def begin_run(self, worker: WorkerRecord, task: Task, now: float) -> Run:
        """Note that a run of ``task`` is ordered on the worker."""
        return self._runs.begin(worker, task, now)

    def is_run_uncertain(self, run: Run, now: float) -> bool:
        """Return whether it is uncertain that the run is alive.

        A task that may run twice gets a second run then.
        """
        return self._runs.is_uncertain(run, now)

    def expire(self, now: float) -> None:
        """Give up the runs of silent workers whose lease has expired."""
        self._runs.expire(now)

    def on_start_outcome(self, run: Run, outcome: OrderOutcome, now: float) -> None:
        """Process the outcome of a start order."""
        self._outcomes.on_start(run, outcome, now)

    def on_stop_outcome(self, run: Run, outcome: OrderOutcome, now: float) -> None:
        """Process the outcome of a stop order."""
        self._outcomes.on_stop(run, outcome, now)

    def on_pace_done(self, worker_id: str, key: RunKey, percent: int) -> None:
        """Note that a worker has applied the new speed of a run, in percent."""
        self._outcomes.on_pace_done(worker_id, key, percent)
