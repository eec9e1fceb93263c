"""Longest turn of the owner's event loop for one job of the largest size accepted.

A turn in which no renewal is sent must stay shorter than the time after which the lease
of the owner is in doubt.
"""

import time
from collections.abc import Callable, Iterator, Sequence

from catkinport.jobs.dispatch.record import JobRecord
from catkinport.jobs.model import Job
from catkinport.jobs.ownership.run_orders import MAX_STOPS_PER_ROUND
from catkinport.jobs.ownership.state_sizes import encode_state
from catkinport.jobs.placement.account_usage import usage_by_account
from catkinport.jobs.placement.run_stops import StopTurns
from catkinport.jobs.tests.builders import (
    JOB_ID,
    Fleet,
    make_job,
    make_step,
    make_worker,
)
from catkinport.jobs.tests.vm_fleet import VmFleet
from catkinport.jobs.vms.pool_demand import measure_demand
from catkinport.platform.jobs_codec import MAX_TASKS
from catkinport.policy.leadership import MAY_BE_REPLACED_SECONDS
from catkinport.policy.resources import Resources
from catkinport.ports.fleet_workers import EndedTask, EndKind

from .registry import Figure, register

NEED = Resources(0.001, 0.001, 0)
"""Need so small that one worker has room for all tasks."""

STARTS_PER_ROUND = 64
ENDS_PER_REPORT = 500
"""Most ends in one answer of a worker."""

N_VMS = 60
N_STEPS = 750
"""Steps of a job whose row is just small enough to be stored."""

WAVE_AGE_SECONDS = 10.0

Operation = Callable[[], object]


@register("large-jobs")
def measure_large_jobs() -> Sequence[Figure]:
    """Measure one turn of each operation whose time grows with a job."""
    target = MAY_BE_REPLACED_SECONDS * 1000
    return [
        Figure(name, "longest turn, ms", _measure(operation), target=target)
        for operations in (
            _on_running_job(),
            _on_stored_state(),
            _on_occurrences(),
            _on_steps(),
            _on_wave(),
        )
        for name, operation in operations
    ]


def _measure(operation: Operation) -> float:
    """Return the processor time of an operation in milliseconds."""
    began_at = time.process_time()
    operation()
    return (time.process_time() - began_at) * 1000


def _start_all(fleet: Fleet, job: Job) -> JobRecord:
    fleet.dispatcher.add_job(job, fleet.now)
    while fleet.start(max_starts=STARTS_PER_ROUND):
        pass
    return fleet.dispatcher.job_by_id[JOB_ID]


def _on_running_job() -> Iterator[tuple[str, Operation]]:
    """Yield operations on a job all of whose tasks run on one worker."""
    fleet = Fleet([make_worker("w0", cores=64.0)])
    setting = f"{MAX_TASKS} running tasks, "
    record = _start_all(fleet, make_job(steps=[make_step(MAX_TASKS, need=NEED)]))
    fleet.advance(0.3)
    yield setting + "report of the worker", lambda: fleet.poll("w0")
    yield setting + "round of planning", lambda: fleet.plan(max_starts=STARTS_PER_ROUND)
    yield (
        setting + "demand of pools",
        lambda: measure_demand(fleet.dispatcher, fleet.now),
    )
    yield setting + "use of accounts", lambda: usage_by_account(fleet.dispatcher)
    _end_runs(fleet, ENDS_PER_REPORT)
    yield setting + f"{ENDS_PER_REPORT} ends in a report", lambda: fleet.poll("w0")
    yield setting + "storing its state", lambda: encode_state(record)
    turns = StopTurns(fleet.dispatcher)
    yield setting + "cancelling", lambda: fleet.dispatcher.cancel_job(JOB_ID)
    yield (
        setting + "stop orders of a round",
        lambda: turns.take(fleet.now, MAX_STOPS_PER_ROUND),
    )
    worker = fleet.dispatcher.worker_by_id["w0"]
    yield (
        setting + "loss of the worker",
        lambda: fleet.dispatcher._runs.lose_all(worker, "worker-restarted", fleet.now),
    )


def _end_runs(fleet: Fleet, n_runs: int) -> None:
    """Let the worker list the ends of some runs in its next report."""
    running, ended = fleet.running_by_worker["w0"], fleet.ended_by_worker["w0"]
    for number, key in enumerate(list(running)[:n_runs], 1):
        del running[key]
        ended.append(EndedTask(number, key.task, key.run, EndKind.DONE, ""))


def _on_stored_state() -> Iterator[tuple[str, Operation]]:
    """Yield operations on a job with many failures and checkpoints."""
    step = make_step(MAX_TASKS, need=NEED, saves_work=True)
    record = JobRecord(make_job(steps=[step]))
    for number, task in enumerate(record.all_tasks()):
        if number % 2:
            record.mark_done(task)
        else:
            task.failed_runs = {1, 2}
            record.note_checkpoint(task, "0" * 64)
    setting = f"{MAX_TASKS} tasks, half of them done, the others failed twice, "
    yield setting + "storing its state", lambda: encode_state(record)
    row = encode_state(record).row
    yield setting + "loading it", lambda: _load(record.job, row)


def _on_occurrences() -> Iterator[tuple[str, Operation]]:
    """Yield operations on a job that recurs."""
    job = make_job(
        steps=[make_step(need=NEED)], n_occurrences=MAX_TASKS, first_due_at=1.0
    )
    record = JobRecord(job)
    for task in list(record.all_tasks())[::2]:
        record.mark_done(task)
    setting = f"{MAX_TASKS} occurrences, every other one done, "
    yield setting + "storing its state", lambda: encode_state(record)
    row = encode_state(record).row
    yield setting + "loading it", lambda: _load(job, row)


def _load(job: Job, row: dict) -> None:
    record = JobRecord(job, is_inherited=True)
    record.load_row(row, 1)
    record.advance_run_numbers()


def _on_steps() -> Iterator[tuple[str, Operation]]:
    """Yield operations on jobs of many steps."""
    n_tasks = MAX_TASKS // N_STEPS
    for name, after in (("one after the other", 1), ("side by side", 0)):
        steps = [
            make_step(n_tasks, need=NEED, after=(number - 1,) if number * after else ())
            for number in range(N_STEPS)
        ]
        fleet = Fleet([make_worker("w0", cores=64.0)])
        fleet.dispatcher.add_job(make_job(steps=steps), fleet.now)
        yield (
            f"{N_STEPS} steps {name}, round of planning",
            lambda fleet=fleet: fleet.plan(max_starts=STARTS_PER_ROUND),
        )


def _on_wave() -> Iterator[tuple[str, Operation]]:
    """Yield the decisions about VMs beside a lasting job on all of them."""
    fleet = VmFleet(N_VMS)
    step = make_step(MAX_TASKS, need=NEED, is_lasting=True, max_away=3)
    _start_all(fleet, make_job(steps=[step]))
    fleet.make_lasting_tasks_available()
    setting = f"{MAX_TASKS} lasting tasks on {N_VMS} VMs, "
    yield setting + "orders for VMs", lambda: fleet.vm_planner.plan(fleet.now)
    fleet.request_wave([f"m{number}" for number in range(N_VMS)])
    fleet.advance(WAVE_AGE_SECONDS)
    fleet.poll_all()
    fleet.list_vms()
    yield setting + "orders in a wave", lambda: fleet.vm_planner.plan(fleet.now)
    yield (
        setting + "evacuations in a wave",
        lambda: fleet.vm_planner.find_evacuations(fleet.now),
    )
