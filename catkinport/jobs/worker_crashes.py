"""Recognizes the crashes of workers and the runs that a crash has ended.

A crash ends all runs of a worker. It shows in the platform's VM list, or in an answer
of a new process under the worker's id. A worker that was drained, ordered away or
merely falls silent has not crashed.
"""

import logging

from ..ports.fleet_vms import FleetVm, VmState
from ..runtime.logs import log_event
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


def note_crash(worker: WorkerRecord, reason: str, now: float) -> None:
    """Note that a process of a worker has crashed, unless that is known or was planned.

    Args:
        worker: the worker; its ``started_at`` is that of the process.
        reason: what shows the crash.
        now: clock time in seconds.
    """
    crash = worker.crash
    is_known = crash is not None and crash.started_at == worker.started_at
    if is_known or not worker.started_at:
        return
    if worker.listed.is_draining or worker.is_reserved or worker.is_taken_down:
        return
    worker.crash = WorkerCrash(worker.started_at, frozenset(worker.run_by_key))
    log_event(
        logger,
        "worker crashed",
        worker=worker.worker_id,
        vm=worker.vm_id,
        reason=reason,
        silent_seconds=round(now - worker.contact_at, 2),
        n_runs=len(worker.run_by_key),
        runs=",".join(
            f"{run.key.task}:{run.key.run}:{now - run.asked_at:.2f}"
            for run in worker.run_by_key.values()
        ),
    )


def note_answer(worker: WorkerRecord, started_at: float) -> None:
    """Note that a process of a worker has answered, so it has not crashed."""
    if worker.crash is not None and worker.crash.started_at == started_at:
        worker.crash = None
