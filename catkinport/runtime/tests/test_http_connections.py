"""Tests of servers with more connections than threads."""

import socket

import pytest

from .. import HttpServer, Router, json_answer

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
N_THREADS = 2
MAX_CONNECTIONS = 20


@pytest.fixture
def server():
    router = Router()

    @router.route("GET", "/")
    def show(request):
        return json_answer(200, {})

    server = HttpServer(
        router, "127.0.0.1", 0, N_THREADS, max_connections=MAX_CONNECTIONS
    )
    server.start()
    yield server
    server.stop()


def connect(server):
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=3.0)


def get(server):
    """Return the status of an ordinary request."""
    with connect(server) as connection:
        connection.sendall(REQUEST)
        return connection.recv(65536)[9:12]


class TestWaitingConnections:
    def test_idle_connections_hold_no_thread(self, server):
        """Guards against callers that wait until idle connections have timed out."""
        idle = [connect(server) for _ in range(3 * N_THREADS)]
        assert get(server) == b"200"
        for connection in idle:
            connection.close()

    def test_the_oldest_idle_connections_are_closed_beyond_the_bound(self, server):
        """Guards against idle connections that take all descriptors."""
        idle = [connect(server) for _ in range(3 * MAX_CONNECTIONS)]
        assert get(server) == b"200"
        n_closed = 0
        for connection in idle:
            connection.settimeout(0.01)
            try:
                n_closed += connection.recv(1) == b""
            except ConnectionError:
                n_closed += 1
            except TimeoutError:
                pass
            connection.close()
        assert n_closed >= 2 * MAX_CONNECTIONS
