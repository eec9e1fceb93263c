"""Processes the outcomes of orders that start and stop runs and set their speed."""

import logging

from ...ports.fleet_workers import Done, OrderOutcome, Rejected, Rejection
from ...runtime.logs import log_event
from ..workers.run import Run, RunKey, RunPhase
from ..workers.worker_failures import note_worker_failure
from ..workers.worker_state import UNHEALTHY_PAUSE_SECONDS, WorkerRecord
from ..workers.worker_table import WorkerTable
from .approvals import Approvals
from .run_table import NOT_SENT, RunTable

logger = logging.getLogger(__name__)

NO_ROOM_PAUSE_SECONDS = 0.2
"""Pause before a worker that rejected a start for lack of room gets another task. Its
next report shows what occupies it."""


class OrderOutcomes:
    """Processor of the outcomes of orders.

    Args:
        workers: workers that the orders were sent to.
        runs: runs that may be alive.
        approvals: approvals that start orders carry.
    """

    def __init__(
        self, workers: WorkerTable, runs: RunTable, approvals: Approvals
    ) -> None:
        self._workers = workers
        self._runs = runs
        self._approvals = approvals

    def on_start(self, run: Run, outcome: OrderOutcome, now: float) -> None:
        """Process the outcome of a start order."""
        run.is_start_under_way = False
        worker = self._workers.worker_by_id.get(run.worker_id)
        if worker is None or run.key not in worker.run_by_key:
            self._runs.note_lost_start(run, outcome, now)
            return
        if isinstance(outcome, Done):
            self._runs.confirm(run, now)
            if run.phase is RunPhase.ASKED:
                run.phase = RunPhase.RUNNING
                run.is_start_uncertain = False
            return
        if isinstance(outcome, Rejected):
            self._on_start_rejected(worker, run, outcome.reason, now)
            return
        log_event(
            logger,
            "start without answer",
            request_id=run.record.job.job_id,
            task=run.key.task,
            run=run.key.run,
            worker=run.worker_id,
            incarnation=run.sent_to,
            reason=outcome.reason,
            may_run=outcome.may_have_committed,
        )
        worker.pause_as_uncertain(now)
        if outcome.may_have_committed:
            self._runs.note_unanswered_start(run, now)
        elif not run.task.is_start_repeated:
            self._runs.lose(worker, run, NOT_SENT, now)
        else:
            run.given_up_at = now

    def _on_start_rejected(
        self, worker: WorkerRecord, run: Run, reason: Rejection, now: float
    ) -> None:
        log_event(
            logger,
            "start rejected",
            request_id=run.record.job.job_id,
            task=run.key.task,
            run=run.key.run,
            worker=run.worker_id,
            reason=reason,
        )
        if reason in (Rejection.UNHEALTHY, Rejection.OTHER_INCARNATION):
            _pause_until(worker, now + UNHEALTHY_PAUSE_SECONDS)
        if reason is Rejection.UNHEALTHY:
            pool_workers = self._workers.workers_outside_evacuations(worker.listed.pool)
            note_worker_failure(worker, pool_workers, now)
        if reason is Rejection.NO_ROOM:
            _pause_until(worker, now + NO_ROOM_PAUSE_SECONDS)
        if reason is Rejection.INVALID:
            run.task.not_before = now + UNHEALTHY_PAUSE_SECONDS
        if reason is Rejection.TICKET and run.ticket is not None:
            stage = run.task.stage_name
            self._approvals.reject(stage, run.worker_id, run.ticket, now)
        if not run.task.is_start_repeated:
            self._runs.drop(worker, run)
        else:
            # An earlier order, which had no answer, may still be carried out.
            run.given_up_at = now

    def on_stop(self, run: Run, outcome: OrderOutcome, now: float) -> None:
        """Process the outcome of a stop order."""
        if isinstance(outcome, Done):
            run.stopped_at = now
        elif isinstance(outcome, Rejected):
            log_event(
                logger,
                "stop rejected",
                level=logging.WARNING,
                task=run.key.task,
                run=run.key.run,
                worker=run.worker_id,
                reason=outcome.reason,
            )

    def on_pace_done(self, worker_id: str, key: RunKey, percent: int) -> None:
        """Note that a worker has applied the new speed of a run, in percent."""
        worker = self._workers.worker_by_id.get(worker_id)
        run = worker.run_by_key.get(key) if worker else None
        if run is not None:
            run.pace = percent


def _pause_until(worker: WorkerRecord, until: float) -> None:
    """Let a worker get no new tasks before ``until``, and never end a longer pause."""
    worker.blocked_until = max(worker.blocked_until, until)
