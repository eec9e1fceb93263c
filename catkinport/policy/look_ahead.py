"""Holds room for short tasks that fit nowhere yet, by the expected ends of others.

Without a hold, smaller tasks take each part of a worker as it becomes free. A hold
keeps room on one worker for one task of a step until the time at which that task is
expected to fit. Another task starts in the held room only if it is expected to end by
then, or if enough is left for the held task beside it.

Forecasts may be wrong, so holds are bounded: each is dropped soon after its time and
keeps room empty for less than the work of its task, few workers of a pool have one, and
no task that fits is kept waiting by holds for longer than `MAX_KEPT_SECONDS`. Variables
named ``room`` hold a worker with its free resources.
"""

import heapq
import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from .forecast_trust import ForecastTrust
from .resources import Resources, add, is_within
from .waiting_shapes import WaitingShapes
from .worker_choice import (
    ROUNDING_TOLERANCE,
    CandidateWorker,
    TaskNeed,
    choose_worker,
    fits,
    is_suitable,
)

MAX_HOLD_SECONDS = 1.0
"""Longest time for which a hold lasts. Short tasks take about as long."""

HOLD_FACTOR = 0.5
"""Longest time of a hold as a part of the expected time of its task, so that the room
it keeps empty is at most half of the work that the task does there."""

LATE_SECONDS = 0.2
"""Time after which a forecast counts as missed, the longest pause between rounds."""

REST_SECONDS = 1.0
"""Time for which a step makes no hold after one that was missed."""

MAX_KEPT_SECONDS = 1.0
"""Time after which a step whose tasks fit is not kept waiting by holds any more."""

MAX_HELD_SHARE = 0.2
"""Part of a pool's workers that may have holds; one worker may always."""

MAX_HOLDS_PER_STEP = 8
"""Most holds of a step, the usual number of its tasks."""

MAX_NEW_PER_ROUND = 8
"""Most holds that are made in a round of planning in a pool."""

MAX_LOOKED_AT = 32
"""Most workers whose expected ends are looked at for holds in a round, those with most
free cores. With 3,000 workers, looking for them anew for each hold took a round's time
for one job."""

LARGE_FACTOR = 1.5
"""Multiple of the smallest waiting task's cores from which on a task gets holds. Tasks
of one size fit into the room that another one has left."""

MIN_SLACK_SECONDS = 1.0
"""Time that a job must be able to wait, without becoming late, for a hold to bind it;
at least as long as a hold lasts."""

Rank = tuple[int, ...]
"""Precedence of a job; the smallest comes first. A hold doesn't bind earlier ranks."""


class Forecast(NamedTuple):
    """Expected end of a task on a worker.

    Args:
        seconds: time until its end.
        freed: resources that are free then.
        source: queue of the task, whose forecasts may turn out wrong.
    """

    seconds: float
    freed: Resources
    source: str


FindForecasts = Callable[[str], Sequence[Forecast]]
"""Returns the expected ends of the tasks on a worker, by its id."""


class Placement(NamedTuple):
    """A task that is to be placed.

    Args:
        need: requirements of the task.
        rank: precedence of its job.
        benefit: value of the job for each core-second.
        seconds: expected duration.
        longest_seconds: duration that it is unlikely to exceed.
        slack_seconds: time for which its job can wait without becoming late; infinite
            if that no longer matters.
    """

    need: TaskNeed
    rank: Rank
    benefit: float
    seconds: float
    longest_seconds: float
    slack_seconds: float = math.inf


class Hold(NamedTuple):
    """Room that is held on a worker for a task of a step.

    Args:
        worker_id: id of the worker.
        placement: the task, which stands for any of its step.
        due_at: clock time in seconds at which the task is expected to fit.
        ends_at: clock time in seconds at which the hold is dropped.
        source: queue of the task whose expected end decides; empty for none.
    """

    worker_id: str
    placement: Placement
    due_at: float
    ends_at: float
    source: str

    @property
    def step(self) -> str:
        """Name of the step."""
        return self.placement.need.step

    @property
    def order(self) -> tuple[Rank, float, float]:
        """Sort key; the holds with most benefit come first."""
        return (self.placement.rank, -self.placement.benefit, self.due_at)

    def binds(self, placement: Placement) -> bool:
        """Return whether it may keep a task waiting.

        It doesn't bind its own step, earlier ranks and jobs that it could make late.
        """
        return (
            self.step != placement.need.step
            and self.placement.rank <= placement.rank
            and placement.slack_seconds >= MIN_SLACK_SECONDS
        )


class GapHolds:
    """The holds of a pool.

    Args:
        trust: which queues' forecasts may be relied on.

    Attributes:
        shapes: shapes of the tasks that wait.
    """

    def __init__(self, trust: ForecastTrust) -> None:
        self.shapes = WaitingShapes()
        self._trust = trust
        self._holds_by_worker: dict[str, list[Hold]] = {}
        self._rests_until_by_step: dict[str, float] = {}
        self._renewed: set[str] = set()
        self._kept_since_by_step: dict[str, float] = {}
        self._kept: set[str] = set()
        self._forecasts_by_worker: dict[str, list[Forecast]] = {}
        self._most_free_by_label: dict[str, list[CandidateWorker]] = {}
        self._find_forecasts: FindForecasts = lambda worker_id: ()
        self._n_new = 0
        self._rooms: Mapping[str, CandidateWorker] = {}
        self._now = 0.0

    @property
    def holds(self) -> list[Hold]:
        """All holds, those with most benefit first."""
        holds = (hold for held in self._holds_by_worker.values() for hold in held)
        return sorted(holds, key=lambda hold: hold.order)

    def begin_round(
        self,
        rooms: Mapping[str, CandidateWorker],
        now: float,
        find_forecasts: FindForecasts,
    ) -> None:
        """Drop the holds whose worker is gone or whose time is over.

        Args:
            rooms: workers of the pool that may get tasks.
            now: clock time in seconds.
            find_forecasts: returns the expected ends on a worker.
        """
        self._rooms = rooms
        self._now = now
        self._find_forecasts = find_forecasts
        self._forecasts_by_worker.clear()
        self._most_free_by_label.clear()
        self._n_new = 0
        for hold in self.holds:
            if hold.worker_id not in rooms:
                self._drop(hold)
            elif now >= hold.ends_at:
                self._drop(hold)
                self._rests_until_by_step[hold.step] = now + REST_SECONDS
                if hold.source:
                    self._trust.note_missed(hold.source, now)

    def end_pass(self) -> None:
        """Drop the holds of steps that no longer ask, and forget ended waits."""
        for hold in self.holds:
            if hold.step not in self._renewed:
                self._drop(hold)
        self._renewed.clear()
        for step in self._kept_since_by_step.keys() - self._kept:
            del self._kept_since_by_step[step]
        self._kept.clear()
        self._rests_until_by_step = {
            step: until
            for step, until in self._rests_until_by_step.items()
            if until > self._now
        }
        self.shapes.end_pass()

    def choose(
        self, placement: Placement, rooms: Collection[CandidateWorker]
    ) -> CandidateWorker | None:
        """Return the best worker for a task, or ``None`` if it fits on none now."""
        need = placement.need
        closed = self._find_closed(placement, rooms)
        is_open = [r for r in rooms if r.worker_id not in closed] if closed else rooms
        room = choose_worker(need, is_open, self._find_waste(need))
        if room is None and self._may_enter(need, closed.values()):
            room = choose_worker(need, closed.values(), self._find_waste(need))
        if room is not None:
            self._drop_displaced(placement, room)
        return room

    def find_free(
        self, placement: Placement, rooms: Mapping[str, CandidateWorker]
    ) -> dict[str, CandidateWorker]:
        """Return the workers that a gang may use: those without holds that bind it."""
        if self._is_exempt(placement.need.step):
            return dict(rooms)
        return {
            worker_id: room
            for worker_id, room in rooms.items()
            if not any(
                hold.binds(placement)
                for hold in self._holds_by_worker.get(worker_id, ())
            )
        }

    def note_kept(self, step: str) -> None:
        """Note that tasks of a step would fit but for holds."""
        self._kept.add(step)
        self._kept_since_by_step.setdefault(step, self._now)

    def is_kept(self, step: str) -> bool:
        """Return whether tasks of a step were kept waiting by holds in this pass."""
        return step in self._kept

    def note_start(self, need: TaskNeed, room: CandidateWorker) -> None:
        """Drop the hold that a task has used by starting on the worker ``room``."""
        for hold in self._holds_by_worker.get(room.worker_id, ()):
            if hold.step == need.step:
                self._trust.note_kept(hold.source)
                self._drop(hold)
                return

    def hold(
        self, placement: Placement, n_tasks: int, rooms: Mapping[str, CandidateWorker]
    ) -> None:
        """Hold room for tasks of a step that fit nowhere, soonest first.

        Args:
            placement: one of the tasks.
            n_tasks: number of tasks of the step that wait and may start.
            rooms: workers that may get the tasks.
        """
        step = placement.need.step
        self._renewed.add(step)
        mine = [hold for hold in self.holds if hold.step == step]
        for hold in mine[n_tasks:]:
            self._drop(hold)
        if not self._may_hold(placement):
            return
        for _ in range(min(n_tasks, MAX_HOLDS_PER_STEP) - len(mine)):
            if self._n_new >= MAX_NEW_PER_ROUND or not self._add(placement, rooms):
                return

    def _may_hold(self, placement: Placement) -> bool:
        need = placement.need
        smallest = self.shapes.smallest_cores
        if not smallest or need.counted_need.cores < LARGE_FACTOR * smallest:
            return False
        return need.step not in self._rests_until_by_step

    def _add(self, placement: Placement, rooms: Mapping[str, CandidateWorker]) -> bool:
        """Make a hold on the worker where the task fits soonest, if it is soon."""
        longest = min(MAX_HOLD_SECONDS, HOLD_FACTOR * placement.seconds)
        ranked = [
            (*self._find_fit(placement, room), room)
            for room in self._find_most_free(placement.need, rooms)
            if room.is_open_to(placement.need) and self._is_suitable(placement, room)
        ]
        best = min(ranked, key=lambda item: (item[0], item[2].worker_id), default=None)
        if best is None or best[0] > longest:
            return False
        seconds, source, room = best
        due_at = self._now + seconds
        ends_at = min(due_at + LATE_SECONDS, self._now + longest)
        hold = Hold(room.worker_id, placement, due_at, ends_at, source)
        if not self._make_place(hold, len(rooms)):
            return False
        self._holds_by_worker.setdefault(room.worker_id, []).append(hold)
        self._n_new += 1
        return True

    def _find_most_free(
        self, need: TaskNeed, rooms: Mapping[str, CandidateWorker]
    ) -> list[CandidateWorker]:
        # Kept for a round, as many tasks make holds in it.
        most_free = self._most_free_by_label.get(need.required_label)
        if most_free is None:
            possible = (
                room
                for room in self._rooms.values()
                if not (room.has_repeated_suspect or room.is_last_resort)
                and (not need.required_label or need.required_label in room.labels)
            )
            most_free = heapq.nlargest(
                MAX_LOOKED_AT, possible, key=lambda room: (room.cores, room.memory_gb)
            )
            self._most_free_by_label[need.required_label] = most_free
        return [room for room in most_free if room.worker_id in rooms]

    def _make_place(self, new: Hold, n_workers: int) -> bool:
        """Return whether a hold stays within the bound of a pool's held workers.

        Holds of less benefit are dropped for it if that frees enough workers.
        """
        held = self._holds_by_worker
        n_most = max(1, int(MAX_HELD_SHARE * n_workers))
        if new.worker_id in held or len(held) < n_most:
            return True
        last = max(held, key=lambda worker_id: min(h.order for h in held[worker_id]))
        if min(hold.order for hold in held[last]) <= new.order:
            return False
        del held[last]
        return True

    def _is_suitable(self, placement: Placement, room: CandidateWorker) -> bool:
        held = self._holds_by_worker.get(room.worker_id, ())
        n_of_step = sum(hold.step == placement.need.step for hold in held)
        return is_suitable(placement.need, room, n_of_step)

    def _find_fit(
        self, placement: Placement, room: CandidateWorker
    ) -> tuple[float, str]:
        """Return the time until a task fits beside the holds, and what it rests on.

        The time is infinite if no trusted forecast leads to enough room.
        """
        need = placement.need.counted_need
        held = self._holds_by_worker.get(room.worker_id, ())
        free = _find_rest(room, held)
        if is_within(need, free):
            return 0.0, ""
        for forecast in self._forecasts_of(room.worker_id):
            free = add(free, forecast.freed)
            if is_within(need, free):
                return forecast.seconds, forecast.source
        return math.inf, ""

    def _find_closed(
        self, placement: Placement, rooms: Iterable[CandidateWorker]
    ) -> dict[str, CandidateWorker]:
        """Return the workers whose holds keep a task from starting there."""
        if not self._holds_by_worker:
            return {}
        held = (room for room in rooms if room.worker_id in self._holds_by_worker)
        return {r.worker_id: r for r in held if self._find_displaced(placement, r)}

    def _find_displaced(
        self, placement: Placement, room: CandidateWorker, is_any_rank: bool = False
    ) -> list[Hold]:
        """Return the holds on a worker that a task would take room from."""
        return [
            hold
            for hold in self._holds_by_worker.get(room.worker_id, ())
            if (hold.binds(placement) or is_any_rank)
            and hold.step != placement.need.step
            and self._now + placement.longest_seconds > hold.due_at
            and not is_within(placement.need.counted_need, self._find_spare(hold, room))
        ]

    def _find_spare(self, hold: Hold, room: CandidateWorker) -> Resources:
        """Return what is left on a worker beside its holds when ``hold`` is due."""
        held = self._holds_by_worker[room.worker_id]
        free = _find_rest(
            room, (other for other in held if other.due_at <= hold.due_at)
        )
        for forecast in self._forecasts_of(room.worker_id):
            if self._now + forecast.seconds > hold.due_at:
                break
            free = add(free, forecast.freed)
        return free

    def _drop_displaced(self, placement: Placement, room: CandidateWorker) -> None:
        for hold in self._find_displaced(placement, room, is_any_rank=True):
            self._drop(hold)

    def _may_enter(self, need: TaskNeed, closed: Collection[CandidateWorker]) -> bool:
        """Note whether holds keep a task waiting; return whether they may no longer."""
        if not any(fits(need, room) for room in closed):
            return False
        self.note_kept(need.step)
        return self._is_exempt(need.step)

    def _is_exempt(self, step: str) -> bool:
        since = self._kept_since_by_step.get(step, math.inf)
        return self._now - since >= MAX_KEPT_SECONDS

    def _find_waste(self, need: TaskNeed) -> Callable[[CandidateWorker], float] | None:
        if not self.shapes.smallest_cores:
            return None
        counted = need.counted_need
        added_waste = self.shapes.added_waste
        return lambda room: added_waste(counted, room.cores, room.memory_gb)

    def _forecasts_of(self, worker_id: str) -> list[Forecast]:
        # Kept for a round, as many tasks may look at a worker in it.
        forecasts = self._forecasts_by_worker.get(worker_id)
        if forecasts is None:
            trusted = (
                forecast
                for forecast in self._find_forecasts(worker_id)
                if self._trust.is_trusted(forecast.source, self._now)
            )
            forecasts = sorted(trusted)
            self._forecasts_by_worker[worker_id] = forecasts
        return forecasts

    def _drop(self, hold: Hold) -> None:
        held = self._holds_by_worker[hold.worker_id]
        held.remove(hold)
        if not held:
            del self._holds_by_worker[hold.worker_id]


def _find_rest(room: CandidateWorker, held: Iterable[Hold]) -> Resources:
    """Return what is free on a worker less the needs of holds."""
    free = Resources(
        room.cores + ROUNDING_TOLERANCE,
        room.memory_gb + ROUNDING_TOLERANCE,
        room.accelerators + ROUNDING_TOLERANCE,
    )
    for hold in held:
        need = hold.placement.need.counted_need
        free = Resources(
            free.cores - need.cores,
            free.memory_gb - need.memory_gb,
            free.accelerators - need.accelerators,
        )
    return free
