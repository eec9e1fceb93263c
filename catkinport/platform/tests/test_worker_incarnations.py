"""Tests of calls and knowledge that outlive the incarnation they were made for."""

import asyncio

import pytest

from ...jobs.dispatch.task import ORDER_DELAY_SECONDS
from ...jobs.ownership import worker_watch
from ...jobs.ownership.session import RETRY_SECONDS
from ...jobs.ownership.state_store import STORE_WAIT_SECONDS
from ...jobs.workers.worker_state import LEASE_SECONDS, MAX_LEASE_SECONDS
from ...ports.fleet_workers import StartOrder
from ..client import Reply
from ..order_turns import MIN_ORDERS
from ..worker_client import POLL_PATH
from .restarted_workers import FIRST_CLOCK_SECONDS, RestartedWorkers


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(worker_watch, "POLL_PAUSE_SECONDS", 0.0)


class TestLateStartOnTheFormerClock:
    def test_its_lease_counts_until_it_can_be_carried_out_no_more(self):
        """Guards against a second run of a task on a worker that has restarted.

        Its job is canceled. The worker has confirmed a stop of the run, so it rejects
        the late start, but takes its lease, which ends far ahead on the new clock. The
        run of another job goes on under it.
        """
        scene = RestartedWorkers(["w1", "w2"])
        late = scene.hold_up_start("w1")
        scene.cancel_job(late)
        scene.submit(60.0)
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

    def test_it_counts_after_the_worker_was_removed_and_listed_again(self):
        """Guards against a second run after the entry of the worker has expired.

        The record of the worker is removed with the end of the lease, and a new one
        doesn't know of calls for an incarnation before.
        """
        scene = RestartedWorkers(["w1", "w2"])
        late = scene.hold_up_start("w1")
        scene.cancel_job(late)
        scene.submit(60.0)
        scene.worker_by_id["w1"].is_reachable = False
        scene.unlisted_ids.add("w1")
        scene.run_owner(6.0)
        assert "w1" not in scene.dispatcher.worker_by_id
        scene.worker_by_id["w1"].restart(scene.now)
        scene.worker_by_id["w1"].is_reachable = True
        scene.unlisted_ids.clear()
        scene.run_owner(4.0)
        assert scene.worker_by_id["w1"].incarnation.encode_lists(scene.now)["Running"]
        assert scene.deliver(late).body["Reason"] == "old"
        scene.worker_by_id["w1"].is_reachable = False
        scene.worker_by_id["w2"].is_reachable = True
        scene.run_owner(ORDER_DELAY_SECONDS)
        assert list(scene.second_runs()) == []


class UnreadableLists(RestartedWorkers):
    """A fleet whose later incarnations answer polls with lists that can't be read."""

    async def call(self, step, worker_id, peer, path, *arguments):
        reply = await super().call(step, worker_id, peer, path, *arguments)
        if path == POLL_PATH and isinstance(reply, Reply) and reply.body["born"] > 1000:
            reply.body["Running"] = [["w"]]
        return reply


class TestUnreadableListsOfTheNextIncarnation:
    def test_they_show_the_restart(self):
        """Guards against a second run on a worker that is cut off after such an answer.

        The owner has read only which incarnation has answered. A start for the former
        one is carried out late, with the longest lease.
        """
        scene = UnreadableLists(["w1", "w2"])
        late = scene.hold_up_start("w1")
        scene.worker_by_id["w1"].restart(scene.now)
        scene.unlisted_ids.add("w1")
        scene.poll("w1")
        scene.worker_by_id["w1"].is_reachable = False
        scene.worker_by_id["w2"].is_reachable = True
        assert scene.deliver(late).status == 200
        scene.run_owner(2 * ORDER_DELAY_SECONDS)
        assert list(scene.second_runs()) == []
        assert scene.worker_by_id["w2"].incarnation.encode_lists(scene.now)["Running"]


class TestPauseBetweenTwoPolls:
    """No poll is under way while the owner stores ends, or while it is paused.

    A restart in such a pause leaves no poll without an answer.
    """

    def test_the_next_poll_acknowledges_no_ends(self):
        """Guards against a second run of a task whose end nobody has read.

        The table service takes a second to store the ends in the answer before.
        """
        scene = RestartedWorkers(["w1"])
        scene.submit(0.3, n_tasks=2)
        scene.plan()
        scene.advance(0.4)
        scene.poll("w1")
        pause_seconds = STORE_WAIT_SECONDS + RETRY_SECONDS
        scene.advance(0.7)
        scene.worker_by_id["w1"].restart(scene.now)
        scene.submit(0.3)
        scene.plan()
        scene.advance(pause_seconds - 0.7)
        scene.store()
        scene.poll("w1")
        scene.run_owner(2.0)
        assert list(scene.second_runs()) == []


class DelayedAnswers(RestartedWorkers):
    """A fleet of one worker, which takes long to get some calls or to answer them.

    Attributes:
        delayed_path: path of the calls whose answers are delayed; empty for none.
        delayed_request_path: path of the calls that are delayed on their way there.
        arrival: set when they arrive.
        sent: path and body of each call, in the order of their sending.
    """

    def __init__(self) -> None:
        self.delayed_path = ""
        self.delayed_request_path = ""
        self.sent = []
        super().__init__(["w1"])
        self.arrival = asyncio.Event()

    async def call(
        self, step, worker_id, peer, path, timeout, body, headers, incarnation
    ):
        self.sent.append((path, body))
        is_delayed = path == self.delayed_path
        if path == self.delayed_request_path:
            await self.arrival.wait()
        reply = await super().call(
            step, worker_id, peer, path, timeout, body, headers, incarnation
        )
        if is_delayed:
            await self.arrival.wait()
        return reply

    async def poll_beside_others(self, may_wait=False):
        await self.watch.poll(self.dispatcher.worker_by_id["w1"], may_wait)

    async def send_more_starts_than_turns(self):
        """Send starts whose answers are delayed; the last one waits for its turn."""
        worker = self.dispatcher.worker_by_id["w1"].listed
        self.delayed_path = "/run-start"
        starts = []
        for number in range(MIN_ORDERS + 1):
            order = StartOrder(f"{1:016x}.0.0.{number}", 1, "seconds=9", "", "")
            start = self.session.ports.workers.start(worker, 1, order, 4.0)
            starts.append(asyncio.ensure_future(start))
            await asyncio.sleep(0)
        return starts

    def restart(self) -> None:
        self.worker_by_id["w1"].restart(self.now)

    def longest_lease_end(self) -> float:
        """Return the latest end of a lease of the calls since, on the worker's clock.

        The first incarnation has a clock that shows minutes.
        """
        return max(body.get("UntilMs", 0) for _, body in self.sent) / 1000


class TestFormerClock:
    def test_a_late_answer_does_not_bring_it_back(self):
        """Guards against a lease that is far longer than the owner counts on.

        Two polls are under way, as after a start without an answer. The answer of the
        former incarnation arrives after that of the later one.
        """
        scene = DelayedAnswers()

        async def run():
            scene.delayed_path = "/hold"
            late = asyncio.ensure_future(scene.poll_beside_others(may_wait=True))
            await asyncio.sleep(0)
            scene.delayed_path = ""
            scene.advance(0.3)
            scene.restart()
            scene.advance(0.7)
            await scene.poll_beside_others()
            scene.advance(0.5)
            scene.arrival.set()
            await late
            scene.sent.clear()
            await scene.poll_beside_others()
            return scene.longest_lease_end()

        assert asyncio.run(run()) <= 1.2 + LEASE_SECONDS

    def test_a_late_answer_does_not_bring_it_back_after_an_order_has_shown_it(self):
        """Guards against a lease and a number of an end that the next poll carries.

        The late answer is to a poll that read the lists only.
        """
        scene = DelayedAnswers()

        async def run():
            workers = scene.session.ports.workers
            listed = scene.dispatcher.worker_by_id["w1"].listed
            scene.delayed_path = "/hold"
            late = asyncio.ensure_future(workers.renew_lease(listed, 1, 0, 0.0, 0.0))
            await let_calls_begin()
            scene.delayed_path = ""
            scene.advance(0.1)
            scene.restart()
            outcome = await workers.stop(listed, 1, f"{1:016x}.0.0.0", 1)
            assert outcome.shows_restart
            scene.arrival.set()
            await late
            scene.sent.clear()
            await workers.renew_lease(listed, 1, 5, 4.0, 0.0)
            ((_, body),) = scene.sent
            return body

        body = asyncio.run(run())
        assert "UntilMs" not in body
        assert body["LastSeen"] == 0

    def test_a_start_that_has_waited_for_its_turn_is_not_sent_with_it(self):
        """Guards against a lease that begins after the report of the restart.

        The starts before it are still without an answer. The owner counts on the
        longest lease from that report on.
        """
        scene = DelayedAnswers()

        async def run():
            starts = await scene.send_more_starts_than_turns()
            scene.restart()
            scene.advance(0.2)
            await scene.poll_beside_others()
            scene.sent.clear()
            scene.arrival.set()
            await asyncio.gather(*starts)
            assert len(scene.sent) <= 1
            return scene.longest_lease_end() if scene.sent else 0.0

        assert asyncio.run(run()) <= 0.2 + LEASE_SECONDS


class TestStartThatWaitsForItsTurn:
    @pytest.mark.parametrize("seconds", [0.39, 3.0])
    def test_its_lease_counts_from_the_call(self, seconds):
        """Guards against a lease that ends after the owner has counted it as over.

        The owner counts it from its decision on, as it sends no call after that.
        """
        scene = DelayedAnswers()

        async def run():
            starts = await scene.send_more_starts_than_turns()
            scene.advance(seconds)
            scene.sent.clear()
            scene.arrival.set()
            await asyncio.gather(*starts)
            return scene.longest_lease_end()

        assert asyncio.run(run()) - FIRST_CLOCK_SECONDS <= MAX_LEASE_SECONDS


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


class TestStartAnsweredByTheNextIncarnation:
    def test_its_run_counts_for_the_longest_lease(self):
        """Guards against a second run on a worker that is cut off after its restart.

        It has answered no poll since, and its entry is that of the former incarnation.
        Only the answer to the start shows a clock that is far behind the known one.
        """
        scene = RestartedWorkers(["w1", "w2"])
        scene.worker_by_id["w2"].is_reachable = False
        scene.poll("w2")
        scene.is_list_old = True
        scene.worker_by_id["w1"].restart(scene.now)
        scene.submit(60.0)
        scene.plan()
        assert scene.worker_by_id["w1"].incarnation.encode_lists(scene.now)["Running"]
        scene.worker_by_id["w1"].is_reachable = False
        scene.worker_by_id["w2"].is_reachable = True
        scene.run_owner(11.0)
        assert list(scene.second_runs()) == []


class HeldCalls(RestartedWorkers):
    """A fleet of one worker, whose calls wait on their way.

    Attributes:
        gate_by_path: event that the calls of a path wait for.
    """

    def __init__(self) -> None:
        self.gate_by_path = {}
        super().__init__(["w1"])

    async def call(
        self, step, worker_id, peer, path, timeout, body, headers, incarnation
    ):
        gate = self.gate_by_path.get(path)
        if gate is not None:
            await gate.wait()
        return await super().call(
            step, worker_id, peer, path, timeout, body, headers, incarnation
        )


async def let_calls_begin():
    for _ in range(5):
        await asyncio.sleep(0)


class TestAcknowledgmentThatIsHeldUp:
    def test_it_reaches_no_incarnation_that_has_ends_of_its_own(self):
        """Guards against a second run of a task whose end nobody has read.

        The worker crashes just after an answer with ends, so no poll is without an
        answer. The next poll waits on the way until the worker is back.
        """
        scene = DelayedAnswers()
        scene.submit(0.3, n_tasks=2)
        scene.plan()
        scene.advance(0.4)
        scene.poll("w1")
        scene.store()
        scene.submit(0.3)

        async def run():
            scene.delayed_request_path = "/hold"
            held_up = asyncio.ensure_future(scene.poll_beside_others(may_wait=True))
            await asyncio.sleep(0)
            scene.delayed_request_path = ""
            scene.advance(0.4)
            scene.restart()
            for start in scene.find_starts():
                await scene.orders._send_start(start)
            scene.advance(0.4)
            scene.arrival.set()
            await held_up

        asyncio.run(run())
        scene.run_owner(2.0)
        assert list(scene.second_runs()) == []

    def test_it_is_given_up_although_a_poll_was_answered_meanwhile(self):
        """Guards against a second run where a start was under way during a poll.

        The clock was read anew from the former incarnation while the start was held up
        that the next one answers.
        """
        scene = HeldCalls()
        scene.submit(0.3, n_tasks=2)
        scene.plan()
        scene.advance(0.4)
        scene.submit(0.3)

        async def run():
            worker = scene.dispatcher.worker_by_id["w1"]
            start_gate, poll_gate = asyncio.Event(), asyncio.Event()
            scene.gate_by_path = {"/run-start": start_gate}
            (planned,) = scene.find_starts()
            start = asyncio.ensure_future(scene.orders._send_start(planned))
            await let_calls_begin()
            await scene.watch.poll(worker)
            scene.store()
            scene.gate_by_path = {"/hold": poll_gate}
            held_up = asyncio.ensure_future(scene.watch.poll(worker))
            await let_calls_begin()
            scene.gate_by_path = {}
            scene.advance(0.2)
            scene.worker_by_id["w1"].restart(scene.now)
            start_gate.set()
            await start
            scene.advance(0.4)
            poll_gate.set()
            await held_up

        asyncio.run(run())
        scene.run_owner(2.0)
        assert list(scene.second_runs()) == []

    def test_its_end_tells_nothing_of_the_incarnation_that_has_answered(self):
        """Guards against starts that are refused after each restart that is noticed."""
        scene = HeldCalls()

        async def run():
            worker = scene.dispatcher.worker_by_id["w1"]
            scene.gate_by_path = {"/hold": asyncio.Event()}
            held_up = asyncio.ensure_future(scene.watch.poll(worker))
            await let_calls_begin()
            scene.gate_by_path = {}
            scene.advance(0.1)
            scene.worker_by_id["w1"].restart(scene.now)
            scene.advance(0.1)
            await scene.watch.poll(worker, may_wait=False)
            await held_up
            return worker

        worker = asyncio.run(run())
        assert not worker.may_have_restarted
        workers = scene.session.ports.workers
        assert workers._clocks.known_incarnation("w1") == worker.started_at
