"""Tests of calls for one incarnation of a worker while the next one listens."""

import asyncio
import contextlib
import json
from types import SimpleNamespace

import pytest

from ...policy.resources import Resources
from ...ports import Reason, Unavailable
from ...ports.fleet_workers import Done, ListedWorker, StartOrder, WorkerLists
from ...runtime import Metrics
from .. import worker_client
from ..client import Reply
from ..worker_channel import WorkerChannel
from ..worker_client import WorkerClient
from ..workers import INCARNATION_HEADER, PlatformWorkers

TOKEN = 7
LEASE_SECONDS = 4.0
ORDER = StartOrder("00000000000000a1.0.0.0", 1, "s", "", "")
SILENT_ANSWER_SECONDS = 0.2
READ_SECONDS = 5.0
N_ROUNDS_OF_A_RESET = 20
"""Rounds of the event loop in which a reset on loopback is noticed at the other end."""


class OneWorker:
    """A worker on loopback that starts again under its id at the same address.

    The connections to an incarnation end with it.

    Attributes:
        born: start of the present incarnation in Unix milliseconds.
        listed_born: start of the incarnation that the list of workers shows.
        calls: start of the incarnation, path and body of each call.
        silent_paths: paths of calls that are not answered.
        answer: body of the answers to polls; ``None`` for the usual one.
        status: status of the answers.
        closes_after_answers: whether each answer ends its connection.
        n_connections: connections that were accepted.
        endings: how connections have ended: ``"reset"`` or ``"closed"``.
    """

    def __init__(self) -> None:
        self.born = 1_000
        self.listed_born = 1_000
        self.calls: list[tuple[int, str, dict]] = []
        self.silent_paths: set[str] = set()
        self.answer = None
        self.status = 200
        self.closes_after_answers = False
        self.n_connections = 0
        self.endings: asyncio.Queue[str] = asyncio.Queue()
        self.address = ""
        self._began_at = asyncio.get_running_loop().time()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent_writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> "OneWorker":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *error: object) -> None:
        self.end_connections()
        self._server.close()

    async def restart(self) -> None:
        """Replace the incarnation by the next one; its client learns of the reset."""
        self.end_connections()
        self.born += 500
        for _ in range(N_ROUNDS_OF_A_RESET):
            await asyncio.sleep(0)

    def restart_unnoticed(self, milliseconds: int = 500) -> None:
        """Replace the incarnation; its connections end at their next call.

        Args:
            milliseconds: time from the start of the former one to that of the next.
        """
        self.born += milliseconds

    def end_connections(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def silence_connections(self) -> None:
        """Let all present connections carry no more answers."""
        self._silent_writers |= self._writers

    def listed(self) -> ListedWorker:
        resources = Resources(4.0, 8.0, 0)
        return ListedWorker(
            "i-1",
            "p",
            self.address,
            "z",
            False,
            0.0,
            resources,
            (),
            self.listed_born / 1000,
        )

    def paths(self, born: int) -> list[str]:
        """Return the paths of the calls that an incarnation has received."""
        return [path for incarnation, path, _ in self.calls if incarnation == born]

    async def _serve(self, reader, writer) -> None:
        born = self.born
        self.n_connections += 1
        self._writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await self._answer_call(born, head, reader, writer)
            self.endings.put_nowait("closed")
        except asyncio.IncompleteReadError:
            self.endings.put_nowait("closed")
        except ConnectionError:
            self.endings.put_nowait("reset")
        finally:
            writer.close()

    async def _answer_call(self, born, head, reader, writer) -> None:
        path = head.split(b" ")[1].decode()
        fields = dict(line.split(b": ") for line in head.split(b"\r\n")[1:] if line)
        length = int(fields[b"Content-Length"])
        body = json.loads(await reader.readexactly(length))
        if born != self.born:
            writer.transport.abort()
            return
        self.calls.append((born, path, body))
        if path in self.silent_paths or writer in self._silent_writers:
            return
        first_ms = 486_000 if born == 1_000 else 5
        elapsed = asyncio.get_running_loop().time() - self._began_at
        answer = {"ClockMs": first_ms + int(elapsed * 1000)}
        if path == "/hold":
            answer |= {"Running": [], "Ended": [], "born": born}
            answer = answer if self.answer is None else self.answer
        content = json.dumps(answer).encode()
        lines = f"HTTP/1.1 {self.status} X\r\nContent-Length: {len(content)}\r\n"
        if self.closes_after_answers:
            lines += "Connection: close\r\n"
        writer.write(lines.encode() + b"\r\n" + content)


def make_workers() -> PlatformWorkers:
    clock = SimpleNamespace(now=lambda: asyncio.get_running_loop().time())
    return PlatformWorkers(WorkerClient(Metrics(), 8), None, clock)


async def poll(workers, worker, end=0):
    listed = worker.listed()
    return await workers.renew_lease(listed, TOKEN, end, LEASE_SECONDS, 0.0)


async def start(workers, worker):
    return await workers.start(worker.listed(), TOKEN, ORDER, LEASE_SECONDS)


async def stop(client, address, worker_id="i-1", timeout_seconds=READ_SECONDS):
    """Send an order that any incarnation may get."""
    return await client.call(
        "stop",
        worker_id,
        address,
        "/run-stop",
        timeout_seconds,
        {"FencingToken": TOKEN},
        {INCARNATION_HEADER: worker_id},
    )


class TestCallsForTheFormerIncarnation:
    """The worker restarts between two calls, and nothing has shown it yet."""

    def test_a_start_does_not_reach_the_next_one(self):
        """Guards against a run that the owner doesn't know to be on a new incarnation.

        Its lease is on the former clock, so the worker would grant its longest one.
        """

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                await worker.restart()
                outcome = await start(workers, worker)
                return worker.paths(worker.born), outcome

        paths, outcome = asyncio.run(run())
        assert "/run-start" not in paths
        assert isinstance(outcome, Unavailable)
        assert outcome.reason is Reason.RESTARTED
        assert not outcome.may_have_committed

    @pytest.mark.parametrize("end", [0, 5])
    def test_a_poll_does_not_reach_the_next_one(self, end):
        """Guards against leases on the former clock and ends that are forgotten unread.

        The connection of the poll before has ended without a sign to the owner.
        """

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                await poll(workers, worker)
                await worker.restart()
                outcomes = [await poll(workers, worker, end) for _ in range(3)]
                return [b for born, _, b in worker.calls if born != 1_000], outcomes

        bodies, outcomes = asyncio.run(run())
        assert [body["LastSeen"] for body in bodies[:2]] == [0, 0]
        assert "UntilMs" not in bodies[0]
        assert all(body.get("UntilMs", 0) < 10_000 for body in bodies)
        assert isinstance(outcomes[0], Unavailable)
        assert [type(outcome) for outcome in outcomes[1:]] == [WorkerLists, WorkerLists]

    @pytest.mark.parametrize("born", [1_500, "x"])
    def test_neither_does_after_lists_that_cannot_be_read(self, born):
        """Guards against an owner that goes on with what it knows of the former one.

        The answers of the new incarnation tell nothing of its runs, perhaps not even
        which incarnation it is.
        """

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                await worker.restart()
                worker.answer = {"ClockMs": 5, "born": born, "Running": [[1]]}
                outcomes = [await poll(workers, worker, 5) for _ in range(3)]
                outcomes.append(await start(workers, worker))
                return [call for call in worker.calls if call[0] != 1_000], outcomes

        calls, outcomes = asyncio.run(run())
        assert {path for _, path, _ in calls} == {"/hold"}
        assert all(body["LastSeen"] == 0 for _, _, body in calls)
        assert all("UntilMs" not in body for _, _, body in calls)
        assert all(isinstance(outcome, Unavailable) for outcome in outcomes)
        assert not outcomes[-1].may_have_committed

    def test_none_does_if_the_time_of_day_was_set_back(self):
        """Guards against incarnations that are told apart by which is the later one.

        The start of the new incarnation is before that of the former one, and a
        connection to that one has ended without a sign.
        """

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                await asyncio.gather(*(start(workers, worker) for _ in range(3)))
                worker.restart_unnoticed(milliseconds=-500)
                outcomes = [await poll(workers, worker, 5) for _ in range(2)]
                worker.listed_born = worker.born
                outcomes.append(await start(workers, worker))
                return [call for call in worker.calls if call[0] == 500], outcomes

        calls, (first, second, started) = asyncio.run(run())
        assert isinstance(first, Unavailable)
        assert isinstance(second, WorkerLists)
        assert isinstance(started, Done)
        assert calls[0][2].keys() == {"FencingToken", "LastSeen"}
        assert all(body.get("LastSeen", 0) == 0 for _, _, body in calls)
        assert all(body.get("UntilMs", 0) < 10_000 for _, _, body in calls)

    def test_nothing_is_sent_on_its_clock_once_a_start_has_shown_it(self):
        """Guards against later calls that trust the clock of the former incarnation."""

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                await worker.restart()
                await start(workers, worker)
                refused = await start(workers, worker)
                await poll(workers, worker)
                return await start(workers, worker), refused, worker.calls

        outcome, refused, calls = asyncio.run(run())
        assert isinstance(refused, Unavailable)
        assert isinstance(outcome, Done)
        assert all(b.get("UntilMs", 0) < 10_000 for born, _, b in calls if born > 1_000)


class TestConnections:
    def test_the_first_call_on_each_carries_nothing_of_an_incarnation(self):
        """Guards against a call whose receiver is not known beforehand."""

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                await asyncio.gather(*(start(workers, worker) for _ in range(3)))
                return worker.calls, worker.n_connections

        calls, n_connections = asyncio.run(run())
        paths = [path for _, path, _ in calls]
        assert n_connections == 3
        assert paths.count("/hold") == n_connections
        assert paths.count("/run-start") == 3
        assert all(b.keys() == {"FencingToken", "LastSeen"} for _, p, b in calls[:1])

    def test_they_are_used_again(self):
        """Guards against a connection and a poll for each order."""

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                for _ in range(5):
                    await start(workers, worker)
                return worker.n_connections, len(worker.calls)

        assert asyncio.run(run()) == (1, 6)

    @pytest.mark.parametrize("status", [421, 429, 503])
    def test_that_of_a_refused_poll_is_used_again(self, status):
        """Guards against a connection for each call to an unhealthy worker.

        It is not known where it leads, so a start still follows a poll that tells.
        """

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                worker.status, worker.answer = status, {"ClockMs": 5}
                for _ in range(3):
                    await poll(workers, worker)
                await stop(workers._client, worker.address)
                worker.status, worker.answer = 200, None
                await stop(workers._client, worker.address)
                return worker.n_connections, worker.paths(worker.born)

        n_connections, paths = asyncio.run(run())
        assert n_connections == 1
        assert paths == ["/hold"] * 5 + ["/run-stop"]

    def test_that_of_a_call_without_an_answer_is_reset(self):
        """Guards against an order that arrives seconds later, after newer ones."""

        async def run():
            async with OneWorker() as worker:
                worker.silent_paths.add("/run-stop")
                client = WorkerClient(Metrics(), 8)
                outcome = await stop(
                    client, worker.address, timeout_seconds=SILENT_ANSWER_SECONDS
                )
                async with asyncio.timeout(READ_SECONDS):
                    return outcome, await worker.endings.get()

        outcome, ending = asyncio.run(run())
        assert outcome.reason is Reason.TIMEOUT
        assert outcome.may_have_committed
        assert ending == "reset"

    def test_that_of_a_call_that_is_canceled_with_its_answer_is_reset(
        self, monkeypatch
    ):
        """Guards against an open connection that nothing uses or closes any more.

        A poll is given up, or an ownership ends, in the moment the answer has arrived.
        """
        finish = WorkerChannel._finish

        async def run():
            async with OneWorker() as worker:
                client = WorkerClient(Metrics(), 8)
                call = asyncio.ensure_future(stop(client, worker.address))

                def finish_and_cancel(channel):
                    finish(channel)
                    call.cancel()

                monkeypatch.setattr(WorkerChannel, "_finish", finish_and_cancel)
                with contextlib.suppress(asyncio.CancelledError):
                    await call
                async with asyncio.timeout(READ_SECONDS):
                    return call.cancelled(), await worker.endings.get()

        assert asyncio.run(run()) == (True, "reset")

    @pytest.mark.parametrize("n_connections", [1, 4])
    def test_others_are_closed_with_one_that_has_ended(self, n_connections):
        """Guards against a failed poll for each connection to an ended incarnation.

        The client has not been told of their ends, as it was cut off meanwhile.
        """

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                await asyncio.gather(
                    *(start(workers, worker) for _ in range(n_connections))
                )
                worker.restart_unnoticed()
                outcomes = [await poll(workers, worker) for _ in range(3)]
                return [type(outcome) for outcome in outcomes]

        assert asyncio.run(run()) == [Unavailable, WorkerLists, WorkerLists]

    def test_silent_ones_are_closed_with_the_first(self):
        """Guards against a poll that gets no answer for each of them.

        Open connections may go silent for good while new ones work. Without an answer
        for 4 s the lease of the worker ends, and with it all that runs there.
        """

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                await asyncio.gather(*(start(workers, worker) for _ in range(4)))
                worker.silence_connections()
                outcomes = [await poll(workers, worker) for _ in range(2)]
                return [type(outcome) for outcome in outcomes]

        assert asyncio.run(run()) == [Unavailable, WorkerLists]

    def test_idle_ones_are_closed(self, monkeypatch):
        """Guards against connections that pile up, as a worker accepts 64."""
        monkeypatch.setattr(worker_client, "KEEP_ALIVE_SECONDS", 0.0)
        monkeypatch.setattr(worker_client, "SWEEP_SECONDS", 0.0)

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                await poll(workers, worker)
                return worker.n_connections

        assert asyncio.run(run()) == 2

    def test_idle_ones_are_closed_without_another_call(self, monkeypatch):
        """Guards against connections of a daemon that owns the workers no more.

        It makes no more calls. A worker accepts 64 connections from all daemons.
        """
        monkeypatch.setattr(worker_client, "KEEP_ALIVE_SECONDS", 0.05)
        monkeypatch.setattr(worker_client, "SWEEP_SECONDS", 0.0)

        async def run():
            async with OneWorker() as worker:
                workers = make_workers()
                await poll(workers, worker)
                async with asyncio.timeout(READ_SECONDS):
                    return await worker.endings.get(), workers

        ending, _ = asyncio.run(run())
        assert ending == "reset"


class TestMalformedEntries:
    """An entry of another writer may name any id and any address."""

    @pytest.mark.parametrize(
        "address", ["127.0.0.1:99999", "127.0.0.1:\u00b2", "h\u00f6st\n:80", "\0:80"]
    )
    def test_an_address_that_leads_nowhere_counts_as_no_connection(self, address):
        """Guards against an error that ends the loops of the owner."""
        outcome = asyncio.run(stop(WorkerClient(Metrics(), 8), address))
        assert outcome.reason is Reason.CONNECT_FAILED
        assert not outcome.may_have_committed

    @pytest.mark.parametrize("worker_id", ["i\r\n1", "i-\u00fc", "\0"])
    def test_an_id_that_no_header_holds_is_not_sent(self, worker_id):
        """Guards against an error that ends the loops of the owner."""

        async def run():
            async with OneWorker() as worker:
                client = WorkerClient(Metrics(), 8)
                return await stop(client, worker.address, worker_id), worker.calls

        outcome, calls = asyncio.run(run())
        assert outcome.reason is Reason.REQUEST_INVALID
        assert not outcome.may_have_committed
        assert calls == []


class TestFirstAnswerOnAConnection:
    """The answer that must name the incarnation is another one."""

    def _run(self, timeout_seconds=READ_SECONDS, **answer):
        async def run():
            async with OneWorker() as worker:
                for name, value in answer.items():
                    setattr(worker, name, value)
                client = WorkerClient(Metrics(), 8)
                outcome = await stop(
                    client, worker.address, timeout_seconds=timeout_seconds
                )
                return outcome, worker.paths(worker.born)

        outcome, paths = asyncio.run(run())
        assert paths == ["/hold"]
        return outcome

    @pytest.mark.parametrize(
        ("status", "reason"), [(409, "fence"), (421, ""), (429, ""), (503, "")]
    )
    def test_a_rejection_counts_for_the_call(self, status, reason):
        """Guards against an owner that doesn't notice its successor by orders."""
        outcome = self._run(status=status, answer={"ClockMs": 5, "Reason": reason})
        assert isinstance(outcome, Reply)
        assert outcome.status == status

    @pytest.mark.parametrize("status", [409, 500, 502])
    def test_nothing_follows_one_that_tells_nothing(self, status):
        """Guards against a start that was not sent and counts as one that may run."""
        outcome = self._run(status=status)
        assert isinstance(outcome, Unavailable)
        assert not outcome.may_have_committed

    def test_nothing_follows_one_that_ends_the_connection(self):
        """Guards against a start that was not sent and counts as one that may run."""
        outcome = self._run(closes_after_answers=True)
        assert outcome.reason is Reason.CONNECTION_LOST
        assert not outcome.may_have_committed

    @pytest.mark.parametrize("answer", [[], {}, {"born": "x"}, {"born": -5}])
    def test_nothing_follows_one_without_an_incarnation(self, answer):
        """Guards against an order to a process that nobody knows."""
        outcome = self._run(answer=answer)
        assert outcome.reason is Reason.ANSWER_TRUNCATED
        assert not outcome.may_have_committed

    def test_nothing_follows_a_missing_one(self):
        """Guards against an order that counts as one that may have been carried out."""
        outcome = self._run(SILENT_ANSWER_SECONDS, silent_paths={"/hold"})
        assert outcome.reason is Reason.TIMEOUT
        assert not outcome.may_have_committed
