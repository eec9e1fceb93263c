"""Recognizes the crashes of workers and counts them for the tasks that ran there.

A crash ends all runs of a worker. It shows in the platform's VM list, which may have no
time to name a worker at all, or in an answer of a new process under the worker's id. A
worker that was drained, ordered away or merely falls silent has not crashed.
"""

import logging
from collections.abc import Container

from ...policy.crash_blame import (
    Crash,
    SuspectRun,
    find_suspects,
    is_cleared,
    restart_pause_seconds,
)
from ...ports.fleet_vms import FleetVm, VmState
from ...runtime.logs import log_event
from .run import Run, RunKey
from .worker_state import WorkerCrash, WorkerRecord

logger = logging.getLogger(__name__)

ORDERED_STATES = frozenset({VmState.MOVING, VmState.UPKEEP})
"""States that a VM has only after an order."""


def note_listed_vm(worker: WorkerRecord, vm: FleetVm | None, now: float) -> None:
    """Note what the VM list says of a worker that no longer runs on its VM.

    Args:
        worker: the worker.
        vm: entry of its VM; ``None`` if there is none.
        now: clock time in seconds.
    """
    if vm is None:
        return
    if vm.state in ORDERED_STATES or vm.pool != worker.listed.pool:
        worker.is_taken_down = True
    elif vm.state is VmState.DOWN or vm.worker_id:
        note_crash(worker, f"vm-{vm.state}", now)


def note_crash(
    worker: WorkerRecord,
    reason: str,
    now: float,
    survivors: Container[RunKey] = (),
) -> None:
    """Note that a process of a worker has crashed, unless that is known or was planned.

    Args:
        worker: the worker; its ``started_at`` is that of the process.
        reason: what shows the crash.
        now: clock time in seconds.
        survivors: runs that began after it, as the next process lists them.
    """
    crash = worker.crash
    is_known = crash is not None and crash.started_at == worker.started_at
    if is_known or not worker.started_at:
        return
    if worker.listed.is_draining or worker.is_reserved or worker.is_taken_down:
        return
    suspects = [
        SuspectRun(_name(key), len(run.task.crash_by_run), _survived(worker, run))
        for key, run in worker.run_by_key.items()
        if key not in survivors
    ]
    worker.crash = WorkerCrash(worker.started_at, find_suspects(suspects))
    log_event(
        logger,
        "worker crashed",
        worker=worker.worker_id,
        vm=worker.vm_id,
        reason=reason,
        silent_seconds=round(now - worker.contact_at, 2),
        n_runs=len(worker.run_by_key),
        runs=",".join(
            f"{_name(key)}:{now - run.asked_at:.2f}"
            for key, run in worker.run_by_key.items()
        ),
    )


def note_answer(worker: WorkerRecord, started_at: float) -> None:
    """Note that a process of a worker has answered, so it has not crashed."""
    if worker.crash is not None and worker.crash.started_at == started_at:
        worker.crash = None


def count_crash(worker: WorkerRecord, run: Run, now: float) -> None:
    """Count the crash of a worker for a task whose run it has ended, if suspect.

    A run that the worker has not confirmed may never have started, so it doesn't count.
    """
    name = _name(run.key)
    crash = worker.crash
    if crash is None or not run.known_at or name not in crash.is_blamed_by_run:
        return
    is_blamed = crash.is_blamed_by_run[name]
    counted = Crash(worker.vm_id or worker.worker_id, is_blamed)
    has_failed = run.record.mark_crashed(run.task, run.key.run, counted)
    run.task.avoided_worker = worker.worker_id
    if run.task.step.is_lasting:
        pause_seconds = restart_pause_seconds(run.task.crash_by_run.values())
        run.task.not_before = now + pause_seconds
    log_event(
        logger,
        "worker crash counted",
        request_id=run.record.job.job_id,
        task=run.key.task,
        run=run.key.run,
        worker=worker.worker_id,
        vm=worker.vm_id,
        blamed=is_blamed,
        n_crashes=len(run.task.crash_by_run),
    )
    if has_failed:
        log_event(
            logger,
            "job failed",
            request_id=run.record.job.job_id,
            task=run.key.task,
            n_crashes=len(run.task.crash_by_run),
            worker=worker.worker_id,
        )


def clear_survivor(run: Run, now: float) -> None:
    """Forget the crashes of a task that its worker has executed for long enough."""
    if run.task.crash_by_run and is_cleared(now - run.known_at):
        run.record.clear_crashes(run.task)


def _survived(worker: WorkerRecord, run: Run) -> float:
    """Return for how many seconds the run is known to have left its worker alive."""
    return worker.contact_at - run.known_at if run.known_at else 0.0


def _name(key: RunKey) -> str:
    return f"{key.task}:{key.run}"
