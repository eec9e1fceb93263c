"""Decides which waiting tasks start, and on which workers.

The tasks of a gang can only run while all of them run, so they start together. Some
queues need an approval of the worker for each step; a ticket is such an approval.
Variables named ``room`` hold a worker with its free resources.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from ..policy.crash_blame import is_on_trial
from ..policy.job_order import order_key
from ..policy.reservations import ExpectedEnd, Reservations
from ..policy.resources import Resources
from ..policy.worker_choice import CandidateWorker, TaskNeed, choose_worker, fits
from .account_usage import usage_by_account
from .configuration import Account, Queue
from .dispatcher import Dispatcher
from .model import Step
from .record import JobRecord, Task, TaskPhase
from .start_blocks import find_start_block
from .start_delays import StartDelays
from .worker_state import Run, RunPhase, StartBlock, WorkerRecord

LASTING_TASKS_PER_WORKER_FACTOR = 5
"""Most lasting tasks of a step that one worker should run, as a multiple of how many
of the step may be unavailable at once. More tasks take too long to evacuate before the
VM can go down; with fewer, more VMs have to stay switched on."""

NO_USAGE = Resources(0.0, 0.0, 0.0)


class PlannedStart(NamedTuple):
    """A run that the dispatcher counts as ordered; the caller sends the order.

    ``ticket`` is the text of the worker's approval; empty if none is needed.
    """

    worker: WorkerRecord
    run: Run
    ticket: str


class ApprovalRequest(NamedTuple):
    """Request to approve workers for a step.

    Args:
        stage: name of the step within its job's occurrence.
        worker_ids: workers to approve.
        valid_seconds: how long an approval holds.
    """

    stage: str
    worker_ids: tuple[str, ...]
    valid_seconds: float


class Ticket(NamedTuple):
    """An approval of a worker for a step, until a clock time in seconds."""

    text: str
    valid_until: float


class Planner:
    """Places waiting tasks on workers, job by job in the order of `policy.job_order`.

    Args:
        dispatcher: jobs and workers.

    Attributes:
        wanted_approvals: approvals to ask for after the latest planning, by step.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._tickets_by_stage: dict[str, dict[str, Ticket]] = {}
        self._learned_before: float | None = None
        self._delays = StartDelays(dispatcher)
        self._reservations = Reservations()
        self.wanted_approvals: dict[str, ApprovalRequest] = {}

    def keep_tickets(self, stage: str, ticket_by_worker: Mapping[str, Ticket]) -> None:
        """Replace the approvals for a step."""
        self._tickets_by_stage[stage] = dict(ticket_by_worker)

    def plan(
        self, now: float, unix_now: float, learned_before: float | None = None
    ) -> list[PlannedStart]:
        """Place waiting tasks and register their runs with the dispatcher.

        Args:
            now: clock time in seconds.
            unix_now: Unix time in seconds, for jobs with due times.
            learned_before: clock time in seconds of the last stored renewal while a
                successor may already have replaced this owner; ``None`` otherwise. Only
                jobs that were learned before it start, and no task whose last run was
                given up: a successor may have reached its worker and renewed its lease.
                They start only on workers that have answered every poll since before
                it: a worker that has restarted may have forgotten the successor's
                token.
        """
        dispatcher = self._dispatcher
        self._learned_before = learned_before
        self.wanted_approvals = {}
        records_by_pool: dict[str, list[tuple[JobRecord, Queue]]] = {}
        for record in dispatcher.job_by_id.values():
            queue = dispatcher.queue_of(record)
            if queue is None or record.is_closing:
                continue
            if learned_before is not None and record.learned_at > learned_before:
                continue
            if record.is_inherited and not dispatcher.is_pool_resolved(queue.pool):
                continue
            records_by_pool.setdefault(queue.pool, []).append((record, queue))
        starts: list[PlannedStart] = []
        usage = usage_by_account(dispatcher)
        for pool, records in records_by_pool.items():
            rooms = self._free_rooms(pool, now)
            self._reservations.mark(rooms)
            ordered = sorted(
                records,
                key=lambda item: order_key(dispatcher.estimates.view_job(*item), now),
            )
            for record, queue in ordered:
                self._plan_job(record, queue, rooms, usage, now, unix_now, starts)
        self._delays.end_round()
        self._reservations.end_round()
        return starts

    def _free_rooms(self, pool: str, now: float) -> dict[str, CandidateWorker]:
        dispatcher = self._dispatcher
        rooms: dict[str, CandidateWorker] = {}
        for worker in dispatcher.workers_of(pool):
            block = find_start_block(dispatcher, worker, now)
            if block not in (None, StartBlock.QUARANTINED) or worker.is_cordoned:
                continue
            if not self._has_unbroken_contact(worker):
                continue
            room = CandidateWorker(
                worker.worker_id, worker.listed.labels, worker.free(), worker.penalty
            )
            room.is_maintenance_due = worker.is_maintenance_due
            room.is_last_resort = block is StartBlock.QUARANTINED
            for run in worker.run_by_key.values():
                room.count(running_need(worker, run))
            rooms[worker.worker_id] = room
        return rooms

    def _has_unbroken_contact(self, worker: WorkerRecord) -> bool:
        """Return whether the worker has kept the token of a possible successor."""
        return (
            self._learned_before is None or worker.contact_since <= self._learned_before
        )

    def _plan_job(
        self,
        record: JobRecord,
        queue: Queue,
        rooms: dict[str, CandidateWorker],
        usage: dict[str, Resources],
        now: float,
        unix_now: float,
        starts: list[PlannedStart],
    ) -> None:
        account = self._dispatcher.configuration.account_by_name.get(record.job.account)
        for stage in list(record.ready_stages()):
            if record.job.due_at(stage[0]) > unix_now:
                continue
            tasks = record.tasks_by_stage[stage]
            waiting = [t for t in tasks if self._is_startable(record, t, now)]
            if not waiting:
                continue
            usable = self._usable_rooms(waiting[0], queue, rooms, now)
            if waiting[0].step.is_gang:
                if len(waiting) == len(tasks):
                    self._plan_gang(waiting, usable, usage, account, now, starts)
            else:
                self._plan_tasks(waiting, usable, usage, account, now, starts)
            self._note_delay(waiting, queue, usable, usage, account, now)

    def _note_delay(
        self,
        tasks: list[Task],
        queue: Queue,
        rooms: dict[str, CandidateWorker],
        usage: dict[str, Resources],
        account: Account | None,
        now: float,
    ) -> None:
        waiting = [task for task in tasks if task.phase is TaskPhase.WAITING]
        if not waiting:
            return
        first = waiting[0]
        n_together = len(waiting) if first.step.is_gang else 1
        is_over_limit = not is_within_limit(usage, account, first.step.need, n_together)
        need = task_need(first)
        candidates = list(rooms.values())
        self._delays.note(first, need, queue.pool, now, candidates, is_over_limit)

    def _is_startable(self, record: JobRecord, task: Task, now: float) -> bool:
        if record.must_store_crashes(task):
            return False
        if task.phase is TaskPhase.WAITING:
            is_held_back = self._learned_before is not None and task.is_lost
            return task.not_before <= now and not is_held_back
        if task.phase is TaskPhase.DONE or not task.step.may_run_twice:
            return False
        if task.crash_by_run:
            return False
        runs = self._dispatcher.runs_by_task.get(task.text, [])
        return len(runs) == 1 and self._dispatcher.is_run_uncertain(runs[0], now)

    def _usable_rooms(
        self, task: Task, queue: Queue, rooms: dict[str, CandidateWorker], now: float
    ) -> dict[str, CandidateWorker]:
        if queue.approval is None:
            return rooms
        stage = stage_name(task)
        tickets = self._tickets_by_stage.get(stage, {})
        valid = {
            worker_id: room
            for worker_id, room in rooms.items()
            if worker_id in tickets and tickets[worker_id].valid_until > now
        }
        if rooms and not valid:
            self.wanted_approvals[stage] = ApprovalRequest(
                stage, tuple(rooms), queue.approval.valid_seconds
            )
        return valid

    def _plan_tasks(
        self,
        tasks: list[Task],
        rooms: dict[str, CandidateWorker],
        usage: dict[str, Resources],
        account: Account | None,
        now: float,
        starts: list[PlannedStart],
    ) -> None:
        """Place the waiting tasks of a step; reserve workers for lasting ones."""
        is_full = False
        may_choose = True
        for task in tasks:
            if not is_within_limit(usage, account, task.step.need, 1):
                return
            need = task_need(task)
            # The tasks of a step differ only in the workers reserved for them.
            own = self._reservations.find_room(task.text, rooms)
            candidates = rooms.values() if not is_full else [own] if own else []
            room = choose_worker(need, candidates)
            if room is not None:
                self._begin_run(task, room, usage, account, now, starts)
                continue
            is_full = True
            if not task.step.is_lasting:
                return
            if task.phase is not TaskPhase.WAITING:
                continue
            may_choose = may_choose and self._reservations.may_add
            is_reserved = self._reservations.reserve(
                need,
                rooms,
                lambda worker_id: self._expected_ends(worker_id, now),
                may_choose,
            )
            if is_reserved or not may_choose:
                continue
            room = self._reservations.take_over(need, rooms.values())
            if room is not None:
                self._begin_run(task, room, usage, account, now, starts)
            else:
                may_choose = False

    def _expected_ends(self, worker_id: str, now: float) -> list[ExpectedEnd]:
        return find_expected_ends(self._dispatcher, worker_id, now)

    def _plan_gang(
        self,
        tasks: list[Task],
        rooms: dict[str, CandidateWorker],
        usage: dict[str, Resources],
        account: Account | None,
        now: float,
        starts: list[PlannedStart],
    ) -> None:
        step = tasks[0].step
        if not is_within_limit(usage, account, step.need, len(tasks)):
            return
        chosen = find_gang_rooms(tasks, rooms)
        if chosen is None:
            return
        # All tasks of a gang get the same run number and resume from one checkpoint.
        run = max(task.run for task in tasks)
        checkpoint = max((task.checkpoint for task in tasks), default="")
        for task, room in zip(tasks, chosen, strict=True):
            task.run = run
            task.checkpoint = checkpoint
            self._begin_run(task, room, usage, account, now, starts)

    def _begin_run(
        self,
        task: Task,
        room: CandidateWorker,
        usage: dict[str, Resources],
        account: Account | None,
        now: float,
        starts: list[PlannedStart],
    ) -> None:
        worker = self._dispatcher.worker_by_id[room.worker_id]
        run = self._dispatcher.begin_run(worker, task, now)
        need = task_need(task)
        room.take(need)
        self._reservations.release(task.text, room)
        name = run.record.job.account
        have = usage.get(name, NO_USAGE)
        usage[name] = Resources(
            *(a + b for a, b in zip(have, task.step.need, strict=True))
        )
        tickets = self._tickets_by_stage.get(stage_name(task), {})
        ticket = tickets.get(room.worker_id)
        starts.append(PlannedStart(worker, run, ticket.text if ticket else ""))


def stage_name(task: Task) -> str:
    """Return the name of the task's step within its job's occurrence."""
    return task.text.rpartition(".")[0]


def task_need(task: Task) -> TaskNeed:
    """Return the requirements of ``task`` on its worker."""
    step = task.step
    return TaskNeed(
        stage_name(task),
        step.need,
        step.required_label,
        step.preferred_rack,
        step.max_per_worker,
        step.is_lasting,
        LASTING_TASKS_PER_WORKER_FACTOR * max(1, step.max_away)
        if step.is_lasting
        else 0,
        step.is_filler,
        step.target_seconds > 0,
        task.avoided_worker,
        task.text,
        len(task.crash_by_run),
    )


def find_expected_ends(
    dispatcher: Dispatcher, worker_id: str, now: float
) -> list[ExpectedEnd]:
    """Return when the runs on a worker are expected to end.

    Lasting runs that are not being stopped are left out.
    """
    ends = []
    for run in dispatcher.worker_by_id[worker_id].run_by_key.values():
        if run.phase is RunPhase.STOPPING:
            seconds = 0.0
        elif run.task.step.is_lasting:
            continue
        else:
            durations = dispatcher.estimates.durations_of(run.record.job.queue)
            expected_seconds = durations.predict(run.task.step.estimate_seconds)
            seconds = max(0.0, run.asked_at + expected_seconds - now)
        ends.append(ExpectedEnd(seconds, task_need(run.task).counted_need))
    return ends


def running_need(worker: WorkerRecord, run: Run) -> TaskNeed:
    """Return the requirements of the task of a run that is on the worker.

    A suspect whose run is no longer on trial counts like any other task.
    """
    need = task_need(run.task)
    known_seconds = worker.contact_at - run.known_at if run.known_at else 0.0
    if need.n_crashes and not is_on_trial(known_seconds):
        return need._replace(n_crashes=0)
    return need


def is_within_limit(
    usage: Mapping[str, Resources], account: Account | None, need: Resources, n: int
) -> bool:
    """Return whether the account stays within its limit with ``n`` more tasks.

    A limit of 0 means that the resource is not limited.
    """
    if account is None:
        return True
    have = usage.get(account.name, NO_USAGE)
    return all(
        not limit or used + n * more <= limit
        for used, more, limit in zip(have, need, account.limit, strict=True)
    )


def find_gang_rooms(
    tasks: list[Task], rooms: Mapping[str, CandidateWorker]
) -> list[CandidateWorker] | None:
    """Return a worker for each task of a gang, or ``None`` if they do not all fit.

    If the step wants one rack, each rack is tried alone before all workers together.
    """
    for candidates in _candidate_groups(tasks[0].step, rooms):
        chosen = _fit_all(tasks, candidates)
        if chosen is not None:
            return chosen
    return None


def _candidate_groups(
    step: Step, rooms: Mapping[str, CandidateWorker]
) -> Iterator[list[CandidateWorker]]:
    if step.wants_one_rack:
        racks = {label for room in rooms.values() for label in room.labels}
        for rack in sorted(racks):
            yield [room for room in rooms.values() if rack in room.labels]
    yield list(rooms.values())


def _fit_all(
    tasks: list[Task], rooms: list[CandidateWorker]
) -> list[CandidateWorker] | None:
    trial = {room.worker_id: _copy_room(room) for room in rooms}
    room_by_id = {room.worker_id: room for room in rooms}
    chosen = []
    for task in tasks:
        need = task_need(task)
        room = choose_worker(need, trial.values())
        if room is None or not fits(need, room):
            return None
        room.take(need)
        chosen.append(room_by_id[room.worker_id])
    return chosen


def _copy_room(room: CandidateWorker) -> CandidateWorker:
    free = Resources(room.cores, room.memory_gb, room.accelerators)
    copy = CandidateWorker(room.worker_id, room.labels, free, room.penalty)
    copy.is_maintenance_due = room.is_maintenance_due
    copy.is_last_resort = room.is_last_resort
    copy.reserved_for = room.reserved_for
    copy.n_tasks_by_step = dict(room.n_tasks_by_step)
    copy.n_fillers = room.n_fillers
    copy.n_latency_tasks = room.n_latency_tasks
    copy.n_tasks = room.n_tasks
    copy.n_suspects = room.n_suspects
    copy.has_repeated_suspect = room.has_repeated_suspect
    return copy
