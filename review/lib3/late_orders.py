"""Proxy before the interface for VMs that carries one order out late.

The order gets no answer, also none that the connection ends, and is sent on when the
case says so. Fences are checked as the pages say: for each VM, an order with a lower
fencing token than an earlier one is rejected.
"""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from harness import Record, call

TOKEN_HEADER = "X-Catkinport-Fencing-Token"


class LateOrders:
    """Proxy on a port of its own.

    Args:
        record: record of the case.
        is_first_late: whether the first order for an upkeep is carried out late.

    Attributes:
        late_order: the order that is held back; ``None`` before.
        answered: VMs of the orders that were answered as done.
    """

    def __init__(self, record: Record, is_first_late: bool) -> None:
        self.late_order: tuple[str, dict[str, Any], int] | None = None
        self.answered: list[str] = []
        self._record = record
        self._is_next_late = is_first_late
        self._platform = ""
        self._token_by_vm: dict[str, int] = {}
        self._lock = threading.Lock()

    def start(self, platform: str) -> str:
        """Listen, and send calls on to ``platform``; return the own address."""
        self._platform = platform
        orders = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                """Send a call on that reads."""
                answer = call(orders._platform, "GET", self.path)
                self._answer(answer.status or 503, answer.body)

            def do_POST(self) -> None:
                """Send an order on, or hold it back."""
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length))
                token = int(self.headers.get(TOKEN_HEADER, 0))
                if orders.hold_back(self.path, body, token):
                    self.close_connection = True
                    threading.Event().wait(60.0)
                    return
                self._answer(*orders.send_on(self.path, body, token))

            def _answer(self, status: int, body: Any) -> None:
                content = json.dumps(dict(body)).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            def log_message(self, format: str, *arguments: Any) -> None:
                """Write no log."""

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request: Any, client_address: Any) -> None:
                """Write nothing when a client resets its connection."""

        server = Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"127.0.0.1:{server.server_address[1]}"

    def hold_back(self, path: str, body: dict[str, Any], token: int) -> bool:
        """Keep an order if it is the one to be carried out late."""
        with self._lock:
            if not self._is_next_late or path != "/machine-upkeep":
                return False
            self._is_next_late = False
            self.late_order = (path, body, token)
        self._record.write(f"order {body} token {token}: no answer")
        return True

    def send_on(
        self, path: str, body: dict[str, Any], token: int
    ) -> tuple[int, dict[str, Any]]:
        """Let the platform carry an order out, and return its answer."""
        vm_id = str(body["Machine"])
        with self._lock:
            if token < self._token_by_vm.get(vm_id, 0):
                self._record.write(f"order {body} token {token}: 409 fence")
                return 409, {"Reason": "fence"}
            self._token_by_vm[vm_id] = token
        answer = call(self._platform, "POST", path, body)
        self._record.write(f"order {path} {body} token {token}: {answer.status}")
        if answer.status == 200:
            self.answered.append(vm_id)
        return answer.status or 503, dict(answer.body)

    def carry_out(self) -> None:
        """Carry the order out that was held back."""
        assert self.late_order is not None
        path, body, token = self.late_order
        self._record.write("the order without an answer is carried out now")
        self.send_on(path, body, token)
