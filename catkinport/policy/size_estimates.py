"""Corrects declared job sizes from usage reports that lag."""

import math
from collections import deque
from typing import NamedTuple

from .resources import Resources

MAX_FACTOR = 10.0
"""Declared sizes are off by up to ten times either way."""

WINDOW = 64
"""Finished or mature tasks per queue and team that an estimate rests on."""

PRIOR_WEIGHT = 1
"""Reports at which measured usage and the declared size count the same."""

CORES_QUANTILE = 0.6
"""Part of the tasks whose processors are covered: differences even out over the tasks
of a worker, and processors that are short only slow work down."""

MEMORY_QUANTILE = 0.9
"""Part of the tasks whose memory is covered: a task that lacks memory fails."""

MIN_AGE_SECONDS = 20.0
"""Younger tasks are ignored: reports lag by a renewal (10 s) and tasks ramp up."""


class UsageReport(NamedTuple):
    """Highest usage seen of one task, against what its caller declared.

    Args:
        queue: queue of the job.
        team: team of the job.
        job_id: the job; a later report of the same job replaces the earlier one.
        declared: size that the caller declared.
        used: highest usage reported; a throttled task's must not be reported.
        age_seconds: run time that the report covers.
    """

    queue: str
    team: str
    job_id: str
    declared: Resources
    used: Resources
    age_seconds: float


class SizeEstimates:
    """Correction factors by queue and team.

    Accelerators are handed out whole, so only processors and memory are corrected.

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
        """Take in a report; immature ones are ignored."""
        if report.age_seconds < MIN_AGE_SECONDS:
            return
        key = (report.queue, report.team)
        ratios = self._ratios.setdefault(key, deque(maxlen=WINDOW))
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
    """Return the upper quantile of the ratios, drawn towards 1 while they are few.

    The mean is geometric because errors are factors either way.
    """
    ordered = sorted(ratios)
    rank = min(len(ordered) - 1, math.ceil(quantile * len(ordered)) - 1)
    weight = len(ordered) / (len(ordered) + PRIOR_WEIGHT)
    return math.exp(weight * math.log(ordered[rank]))
