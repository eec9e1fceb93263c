"""Stand-in of the platform: table service, object store and VM list over HTTP."""

import hashlib
import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Annotated

import cappa

from ..ports import Committed, Condition, RowKey, Transaction, Write
from ..runtime import (
    BadRequestError,
    BootTimeClock,
    HttpAnswer,
    HttpRequest,
    HttpServer,
    Router,
    json_answer,
)
from ._compression import compressible_answer
from ._serving import serve_until_stopped
from ._table import MemoryTable
from ._vms import MemoryVmList
from .faults import FaultSettings, add_fault_routes

FAULT_DEFAULTS = {
    "is_down": False,
    "delay_seconds": 0.0,
    # Number of the next commits that take effect but whose answers are lost.
    "lost_commit_answers": 0,
    "lost_answer_probability": 0.0,
    # The VM list is not available.
    "is_list_down": False,
    # Age of the VM list that is shown.
    "list_lag_seconds": 0.0,
    # Comma-separated client names that cannot reach the platform.
    "cut_clients": "",
}
READS_PER_SECOND = 2000
WRITES_PER_SECOND = 500
SEED = 20261204
# Size of a request line and of the head of an answer, as cheroot sends them.
REQUEST_LINE_BYTES = 60
ANSWER_HEAD_BYTES = 130


class RateLimiter:
    """Token bucket that holds the tokens of one second, ``per_second``, at most."""

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = per_second
        self._updated = time.monotonic()
        self._lock = threading.Lock()

    def take(self, amount: float) -> bool:
        """Take ``amount`` tokens; return ``False`` if the bucket is empty.

        A call may take more tokens than are left; calls then fail until the bucket
        has refilled.
        """
        with self._lock:
            now = time.monotonic()
            earned = (now - self._updated) * self._per_second
            self._tokens = min(self._per_second, self._tokens + earned)
            self._updated = now
            if self._tokens <= 0:
                return False
            self._tokens -= amount
            return True


class PlatformStandin:
    """Table service, object store and VM list on one HTTP server, with faults.

    Args:
        host: IP address to listen on.
        port: port to listen on; 0 lets the kernel choose.
        reboot_seconds: duration of a reboot of a VM.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0, reboot_seconds=2.0):
        self.faults = FaultSettings(FAULT_DEFAULTS)
        self.table = MemoryTable()
        self.vm_list = MemoryVmList(BootTimeClock(), reboot_seconds)
        self._content_by_name: dict[str, bytes] = {}
        self._read_limiter = RateLimiter(READS_PER_SECOND)
        self._write_limiter = RateLimiter(WRITES_PER_SECOND)
        self._rng = random.Random(SEED)
        self._counts: Counter[str] = Counter()
        self._n_bytes_by_client: Counter[str] = Counter()
        router = Router()
        self._add_table_routes(router)
        self._add_object_routes(router)
        self._add_vm_routes(router)
        add_fault_routes(router, self.faults)
        self._server = HttpServer(router, host, port, n_threads=40)

    @property
    def address(self) -> str:
        """``host:port`` that the stand-in listens on."""
        return self._server.address

    def count_bytes(self, client: str) -> int:
        """Return how many bytes were sent to and received from a client."""
        return self._n_bytes_by_client[client]

    def start(self) -> None:
        """Start serving in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _add_table_routes(self, router: Router) -> None:
        @router.route("POST", "/table/read")
        def read(request: HttpRequest) -> HttpAnswer:
            row_keys = [RowKey(*pair) for pair in request.read_json()["row_keys"]]
            return self._serve(
                request, "reads", len(row_keys), lambda: self._read(row_keys)
            )

        @router.route("GET", "/table/scan")
        def scan(request: HttpRequest) -> HttpAnswer:
            return self._serve(request, "reads", 1, lambda: self._scan(request.query))

        @router.route("POST", "/table/commit")
        def commit(request: HttpRequest) -> HttpAnswer:
            transactions = _parse_transactions(request.read_json())
            n_writes = sum(len(transaction.writes) for transaction in transactions)
            return self._serve(
                request, "writes", n_writes, lambda: self._commit(transactions)
            )

        @router.route("GET", "/standin/counts")
        def show_counts(request: HttpRequest) -> HttpAnswer:
            return json_answer(200, dict(self._counts))

        @router.route("GET", "/standin/bytes")
        def show_bytes(request: HttpRequest) -> HttpAnswer:
            return json_answer(200, dict(self._n_bytes_by_client))

        @router.route("GET", "/standin/history/{table}")
        def show_history(request: HttpRequest, table: str) -> HttpAnswer:
            return json_answer(200, {"changes": self.table.list_history(table)})

    def _add_object_routes(self, router: Router) -> None:
        @router.route("PUT", "/objects/{name*}")
        def put(request: HttpRequest, name: str) -> HttpAnswer:
            length = int(request.environ.get("CONTENT_LENGTH") or 0)
            content = request.environ["wsgi.input"].read(length)

            def store() -> HttpAnswer:
                self._content_by_name[name] = content
                return json_answer(200, {})

            return self._serve(request, "object_writes", 0, store)

        @router.route("GET", "/objects/{name*}")
        def get(request: HttpRequest, name: str) -> HttpAnswer:
            content = self._content_by_name.get(name)
            if content is None:
                return self._serve(
                    request, "object_reads", 0, lambda: json_answer(404, {})
                )
            return self._serve(
                request, "object_reads", 0, lambda: HttpAnswer(200, content)
            )

        @router.route("DELETE", "/objects/{name*}")
        def delete(request: HttpRequest, name: str) -> HttpAnswer:
            def remove() -> HttpAnswer:
                self._content_by_name.pop(name, None)
                return json_answer(200, {})

            return self._serve(request, "object_writes", 0, remove)

    def _add_vm_routes(self, router: Router) -> None:
        @router.route("GET", "/vms")
        def list_vms(request: HttpRequest) -> HttpAnswer:
            if self.faults["is_list_down"]:
                return json_answer(503, {"error": "the list is down"})
            vms = self.vm_list.list_vms(self.faults["list_lag_seconds"])
            answer = _answer_vm_list(request, [vm._asdict() for vm in vms])
            client = request.headers.get("client-name", "")
            self._n_bytes_by_client[client] += len(answer.body) + ANSWER_HEAD_BYTES
            self._counts["lists"] += 1
            return answer

        @router.route("PUT", "/vms/{vm_id}")
        def put_vm(request: HttpRequest, vm_id: str) -> HttpAnswer:
            self.vm_list.put({**request.read_json(), "vm_id": vm_id})
            return json_answer(200, {})

        @router.route("POST", "/vms/{vm_id}/reboot")
        def reboot(request: HttpRequest, vm_id: str) -> HttpAnswer:
            if self.faults["is_list_down"]:
                return json_answer(503, {"error": "the list is down"})
            is_known = self.vm_list.reboot(vm_id, request.read_json()["token"])
            return json_answer(200 if is_known else 404, {})

    def _serve(
        self,
        request: HttpRequest,
        kind: str,
        amount: int,
        operation: Callable[[], HttpAnswer],
    ) -> HttpAnswer:
        client = request.headers.get("client-name", "")
        is_cut = bool(client) and client in self.faults["cut_clients"].split(",")
        if self.faults["is_down"] or is_cut:
            return json_answer(503, {"error": "the service is down"})
        if self.faults["delay_seconds"] > 0:
            time.sleep(self.faults["delay_seconds"])
        self._count_bytes(client, request)
        limiter = self._write_limiter if kind == "writes" else self._read_limiter
        if not limiter.take(amount):
            return json_answer(429, {"error": f"too many {kind} a second"})
        self._counts[kind] += amount
        self._counts[f"{kind}_calls"] += 1
        answer = operation()
        if isinstance(answer.body, bytes):
            self._n_bytes_by_client[client] += len(answer.body) + ANSWER_HEAD_BYTES
        return answer

    def _count_bytes(self, client: str, request: HttpRequest) -> None:
        n_header_bytes = sum(len(n) + len(v) + 4 for n, v in request.headers.items())
        n_body_bytes = int(request.environ.get("CONTENT_LENGTH") or 0)
        n_bytes = REQUEST_LINE_BYTES + n_header_bytes + n_body_bytes
        self._n_bytes_by_client[client] += n_bytes

    def _read(self, row_keys: list[RowKey]) -> HttpAnswer:
        rows = self.table.read(row_keys).values()
        return json_answer(200, {"rows": [_row_to_list(row) for row in rows]})

    def _scan(self, query) -> HttpAnswer:
        page = self.table.scan(
            query["table"],
            query.get("prefix", ""),
            query.get("after_key", ""),
            min(int(query.get("limit", 500)), 1000),
        )
        rows = [_row_to_list(row) for row in page.rows]
        return json_answer(200, {"rows": rows, "next_after_key": page.next_after_key})

    def _commit(self, transactions: list[Transaction]) -> HttpAnswer:
        outcomes = self.table.commit_batch(transactions)
        is_lost = self.faults.consume("lost_commit_answers")
        if is_lost or self._rng.random() < self.faults["lost_answer_probability"]:
            # A proxy in front of the service would answer with status 504 here.
            return json_answer(504, {"error": "the answer was lost"})
        results = [
            {
                "is_committed": isinstance(outcome, Committed),
                "versions": [
                    [*row_key, version]
                    for row_key, version in outcome.versions_by_row_key.items()
                ],
            }
            for outcome in outcomes
        ]
        return json_answer(200, {"results": results})


def _answer_vm_list(request: HttpRequest, vms: list[dict]) -> HttpAnswer:
    digest = hashlib.sha256(json.dumps(vms).encode()).hexdigest()[:32]
    headers = {"ETag": f'"{digest}"'}
    if request.headers.get("if-none-match") == headers["ETag"]:
        return HttpAnswer(304, b"", headers)
    return compressible_answer(request, {"vms": vms}, headers)


def _parse_transactions(body: dict) -> list[Transaction]:
    try:
        return [
            Transaction(
                [Condition(RowKey(t, k), v) for t, k, v in entry["conditions"]],
                [Write(RowKey(t, k), value) for t, k, value in entry["writes"]],
            )
            for entry in body["transactions"]
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise BadRequestError(f"malformed transactions: {error}") from error


def _row_to_list(row) -> list:
    return [*row.row_key, row.version, row.value]


@cappa.command(name="catkin-standin-platform")
class PlatformCommand:
    """Run the stand-in of the platform until it is told to stop."""

    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 0
    reboot_seconds: Annotated[float, cappa.Arg(long=True)] = 2.0

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        serve_until_stopped(
            lambda: PlatformStandin(self.host, self.port, self.reboot_seconds)
        )


def main() -> None:
    """Parse the command line of ``catkin-standin-platform`` and run it."""
    cappa.invoke(PlatformCommand)


if __name__ == "__main__":
    main()
