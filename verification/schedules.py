"""Fault schedules, registered by name."""

import time
from collections.abc import Callable
from typing import NamedTuple

from catkinport.ports import VmStatus

from .checkers import Violation, check_leaving_servers, check_nothing_cut
from .deployment import DeploymentSize
from .history import Withdrawal
from .trial import Trial, TrialResult, run_together, run_trial

# "A few seconds", taken as the bound for configuration changes.
LEAVING_BOUND_SECONDS = 4.0
N_JOBS = 10
JOB_SECONDS = 8.0
# Longer than the eviction, the takeover and the run of the jobs.
JOB_TIMEOUT_SECONDS = 60.0

Schedule = Callable[[Trial], None]


class RegisteredSchedule(NamedTuple):
    """A schedule and the deployment that it runs on."""

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
    """Run one schedule on a fresh deployment.

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
    """Kill an entry with work in flight, then start a new one."""
    deployment = trial.deployment
    entry = trial.rng.choice(list(deployment.entry_by_name.values()))
    trial.mark_fault()
    entry.process.kill()
    time.sleep(3.0)
    deployment.start_entry(entry.name)
    time.sleep(4.0)


@schedule("pause-entry")
def pause_entry(trial: Trial) -> None:
    """Freeze an entry for longer than its lease and let it go on, twice."""
    deployment = trial.deployment
    for _ in range(2):
        entry = trial.rng.choice(list(deployment.entry_by_name.values()))
        trial.mark_fault()
        deployment.pause(entry)
        time.sleep(4.0)
        deployment.resume(entry)
        time.sleep(3.0)


# 8 threads of 3 teams reach a limit of 2 slots; with the 20 of the other schedules the
# check of limits could not fail.
@schedule("tight-limits", DeploymentSize(max_slots=2))
def kill_and_pause_under_tight_limits(trial: Trial) -> None:
    """Kill one entry and freeze another while every team is at its limit."""
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
    """Take the table service down for all for longer than a lease."""
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
    """Lose a third of the table service's answers after the write took effect."""
    trial.mark_fault()
    trial.deployment.set_platform_faults(lost_answer_probability=0.33)
    time.sleep(8.0)
    trial.deployment.set_platform_faults(lost_answer_probability=0.0)
    time.sleep(2.0)


@schedule("rolling-restart")
def restart_entries(trial: Trial) -> None:
    """Stop every entry in good order, one after the other, and start it again."""
    deployment = trial.deployment
    for name, entry in list(deployment.entry_by_name.items()):
        status = entry.process.terminate()
        if status != 0:
            detail = f"{name} ended with status {status} on a planned stop"
            trial.extra_violations.append(Violation("P10", detail))
        deployment.start_entry(name)
        time.sleep(2.0)
    trial.extra_violations += check_nothing_cut(trial.recorder.list_operations())


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
    """Withdraw a key and take the store down right after the acknowledgement."""
    entries = list(trial.deployment.entry_by_name)
    trial.mark_fault()
    _withdraw_key(trial, entries[0])
    trial.deployment.set_platform_faults(is_down=True)
    time.sleep(10.0)
    trial.deployment.set_platform_faults(is_down=False)
    time.sleep(2.0)


@schedule("withdraw-key-entry-paused")
def withdraw_key_with_entry_paused(trial: Trial) -> None:
    """Withdraw a key while one entry is frozen; it goes on afterwards."""
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
    """Let servers truncate, stay silent and refuse, one after the other."""
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
    """Let two operators drain and move VMs of one pool through two entries."""
    deployment = trial.deployment
    entries = list(deployment.entry_by_name.values())
    vm_ids = [vm for vm in deployment.server_address_by_vm if vm.startswith("vm-0")]
    trial.mark_fault()
    for _ in range(5):
        operations = [
            lambda e=entries[0], v=vm_ids[0]: _operate(trial, e, v, "drain"),
            lambda e=entries[1], v=vm_ids[1]: _operate(trial, e, v, "drain"),
            lambda e=entries[0], v=vm_ids[0]: _operate(trial, e, v, "move"),
            lambda e=entries[1], v=vm_ids[0]: _operate(trial, e, v, "move"),
        ]
        run_together(operations)
        time.sleep(0.5)
        run_together(
            [lambda v=v: _operate(trial, entries[0], v, "undrain") for v in vm_ids]
        )
        time.sleep(0.5)


@schedule("leaving-server")
def let_server_leave(trial: Trial) -> None:
    """Let the platform's list show a VM as leaving while requests go on."""
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
    """Kill a controller while jobs run; every job still ends with its result."""
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
    """Kill an entry, freeze another and take the store down, twice."""
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
        detail = f"the key was not withdrawn: {status} {answer}"
        trial.extra_violations.append(Violation("P4", detail))
        return
    trial.withdrawals.append(Withdrawal(key_name, time.time()))


def _operate(trial: Trial, entry, vm_id: str, operation: str) -> None:
    body = {"target_pool": "pool-1"} if operation == "move" else {}
    token = f"{operation}-{trial.rng.getrandbits(48):x}"
    trial.deployment.administer(
        "POST",
        f"/v1/vms/{vm_id}/{operation}",
        body,
        entry=entry,
        headers={"Idempotency-Key": token},
    )
