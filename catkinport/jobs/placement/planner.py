"""Decides which waiting tasks start, and on which workers.

The tasks of a gang can only run while all of them run, so they start together. Some
queues need an approval of the worker for each step; a ticket is such an approval.
Variables named ``room`` hold a worker with its free resources.

A round of planning ends early when it has used up its starts or its time, and the next
one goes on where it has ended. A pass is the rounds in which each job has its turn.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from itertools import chain, islice

from ...policy.reservations import ExpectedEnd, Reservations
from ...policy.resources import NO_RESOURCES, Resources, add
from ...policy.rotation import rotate
from ...policy.step_choice import StepChooser
from ...policy.wait_forecast import ComingCores
from ...policy.worker_choice import CandidateWorker, choose_worker
from ..configuration import Account, ApprovalTerms, Queue
from ..dispatch.approvals import Ticket
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.record import JobRecord
from ..dispatch.task import Task, TaskPhase
from ..workers.worker_state import StartBlock
from .account_usage import is_within_limit, usage_by_account
from .approval_turns import ApprovalKind, ApprovalRequest
from .asked_workers import choose_workers_to_ask
from .blocked_workers import has_unbroken_contact
from .gang_rooms import find_gang_rooms
from .gap_planner import GapPlanner
from .pool_order import PoolOrder, PoolState
from .pool_use import is_half_used
from .round_budget import PlannedStart, RoundBudget
from .start_blocks import find_start_block
from .start_delays import StartDelays, StartHold
from .task_needs import find_expected_ends, running_need, task_need

MAX_PASS_SECONDS = 5.0
"""Time after which jobs get another turn even if others have not had one, as these may
arrive faster than they are planned."""


class Planner:
    """Places waiting tasks on workers, job by job in the order of `policy.job_order`.

    Args:
        dispatcher: jobs and workers.
        looks_ahead: whether room is held for large short tasks by the expected ends of
            others.

    Attributes:
        order: order of the jobs of each pool.
        delays: waits of the tasks that could not start.
        wanted_approvals: approvals to ask for after the latest planning, by step.
        coming_by_pool: cores that are being moved to each pool, for the forecast of
            waits.
        is_unfinished: whether the latest round has ended before it had seen all jobs.
    """

    def __init__(self, dispatcher: Dispatcher, looks_ahead: bool = False) -> None:
        self._dispatcher = dispatcher
        self._gaps = GapPlanner(dispatcher) if looks_ahead else None
        self._learned_before: float | None = None
        self.delays = StartDelays(dispatcher)
        self.order = PoolOrder(dispatcher)
        self._reservations = Reservations()
        self._first_pool = ""
        self._seen_ids: set[str] = set()
        self._pass_began_at = 0.0
        self.is_unfinished = False
        self.wanted_approvals: dict[str, ApprovalRequest] = {}
        self.coming_by_pool: Mapping[str, Sequence[ComingCores]] = {}

    def plan(
        self,
        now: float,
        unix_now: float,
        learned_before: float | None = None,
        max_starts: float = float("inf"),
        clock: Callable[[], float] = lambda: 0.0,
    ) -> list[PlannedStart]:
        """Place waiting tasks and register their runs with the dispatcher.

        Args:
            now: clock time in seconds.
            unix_now: Unix time in seconds, for jobs with due times.
            learned_before: clock time in seconds of the last stored renewal while a
                successor may already have replaced this owner; ``None`` otherwise. Only
                jobs that were learned before it start, and no task whose last run was
                given up since then: a successor may have reached its worker and renewed
                its lease.
                They start only on workers that have answered every poll since before
                it: a worker that has restarted may have forgotten the successor's
                token.
            max_starts: number of starts after which the round ends. The starts of one
                job may exceed it by `MAX_STARTS_PER_JOB`, or by the size of a gang.
            clock: returns the processor time in seconds, by which the round ends early.
        """
        self._learned_before = learned_before
        self.delays.learned_before = learned_before
        self.wanted_approvals = {}
        self._reservations.begin_round()
        if now - self._pass_began_at >= MAX_PASS_SECONDS:
            self._begin_pass(now)
        budget = RoundBudget(max_starts, clock)
        records_by_pool = self._find_unseen(now)
        self.order.note_arrivals()
        usage = usage_by_account(self._dispatcher)
        pools = rotate(list(records_by_pool), self._first_pool)
        self.is_unfinished = False
        for index, pool in enumerate(pools):
            is_begun = budget.may_plan_job
            records = records_by_pool[pool]
            if self._plan_pool(pool, records, usage, now, unix_now, budget):
                continue
            self.is_unfinished = True
            # The next round begins with another pool, so that none waits for this one.
            next_index = index + 1 if is_begun else index
            self._first_pool = pools[next_index % len(pools)]
            return budget.starts
        self._end_pass(now)
        return budget.starts

    def _find_unseen(self, now: float) -> dict[str, list[tuple[JobRecord, Queue]]]:
        """Return the jobs that may have tasks to start and wait for their turn."""
        dispatcher = self._dispatcher
        records_by_pool: dict[str, list[tuple[JobRecord, Queue]]] = {}
        for record in dispatcher.job_by_id.values():
            queue = dispatcher.queue_of(record)
            if queue is None or record.is_closing:
                continue
            if record.job.job_id in self._seen_ids:
                continue
            hold = self._find_job_hold(record, queue)
            if hold is not None:
                self.delays.note_held_job(record.job.job_id, queue.pool, now, hold)
                continue
            records_by_pool.setdefault(queue.pool, []).append((record, queue))
        return records_by_pool

    def _plan_pool(
        self,
        pool: str,
        records: list[tuple[JobRecord, Queue]],
        usage: dict[str, Resources],
        now: float,
        unix_now: float,
        budget: RoundBudget,
    ) -> bool:
        """Plan the jobs of a pool; return whether all of them have had their turn."""
        if not budget.may_plan_job:
            return False
        if not any(self._has_startable(job, now, unix_now) for job, _ in records):
            # To look at the workers takes most of a round in a large fleet.
            self._seen_ids.update(record.job.job_id for record, _ in records)
            return True
        rooms = self._free_rooms(pool, now)
        is_busy = is_half_used(self._dispatcher.workers_outside_evacuations(pool))
        self._reservations.mark(rooms, now, is_busy)
        if self._gaps:
            self._gaps.begin_pool(pool, rooms, now)
        free_cores = sum(room.cores for room in rooms.values())
        coming = self.coming_by_pool.get(pool, ())
        state = PoolState(pool, free_cores, usage, coming)
        ordered = self.order.sort(state, records, now, unix_now)
        for record, queue in ordered:
            if not budget.may_plan_job:
                return False
            budget.begin_job()
            if self._gaps:
                place = self.order.place_of(record.job.job_id)
                self._gaps.begin_job(pool, record, place, now)
            self._plan_job(record, queue, rooms, usage, now, unix_now, budget)
            budget.end_job()
            self._seen_ids.add(record.job.job_id)
        return True

    def _begin_pass(self, now: float) -> None:
        self._seen_ids.clear()
        self._pass_began_at = now

    def _end_pass(self, now: float) -> None:
        # What a pass has not seen yet must not be forgotten.
        self.delays.end_round()
        self._reservations.end_pass()
        if self._gaps:
            self._gaps.end_pass()
        self._begin_pass(now)

    def _find_job_hold(self, record: JobRecord, queue: Queue) -> StartHold | None:
        """Return why no task of a job may start, or ``None`` if its tasks may."""
        learned_before = self._learned_before
        if learned_before is not None and record.learned_at > learned_before:
            return StartHold.LEASE_IN_DOUBT
        if not self._dispatcher.is_job_resolved(record):
            return StartHold.POOL_UNRESOLVED
        if not self._dispatcher.may_start_in(record, queue):
            return StartHold.POOL_NOT_STORED
        return None

    def _free_rooms(self, pool: str, now: float) -> dict[str, CandidateWorker]:
        dispatcher = self._dispatcher
        rooms: dict[str, CandidateWorker] = {}
        for worker in dispatcher.workers_of(pool):
            block = find_start_block(dispatcher, worker, now)
            if block not in (None, StartBlock.QUARANTINED) or worker.is_cordoned:
                continue
            if not has_unbroken_contact(worker, self._learned_before):
                continue
            room = CandidateWorker(
                worker.worker_id, worker.listed.labels, worker.free(), worker.penalty
            )
            room.is_cold = worker.is_cold(now)
            room.is_maintenance_due = worker.is_maintenance_due
            room.is_last_resort = block is StartBlock.QUARANTINED
            for run in worker.run_by_key.values():
                room.count(running_need(worker, run))
            rooms[worker.worker_id] = room
        return rooms

    def _plan_job(
        self,
        record: JobRecord,
        queue: Queue,
        rooms: dict[str, CandidateWorker],
        usage: dict[str, Resources],
        now: float,
        unix_now: float,
        budget: RoundBudget,
    ) -> None:
        account = self._dispatcher.configuration.account_by_name.get(record.job.account)
        full_steps: set[int] = set()
        for stage in record.ready_stages():
            if record.job.due_at(stage[0]) > unix_now:
                # The later occurrences are due later.
                return
            if stage[1] in full_steps:
                continue
            startable = self._find_startable(record, stage, now)
            first = next(startable, None)
            if first is None:
                continue
            waiting = chain([first], startable)
            usable = self._usable_rooms(first, queue, rooms, now)
            if first.step.is_gang:
                left = list(waiting)
                if len(left) == first.step.n_tasks:
                    self._plan_gang(left, usable, usage, account, now, budget)
            else:
                left = self._plan_tasks(waiting, usable, usage, account, now, budget)
            is_unapproved = bool(rooms) and not usable
            self._note_delay(left, queue, usable, usage, account, now, is_unapproved)
            if left and not left[0].crash_by_run and queue.approval is None:
                # The same step of a later occurrence fits nowhere either.
                full_steps.add(stage[1])
            if not budget.may_start_of_job:
                return

    def _has_startable(self, record: JobRecord, now: float, unix_now: float) -> bool:
        """Return whether a task of the job may get a run, if it fits anywhere."""
        for stage in record.ready_stages():
            if record.job.due_at(stage[0]) > unix_now:
                return False
            if next(self._find_startable(record, stage, now), None) is not None:
                return True
        return False

    def _find_startable(
        self, record: JobRecord, stage: tuple[int, int], now: float
    ) -> Iterator[Task]:
        """Iterate over the tasks of a step that may get a run, in their order."""
        if not record.job.steps[stage[1]].may_run_twice:
            tasks = record.waiting_tasks(stage)
        else:
            tasks = iter(record.tasks_by_stage[stage])
        return (task for task in tasks if self._is_startable(record, task, now))

    def _note_delay(
        self,
        tasks: list[Task],
        queue: Queue,
        rooms: dict[str, CandidateWorker],
        usage: dict[str, Resources],
        account: Account | None,
        now: float,
        is_unapproved: bool,
    ) -> None:
        waiting = [task for task in tasks if task.phase is TaskPhase.WAITING]
        if not waiting:
            return
        first = waiting[0]
        n_together = len(waiting) if first.step.is_gang else 1
        hold = StartHold.NO_APPROVAL if is_unapproved else None
        if self._gaps and self._gaps.is_kept(first):
            hold = StartHold.ROOM_HELD
        if not is_within_limit(usage, account, first.step.need, n_together):
            hold = StartHold.ACCOUNT_LIMIT
        need = task_need(first)
        candidates = list(rooms.values())
        self.delays.note(first, need, queue.pool, now, candidates, hold)

    def _is_startable(self, record: JobRecord, task: Task, now: float) -> bool:
        if record.must_store_crashes(task):
            return False
        if task.phase is TaskPhase.WAITING:
            is_held_back = task.is_lost_since(self._learned_before)
            return task.is_due(now) and not is_held_back
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
        stage = task.stage_name
        valid = {
            worker_id: room
            for worker_id, room in rooms.items()
            if self._find_ticket(stage, worker_id, now) is not None
        }
        self._want_approval(task, queue, queue.approval, rooms, valid, now)
        return valid

    def _want_approval(
        self,
        task: Task,
        queue: Queue,
        terms: ApprovalTerms,
        rooms: dict[str, CandidateWorker],
        approved: dict[str, CandidateWorker],
        now: float,
    ) -> None:
        """Note which workers to ask for, if the approved ones lack room for the step.

        Args:
            task: first waiting task of the step.
            queue: its queue.
            terms: terms of the queue.
            rooms: workers that may get tasks, by id.
            approved: those that are approved now.
            now: clock time in seconds.
        """
        stage = task.stage_name
        approvals = self._dispatcher.approvals
        if not approvals.may_request(stage, now):
            return
        record = self._dispatcher.job_by_id[task.task_id.job_id]
        n_tasks = record.count_ready(task.task_id.step, TaskPhase.WAITING)
        worker_ids = choose_workers_to_ask(
            task_need(task), n_tasks, rooms, approved, approvals, terms
        )
        if not worker_ids:
            return
        kind = ApprovalKind.FIRST
        if approvals.has_tickets(stage):
            kind = ApprovalKind.RENEWAL
        elif approvals.were_all_asked(stage, worker_ids):
            kind = ApprovalKind.REPEATED_QUESTION
        account = record.job.account
        self.wanted_approvals[stage] = ApprovalRequest(
            stage, worker_ids, terms, queue.priority, account, kind
        )

    def _find_ticket(self, stage: str, worker_id: str, now: float) -> Ticket | None:
        restarted_at = self._dispatcher.worker_by_id[worker_id].restart_noted_at
        return self._dispatcher.approvals.find_valid(
            stage, worker_id, now, restarted_at
        )

    def _plan_tasks(
        self,
        tasks: Iterable[Task],
        rooms: dict[str, CandidateWorker],
        usage: dict[str, Resources],
        account: Account | None,
        now: float,
        budget: RoundBudget,
    ) -> list[Task]:
        """Place the waiting tasks of a step; reserve workers for those left.

        Returns:
            The first task that waits though the round has tried to place it, if any.
        """
        is_full = False
        may_choose = True
        left: list[Task] = []
        chooser = StepChooser(rooms.values())
        tasks = iter(tasks)
        for task in tasks:
            if not budget.may_start_of_job:
                return left
            if not is_within_limit(usage, account, task.step.need, 1):
                return left or _find_waiting(chain([task], tasks))
            need = task_need(task)
            # The tasks of a step differ only in the workers reserved for them.
            own = self._reservations.find_room(task.text, rooms)
            candidates = rooms.values() if not is_full else [own] if own else []
            if self._gaps:
                room = self._gaps.choose(task, need, candidates)
            elif is_full:
                room = choose_worker(need, candidates)
            else:
                room = chooser.choose(need)
            if room is not None:
                self._begin_run(task, room, usage, now, budget)
                continue
            is_full = True
            if not task.step.is_lasting:
                left = _find_waiting(chain([task], tasks))
                if self._gaps and left:
                    self._gaps.hold(left[0], rooms, usage, account)
                return left
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
                left = left or [task]
                continue
            room = self._reservations.take_over(need, rooms.values())
            if room is not None:
                self._begin_run(task, room, usage, now, budget)
            else:
                left = left or [task]
                may_choose = False
        return left

    def _expected_ends(self, worker_id: str, now: float) -> list[ExpectedEnd]:
        return find_expected_ends(self._dispatcher, worker_id, now)

    def _plan_gang(
        self,
        tasks: list[Task],
        rooms: dict[str, CandidateWorker],
        usage: dict[str, Resources],
        account: Account | None,
        now: float,
        budget: RoundBudget,
    ) -> None:
        step = tasks[0].step
        if not is_within_limit(usage, account, step.need, len(tasks)):
            return
        if self._gaps:
            chosen = self._gaps.choose_for_gang(tasks, rooms)
        else:
            chosen = find_gang_rooms(tasks, rooms)
        if chosen is None:
            return
        # All tasks of a gang get the same run number and resume from one checkpoint.
        run = max(task.run for task in tasks)
        checkpoint = max((task.checkpoint for task in tasks), default="")
        for task, room in zip(tasks, chosen, strict=True):
            task.run = run
            task.checkpoint = checkpoint
            self._begin_run(task, room, usage, now, budget)

    def _begin_run(
        self,
        task: Task,
        room: CandidateWorker,
        usage: dict[str, Resources],
        now: float,
        budget: RoundBudget,
    ) -> None:
        worker = self._dispatcher.worker_by_id[room.worker_id]
        run = self._dispatcher.begin_run(worker, task, now)
        need = task_need(task)
        room.take(need)
        self._reservations.release(task.text, room)
        if self._gaps:
            self._gaps.note_start(need, room)
        name = run.record.job.account
        usage[name] = add(usage.get(name, NO_RESOURCES), task.step.need)
        run.ticket = self._find_ticket(task.stage_name, room.worker_id, now)
        text = run.ticket.text if run.ticket else ""
        budget.starts.append(PlannedStart(worker, run, text))


def _find_waiting(tasks: Iterable[Task]) -> list[Task]:
    """Return the first of the tasks that has no run, if any."""
    waiting = (task for task in tasks if task.phase is TaskPhase.WAITING)
    return list(islice(waiting, 1))
