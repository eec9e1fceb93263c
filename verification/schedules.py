"""Fault schedules, registered by name.

A schedule injects faults into a deployment while clients send requests. An entry may
answer requests only while it holds a freshness lease of 2 s, which it renews by reading
the store (the platform's table service) or by asking the other daemons.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from catkinport.ports import VmStatus

from .checkers import Violation, check_leaving_servers, check_no_call_cut
from .deployment import DeploymentSize
from .history import Withdrawal
from .trial import Trial, TrialResult, run_concurrently, run_trial

# Time after which a leaving server must get no new work. A configuration change must be
# in force within a few seconds, here 4 s; the same bound applies to a leaving server.
LEAVING_BOUND_SECONDS = 4.0
N_JOBS = 10
JOB_SECONDS = 8.0
# Longer than the eviction of the killed controller, the takeover by another one and the
# run of the jobs together.
JOB_TIMEOUT_SECONDS = 60.0

Schedule = Callable[[Trial], None]


class RegisteredSchedule(NamedTuple):
    """A schedule and the size of the deployment that it runs on."""

    run: Schedule
    size: DeploymentSize


_schedule_by_name: dict[str, RegisteredSchedule] = {}


def schedule(
    name: str, size: DeploymentSize | None = None
) -> Callable[[Schedule], Schedule]:
    """Register the decorated function as a fault schedule.

    Args:
        name: name of the schedule.
        size: size of its deployment; ``None`` for the default.
    """

    def register(function: Schedule) -> Schedule:
        _schedule_by_name[name] = RegisteredSchedule(function, size or DeploymentSize())
        return function

    return register


def list_schedules() -> list[str]:
    """Return the names of all schedules."""
    return list(_schedule_by_name)


def run_schedule(name: str, seed: int) -> TrialResult:
    """Run one schedule on a new deployment.

    Raises:
        ValueError: if there is no schedule of this name.
    """
    if name not in _schedule_by_name:
        known = ", ".join(list_schedules())
        raise ValueError(f"name must be one of {known}, got {name!r}")
    registered = _schedule_by_name[name]
    return run_trial(name, registered.run, seed, registered.size)


@schedule("kill-entry")
def kill_entry(trial: Trial) -> None:
    """Kill an entry with requests in flight, then start it again."""
    deployment = trial.deployment
    entry = trial.rng.choice(list(deployment.entry_by_name.values()))
    trial.mark_fault()
    entry.process.kill()
    time.sleep(3.0)
    deployment.start_entry(entry.name)
    time.sleep(4.0)


@schedule("pause-entry")
def pause_entry(trial: Trial) -> None:
    """Pause an entry for longer than its freshness lease and resume it, twice."""
    deployment = trial.deployment
    for _ in range(2):
        entry = trial.rng.choice(list(deployment.entry_by_name.values()))
        trial.mark_fault()
        deployment.pause(entry)
        time.sleep(4.0)
        deployment.resume(entry)
        time.sleep(3.0)


# The load of 8 threads from 3 teams reaches a limit of 2 slots for each team. It cannot
# reach the limit of 20 that the other schedules use, so there the check of the limits
# could never fail.
@schedule("tight-limits", DeploymentSize(max_slots=2))
def kill_and_pause_under_tight_limits(trial: Trial) -> None:
    """Kill one entry and pause another while every team is at its limit."""
    deployment = trial.deployment
    killed, paused = trial.rng.sample(list(deployment.entry_by_name.values()), 2)
    trial.mark_fault()
    killed.process.kill()
    deployment.pause(paused)
    time.sleep(4.0)
    deployment.resume(paused)
    deployment.start_entry(killed.name)
    time.sleep(6.0)


@schedule("store-down")
def take_store_down(trial: Trial) -> None:
    """Take the store down for every client for longer than a freshness lease."""
    trial.mark_fault()
    trial.deployment.set_platform_faults(is_down=True)
    time.sleep(15.0)
    trial.deployment.set_platform_faults(is_down=False)
    time.sleep(3.0)


@schedule("store-slow")
def slow_store(trial: Trial) -> None:
    """Delay every answer of the table service."""
    trial.mark_fault()
    trial.deployment.set_platform_faults(delay_seconds=0.6)
    time.sleep(8.0)
    trial.deployment.set_platform_faults(delay_seconds=0.0)
    time.sleep(2.0)


@schedule("lost-answers")
def lose_answers(trial: Trial) -> None:
    """Lose a third of the table service's answers to writes that took effect."""
    trial.mark_fault()
    trial.deployment.set_platform_faults(lost_answer_probability=0.33)
    time.sleep(8.0)
    trial.deployment.set_platform_faults(lost_answer_probability=0.0)
    time.sleep(2.0)


@schedule("rolling-restart")
def restart_entries(trial: Trial) -> None:
    """Stop every entry with SIGTERM and start it again, one after the other."""
    deployment = trial.deployment
    for name, entry in list(deployment.entry_by_name.items()):
        status = entry.process.terminate()
        if status != 0:
            detail = f"{name} ended with status {status}, not 0, on a planned stop"
            trial.extra_violations.append(Violation("P10", detail))
        deployment.start_entry(name)
        time.sleep(2.0)
    trial.extra_violations += check_no_call_cut(trial.recorder.list_operations())


@schedule("withdraw-key-entry-cut")
def withdraw_key_with_entry_cut(trial: Trial) -> None:
    """Withdraw a key while one entry cannot reach the store."""
    entries = list(trial.deployment.entry_by_name)
    trial.mark_fault()
    trial.deployment.set_platform_faults(cut_clients=entries[-1])
    time.sleep(1.0)
    _withdraw_key(trial, entries[0])
    time.sleep(8.0)
    trial.deployment.set_platform_faults(cut_clients="")


@schedule("withdraw-key-store-down")
def withdraw_key_before_outage(trial: Trial) -> None:
    """Withdraw a key and take the store down directly after the acknowledgement."""
    entries = list(trial.deployment.entry_by_name)
    trial.mark_fault()
    _withdraw_key(trial, entries[0])
    trial.deployment.set_platform_faults(is_down=True)
    time.sleep(10.0)
    trial.deployment.set_platform_faults(is_down=False)
    time.sleep(2.0)


@schedule("withdraw-key-entry-paused")
def withdraw_key_with_entry_paused(trial: Trial) -> None:
    """Withdraw a key while one entry is paused, then resume the entry."""
    deployment = trial.deployment
    entries = list(deployment.entry_by_name)
    paused = deployment.entry_by_name[entries[-1]]
    trial.mark_fault()
    deployment.pause(paused)
    _withdraw_key(trial, entries[0])
    time.sleep(3.0)
    deployment.resume(paused)
    time.sleep(6.0)


@schedule("faulty-servers")
def break_servers(trial: Trial) -> None:
    """Make a random server truncate answers, then one not answer, then one refuse."""
    deployment = trial.deployment
    trial.mark_fault()
    vm_ids = list(deployment.server_address_by_vm)
    for fault in ("is_truncating", "is_silent", "is_refusing"):
        vm_id = trial.rng.choice(vm_ids)
        deployment.set_server_faults(vm_id, **{fault: True})
        time.sleep(4.0)
        deployment.set_server_faults(vm_id, **{fault: False})
        time.sleep(1.0)


@schedule("operators-race")
def race_operators(trial: Trial) -> None:
    """Drain and move VMs of one pool through two entries at the same time."""
    deployment = trial.deployment
    entries = list(deployment.entry_by_name.values())
    vm_ids = [vm for vm in deployment.server_address_by_vm if vm.startswith("vm-0")]
    trial.mark_fault()
    for _ in range(5):
        operations = [
            lambda e=entries[0], v=vm_ids[0]: _change_vm(trial, e, v, "drain"),
            lambda e=entries[1], v=vm_ids[1]: _change_vm(trial, e, v, "drain"),
            lambda e=entries[0], v=vm_ids[0]: _change_vm(trial, e, v, "move"),
            lambda e=entries[1], v=vm_ids[0]: _change_vm(trial, e, v, "move"),
        ]
        run_concurrently(operations)
        time.sleep(0.5)
        run_concurrently(
            [lambda v=v: _change_vm(trial, entries[0], v, "undrain") for v in vm_ids]
        )
        time.sleep(0.5)


@schedule("leaving-server")
def let_server_leave(trial: Trial) -> None:
    """List a VM as leaving in the platform's list while requests go on."""
    deployment = trial.deployment
    vm_id = trial.rng.choice(list(deployment.server_address_by_vm))
    trial.mark_fault()
    left_at = time.time()
    deployment.set_vm_status(vm_id, VmStatus.LEAVING)
    time.sleep(10.0)
    trial.extra_violations += check_leaving_servers(
        deployment.list_executions(), {vm_id: left_at}, LEAVING_BOUND_SECONDS
    )


@schedule("kill-controller")
def kill_controller(trial: Trial) -> None:
    """Kill a controller while jobs run; every job must still get its result."""
    deployment = trial.deployment
    jobs = [deployment.submit_job(JOB_SECONDS) for _ in range(N_JOBS)]
    time.sleep(1.0)
    trial.mark_fault()
    next(iter(deployment.controller_by_name.values())).process.kill()
    deadline = time.monotonic() + JOB_TIMEOUT_SECONDS
    waiting = jobs
    while waiting and time.monotonic() < deadline:
        time.sleep(0.5)
        waiting = [job for job in waiting if not deployment.has_result(job)]
    trial.extra_violations += [
        Violation("long work survives", f"{job.path} has no result") for job in waiting
    ]


@schedule("together-twice")
def combine_faults(trial: Trial) -> None:
    """Kill an entry, pause another and take the store down together, twice."""
    deployment = trial.deployment
    for _ in range(2):
        names = list(deployment.entry_by_name)
        killed, paused = trial.rng.sample(names, 2)
        trial.mark_fault()
        deployment.set_platform_faults(is_down=True, lost_answer_probability=0.3)
        deployment.entry_by_name[killed].process.kill()
        deployment.pause(deployment.entry_by_name[paused])
        time.sleep(4.0)
        deployment.resume(deployment.entry_by_name[paused])
        deployment.set_platform_faults(is_down=False)
        time.sleep(2.0)
        deployment.set_platform_faults(lost_answer_probability=0.0)
        deployment.start_entry(killed)
        time.sleep(5.0)


def _withdraw_key(trial: Trial, entry_name: str) -> None:
    deployment = trial.deployment
    key_name = trial.rng.choice(list(deployment.caller_by_key))
    status, answer = deployment.administer(
        "DELETE",
        f"/v1/keys/{key_name}",
        entry=deployment.entry_by_name[entry_name],
        headers={"Idempotency-Key": f"withdraw-{key_name}"},
    )
    if status != 200:
        detail = f"key not withdrawn: expected status 200, got {status} {answer}"
        trial.extra_violations.append(Violation("P4", detail))
        return
    trial.withdrawals.append(Withdrawal(key_name, time.time()))


def _change_vm(trial: Trial, entry, vm_id: str, operation: str) -> None:
    body = {"target_pool": "pool-1"} if operation == "move" else {}
    idempotency_key = f"{operation}-{trial.rng.getrandbits(48):x}"
    trial.deployment.administer(
        "POST",
        f"/v1/vms/{vm_id}/{operation}",
        body,
        entry=entry,
        headers={"Idempotency-Key": idempotency_key},
    )
