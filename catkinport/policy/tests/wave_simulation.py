"""Simulates a wave of upkeep in a fleet whose VMs all have short tasks that wait."""

import random
from typing import NamedTuple

from ..upkeep import UpkeepCandidate, UpkeepCost, WaveView, choose_upkeep

TICK_SECONDS = 0.25
TASK_SECONDS = 1.2
ANSWER_SECONDS = 0.25
UPKEEP_SECONDS = 2.0
LIST_LAG_SECONDS = 0.4


class Takeover(NamedTuple):
    """A change of the owner.

    Args:
        at: seconds after the begin of the wave at which the owner ends.
        seconds: time until the successor gives orders.
        is_age_known: whether the successor knows the age of the wave.
    """

    at: float
    seconds: float
    is_age_known: bool


class _SimulatedVm:
    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.busy_until = rng.uniform(0.0, TASK_SECONDS)
        self.is_reserved = False
        self.begun_at = float("inf")
        self.down_until = 0.0


class WaveSimulation:
    """A wave over VMs that run short tasks one after the other.

    Args:
        n_vms: number of VMs.
        max_down: most VMs that may be down at once.
        deadline_seconds: time that the wave may take.
        crash_rate: crashes of a VM a second, each of which takes it down for 3 s.
        takeover: change of the owner, if there is one.
    """

    def __init__(
        self,
        n_vms: int,
        max_down: int,
        deadline_seconds: float,
        crash_rate: float = 0.0,
        takeover: Takeover | None = None,
    ) -> None:
        self._rng = random.Random(1)
        self._vms = [_SimulatedVm(f"m-{i:03}", self._rng) for i in range(n_vms)]
        self._max_down = max_down
        self._deadline_seconds = deadline_seconds
        self._crash_rate = crash_rate
        self._takeover = takeover
        self.max_unavailable = 0

    def count_undone(self) -> int:
        """Return the number of VMs whose upkeep has not begun at the deadline."""
        for tick in range(round(self._deadline_seconds / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            self._crash_some(now)
            age = self._find_age(now)
            if age is not None:
                self._follow(choose_upkeep(self._view(now, age)), now)
            n_away = sum(vm.is_reserved or vm.down_until > now for vm in self._vms)
            self.max_unavailable = max(self.max_unavailable, n_away)
        return sum(vm.begun_at > self._deadline_seconds for vm in self._vms)

    def _find_age(self, now: float) -> float | None:
        """Return the age of the wave as its owner sees it; ``None`` without one."""
        if self._takeover is None or now < self._takeover.at:
            return now
        taken_over_at = self._takeover.at + self._takeover.seconds
        if now < taken_over_at:
            for vm in self._vms:
                vm.is_reserved = False
            return None
        return now if self._takeover.is_age_known else now - taken_over_at

    def _crash_some(self, now: float) -> None:
        for vm in self._vms:
            if self._rng.random() < self._crash_rate * TICK_SECONDS:
                vm.down_until = max(vm.down_until, now + 3.0)
                vm.is_reserved = False

    def _view(self, now: float, age: float) -> WaveView:
        begun = [vm for vm in self._vms if vm.begun_at <= now]
        down = [
            vm
            for vm in self._vms
            if vm.begun_at - ANSWER_SECONDS <= now < vm.down_until + LIST_LAG_SECONDS
        ]
        candidates = [
            self._candidate(vm, now)
            for vm in self._vms
            if vm.begun_at == float("inf") and vm.down_until <= now
        ]
        return WaveView(
            len(self._vms),
            len(begun),
            len(down),
            self._max_down,
            age,
            self._deadline_seconds,
            candidates,
            n_begun_down=sum(vm.begun_at <= now for vm in down),
            upkeep_seconds=UPKEEP_SECONDS + LIST_LAG_SECONDS,
        )

    def _candidate(self, vm: _SimulatedVm, now: float) -> UpkeepCandidate:
        while vm.busy_until <= now and not vm.is_reserved:
            vm.busy_until += TASK_SECONDS
        is_busy = vm.busy_until > now
        return UpkeepCandidate(
            vm.name,
            "p",
            UpkeepCost.SHORT_WORK if is_busy else UpkeepCost.IDLE,
            busy_cores=4.0 * is_busy,
            is_reserved=vm.is_reserved,
        )

    def _follow(self, choice, now: float) -> None:
        for vm in self._vms:
            if vm.name in choice.drain:
                vm.is_reserved = True
            if vm.name in choice.maintain:
                vm.is_reserved = False
                vm.begun_at = now + ANSWER_SECONDS
                vm.down_until = now + ANSWER_SECONDS + UPKEEP_SECONDS
