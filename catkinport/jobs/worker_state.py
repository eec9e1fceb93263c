"""What the owner believes of a worker."""

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from ..policy.resources import Resources
from ..ports.fleet_workers import ListedWorker
from .record import JobRecord, Task

LEASE_SECONDS = 4.0
"""Lease of what runs on a worker. Longer than the time in which ownership changes, and
short, because tasks of a silent worker start elsewhere only after it."""

LEASE_MARGIN_SECONDS = 0.3
"""Added to a lease for the age of what is known of the worker's clock."""

CLOCK_ERROR = 0.02
"""Fraction by which a worker's clock may be slow."""

MAX_LEASE_SECONDS = LEASE_SECONDS * (1 + 1.5 * CLOCK_ERROR) + LEASE_MARGIN_SECONDS
"""Longest time, on our clock, that tasks outlive the last call of their owner."""

FRESH_CONTACT_SECONDS = 1.6
"""A worker that has not answered for so long gets no new tasks: one long poll and the
time-out of the next."""

RENEW_CONTACT_SECONDS = 1.0
"""Beyond this the lease of a silent worker is not renewed, so that it ends."""

HEALTH_WINDOW = 6
"""Ends remembered for each worker."""

QUARANTINE_SECONDS = 3.0
"""First time without new tasks after several failures; doubles each time."""

MAX_QUARANTINE_SECONDS = 12.0
"""Longest time without new tasks."""

UNHEALTHY_PAUSE_SECONDS = 0.5
"""Pause after a worker has refused a start because it is unhealthy."""


class RunPhase(StrEnum):
    """Where a run stands."""

    ASKED = "asked"
    RUNNING = "running"
    STOPPING = "stopping"


class RunKey(NamedTuple):
    """A run of a task."""

    task: str
    run: int


class Run:
    """A run of a task on a worker, from its order to its listed end.

    Attributes:
        record: its job.
        task: its task.
        key: name and number.
        worker_id: where it runs.
        phase: where it stands.
        asked_at: clock time in seconds of the start order.
        known_at: clock time at which the worker confirmed it; 0 before.
        stop_sent_at: clock time of the latest stop order; 0 for none.
        stopped_at: clock time at which the worker confirmed a stop; 0 before.
        is_unsure: whether the start had no answer and may be carried out late.
        is_evacuated: whether it is stopped so that its VM can be taken down.
        percent: progress that the worker listed last.
        progressed_at: clock time at which the progress last changed.
        gauge: latest rough figure of the worker for the task.
        pace: speed in percent that it was told to work at.
    """

    __slots__ = (
        "asked_at",
        "gauge",
        "is_evacuated",
        "is_unsure",
        "key",
        "known_at",
        "pace",
        "percent",
        "phase",
        "progressed_at",
        "record",
        "stop_sent_at",
        "stopped_at",
        "task",
        "worker_id",
    )

    def __init__(
        self, record: JobRecord, task: Task, run: int, worker_id: str, now: float
    ) -> None:
        self.record = record
        self.task = task
        self.key = RunKey(task.text, run)
        self.worker_id = worker_id
        self.phase = RunPhase.ASKED
        self.asked_at = now
        self.known_at = 0.0
        self.stop_sent_at = 0.0
        self.stopped_at = 0.0
        self.is_unsure = False
        self.is_evacuated = False
        self.percent = -1.0
        self.progressed_at = now
        self.gauge = 0.0
        self.pace = 100


class WorkerBelief:
    """A worker, its lease, and what runs on it.

    Attributes:
        listed: its latest entry in the list of workers.
        is_listed: whether it still has an entry.
        vm_id: VM that it runs on; empty while unknown.
        born: start of its present life; 0 before the first contact.
        contact_at: clock time of its latest lists.
        lease_until: clock time after which nothing that was ordered can run there.
        paced_at: contact at which the speed of filling tasks was last decided.
        processed_end: number of the last end taken in.
        noted_end: number of the last end that is stored.
        run_by_key: everything that is or may be on it.
        blocked_until: clock time before which it gets no new tasks.
        is_enrolled: whether a successor would learn of it from the roster.
        is_due: whether a wave is about to take its VM down.
        is_reserved: whether it is kept free for upkeep or a move.
        is_yielding: whether it takes no more tasks, as another pool needs its VM more.
    """

    def __init__(self, listed: ListedWorker) -> None:
        self.listed = listed
        self.is_listed = True
        self.vm_id = ""
        self.born = 0.0
        self.contact_at = float("-inf")
        self.lease_until = 0.0
        self.paced_at = float("-inf")
        self.processed_end = 0
        self.noted_end = 0
        self.run_by_key: dict[RunKey, Run] = {}
        self.blocked_until = 0.0
        self.is_reserved = False
        self.is_yielding = False
        self.is_due = False
        self.is_enrolled = False
        self._outcomes: deque[bool] = deque(maxlen=HEALTH_WINDOW)
        self._quarantine_seconds = QUARANTINE_SECONDS
        self.used = Resources(0.0, 0.0, 0.0)

    @property
    def worker_id(self) -> str:
        """Id of this life of the worker."""
        return self.listed.worker_id

    @property
    def penalty(self) -> float:
        """How many of its latest ends failed."""
        return float(self._outcomes.count(False))

    def free(self) -> Resources:
        """Return what is left of its capacity."""
        have = self.listed.capacity
        return Resources(
            have.cores - self.used.cores,
            have.memory_gb - self.used.memory_gb,
            have.accelerators - self.used.accelerators,
        )

    def add_run(self, run: Run) -> None:
        """Count ``run`` against the capacity."""
        self.run_by_key[run.key] = run
        self._recount()

    def drop_run(self, key: RunKey) -> Run | None:
        """Stop counting a run; return it if it was known."""
        run = self.run_by_key.pop(key, None)
        if run is not None:
            self._recount()
        return run

    def _recount(self) -> None:
        # Summed anew each time, because differences of fractions add up to errors.
        cores = memory_gb = accelerators = 0.0
        for run in self.run_by_key.values():
            need = run.task.step.need
            if not run.task.step.is_filler:
                cores += need.cores
            memory_gb += need.memory_gb
            accelerators += need.accelerators
        self.used = Resources(cores, memory_gb, accelerators)

    def is_in_contact(self, now: float) -> bool:
        """Return whether it has answered lately."""
        return now - self.contact_at <= FRESH_CONTACT_SECONDS

    def may_start(self, now: float) -> bool:
        """Return whether it may get new tasks."""
        return (
            self.is_listed
            and self.is_enrolled
            and not self.listed.is_draining
            and not self.is_reserved
            and not self.is_yielding
            and self.is_in_contact(now)
            and now >= self.blocked_until
        )

    def extend_lease(self, sent_at: float) -> None:
        """Note that a call of ``sent_at`` may have granted ``LEASE_SECONDS``."""
        self.lease_until = max(self.lease_until, sent_at + MAX_LEASE_SECONDS)

    def note_outcome(self, is_good: bool, now: float) -> bool:
        """Count an end towards the worker's health; return whether it is blocked now.

        A worker on which half of the latest ends failed, two at least, gets nothing
        for a time that doubles while it goes on failing.
        """
        self._outcomes.append(is_good)
        if is_good:
            self._quarantine_seconds = QUARANTINE_SECONDS
            return False
        n_failed = self._outcomes.count(False)
        if n_failed < 2 or n_failed * 2 < len(self._outcomes):
            return False
        self.blocked_until = now + self._quarantine_seconds
        self._quarantine_seconds = min(
            self._quarantine_seconds * 2, MAX_QUARANTINE_SECONDS
        )
        self._outcomes.clear()
        return True
