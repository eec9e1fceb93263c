"""Chooses the VMs of a wave that are taken down for upkeep next.

Upkeep is maintenance that the platform asks for: a wave names VMs, each of which must
be taken down once before a deadline. Demand moves from pool to pool, so each VM is idle
at times, and a wave takes VMs down then. VMs with short tasks are drained for it only
while it is behind its schedule.

Lasting tasks run until their job is canceled; all others are short. Only a limited
number of lasting tasks of the same step may be stopped at the same time.
"""

import math
from collections import Counter
from collections.abc import Sequence
from enum import IntEnum, StrEnum
from typing import NamedTuple

PLANNED_FRACTION = 0.65
"""Fraction of the time to the deadline within which the wave is scheduled to finish."""

IDLE_FRACTION = 0.25
"""Fraction of the time to the deadline over which the VMs without tasks are spread.
Demand may rise while they are down, and those that are left serve it."""

FIRST_IDLE_SECONDS = 0.5
"""Share of that time whose VMs go down at once."""

MIN_IDLE_DOWN = 3
"""VMs without tasks that may always be down together."""

LASTING_DRAIN_SECONDS = 2.5
"""Time from the reservation of a VM with lasting tasks until the next one of its pool
can be reserved: its short tasks end, its lasting ones start elsewhere, and these are
ready."""

PRESSED_FRACTION = 0.8
"""Fraction of the time to the deadline by which a wave must be expected to finish, by
its pace or by the VMs that may be down at once. Otherwise it counts as pressed, and
spares no VM for demand that may come."""

MIN_PACE_FRACTION = 0.1
"""Fraction of the time to the deadline from which on the pace of a wave counts."""

MAX_LASTING_DRAINS = 3
"""Most VMs with lasting tasks that one pool drains at a time. Draining VMs get no new
tasks, and the tasks of a step still go away only as many at a time as it allows."""


class UpkeepCost(IntEnum):
    """Cost of taking a VM down for the tasks on it, in increasing order."""

    OFF = 0
    IDLE = 1
    SHORT_WORK = 2
    LASTING_WORK = 3
    FORBIDDEN = 4
    UNKNOWN_WORK = 5


class UpkeepHold(StrEnum):
    """Reason for which a VM of a wave has not gone down yet."""

    OUT_OF_CONTACT = "out-of-contact"
    TASKS_MAY_NOT_END = "tasks-may-not-end"
    BUDGET_EXHAUSTED = "budget-exhausted"
    BUDGET_IN_USE = "budget-in-use"
    TASKS_RUNNING = "tasks-running"
    MAXIMUM_DOWN = "maximum-down"
    ORDER_DUE = "order-due"


class UpkeepCandidate(NamedTuple):
    """A VM of a wave that has not begun its upkeep.

    Args:
        vm_id: id of the VM.
        pool: name of its pool.
        cost: cost of taking it down.
        busy_cores: cores of the short tasks that run on it.
        is_reserved: whether it gets no new tasks, because the wave drains it.
        may_end_lasting: whether all its lasting tasks may be ended right now.
        is_pool_busy: whether the pool's queue has its peak of demand now.
        is_pool_short: whether a VM of the pool was just given back for a task that
            waits, so that none of its VMs with tasks is drained.
        is_budget_exhausted: whether one of its lasting tasks can't be ended for long,
            because too many others of its step are unavailable.
        rack: label of its rack; empty if it has none.
    """

    vm_id: str
    pool: str
    cost: UpkeepCost
    busy_cores: float = 0.0
    is_reserved: bool = False
    may_end_lasting: bool = False
    is_pool_busy: bool = False
    is_pool_short: bool = False
    is_budget_exhausted: bool = False
    rack: str = ""


class WaveView(NamedTuple):
    """State of a wave.

    Args:
        n_vms: number of VMs of the wave.
        n_begun: VMs that have begun their upkeep.
        n_down: VMs of the wave that are or may be down for it.
        max_down: most VMs of the wave that may be down at once.
        age_seconds: seconds since the wave was announced.
        deadline_seconds: seconds that the wave may take.
        candidates: VMs that are up and have not begun their upkeep.
        n_begun_down: VMs that count both as begun and as down.
        upkeep_seconds: time for which an upkeep takes a place of ``max_down``.
    """

    n_vms: int
    n_begun: int
    n_down: int
    max_down: int
    age_seconds: float
    deadline_seconds: float
    candidates: Sequence[UpkeepCandidate]
    n_begun_down: int = 0
    upkeep_seconds: float = 0.0

    @property
    def n_started(self) -> int:
        """Number of VMs that have begun their upkeep or are down for it."""
        return self.n_begun + self.n_down - self.n_begun_down


class UpkeepChoice(NamedTuple):
    """Ids of VMs.

    Args:
        maintain: VMs to take down now.
        drain: VMs to drain.
        release: drained VMs that can't go down for long and get tasks meanwhile.
    """

    maintain: list[str]
    drain: list[str]
    release: list[str]


def is_behind(view: WaveView) -> bool:
    """Return whether the wave is behind its schedule."""
    planned_seconds = view.deadline_seconds * PLANNED_FRACTION
    if planned_seconds <= 0:
        return True
    due = view.n_vms * min(1.0, view.age_seconds / planned_seconds)
    return _n_counted(view) < due or _is_short_of_places(view)


def is_pressed(view: WaveView) -> bool:
    """Return whether the wave is expected to finish close to its deadline or later."""
    if view.n_started >= view.n_vms:
        return False
    late_seconds = view.deadline_seconds * PRESSED_FRACTION
    is_pace_known = view.age_seconds >= view.deadline_seconds * MIN_PACE_FRACTION
    is_slow = view.n_vms * view.age_seconds > view.n_started * late_seconds
    return is_pace_known and is_slow or _is_short_of_places(view)


def _is_short_of_places(view: WaveView) -> bool:
    """Return whether the wave must use all places of ``max_down`` from now on."""
    n_left = view.n_vms - view.n_started
    seconds_left = view.deadline_seconds * PRESSED_FRACTION - view.age_seconds
    return n_left * view.upkeep_seconds > seconds_left * view.max_down > 0


def _n_counted(view: WaveView) -> int:
    """Return the number of VMs that count as done for the schedule.

    A VM counts twice while it is down after its upkeep was confirmed. Waves with time
    left keep this, which leaves VMs to demand. A pressed wave that kept it would stop
    while as many of its VMs as are down have not begun.
    """
    return view.n_started if is_pressed(view) else view.n_begun + view.n_down


def find_upkeep_hold(candidate: UpkeepCandidate, view: WaveView) -> UpkeepHold:
    """Return why a VM of the wave has not gone down yet.

    Example:
        >>> busy = UpkeepCandidate("m-1", "p", UpkeepCost.SHORT_WORK, 4.0)
        >>> find_upkeep_hold(busy, WaveView(1, 0, 0, 1, 30.0, 20.0, [busy])).value
        'tasks-running'
    """
    if candidate.cost is UpkeepCost.UNKNOWN_WORK:
        return UpkeepHold.OUT_OF_CONTACT
    if candidate.cost is UpkeepCost.FORBIDDEN:
        return UpkeepHold.TASKS_MAY_NOT_END
    if candidate.cost is UpkeepCost.LASTING_WORK:
        if candidate.is_budget_exhausted:
            return UpkeepHold.BUDGET_EXHAUSTED
        if not candidate.may_end_lasting:
            return UpkeepHold.BUDGET_IN_USE
    if candidate.busy_cores:
        return UpkeepHold.TASKS_RUNNING
    if view.n_down >= view.max_down:
        return UpkeepHold.MAXIMUM_DOWN
    return UpkeepHold.ORDER_DUE


def choose_upkeep(view: WaveView) -> UpkeepChoice:
    """Choose the VMs of the wave to take down and to drain now.

    VMs with lasting tasks come first, as they take longest: few tasks of a step may be
    stopped at the same time, so a pool drains few such VMs together.

    Example:
        >>> idle = UpkeepCandidate("m-1", "p", UpkeepCost.IDLE)
        >>> choose_upkeep(WaveView(1, 0, 0, 1, 0.0, 20.0, [idle])).maintain
        ['m-1']
    """
    with_lasting = [c for c in view.candidates if c.cost is UpkeepCost.LASTING_WORK]
    release = [c.vm_id for c in with_lasting if c.is_reserved and c.is_budget_exhausted]
    lasting = [c for c in with_lasting if not c.is_budget_exhausted]
    drained_vms = [
        c for c in lasting if c.is_reserved and c.may_end_lasting and not c.busy_cores
    ]
    ready = [c for c in view.candidates if c.cost <= UpkeepCost.IDLE]
    ready.sort(key=lambda c: (c.cost, not c.is_reserved, c.vm_id))
    n_free = max(0, view.max_down - view.n_down)
    n_off = sum(c.cost is UpkeepCost.OFF for c in ready)
    # VMs that are off can't be moved to where demand rises before their upkeep.
    ready = ready[: max(n_off, _idle_upkeeps(view))]
    maintain = [c.vm_id for c in (*drained_vms, *ready)][:n_free]
    drain = _choose_lasting_to_drain(lasting, view)
    if is_behind(view):
        short = [c for c in view.candidates if c.cost is UpkeepCost.SHORT_WORK]
        drained = [c for c in ready if c.is_reserved and c.vm_id not in maintain]
        n_draining = sum(c.is_reserved for c in (*short, *lasting)) + len(drained)
        n_wanted = max(0, _n_places(view) - len(maintain) - n_draining)
        drainable = [c for c in short if not c.is_reserved and not c.is_pool_short]
        others = sorted(drainable, key=_busy_cores)
        if is_pressed(view):
            others = _spread_over_racks(others, view)
        drain += [c.vm_id for c in others[:n_wanted]]
    return UpkeepChoice(maintain, drain, release)


def _idle_upkeeps(view: WaveView) -> int:
    """Return how many VMs without tasks may be taken down now."""
    spread_seconds = view.deadline_seconds * IDLE_FRACTION
    if spread_seconds <= 0 or is_pressed(view):
        return view.n_vms
    share = (view.age_seconds + FIRST_IDLE_SECONDS) / spread_seconds
    due = math.ceil(view.n_vms * min(1.0, share))
    return max(0, due - view.n_begun - view.n_down, MIN_IDLE_DOWN - view.n_down)


def _n_places(view: WaveView) -> int:
    """Return for how many upkeeps VMs with short tasks are drained now.

    A pressed wave drains VMs ahead for half of the places in use, as its VMs take about
    half as long to drain as an upkeep takes.
    """
    n_free = max(0, view.max_down - view.n_down)
    return n_free + view.n_down // 2 if is_pressed(view) else n_free


def _choose_lasting_to_drain(
    lasting: list[UpkeepCandidate], view: WaveView
) -> list[str]:
    """Choose the VMs with lasting tasks that are drained next.

    A pool drains one VM at a time, and more if that would take too long for the wave.
    Pools whose queue has its peak of demand are skipped unless the wave is behind its
    schedule.
    """
    drain = []
    n_by_pool = Counter(c.pool for c in lasting)
    n_draining_by_pool = Counter(c.pool for c in lasting if c.is_reserved)
    for candidate in sorted(lasting, key=_busy_cores):
        pool = candidate.pool
        if candidate.is_reserved or candidate.is_pool_short:
            continue
        if candidate.is_pool_busy and not is_behind(view):
            continue
        if n_draining_by_pool[pool] >= _lasting_drains(n_by_pool[pool], view):
            continue
        n_draining_by_pool[pool] += 1
        drain.append(candidate.vm_id)
    return drain


def _lasting_drains(n_vms: int, view: WaveView) -> int:
    """Return how many of ``n_vms`` VMs of a pool are drained at a time."""
    seconds_left = view.deadline_seconds * PLANNED_FRACTION - view.age_seconds
    n_turns = max(1.0, seconds_left / LASTING_DRAIN_SECONDS)
    return min(MAX_LASTING_DRAINS, math.ceil(n_vms / n_turns))


def _spread_over_racks(
    candidates: Sequence[UpkeepCandidate], view: WaveView
) -> list[UpkeepCandidate]:
    """Return the VMs so that each rack loses as many as others, else in their order.

    A pressed wave drains many VMs together. Tasks that need one rack, or have their
    data in one, would lose most of it.
    """
    n_by_rack = Counter(c.rack for c in view.candidates if c.is_reserved)
    ranked: list[tuple[int, UpkeepCandidate]] = []
    for candidate in candidates:
        ranked.append((n_by_rack[candidate.rack], candidate))
        n_by_rack[candidate.rack] += 1
    ranked.sort(key=lambda entry: entry[0])
    return [candidate for _, candidate in ranked]


def _busy_cores(candidate: UpkeepCandidate) -> float:
    return candidate.busy_cores
