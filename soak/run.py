"""One seeded run: faults under load, recovery, then the check of all promises.

A promise is a guarantee that the system gives its users: an accepted job completes, no
task runs twice, steps keep their order, nothing runs that was not asked for or was
refused, a withdrawn key stops working, a cancellation is acknowledged, nothing starts
in an evacuated zone, and a planned restart leaves no request unanswered that a daemon
has read.

The tasks of a lasting job run until it is canceled. Besides, no worker may take a lease
or a number of ends from a call for its former incarnation, unless an order is carried
out late.
"""

import contextlib
import logging
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Literal, NamedTuple

from catkinport.runtime.logs import log_event
from verification.platform.caller import PlatformCaller
from verification.platform.checkers import (
    check_no_misdirected_calls,
    find_violations,
)
from verification.platform.deployment import PlatformSize
from verification.processes import ProcessGroup

from .environment import SoakEnvironment
from .faults import FAULT_BY_NAME, InjectedFault, PlannedFault, draw_schedule
from .load import Cancellation, SoakLoad
from .output import log_to_folder, write_events, write_schedule
from .planned_work import restart_all
from .restarts import draw_restarts
from .series import draw_series
from .zone_evacuations import check_no_late_starts, draw_evacuations

logger = logging.getLogger(__name__)

RECOVERY_SECONDS = 12.0
"""Time after the last fault in which the system must recover, as promised to users.
It covers the restart of daemons that were still stopping then."""

FINISH_SECONDS = 40.0
"""Time after the recovery in which all accepted jobs must end.

Most of the jobs may still be queued then, and a wave of upkeep (the maintenance of all
VMs) may take VMs down in turn.
"""

CANCEL_TIMEOUT_SECONDS = 4.0
"""Time in which a cancellation must be acknowledged when there are no faults, as
promised to users."""

KEY_WITHDRAWAL_SECONDS = 5.0
"""Time after which a withdrawn key must be refused, as promised to users."""

Plan = Literal["standard", "restarts", "both"]
"""What a seed plays: random faults and series of them, series around workers that
restart under their ids, beside tasks of 8 to 15 s, or all of these."""

FINAL_STATES = ("completed", "failed", "canceled")


class SoakResult(NamedTuple):
    """Results of one run.

    Args:
        seed: seed of the run.
        violations: broken promises.
        schedule: faults that were injected.
        n_jobs: number of jobs that were submitted.
        n_accepted: number of jobs that were accepted.
        n_starts: number of starts of tasks on workers.
        folder: folder with the logs, the schedule and what was checked; ``None`` if no
            promise was broken.
    """

    seed: int
    violations: list[str]
    schedule: list[PlannedFault]
    n_jobs: int
    n_accepted: int
    n_starts: int
    folder: Path | None


class WithdrawnKeyProbe:
    """Background thread that calls with withdrawn keys and records accepted calls.

    The calls with a key begin ``KEY_WITHDRAWAL_SECONDS`` after its withdrawal.
    """

    def __init__(self, environment: SoakEnvironment) -> None:
        self.violations: list[str] = []
        self._environment = environment
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._probe)

    def start(self) -> None:
        """Start calling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop calling and wait for the thread."""
        self._stop.set()
        self._thread.join()

    def _probe(self) -> None:
        caller = PlatformCaller(
            self._environment.list_caller_addresses, random.Random(0)
        )
        while not self._stop.wait(0.1):
            withdrawn_at_by_key = dict(self._environment.deployment.withdrawn_at_by_key)
            for key, withdrawn_at in withdrawn_at_by_key.items():
                sent_at = time.monotonic()
                if sent_at < withdrawn_at + KEY_WITHDRAWAL_SECONDS:
                    continue
                status, _ = caller.call("GET", "queue-0", "0" * 16, key)
                # Both mean that the key was accepted; 410 is for an unknown job.
                if status in (200, 410):
                    age = sent_at - withdrawn_at
                    self.violations.append(
                        f"KEY: {key} accepted {age:.1f} s after its withdrawal"
                    )


def run_seed(
    seed: int, seconds: float, size: PlatformSize, plan: Plan = "standard"
) -> SoakResult:
    """Run the soak test with one seed and check every promise.

    Args:
        seed: seed of the faults and of the load.
        seconds: time over which faults are injected.
        size: size of the deployment. With several availability zones, some of them are
            evacuated, unless only restarts are played.
        plan: what to play.
    """
    steps: list[_Step] = []
    if plan != "restarts":
        steps += _plan_standard_faults(seed, seconds, size)
    if plan != "standard":
        steps += _plan_restarts(seed, seconds)
    steps.sort(key=lambda step: step.fault.start_seconds)
    with ProcessGroup(label=f"soak-{seed}-") as processes:
        # A run that breaks off keeps its folder too.
        processes.is_folder_kept = True
        with log_to_folder(processes.folder):
            write_schedule(processes.folder, [step.fault for step in steps])
            has_long_jobs = plan != "standard"
            result = _run_plan(
                processes, steps, size._replace(seed=seed), has_long_jobs
            )
        processes.is_folder_kept = bool(result.violations)
    return result


class _Step(NamedTuple):
    """A planned fault, and the source of the choices that are made as it begins."""

    fault: PlannedFault
    rng: random.Random


def _plan_faults(faults: list[PlannedFault], seed: str) -> list[_Step]:
    # Each schedule has its own choices, so that adding one doesn't change the others.
    rng = random.Random(seed)
    return [_Step(fault, rng) for fault in faults]


def _plan_standard_faults(seed: int, seconds: float, size: PlatformSize) -> list[_Step]:
    steps = [
        *_plan_faults(draw_schedule(random.Random(seed), seconds), f"{seed}-faults"),
        *_plan_faults(
            draw_series(random.Random(f"{seed}-series"), seconds),
            f"{seed}-series-faults",
        ),
    ]
    if size.n_zones > 1:
        evacuations = draw_evacuations(random.Random(f"{seed}-evacuations"), seconds)
        steps += _plan_faults(evacuations, f"{seed}-evacuated-zones")
    return steps


def _plan_restarts(seed: int, seconds: float) -> list[_Step]:
    # The faults of a series begin with the same choices, and so with the same workers.
    return [
        _Step(fault, random.Random(f"{seed}-restarts-{number}"))
        for number, series in enumerate(
            draw_restarts(random.Random(f"{seed}-restarts"), seconds)
        )
        for fault in series
    ]


def _run_plan(
    processes: ProcessGroup,
    plan: list[_Step],
    size: PlatformSize,
    has_long_jobs: bool = False,
) -> SoakResult:
    seed = size.seed
    environment = SoakEnvironment(processes, size)
    load = SoakLoad(environment, seed, has_long_jobs=has_long_jobs)
    probe = WithdrawnKeyProbe(environment)
    with contextlib.ExitStack() as stack:
        stack.callback(environment.close)
        environment.start()
        load.start()
        stack.callback(load.stop)
        probe.start()
        stack.callback(probe.stop)
        faults = _inject_faults(environment, plan)
        load.stop()
        recovered_at = time.monotonic() + RECOVERY_SECONDS
        environment.heal()
        log_event(logger, "faults over", n_jobs=len(load.jobs))
        violations = [
            f"{name} did not end when it was asked to stop"
            for name in sorted(environment.due_restarts)
        ]
        time.sleep(max(0.0, recovered_at - time.monotonic()))
        violations += restart_all(environment)
        violations += _check_accepted_jobs(environment, load)
        probe.stop()
        deployment = environment.deployment
        events = deployment.list_events()
        write_events(processes.folder, events)
        violations += find_violations(events, load.jobs) + probe.violations
        violations += check_no_misdirected_calls(deployment.list_misdirected_calls())
        zone_by_vm = {vm["Machine"]: vm["Zone"] for vm in deployment.list_vms()}
        violations += check_no_late_starts(
            events, zone_by_vm, environment.evacuations, faults
        )
    for violation in violations:
        log_event(logger, "violation", text=violation)
    return SoakResult(
        seed,
        violations,
        [step.fault for step in plan],
        len(load.jobs),
        sum(job.accepted_at > 0 for job in load.jobs),
        sum(event["what"] == "started" for event in events),
        processes.folder if violations else None,
    )


class _DueEnd(NamedTuple):
    """End of a fault, due at ``end_seconds`` of the schedule."""

    end_seconds: float
    end: Callable[[], None]
    name: str
    began_at: float


def _inject_faults(
    environment: SoakEnvironment, plan: list[_Step]
) -> list[InjectedFault]:
    """Start and end each fault at its time; return them when all have ended."""
    began_at = time.monotonic()
    ends: list[_DueEnd] = []
    injected: list[InjectedFault] = []
    pending = list(plan)
    while pending or ends:
        now = time.monotonic() - began_at
        for due in [end for end in ends if end.end_seconds <= now]:
            ends.remove(due)
            log_event(logger, "fault ends", fault=due.name)
            due.end()
            injected.append(InjectedFault(due.name, due.began_at, time.monotonic()))
        environment.restart_ended()
        while pending and pending[0].fault.start_seconds <= now:
            fault, rng = pending.pop(0)
            log_event(logger, "fault begins", fault=fault.name)
            fault_began_at = time.monotonic()
            end = FAULT_BY_NAME[fault.name](environment, rng)
            if end is None:
                injected.append(
                    InjectedFault(fault.name, fault_began_at, time.monotonic())
                )
            else:
                end_seconds = fault.start_seconds + fault.duration_seconds
                ends.append(_DueEnd(end_seconds, end, fault.name, fault_began_at))
        time.sleep(0.02)
    return injected


def _check_accepted_jobs(environment: SoakEnvironment, load: SoakLoad) -> list[str]:
    """Return a violation for each accepted job that did not end as it must.

    Cancellations that had no answer are repeated first; each that is again not
    acknowledged is a violation too.
    """
    caller = PlatformCaller(environment.list_caller_addresses, random.Random(1))
    key = environment.deployment.keys[-1]
    cancel_by_id = {cancel.job.job_id: cancel for cancel in load.cancellations}
    violations = _repeat_cancellations(caller, load, key)
    deadline = time.monotonic() + FINISH_SECONDS
    for job in load.jobs:
        if not job.accepted_at:
            continue
        left_seconds = max(0.5, deadline - time.monotonic())
        state = caller.wait_for(job._replace(key=key), FINAL_STATES, left_seconds)
        cancel = cancel_by_id.get(job.job_id)
        log_event(
            logger,
            "job checked",
            request_id=job.job_id,
            state=state,
            canceled=cancel is not None,
        )
        if not _is_expected_state(state, cancel):
            violations.append(
                f"LOST: accepted job {job.job_id} is {state or 'unknown'}"
                f" (lasting: {job.steps[0].is_lasting}, canceled: {cancel is not None},"
                f" acknowledged: {cancel is not None and cancel.acknowledged_at > 0})"
            )
    return violations


def _repeat_cancellations(
    caller: PlatformCaller, load: SoakLoad, key: str
) -> list[str]:
    """Repeat the cancellations that had no answer, and return those that fail again.

    A lasting job may rightly run on while its cancellation is not acknowledged, so its
    end can be checked only afterwards.
    """
    violations = []
    for cancel in load.cancellations:
        if cancel.acknowledged_at:
            continue
        job = cancel.job._replace(key=key)
        if not caller.cancel(job, CANCEL_TIMEOUT_SECONDS):
            violations.append(f"CANCEL: {job.job_id} was not acknowledged")
    return violations


def _is_expected_state(state: str, cancel: Cancellation | None) -> bool:
    if cancel is not None:
        return state in ("canceled", "completed")
    return state == "completed"
