"""Passes the rows of the table of jobs, jobs and cancellations, to the dispatcher."""

import logging
import time

from ...ports.async_table import Snapshot
from ...ports.table import Row
from ...runtime.logs import log_event
from ..configuration import AcceptedRules
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.job_table import is_over
from ..model import Job, find_rules, job_from_row
from ..tables import CANCEL_SUFFIX
from ..vms.pool_mover import PoolMover

logger = logging.getLogger(__name__)

MAX_JOB_AGE_SECONDS = 3600.0
"""Largest age that a job may have when an owner learns of it."""


class JobRows:
    """Reader of the rows of jobs and their cancellations.

    Args:
        dispatcher: receives the jobs and cancellations.
        mover: receives the expected work of new jobs, by pool.
    """

    def __init__(self, dispatcher: Dispatcher, mover: PoolMover) -> None:
        self._dispatcher = dispatcher
        self._mover = mover

    def apply(
        self,
        row: Row,
        now: float,
        is_inherited: bool,
        finished_ids: set[str],
        max_age_seconds: float = MAX_JOB_AGE_SECONDS,
    ) -> None:
        """Pass the job or the cancellation in a row to the dispatcher.

        Args:
            row: the row.
            now: clock time in seconds.
            is_inherited: whether a former owner may have started the job.
            finished_ids: jobs that have ended; their rows are ignored.
            max_age_seconds: longest time since the row can have been written.
        """
        key = row.row_key.key
        if row.value is None:
            return
        job_id = key.removesuffix(CANCEL_SUFFIX)
        if job_id in finished_ids:
            return
        if key.endswith(CANCEL_SUFFIX):
            self._dispatcher.cancel_job(job_id)
            return
        try:
            job: Job = job_from_row(row.value)
        except (KeyError, TypeError) as error:
            log_event(
                logger,
                "stored job decode failed",
                level=logging.ERROR,
                request_id=job_id,
                reason=repr(error),
            )
            return
        # Steady clocks of different daemons cannot be compared, so the wall clock
        # gives the approximate time since another daemon accepted the job. The wall
        # clocks may be apart as well, but a row of the change feed is known to be new.
        max_age_seconds = min(max_age_seconds, MAX_JOB_AGE_SECONDS)
        age = min(max(0.0, time.time() - job.accepted_at), max_age_seconds)
        rules = self._find_rules(row)
        if rules is not None:
            self._dispatcher.add_rules(rules)
        self._dispatcher.add_job(job, now, is_inherited, age, rules)
        self._log_unknown_queue(job)
        if not is_inherited:
            self._note_work(job, now)

    def _find_rules(self, row: Row) -> AcceptedRules | None:
        try:
            return find_rules(row.value)
        except (KeyError, TypeError) as error:
            log_event(
                logger,
                "stored rules decode failed",
                level=logging.ERROR,
                request_id=row.row_key.key,
                reason=repr(error),
            )
            return None

    def _log_unknown_queue(self, job: Job) -> None:
        # A daemon with a newer configuration may have accepted the job.
        record = self._dispatcher.job_by_id[job.job_id]
        if self._dispatcher.queue_of(record) is None:
            log_event(
                logger,
                "job has no known queue",
                level=logging.WARNING,
                request_id=job.job_id,
                queue=job.queue,
            )

    def _note_work(self, job: Job, now: float) -> None:
        queue = self._dispatcher.configuration.queue_by_name.get(job.queue)
        if queue is not None:
            work = self._dispatcher.estimates.expected_core_seconds(job)
            self._mover.note_work(queue.pool, work, now)


def find_finished_ids(states: Snapshot) -> set[str]:
    """Return the ids of the jobs that have ended by their stored states."""
    return {row.row_key.key for row in states.rows if is_over(row.value)}
