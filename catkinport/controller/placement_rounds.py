"""Placement rounds, each of which plans starts and commits them in one transaction."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..policy.placement import (
    PlacementPlan,
    PlacementProblem,
    Resources,
    RunningTask,
    Start,
    TeamView,
    WaitingJob,
    WorkerView,
    plan_placement,
)
from ..ports import Condition, Conflict, Transaction, Unavailable, Write
from ..state import JobState, VmRow
from . import transitions
from .allowances import Allowance, AllowanceManager
from .job_cache import Job
from .job_commits import (
    JobChange,
    apply_outcome,
    commit_changes,
    job_conditions,
    job_writes,
)
from .leases import LeaseManager
from .outcomes import end_task
from .pool_state import PoolState, Task
from .services import Services
from .sizes import SizeEstimator

MAX_STARTS_PER_ROUND = 100

UNCHANGED_REPLAN_SECONDS = 5.0
"""Period of rounds while the last plan was empty and nothing that it depends on has
changed but the age of checkpoints, which decides which tasks are worth moving. A plan
every 0.5 s took 3% of a core per pool with 300 jobs waiting."""


class _Round(NamedTuple):
    changes: Sequence[JobChange]
    transaction: Transaction


class PlacementRound:
    """Places the waiting jobs of a pool.

    Args:
        services: clients and shared objects of the process.
        state: state of the pool.
        leases: gets the attempts that are about to be committed.
        allowances: cores of the teams' upper limits that the pool holds.
        sizes: estimated sizes of jobs.
    """

    def __init__(
        self,
        services: Services,
        state: PoolState,
        leases: LeaseManager,
        allowances: AllowanceManager,
        sizes: SizeEstimator,
    ) -> None:
        self._services = services
        self._state = state
        self._leases = leases
        self._allowances = allowances
        self._sizes = sizes
        self._idle_inputs: tuple | None = None
        self._next_replan_at = 0.0
        self._last_checked_for_parking: tuple | None = None
        self._undecided: _Round | None = None

    @property
    def is_undecided(self) -> bool:
        """Whether the starts of a round may still take effect."""
        return self._undecided is not None

    def step(self) -> None:
        """Plan a round, commit its starts and free capacity for other jobs.

        A round whose commit had no answer is committed again before another one is
        planned. Its starts would otherwise take effect beside those of the other one.
        """
        if self._undecided is not None:
            self._commit_round(self._undecided)
            return
        waiting = self._list_waiting()
        if not waiting:
            return
        started_at = self._services.clock.now()
        running = self._state.job_cache.list_jobs(JobState.RUNNING)
        teams = {job.row["team"] for job in [*waiting, *running]}
        allowances = self._allowances.read(teams)
        if isinstance(allowances, Unavailable):
            return
        inputs = self._planning_inputs(allowances)
        if inputs == self._idle_inputs and started_at < self._next_replan_at:
            return
        plan = plan_placement(self._build_problem(waiting, allowances))
        is_idle = not (plan.starts or plan.throttles or plan.preemptions)
        self._idle_inputs = inputs if is_idle else None
        self._next_replan_at = started_at + UNCHANGED_REPLAN_SECONDS
        self._commit_starts(plan.starts, allowances)
        self._free_capacity(plan)
        self._record_metrics(started_at, waiting, plan)

    def park_impossible(self) -> None:
        """Park jobs that are larger than every worker or than their team's limit.

        A parked job has ended; it would otherwise wait for ever.
        """
        capacities = [_capacity(vm.row) for vm in self._state.vm_by_id.values()]
        environment = self._state.environment
        checked = (self._state.job_cache.n_changes, capacities, id(environment))
        if not capacities or checked == self._last_checked_for_parking:
            return
        self._last_checked_for_parking = checked
        largest = Resources(
            *(max(amounts) for amounts in zip(*capacities, strict=True))
        )
        now = self._services.unix_time()
        changes = []
        for job in self._list_waiting():
            reason = self._impossible_reason(job, capacities, largest)
            if reason:
                parked = transitions.finish(job.row, JobState.PARKED, now, reason)
                changes.append(JobChange(job, parked))
        commit_changes(self._services.table, self._state, changes)

    def _planning_inputs(self, allowances: Mapping[str, Allowance]) -> tuple:
        """Return all that a plan depends on except the age of checkpoints."""
        state = self._state
        usable = [(vm_id, state.may_get_task(vm_id)) for vm_id in self._usable_vms()]
        available = {t: a.available(state.pool) for t, a in allowances.items()}
        tasks = state.task_by_job.values()
        changing = [(t.job_id, t.ending, t.is_throttled) for t in tasks if t.ending]
        n_throttled = sum(task.is_throttled for task in tasks)
        n_changes = state.job_cache.n_changes
        environment_id = id(state.environment)
        return n_changes, usable, available, changing, n_throttled, environment_id

    def _list_waiting(self) -> list[Job]:
        queued = self._state.job_cache.list_jobs(JobState.QUEUED)
        return [job for job in queued if not job.row["is_cancel_requested"]]

    def _impossible_reason(
        self, job: Job, capacities: Sequence[Resources], largest: Resources
    ) -> str:
        request = self._sizes.correct(job)
        if not any(_fits(request, capacity) for capacity in capacities):
            return (
                f"needs {_format(request)}; the largest worker has {_format(largest)}"
            )
        team = self._state.environment.team_by_name.get(job.row["team"])
        n_cores = job.row["n_cores"]
        if team is not None and n_cores > team.max_cores:
            return f"needs {n_cores:g} cores; the team may use {team.max_cores}"
        return ""

    def _build_problem(
        self, waiting: Sequence[Job], allowances: Mapping[str, Allowance]
    ) -> PlacementProblem:
        teams = self._state.environment.team_by_name
        return PlacementProblem(
            [self._worker_view(vm_id) for vm_id in self._usable_vms()],
            [self._waiting_job(job) for job in waiting],
            [self._running_task(task) for task in self._state.task_by_job.values()],
            {
                name: TeamView(
                    name, teams[name].weight, allowance.available(self._state.pool)
                )
                for name, allowance in allowances.items()
            },
        )

    def _usable_vms(self) -> list[str]:
        now = self._services.clock.now()
        usable = []
        for vm_id, link in sorted(self._state.link_by_vm.items()):
            is_ready = link.has_answered and not link.is_silent(now)
            is_active = self._state.vm_by_id[vm_id].is_active
            if is_ready and is_active and now >= link.no_tasks_until:
                usable.append(vm_id)
        return usable

    def _worker_view(self, vm_id: str) -> WorkerView:
        row = self._state.vm_by_id[vm_id].row
        is_quarantined = not self._state.may_get_task(vm_id)
        capacity = _capacity(row)
        return WorkerView(vm_id, row["zone"], row["rack"], capacity, is_quarantined)

    def _waiting_job(self, job: Job) -> WaitingJob:
        row = job.row
        return WaitingJob(
            job.job_id,
            job.queue,
            row["team"],
            row["is_urgent"],
            self._sizes.correct(job),
            row["submitted_at"],
            frozenset(row["failed_vms"]),
        )

    def _running_task(self, task: Task) -> RunningTask:
        job = self._state.job_cache.get(task.job_id)
        assert job is not None
        row = job.row
        return RunningTask(
            task.job_id,
            job.queue,
            row["team"],
            task.vm_id,
            row["is_urgent"],
            row["is_restartable"],
            self._sizes.correct(job),
            self._services.clock.now() - task.checkpointed_at,
            task.is_throttled,
            bool(task.ending),
        )

    def _commit_starts(
        self, starts: Sequence[Start], allowances: Mapping[str, Allowance]
    ) -> None:
        now = self._services.unix_time()
        changes = []
        for start in starts[:MAX_STARTS_PER_ROUND]:
            job = self._state.job_cache.get(start.job_id)
            if job is not None and job.row["state"] == JobState.QUEUED:
                row = transitions.begin(job.row, job.job_id, start.vm_id, now)
                changes.append(JobChange(job, row))
        changes, conditions, writes = self._reserve_allowances(changes, allowances)
        if not changes:
            return
        for job, row in changes:
            self._leases.expect_start(job.job_id, row["attempt"], row["worker_vm"])
        transaction = Transaction(
            [*job_conditions(self._state, changes), *conditions],
            [*job_writes(changes), *writes],
        )
        self._commit_round(_Round(changes, transaction))

    def _commit_round(self, planned: _Round) -> None:
        """Commit a round, or repeat the commit of the undecided one."""
        is_repeat = self.is_undecided
        self._undecided = None
        outcome = self._services.table.commit(planned.transaction)
        apply_outcome(self._state, planned.changes, outcome)
        # The conflict of a repeat may come from the first commit, whose starts are then
        # found in the rows.
        if isinstance(outcome, Conflict) and not is_repeat:
            for job, row in planned.changes:
                self._leases.forget_start(job.job_id, row["attempt"], row["worker_vm"])
        is_failed = isinstance(outcome, Unavailable)
        if is_failed and (is_repeat or outcome.may_have_committed):
            self._undecided = planned
        self._leases.sync()

    def _reserve_allowances(
        self, changes: Sequence[JobChange], allowances: Mapping[str, Allowance]
    ) -> tuple[list[JobChange], list[Condition], list[Write]]:
        """Return the starts within the teams' limits, with their conditions and writes.

        Starts above a limit are dropped. The plan may contain some, because it counts
        estimated sizes and the limit applies to declared ones.
        """
        needed = self._allowances.used_cores()
        allowed = []
        for change in changes:
            team, cores = change.row["team"], change.row["n_cores"]
            total = needed.get(team, 0.0) + cores
            if team not in allowances:
                continue
            if self._allowances.reserve(allowances[team], total) is not None:
                needed[team] = total
                allowed.append(change)
        conditions: list[Condition] = []
        writes: list[Write] = []
        for team in {change.row["team"] for change in allowed}:
            reserved = self._allowances.reserve(allowances[team], needed[team])
            assert reserved is not None
            conditions += reserved[0]
            writes += reserved[1]
        return allowed, conditions, writes

    def _free_capacity(self, plan: PlacementPlan) -> None:
        for throttle in plan.throttles:
            self._throttle(throttle.job_id, throttle.fraction)
        for preemption in plan.preemptions:
            task = self._state.task_by_job.get(preemption.job_id)
            job = self._state.job_of(task) if task else None
            # A job that is not restartable would be lost if it were stopped.
            if task is None or job is None or not job.row["is_restartable"]:
                continue
            how = "checkpoint" if preemption.with_checkpoint else "stop"
            end_task(self._services, self._state, task, how)

    def _throttle(self, job_id: str, fraction: float) -> None:
        task = self._state.task_by_job.get(job_id)
        link = self._state.link_by_vm.get(task.vm_id) if task else None
        if task is None or link is None or task.needs_start:
            return
        epoch = self._state.ownership.epoch
        outcome = self._services.workers.throttle_task(
            link.address, job_id, task.attempt, epoch, fraction
        )
        if outcome is None:
            task.is_throttled = fraction < 1.0

    def _record_metrics(
        self, started_at: float, waiting: Sequence[Job], plan: PlacementPlan
    ) -> None:
        labels = {"pool": self._state.pool}
        seconds = self._services.clock.now() - started_at
        metrics = self._services.metrics
        metrics.observe(
            "catkin_round_seconds", "Time of a placement round.", labels, seconds
        )
        n_waiting = len(waiting) - len(plan.starts)
        metrics.set(
            "catkin_jobs_waiting", "Jobs that wait for room.", labels, n_waiting
        )


def _capacity(row: VmRow) -> Resources:
    return Resources(row["n_cores"], row["memory_gb"], row["n_accelerators"])


def _fits(request: Resources, capacity: Resources) -> bool:
    return all(need <= room for need, room in zip(request, capacity, strict=True))


def _format(amount: Resources) -> str:
    return (
        f"{amount.cores:g} cores, {amount.memory_gb:g} GB, "
        f"{amount.accelerators:g} accelerators"
    )
