"""Tests of what clients receive while a server closes."""

import asyncio
import contextlib
import socket

import pytest
from aiohttp import web

from ..listener import BEGAN_AT, HttpListener

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def connect(listener: HttpListener) -> socket.socket:
    return socket.create_connection(("127.0.0.1", listener.port), timeout=5.0)


async def read_statuses(client: socket.socket) -> list[str]:
    """Read until the server closes the connection; return the statuses received."""
    content = b""
    while received := await asyncio.to_thread(client.recv, 65536):
        content += received
    parts = content.split(b"HTTP/1.1 ")[1:]
    assert all(part.endswith(b"\r\n\r\nok") for part in parts if b"200" in part[:3])
    return [part[:3].decode() for part in parts]


async def receive_one(client: socket.socket) -> None:
    client.sendall(REQUEST)
    received = await asyncio.to_thread(client.recv, 65536)
    assert received.startswith(b"HTTP/1.1 200")


class TestBegin:
    def test_a_request_begins_with_its_first_byte(self):
        """Guards against deadlines that count from the end of a body.

        Requests on one connection wait for those before them, which counts too.
        """

        async def measure():
            loop = asyncio.get_running_loop()
            seconds = []

            async def answer(request):
                seconds.append(loop.time() - request[BEGAN_AT])
                await asyncio.sleep(0.3)
                return web.Response(body=b"ok")

            listener = HttpListener(answer, "127.0.0.1:0")
            await listener.open()
            client = connect(listener)
            client.sendall(REQUEST + REQUEST)
            await asyncio.sleep(0.8)
            client.sendall(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")
            await asyncio.sleep(0.3)
            client.sendall(b"{}")
            await asyncio.sleep(0.1)
            await listener.close(1.0)
            client.close()
            return seconds

        assert asyncio.run(measure()) == pytest.approx([0.0, 0.3, 0.3], abs=0.15)


class TestClose:
    """Clients with plain sockets.

    A request that they send is in the buffer of the server's socket before the server's
    event loop runs again.
    """

    async def _open(self, seconds: float = 0.0) -> HttpListener:
        async def answer(request):
            await request.read()
            await asyncio.sleep(seconds)
            return web.Response(body=b"ok")

        listener = HttpListener(answer, "127.0.0.1:0")
        await listener.open()
        return listener

    @pytest.mark.parametrize("n_requests", [1, 3])
    def test_requests_on_an_open_connection_are_answered(self, n_requests):
        """Guards against requests that were sent while the event loop was busy.

        They were dropped unread when the server closed as the loop went on.
        """

        async def close():
            listener = await self._open()
            client = connect(listener)
            await receive_one(client)
            client.sendall(n_requests * REQUEST)
            await listener.close(1.0)
            return await read_statuses(client)

        assert asyncio.run(close()) == n_requests * ["200"]

    def test_a_request_on_a_new_connection_is_answered(self):
        """Guards against connections that the server has accepted and not read."""

        async def close():
            listener = await self._open()
            client = connect(listener)
            client.sendall(REQUEST)
            await listener.close(1.0)
            return await read_statuses(client)

        assert asyncio.run(close()) == ["200"]

    def test_a_request_whose_body_arrives_late_is_answered(self):
        """Guards against bodies that a closing server ignores."""

        async def close():
            listener = await self._open()
            client = connect(listener)
            head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"
            client.sendall(head)
            await asyncio.sleep(0.05)
            closing = asyncio.ensure_future(listener.close(1.0))
            await asyncio.sleep(0.05)
            client.sendall(b"{}")
            await closing
            return await read_statuses(client)

        assert asyncio.run(close()) == ["200"]

    def test_a_call_that_takes_too_long_is_answered_504(self):
        """Guards against a connection that ends without an answer.

        A caller must learn that the outcome is unknown, and repeats the call elsewhere.
        """

        async def close():
            listener = await self._open(seconds=30.0)
            client = connect(listener)
            client.sendall(REQUEST)
            await asyncio.sleep(0.05)
            await listener.close(0.1)
            return await read_statuses(client)

        assert asyncio.run(close()) == ["504"]

    def test_idle_connections_are_closed_at_once(self):
        """Guards against a stop that waits for connections that clients keep open."""

        async def close():
            listener = await self._open()
            client = connect(listener)
            await receive_one(client)
            begin = asyncio.get_running_loop().time()
            await listener.close(3.0)
            assert asyncio.get_running_loop().time() - begin < 0.5
            return await read_statuses(client)

        assert asyncio.run(close()) == []

    def test_clients_that_go_on_sending_do_not_delay_the_close(self):
        """Guards against a close that lasts as long as requests keep arriving.

        A status of 504 left the connection open, so the next request on it was read.
        """

        async def send_without_end(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(20 * REQUEST)
                while received := await reader.read(65536):
                    writer.write(received.count(b"HTTP/1.1 ") * REQUEST)
            finally:
                writer.close()

        async def close():
            listener = await self._open(seconds=0.001)
            clients = [
                asyncio.ensure_future(send_without_end(listener.port)) for _ in range(5)
            ]
            await asyncio.sleep(0.2)
            closing = asyncio.ensure_future(listener.close(0.2))
            await asyncio.wait({closing}, timeout=2.0)
            is_closed = closing.done()
            for client in clients:
                client.cancel()
            await closing
            return is_closed

        assert asyncio.run(close())

    def test_a_handler_that_ignores_its_cancellation_does_not_delay_the_close(self):
        """Guards against a close that waits without end for one request."""

        async def answer(request):
            end = asyncio.get_running_loop().time() + 3.0
            while (left := end - asyncio.get_running_loop().time()) > 0:
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.sleep(left)
            return web.Response()

        async def close():
            listener = HttpListener(answer, "127.0.0.1:0")
            await listener.open()
            client = connect(listener)
            client.sendall(REQUEST)
            await asyncio.sleep(0.05)
            begin = asyncio.get_running_loop().time()
            await listener.close(0.1)
            seconds = asyncio.get_running_loop().time() - begin
            client.close()
            return seconds

        assert asyncio.run(close()) < 2.0
