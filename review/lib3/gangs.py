"""Workers of the stand-in that know gangs.

The tasks of a gang work from the moment at which all tasks of one run are present, and
end together. A task that waits for the others for too long ends as ``alone``. The word
``gang=8`` in a specification gives the number of tasks.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from catkinport.platform.standin import vms
from catkinport.platform.standin.worker_incarnation import WorkerIncarnation

GANG_SECONDS = 3.0
"""Time for which a task waits for the others (``GangMs``)."""


@dataclass
class Gang:
    """One run of a gang.

    Attributes:
        n_tasks: number of its tasks.
        seconds: time for which they work.
        started_at: time in seconds at which each task started.
        complete_at: time at which the last one started; 0 before.
        is_broken: whether a task has ended before all were done.
    """

    n_tasks: int
    seconds: float
    started_at: dict[str, float] = field(default_factory=dict)
    complete_at: float = 0.0
    is_broken: bool = False

    def add(self, task: str, now: float) -> None:
        """Add a task that has started."""
        self.started_at[task] = now
        if len(self.started_at) == self.n_tasks:
            self.complete_at = now

    def find_end(self, task: str, now: float) -> str:
        """Return how a task ends now; empty if it goes on."""
        if self.is_broken:
            return "broken"
        if self.complete_at:
            return "done" if now - self.complete_at >= self.seconds else ""
        return "alone" if now - self.started_at[task] > GANG_SECONDS else ""


GANG_BY_RUN: dict[tuple[str, int], Gang] = {}
"""Gangs of all workers, by the name of the step and the number of the run."""


class GangIncarnation(WorkerIncarnation):
    """Incarnation of a worker that knows gangs."""

    def start(self, body: Mapping[str, Any], until: float, now: float) -> None:
        """Start a run as the base class does, and add it to its gang if it has one."""
        task, run = str(body["Task"]), int(body["Run"])
        former = self._running.get(task)
        super().start(body, until, now)
        words = re.search(r"gang=(\d+)", str(body.get("Spec", "")))
        if words is None or self._running[task] is former:
            return
        started = self._running[task]
        key = (task.rpartition(".")[0], run)
        if key not in GANG_BY_RUN:
            GANG_BY_RUN[key] = Gang(int(words[1]), started.behavior.seconds)
        GANG_BY_RUN[key].add(task, now)
        # The gang decides when it is done.
        started.behavior = started.behavior._replace(lasts=True)

    def advance(self, now: float) -> None:
        """End the runs of gangs that are due, then do what the base class does."""
        for started in list(self._running.values()):
            gang = GANG_BY_RUN.get((started.task.rpartition(".")[0], started.run))
            how = gang.find_end(started.task, now) if gang is not None else ""
            if how and now <= self._lease_until:
                self._end(started, how, now)
        super().advance(now)

    def _end(self, started: Any, how: str, now: float) -> None:
        gang = GANG_BY_RUN.get((started.task.rpartition(".")[0], started.run))
        if gang is not None and how not in ("done", "alone"):
            gang.is_broken = True
        super()._end(started, how, now)


def install() -> None:
    """Let the VMs of the stand-in run such workers."""
    vms.WorkerIncarnation = GangIncarnation  # type: ignore[misc]
