"""Processes the reports of workers: the runs that they execute and those that ended."""

import logging

from ...ports.fleet_workers import RunningTask, WorkerLists
from ...runtime.logs import log_event
from ..dispatch.run_ends import RunEnds
from ..dispatch.run_table import RunTable
from .inherited_workers import InheritedWorkers
from .run import RunKey, RunPhase
from .worker_crashes import clear_survivor, note_answer, note_crash
from .worker_state import VM_NAMED_SECONDS, WorkerRecord
from .worker_table import WorkerTable

logger = logging.getLogger(__name__)


class WorkerReports:
    """Processor of the reports of workers.

    Args:
        workers: workers that report.
        runs: runs that may be alive.
        ends: processes the ends of runs.
        inherited: resolves workers of a former owner with their first report.

    Attributes:
        orphan_stop_sent_at: clock time in seconds of the latest stop order for each run
            whose job is unknown, by worker id and run; 0 before the first order.
    """

    def __init__(
        self,
        workers: WorkerTable,
        runs: RunTable,
        ends: RunEnds,
        inherited: InheritedWorkers,
    ) -> None:
        self.orphan_stop_sent_at: dict[tuple[str, RunKey], float] = {}
        self._workers = workers
        self._runs = runs
        self._ends = ends
        self._inherited = inherited

    def process(
        self, worker_id: str, lists: WorkerLists, sent_at: float, now: float
    ) -> None:
        """Process a report.

        Args:
            worker_id: id of the worker; an unknown worker is ignored.
            lists: runs that it executes and that ended.
            sent_at: clock time in seconds at which the poll was sent.
            now: clock time in seconds.
        """
        worker = self._workers.worker_by_id.get(worker_id)
        if worker is None:
            return
        is_other_process = lists.started_at != worker.started_at
        if is_other_process and sent_at < worker.started_known_at:
            # Polls overlap, so an earlier process may have given this answer. It may be
            # one of a later process too, if the poll was held up on its way.
            worker.note_no_answer()
            log_event(
                logger,
                "late worker report dropped",
                worker=worker_id,
                incarnation=lists.started_at,
            )
            return
        self._note_answer(worker, lists, sent_at, now)
        worker.polled_at = max(worker.polled_at, sent_at)
        if lists.may_lack_ends:
            _log_lacking_ends(worker, lists)
        else:
            self._inherited.resolve(worker_id, "reached", now)
        self._process_ends(worker, lists, now)
        self._process_running(worker, lists, now)
        if not lists.may_lack_ends:
            self._lose_unlisted(worker, lists, sent_at, now)

    def _note_answer(
        self, worker: WorkerRecord, lists: WorkerLists, sent_at: float, now: float
    ) -> None:
        is_other_process = lists.started_at != worker.started_at
        is_restarted = is_other_process and worker.started_at > 0
        longest_lease = self._workers.longest_lease
        worker.note_incarnation(lists.started_at, now, longest_lease)
        note_answer(worker, lists.started_at)
        if is_restarted:
            note_crash(worker, "restarted", now, _listed_keys(lists))
            self._on_restart(worker, lists, sent_at, now)
            worker.is_taken_down = False
        if is_other_process:
            worker.started_known_at = now
            # A list of workers that is older may have shown another one in between.
            worker.former_leases.newest = lists.started_at
        if worker.contact_at == float("-inf"):
            # After `note_incarnation`, whose bound it limits.
            worker.note_first_contact(now, longest_lease, bool(lists.running))
            log_event(
                logger,
                "worker reached",
                worker=worker.worker_id,
                incarnation=lists.started_at,
            )
            worker.vm_due_at = now + VM_NAMED_SECONDS
        worker.started_at = lists.started_at
        worker.note_contact(now, is_restarted)

    def _on_restart(
        self, worker: WorkerRecord, lists: WorkerLists, sent_at: float, now: float
    ) -> None:
        worker.processed_end = 0
        worker.stored_end = 0
        worker.acknowledged_end = 0
        worker.held_ends.clear()
        listed = _listed_keys(lists)
        lost = [run for key, run in worker.run_by_key.items() if key not in listed]
        log_event(
            logger,
            "worker restarted",
            worker=worker.worker_id,
            incarnation=lists.started_at,
            former_incarnation=worker.started_at,
            lease_seconds=round(worker.runs_end_by - now, 2),
            n_lost=len(lost),
            n_uncertain_starts=self._runs.uncertain_starts.count(worker.worker_id),
        )
        for run in lost:
            # A start that was confirmed later may have been carried out after the
            # answer was written, and the end of a run may not be listed yet.
            if 0 < run.known_at < sent_at and not lists.may_lack_ends:
                self._runs.lose(worker, run, "worker-restarted", now)
        # The start orders of the others may still arrive late, or have done so. The
        # restarted worker carries them out, as it doesn't know of a stop that was
        # confirmed before the restart.
        for run in worker.run_by_key.values():
            run.stop_sent_at = run.stopped_at = 0.0

    def _process_ends(
        self, worker: WorkerRecord, lists: WorkerLists, now: float
    ) -> None:
        for ended in sorted(lists.ended):
            if ended.number > worker.processed_end:
                self._ends.process(worker, ended, now)
                worker.processed_end = ended.number

    def _process_running(
        self, worker: WorkerRecord, lists: WorkerLists, now: float
    ) -> None:
        for entry in lists.running:
            self._update_run(worker, entry, now)
        self._forget_orphans(worker, _running_keys(lists))

    def _update_run(self, worker: WorkerRecord, entry: RunningTask, now: float) -> None:
        key = RunKey(entry.task, entry.run)
        self._runs.note_carried_out(worker, key, now)
        run = worker.run_by_key.get(key) or self._runs.adopt(worker, key, now)
        if run is None:
            self.orphan_stop_sent_at.setdefault((worker.worker_id, key), 0.0)
            return
        self._runs.confirm(run, now)
        clear_survivor(run, now)
        if run.phase is RunPhase.ASKED:
            run.is_start_uncertain = False
            run.phase = RunPhase.RUNNING
        if entry.percent != run.percent:
            run.percent = entry.percent
            run.progressed_at = now
        run.load = entry.load
        if entry.checkpoint:
            run.task.checkpoint = entry.checkpoint

    def _forget_orphans(self, worker: WorkerRecord, listed_keys: set[RunKey]) -> None:
        for worker_id, key in list(self.orphan_stop_sent_at):
            if worker_id == worker.worker_id and key not in listed_keys:
                del self.orphan_stop_sent_at[worker_id, key]

    def _lose_unlisted(
        self, worker: WorkerRecord, lists: WorkerLists, sent_at: float, now: float
    ) -> None:
        """Give up runs that were confirmed before the poll and are not in its answer.

        A run whose start is uncertain is given up only after a confirmed stop, or once
        the start can be carried out no more.
        """
        running_keys = _running_keys(lists)
        for key, run in list(worker.run_by_key.items()):
            if key in running_keys:
                continue
            confirmed_at = run.stopped_at if run.is_start_uncertain else run.known_at
            if confirmed_at and confirmed_at < sent_at:
                self._runs.lose(worker, run, "not-listed", now)
            elif run.is_start_uncertain and sent_at > run.late_start_until:
                self._runs.lose(worker, run, "never-started", now)


def _running_keys(lists: WorkerLists) -> set[RunKey]:
    return {RunKey(entry.task, entry.run) for entry in lists.running}


def _listed_keys(lists: WorkerLists) -> set[RunKey]:
    ended = {RunKey(entry.task, entry.run) for entry in lists.ended}
    return _running_keys(lists) | ended


def _log_lacking_ends(worker: WorkerRecord, lists: WorkerLists) -> None:
    log_event(
        logger,
        "worker report lacks ends",
        worker=worker.worker_id,
        n_running=len(lists.running),
        n_ended=len(lists.ended),
        last_end=max((ended.number for ended in lists.ended), default=0),
        n_runs=len(worker.run_by_key),
    )
