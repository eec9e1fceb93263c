"""A run of a task on a worker, as the owner of the fleet tracks it."""

from enum import StrEnum
from typing import NamedTuple

from ...policy.pacing import FULL_SPEED_PERCENT
from ..dispatch.approvals import Ticket
from ..dispatch.record import JobRecord
from ..dispatch.task import ORDER_DELAY_SECONDS, Task

READY_PERCENT = 100.0
"""Progress that a worker reports for a lasting task that is ready."""

MIN_READY_SECONDS = 0.5
"""A lasting task counts as available once it has been reported as ready for this long.
The platform counts a task as unavailable only if an order has ended it, or if it has
not been ready for seconds."""


class RunPhase(StrEnum):
    """Whether a run was ordered, runs or is being stopped, as the owner knows it."""

    ASKED = "asked"
    RUNNING = "running"
    STOPPING = "stopping"


class RunKey(NamedTuple):
    """Name of a task, and number of one of its runs (executions on a worker)."""

    task: str
    run: int


class Run:
    """A run of a task on a worker, from its start order until the worker lists its end.

    Attributes:
        record: job of the task.
        task: the task.
        key: name of the task and number of the run.
        worker_id: worker that runs it.
        phase: whether it was ordered, runs or is being stopped.
        asked_at: clock time in seconds of the latest start order.
        sent_to: ``started_at`` of the incarnation of the worker for which the start
            order was made.
        known_at: clock time at which the worker confirmed it; 0 before.
        stop_sent_at: clock time of the latest stop order; 0 for none.
        stopped_at: clock time at which the worker confirmed a stop; 0 before.
        is_start_under_way: whether a call with a start order waits for its answer, or
            for its turn.
        is_start_uncertain: whether the start order had no answer and may be carried out
            late.
        late_start_until: clock time in seconds until which a start order without an
            answer may be carried out; minus infinity for none.
        given_up_at: clock time at which the wait for that answer ended, or at which a
            repeated order turned out not to have been carried out; 0 for never.
        is_evacuated: whether it is stopped so that its VM can be taken down, or because
            its zone is evacuated.
        percent: progress that the worker listed last; -1 before.
        progressed_at: clock time at which the progress last changed.
        load: latest measurement of the worker: the tail latency in milliseconds of a
            serving task, else the CPU use in thousandths of a core.
        pace: speed in percent at which the worker was told to run it; ``None`` if a
            former owner may have told it another one.
        ticket: approval that its start order carries; ``None`` if it needs none, or a
            former owner has sent it.
    """

    __slots__ = (
        "asked_at",
        "load",
        "given_up_at",
        "is_evacuated",
        "is_start_under_way",
        "is_start_uncertain",
        "key",
        "known_at",
        "late_start_until",
        "pace",
        "percent",
        "phase",
        "progressed_at",
        "record",
        "sent_to",
        "stop_sent_at",
        "stopped_at",
        "task",
        "ticket",
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
        self.sent_to = 0.0
        self.known_at = 0.0
        self.stop_sent_at = 0.0
        self.stopped_at = 0.0
        self.is_start_under_way = False
        self.is_start_uncertain = False
        self.given_up_at = 0.0
        self.late_start_until = float("-inf")
        self.is_evacuated = False
        self.percent = -1.0
        self.progressed_at = now
        self.load = 0.0
        self.pace: int | None = FULL_SPEED_PERCENT
        self.ticket: Ticket | None = None

    def note_unanswered_start(self, now: float) -> None:
        """Note that the wait for the answer to a start order ends at ``now``.

        The order was sent before, so that the time counted from now on is long enough
        also by a clock that is 2% slow.
        """
        self.given_up_at = now
        self.late_start_until = now + ORDER_DELAY_SECONDS
        self.record.hold_for_late_start(self.task, self.late_start_until)

    def may_be_stopped(self, reported_at: float) -> bool:
        """Return whether a stop of it is under way, or may still be carried out.

        Args:
            reported_at: clock time in seconds of the worker's latest report.
        """
        if self.phase is RunPhase.STOPPING:
            return True
        is_recent = reported_at - self.stop_sent_at <= ORDER_DELAY_SECONDS
        return bool(self.stop_sent_at) and is_recent

    def is_reported_ready(self, reported_at: float) -> bool:
        """Return whether the run of a lasting task has been ready for some time.

        Args:
            reported_at: clock time in seconds of the worker's latest report.
        """
        is_ready = self.percent >= READY_PERCENT
        return is_ready and reported_at - self.progressed_at >= MIN_READY_SECONDS
