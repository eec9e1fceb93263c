"""Stand-in of a backend server with a fixed number of slots and fault injection."""

import json
import threading
import time
from collections.abc import Iterator
from typing import Annotated

import cappa

from ..runtime import (
    HttpAnswer,
    HttpRequest,
    HttpServer,
    Router,
    json_answer,
    read_chunks,
)
from ._serving import serve_until_stopped
from .faults import FaultSettings, add_fault_routes

FAULT_DEFAULTS = {
    # Seconds of work if the query of the request does not set them.
    "work_seconds": 0.0,
    # Seconds of delay between the work and the answer.
    "late_seconds": 0.0,
    # The body ends after half of the announced length.
    "is_truncating": False,
    # The work is done, but no answer is sent while this is set.
    "is_silent": False,
    # Status 503 with Catkin-Not-Run, which says that the request did not run.
    "is_refusing": False,
    # Status to answer with after the work; 0 for a normal answer.
    "fails_with_status": 0,
}
N_SLOTS = 8
N_CONNECTIONS = 60
MAX_EXECUTIONS_KEPT = 200_000


class BackendServerStandin:
    """Server that answers every request with a description of it.

    The answer holds the request's id and a digest of its body, so that a caller
    can check that it got the answer to its own request. ``seconds`` in the query
    sets the duration of the work, ``size`` the length of padding in the answer.

    Args:
        host: IP address to listen on.
        port: port to listen on; 0 lets the kernel choose.
        n_slots: largest number of requests that run at the same time.
    """

    def __init__(
        self, host: str = "127.0.0.1", port: int = 0, n_slots: int = N_SLOTS
    ) -> None:
        self.faults = FaultSettings(FAULT_DEFAULTS)
        self._lock = threading.Lock()
        self._executions: list[dict] = []
        self._n_running = 0
        self._max_running = 0
        self._slots = threading.Semaphore(n_slots)
        router = Router()
        add_fault_routes(router, self.faults)
        router.route("GET", "/standin/executions")(self._show_executions)
        router.route("*", "/{path*}")(self._handle)
        self._server = HttpServer(router, host, port, n_threads=N_CONNECTIONS)

    @property
    def address(self) -> str:
        """``host:port`` that the stand-in listens on."""
        return self._server.address

    def start(self) -> None:
        """Start serving in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def list_executions(self) -> list[dict]:
        """Return a record of every request that started to run."""
        with self._lock:
            return list(self._executions)

    def _show_executions(self, request: HttpRequest) -> HttpAnswer:
        body = {"executions": self.list_executions(), "max_running": self._max_running}
        return json_answer(200, body)

    def _handle(self, request: HttpRequest, path: str) -> HttpAnswer:
        body = b"".join(_read_body(request))
        if self.faults["is_refusing"] or not self._slots.acquire(blocking=False):
            headers = {"Retry-After": "1", "Catkin-Not-Run": "true"}
            return json_answer(503, {"error": "no free slot"}, headers)
        execution = self._record_start(request, body)
        try:
            self._work(request)
        finally:
            with self._lock:
                self._n_running -= 1
                execution["ended_at"] = time.time()
            self._slots.release()
        return self._answer(request, path, body)

    def _record_start(self, request: HttpRequest, body: bytes) -> dict:
        execution = {
            "request_id": request.headers.get("catkin-request-id", ""),
            "team": request.headers.get("catkin-team", ""),
            "idempotency_key": request.headers.get("idempotency-key", ""),
            "operation": _read_operation(request),
            "method": request.method,
            "body_bytes": len(body),
            "started_at": time.time(),
            "ended_at": 0.0,
        }
        with self._lock:
            self._n_running += 1
            self._max_running = max(self._max_running, self._n_running)
            if len(self._executions) < MAX_EXECUTIONS_KEPT:
                self._executions.append(execution)
        return execution

    def _work(self, request: HttpRequest) -> None:
        seconds = float(request.query.get("seconds", self.faults["work_seconds"]))
        if seconds > 0:
            time.sleep(seconds)
        if self.faults["late_seconds"] > 0:
            time.sleep(self.faults["late_seconds"])
        while self.faults["is_silent"]:
            time.sleep(0.05)

    def _answer(self, request: HttpRequest, path: str, body: bytes) -> HttpAnswer:
        if self.faults["fails_with_status"]:
            return json_answer(self.faults["fails_with_status"], {"error": "fault"})
        value = {
            "path": path,
            "request_id": request.headers.get("catkin-request-id", ""),
            "operation": _read_operation(request),
            "body_bytes": len(body),
            "padding": "x" * int(request.query.get("size", "0")),
        }
        content = json.dumps(value).encode()
        if self.faults["is_truncating"]:
            headers = {"Content-Length": str(len(content))}
            return HttpAnswer(200, _truncate(content), headers)
        return HttpAnswer(200, content, {"Content-Type": "application/json"})


def _read_operation(request: HttpRequest) -> str:
    return request.headers.get("operation-id") or request.query.get("operation", "")


def _truncate(content: bytes) -> Iterator[bytes]:
    yield content[: len(content) // 2]
    # cheroot closes the connection when the application fails after the head; it
    # ignores a Connection header that the application sets.
    raise ConnectionAbortedError("truncated on purpose")


def _read_body(request: HttpRequest) -> Iterator[bytes]:
    stream = request.environ["wsgi.input"]
    if request.headers.get("transfer-encoding", "").lower() == "chunked":
        return iter(lambda: stream.read(65536), b"")
    return read_chunks(stream, int(request.environ.get("CONTENT_LENGTH") or 0))


@cappa.command(name="catkin-standin-backend")
class BackendServerCommand:
    """Run the stand-in of a backend server until it is told to stop."""

    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 0
    slots: Annotated[int, cappa.Arg(long=True)] = N_SLOTS

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        serve_until_stopped(
            lambda: BackendServerStandin(self.host, self.port, self.slots)
        )


def main() -> None:
    """Parse the command line of ``catkin-standin-backend`` and run it."""
    cappa.invoke(BackendServerCommand)


if __name__ == "__main__":
    main()
