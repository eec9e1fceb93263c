"""Tests of the lease ends that orders to workers carry."""

import asyncio
from types import SimpleNamespace

import pytest

from ...policy.resources import Resources
from ...ports import Reason, Unavailable
from ...ports.async_table import Snapshot
from ...ports.fleet_workers import (
    Done,
    ListedWorker,
    Rejected,
    Rejection,
    StartOrder,
)
from ...ports.table import Row, RowKey
from ..client import Reply
from ..workers import PlatformWorkers
from ..workers_codec import decode_worker

ORDER = StartOrder("00000000000000a1.0.0.0", 1, "s", "", "")
LOST = Unavailable(Reason.TIMEOUT, "call", "h:1", "", True)
OLD_CLOCK_MS = 486_000


class FakeClient:
    """Records the bodies of calls and answers as one incarnation of a worker.

    Attributes:
        born: start of the incarnation in Unix milliseconds.
        clock_ms: its clock.
        is_lost: whether the answers are lost.
        answer_seconds: time that an answer takes besides the requested wait.
        rejection: answer to all calls; ``None`` for the usual ones.
        sent: path and body of each call.
    """

    def __init__(self):
        self.born = 1_000
        self.clock_ms = OLD_CLOCK_MS
        self.is_lost = False
        self.answer_seconds = 0.0
        self.rejection = None
        self.sent = []

    async def call(
        self, step, worker_id, peer, path, timeout, body, headers, incarnation
    ):
        self.sent.append((path, body))
        seconds = self.answer_seconds + body.get("WaitMs", 0) / 1000
        if self.is_lost or seconds > timeout:
            return LOST
        if self.rejection is not None:
            return self.rejection
        if path == "/hold":
            lists = {"Running": [], "Ended": [], "born": self.born}
            return Reply(200, {"ClockMs": self.clock_ms, **lists}, seconds)
        return Reply(200, {"ClockMs": self.clock_ms}, seconds)

    def restart(self):
        """Replace the incarnation by one that starts now under the same id."""
        self.born += 500_000
        self.clock_ms = 0


class Scene:
    """A client of a single worker, and the worker's entry in the list."""

    def __init__(self):
        self.client = FakeClient()
        clock = SimpleNamespace(now=lambda: 100.0)
        self.workers = PlatformWorkers(self.client, None, clock)
        self.listed = ListedWorker(
            "i-1", "p", "h:1", "z", False, 0.0, Resources(4.0, 8.0, 0), (), 1.0
        )

    def hold(self, lease_seconds=4.0, wait_seconds=1.0, end=0):
        """Renew the lease; return the body of the call."""
        call = self.workers.renew_lease(
            self.listed, 7, end, lease_seconds, wait_seconds
        )
        asyncio.run(call)
        return self.client.sent[-1][1]

    def hold_outcome(self):
        call = self.workers.renew_lease(self.listed, 7, 0, 4.0, 1.0)
        return asyncio.run(call)

    def start(self):
        return asyncio.run(self.workers.start(self.listed, 7, ORDER, 4.0))

    def list_restarted(self):
        self.listed = self.listed._replace(started_at=self.client.born / 1000)


class TestLateAnswers:
    @pytest.mark.parametrize("seconds", [0.61, 0.7, 1.0, 1.6, 2.0])
    def test_polls_are_answered_after_a_few(self, seconds):
        """Guards against workers that stay out of contact where answers take long.

        A poll was given up 0.6 s after its wait, whatever the answers before had taken.
        """
        scene = Scene()
        scene.client.answer_seconds = seconds
        for _ in range(4):
            scene.hold()
        outcomes = [scene.hold_outcome() for _ in range(5)]
        assert not any(isinstance(outcome, Unavailable) for outcome in outcomes)

    @pytest.mark.parametrize("seconds", [0.5, 0.7, 1.0, 1.6, 2.0])
    def test_starts_are_answered_once_polls_are(self, seconds):
        """Guards against starts that are all given up, and stopped where they run.

        The timeout of orders followed the answers of orders only, of which none came.
        """
        scene = Scene()
        scene.client.answer_seconds = seconds
        for _ in range(5):
            scene.hold()
        assert isinstance(scene.start(), Done)

    def test_the_bound_of_a_worker_follows_its_answers(self):
        """Guards against a worker that counts as out of contact before its answer."""
        scene = Scene()
        assert scene.workers.bound_answer("i-1") == 0.6
        scene.client.answer_seconds = 1.0
        for _ in range(5):
            scene.hold()
        assert scene.workers.bound_answer("i-1") > 1.0


class TestStartsBesideStops:
    N_STOPS = 400
    N_STARTS = 16

    def test_all_members_of_a_gang_are_sent(self):
        """Guards against starts that are given up behind the stops of canceled jobs.

        The members that did start waited for the others, and ended alone.
        """
        scene = Scene()
        scene.hold()
        answer = scene.client.call

        async def call(*arguments):
            await asyncio.sleep(0.01)
            return await answer(*arguments)

        async def run():
            scene.client.call = call
            stops = [
                scene.workers.stop(scene.listed, 7, ORDER.task, run)
                for run in range(self.N_STOPS)
            ]
            starts = [
                scene.workers.start(scene.listed, 7, ORDER, 4.0)
                for _ in range(self.N_STARTS)
            ]
            outcomes = await asyncio.gather(*stops, *starts)
            return outcomes[self.N_STOPS :]

        assert all(isinstance(outcome, Done) for outcome in asyncio.run(run()))


class TestLeaseEnd:
    def test_first_call_grants_no_lease(self):
        """Guards against a lease that is computed without the worker's clock."""
        scene = Scene()
        assert "UntilMs" not in scene.hold()
        assert scene.hold()["UntilMs"] == OLD_CLOCK_MS + 4000

    def test_call_without_a_lease_is_answered_at_once(self):
        """Guards against a worker that waits while the next call has to renew."""
        scene = Scene()
        assert "WaitMs" not in scene.hold()
        assert scene.hold()["WaitMs"] == 1000

    def test_the_clock_is_unknown_after_a_poll_without_an_answer(self):
        """Guards against a lease that is far longer than the owner believes.

        The worker restarted under its id, so that its clock shows less than before.
        """
        scene = Scene()
        scene.hold()
        scene.client.is_lost = True
        assert "UntilMs" in scene.hold()
        scene.client.is_lost = False
        scene.client.restart()
        assert "UntilMs" not in scene.hold()
        assert scene.hold()["UntilMs"] == 4000

    def test_no_end_is_acknowledged_while_the_clock_is_unknown(self):
        """Guards against an end that nobody has read, of an incarnation not known."""
        scene = Scene()
        assert scene.hold(end=57)["LastSeen"] == 0
        assert scene.hold(end=57)["LastSeen"] == 57

    def test_listed_restart_grants_no_lease(self):
        """Guards against a lease of `HoldMaxMs`, from the clock before a restart."""
        scene = Scene()
        scene.hold()
        scene.client.restart()
        scene.list_restarted()
        assert "UntilMs" not in scene.hold()
        assert scene.hold()["UntilMs"] == 4000

    def test_no_run_starts_before_the_restarted_worker_has_reported(self):
        """Guards against a start whose lease is taken from the former clock."""
        scene = Scene()
        scene.hold()
        scene.client.restart()
        scene.list_restarted()
        outcome = scene.start()
        assert isinstance(outcome, Unavailable)
        assert not outcome.may_have_committed
        scene.hold()
        assert isinstance(scene.start(), Done)
        assert scene.client.sent[-1][1]["UntilMs"] == 4000

    def test_entry_from_before_the_restart_does_not_matter(self):
        """Guards against a restarted worker that waits for its entry in the list."""
        scene = Scene()
        scene.hold()
        scene.client.restart()
        scene.hold()
        assert scene.hold()["UntilMs"] == 4000

    def test_answer_to_an_order_does_not_set_the_clock(self):
        """Guards against a clock of an incarnation that has not been identified."""
        scene = Scene()
        scene.hold()
        scene.client.restart()
        scene.list_restarted()
        asyncio.run(scene.workers.stop(scene.listed, 7, ORDER.task, 1))
        assert "UntilMs" not in scene.hold()


class FakeTable:
    """Lists workers by ``capacity_by_worker``, as the store has it."""

    def __init__(self, capacity_by_worker):
        self.capacity_by_worker = capacity_by_worker

    async def read_range(self, table):
        entry = {"Service": "p", "Address": "h:1", "Zone": "z", "State": "ready"}
        rows = [
            Row(RowKey(table, worker_id), 1, {**entry, "Capacity": capacity})
            for worker_id, capacity in self.capacity_by_worker.items()
        ]
        return Snapshot(rows, 1)


class TestMalformedCapacity:
    @pytest.mark.parametrize(
        "capacity",
        [None, [], "16", {"Cpu": -1}, {"MemMb": float("nan")}, {"Gpu": "1"}],
    )
    def test_entry_is_left_out_and_logged_once(self, capacity, caplog):
        """Guards against an entry that ends the ownership, or starts by its amounts."""
        table = FakeTable({"i-1": capacity, "i-2": {"Cpu": 4000, "MemMb": 8192}})
        workers = PlatformWorkers(None, table, None)
        for _ in range(2):
            listed = asyncio.run(workers.list_workers())
            assert [worker.worker_id for worker in listed] == ["i-2"]
        assert caplog.messages.count("worker entry ignored") == 1


class TestColdWorkers:
    @pytest.mark.parametrize(
        ("field", "seconds"),
        [({"ColdLeftMs": 2500}, 2.5), ({}, 0.0), ({"ColdLeftMs": "soon"}, 0.0)],
    )
    def test_entry_tells_how_long_it_is_slow(self, field, seconds):
        """Guards against a worker that is left out for a field of minor importance."""
        entry = {"Service": "p", "Address": "h:1", "Zone": "z", "State": "ready"}
        worker = decode_worker("i-1", {**entry, "Capacity": {}, **field})
        assert worker.cold_seconds == seconds


class TestRejections:
    # Guards against a rejected poll or order that raises instead of telling the reason.
    @pytest.mark.parametrize(
        ("status", "reason", "rejection"),
        [
            (409, "fence", Rejection.FENCED),
            (421, None, Rejection.OTHER_INCARNATION),
            (503, None, Rejection.UNHEALTHY),
        ],
    )
    def test_polls_and_orders_tell_the_reason(self, status, reason, rejection):
        scene = Scene()
        scene.hold()
        body = {"Reason": reason, "ClockMs": scene.client.clock_ms}
        scene.client.rejection = Reply(status, body)
        assert scene.start() == Rejected(rejection)
        poll = scene.workers.renew_lease(scene.listed, 7, 0, 4.0, 1.0)
        assert asyncio.run(poll) == Rejected(rejection)

    @pytest.mark.parametrize(
        ("status", "reason", "shows_restart"),
        [(409, "old", True), (503, None, True), (421, None, False)],
    )
    def test_a_clock_that_begins_anew_shows_a_restart(
        self, status, reason, shows_restart
    ):
        """Guards against a lease that nobody counts on, which a rejection grants too.

        The address may be that of a worker with another id, which tells nothing.
        """
        scene = Scene()
        scene.hold()
        scene.client.rejection = Reply(status, {"Reason": reason, "ClockMs": 1})
        assert scene.start().shows_restart is shows_restart


class TestOrderTimeout:
    """An owner that is too slow for its fleet must not repeat orders that are late."""

    class SlowClient(FakeClient):
        """Answers each call after ``wait_seconds``, and records the timeouts."""

        wait_seconds = 0.0

        async def call(
            self, step, worker_id, peer, path, timeout, body, headers, incarnation
        ):
            self.timeout = timeout
            reply = await super().call(
                step, worker_id, peer, path, timeout, body, headers, incarnation
            )
            return reply._replace(wait_seconds=self.wait_seconds)

    def _scene(self, lag_seconds=0.0):
        scene = Scene()
        scene.client = self.SlowClient()
        clock = SimpleNamespace(now=lambda: 100.0)
        options = {"lag_seconds": lambda: lag_seconds} if lag_seconds else {}
        scene.workers = PlatformWorkers(scene.client, None, clock, **options)
        scene.hold()
        return scene

    def test_a_lost_answer_is_noticed_soon(self):
        scene = self._scene()
        scene.start()
        assert scene.client.timeout == pytest.approx(0.4)

    def test_it_follows_the_answers(self):
        """Guards against starts that are given up because they are only slow.

        Each of them was stopped, over and over, and ordered again.
        """
        scene = self._scene()
        scene.client.wait_seconds = 0.3
        for _ in range(20):
            scene.start()
        assert scene.client.timeout == pytest.approx(1.0)

    def test_a_late_event_loop_does_not_count_against_the_worker(self):
        scene = self._scene(lag_seconds=0.2)
        scene.start()
        assert scene.client.timeout == pytest.approx(0.8)
        scene.hold(wait_seconds=1.0)
        assert scene.client.timeout == pytest.approx(2.0)


class TestEntries:
    """Load: thousands of entries, read several times a second, few of them changed."""

    VALUE = {
        "Service": "p",
        "Address": "10.0.0.1:80",
        "Zone": "z",
        "State": "ready",
        "Capacity": {"Cpu": 1000, "MemMb": 1024, "Gpu": 0},
        "Labels": ["a"],
        "born": 1000,
    }

    def _list(self, *versions_and_states):
        """Read the list once for each pair; return the states and the decoded rows."""
        rows = [
            Row(RowKey("servers", "w1"), version, {**self.VALUE, "State": state})
            for version, state in versions_and_states
        ]

        class Table:
            async def read_range(self, table):
                return Snapshot([rows.pop(0)], 1)

        workers = PlatformWorkers(FakeClient(), Table(), None)

        async def run():
            return [await workers.list_workers() for _ in versions_and_states]

        return [listed[0] for listed in asyncio.run(run())]

    def test_an_unchanged_entry_is_decoded_once(self):
        """Guards against an event loop that is blocked by each read of the list."""
        first, second = self._list((7, "ready"), (7, "ready"))
        assert first is second

    def test_a_new_version_is_decoded_again(self):
        """Guards against a worker that drains and goes on to get tasks."""
        first, second = self._list((7, "ready"), (8, "draining"))
        assert [first.is_draining, second.is_draining] == [False, True]
