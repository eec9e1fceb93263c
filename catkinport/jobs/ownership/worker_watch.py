"""Follows the workers: reads their list, renews their leases and polls their runs."""

import asyncio
import logging
from typing import Any

from ...ports import Reason, Unavailable
from ...ports.fleet_workers import ListedWorker, WorkerLists
from ...ports.table import Row
from ...runtime.logs import log_event
from ..workers.worker_state import (
    LEASE_SECONDS,
    POLL_WAIT_SECONDS,
    RENEW_CONTACT_SECONDS,
    WorkerRecord,
)
from .roster_store import RosterStore
from .session import RETRY_SECONDS, OwnerSession
from .state_store import StateStore
from .worker_contacts import WorkerContacts

logger = logging.getLogger(__name__)

IDLE_POLL_WAIT_SECONDS = 2.0
"""Longest such wait of a worker without runs in a large fleet. Workers grant no longer
one."""

LARGE_FLEET_WORKERS = 400
"""Number of workers from which on a fleet is large. A poll takes the owner about 0.5 ms
of processor time, and most workers of a large fleet are idle."""

MIN_POLL_WAIT_SECONDS = 0.1
"""Shortest such wait, where answers take so long that leases would end otherwise."""

MAX_POLL_SECONDS = 2.6
"""Longest time from a poll with a lease to its answer. The lease begins with the clock
of the answer before, and must last until the next poll arrives."""

STARTING_POLL_WAIT_SECONDS = 0.25
"""Longest such wait while a lasting task on the worker is not ready yet. A worker
answers a poll early for an end, but not for a task that becomes ready, and the next
task of its step can leave a VM only then."""

MAX_WORKERS_POLLED_OFTEN = 500
"""Workers up to which this wait is so short; with more it grows in proportion. A poll
takes 0.4 ms of processor time. After a new owner has started the lasting tasks of 3,000
workers, 12,000 polls a second would take five times what there is."""

STARTING_SECONDS = 5.0
"""Time from its start order for which a lasting task counts as starting."""

POLL_PAUSE_SECONDS = 0.15
"""Pause after a poll that had no answer."""

HELD_ENDS_PAUSE_SECONDS = 0.1
"""Pause after a poll of a worker with ends that must not be acknowledged yet. Such a
worker answers every poll at once."""

LIST_SECONDS = 0.4
"""Time between reads of the list of workers. A worker that drains must get no new tasks
from 2 s after its notice on."""

LIST_WARNING_SECONDS = 5.0
"""Time without a list of workers after which, and at which intervals, a warning tells
of it."""


class WorkerWatch:
    """Poller of the list of workers and of each worker.

    Args:
        session: the ownership.
        store: stores the ends of runs that workers list.
        former_bound: clock time in seconds after which no run that a former owner
            ordered can be running on a worker that this owner has not reached, unless
            the worker has restarted.
        former_calls_until: clock time in seconds after which no former owner calls a
            worker that this owner has not reached.

    Attributes:
        roster: stores which workers may run tasks.
    """

    def __init__(
        self,
        session: OwnerSession,
        store: StateStore,
        former_bound: float,
        former_calls_until: float = float("-inf"),
    ) -> None:
        self._session = session
        self._store = store
        self._former_bound = former_bound
        self._poll_task_by_worker: dict[str, asyncio.Task[Any]] = {}
        self.roster = RosterStore(session, former_calls_until)
        self._contacts = WorkerContacts(session.dispatcher)
        self._listed_at = 0.0
        self._warned_at = float("-inf")

    def restore_roster_row(self, row: Row) -> None:
        """Restore the workers of a pool that the former owner has stored."""
        for worker in self.roster.restore(row):
            worker.is_listed = False
            worker.lease_until = self._former_bound
            worker_id = worker.worker_id
            self._session.dispatcher.worker_by_id[worker_id] = worker
            self._session.dispatcher.unresolved_by_id[worker_id] = worker.listed.pool

    def poll_all(self) -> None:
        """Begin to poll the workers that are known and not polled yet."""
        for worker_id in list(self._session.dispatcher.worker_by_id):
            self._start_polling(worker_id)

    async def run(self) -> None:
        """Poll the list of workers until the ownership ends."""
        self._listed_at = self._session.clock.now()
        while True:
            sent_at = self._session.clock.now()
            listed = await self._session.ports.workers.list_workers()
            if isinstance(listed, Unavailable):
                self._log_list_failure(listed, sent_at)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._listed_at = sent_at
            self._apply_worker_list(listed, sent_at)
            await asyncio.sleep(LIST_SECONDS)

    def _log_list_failure(self, outcome: Unavailable, now: float) -> None:
        """Log that the list of workers was not read, from some seconds on as a warning.

        Without the list, nothing is known of new workers.
        """
        silent_seconds = now - self._listed_at
        is_due = now - self._warned_at >= LIST_WARNING_SECONDS
        is_warning = silent_seconds >= LIST_WARNING_SECONDS and is_due
        if is_warning:
            self._warned_at = now
        log_event(
            logger,
            "workers not listed",
            level=logging.WARNING if is_warning else logging.INFO,
            reason=outcome.reason,
            detail=outcome.detail,
            silent_seconds=round(silent_seconds, 1),
        )

    def _apply_worker_list(self, listed: list[ListedWorker], sent_at: float) -> None:
        now = self._session.clock.now()
        self._session.dispatcher.update_workers(listed, sent_at, now)
        self._resolve_unreached_workers(now)
        self.poll_all()
        self.roster.check_soon()
        self._session.wake.set()

    def _resolve_unreached_workers(self, now: float) -> None:
        # A possible successor may have reached these workers and renewed the leases
        # there, but none existed at the last stored renewal.
        lease = self._session.lease
        owned_at = lease.renewed_at if lease.may_be_replaced(now) else now
        if owned_at > self._former_bound:
            self._session.dispatcher.resolve_inherited_workers(owned_at)

    def _start_polling(self, worker_id: str) -> None:
        task = self._poll_task_by_worker.get(worker_id)
        if task is None or task.done():
            self._poll_task_by_worker[worker_id] = self._session.spawn(
                self._poll_loop(worker_id)
            )

    async def _poll_loop(self, worker_id: str) -> None:
        while True:
            worker = self._session.dispatcher.worker_by_id.get(worker_id)
            if worker is None:
                self._poll_task_by_worker.pop(worker_id, None)
                return
            if self._session.lease.must_stop_renewing(self._session.clock.now()):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            await self.poll(worker)
            if worker.holds_ends(self._session.clock.now()):
                await asyncio.sleep(HELD_ENDS_PAUSE_SECONDS)

    async def poll(self, worker: WorkerRecord, may_wait: bool = True) -> None:
        """Renew the lease of a worker, and process the runs and ends that it lists.

        Nothing is sent once a successor may have counted the last lease as ended.

        Args:
            worker: the worker.
            may_wait: whether the worker may wait for the end of a run before it
                answers. A poll that may not follows an order without an answer, beside
                a poll that is under way, and acknowledges no ends.
        """
        sent_at = self._session.clock.now()
        if self._session.lease.must_stop_renewing(sent_at):
            return
        silent_seconds = sent_at - worker.contact_at
        is_fresh = (
            silent_seconds <= RENEW_CONTACT_SECONDS + worker.poll_wait_seconds
            and not worker.may_have_restarted
        )
        lease_seconds = LEASE_SECONDS if is_fresh else 0.0
        if lease_seconds:
            worker.extend_lease(sent_at)
        workers = self._session.ports.workers
        worker.answer_seconds = workers.bound_answer(worker.worker_id)
        # A worker with ends that are not acknowledged answers a long poll at once.
        has_held_ends = worker.holds_ends(sent_at)
        has_new_ends = worker.processed_end > worker.stored_end
        is_answer_urgent = has_new_ends or has_held_ends or not is_fresh
        wait_seconds = 0.0
        if may_wait and not is_answer_urgent:
            n_workers = len(self._session.dispatcher.worker_by_id)
            n_starts = self._session.dispatcher.uncertain_starts.count(worker.worker_id)
            wait_seconds = _choose_poll_wait(worker, sent_at, n_workers, n_starts)
        if may_wait:
            worker.poll_wait_seconds = max(POLL_WAIT_SECONDS, wait_seconds)
        started_at = worker.started_at
        acknowledged_end = _choose_acknowledged_end(worker, sent_at) if may_wait else 0
        outcome = await self._session.ports.workers.renew_lease(
            worker.listed,
            self._session.lease.token,
            acknowledged_end,
            lease_seconds,
            wait_seconds,
        )
        # A poll for a former incarnation is given up once a later one has answered.
        is_outdated = worker.started_known_at > sent_at
        if not is_outdated or not isinstance(outcome, Unavailable):
            self._contacts.note(worker, outcome, self._session.clock.now())
        if isinstance(outcome, WorkerLists):
            numbers = (ended.number for ended in outcome.ended)
            is_taken = min(numbers, default=acknowledged_end + 1) > acknowledged_end
            if outcome.started_at == started_at and is_taken:
                worker.acknowledged_end = max(worker.acknowledged_end, acknowledged_end)
            await self._apply_run_lists(worker, outcome, sent_at)
        elif isinstance(outcome, Unavailable):
            if outcome.reason is Reason.RESTARTED and not is_outdated:
                self.note_unknown_incarnation(worker)
            elif not is_outdated:
                worker.note_no_answer()
            await asyncio.sleep(POLL_PAUSE_SECONDS)
        else:
            self._session.check_fenced(outcome)
            await asyncio.sleep(RETRY_SECONDS)

    def note_unknown_incarnation(self, worker: WorkerRecord) -> None:
        """Note that a call shows a restart, but not which incarnation there is now.

        Calls for the former incarnation may still be carried out late, and a successor
        has to learn of their leases too.
        """
        now = self._session.clock.now()
        worker.note_unknown_incarnation(now, self._session.dispatcher.longest_lease)
        self.roster.check_soon()
        log_event(
            logger,
            "restart seen in an answer",
            worker=worker.worker_id,
            former_incarnation=worker.started_at,
            lease_seconds=round(worker.runs_end_by - now, 2),
        )

    async def _apply_run_lists(
        self, worker: WorkerRecord, lists: WorkerLists, sent_at: float
    ) -> None:
        before = worker.processed_end
        self._session.dispatcher.on_worker_report(
            worker.worker_id, lists, sent_at, self._session.clock.now()
        )
        self._session.wake.set()
        if worker.processed_end == worker.stored_end:
            return
        if worker.processed_end != before:
            self._session.store_wake.set()
        if not await self._store.wait_until_stored(worker, worker.processed_end):
            # The worker lists the ends of runs until they are acknowledged, so until
            # they are stored a long poll would return at once.
            await asyncio.sleep(RETRY_SECONDS)


def _choose_acknowledged_end(worker: WorkerRecord, now: float) -> int:
    """Return the number of the last end to acknowledge with the next poll; 0 for none.

    Another incarnation counts its ends anew, and a number of the former one would make
    it forget ends that nobody has read. So a number is sent only while nothing suggests
    a restart, and no longer once it is known to have arrived.
    """
    end = worker.find_acknowledgeable_end(now)
    is_new = end > worker.acknowledged_end
    may_be_other = worker.may_have_restarted or worker.is_restart_listed
    return end if is_new and not may_be_other else 0


def _choose_poll_wait(
    worker: WorkerRecord, now: float, n_workers: int, n_given_up_starts: int = 0
) -> float:
    """Return how long a worker may wait for the end of a run before it answers.

    A worker that restarts may carry out a start that was given up, until it gets the
    stop after its first answer. So a longer wait of such a worker lets a task run twice
    for longer.

    Args:
        worker: the worker.
        now: clock time in seconds.
        n_workers: number of workers that the owner polls.
        n_given_up_starts: number of starts that were given up, but may be carried out
            late there.
    """
    if _has_uncertain_start(worker):
        return STARTING_POLL_WAIT_SECONDS
    longest = max(MIN_POLL_WAIT_SECONDS, MAX_POLL_SECONDS - worker.answer_seconds)
    is_idle = not worker.run_by_key and not n_given_up_starts
    if n_workers >= LARGE_FLEET_WORKERS and is_idle:
        return min(IDLE_POLL_WAIT_SECONDS, longest)
    wait_seconds = min(POLL_WAIT_SECONDS, longest)
    if not _has_starting_task(worker, now):
        return wait_seconds
    n_times_too_many = max(1.0, n_workers / MAX_WORKERS_POLLED_OFTEN)
    return min(STARTING_POLL_WAIT_SECONDS * n_times_too_many, wait_seconds)


def _has_uncertain_start(worker: WorkerRecord) -> bool:
    """Return whether fresh reports decide on the start of a lasting task."""
    return any(
        run.task.step.is_lasting and run.is_start_uncertain
        for run in worker.run_by_key.values()
    )


def _has_starting_task(worker: WorkerRecord, now: float) -> bool:
    """Return whether a lasting task has started there lately and is not ready."""
    return any(
        run.task.step.is_lasting
        and now - run.asked_at <= STARTING_SECONDS
        and not run.is_reported_ready(worker.contact_at)
        for run in worker.run_by_key.values()
    )
