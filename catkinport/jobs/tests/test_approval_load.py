"""Tests of queues that need approvals under load: bursts, large pools, slow services.

The planner and the turns are real. The advice service handles one call at a time, also
those that were given up, and its tickets hold from the moment at which it begins with a
call, the earliest that the platform's documentation leaves open.
"""

from typing import NamedTuple

import pytest

from ...ports.fleet_workers import Done, EndKind, Rejected, Rejection
from ..configuration import ApprovalTerms
from ..dispatch.approvals import Ticket
from ..placement.approval_turns import ApprovalCall, ApprovalTurns
from .builders import (
    QUEUE,
    Fleet,
    make_configuration,
    make_job,
    make_step,
    make_worker,
)

STEP_SECONDS = 0.05
TASK_SECONDS = 0.5


class Handling(NamedTuple):
    """A call that the service has received."""

    call: ApprovalCall
    begins_at: float
    ends_at: float


class AdvisedFleet:
    """A fleet whose queue needs approvals, and the service that gives them.

    Args:
        terms: terms of the queue.
        n_workers: number of workers of 16 cores.
        approved: ids of the workers that may run the steps; ``None`` for all.
        slowness: how many times as long as its terms say the service takes.

    Attributes:
        started_at: clock time in seconds of the first start of each job, by its id.
        n_rejected: number of starts that were rejected for their tickets.
        n_calls: number of calls.
        n_started: number of starts.
        is_hanging: whether the service answers nothing.
        keeps_running: whether tasks do not end.
        holds_from_answer: whether tickets hold from the answer of the service on.
    """

    def __init__(
        self,
        terms: ApprovalTerms,
        n_workers: int,
        approved: set[str] | None = None,
        slowness: float = 1.0,
    ) -> None:
        self.fleet = Fleet([make_worker(f"w{number}") for number in range(n_workers)])
        configuration = make_configuration(version=2)
        queue = configuration.queue_by_name[QUEUE]._replace(approval=terms)
        self.fleet.dispatcher.apply_configuration(
            configuration._replace(queue_by_name={QUEUE: queue})
        )
        self.started_at: dict[str, float] = {}
        self.n_rejected = 0
        self.n_calls = 0
        self.n_started = 0
        self.is_hanging = False
        self.keeps_running = False
        self.holds_from_answer = False
        self._terms = terms
        self._approved = approved
        self._slowness = slowness
        self._turns = ApprovalTurns()
        self._handlings: list[Handling] = []
        self._idle_at = 0.0
        self._issued_at: dict[tuple[str, str], float] = {}
        self._due_ends: list[tuple[float, object]] = []

    def submit(self, n_jobs: int, n_tasks: int = 1, account: str = "studio") -> None:
        """Submit jobs of one step."""
        n_present = len(self.fleet.dispatcher.job_by_id) + len(self.started_at)
        for number in range(n_jobs):
            job_id = f"{n_present + number + 1:016x}"
            job = make_job(job_id, [make_step(n_tasks)], account=account)
            self.fleet.dispatcher.add_job(job, self.fleet.now)

    def run(self, seconds: float) -> None:
        """Let time pass, in steps of `STEP_SECONDS`."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.fleet.advance(STEP_SECONDS)
            self._end_runs()
            self._answer()
            self.fleet.poll_all()
            for start in self.fleet.plan():
                self._carry_out(start)
            self._turns.update(self.fleet.planner.wanted_approvals, self.fleet.now)
            self._send()

    def replace_owner(self) -> None:
        """Forget all turns and tickets; the service goes on with what it has."""
        self._turns = ApprovalTurns()
        self._handlings.clear()
        self.fleet.dispatcher.approvals.__init__()

    def _send(self) -> None:
        now = self.fleet.now
        while (call := self._turns.take(now)) is not None:
            self.n_calls += 1
            begins_at = max(now, self._idle_at)
            seconds = self._terms.call_seconds(len(call.request.worker_ids))
            ends_at = begins_at + seconds * self._slowness
            if not self.is_hanging:
                self._idle_at = ends_at
            else:
                ends_at = float("inf")
            self._handlings.append(Handling(call, begins_at, ends_at))

    def _answer(self) -> None:
        now = self.fleet.now
        for handling in list(self._handlings):
            call = handling.call
            is_over = now >= call.sent_at + call.timeout_seconds
            if now < handling.ends_at and not is_over:
                continue
            self._handlings.remove(handling)
            self._turns.end(call, not is_over, now)
            if not is_over:
                self._note_answer(handling)

    def _note_answer(self, handling: Handling) -> None:
        call, stage = handling.call, handling.call.request.stage
        asked_ids = call.request.worker_ids
        good = [i for i in asked_ids if self._approved is None or i in self._approved]
        for worker_id in good:
            self._issued_at[stage, worker_id] = (
                handling.ends_at if self.holds_from_answer else handling.begins_at
            )
        ticket = Ticket("t", call.find_end(self.fleet.now), call.sent_at)
        self.fleet.dispatcher.approvals.note_answer(
            stage, dict.fromkeys(good, ticket), asked_ids
        )

    def _carry_out(self, start) -> None:
        run = start.run
        issued_at = self._issued_at[run.task.stage_name, run.worker_id]
        if self.fleet.now > issued_at + self._terms.valid_seconds:
            self.n_rejected += 1
            self.fleet.answer(start, Rejected(Rejection.TICKET))
            return
        self.fleet.answer(start, Done())
        self.started_at.setdefault(run.record.job.job_id, self.fleet.now)
        self.n_started += 1
        if not self.keeps_running:
            self._due_ends.append((self.fleet.now + TASK_SECONDS, start))

    def _end_runs(self) -> None:
        due = [start for at, start in self._due_ends if at <= self.fleet.now]
        self._due_ends = [e for e in self._due_ends if e[0] > self.fleet.now]
        for start in due:
            self.fleet.end(start, EndKind.DONE)


TERMS = ApprovalTerms(10.0, decide_seconds=1.0, each_seconds=0.12)


class TestBurst:
    def test_all_jobs_of_a_burst_start(self):
        """Guards against calls that are given up behind each other (review/12).

        Eight jobs come at once; a call takes 1.24 s for two workers.
        """
        fleet = AdvisedFleet(TERMS, 6)
        fleet.submit(8)
        fleet.run(8 * 1.24 + 1.0)
        assert len(fleet.started_at) == 8
        assert (fleet.n_calls, fleet.n_rejected) == (8, 0)

    def test_one_job_starts_in_a_large_pool(self):
        """Guards against a call that names all workers, and takes 13 s."""
        fleet = AdvisedFleet(TERMS, 200)
        fleet.submit(1)
        fleet.run(2.0)
        assert len(fleet.started_at) == 1

    def test_a_step_of_many_tasks_starts_together(self):
        """Guards against a step that asks for a few workers again and again."""
        fleet = AdvisedFleet(TERMS, 40)
        fleet.keeps_running = True
        fleet.submit(1, n_tasks=60)
        fleet.run(8.0)
        assert fleet.n_started == 60
        assert fleet.n_calls <= 3

    def test_a_step_that_few_workers_may_run_finds_them(self):
        """Guards against a search that asks for two workers at a time."""
        fleet = AdvisedFleet(TERMS, 60, approved={"w57"})
        fleet.submit(1)
        fleet.run(20.0)
        assert len(fleet.started_at) == 1
        assert fleet.n_calls <= 8

    def test_another_account_does_not_wait_behind_a_burst(self):
        """Guards against an account that is crowded out of the advice service."""
        fleet = AdvisedFleet(TERMS, 6)
        fleet.submit(12, account="busy")
        fleet.run(0.3)
        fleet.submit(1, account="calm")
        fleet.run(3.0)
        assert f"{13:016x}" in fleet.started_at


class TestService:
    @pytest.mark.parametrize("slowness", [1.5, 2.5])
    def test_jobs_start_while_it_is_slow(self, slowness):
        """Guards against calls that are always given up as the service is slow."""
        fleet = AdvisedFleet(TERMS, 6, slowness=slowness)
        fleet.submit(4)
        fleet.run(4 * 1.24 * slowness + 4.0)
        assert len(fleet.started_at) == 4

    def test_jobs_start_once_it_hangs_no_more(self):
        """Guards against steps that wait for good after calls without an answer."""
        fleet = AdvisedFleet(TERMS, 6)
        fleet.is_hanging = True
        fleet.submit(3)
        fleet.run(12.0)
        assert fleet.started_at == {}
        fleet.is_hanging = False
        fleet.run(14.0)
        assert len(fleet.started_at) == 3

    def test_jobs_start_after_a_change_of_the_owner(self):
        """Guards against calls of a new owner behind those of the former one."""
        fleet = AdvisedFleet(TERMS, 6)
        fleet.submit(6)
        fleet.run(2.0)
        fleet.replace_owner()
        fleet.run(12.0)
        assert len(fleet.started_at) == 6

    @pytest.mark.parametrize(
        "terms",
        [
            ApprovalTerms(3.0, decide_seconds=0.9, each_seconds=0.1),
            ApprovalTerms(5.0, decide_seconds=0.0, each_seconds=0.5),
        ],
    )
    def test_jobs_start_with_tickets_that_hold_for_a_short_time(self, terms):
        """Guards against tickets that are over as they come."""
        fleet = AdvisedFleet(terms, 8)
        fleet.submit(8)
        fleet.run(40.0)
        assert len(fleet.started_at) == 8

    def test_jobs_start_with_tickets_that_hold_from_the_answer_on(self):
        """Guards against tickets that are unused as a call takes as long as they hold.

        If they held from the beginning of the call, no client could use them.
        """
        terms = ApprovalTerms(1.0, decide_seconds=0.9, each_seconds=0.1)
        fleet = AdvisedFleet(terms, 8)
        fleet.holds_from_answer = True
        fleet.submit(8)
        fleet.run(40.0)
        assert len(fleet.started_at) == 8


class TestRoom:
    def test_a_step_asks_for_other_workers_once_the_approved_ones_are_full(self):
        """Guards against tasks that wait beside room until the tickets are over."""
        fleet = AdvisedFleet(TERMS, 40, approved={f"w{n}" for n in range(0, 40, 3)})
        fleet.keeps_running = True
        fleet.submit(1, n_tasks=30)
        fleet.run(9.0)
        assert fleet.n_started == 30
        assert fleet.n_rejected == 0

    def test_a_step_without_room_makes_no_calls(self):
        """Guards against renewals that take the turns of others."""
        fleet = AdvisedFleet(TERMS, 1)
        fleet.submit(1, n_tasks=4)
        fleet.run(1.5)
        n_calls = fleet.n_calls
        fleet.fleet.dispatcher.worker_by_id["w0"].is_cordoned = True
        fleet.submit(1)
        fleet.run(5.0)
        assert fleet.n_calls == n_calls
