"""A simulated pool that runs the placement function in rounds on a manual clock.

The simulation assumes that a checkpoint takes 0.5 to 1.5 s and a stop without one
0.2 s, that a resumed task continues from its checkpoint, and that a throttled task
runs at half speed.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from catkinport.policy.placement import (
    THROTTLE_FRACTION,
    PlacementPlan,
    PlacementProblem,
    Resources,
    RunningTask,
    TeamView,
    WaitingJob,
    WorkerView,
)
from catkinport.ports.clock import ManualClock

STOP_SECONDS = 0.2
ROUND_SECONDS = 0.5
CORES_PER_WORKER = 64.0
MEMORY_PER_WORKER_GB = 256.0
WORKERS_PER_RACK = 4

Planner = Callable[[PlacementProblem], PlacementPlan]


class FakeJob(NamedTuple):
    """A job with its true size; ``declared`` is what the planner sees by default."""

    job_id: str
    queue: str
    team: str
    is_urgent: bool
    is_restartable: bool
    size: Resources
    declared: Resources
    run_seconds: float
    submitted_at: float


class Attempt(NamedTuple):
    """A running task; ``left`` is its remaining run time at full speed, in seconds."""

    job: FakeJob
    vm_id: str
    left: float
    reserved: Resources
    checkpointed_at: float
    is_throttled: bool = False
    ends_at: float | None = None
    is_checkpointing: bool = False


def make_workers(n_workers: int, n_zones: int = 3) -> list[WorkerView]:
    """Return equal workers, four to a rack, racks in turn over the zones."""
    workers = []
    for n in range(n_workers):
        rack = n // WORKERS_PER_RACK
        capacity = Resources(CORES_PER_WORKER, MEMORY_PER_WORKER_GB, 0.0)
        zone = f"zone-{rack % n_zones}"
        workers.append(WorkerView(f"vm-{n:04d}", zone, f"rack-{rack}", capacity))
    return workers


class FakePool:
    """Waiting jobs, running tasks and their outcomes under a placement planner.

    Attributes:
        waiting: each waiting job with its remaining run time in seconds, by job id.
        running: the running task of each job, by job id.
        start_delays: each started job with the seconds from submission to first start.
        n_moves: number of preemptions of running tasks.
        lost_core_seconds: work since the last checkpoint that stops discarded.
    """

    def __init__(
        self,
        workers: Sequence[WorkerView],
        teams: Sequence[TeamView],
        planner: Planner,
        seed: int,
        round_seconds: float = ROUND_SECONDS,
        estimate: Callable[[FakeJob], Resources] = lambda job: job.declared,
    ) -> None:
        self.clock = ManualClock()
        self.workers = workers
        self.team_by_name = {team.name: team for team in teams}
        self.waiting: dict[str, tuple[FakeJob, float]] = {}
        self.running: dict[str, Attempt] = {}
        self.start_delays: list[tuple[FakeJob, float]] = []
        self.finished: list[FakeJob] = []
        self.n_moves = 0
        self.lost_core_seconds = 0.0
        self.n_throttles = 0
        self.last_plan: PlacementPlan | None = None
        self._planner = planner
        self._rng = Random(seed)
        self._round_seconds = round_seconds
        self._estimate = estimate
        self._started: set[str] = set()

    def submit(self, job: FakeJob) -> None:
        """Add a job to the waiting jobs."""
        self.waiting[job.job_id] = (job, job.run_seconds)

    def problem(self) -> PlacementProblem:
        """Return the input of the next round."""
        now = self.clock.now()
        waiting = [
            WaitingJob(
                job.job_id,
                job.queue,
                job.team,
                job.is_urgent,
                self._estimate(job),
                job.submitted_at,
            )
            for job, _ in self.waiting.values()
        ]
        running = [
            RunningTask(
                attempt.job.job_id,
                attempt.job.queue,
                attempt.job.team,
                attempt.vm_id,
                attempt.job.is_urgent,
                attempt.job.is_restartable,
                attempt.reserved,
                now - attempt.checkpointed_at,
                attempt.is_throttled,
                attempt.ends_at is not None,
            )
            for attempt in self.running.values()
        ]
        return PlacementProblem(self.workers, waiting, running, self.team_by_name)

    def step(self) -> None:
        """Advance the clock by one round, then make a plan and apply it."""
        self._advance(self._round_seconds)
        plan = self._planner(self.problem())
        self.last_plan = plan
        now = self.clock.now()
        for throttle in plan.throttles:
            attempt = self.running[throttle.job_id]
            is_throttled = throttle.fraction < 1
            self.running[throttle.job_id] = attempt._replace(is_throttled=is_throttled)
            self.n_throttles += is_throttled
        for preempt in plan.preemptions:
            seconds = STOP_SECONDS
            if preempt.with_checkpoint:
                seconds = self._rng.uniform(0.5, 1.5)
            self.running[preempt.job_id] = self.running[preempt.job_id]._replace(
                ends_at=now + seconds, is_checkpointing=preempt.with_checkpoint
            )
            self.n_moves += 1
        for start in plan.starts:
            job, left = self.waiting.pop(start.job_id)
            self.running[job.job_id] = Attempt(
                job, start.vm_id, left, self._estimate(job), now
            )
            if job.job_id not in self._started:
                self._started.add(job.job_id)
                self.start_delays.append((job, now - job.submitted_at))

    def _advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        now = self.clock.now()
        for job_id, attempt in list(self.running.items()):
            speed = THROTTLE_FRACTION if attempt.is_throttled else 1.0
            attempt = attempt._replace(left=attempt.left - seconds * speed)
            self.running[job_id] = attempt
            if attempt.left <= 0:
                self.finished.append(attempt.job)
                del self.running[job_id]
            elif attempt.ends_at is not None and attempt.ends_at <= now:
                self._stop_attempt(attempt)

    def _stop_attempt(self, attempt: Attempt) -> None:
        left = attempt.left
        if not attempt.is_checkpointing:
            since_checkpoint = self.clock.now() - attempt.checkpointed_at
            left = min(attempt.job.run_seconds, left + since_checkpoint)
            self.lost_core_seconds += (left - attempt.left) * attempt.job.size.cores
        del self.running[attempt.job.job_id]
        self.waiting[attempt.job.job_id] = (attempt.job, left)
