"""Detects the turns of pools and predicts the next ones.

The queues have their peaks of demand one after the other, in an order that repeats. The
peak of a queue is the turn of its pool. A pool whose turn has ended may rest, that is
give up VMs, until the other pools have had their turns. The time between the starts of
two turns of a pool is the period, from which the start of the next turn is predicted.
A pool's own VMs are those that it has when none are lent or switched off.
"""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

WINDOW_SECONDS = 1.2
"""Length of the window over which the demand of a pool is averaged."""

TURN_START_LOAD = 0.35
"""Demand at which a turn starts, as a fraction of the pool's own cores."""

TURN_END_LOAD = 0.15
"""Demand at which a turn ends, as a fraction of the pool's own cores."""

MIN_TURN_SECONDS = 2.5
"""Shortest turn; a shorter peak is a burst, from which no period is computed."""

MAX_GAP_IN_TURN_SECONDS = 3.0
"""A turn that starts this soon after the end of the pool's previous turn continues it,
since arrivals may stop for a second or two in the middle of a turn."""

OVERDUE_FRACTION = 0.25
"""Fraction of the period after which a turn that has not started is no longer
expected."""

READY_BEFORE_TURN_SECONDS = 0.5
"""Time by which a pool's VMs are back before its turn is due."""

NO_END_AFTER_RESTORE_SECONDS = 1.5 * WINDOW_SECONDS
"""Time after a restore during which no turn ends, because the new owner of the fleet
does not know the arrivals before the change of owner."""


class PoolMemory(NamedTuple):
    """Turns of a pool, as an owner of the fleet stores them for its successor.

    Args:
        busy_for_seconds: seconds since the present turn started; ``None`` if the pool
            does not have its turn.
        onset_seconds_ago: seconds since the start of the latest turn that has ended;
            ``None`` if there was none.
    """

    busy_for_seconds: float | None
    onset_seconds_ago: float | None


class _Arrival(NamedTuple):
    at: float
    core_seconds: float


class _PoolTurns:
    """Turns of one pool; the last turn is the latest one that has ended."""

    def __init__(self) -> None:
        self.arrivals: deque[_Arrival] = deque()
        self.is_busy = False
        self.busy_since = 0.0
        self.last_turn_ended_at = float("-inf")
        self.last_turn_started_at: float | None = None
        self.has_had_work = False


class TurnTracker:
    """Tracker of the turns of all pools.

    Args:
        own_cores_by_pool: cores of each pool when all its own VMs are on.

    Example:
        >>> tracker = TurnTracker({"a": 100.0})
        >>> tracker.add_arrival("a", 100.0, 0.0)
        >>> tracker.update(0.1)
        >>> tracker.is_busy("a")
        True
    """

    def __init__(self, own_cores_by_pool: dict[str, float]) -> None:
        self._own_cores_by_pool = own_cores_by_pool
        self._turns_by_pool = {pool: _PoolTurns() for pool in own_cores_by_pool}
        self._period_seconds: float | None = None
        self._no_turn_ends_before = float("-inf")

    @property
    def period_seconds(self) -> float | None:
        """Seconds from one turn of a pool to its next; ``None`` while not known."""
        return self._period_seconds

    def to_memory(self, now: float) -> dict[str, PoolMemory]:
        """Return the state by pool that ``restore`` gives to a successor."""
        return {
            pool: PoolMemory(
                now - turns.busy_since if turns.is_busy else None,
                None
                if turns.last_turn_started_at is None
                else now - turns.last_turn_started_at,
            )
            for pool, turns in self._turns_by_pool.items()
        }

    def restore(
        self,
        memory_by_pool: Mapping[str, PoolMemory],
        period_seconds: float | None,
        now: float,
    ) -> None:
        """Restore a former owner's state; its durations count back from ``now``."""
        self._period_seconds = period_seconds
        self._no_turn_ends_before = now + NO_END_AFTER_RESTORE_SECONDS
        for pool, memory in memory_by_pool.items():
            turns = self._turns_by_pool.setdefault(pool, _PoolTurns())
            turns.has_had_work = memory != PoolMemory(None, None)
            if memory.busy_for_seconds is not None:
                turns.is_busy = True
                turns.busy_since = now - memory.busy_for_seconds
            if memory.onset_seconds_ago is not None:
                turns.last_turn_started_at = now - memory.onset_seconds_ago

    def set_own_cores(self, pool: str, cores: float) -> None:
        """Set how many cores the pool has when all its own VMs are on."""
        self._own_cores_by_pool[pool] = cores
        self._turns_by_pool.setdefault(pool, _PoolTurns())

    def add_arrival(self, pool: str, core_seconds: float, now: float) -> None:
        """Record that work for the pool has arrived.

        Args:
            pool: name of the pool.
            core_seconds: amount of the work.
            now: clock time in seconds.
        """
        turns = self._turns_by_pool.setdefault(pool, _PoolTurns())
        turns.arrivals.append(_Arrival(now, core_seconds))
        turns.has_had_work = True

    def update(self, now: float) -> None:
        """Start and end turns by the demand up to ``now``."""
        for pool, turns in self._turns_by_pool.items():
            while turns.arrivals and turns.arrivals[0].at < now - WINDOW_SECONDS:
                turns.arrivals.popleft()
            load = self._load(pool)
            if not turns.is_busy and load >= TURN_START_LOAD:
                self._start_turn(turns, now)
            elif (
                turns.is_busy
                and load <= TURN_END_LOAD
                and now >= self._no_turn_ends_before
            ):
                turns.is_busy = False
                if now - turns.busy_since >= MIN_TURN_SECONDS:
                    self._end_turn(pool, turns, now)

    def _load(self, pool: str) -> float:
        cores = self._own_cores_by_pool.get(pool, 0.0)
        if cores <= 0:
            return 0.0
        arrived = sum(a.core_seconds for a in self._turns_by_pool[pool].arrivals)
        return arrived / WINDOW_SECONDS / cores

    @staticmethod
    def _start_turn(turns: _PoolTurns, now: float) -> None:
        turns.is_busy = True
        is_same_turn = now - turns.last_turn_ended_at <= MAX_GAP_IN_TURN_SECONDS
        turns.busy_since = turns.busy_since if is_same_turn else now

    def _end_turn(self, pool: str, turns: _PoolTurns, now: float) -> None:
        turns.last_turn_ended_at = now
        if turns.busy_since == turns.last_turn_started_at:
            return
        # Unless all other pools have had turns since the previous one, this one was a
        # burst, and the time between the two is no period.
        had_later_turn = self._others_had_later_turn(turns, pool)
        if turns.last_turn_started_at is not None and all(had_later_turn):
            self._period_seconds = turns.busy_since - turns.last_turn_started_at
        turns.last_turn_started_at = turns.busy_since

    def is_busy(self, pool: str) -> bool:
        """Return whether the pool has its turn now."""
        turns = self._turns_by_pool.get(pool)
        return turns is not None and turns.is_busy

    def may_rest(self, pool: str, now: float, lead_seconds: float) -> bool:
        """Return whether the pool's turn is over and its next one is not near.

        Without a known period, or when the predicted turn has not come, the next one
        is near once all other pools with work have had their turns.

        Args:
            pool: name of the pool.
            now: clock time in seconds.
            lead_seconds: seconds that a VM takes to come back.
        """
        turns = self._turns_by_pool.get(pool)
        if turns is None or turns.is_busy or turns.last_turn_started_at is None:
            return False
        if self._period_seconds is not None:
            due_in = turns.last_turn_started_at + self._period_seconds - now
            if due_in >= -OVERDUE_FRACTION * self._period_seconds:
                return due_in > lead_seconds + READY_BEFORE_TURN_SECONDS
        had_later_turn = self._others_had_later_turn(turns, pool)
        return not had_later_turn or not all(had_later_turn)

    def _others_had_later_turn(self, turns: _PoolTurns, pool: str) -> list[bool]:
        """Return for each other pool with work whether its turn came after this one."""
        last_turn_started_at = turns.last_turn_started_at
        return [
            other.last_turn_started_at is not None
            and last_turn_started_at is not None
            and other.last_turn_started_at > last_turn_started_at
            for name, other in self._turns_by_pool.items()
            if name != pool and other.has_had_work
        ]
