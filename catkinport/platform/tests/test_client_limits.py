"""Tests of what clients receive at the limits of a listener."""

import asyncio
import gzip
import logging

import pytest
from aiohttp import web

from ...policy.client_limits import ClientBounds, RequestLimits, derive_bounds
from ...runtime import Metrics
from .. import client_limits
from ..client_gate import ClientGate
from ..listener import HttpListener

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
LEGAL_BODY_BYTES = 262144
BODY_BUDGET = ClientBounds(
    held_bytes=700_000,
    connections=50,
    connections_per_address=50,
    unfinished_per_address=50,
)


class Server:
    """A listener that answers with the size of the body, and counts what it ran."""

    def __init__(self, bounds=None, **limits):
        self.metrics = Metrics()
        self.gate = ClientGate(
            bounds or derive_bounds(0, 0), RequestLimits(**limits), self.metrics
        )
        self.listener = HttpListener(self.answer, "127.0.0.1:0", self.gate)
        self.sizes = []
        self._writers = []

    async def __aenter__(self):
        await self.listener.open()
        return self

    async def __aexit__(self, *error):
        await self.listener.close()
        for writer in self._writers:
            writer.close()

    async def answer(self, request):
        content = await request.read()
        self.sizes.append(len(content))
        return web.Response(body=str(len(content)).encode())

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port)
        self._writers.append(writer)
        return reader, writer

    async def send(self, *pieces, pause=0.0):
        """Send pieces on a new connection; return the status and the whole answer."""
        reader, writer = await self.connect()
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause)
        return await read_answer(reader)


async def read_answer(reader):
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10.0)
    return int(head[9:12]), head


def with_length(n_bytes):
    return HEAD + b"Content-Length: %d\r\n\r\n" % n_bytes


def make_chunks(content, chunk_bytes):
    pieces = [content[n : n + chunk_bytes] for n in range(0, len(content), chunk_bytes)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def run(check, *args, **limits):
    """Run ``check`` with an open server."""

    async def run_check():
        async with Server(*args, **limits) as server:
            return await check(server)

    return asyncio.run(run_check())


class TestLegalRequests:
    @pytest.mark.parametrize("chunk_bytes", [1, 50, 4096, 100_000, LEGAL_BODY_BYTES])
    def test_a_chunked_body_of_the_largest_size_is_served(self, chunk_bytes):
        """Guards against limits that legal requests meet."""
        content = make_chunks(LEGAL_BODY_BYTES * b"x", chunk_bytes)

        async def check(server):
            return (await server.send(content))[0], server.sizes

        assert run(check) == (200, [LEGAL_BODY_BYTES])

    def test_a_body_of_the_largest_size_is_served_on_a_small_budget(self):
        """Guards against a VM that is too small for any large request."""
        bounds = BODY_BUDGET._replace(held_bytes=20_000)
        content = with_length(LEGAL_BODY_BYTES) + LEGAL_BODY_BYTES * b"x"

        async def check(server):
            return (await server.send(content))[0], server.gate.ledger.held_bytes

        assert run(check, bounds) == (200, 0)

    def test_a_slow_body_is_served(self):
        """Guards against a limit on the time of a body that makes progress."""
        pieces = [with_length(8), *(8 * [b"x"])]

        async def check(server):
            return (await server.send(*pieces, pause=0.3))[0]

        assert run(check, idle_seconds=1.0) == 200

    def test_a_body_on_a_connection_that_was_idle_is_served(self, monkeypatch):
        """Guards against the end of an idle connection while a body arrives on it.

        A request reaches its handler once it is complete, so the connection looked
        idle until then.
        """
        monkeypatch.setattr(client_limits, "KEEP_ALIVE_SECONDS", 0.4)

        async def check(server):
            reader, writer = await server.connect()
            writer.write(with_length(1) + b"x")
            await read_answer(reader)
            await reader.readexactly(1)
            for piece in [with_length(8), *(8 * [b"x"])]:
                writer.write(piece)
                await asyncio.sleep(0.1)
            status = (await read_answer(reader))[0]
            await reader.readexactly(1)
            # Once it is idle again, it is closed.
            return status, await asyncio.wait_for(reader.read(), 10.0)

        assert run(check) == (200, b"")

    @pytest.mark.parametrize("n_before", [0, 1])
    def test_a_client_that_waits_to_send_its_body_is_told_to(self, n_before):
        """Guards against bodies that are never sent, and get status 408.

        A client that sends `Expect: 100-continue` may wait for this status.
        """
        expecting = HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"

        async def check(server):
            reader, writer = await server.connect()
            statuses = []
            for _ in range(n_before):
                writer.write(with_length(1) + b"x")
                statuses.append((await read_answer(reader))[0])
                await reader.readexactly(1)
            writer.write(expecting)
            statuses.append((await read_answer(reader))[0])
            writer.write(b"abc")
            statuses.append((await read_answer(reader))[0])
            return statuses

        assert run(check, idle_seconds=1.0) == n_before * [200] + [100, 200]

    def test_a_body_that_was_sent_is_not_asked_for(self):
        """Guards against an answer more than the client expects."""
        content = HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"

        async def check(server):
            return (await server.send(content))[0]

        assert run(check) == 200

    def test_a_head_of_the_largest_size_is_served(self):
        """Guards against a limit that a legal head meets."""
        head = b"GET /a HTTP/1.1\r\nHost: h\r\n"
        head += b"A: " + 8000 * b"a" + b"\r\nC: " + 1000 * b"c" + b"\r\nB: "
        head += (16384 - len(head) - 4) * b"b" + b"\r\n\r\n"

        async def check(server):
            return (await server.send(head))[0]

        assert len(head) == 16384
        assert run(check) == 200

    def test_requests_that_follow_each_other_at_once_are_served_in_order(self):
        """Guards against bytes after a body that are lost or taken for another one."""
        request = with_length(5000) + 5000 * b"x"
        small = with_length(3) + b"abc"
        chunked = make_chunks(1000 * b"y", 10)
        get = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        requests = 3 * [request, small, chunked, get]

        async def check(server):
            reader, writer = await server.connect()
            writer.write(b"".join(requests))
            statuses = []
            for _ in requests:
                status, head = await read_answer(reader)
                statuses.append(status)
                length = head.lower().partition(b"content-length: ")[2]
                await reader.readexactly(int(length.partition(b"\r")[0]))
            return set(statuses), server.sizes, server.gate.ledger.held_bytes

        assert run(check) == ({200}, 3 * [5000, 3, 1000, 0], 0)

    def test_empty_lines_in_a_body_begin_no_head(self):
        """Guards against an idle connection that is closed for a head it never sent."""
        body = b"a\r\n\r\nb"

        async def check(server):
            reader, writer = await server.connect()
            statuses = []
            for _ in range(2):
                writer.write(with_length(len(body)))
                await asyncio.sleep(0.1)
                writer.write(body)
                status, _ = await read_answer(reader)
                await reader.readexactly(1)
                statuses.append(status)
                await asyncio.sleep(1.2)
            return statuses

        assert run(check, header_seconds=0.3) == [200, 200]

    def test_a_request_for_an_upgrade_is_answered_as_any_other(self):
        """Guards against requests after it that are lost."""
        upgrade = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\n"
        upgrade += b"Upgrade: websocket\r\n\r\n"
        get = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

        async def check(server):
            await server.send(upgrade + get)
            await asyncio.sleep(0.1)
            return server.sizes

        assert run(check) == [0, 0]

    def test_a_compressed_body_is_served(self):
        """Guards against clients that compress and were served before the limits."""
        body = gzip.compress(1000 * b"x")
        head = HEAD + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(
            body
        )

        async def check(server):
            return (await server.send(head + body))[0], server.sizes

        assert run(check) == (200, [1000])


class TestRefusals:
    """Each refused request must not have run."""

    @pytest.mark.parametrize(
        ("content", "status"),
        [
            (b"GET /a HTTP/1.1\r\n" + 3 * (b"A: " + 6000 * b"a" + b"\r\n"), 431),
            (b"\r\n" * 1000, 400),
            (b"not http\r\n\r\n", 400),
            (with_length(LEGAL_BODY_BYTES + 1), 413),
            (make_chunks((LEGAL_BODY_BYTES + 1) * b"x", 5000), 413),
            (with_length(10) + b"x", 408),
            (HEAD, 408),
        ],
        ids=["head", "lines", "malformed", "body", "chunks", "stalled", "slow-head"],
    )
    def test_the_status_tells_the_limit(self, content, status):
        """Guards against requests over a limit that are kept or run."""

        async def check(server):
            answer = await server.send(content)
            return answer[0], server.sizes, server.gate.ledger.held_bytes

        limits = {"header_seconds": 0.5, "idle_seconds": 0.5}
        assert run(check, **limits) == (status, [], 0)

    def test_a_compressed_body_that_grows_is_refused(self):
        """Guards against a small body that decompresses to more than the memory."""
        body = gzip.compress(10 * LEGAL_BODY_BYTES * b"x")
        head = HEAD + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(
            body
        )

        async def check(server):
            return (await server.send(head + body))[0], server.sizes

        assert run(check) == (400, [])

    def test_bodies_over_the_budget_are_refused_and_may_be_repeated(self):
        """Guards against memory for more bodies than the budget holds."""

        async def check(server):
            connections = [await server.connect() for _ in range(5)]
            for _, writer in connections:
                writer.write(with_length(200_000))
                await asyncio.sleep(0.05)
            answer = await read_answer(connections[-1][0])
            return answer, server.sizes, server.gate.ledger.held_bytes

        (status, head), sizes, held_bytes = run(check, BODY_BUDGET)
        assert status == 503
        assert b"\r\nRetry-After: 1\r\n" in head
        assert not sizes
        assert held_bytes <= BODY_BUDGET.held_bytes

    def test_a_body_that_is_never_complete_does_not_run(self):
        """Guards against handlers that run before a request can be refused."""

        async def check(server):
            _, writer = await server.connect()
            writer.write(b"DELETE /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx")
            await asyncio.sleep(0.2)
            writer.close()
            await asyncio.sleep(0.1)
            return server.sizes, server.gate.ledger.held_bytes

        assert run(check) == ([], 0)


class TestCrowds:
    def test_ordinary_requests_are_answered_beside_stalled_bodies(self):
        """Guards against a crowd that takes the budget from ordinary callers."""

        async def check(server):
            crowd = [await server.connect() for _ in range(40)]
            for _, writer in crowd:
                writer.write(with_length(200_000) + 100_000 * b"x")
            await asyncio.sleep(0.2)
            content = with_length(9000) + 9000 * b"x"
            return [(await server.send(content))[0] for _ in range(20)]

        assert run(check, BODY_BUDGET) == 20 * [200]

    def test_ordinary_requests_are_answered_beside_too_many_connections(self):
        """Guards against idle connections that keep new callers out."""

        async def check(server):
            crowd = [await server.connect() for _ in range(80)]
            n_connections = server.gate.ledger.n_connections
            status = (await server.send(with_length(2) + b"{}"))[0]
            for _, writer in crowd:
                writer.close()
            return n_connections, status

        assert run(check, BODY_BUDGET) == (50, 200)

    def test_each_bound_may_be_logged(self, caplog):
        """Guards against a log line that fails, after which no time is checked."""

        async def check(server):
            for bound in (
                "head-bytes", "head-time", "body-bytes", "body-progress", "empty-lines",
                "malformed", "held-bytes", "connections", "unfinished-per-address",
                "stopping",
            ):  # fmt: skip
                server.gate.count(bound)
            await asyncio.sleep(0.7)

        with caplog.at_level(logging.WARNING):
            run(check)
        lines = [r.getMessage() for r in caplog.records]
        assert len([line for line in lines if line.startswith("clients refused")]) == 1

    def test_refusals_are_logged_together(self, caplog):
        """Guards against a log line for each connection of a crowd."""

        async def check(server):
            for _ in range(20):
                await server.send(with_length(LEGAL_BODY_BYTES + 1))
            await asyncio.sleep(0.7)
            return server.metrics.render()[0]

        with caplog.at_level(logging.WARNING):
            metrics = run(check)
        lines = [r for r in caplog.records if r.getMessage().startswith("clients refu")]
        assert len(lines) == 1
        assert b'client_limits{bound="body-bytes"} 20' in metrics
