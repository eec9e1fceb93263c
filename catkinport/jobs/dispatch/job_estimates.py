"""Estimates the durations and the work of jobs from recent tasks of their queues."""

from ...policy.durations import DurationModel
from ...policy.job_order import JobView
from ..configuration import Queue
from ..model import Job, chain_seconds, work_core_seconds
from .record import JobRecord

LEARNING_RATE = 0.05
"""Weight of a new job in the moving average of its queue; about the last 20 count."""


class JobEstimates:
    """Expected durations and work of the jobs of each queue.

    Attributes:
        durations_by_queue: model of the durations of each queue's tasks.
    """

    def __init__(self) -> None:
        self.durations_by_queue: dict[str, DurationModel] = {}
        self._mean_work_by_queue: dict[str, float] = {}

    def durations_of(self, queue: str) -> DurationModel:
        """Return the model of the durations of a queue's tasks; create it if absent."""
        durations = self.durations_by_queue.get(queue)
        if durations is None:
            durations = self.durations_by_queue[queue] = DurationModel()
        return durations

    def view_job(self, record: JobRecord, queue: Queue) -> JobView:
        """Return the figures by which a job is ordered among those of its pool."""
        durations = self.durations_of(queue.name)
        job = record.job
        total = self.expected_core_seconds(job)
        chain = chain_seconds(job.steps, durations)
        is_lasting = any(step.is_lasting for step in job.steps)
        # Most jobs of a backlog are as they were accepted, and their figures the same.
        remaining_chain, remaining = chain, total
        if record.has_done_tasks:
            remaining_chain = record.remaining_chain_seconds(durations)
        if record.has_done_tasks or is_lasting or job.n_occurrences:
            remaining = record.remaining_core_seconds(durations)
        return JobView(
            accepted_at=record.accepted_at,
            objective_seconds=queue.objective_seconds(chain),
            remaining_chain_seconds=remaining_chain,
            remaining_core_seconds=remaining,
            mean_core_seconds=self._mean_work_by_queue.get(queue.name, total),
            total_core_seconds=total,
            priority=queue.priority,
            is_lasting=is_lasting,
        )

    def expected_core_seconds(self, job: Job) -> float:
        """Return the work of a job, expected from recent tasks of its queue."""
        return work_core_seconds(job.steps, self.durations_of(job.queue))

    def learn_work(self, job: Job) -> None:
        """Update the mean work of a queue with a new job of it."""
        work = self.expected_core_seconds(job)
        mean = self._mean_work_by_queue.get(job.queue)
        self._mean_work_by_queue[job.queue] = (
            work if mean is None else mean + (work - mean) * LEARNING_RATE
        )
