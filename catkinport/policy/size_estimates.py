"""Corrects the declared sizes of jobs from the measured usage of their tasks."""

import math
from collections import deque
from typing import NamedTuple

from .resources import Resources

MAX_FACTOR = 10.0
"""Largest correction, up or down; declared sizes are wrong by up to ten times."""

MAX_REPORTS = 64
"""Latest tasks per queue and team that an estimate is based on."""

PRIOR_WEIGHT = 1
"""Weight of the declared size, as a number of reports."""

CORES_QUANTILE = 0.6
"""Fraction of tasks whose processor usage the estimate covers. Differences even out
over the tasks of a worker, and a lack of processors only slows tasks down."""

MEMORY_QUANTILE = 0.9
"""Fraction of tasks whose memory usage is covered; a task that lacks memory fails."""

MIN_AGE_SECONDS = 20.0
"""Run time below which reports are ignored: they arrive up to one renewal (10 s) late,
and the usage of a task grows at its start."""


class UsageReport(NamedTuple):
    """Highest usage of one task so far, and the size that its caller declared.

    Args:
        queue: queue of the job.
        team: team of the job.
        job_id: the job; a later report of the same job replaces the earlier one.
        declared: size that the caller declared.
        used: highest usage so far; usage while the task is throttled must be left out.
        age_seconds: run time of the task at the report.
    """

    queue: str
    team: str
    job_id: str
    declared: Resources
    used: Resources
    age_seconds: float


class SizeEstimates:
    """Correction factors for job sizes, by queue and team.

    Accelerators are only assigned whole, so only processors and memory are corrected.

    Example:
        >>> estimates = SizeEstimates()
        >>> for n in range(40):
        ...     estimates.add(UsageReport("renders", "a", f"j-{n}",
        ...         Resources(8, 8, 0), Resources(1, 8, 0), 60.0))
        >>> estimates.correct("renders", "a", Resources(8, 8, 0)).cores < 2
        True
    """

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], deque[tuple[str, float, float]]] = {}

    def add(self, report: UsageReport) -> None:
        """Add a report; one of a task younger than ``MIN_AGE_SECONDS`` is ignored."""
        if report.age_seconds < MIN_AGE_SECONDS:
            return
        key = (report.queue, report.team)
        ratios = self._ratios.setdefault(key, deque(maxlen=MAX_REPORTS))
        cores = _ratio(report.used.cores, report.declared.cores)
        memory = _ratio(report.used.memory_gb, report.declared.memory_gb)
        for index, (job_id, _, _) in enumerate(ratios):
            if job_id == report.job_id:
                ratios[index] = (job_id, cores, memory)
                return
        ratios.append((report.job_id, cores, memory))

    def correct(self, queue: str, team: str, declared: Resources) -> Resources:
        """Return the size to reserve for a job that declares ``declared``."""
        ratios = self._ratios.get((queue, team))
        if not ratios:
            return declared
        cores = _shrunk_factor([ratio for _, ratio, _ in ratios], CORES_QUANTILE)
        memory = _shrunk_factor([ratio for _, _, ratio in ratios], MEMORY_QUANTILE)
        return Resources(
            declared.cores * cores, declared.memory_gb * memory, declared.accelerators
        )


def _ratio(used: float, declared: float) -> float:
    if declared <= 0:
        return 1.0
    return min(MAX_FACTOR, max(1 / MAX_FACTOR, used / declared))


def _shrunk_factor(ratios: list[float], quantile: float) -> float:
    """Return a quantile of the ratios, shrunk towards 1 while there are few of them.

    The weighted mean with 1 is geometric, because sizes are wrong by a factor.
    """
    ordered = sorted(ratios)
    rank = min(len(ordered) - 1, math.ceil(quantile * len(ordered)) - 1)
    weight = len(ordered) / (len(ordered) + PRIOR_WEIGHT)
    return math.exp(weight * math.log(ordered[rank]))
