"""Tests of requests whose body the application does not read."""

import socket
import tracemalloc

import pytest

from .. import HttpServer, Router, json_answer
from ..http import MAX_DISCARDED_BYTES

HEAD = b"PUT / HTTP/1.1\r\nHost: a\r\n"
NEXT = b"GET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
CHUNK = b"x" * 65536


@pytest.fixture(scope="module")
def server():
    router = Router()

    @router.route("PUT", "/")
    def refuse(request):
        return json_answer(401, {})

    @router.route("GET", "/next")
    def show(request):
        return json_answer(200, {})

    server = HttpServer(
        router, "127.0.0.1", 0, n_threads=2, max_body_bytes=2 * MAX_DISCARDED_BYTES
    )
    server.start()
    yield server
    server.stop()


def send(server, *parts):
    """Send the parts and return the statuses of all answers."""
    host, port = server.address.split(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        try:
            for part in parts:
                connection.sendall(part)
            while content := connection.recv(65536):
                received += content
        except ConnectionError:
            pass
    return [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]


class TestUnreadBodies:
    """Answers that are sent before the body has been read."""

    def test_memory_stays_bounded(self, server):
        """Guards against a refused upload that is read into memory as a whole."""
        n_chunks = MAX_DISCARDED_BYTES // len(CHUNK)
        length = b"Content-Length: %d\r\n\r\n" % (n_chunks * len(CHUNK))
        tracemalloc.start()
        try:
            statuses = send(server, HEAD + length, *[CHUNK] * n_chunks, NEXT)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert statuses == [b"401", b"200"]
        assert peak_bytes < MAX_DISCARDED_BYTES / 4

    def test_large_body_closes_the_connection(self, server):
        """Guards against reading a refused body of any size to its end."""
        length = b"Content-Length: %d\r\n\r\n" % (MAX_DISCARDED_BYTES + 1)
        assert send(server, HEAD + length) == [b"401"]

    def test_body_above_the_limit(self, server):
        """Guards against a body above ``max_body_bytes`` that is accepted."""
        length = b"Content-Length: %d\r\n\r\n" % (2 * MAX_DISCARDED_BYTES + 1)
        assert send(server, HEAD + length) == [b"413"]

    def test_chunked_body_is_not_taken_for_a_request(self, server):
        """Guards against an unread body that is parsed as the next request."""
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(NEXT), NEXT)
        assert send(server, HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body) in (
            [b"401"],
            [],
        )

    def test_negative_length(self, server):
        """Guards against a read that lasts until the peer closes."""
        assert send(server, HEAD + b"Content-Length: -5\r\n\r\n") == [b"400"]
