"""Learns when it is a pool's turn.

Pattern: the queues ask for much one after the other, in turns that repeat. A pool whose
turn has just ended rests until the others have had theirs; the time between two of its
turns tells when the next one begins.
"""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

WINDOW_SECONDS = 1.2
"""Time over which the demand of a pool is averaged."""

BUSY_LOAD = 0.35
"""Demand, as a part of the pool's own cores, at which a turn begins."""

QUIET_LOAD = 0.15
"""Demand at which a turn ends."""

MIN_TURN_SECONDS = 2.5
"""A pool that is busy for less has had a burst, not its turn."""

RESUME_SECONDS = 3.0
"""A turn that begins so soon after the pool's last one ended is the same one: the
service's feed may fall silent for a second or two in its middle."""

OVERDUE_FRACTION = 0.25
"""A turn that is late by this part of its period is not waited for any longer."""

LEAD_SECONDS = 0.5
"""How much before its turn a pool is ready, beyond the time of a move."""


RESTORED_SECONDS = 1.5 * WINDOW_SECONDS
"""A turn that a former owner has seen does not end sooner after the change of owner,
because arrivals before it are not known."""


class PoolMemory(NamedTuple):
    """What is known of a pool's turns, for a successor.

    Args:
        busy_for_seconds: for how long it has been the pool's turn; ``None`` if it is
            not its turn.
        onset_seconds_ago: when its latest turn that has ended began; ``None`` if there
            was none.
    """

    busy_for_seconds: float | None
    onset_seconds_ago: float | None


class _Arrival(NamedTuple):
    at: float
    core_seconds: float


class _PoolTurns:
    def __init__(self) -> None:
        self.arrivals: deque[_Arrival] = deque()
        self.is_busy = False
        self.busy_since = 0.0
        self.ended_at = float("-inf")
        self.onset_at: float | None = None
        self.has_worked = False


class TurnTracker:
    """Follows the demand of all pools.

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
        self._no_end_before = float("-inf")

    @property
    def period_seconds(self) -> float | None:
        """Time between two turns of a pool; ``None`` while it is not known."""
        return self._period_seconds

    def remember(self, now: float) -> dict[str, PoolMemory]:
        """Return what a successor should know, by pool."""
        return {
            pool: PoolMemory(
                now - turns.busy_since if turns.is_busy else None,
                None if turns.onset_at is None else now - turns.onset_at,
            )
            for pool, turns in self._turns_by_pool.items()
        }

    def restore(
        self,
        memory_by_pool: Mapping[str, PoolMemory],
        period_seconds: float | None,
        now: float,
    ) -> None:
        """Take over what a former owner has seen; all durations end at ``now``."""
        self._period_seconds = period_seconds
        self._no_end_before = now + RESTORED_SECONDS
        for pool, memory in memory_by_pool.items():
            turns = self._turns_by_pool.setdefault(pool, _PoolTurns())
            turns.has_worked = memory != PoolMemory(None, None)
            if memory.busy_for_seconds is not None:
                turns.is_busy = True
                turns.busy_since = now - memory.busy_for_seconds
            if memory.onset_seconds_ago is not None:
                turns.onset_at = now - memory.onset_seconds_ago

    def set_own_cores(self, pool: str, cores: float) -> None:
        """Note how many cores the pool has when all its own VMs are on."""
        self._own_cores_by_pool[pool] = cores
        self._turns_by_pool.setdefault(pool, _PoolTurns())

    def add_arrival(self, pool: str, core_seconds: float, now: float) -> None:
        """Note that work for the pool has arrived."""
        turns = self._turns_by_pool.setdefault(pool, _PoolTurns())
        turns.arrivals.append(_Arrival(now, core_seconds))
        turns.has_worked = True

    def update(self, now: float) -> None:
        """Find the turns that begin or end by ``now``."""
        for pool, turns in self._turns_by_pool.items():
            while turns.arrivals and turns.arrivals[0].at < now - WINDOW_SECONDS:
                turns.arrivals.popleft()
            load = self._load(pool)
            if not turns.is_busy and load >= BUSY_LOAD:
                self._begin_turn(turns, now)
            elif turns.is_busy and load <= QUIET_LOAD and now >= self._no_end_before:
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
    def _begin_turn(turns: _PoolTurns, now: float) -> None:
        turns.is_busy = True
        is_resumed = now - turns.ended_at <= RESUME_SECONDS
        turns.busy_since = turns.busy_since if is_resumed else now

    def _end_turn(self, pool: str, turns: _PoolTurns, now: float) -> None:
        turns.ended_at = now
        if turns.busy_since == turns.onset_at:
            return
        # Without turns of the others in between it was a burst of its own.
        followers = self._followers(turns, pool)
        if turns.onset_at is not None and all(followers):
            self._period_seconds = turns.busy_since - turns.onset_at
        turns.onset_at = turns.busy_since

    def is_busy(self, pool: str) -> bool:
        """Return whether it is the pool's turn."""
        turns = self._turns_by_pool.get(pool)
        return turns is not None and turns.is_busy

    def may_rest(self, pool: str, now: float, lead_seconds: float) -> bool:
        """Return whether the pool's turn is over and its next one not near.

        Args:
            pool: name of the pool.
            now: clock time in seconds.
            lead_seconds: time that a VM takes to come back.
        """
        turns = self._turns_by_pool.get(pool)
        if turns is None or turns.is_busy or turns.onset_at is None:
            return False
        if self._period_seconds is not None:
            due_in = turns.onset_at + self._period_seconds - now
            if due_in >= -OVERDUE_FRACTION * self._period_seconds:
                return due_in > lead_seconds + LEAD_SECONDS
        followers = self._followers(turns, pool)
        return not followers or not all(followers)

    def _followers(self, turns: _PoolTurns, pool: str) -> list[bool]:
        """Return whether the turn of each other pool with work came after this one."""
        onset_at = turns.onset_at
        return [
            other.onset_at is not None
            and onset_at is not None
            and other.onset_at > onset_at
            for name, other in self._turns_by_pool.items()
            if name != pool and other.has_worked
        ]
