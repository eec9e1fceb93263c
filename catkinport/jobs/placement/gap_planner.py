"""Look-ahead placement of a planner: its holds, by pool, and what they rest on."""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from ...policy.account_shares import AccountTurn
from ...policy.durations import DurationModel
from ...policy.forecast_trust import ForecastTrust
from ...policy.job_order import Prospect, value_density
from ...policy.look_ahead import (
    MAX_HOLDS_PER_STEP,
    Forecast,
    GapHolds,
    Placement,
    Rank,
)
from ...policy.resources import Resources
from ...policy.worker_choice import CandidateWorker, TaskNeed
from ..configuration import Account
from ..dispatch.dispatcher import Dispatcher
from ..dispatch.record import JobRecord
from ..dispatch.task import Task
from ..workers.run import Run, RunPhase
from .account_usage import is_within_limit
from .gang_rooms import find_gang_rooms
from .pool_order import JobPlace
from .task_needs import task_need


class _JobTurn(NamedTuple):
    """The job whose tasks are being placed."""

    record: JobRecord
    holds: GapHolds
    rank: Rank
    benefit: float
    durations: DurationModel
    slack_seconds: float


class GapPlanner:
    """Places tasks beside the holds of their pool, and holds room for large ones.

    Args:
        dispatcher: jobs and workers.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._trust = ForecastTrust()
        self._holds_by_pool: dict[str, GapHolds] = {}
        self._turn: _JobTurn | None = None

    def holds_of(self, pool: str) -> GapHolds:
        """Return the holds of a pool; create them if absent."""
        if pool not in self._holds_by_pool:
            self._holds_by_pool[pool] = GapHolds(self._trust)
        return self._holds_by_pool[pool]

    def begin_pool(
        self, pool: str, rooms: Mapping[str, CandidateWorker], now: float
    ) -> None:
        """Begin a round of a pool, whose workers ``rooms`` may get tasks."""
        self.holds_of(pool).begin_round(
            rooms, now, lambda worker_id: self._find_forecasts(worker_id, now)
        )

    def begin_job(
        self, pool: str, record: JobRecord, place: JobPlace, now: float
    ) -> None:
        """Note that the next tasks are those of another job.

        Its place must be the one that the order gave it: a job that the order puts
        with the late ones for its wait would otherwise count as one that holds could
        make late, and no hold would bind it.
        """
        view = place.view
        slack_seconds = math.inf
        if place.prospect is Prospect.ON_TIME:
            expected_at = now + view.remaining_chain_seconds
            slack_seconds = view.accepted_at + view.objective_seconds - expected_at
        self._turn = _JobTurn(
            record,
            self.holds_of(pool),
            (
                place.prospect,
                place.turn is AccountTurn.SURPLUS,
                view.priority,
                place.turn,
            ),
            value_density(view),
            self._dispatcher.estimates.durations_of(record.job.queue),
            slack_seconds,
        )

    def end_pass(self) -> None:
        """Drop the holds that the rounds of a pass have not renewed."""
        for holds in self._holds_by_pool.values():
            holds.end_pass()

    def choose(
        self, task: Task, need: TaskNeed, rooms: Collection[CandidateWorker]
    ) -> CandidateWorker | None:
        """Return the best worker for a task, or ``None`` if it fits on none now."""
        turn = self._present_turn()
        return turn.holds.choose(_placement(turn, task, need), rooms)

    def choose_for_gang(
        self, tasks: list[Task], rooms: Mapping[str, CandidateWorker]
    ) -> list[CandidateWorker] | None:
        """Return a worker for each task of a gang, or ``None`` if they do not fit."""
        turn = self._present_turn()
        need = task_need(tasks[0])
        free = turn.holds.find_free(_placement(turn, tasks[0], need), rooms)
        chosen = find_gang_rooms(tasks, free)
        is_bound = chosen is None and len(free) < len(rooms)
        if is_bound and find_gang_rooms(tasks, rooms) is not None:
            turn.holds.note_kept(need.step)
        return chosen

    def hold(
        self,
        task: Task,
        rooms: Mapping[str, CandidateWorker],
        usage: Mapping[str, Resources],
        account: Account | None,
    ) -> None:
        """Hold room for the waiting tasks of a step, of which ``task`` is the first.

        Tasks that their account's limit keeps from starting get none.
        """
        turn = self._present_turn()
        if task.crash_by_run or task.step.is_filler:
            return
        n_waiting = turn.record.count_waiting(task.task_id.step)
        turn.holds.shapes.note(task.step.need, n_waiting)
        n_tasks = min(n_waiting, MAX_HOLDS_PER_STEP)
        while n_tasks and not is_within_limit(usage, account, task.step.need, n_tasks):
            n_tasks -= 1
        if n_tasks:
            placement = _placement(turn, task, task_need(task))
            turn.holds.hold(placement, n_tasks, rooms)

    def is_kept(self, task: Task) -> bool:
        """Return whether a task of the present job waits for nothing but holds."""
        return self._present_turn().holds.is_kept(task.stage_name)

    def note_start(self, need: TaskNeed, room: CandidateWorker) -> None:
        """Note that a task of the present job starts on the worker ``room``."""
        self._present_turn().holds.note_start(need, room)

    def _present_turn(self) -> _JobTurn:
        assert self._turn is not None
        return self._turn

    def _find_forecasts(self, worker_id: str, now: float) -> list[Forecast]:
        runs = self._dispatcher.worker_by_id[worker_id].run_by_key.values()
        return [
            self._forecast(run, now)
            for run in runs
            if run.phase is RunPhase.STOPPING or not run.task.step.is_lasting
        ]

    def _forecast(self, run: Run, now: float) -> Forecast:
        """Return the expected end of a run.

        A run that is overdue is expected to take as long again as it is overdue.
        """
        queue = run.record.job.queue
        seconds = 0.0
        if run.phase is not RunPhase.STOPPING:
            durations = self._dispatcher.estimates.durations_of(queue)
            expected_seconds = durations.predict(run.task.step.estimate_seconds)
            seconds = abs(run.asked_at + expected_seconds - now)
        return Forecast(seconds, task_need(run.task).counted_need, queue)


def _placement(turn: _JobTurn, task: Task, need: TaskNeed) -> Placement:
    seconds = turn.durations.predict(task.step.estimate_seconds)
    longest_seconds = math.inf
    if not task.step.is_lasting:
        longest_seconds = seconds * math.exp(turn.durations.deviation)
    return Placement(
        need, turn.rank, turn.benefit, seconds, longest_seconds, turn.slack_seconds
    )
