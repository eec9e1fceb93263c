"""Evacuations of availability zones at random times, and the check of their promise.

They are planned work beside the faults, drawn from random numbers of their own, so
that a seed keeps its faults. The operator's row is stored in the stand-in, and removed
later.
"""

import logging
import random
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from string import ascii_lowercase
from typing import Any, NamedTuple

from catkinport.runtime.logs import log_event

from .environment import Evacuation, SoakEnvironment
from .faults import InjectedFault, PlannedFault, register_for_series

logger = logging.getLogger(__name__)

EVACUATE_SECONDS = 5.0
"""Time from the storage of the row after which nothing starts in the zone, as promised
for daemons in contact with the store."""

DURATION_SECONDS = (3.0, 16.0)
"""Shortest and longest evacuation. Some end before the promise holds."""

MEAN_PAUSE_SECONDS = 4.0
"""Mean time between the starts of two evacuations."""

CONTACT_FAULTS = frozenset(
    {"cut_from_store", "cut_owner", "pause_daemon", "pause_owner", "store_down"}
)
"""Faults that may keep the owner from reading the row while they last."""


def draw_evacuations(rng: random.Random, seconds: float) -> list[PlannedFault]:
    """Return random evacuations that begin within ``seconds``, at least one."""
    evacuations = []
    start_seconds = rng.uniform(0.5, 3.0)
    while start_seconds < seconds or not evacuations:
        duration_seconds = rng.uniform(*DURATION_SECONDS)
        evacuations.append(
            PlannedFault(start_seconds, evacuate_zone.__name__, duration_seconds)
        )
        start_seconds += rng.expovariate(1 / MEAN_PAUSE_SECONDS)
    return evacuations


@register_for_series
def evacuate_zone(
    environment: SoakEnvironment, rng: random.Random
) -> Callable[[], None] | None:
    """Evacuate a zone, unless it is the last one that is not evacuated."""
    letters = ascii_lowercase[: environment.deployment.size.n_zones]
    evacuated = {e.zone for e in environment.evacuations if not e.removed_at}
    free = [f"zone-{letter}" for letter in letters if f"zone-{letter}" not in evacuated]
    if len(free) < 2:
        return None
    evacuation = Evacuation(rng.choice(free))
    environment.deployment.evacuate_zone(evacuation.zone)
    evacuation.stored_at = time.monotonic()
    environment.evacuations.append(evacuation)
    log_event(logger, "zone evacuated", zone=evacuation.zone)

    def end() -> None:
        evacuation.removed_at = time.monotonic()
        environment.deployment.end_zone_evacuation(evacuation.zone)

    return end


class _Span(NamedTuple):
    begins_at: float
    ends_at: float


def check_no_late_starts(
    events: Iterable[Mapping[str, Any]],
    zone_by_vm: Mapping[str, str],
    evacuations: Sequence[Evacuation],
    faults: Iterable[InjectedFault],
) -> list[str]:
    """Return each start in a zone that was evacuated for too long.

    The time in which a fault may have kept the owner from reading the row is left out.

    Args:
        events: events that the workers recorded.
        zone_by_vm: zone of each VM; the id of a worker has that of its VM.
        evacuations: evacuations, with times of the clock of the events.
        faults: faults that were injected, with times of the same clock.
    """
    violations = []
    spans = _merge(fault for fault in faults if fault.name in CONTACT_FAULTS)
    for event in events:
        if event["what"] != "started":
            continue
        zone = zone_by_vm[event["worker"].removeprefix("i-").rpartition("-")[0]]
        for evacuation in evacuations:
            removed_at = evacuation.removed_at or float("inf")
            if evacuation.zone != zone or event["at"] >= removed_at:
                continue
            seconds = _undisturbed_seconds(evacuation.stored_at, event["at"], spans)
            if seconds > EVACUATE_SECONDS:
                violations.append(
                    f"EVAC: {event['task']} run {event['run']} started on "
                    f"{event['worker']} in {zone}, "
                    f"{event['at'] - evacuation.stored_at:.2f} s after the request, "
                    f"{seconds:.2f} s of them in contact with the store"
                )
    return violations


def _undisturbed_seconds(
    begins_at: float, ends_at: float, spans: Iterable[_Span]
) -> float:
    disturbed = sum(
        max(0.0, min(ends_at, span.ends_at) - max(begins_at, span.begins_at))
        for span in spans
    )
    return ends_at - begins_at - disturbed


def _merge(faults: Iterable[InjectedFault]) -> list[_Span]:
    """Return the times of the faults, those that overlap as one."""
    spans: list[_Span] = []
    for fault in sorted(faults, key=lambda fault: fault.began_at):
        if spans and fault.began_at <= spans[-1].ends_at:
            ends_at = max(spans[-1].ends_at, fault.ended_at)
            spans[-1] = spans[-1]._replace(ends_at=ends_at)
        else:
            spans.append(_Span(fault.began_at, fault.ended_at))
    return spans
