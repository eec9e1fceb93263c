"""One incarnation of a worker: runs tasks under a lease and lists those that ended.

A worker that restarts is a new incarnation, under a new id or the same one. A run is
one attempt to execute a task.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from ...policy.resources import Resources

MAX_LISTED_ENDS = 500
"""Most ended runs in one answer, as the platform's documentation says."""

START_SECONDS = 0.2
"""Time from the start of a lasting task until it reports to be working."""

DEFAULT_TASK_SECONDS = 0.2
"""Duration of a task whose specification names none."""


class Behavior(NamedTuple):
    """What a task does, read from its specification.

    The stand-in knows these words of a specification and ignores all others:
    ``seconds=1.5`` is the duration, ``cores=2`` the cores that it uses, ``fails`` makes
    it end as failed, and ``lasts`` makes it a lasting task, which never ends by itself.

    Example:
        >>> Behavior.parse("seconds=1.5 fails")
        Behavior(seconds=1.5, lasts=False, fails=True, cores=1.0)
    """

    seconds: float
    lasts: bool
    fails: bool
    cores: float

    @classmethod
    def parse(cls, specification: str) -> "Behavior":
        """Parse a specification."""
        numbers = dict(re.findall(r"(\w+)=([0-9.]+)", specification))
        words = specification.split()
        return cls(
            seconds=float(numbers.get("seconds", DEFAULT_TASK_SECONDS)),
            lasts="lasts" in words,
            fails="fails" in words,
            cores=float(numbers.get("cores", 1.0)),
        )


class RunEvent(NamedTuple):
    """Something that happened to a run, recorded for the checks of tests.

    Args:
        at: time in seconds.
        what: ``started``, how the run ended, or ``noted`` once the client has
            acknowledged an end as ``done`` under a valid lease.
        task: name of the task.
        run: number of the run.
        worker: id of the worker incarnation.
        born: start of the worker incarnation, in milliseconds.
        token: fencing token of the order; 0 for an end.
    """

    at: float
    what: str
    task: str
    run: int
    worker: str
    born: int
    token: int = 0


@dataclass
class _Running:
    task: str
    run: int
    behavior: Behavior
    started_at: float
    work_seconds: float = 0.0
    saved: str = ""
    percent: int = 100


class StartError(Exception):
    """Error for a rejected start; its text is the reason in the worker's answer."""


class WorkerIncarnation:
    """One incarnation of a worker; the caller passes in the time in seconds.

    Args:
        worker_id: its id.
        capacity: resources that its runs may use together.
        born: start of this incarnation, in milliseconds.
        events: list to which events are appended.
        max_lease_seconds: longest lease that it grants.
    """

    def __init__(
        self,
        worker_id: str,
        capacity: Resources,
        born: int,
        events: list[RunEvent],
        max_lease_seconds: float,
    ) -> None:
        self.worker_id = worker_id
        self.capacity = capacity
        self.born = born
        self._events = events
        self._max_lease_seconds = max_lease_seconds
        self._token = 0
        self._lease_until = 0.0
        self._running: dict[str, _Running] = {}
        self._ended: list[tuple[int, str, int, str, str]] = []
        self._n_ended = 0
        self._n_listed = 0
        self._last_rejected_run_by_task: dict[str, int] = {}
        self._ended_at_by_number: dict[int, float] = {}
        self._lapsed_at = 0.0
        self._updated_at = 0.0

    def accepts(self, token: int) -> bool:
        """Return whether the token is no lower than the highest so far; remember it."""
        if token < self._token:
            return False
        self._token = token
        return True

    def extend_lease(self, until: float | None, now: float) -> None:
        """Extend the lease of all runs to ``until``; it never gets shorter."""
        if now > self._lease_until:
            self._lapsed_at = now
        if until is not None:
            limit = min(until, now + self._max_lease_seconds)
            self._lease_until = max(self._lease_until, limit)

    def start(self, body: Mapping[str, Any], until: float, now: float) -> None:
        """Start a run; a repeated start of the same run only extends the lease.

        Raises:
            StartError: with the reason ``late`` if the lease would already be over,
                ``old`` if another run of the task is running or if this or a later one
                has ended or was stopped, or ``room`` if too few cores are free.
        """
        self.advance(now)
        task, run = str(body["Task"]), int(body["Run"])
        current = self._running.get(task)
        if current is not None and current.run == run:
            self.extend_lease(until, now)
            return
        if until <= now:
            raise StartError("late")
        self.extend_lease(until, now)
        if current is not None or run <= self._last_rejected_run_by_task.get(task, 0):
            raise StartError("old")
        behavior = Behavior.parse(str(body.get("Spec", "")))
        used = sum(r.behavior.cores for r in self._running.values())
        if used + behavior.cores > self.capacity.cores:
            raise StartError("room")
        self._running[task] = _Running(task, run, behavior, now)
        self._record("started", task, run, now, self._token)

    def stop(self, task: str, run: int, now: float) -> None:
        """Stop a run; a later start of it or of an earlier one is rejected."""
        self.advance(now)
        known = self._last_rejected_run_by_task.get(task, 0)
        self._last_rejected_run_by_task[task] = max(known, run)
        current = self._running.get(task)
        if current is not None and current.run <= run:
            self._end(current, "stopped", now)

    def pace(self, task: str, run: int, percent: int, now: float) -> None:
        """Limit a task to ``percent`` of its full speed."""
        self.advance(now)
        current = self._running.get(task)
        if current is not None and current.run == run:
            current.percent = percent

    def acknowledge_ends(self, last_seen: int, now: float) -> None:
        """Remove from the list the ended runs up to number ``last_seen``.

        A run that ended as ``done`` is recorded as ``noted`` if the lease has not
        lapsed since its end.
        """
        for number, task, run, how, _ in self._ended:
            if number > last_seen:
                continue
            ended_at = self._ended_at_by_number.pop(number)
            is_valid = now <= self._lease_until and self._lapsed_at <= ended_at
            if how == "done" and is_valid:
                self._record("noted", task, run, now)
        self._ended = [end for end in self._ended if end[0] > last_seen]

    @property
    def n_ended(self) -> int:
        """Number of runs that have ended in this incarnation."""
        return self._n_ended

    @property
    def n_listed(self) -> int:
        """Highest number of an end that this incarnation has listed; 0 for none."""
        return self._n_listed

    def has_ended_runs(self) -> bool:
        """Return whether ended runs are listed."""
        return bool(self._ended)

    def encode_lists(self, now: float) -> dict[str, Any]:
        """Return the running and the ended runs as the worker's answers hold them."""
        self.advance(now)
        running = [
            [run.task, run.run, run.saved, self._percent(run, now), 0]
            for run in self._running.values()
        ]
        ended = self._ended[:MAX_LISTED_ENDS]
        if ended:
            self._n_listed = max(self._n_listed, ended[-1][0])
        return {"Running": running, "Ended": ended}

    def end_all(self, how: str, now: float) -> None:
        """End all runs, for an incarnation that ends."""
        self.advance(now)
        for run in list(self._running.values()):
            self._end(run, how, now)

    def advance(self, now: float) -> None:
        """Advance to ``now``; end the runs that are done or whose lease has lapsed."""
        for run in list(self._running.values()):
            until = min(now, self._lease_until)
            elapsed = max(0.0, until - max(self._updated_at, run.started_at))
            run.work_seconds += elapsed * run.percent / 100
            is_done = run.work_seconds >= run.behavior.seconds
            if is_done and not run.behavior.lasts:
                self._end(run, "failed" if run.behavior.fails else "done", now)
            elif now > self._lease_until:
                self._end(run, "lapsed", now)
        self._updated_at = now

    def _percent(self, run: _Running, now: float) -> int:
        if run.behavior.lasts:
            return 100 if now - run.started_at >= START_SECONDS else 0
        return int(100 * run.work_seconds / max(run.behavior.seconds, 1e-9))

    def _end(self, run: _Running, how: str, now: float) -> None:
        del self._running[run.task]
        known = self._last_rejected_run_by_task.get(run.task, 0)
        self._last_rejected_run_by_task[run.task] = max(known, run.run)
        self._n_ended += 1
        self._ended.append((self._n_ended, run.task, run.run, how, run.saved))
        self._ended_at_by_number[self._n_ended] = now
        self._record(how, run.task, run.run, now)

    def _record(
        self, what: str, task: str, run: int, now: float, token: int = 0
    ) -> None:
        self._events.append(
            RunEvent(now, what, task, run, self.worker_id, self.born, token)
        )
