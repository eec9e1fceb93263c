"""Logs when workers get out of contact, and when they answer again."""

import logging
from weakref import WeakKeyDictionary

from ...ports import Reason, Unavailable
from ...ports.fleet_workers import WorkerLists
from ...runtime.logs import log_event
from ..dispatch.dispatcher import Dispatcher
from ..workers.worker_state import WorkerRecord

logger = logging.getLogger(__name__)

MAX_LINES_PER_SECOND = 20
"""Most lines a second; all workers of a large pool may be lost at once."""


class WorkerContacts:
    """Log of the contact to workers, as the outcomes of their polls show it.

    Args:
        dispatcher: the workers.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._lost_at: WeakKeyDictionary[WorkerRecord, float] = WeakKeyDictionary()
        self._second_began_at = float("-inf")
        self._n_lines = 0
        self._n_unlogged = 0

    def note(self, worker: WorkerRecord, outcome: object, now: float) -> None:
        """Note the outcome of a poll, before it is processed.

        Args:
            worker: the worker that was polled.
            outcome: what the poll returned.
            now: clock time in seconds.
        """
        if isinstance(outcome, Unavailable):
            self._note_no_answer(worker, outcome.reason, now)
        elif isinstance(outcome, WorkerLists):
            self._note_answer(worker, now)

    def _note_no_answer(self, worker: WorkerRecord, reason: Reason, now: float) -> None:
        if worker in self._lost_at:
            return
        self._lost_at[worker] = now
        silent_seconds = now - worker.contact_at
        self._log("worker contact lost", worker, reason.value, silent_seconds, now)

    def _note_answer(self, worker: WorkerRecord, now: float) -> None:
        lost_at = self._lost_at.pop(worker, None)
        if lost_at is not None:
            seconds = now - lost_at
            self._log("worker contact restored", worker, "answered", seconds, now)
        elif worker.contact_at > float("-inf") and not worker.is_in_contact(now):
            seconds = now - worker.contact_at
            self._log("worker contact restored", worker, "late-answer", seconds, now)

    def _log(
        self, event: str, worker: WorkerRecord, reason: str, seconds: float, now: float
    ) -> None:
        """Log an event, unless too many were logged in the present second."""
        if now - self._second_began_at >= 1.0:
            self._second_began_at = now
            self._n_lines = 0
        if self._n_lines >= MAX_LINES_PER_SECOND:
            self._n_unlogged += 1
            return
        self._n_lines += 1
        pool_workers = self._dispatcher.workers_of(worker.listed.pool)
        n_lost = sum(other in self._lost_at for other in pool_workers)
        log_event(
            logger,
            event,
            reason=reason,
            out_of_contact=f"{n_lost}/{len(pool_workers)}",
            seconds=round(seconds, 2),
            unlogged=self._n_unlogged,
            worker=worker.worker_id,
            pool=worker.listed.pool,
        )
        self._n_unlogged = 0
