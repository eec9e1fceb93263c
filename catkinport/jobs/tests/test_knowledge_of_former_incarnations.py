"""Tests of what is known of one incarnation of a worker when another one runs."""

import asyncio
from types import SimpleNamespace

import pytest

from ...policy.leadership import OwnLease
from ...ports import Reason, Unavailable
from ...ports.fleet_workers import Done, WorkerLists
from ..dispatch.task import ORDER_DELAY_SECONDS
from ..ownership.run_orders import RunOrders
from ..workers.worker_state import (
    MAX_OTHER_ENTRY_SECONDS,
    UNCERTAIN_WORKER_PAUSE_SECONDS,
)
from .builders import Fleet, make_job, make_step, make_worker


class TestBlameForACrash:
    def test_a_run_that_the_restarted_worker_lists_is_no_suspect(self):
        """Guards against a job that fails for crashes that its task did not cause.

        Its start had no answer before the restart and was carried out after it. The
        worker is cut off later, and the run is given up.
        """
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.advance(0.7)
        fleet.answer(start, Done())
        fleet.advance(0.5)
        fleet.poll("w1", started_at=2.0)
        fleet.advance(20.0)
        fleet.dispatcher.expire(fleet.now)
        assert fleet.dispatcher.runs_by_task == {}
        assert start.run.task.crash_by_run == {}


class TestCapacityOfTheFormerIncarnation:
    """A restarted worker may be of another kind, and its entry comes later."""

    def test_it_gives_no_room_on_a_worker_that_rejects_nothing(self):
        """Guards against tasks that exceed the capacity of a restarted worker."""
        fleet = Fleet([make_worker(cores=16.0)], forbids_overcommit=False)
        fleet.dispatcher.add_job(make_job(steps=[make_step(4)]), fleet.now)
        fleet.advance(0.3)
        fleet.poll("w1", started_at=2.0)
        assert fleet.plan() == []
        fleet.workers = [make_worker(cores=8.0, started_at=2.0)]
        fleet.dispatcher.update_workers(fleet.workers, fleet.now, fleet.now)
        assert len(fleet.plan()) == 2

    def test_its_labels_allow_no_step_that_needs_them(self):
        """Guards against a step on a worker that lacks the label it requires."""
        fleet = Fleet([make_worker(labels=("large", "r1"))])
        steps = [make_step(required_label="large")]
        fleet.dispatcher.add_job(make_job(steps=steps), fleet.now)
        fleet.advance(0.3)
        fleet.poll("w1", started_at=2.0)
        assert fleet.plan() == []
        fleet.workers = [make_worker(labels=("small", "r1"), started_at=2.0)]
        fleet.dispatcher.update_workers(fleet.workers, fleet.now, fleet.now)
        assert fleet.plan() == []
        fleet.workers = [make_worker(labels=("large", "r1"), started_at=2.0)]
        fleet.dispatcher.update_workers(fleet.workers, fleet.now, fleet.now)
        assert len(fleet.plan()) == 1

    def test_a_start_that_was_planned_by_it_is_not_sent(self):
        """Guards against a task that exceeds what the next incarnation has.

        Its first answer is processed between the planning and the sending of a start.
        """
        fleet = make_waiting_fleet()
        (planned,) = fleet.plan()
        fleet.advance(0.1)
        fleet.poll("w1", started_at=2.0)
        session = PausedSession(fleet)
        asyncio.run(RunOrders(session, session)._send_start(planned))
        assert session.n_starts == 0
        assert planned.run.key not in fleet.dispatcher.worker_by_id["w1"].run_by_key
        fleet.renew_entry("w1", 2.0)
        fleet.advance(UNCERTAIN_WORKER_PAUSE_SECONDS + 0.1)
        fleet.poll("w1", started_at=2.0)
        assert len(fleet.plan()) == 1


class TestEntryOfAnotherIncarnation:
    """Capacity and labels in an entry are those of the incarnation that wrote it."""

    def test_clock_that_was_set_back_makes_no_difference(self):
        """Guards against the kind of a former incarnation that seems to be the later.

        The wall clock of the worker was set back as it restarted.
        """
        fleet = make_waiting_fleet()
        fleet.poll("w1", started_at=0.5)
        assert fleet.plan() == []
        fleet.renew_entry("w1", 0.5)
        assert len(fleet.plan()) == 1

    def test_entry_that_is_ahead_of_the_answers_gives_no_room(self):
        """Guards against tasks by an entry whose incarnation hasn't answered yet."""
        fleet = make_waiting_fleet()
        fleet.renew_entry("w1", 2.0)
        assert fleet.plan() == []
        fleet.poll("w1", started_at=2.0)
        assert len(fleet.plan()) == 1

    @pytest.mark.parametrize("is_entry_renewed", [False, True])
    def test_entry_without_a_time_of_start_blocks_nothing(self, is_entry_renewed):
        """Guards against workers without tasks whose entries name no incarnation."""
        fleet = make_waiting_fleet(started_at=0.0)
        fleet.poll("w1", started_at=2.0)
        if is_entry_renewed:
            fleet.renew_entry("w1", 0.0)
        assert len(fleet.plan()) == 1

    @pytest.mark.parametrize(("listed", "answered"), [(1.0, 2.0), (2.0, 1.0)])
    def test_entry_that_is_never_renewed_blocks_for_a_time(self, listed, answered):
        """Guards against a worker that answers and gets no tasks for good."""
        fleet = make_waiting_fleet()
        blocked_until = fleet.now + MAX_OTHER_ENTRY_SECONDS
        while fleet.now < blocked_until:
            fleet.renew_entry("w1", listed)
            fleet.poll("w1", started_at=answered)
            assert fleet.plan() == []
            fleet.advance(0.5)
        fleet.advance(0.5)
        fleet.renew_entry("w1", listed)
        fleet.poll("w1", started_at=answered)
        assert len(fleet.plan()) == 1

    def test_time_without_reads_of_the_list_does_not_count(self):
        """Guards against tasks by a former entry after an outage of the list."""
        fleet = make_waiting_fleet()
        for _ in range(40):
            fleet.poll("w1", started_at=2.0)
            assert fleet.plan() == []
            fleet.advance(0.5)
        fleet.renew_entry("w1", 2.0)
        fleet.poll("w1", started_at=2.0)
        assert len(fleet.plan()) == 1

    def test_each_change_of_the_entry_counts_anew(self):
        """Guards against a restart that is ignored as the one before it was."""
        fleet = make_waiting_fleet()
        fleet.poll("w1", started_at=2.0)
        fleet.advance(MAX_OTHER_ENTRY_SECONDS + 0.5)
        fleet.renew_entry("w1", 1.0)
        fleet.poll("w1", started_at=2.0)
        assert fleet.dispatcher.worker_by_id["w1"].may_start(fleet.now)
        fleet.renew_entry("w1", 3.0)
        assert fleet.plan() == []
        fleet.poll("w1", started_at=4.0)
        fleet.renew_entry("w1", 3.0)
        assert fleet.plan() == []


def make_waiting_fleet(started_at: float = 1.0) -> Fleet:
    """Return a fleet of one worker, listed with ``started_at``, and a waiting job."""
    fleet = Fleet([make_worker(started_at=started_at)])
    fleet.dispatcher.add_job(make_job(), fleet.now)
    fleet.advance(0.3)
    return fleet


class TestFirstReportThatLacksEnds:
    def test_a_confirmed_run_waits_for_the_other_ends(self):
        """Guards against a second run of a task whose end is not listed yet.

        The restarted worker has more ends to list than one answer holds.
        """
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.advance(0.2)
        fleet.answer(start, Done())
        fleet.advance(0.2)
        lists = WorkerLists(2.0, [], [], may_lack_ends=True)
        fleet.dispatcher.on_worker_report("w1", lists, fleet.now, fleet.now)
        assert start.run.key in fleet.dispatcher.worker_by_id["w1"].run_by_key


class TestUncertainStartOfAPausedOwner:
    def test_it_is_remembered_from_its_sending_on(self):
        """Guards against a late start that a restarted worker gets no stop for.

        The owner was paused between its decision and the sending of the order.
        """
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (planned,) = fleet.plan()
        fleet.advance(4.0)
        session = PausedSession(fleet)
        orders = RunOrders(session, session)
        asyncio.run(orders._send_start(planned))
        fleet.advance(ORDER_DELAY_SECONDS - 3.0)
        fleet.dispatcher.expire(fleet.now)
        fleet.advance(2.0)
        fleet.dispatcher.expire(fleet.now)
        assert fleet.dispatcher.uncertain_starts.count("w1") == 1


class PausedSession:
    """A session whose worker answers no start, and its watch, which polls nothing."""

    def __init__(self, fleet):
        self.dispatcher = fleet.dispatcher
        self.clock = SimpleNamespace(now=lambda: fleet.now)
        self.lease = OwnLease(1, fleet.now)
        self.ports = SimpleNamespace(workers=self)
        self.wake = asyncio.Event()
        self.n_starts = 0

    def may_order(self):
        return True

    def check_fenced(self, outcome):
        return False

    async def start(self, *order):
        self.n_starts += 1
        return Unavailable(Reason.TIMEOUT, "worker-start", "w1", "", True)

    async def poll(self, worker, may_wait=True):
        pass
