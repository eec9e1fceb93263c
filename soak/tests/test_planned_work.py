"""Tests of the callers that hold their connections."""

import socket
import threading
import time
from types import SimpleNamespace

import pytest

from ..planned_work import CLOSE_SECONDS, HeldConnection

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class FakeDaemon:
    """Server that answers the requests of each connection as it is told.

    Args:
        answers: for each request of a connection, the seconds that it takes and the
            bytes of the answer; the connection ends after the last one.
    """

    def __init__(self, answers) -> None:
        self.n_connections = 0
        self._answers = answers
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        self._server.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            self.n_connections += 1
            with connection:
                for seconds, answer in self._answers:
                    if not connection.recv(4000):
                        break
                    time.sleep(seconds)
                    connection.sendall(answer)


class TestHeldConnection:
    @staticmethod
    def _call(answers, seconds=1.0):
        daemon = FakeDaemon(answers)
        environment = SimpleNamespace(
            caller_proxy_by_name={"entry-0": daemon},
            deployment=SimpleNamespace(keys=["key-0"]),
        )
        caller = HeldConnection(environment, "entry-0")
        caller.start()
        time.sleep(seconds)
        caller.stop()
        daemon.close()
        return caller, daemon

    def test_requests_share_a_connection(self):
        """Guards against callers that open a connection for each request."""
        caller, daemon = self._call([(0.0, ANSWER)] * 1000, seconds=0.5)
        assert caller.n_answers > 5
        assert caller.violations == []
        assert daemon.n_connections == 1

    @pytest.mark.parametrize("answer", [b"", ANSWER[:-1]])
    def test_a_request_that_was_read_and_not_answered_is_a_violation(self, answer):
        """Guards against a restart that breaks off calls, and nobody notices."""
        caller, _ = self._call([(0.0, ANSWER), (2 * CLOSE_SECONDS, answer)])
        assert caller.n_answers > 0
        assert caller.violations

    def test_a_daemon_that_has_not_started_may_end_a_connection(self):
        """Guards against a check that blames a daemon for its proxy."""
        caller, daemon = self._call([(2 * CLOSE_SECONDS, b"")])
        assert caller.violations == []
        assert daemon.n_connections > 1

    def test_an_idle_connection_may_be_closed(self):
        """Guards against a check that forbids a daemon to end idle connections."""
        caller, daemon = self._call([(0.0, ANSWER), (0.0, b"")])
        assert caller.violations == []
        assert daemon.n_connections > 1
