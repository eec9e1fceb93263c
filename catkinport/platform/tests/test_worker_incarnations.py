"""Tests of calls and knowledge that outlive the incarnation they were made for."""

import asyncio

import pytest

from ...jobs.ownership import worker_watch
from ...jobs.workers.run import ORDER_DELAY_SECONDS
from ...jobs.workers.worker_state import LEASE_SECONDS
from ...ports.fleet_workers import StartOrder
from ..order_turns import MIN_ORDERS
from .restarted_workers import RestartedWorkers


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(worker_watch, "POLL_PAUSE_SECONDS", 0.0)


class TestLateStartOnTheFormerClock:
    def test_its_lease_counts_until_it_can_be_carried_out_no_more(self):
        """Guards against a second run of a task on a worker that has restarted.

        The worker has confirmed a stop of the run, so it rejects the late start, but
        takes its lease, which ends far ahead on the new clock.
        """
        scene = RestartedWorkers(["w1", "w2"])
        scene.worker_by_id["w2"].is_reachable = False
        scene.poll("w2")
        scene.submit(60.0)
        scene.holds_up = "/run-start"
        scene.plan()
        scene.holds_up = ""
        (late,) = scene.held_up
        assert late.worker_id == "w1"
        scene.worker_by_id["w1"].is_reachable = False
        scene.advance(0.5)
        scene.poll("w1")
        scene.worker_by_id["w1"].restart(scene.now)
        scene.worker_by_id["w1"].is_reachable = True
        scene.run_owner(8.0)
        assert scene.worker_by_id["w1"].incarnation.encode_lists(scene.now)["Running"]
        assert scene.deliver(late).body["Reason"] == "old"
        scene.worker_by_id["w1"].is_reachable = False
        scene.worker_by_id["w2"].is_reachable = True
        scene.run_owner(ORDER_DELAY_SECONDS)
        assert list(scene.second_runs()) == []


class DelayedAnswers(RestartedWorkers):
    """A fleet of one worker, whose answers to some calls are on their way for long.

    Attributes:
        delayed_path: path of the calls whose answers are delayed; empty for none.
        arrival: set when they arrive.
        sent: path and body of each call, in the order of their sending.
    """

    def __init__(self) -> None:
        self.delayed_path = ""
        self.sent = []
        super().__init__(["w1"])
        self.arrival = asyncio.Event()

    async def call(self, step, method, peer, path, timeout, body, headers):
        self.sent.append((path, body))
        is_delayed = path == self.delayed_path
        reply = await super().call(step, method, peer, path, timeout, body, headers)
        if is_delayed:
            await self.arrival.wait()
        return reply

    async def poll_beside_others(self, may_wait=False):
        await self.watch.poll(self.dispatcher.worker_by_id["w1"], may_wait)

    def restart(self) -> None:
        self.worker_by_id["w1"].restart(self.now)

    def longest_lease_end(self) -> float:
        """Return the latest end of a lease of the calls since, on the worker's clock.

        The first incarnation has a clock that shows minutes.
        """
        return max(body.get("UntilMs", 0) for _, body in self.sent) / 1000


class TestFormerClock:
    def test_a_start_that_has_waited_for_its_turn_is_not_sent_with_it(self):
        """Guards against a lease that begins after the report of the restart.

        The starts before it are still without an answer. The owner counts on the
        longest lease from that report on.
        """
        scene = DelayedAnswers()

        async def run():
            worker = scene.dispatcher.worker_by_id["w1"].listed
            scene.delayed_path = "/run-start"
            starts = []
            for number in range(MIN_ORDERS + 1):
                order = StartOrder(f"{1:016x}.0.0.{number}", 1, "seconds=9", "", "")
                start = scene.session.ports.workers.start(worker, 1, order, 4.0)
                starts.append(asyncio.ensure_future(start))
                await asyncio.sleep(0)
            scene.restart()
            scene.advance(0.2)
            await scene.poll_beside_others()
            scene.sent.clear()
            scene.arrival.set()
            await asyncio.gather(*starts)
            assert len(scene.sent) <= 1
            return scene.longest_lease_end() if scene.sent else 0.0

        assert asyncio.run(run()) <= 0.2 + LEASE_SECONDS


class TestOrdersThatNameARun:
    """A run number is used once, so an order for it can't mean a later run."""

    @pytest.mark.parametrize("call", ["stop", "limit_speed"])
    def test_a_late_one_changes_nothing_on_the_next_incarnation(self, call):
        """Guards against a later run of the task that it ends or slows down."""
        scene = RestartedWorkers(["w1"])
        scene.submit(30.0)
        scene.plan()
        workers = scene.session.ports.workers
        listed = scene.dispatcher.worker_by_id["w1"].listed
        scene.holds_up = "/run-stop" if call == "stop" else "/pace"
        arguments = [] if call == "stop" else [10]
        task = f"{1:016x}.0.0.0"
        asyncio.run(getattr(workers, call)(listed, 1, task, 1, *arguments))
        scene.holds_up = ""
        scene.worker_by_id["w1"].restart(scene.now)
        scene.run_owner(3.0)
        lists = scene.worker_by_id["w1"].incarnation.encode_lists(scene.now)
        ((_, run, _, percent, _),) = lists["Running"]
        assert run > 1
        (late,) = scene.held_up
        scene.deliver(late)
        scene.run_owner(3.0)
        lists = scene.worker_by_id["w1"].incarnation.encode_lists(scene.now)
        assert [(entry[1], entry[3]) for entry in lists["Running"]] == [
            (run, percent + 10)
        ]
        assert list(scene.second_runs()) == []
