"""Tests of the backend server client against scripted sockets."""

import socket
import threading
import time

import pytest

from ...ports import BackendRequest, BrokenAnswerError, NotRun, Reason, Unknown
from ...runtime import BootTimeClock
from ..backend_servers_http import MAX_IDLE_SECONDS_NOT_IDEMPOTENT, HttpBackendServers

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NOT_RUN_ANSWER = (
    b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nCatkin-Not-Run: true\r\n%s\r\n"
)


class SkewedClock(BootTimeClock):
    """Real clock that a test can advance."""

    offset = 0.0

    def now(self):
        return super().now() + self.offset


class ScriptedServer:
    """Server that answers the n-th request with the n-th script.

    For the script ``None`` it sends nothing and keeps the connection open.
    ``n_connections`` counts accepted connections, ``n_requests`` received heads.
    """

    def __init__(self, scripts, closes_after=False):
        self._scripts = list(scripts)
        self._closes_after = closes_after
        self.n_connections = self.n_requests = 0
        self.ended = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.n_connections += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            while b"\r\n\r\n" in (received := connection.recv(65536)):
                assert received
                self.n_requests += 1
                script = self._scripts.pop(0)
                if script is None:
                    self.ended.wait(10)
                    return
                connection.sendall(script)
                if self._closes_after:
                    return

    def close(self):
        self.ended.set()
        self._listener.close()


@pytest.fixture
def serve():
    servers = []

    def start(*scripts, **options):
        servers.append(ScriptedServer(scripts, **options))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


@pytest.fixture
def clock():
    return SkewedClock()


@pytest.fixture
def client(clock):
    client = HttpBackendServers(clock, n_connections=2, progress_seconds=0.2)
    yield client
    client.close()


def request(clock, is_idempotent=False, body=b"", length=None):
    length = len(body) if length is None else length
    chunks = iter([body] if body else [])
    deadline = clock.now() + 5
    return BackendRequest("POST", "/x", {}, chunks, length, deadline, is_idempotent)


def read(answer):
    return b"".join(answer.chunks)


class TestOutcomes:
    def test_refused_connection_is_not_run(self, client, clock):
        """Guards against ``Unknown`` for a request of which no byte was sent."""
        outcome = client.send("127.0.0.1:1", request(clock))
        assert isinstance(outcome, NotRun)
        assert outcome.reason == Reason.CONNECT_FAILED

    @pytest.mark.parametrize(
        ("extra", "kind"), [(b"Retry-After: 2\r\n", NotRun), (b"", None)]
    )
    def test_503_with_both_headers_is_not_run(self, serve, client, clock, extra, kind):
        """Guards against ``NotRun`` for a 503 without ``Retry-After``."""
        server = serve(NOT_RUN_ANSWER % extra)
        outcome = client.send(server.address, request(clock))
        if kind is None:
            assert outcome.status == 503
        else:
            assert outcome.retry_after_seconds == 2.0

    @pytest.mark.parametrize(
        ("script", "closes_after", "reason"),
        [
            (None, False, Reason.NO_PROGRESS),
            (b"", True, Reason.CONNECTION_LOST),
            (b"HTTP/1.1 200", True, Reason.CONNECTION_LOST),
            (b"HTTP/1.1 204 No Content\r\nA: b\r\n", True, Reason.CONNECTION_LOST),
        ],
    )
    def test_lost_head_is_unknown(
        self, serve, client, clock, script, closes_after, reason
    ):
        """Guards against ``NotRun`` for a request that may have run."""
        server = serve(script, closes_after=closes_after)
        outcome = client.send(server.address, request(clock))
        assert isinstance(outcome, Unknown)
        assert (outcome.reason, outcome.peer) == (reason, server.address)
        assert server.n_requests == 1

    @pytest.mark.parametrize(
        "script",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
            b"HTTP/1.1 200 OK\r\n\r\nok",
        ],
    )
    @pytest.mark.parametrize("closes_after", [True, False])
    def test_cut_body_is_an_error(self, serve, client, clock, script, closes_after):
        """Guards against a truncated or stalled body taken for a complete one."""
        server = serve(script, closes_after=closes_after)
        answer = client.send(server.address, request(clock))
        with pytest.raises(BrokenAnswerError):
            read(answer)

    def test_permission_to_send_is_checked_after_connecting(self, serve, client, clock):
        """Guards against a slow connect during which the permission expires."""
        server = serve(OK)
        refused = request(clock)._replace(may_send=lambda: False)
        outcome = client.send(server.address, refused)
        assert isinstance(outcome, NotRun)
        assert outcome.reason == Reason.CONFIGURATION_STALE
        assert server.n_requests == 0

    def test_short_request_body_is_unknown(self, serve, client, clock):
        """Guards against a backend server that waits for a body that never comes."""
        server = serve(None)
        outcome = client.send(server.address, request(clock, body=b"ab", length=5))
        assert isinstance(outcome, Unknown)
        assert outcome.step == "read-request"


class TestConnections:
    def test_old_connection_gets_no_non_idempotent_request(self, serve, client, clock):
        """Guards against a request lost on a connection that the server closes."""
        server = serve(OK, OK, OK)
        assert read(client.send(server.address, request(clock))) == b"ok"
        assert read(client.send(server.address, request(clock))) == b"ok"
        assert server.n_connections == 1
        clock.offset += MAX_IDLE_SECONDS_NOT_IDEMPOTENT + 0.1
        assert read(client.send(server.address, request(clock))) == b"ok"
        assert server.n_connections == 2

    def test_connection_closed_by_the_server_is_not_used(self, serve, client, clock):
        """Guards against ``Unknown`` where a check of the socket shows the close."""
        server = serve(OK, OK, closes_after=True)
        assert read(client.send(server.address, request(clock))) == b"ok"
        time.sleep(0.05)
        assert read(client.send(server.address, request(clock))) == b"ok"

    def test_connections_are_bounded_and_released(self, serve, client, clock):
        """Guards against more connections than a backend server accepts."""
        server = serve(OK, OK, OK)
        held = [client.send(server.address, request(clock)) for _ in range(2)]
        refused = client.send(server.address, request(clock))
        assert refused.reason == Reason.BACKEND_FULL
        held[0].close()
        held[1].close()
        assert read(client.send(server.address, request(clock))) == b"ok"
        assert server.n_requests == 3
