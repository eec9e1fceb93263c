"""Stand-in of a worker that runs tasks under leases, with fault injection."""

import json
import time
from typing import Annotated

import cappa

from ..adapters import HttpClient, HttpObjectStore
from ..ports import TaskSpecification, TaskState
from ..runtime import (
    BootTimeClock,
    HttpAnswer,
    HttpRequest,
    HttpServer,
    Router,
    StopSignal,
    configure_logging,
    json_answer,
)
from ._compression import compressible_answer
from ._tasks import TaskTable
from .faults import FaultSettings, add_fault_routes

FAULT_DEFAULTS = {
    "is_down": False,
    "delay_seconds": 0.0,
    # Every task that starts fails at once.
    "fails_everything": False,
    # Starts are refused with status 503.
    "is_full": False,
    # Delay of the reported usage of a task after its start.
    "usage_lag_seconds": 0.0,
}


class WorkerStandin:
    """Worker that starts no processes and simulates its tasks by the clock.

    Args:
        platform_address: ``host:port`` of the object store, empty for none.
        host: IP address to listen on.
        port: port to listen on; 0 lets the kernel choose.
    """

    def __init__(
        self, platform_address: str = "", host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.faults = FaultSettings(FAULT_DEFAULTS)
        self.tasks = TaskTable(BootTimeClock())
        self._objects = None
        if platform_address:
            client = HttpClient(platform_address, "worker", n_connections=1)
            self._objects = HttpObjectStore(client)
        router = Router()
        add_fault_routes(router, self.faults)
        router.route("POST", "/tasks")(self._start)
        router.route("POST", "/leases")(self._renew)
        router.route("POST", "/tasks/{job_id}/{operation}")(self._apply_operation)
        router.route("GET", "/standin/executions")(self._show_executions)
        self._server = HttpServer(router, host, port, n_threads=4)

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

    def store_results(self) -> None:
        """Store results and checkpoints of tasks that ended since the last call."""
        for task in self.tasks.take_finished():
            if self._objects is None:
                continue
            specification = task.specification
            content = json.dumps(
                {"job_id": specification.job_id, "progress": task.progress}
            ).encode()
            is_done = task.state is TaskState.DONE
            name = specification.result_reference if is_done else ""
            self._objects.put(name or task.checkpoint_reference, content)

    def _start(self, request: HttpRequest) -> HttpAnswer:
        body = request.read_json()
        if self._is_refused() or self.faults["is_full"]:
            return json_answer(503, {"error": "not run"}, {"Catkin-Not-Run": "true"})
        lease_seconds = body.pop("lease_seconds")
        specification = TaskSpecification(**body)
        is_accepted = self.tasks.start(
            specification,
            lease_seconds,
            self._read_progress(specification.checkpoint_reference),
            self.faults["fails_everything"],
        )
        return json_answer(200 if is_accepted else 409, {})

    def _renew(self, request: HttpRequest) -> HttpAnswer:
        body = request.read_json()
        if self._is_refused():
            return json_answer(503, {"error": "the worker is down"})
        self.tasks.renew(body["epoch"], body["job_ids"], body["lease_seconds"])
        self.store_results()
        lag_seconds = self.faults["usage_lag_seconds"]
        reports = [r._asdict() for r in self.tasks.list_reports(lag_seconds)]
        return compressible_answer(request, {"reports": reports})

    def _apply_operation(
        self, request: HttpRequest, job_id: str, operation: str
    ) -> HttpAnswer:
        body = request.read_json()
        if self._is_refused():
            return json_answer(503, {"error": "the worker is down"})
        if operation not in ("checkpoint", "throttle", "stop"):
            return json_answer(404, {"error": f"unknown operation {operation!r}"})
        is_accepted = self.tasks.apply_operation(job_id, operation, body)
        self.store_results()
        return json_answer(200 if is_accepted else 409, {})

    def _show_executions(self, request: HttpRequest) -> HttpAnswer:
        events = [event._asdict() for event in self.tasks.events]
        return json_answer(200, {"events": events})

    def _is_refused(self) -> bool:
        if self.faults["delay_seconds"] > 0:
            time.sleep(self.faults["delay_seconds"])
        return self.faults["is_down"]

    def _read_progress(self, checkpoint_reference: str) -> float:
        if not checkpoint_reference or self._objects is None:
            return 0.0
        content = self._objects.get(checkpoint_reference)
        if not isinstance(content, bytes):
            return 0.0
        return float(json.loads(content)["progress"])


@cappa.command(name="catkin-standin-worker")
class WorkerCommand:
    """Run stand-ins of workers until they are told to stop."""

    platform: Annotated[str, cappa.Arg(long=True)] = ""
    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 0
    count: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT; ``count`` above 1 needs port 0."""
        configure_logging()
        stop_signal = StopSignal()
        workers = [
            WorkerStandin(self.platform, self.host, self.port)
            for _ in range(self.count)
        ]
        for worker in workers:
            worker.start()
            print(f"listening on {worker.address}", flush=True)
        while not stop_signal.wait(0.2):
            for worker in workers:
                worker.store_results()
        for worker in workers:
            worker.stop()


def main() -> None:
    """Parse the command line of ``catkin-standin-worker`` and run it."""
    cappa.invoke(WorkerCommand)


if __name__ == "__main__":
    main()
