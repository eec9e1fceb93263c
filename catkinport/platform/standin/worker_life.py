"""One life of a worker: what runs on it under a lease, and which ends it lists."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from ...policy.resources import Resources

MAX_LISTED_ENDS = 500
"""Ends in one answer, as the platform's pages say."""

START_SECONDS = 0.2
"""How long a lasting task takes until it is at work."""

DEFAULT_TASK_SECONDS = 0.2
"""Duration of a task whose specification names none."""


class Behaviour(NamedTuple):
    """What a task does, as its specification says.

    The stand-in reads words of the specification: ``seconds=1.5``, ``lasts``, ``fails``
    and ``cores=2``; other words are ignored.

    Example:
        >>> Behaviour.parse("seconds=1.5 fails")
        Behaviour(seconds=1.5, lasts=False, fails=True, cores=1.0)
    """

    seconds: float
    lasts: bool
    fails: bool
    cores: float

    @classmethod
    def parse(cls, specification: str) -> "Behaviour":
        """Read the words of a specification."""
        numbers = dict(re.findall(r"(\w+)=([0-9.]+)", specification))
        words = specification.split()
        return cls(
            seconds=float(numbers.get("seconds", DEFAULT_TASK_SECONDS)),
            lasts="lasts" in words,
            fails="fails" in words,
            cores=float(numbers.get("cores", 1.0)),
        )


class RunEvent(NamedTuple):
    """Something that happened to a run, for checks.

    Args:
        at: time in seconds.
        what: ``started``, how the run ended, or ``noted`` once whoever orders has taken
            note of its end as done.
        task: name of the task.
        run: number of the run.
        worker: the worker's id.
        born: start of the worker's life, in milliseconds.
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
    behaviour: Behaviour
    started_at: float
    work_seconds: float = 0.0
    saved: str = ""
    percent: int = 100


class StartError(Exception):
    """A start that the worker rejects, with the reason of its answer."""


class WorkerLife:
    """What one life of a worker runs; time is passed in.

    Args:
        worker_id: its id.
        capacity: its room.
        born: start of this life, in milliseconds.
        events: takes what happens, for checks.
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
        self._refused_run_by_task: dict[str, int] = {}
        self._ended_at_by_number: dict[int, float] = {}
        self._lapsed_at = 0.0
        self._updated_at = 0.0

    def accepts(self, token: int) -> bool:
        """Return whether an order with this token is carried out; remember it."""
        if token < self._token:
            return False
        self._token = token
        return True

    def extend_lease(self, until: float | None, now: float) -> None:
        """Extend the lease of everything that runs; it never gets shorter."""
        if now > self._lease_until:
            self._lapsed_at = now
        if until is not None:
            limit = min(until, now + self._max_lease_seconds)
            self._lease_until = max(self._lease_until, limit)

    def start(self, body: Mapping[str, Any], until: float, now: float) -> None:
        """Start a run; one that is there already is left as it is.

        Raises:
            StartError: with the reason of the rejection.
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
        if current is not None or run <= self._refused_run_by_task.get(task, 0):
            raise StartError("old")
        behaviour = Behaviour.parse(str(body.get("Spec", "")))
        used = sum(r.behaviour.cores for r in self._running.values())
        if used + behaviour.cores > self.capacity.cores:
            raise StartError("room")
        self._running[task] = _Running(task, run, behaviour, now)
        self._note("started", task, run, now, self._token)

    def stop(self, task: str, run: int, now: float) -> None:
        """Stop a run; a run that is not there will be rejected."""
        self.advance(now)
        known = self._refused_run_by_task.get(task, 0)
        self._refused_run_by_task[task] = max(known, run)
        current = self._running.get(task)
        if current is not None and current.run <= run:
            self._end(current, "stopped", now)

    def pace(self, task: str, run: int, percent: int, now: float) -> None:
        """Let a task work at a part of its speed."""
        self.advance(now)
        current = self._running.get(task)
        if current is not None and current.run == run:
            current.percent = percent

    def forget_ends(self, last_seen: int, now: float) -> None:
        """Forget the ends up to a number.

        Ends as done count as noted if the lease has not lapsed since.
        """
        for number, task, run, how, _ in self._ended:
            if number > last_seen:
                continue
            ended_at = self._ended_at_by_number.pop(number)
            is_valid = now <= self._lease_until and self._lapsed_at <= ended_at
            if how == "done" and is_valid:
                self._note("noted", task, run, now)
        self._ended = [end for end in self._ended if end[0] > last_seen]

    @property
    def n_ended(self) -> int:
        """How many runs have ended in this life."""
        return self._n_ended

    def has_news(self) -> bool:
        """Return whether ends are listed."""
        return bool(self._ended)

    def lists(self, now: float) -> dict[str, Any]:
        """Return both lists as the worker's answers hold them."""
        self.advance(now)
        running = [
            [run.task, run.run, run.saved, self._percent(run, now), 0]
            for run in self._running.values()
        ]
        return {"Running": running, "Ended": self._ended[:MAX_LISTED_ENDS]}

    def end_all(self, how: str, now: float) -> None:
        """Note that everything ends with this life."""
        self.advance(now)
        for run in list(self._running.values()):
            self._end(run, how, now)

    def advance(self, now: float) -> None:
        """End what is done or has outlived its lease by ``now``."""
        for run in list(self._running.values()):
            until = min(now, self._lease_until)
            elapsed = max(0.0, until - max(self._updated_at, run.started_at))
            run.work_seconds += elapsed * run.percent / 100
            is_done = run.work_seconds >= run.behaviour.seconds
            if is_done and not run.behaviour.lasts:
                self._end(run, "failed" if run.behaviour.fails else "done", now)
            elif now > self._lease_until:
                self._end(run, "lapsed", now)
        self._updated_at = now

    def _percent(self, run: _Running, now: float) -> int:
        if run.behaviour.lasts:
            return 100 if now - run.started_at >= START_SECONDS else 0
        return int(100 * run.work_seconds / max(run.behaviour.seconds, 1e-9))

    def _end(self, run: _Running, how: str, now: float) -> None:
        del self._running[run.task]
        known = self._refused_run_by_task.get(run.task, 0)
        self._refused_run_by_task[run.task] = max(known, run.run)
        self._n_ended += 1
        self._ended.append((self._n_ended, run.task, run.run, how, run.saved))
        self._ended_at_by_number[self._n_ended] = now
        self._note(how, run.task, run.run, now)

    def _note(self, what: str, task: str, run: int, now: float, token: int = 0) -> None:
        self._events.append(
            RunEvent(now, what, task, run, self.worker_id, self.born, token)
        )
