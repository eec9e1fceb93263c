"""Corrects the declared sizes of jobs by the usage that workers report."""

from ..policy.resources import Resources
from ..policy.size_estimates import SizeEstimates, UsageReport
from ..ports import TaskState
from ..state import JobRow
from .job_cache import Job
from .pool_state import Task

_UNIT = Resources(1.0, 1.0, 1.0)


def declared_size(row: JobRow) -> Resources:
    """Return the size that the job's specification declares."""
    return Resources(row["n_cores"], row["memory_gb"], row["n_accelerators"])


class SizeEstimator:
    """Estimates of the sizes of one pool's jobs, for placement.

    The upper limits of teams use the declared size instead, which is what a team asked
    for and what workers grant.
    """

    def __init__(self) -> None:
        self._estimates = SizeEstimates()
        # Correction factors by queue and team, cached because each round asks for the
        # size of every job.
        self._factor_by_key: dict[tuple[str, str], Resources] = {}

    def correct(self, job: Job) -> Resources:
        """Return the estimated size, which placement reserves for a job."""
        declared = declared_size(job.row)
        key = (job.queue, job.row["team"])
        factor = self._factor_by_key.get(key)
        if factor is None:
            factor = self._estimates.correct(*key, _UNIT)
            self._factor_by_key[key] = factor
        return Resources(
            declared.cores * factor.cores,
            declared.memory_gb * factor.memory_gb,
            declared.accelerators,
        )

    def add_report(self, job: Job, task: Task, now: float) -> None:
        """Add the last report of a task to the estimates at Unix time ``now``.

        Reports of throttled tasks are ignored, because throttling lowers their usage.
        """
        report = task.report
        if report is None or report.state != TaskState.RUNNING or task.is_throttled:
            return
        task.highest_cores = max(task.highest_cores, report.used_cores)
        task.highest_memory_gb = max(task.highest_memory_gb, report.used_memory_gb)
        declared = declared_size(job.row)
        used = Resources(
            task.highest_cores, task.highest_memory_gb, declared.accelerators
        )
        age = now - job.row["started_at"]
        team = job.row["team"]
        usage = UsageReport(job.queue, team, job.job_id, declared, used, age)
        self._estimates.add(usage)
        self._factor_by_key.pop((job.queue, team), None)
