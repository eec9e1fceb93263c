"""Tests of orders to workers whose answers cross other messages."""

import asyncio
import logging
import time
from types import SimpleNamespace

import pytest

from ...policy.leadership import STOP_RENEWING_SECONDS, OwnLease
from ...ports import Reason, Unavailable
from ...ports.fleet_workers import Done, Rejected, Rejection, WorkerLists
from ...runtime import Metrics
from ..ownership.run_orders import RunOrders
from ..ownership.worker_watch import WorkerWatch
from ..placement.run_stops import find_stops
from ..placement.start_repeats import find_start_repeats
from ..workers.worker_state import UNCERTAIN_WORKER_PAUSE_SECONDS
from .builders import JOB_ID, Fleet, make_job, make_step, make_worker

UNCERTAIN = Unavailable(Reason.TIMEOUT, "worker-start", "w1", "", True)


class FakeSession:
    """A session whose worker confirms each stop after ``before_answer`` has run."""

    def __init__(self, fleet, before_answer):
        self.dispatcher = fleet.dispatcher
        self.clock = SimpleNamespace(now=lambda: fleet.now)
        self.lease = OwnLease(1, 0.0)
        self.ports = SimpleNamespace(workers=self)
        self.wake = asyncio.Event()
        self._before_answer = before_answer
        self.is_allowed = True
        self.n_starts = 0

    def may_order(self):
        return self.is_allowed

    async def start(self, worker, token, order, lease_seconds):
        self.n_starts += 1
        return Done()

    async def stop(self, worker, token, task, run):
        self._before_answer()
        return Done()

    def check_fenced(self, outcome):
        return False


class FakeWatch:
    async def poll(self, worker, may_wait=True):
        """Poll nothing; the tests report themselves."""

    def note_unknown_incarnation(self, worker):
        worker.note_no_answer()


class TestStopAcrossRestart:
    def test_it_does_not_count_for_the_restarted_worker(self):
        """Guards against a late start on a restarted worker that has seen no stop.

        The worker confirms the stop and restarts, and the report of the restart
        arrives before the confirmation.
        """
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN)
        fleet.poll("w1")
        fleet.dispatcher.cancel_job(JOB_ID)
        session = FakeSession(fleet, lambda: fleet.poll("w1", started_at=2.0))
        orders = RunOrders(session, FakeWatch())
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        asyncio.run(orders._send_stop(stop))
        fleet.advance(0.7)
        fleet.poll("w1", started_at=2.0)
        assert start.run.key in fleet.dispatcher.worker_by_id["w1"].run_by_key
        assert len(list(find_stops(fleet.dispatcher, fleet.now))) == 1

    def test_one_without_an_answer_yet_does_not_hold_up_the_next(self):
        """Guards against a late start on a restarted worker that waits for its stop.

        The stop that was sent to the former incarnation has no answer yet, and may take
        seconds to fail.
        """
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN)
        fleet.poll("w1")
        fleet.dispatcher.cancel_job(JOB_ID)
        sent = []

        async def run():
            session = FakeSession(fleet, lambda: None)
            session.spawn = asyncio.ensure_future
            is_answered = asyncio.Event()

            async def stop(worker, token, task, run):
                sent.append(run)
                await is_answered.wait()
                return Done()

            session.stop = stop
            orders = RunOrders(session, FakeWatch())
            for started_at in (1.0, 2.0, 2.0):
                fleet.poll("w1", started_at=started_at)
                orders._begin_stops(fleet.now)
                await asyncio.sleep(0)
            is_answered.set()

        asyncio.run(run())
        assert sent == [1, 1]

    def test_it_counts_without_a_restart(self):
        """Guards against a canceled job that goes on although its stop is confirmed."""
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        fleet.answer(start, UNCERTAIN)
        fleet.poll("w1")
        fleet.dispatcher.cancel_job(JOB_ID)
        session = FakeSession(fleet, lambda: None)
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        asyncio.run(RunOrders(session, FakeWatch())._send_stop(stop))
        fleet.advance(0.7)
        fleet.poll("w1")
        assert fleet.dispatcher.worker_by_id["w1"].run_by_key == {}
        assert fleet.states() == {JOB_ID: "canceled"}


class TestPollAfterStartWithoutAnswer:
    def test_it_renews_no_lease_once_the_owner_must_stop_renewing(self):
        """Guards against a task that runs twice after an owner was cut off the store.

        A successor that can't reach a worker takes its tasks for ended a lease after
        `STOP_RENEWING_SECONDS`. The owner sends a start just before that time, and the
        poll that follows the lost answer comes seconds after it.
        """
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        session = FakeSession(fleet, lambda: None)
        session.lease = OwnLease(1, fleet.now)
        lease_seconds_of_polls = []

        async def start(worker, token, order, lease_seconds):
            fleet.advance(1.9)
            return UNCERTAIN

        async def renew_lease(worker, token, end, lease_seconds, wait_seconds):
            lease_seconds_of_polls.append(lease_seconds)
            return WorkerLists(1.0, [], [])

        session.start = start
        session.renew_lease = renew_lease
        session.bound_answer = lambda worker_id: 0.6
        orders = RunOrders(session, WorkerWatch(session, None, 0.0))
        fleet.advance(STOP_RENEWING_SECONDS - 1.0)
        fleet.poll("w1")
        (planned,) = fleet.plan()
        fleet.advance(0.9)
        fleet.poll("w1")

        async def run():
            await orders._send_start(planned)

        asyncio.run(run())
        assert session.lease.must_stop_renewing(fleet.now)
        assert not any(lease_seconds_of_polls)


class TestLogOfStarts:
    def log_start(self, caplog, outcome):
        """Send a start with an outcome, and return the fields of its line."""
        caplog.set_level(logging.INFO)
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.poll("w1", started_at=3.0)
        fleet.renew_entry("w1", 3.0)
        (planned,) = fleet.plan()
        session = FakeSession(fleet, lambda: None)

        async def start(worker, token, order, lease_seconds):
            return outcome

        session.start = start
        asyncio.run(RunOrders(session, FakeWatch())._send_start(planned))
        (line,) = [r for r in caplog.records if r.getMessage() == "run ordered"]
        return line.event_fields

    @pytest.mark.parametrize(
        ("outcome", "reason"),
        [
            (Unavailable(Reason.RESTARTED, "worker-start", "w1"), "restarted"),
            (UNCERTAIN, "timeout"),
            (Rejected(Rejection.LATE), "late"),
        ],
    )
    def test_reason_comes_first(self, caplog, outcome, reason):
        """Guards against a start that a restart has prevented and nobody can tell."""
        fields = self.log_start(caplog, outcome)
        assert next(iter(fields.items())) == ("reason", reason)
        assert fields["incarnation"] == 3.0

    def test_a_start_that_was_carried_out_has_no_reason(self, caplog):
        """Guards against starts that look like failed ones."""
        assert "reason" not in self.log_start(caplog, Done())


class TestStartAfterPause:
    def test_it_is_not_sent_once_the_ownership_may_be_over(self):
        """Guards against a start of an owner that was paused before it was sent."""
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (start,) = fleet.plan()
        session = FakeSession(fleet, lambda: None)
        session.is_allowed = False
        asyncio.run(RunOrders(session, FakeWatch())._send_start(start))
        assert session.n_starts == 0
        assert start.run.key not in start.worker.run_by_key

    def test_a_stop_is_not_sent_once_the_ownership_may_be_over(self):
        """Guards against a paused owner that ends what its successor keeps running.

        A worker that has restarted has forgotten the token of the successor.
        """
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        fleet.start()
        fleet.dispatcher.cancel_job(JOB_ID)
        stopped = []
        session = FakeSession(fleet, lambda: stopped.append("w1"))
        session.is_allowed = False
        (stop,) = find_stops(fleet.dispatcher, fleet.now)
        asyncio.run(RunOrders(session, FakeWatch())._send_stop(stop))
        assert stopped == []
        fleet.advance(0.5)
        assert list(find_stops(fleet.dispatcher, fleet.now)) == [stop]


class HangingWorkers:
    """Workers that leave each order unanswered for long; counts the orders."""

    def __init__(self):
        self.n_starts = 0
        self.n_stops = 0

    async def start(self, *args):
        self.n_starts += 1
        await asyncio.sleep(60.0)

    async def stop(self, *args):
        self.n_stops += 1
        await asyncio.sleep(60.0)


class TestOrdersInFlight:
    def _orders(self, n_tasks, n_workers=1):
        fleet = Fleet([make_worker(f"w{i}") for i in range(n_workers)])
        fleet.dispatcher.add_job(
            make_job(steps=[make_step(n_tasks)]), fleet.now, age_seconds=0.0
        )
        session = FakeSession(fleet, lambda: None)
        workers = HangingWorkers()
        session.ports = SimpleNamespace(workers=workers)
        session.tasks = []
        session.spawn = lambda call: session.tasks.append(asyncio.ensure_future(call))
        session.store_wake = asyncio.Event()
        session.lease = OwnLease(1, fleet.now)
        return fleet, workers, session, RunOrders(session, FakeWatch())

    async def _end(self, session):
        for task in session.tasks:
            task.cancel()
        await asyncio.wait(session.tasks)

    def test_starts_are_limited(self):
        """Guards against an owner that orders more than it can read answers of."""

        async def run():
            fleet, workers, session, orders = self._orders(4, n_workers=2)
            other = make_job("b" * 16, [make_step(4)])
            fleet.dispatcher.add_job(other, fleet.now)
            orders._start_limit = SimpleNamespace(n_free=1, begin=lambda: None)
            orders._plan()
            orders._start_limit.n_free = 0
            orders._plan()
            await asyncio.sleep(0)
            assert workers.n_starts == 4
            assert len(fleet.dispatcher.runs_by_task) == workers.n_starts
            await self._end(session)

        asyncio.run(run())

    def test_a_stop_is_not_repeated_while_it_is_in_flight(self):
        """Guards against a growing number of stops for one run that only is slow."""

        async def run():
            fleet, workers, session, orders = self._orders(4)
            fleet.start()
            fleet.dispatcher.cancel_job(JOB_ID)
            for _ in range(3):
                orders._plan()
                await asyncio.sleep(0)
                fleet.advance(0.5)
            assert workers.n_stops == 4
            await self._end(session)

        asyncio.run(run())

    def test_no_stop_counts_as_sent_while_no_order_may_be_sent(self):
        """Guards against a stop that is sent later as if it repeated an earlier one.

        The first stop of a lasting task that leaves its zone asks for the budget of its
        step; a repetition does not.
        """

        async def run():
            fleet, workers, session, orders = self._orders(1)
            (start,) = fleet.start()
            start.run.is_evacuated = True
            session.is_allowed = False
            orders._plan()
            assert start.run.stop_sent_at == 0.0
            session.is_allowed = True
            orders._plan()
            await asyncio.sleep(0)
            assert workers.n_stops == 1
            await self._end(session)

        asyncio.run(run())


class UnansweringSession(FakeSession):
    """A session whose worker answers no start."""

    async def start(self, worker, token, order, lease_seconds):
        return UNCERTAIN


class CountingWatch(FakeWatch):
    """A watch that counts its polls and reports that the worker runs nothing."""

    def __init__(self, fleet):
        self.n_polls = 0
        self._fleet = fleet

    async def poll(self, worker, may_wait=True):
        assert not may_wait
        self.n_polls += 1
        self._fleet.advance(0.1)
        self._fleet.poll(worker.worker_id)


class TestStartWithoutAnswer:
    def test_worker_is_polled_at_once(self):
        """Guards against a lost start that waits for the end of a long poll."""
        fleet = Fleet([make_worker("w1")])
        job = make_job(steps=[make_step(is_lasting=True)])
        fleet.dispatcher.add_job(job, fleet.now)
        (start,) = fleet.plan()
        watch = CountingWatch(fleet)
        session = UnansweringSession(fleet, lambda: None)
        asyncio.run(RunOrders(session, watch)._send_start(start))
        assert watch.n_polls == 1
        fleet.advance(UNCERTAIN_WORKER_PAUSE_SECONDS)
        (again,) = find_start_repeats(fleet.dispatcher, fleet.now)
        assert again.run is start.run


class TestPauseAfterRound:
    def _find_interval(self, plan) -> float:
        """Return the time between two rounds, of which the first one calls ``plan``."""

        async def run() -> float:
            session = FakeSession(Fleet([make_worker("w1")]), lambda: None)
            session.ports.metrics = Metrics()
            orders = RunOrders(session, FakeWatch())
            orders._report_stalls = lambda: None
            began_at = []

            def plan_once():
                began_at.append(time.monotonic())
                session.wake.set()
                if len(began_at) == 1:
                    plan()

            orders._plan = plan_once
            task = asyncio.ensure_future(orders.run())
            while len(began_at) < 2:
                await asyncio.sleep(0.005)
            task.cancel()
            return began_at[1] - began_at[0]

        return asyncio.run(run())

    def test_a_long_round_leaves_half_of_the_time_to_others(self):
        """Guards against an owner that only plans, and reads answers too late."""

        def use_processor():
            end_at = time.thread_time() + 0.1
            while time.thread_time() < end_at:
                pass

        assert self._find_interval(use_processor) >= 0.2

    def test_a_round_that_was_interrupted_is_followed_by_the_next_one(self):
        """Guards against a pause that is as long as the one of a paused process."""
        assert self._find_interval(lambda: time.sleep(0.5)) < 0.9
