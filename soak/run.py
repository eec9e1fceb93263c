"""One seeded run: faults under load, then calm, then the check of all promises."""

import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from verification.platform.caller import PlatformCaller
from verification.platform.checkers import find_faults
from verification.platform.deployment import PlatformSize
from verification.processes import ProcessGroup

from .faults import FAULT_BY_NAME, PlannedFault, draw_schedule
from .load import Cancel, SoakLoad
from .world import SoakWorld

RECOVERY_SECONDS = 12.0
"""Time after the last fault in which the system has to be well again; the users' bound
for a recovery."""

FINISH_SECONDS = 40.0
"""Time after that in which all accepted work has to end; most of it is queued by then,
and a wave takes its VMs in turn."""

ACKNOWLEDGE_SECONDS = 4.0
"""Time in which a cancellation is acknowledged while all is well; the users' bound."""

REVOKE_SECONDS = 5.0
"""After this long nothing is answered for a withdrawn key; the users' bound."""

FINAL_STATES = ("completed", "failed", "canceled")


class SoakResult(NamedTuple):
    """What a run has shown."""

    seed: int
    faults: list[str]
    schedule: list[PlannedFault]
    n_jobs: int
    n_accepted: int
    n_starts: int


class KeyProbe:
    """Calls with the withdrawn keys and notes when one is still taken."""

    def __init__(self, world: SoakWorld) -> None:
        self.faults: list[str] = []
        self._world = world
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._probe)

    def start(self) -> None:
        """Start to call."""
        self._thread.start()

    def stop(self) -> None:
        """Stop calling."""
        self._stop.set()
        self._thread.join()

    def _probe(self) -> None:
        caller = PlatformCaller(self._world.list_callers, random.Random(0))
        while not self._stop.wait(0.1):
            withdrawn_at_by_key = dict(self._world.deployment.withdrawn_at_by_key)
            for key, withdrawn_at in withdrawn_at_by_key.items():
                sent_at = time.monotonic()
                if sent_at < withdrawn_at + REVOKE_SECONDS:
                    continue
                status, _ = caller.call("GET", "queue-0", "0" * 16, key)
                if status in (200, 410):
                    age = sent_at - withdrawn_at
                    self.faults.append(f"KEY: {key} taken {age:.1f} s after its end")


def run_seed(seed: int, seconds: float, size: PlatformSize) -> SoakResult:
    """Run one seed and check every promise.

    Args:
        seed: draws faults and load.
        seconds: how long faults strike.
        size: size of the deployment.
    """
    schedule = draw_schedule(random.Random(seed), seconds)
    with ProcessGroup() as processes:
        world = SoakWorld(processes, size._replace(seed=seed))
        try:
            world.start()
            load = SoakLoad(world, seed)
            probe = KeyProbe(world)
            load.start()
            probe.start()
            _play(world, schedule, random.Random(f"{seed}-faults"))
            load.stop()
            world.heal()
            time.sleep(RECOVERY_SECONDS)
            faults = _find_unfinished(world, load)
            probe.stop()
            events = world.deployment.list_events()
            faults += find_faults(events, load.jobs) + probe.faults
        finally:
            world.close()
    return SoakResult(
        seed,
        faults,
        schedule,
        len(load.jobs),
        sum(job.accepted_at > 0 for job in load.jobs),
        sum(event["what"] == "started" for event in events),
    )


def _play(world: SoakWorld, schedule: list[PlannedFault], rng: random.Random) -> None:
    began_at = time.monotonic()
    ends: list[tuple[float, Callable[[], None]]] = []
    moments = [(fault.at, fault) for fault in schedule]
    while moments or ends:
        now = time.monotonic() - began_at
        for due in [end for end in ends if end[0] <= now]:
            ends.remove(due)
            due[1]()
        while moments and moments[0][0] <= now:
            _, fault = moments.pop(0)
            end = FAULT_BY_NAME[fault.name](world, rng)
            if end is not None:
                ends.append((fault.at + fault.for_seconds, end))
        time.sleep(0.02)


def _find_unfinished(world: SoakWorld, load: SoakLoad) -> list[str]:
    """Return accepted jobs that have not ended, or not as they should."""
    caller = PlatformCaller(world.list_callers, random.Random(1))
    key = world.deployment.keys[-1]
    cancel_by_id = {cancel.job.job_id: cancel for cancel in load.cancels}
    faults = _cancel_again(caller, load, key)
    deadline = time.monotonic() + FINISH_SECONDS
    for job in load.jobs:
        if not job.accepted_at:
            continue
        left_seconds = max(0.5, deadline - time.monotonic())
        state = caller.wait_for(job._replace(key=key), FINAL_STATES, left_seconds)
        cancel = cancel_by_id.get(job.job_id)
        if not _is_as_promised(state, cancel):
            faults.append(
                f"LOST: accepted job {job.job_id} is {state or 'unknown'}"
                f" (lasting: {job.steps[0].is_lasting}, canceled: {cancel is not None},"
                f" acknowledged: {cancel is not None and cancel.acknowledged_at > 0})"
            )
    return faults


def _cancel_again(caller: PlatformCaller, load: SoakLoad, key: str) -> list[str]:
    """Repeat cancellations that had no answer, which must be acknowledged now.

    Without an acknowledgement a lasting job may rightly run on.
    """
    faults = []
    for cancel in load.cancels:
        if cancel.acknowledged_at:
            continue
        job = cancel.job._replace(key=key)
        if not caller.cancel(job, ACKNOWLEDGE_SECONDS):
            faults.append(f"CANCEL: {job.job_id} was not acknowledged")
    return faults


def _is_as_promised(state: str, cancel: Cancel | None) -> bool:
    if cancel is not None:
        return state in ("canceled", "completed")
    return state == "completed"
