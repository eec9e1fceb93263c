"""Table of a fleet's runs: how they begin, are adopted, end or are given up."""

import logging

from ...ports import Unavailable
from ...ports.fleet_workers import Done, OrderOutcome
from ...runtime import Metrics
from ...runtime.logs import log_event
from ..model import TaskId
from ..workers.run import Run, RunKey, RunPhase
from ..workers.uncertain_starts import UncertainStarts
from ..workers.worker_crashes import count_crash
from ..workers.worker_state import Incarnation, WorkerRecord
from ..workers.worker_table import WorkerTable
from .job_table import JobTable
from .record import JobRecord
from .task import Task, TaskPhase

logger = logging.getLogger(__name__)

NOT_SENT = "not-sent"
"""Reason for which a run is given up whose start order was never sent."""


class RunTable:
    """Runs that may be alive.

    Args:
        jobs: jobs that the runs belong to.
        workers: workers that the runs are on.
        metrics: metrics of the process.

    Attributes:
        runs_by_task: runs of each task that may be alive, by the task's name.
        uncertain_starts: start orders that were given up, but may be carried out late.
        unanswered_runs: runs on the workers whose start order had no answer, and that
            no report shows.
    """

    def __init__(self, jobs: JobTable, workers: WorkerTable, metrics: Metrics) -> None:
        self.runs_by_task: dict[str, list[Run]] = {}
        self.uncertain_starts = UncertainStarts()
        self.unanswered_runs: set[Run] = set()
        self._jobs = jobs
        self._workers = workers
        self._metrics = metrics
        self._contacts = _PoolContacts(workers)

    def begin(self, worker: WorkerRecord, task: Task, now: float) -> Run:
        """Note that a run of ``task`` is ordered on the worker."""
        record = self._jobs.job_by_id[task.task_id.job_id]
        number = task.run + 1
        if record.is_inherited:
            self._log_inherited_start(worker, task, number, now)
        task.clear_late_start()
        record.note_run(task, number)
        run = Run(record, task, number, worker.worker_id, now)
        run.sent_to = worker.started_at
        run.is_start_under_way = True
        self._attach(worker, run)
        record.set_phase(task, TaskPhase.PLACED)
        return run

    def adopt(self, worker: WorkerRecord, key: RunKey, now: float) -> Run | None:
        """Adopt a run that the worker reports and that a former owner started.

        Returns:
            The adopted run, or ``None`` if its job or task is unknown.
        """
        task_id = TaskId.parse(key.task)
        task = self._jobs.find_task(task_id)
        if task is None:
            return None
        record = self._jobs.job_by_id[task_id.job_id]
        record.note_run(task, key.run)
        run = Run(record, task, key.run, worker.worker_id, now)
        run.phase = RunPhase.RUNNING
        run.pace = None
        self.confirm(run, now)
        self._attach(worker, run)
        self._log_adopted(worker, run)
        if task.phase is TaskPhase.WAITING:
            record.set_phase(task, TaskPhase.PLACED)
        return run

    def confirm(self, run: Run, now: float) -> None:
        """Note that the worker has confirmed that it has the run.

        The order was carried out then, if there was one only. Of several, one may still
        be carried out by a later incarnation of the worker.
        """
        if run.is_start_uncertain and not run.known_at:
            worker = self._workers.worker_by_id[run.worker_id]
            self._observe_unanswered(worker, "carried-out", now - run.given_up_at)
        run.known_at = run.known_at or now
        self.unanswered_runs.discard(run)
        run.task.note_carried_out()
        run.late_start_until = run.task.late_start_until
        run.record.mark_begun()

    def note_unanswered_start(self, run: Run, now: float) -> None:
        """Note that a start order had no answer, and may be carried out late.

        It is stored, so that a successor starts the task nowhere else before.
        """
        # A worker that has reported the run has carried out the only order.
        if run.known_at and not run.task.is_start_repeated:
            return
        self._note_unanswered(run, now)
        if not run.known_at:
            run.is_start_uncertain = True
            self.unanswered_runs.add(run)

    def note_lost_start(self, run: Run, outcome: OrderOutcome, now: float) -> None:
        """Note the outcome of the start order of a run that was given up before.

        Args:
            run: the run.
            outcome: the outcome. An order that was carried out is left for the reports.
            now: clock time in seconds.
        """
        if isinstance(outcome, Done):
            return
        if isinstance(outcome, Unavailable) and outcome.may_have_committed:
            self._note_unanswered(run, now)
        elif not run.task.is_start_repeated and run.task.run == run.key.run:
            run.task.clear_late_start()

    def note_carried_out(self, worker: WorkerRecord, key: RunKey, now: float) -> None:
        """Note that a worker lists a run, or its end, and so has carried out its start.

        If the run was given up before, nothing is left that could be carried out late,
        unless its order was repeated.
        """
        if not self.uncertain_starts.settle(worker.worker_id, key, now):
            return
        task = self._jobs.find_task(TaskId.parse(key.task))
        if task is not None and task.run == key.run:
            task.note_carried_out()

    def detach(self, worker: WorkerRecord, run: Run) -> None:
        """Remove a run; `note_run_over` follows once its outcome is noted."""
        worker.drop_run(run.key)
        self.unanswered_runs.discard(run)
        runs = self.runs_by_task.get(run.task.text, [])
        if run in runs:
            runs.remove(run)
            run.record.n_placed -= 1
        if not runs:
            self.runs_by_task.pop(run.task.text, None)

    def note_run_over(self, record: JobRecord, task: Task) -> None:
        """Let a task without runs wait again, and end its job if that is closing."""
        if task.phase is TaskPhase.PLACED and not self.runs_by_task.get(task.text):
            record.set_phase(task, TaskPhase.WAITING)
        self._jobs.finish_if_closing(record)

    def drop(self, worker: WorkerRecord, run: Run) -> None:
        """Remove a run whose start the worker has rejected."""
        self.detach(worker, run)
        self.note_run_over(run.record, run.task)

    def lose(self, worker: WorkerRecord, run: Run, reason: str, now: float) -> None:
        """Give up a run without a report of its end.

        Args:
            worker: worker of the run.
            run: the run.
            reason: why it is given up, for the log; `NOT_SENT` if it never began.
            now: clock time in seconds.
        """
        self.detach(worker, run)
        is_uncertain = self._may_start_late(run, reason, now)
        if is_uncertain:
            self._keep_uncertain_start(worker, run, now)
        if run.is_start_uncertain and not run.known_at:
            self._observe_unanswered(worker, reason, now - run.given_up_at)
        self._metrics.increment("runs_lost", "Runs given up.", {"reason": reason})
        log_event(
            logger,
            "run lost",
            request_id=run.record.job.job_id,
            task=run.key.task,
            run=run.key.run,
            worker=worker.worker_id,
            incarnation=worker.started_at,
            reason=reason,
            uncertain=is_uncertain,
            silent_seconds=round(now - worker.contact_at, 2),
        )
        run.task.lost_at = now if reason != NOT_SENT else float("-inf")
        count_crash(worker, run, now)
        self.note_run_over(run.record, run.task)

    def lose_all(self, worker: WorkerRecord, reason: str, now: float) -> None:
        """Give up all runs on a worker."""
        for run in list(worker.run_by_key.values()):
            self.lose(worker, run, reason, now)

    def lose_confirmed(
        self, worker: WorkerRecord, reason: str, now: float, known_by: float
    ) -> None:
        """Give up the runs that the worker had confirmed by some time.

        Args:
            worker: worker of the runs.
            reason: why they are given up, for the log.
            now: clock time in seconds.
            known_by: runs confirmed after this clock time are kept. A later
                incarnation may have confirmed them, however early they were ordered.
        """
        for run in list(worker.run_by_key.values()):
            if 0 < run.known_at <= known_by:
                self.lose(worker, run, reason, now)

    def expire(self, now: float) -> None:
        """Give up the runs of silent workers whose lease has expired."""
        self.uncertain_starts.expire(now)
        self._jobs.expire_late_starts(now)
        for worker in self._workers.worker_by_id.values():
            if worker.is_in_contact(now) or now <= worker.runs_end_by:
                continue
            self.lose_all(worker, "lease-ended", now)

    def is_uncertain(self, run: Run, now: float) -> bool:
        """Return whether it is uncertain that the run is alive."""
        worker = self._workers.worker_by_id[run.worker_id]
        return run.is_start_uncertain or not worker.is_in_contact(now)

    def _attach(self, worker: WorkerRecord, run: Run) -> None:
        worker.add_run(run)
        self.runs_by_task.setdefault(run.task.text, []).append(run)
        if not run.record.first_start_at:
            run.record.first_start_at = run.asked_at
        run.record.n_placed += 1

    def _note_unanswered(self, run: Run, now: float) -> None:
        run.note_unanswered_start(now)
        self._jobs.note_late_start(run.record)

    @staticmethod
    def _may_start_late(run: Run, reason: str, now: float) -> bool:
        """Return whether a start order of a run that is given up may come late."""
        if reason == NOT_SENT:
            return False
        return not run.known_at or run.late_start_until > now

    def _keep_uncertain_start(self, worker: WorkerRecord, run: Run, now: float) -> None:
        # The incarnation that received the start rejects it once the lease is over.
        started_at = worker.started_at if run.stopped_at else run.sent_to
        incarnation = Incarnation(worker.worker_id, started_at)
        if run.is_start_under_way:
            self._note_unanswered(run, now)
        self.uncertain_starts.add(incarnation, run.key, run.given_up_at)

    def _observe_unanswered(
        self, worker: WorkerRecord, outcome: str, seconds: float
    ) -> None:
        self._metrics.observe(
            "unanswered_start_seconds",
            "Time until the outcome of a start without an answer is known.",
            {"outcome": outcome, "pool": worker.listed.pool},
            seconds,
        )

    def _log_adopted(self, worker: WorkerRecord, run: Run) -> None:
        log_event(
            logger,
            "run adopted",
            request_id=run.record.job.job_id,
            task=run.key.task,
            run=run.key.run,
            worker=run.worker_id,
            incarnation=worker.started_at,
            task_phase=run.task.phase,
            n_runs=len(self.runs_by_task[run.task.text]),
        )

    def _log_inherited_start(
        self, worker: WorkerRecord, task: Task, number: int, now: float
    ) -> None:
        n_workers, oldest = self._contacts.find(worker.listed.pool, now)
        possible = self.runs_by_task.get(task.text, [])
        log_event(
            logger,
            "inherited task start decided",
            request_id=task.task_id.job_id,
            task=task.text,
            run=number,
            worker=worker.worker_id,
            n_workers=n_workers,
            oldest_answer_seconds=round(now - oldest, 3),
            n_possible_runs=len(possible),
            possible_runs=",".join(f"{r.key.run}@{r.worker_id}" for r in possible),
        )


class _PoolContacts:
    """Number of workers of each pool, and the oldest of their latest answers.

    They are found once for a clock time: a round of planning may start hundreds of
    tasks in a pool of thousands of workers.
    """

    def __init__(self, workers: WorkerTable) -> None:
        self._workers = workers
        self._found_at = float("-inf")
        self._found_by_pool: dict[str, tuple[int, float]] = {}

    def find(self, pool: str, now: float) -> tuple[int, float]:
        """Return the number of workers, and the clock time of the oldest answer."""
        if now != self._found_at:
            self._found_at = now
            self._found_by_pool.clear()
        if pool not in self._found_by_pool:
            workers = self._workers.workers_of(pool)
            oldest = min((worker.contact_at for worker in workers), default=now)
            self._found_by_pool[pool] = len(workers), oldest
        return self._found_by_pool[pool]
