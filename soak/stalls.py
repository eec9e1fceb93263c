"""Watches for jobs of which nothing runs beside room in their pool.

A job stalls while none of its tasks runs, one of them could start, its pool has room
for it twice and less than half of the pool's cores are in use. Each lasting task is
watched by itself, since it has to run until its job is canceled.
"""

import threading
import time
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from verification.platform.caller import SentJob
from verification.platform.deployment import PlatformDeployment

MIN_STALL_SECONDS = 3.0
"""Stalls that are at least this long are violations, as promised to users."""

LASTING_GRACE_SECONDS = 6.0
"""Time from the last run of a lasting task after which it counts as waiting."""

MIN_FREE_ROOMS = 2
"""Number of times that a task must fit in its pool."""

MAX_USED_FRACTION = 0.5
"""Fraction of the cores of a pool below which it is not full."""

POLL_SECONDS = 0.25
"""Interval at which the monitor looks."""


class Stall(NamedTuple):
    """A time during which a job or a lasting task stalled.

    Args:
        name: id of the job, or name of the lasting task.
        queue: queue of the job.
        began_at: time of the monotonic clock in seconds.
        seconds: length.
    """

    name: str
    queue: str
    began_at: float
    seconds: float


class _PoolRoom(NamedTuple):
    """Free cores of each worker of a pool, and the fraction of all that is in use."""

    free_by_worker: Mapping[str, float]
    used_fraction: float

    def is_wide(self, cores: float) -> bool:
        """Return whether a task fits twice and the pool is less than half full."""
        n_rooms = sum(int(free / cores) for free in self.free_by_worker.values())
        return n_rooms >= MIN_FREE_ROOMS and self.used_fraction < MAX_USED_FRACTION


class RunBook:
    """What runs and what is done, from the events that the workers recorded."""

    def __init__(self) -> None:
        self.n_events = 0
        self.done: set[str] = set()
        self.ended_at_by_task: dict[str, float] = {}
        self._run_by_task: dict[str, set[tuple[str, int]]] = {}
        self._tasks_by_job: dict[str, set[str]] = {}

    def add(self, events: Sequence[Mapping[str, Any]]) -> None:
        """Add the next events."""
        self.n_events += len(events)
        for event in events:
            task, what = event["task"], event["what"]
            job = task.partition(".")[0]
            runs = self._run_by_task.setdefault(task, set())
            if what == "started":
                runs.add((event["worker"], event["run"]))
                self._tasks_by_job.setdefault(job, set()).add(task)
            elif what != "noted":
                runs.discard((event["worker"], event["run"]))
                self.ended_at_by_task[task] = event["at"]
                if what == "done":
                    self.done.add(task)
            if not runs:
                self._tasks_by_job.get(job, set()).discard(task)

    def is_running(self, task: str) -> bool:
        """Return whether a run of the task is under way."""
        return bool(self._run_by_task.get(task))

    def running_tasks(self, job: str) -> set[str]:
        """Return the tasks of the job that are running."""
        return self._tasks_by_job.get(job, set())

    def workers_of(self, task: str) -> list[str]:
        """Return the workers on which the task runs."""
        return [worker for worker, _ in self._run_by_task.get(task, ())]


class StallMonitor:
    """Background thread that looks for stalls until it is stopped.

    Args:
        deployment: deployment with the stand-in of the platform.
        jobs: jobs that were submitted; it may grow.

    Attributes:
        stalls: stalls of at least `MIN_STALL_SECONDS`.
        n_looks: number of times that it has looked.
    """

    def __init__(self, deployment: PlatformDeployment, jobs: Sequence[SentJob]) -> None:
        self.stalls: list[Stall] = []
        self.n_looks = 0
        self._deployment = deployment
        self._jobs = jobs
        self._book = RunBook()
        self._since_by_name: dict[str, tuple[float, str]] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._watch)

    def start(self) -> None:
        """Start looking."""
        self._thread.start()

    def stop(self) -> list[Stall]:
        """Stop looking; return the stalls, with those that have not ended."""
        self._stop.set()
        self._thread.join()
        self._end_stalls(set(), time.monotonic())
        return self.stalls

    def _watch(self) -> None:
        while not self._stop.wait(POLL_SECONDS):
            self.look(time.monotonic())

    def look(self, now: float) -> None:
        """Look at all jobs once."""
        self.n_looks += 1
        events = self._deployment.list_events(self._book.n_events)
        self._book.add(events)
        rooms = self._measure_rooms()
        stalled: dict[str, str] = {}
        for job in list(self._jobs):
            room = rooms.get(f"pool-{job.queue.rpartition('-')[2]}")
            if not job.accepted_at or room is None:
                continue
            for name in self._find_stalled(job, room, now):
                stalled[name] = job.queue
        self._end_stalls(set(stalled), now)
        for name, queue in stalled.items():
            self._since_by_name.setdefault(name, (now, queue))

    def _find_stalled(self, job: SentJob, room: _PoolRoom, now: float) -> list[str]:
        waiting = self._find_waiting(job)
        if not waiting or not room.is_wide(waiting[0][1]):
            return []
        if not job.steps[0].is_lasting:
            return [] if self._book.running_tasks(job.job_id) else [job.job_id]
        ended_at = self._book.ended_at_by_task
        since = job.accepted_at
        return [
            task
            for task, _ in waiting
            if now - ended_at.get(task, since) > LASTING_GRACE_SECONDS
        ]

    def _find_waiting(self, job: SentJob) -> list[tuple[str, float]]:
        """Return the tasks of a job that could start, with their cores."""
        names_by_step = [
            [f"{job.job_id}.0.{number}.{index}" for index in range(step.n_tasks)]
            for number, step in enumerate(job.steps)
        ]
        done = self._book.done
        waiting = []
        for step, names in zip(job.steps, names_by_step, strict=True):
            earlier = [name for other in step.after for name in names_by_step[other]]
            if all(name in done for name in earlier):
                waiting += [
                    (name, step.cores)
                    for name in names
                    if name not in done and not self._book.is_running(name)
                ]
        return waiting

    def _measure_rooms(self) -> dict[str, _PoolRoom]:
        used_by_worker: dict[str, float] = {}
        for job in list(self._jobs):
            for task in list(self._book.running_tasks(job.job_id)):
                cores = job.steps[int(task.split(".")[2])].cores
                for worker in self._book.workers_of(task):
                    used_by_worker[worker] = used_by_worker.get(worker, 0.0) + cores
        free_by_pool: dict[str, dict[str, float]] = {}
        total_by_pool: dict[str, float] = {}
        for vm in self._deployment.list_vms():
            if vm["State"] != "up" or not vm["Id"]:
                continue
            cores = vm["Capacity"]["Cpu"] / 1000
            free = cores - used_by_worker.get(vm["Id"], 0.0)
            free_by_pool.setdefault(vm["Pool"], {})[vm["Id"]] = free
            total_by_pool[vm["Pool"]] = total_by_pool.get(vm["Pool"], 0.0) + cores
        return {
            pool: _PoolRoom(free, 1.0 - sum(free.values()) / total_by_pool[pool])
            for pool, free in free_by_pool.items()
        }

    def _end_stalls(self, stalled: set[str], now: float) -> None:
        for name in self._since_by_name.keys() - stalled:
            began_at, queue = self._since_by_name.pop(name)
            if now - began_at >= MIN_STALL_SECONDS:
                self.stalls.append(Stall(name, queue, began_at, now - began_at))
