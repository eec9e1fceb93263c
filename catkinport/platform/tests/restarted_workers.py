"""Workers that start again under their ids, and an owner that calls them step by step.

The owner's parts and its client of the workers are real; the workers are incarnations
of the stand-in, and the calls between them are carried out, held up or lost as the test
says.
"""

import asyncio
import json
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from ...jobs.dispatch.dispatcher import Dispatcher
from ...jobs.ownership.run_orders import RunOrders
from ...jobs.ownership.session import OwnerPorts, OwnerSession
from ...jobs.ownership.worker_watch import WorkerWatch
from ...jobs.placement.planner import Planner
from ...jobs.placement.round_budget import PlannedStart
from ...jobs.placement.run_stops import find_stops
from ...jobs.tests.builders import POOL, make_configuration, make_job, make_step
from ...policy.leadership import OwnLease
from ...policy.resources import Resources
from ...ports import Reason, Unavailable
from ...ports.async_table import Snapshot
from ...ports.clock import ManualClock
from ...ports.table import Row, RowKey
from ...runtime import Metrics
from ..client import Reply
from ..standin.worker_incarnation import (
    RunEvent,
    StartError,
    WorkerIncarnation,
)
from ..workers import PlatformWorkers

LONGEST_LEASE_SECONDS = 10.0
CAPACITY = {"Cpu": 16_000, "MemMb": 262_144, "Gpu": 0}
FIRST_CLOCK_SECONDS = 500.0
"""Time for which the first incarnation of a worker has been up."""


class Call(NamedTuple):
    """A call that a worker has not carried out yet."""

    worker_id: str
    path: str
    body: dict[str, Any]


class StandinWorker:
    """The present incarnation of a worker, which may be cut off or down."""

    def __init__(self, worker_id: str, now: float, events: list[RunEvent]) -> None:
        self.worker_id = worker_id
        self.is_reachable = True
        self._events = events
        self._born = 1_000
        self._begin(now - FIRST_CLOCK_SECONDS)

    def restart(self, now: float) -> None:
        """Replace the incarnation by one that starts now, under the same id."""
        self.incarnation.end_all("crashed", now)
        self._born += 1_000
        self._begin(now)

    def carry_out(self, path: str, body: dict[str, Any], now: float) -> Reply:
        """Carry out a call and return the answer."""
        answer = {"ClockMs": int((now - self._booted_at) * 1000), "born": self._born}
        incarnation = self.incarnation
        if not incarnation.accepts(body["FencingToken"]):
            return Reply(409, {**answer, "Reason": "fence"})
        until = self._booted_at + body["UntilMs"] / 1000 if "UntilMs" in body else None
        if path == "/run-start":
            try:
                incarnation.start(body, until, now)
            except StartError as error:
                return Reply(409, {**answer, "Reason": str(error)})
        elif path == "/run-stop":
            incarnation.stop(body["Task"], body["Run"], now)
        elif path == "/pace":
            incarnation.pace(body["Task"], body["Run"], body["Percent"], now)
        else:
            incarnation.advance(now)
            incarnation.extend_lease(until, now)
            incarnation.acknowledge_ends(body["LastSeen"], now)
            # JSON has lists where the stand-in has tuples.
            answer |= json.loads(json.dumps(incarnation.encode_lists(now)))
        return Reply(200, answer)

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list of workers."""
        return {
            "Service": POOL,
            "Address": f"{self.worker_id}:1",
            "Zone": "z",
            "State": "ready",
            "Capacity": CAPACITY,
            "born": self._born,
        }

    def _begin(self, booted_at: float) -> None:
        self._booted_at = booted_at
        self.incarnation = WorkerIncarnation(
            self.worker_id,
            Resources(16.0, 256.0, 0),
            self._born,
            self._events,
            LONGEST_LEASE_SECONDS,
        )


class RestartedWorkers:
    """An owner, its workers and the calls between them.

    Attributes:
        events: what has happened to the runs.
        is_list_old: whether the owner goes on to read the entries that it has read.
        unlisted_ids: workers whose entries have expired.
        held_up: calls that were not carried out yet, in their order.
        holds_up: path of the calls that are held up; empty for none.
    """

    def __init__(self, worker_ids: Sequence[str]) -> None:
        self.clock = ManualClock(1000.0)
        self.events: list[RunEvent] = []
        self.held_up: list[Call] = []
        self.holds_up = ""
        self.worker_by_id = {
            worker_id: StandinWorker(worker_id, self.now, self.events)
            for worker_id in worker_ids
        }
        self._n_jobs = 0
        self.is_list_old = False
        self.unlisted_ids: set[str] = set()
        self._entries: dict[str, dict[str, Any]] = {}
        self.dispatcher = Dispatcher(
            make_configuration(), longest_lease=LONGEST_LEASE_SECONDS
        )
        clients: Any = PlatformWorkers(self, self, self.clock)
        ports = OwnerPorts(self, clients, None, None, self.clock, Metrics())
        self.session = OwnerSession(ports, self.dispatcher, OwnLease(1, self.now))
        self.watch = WorkerWatch(self.session, self, 0.0)
        self.orders = RunOrders(self.session, self.watch)
        self._planner = Planner(self.dispatcher)
        self.list_workers()
        self.poll_all()
        self.poll_all()

    @property
    def now(self) -> float:
        """Clock time in seconds."""
        return self.clock.now()

    async def call(
        self, step, worker_id, peer, path, timeout, body, headers, incarnation
    ):
        """Pass a call to its worker, as the owner's HTTP client."""
        worker = self.worker_by_id[peer.partition(":")[0]]
        if path == self.holds_up:
            self.held_up.append(Call(worker.worker_id, path, body))
            return Unavailable(Reason.TIMEOUT, step, peer, "", True)
        if not worker.is_reachable:
            return Unavailable(Reason.TIMEOUT, step, peer, "", True)
        return worker.carry_out(path, body, self.now)

    async def read_range(self, table):
        """Return the list of workers, as the owner's client of the store."""
        if not self.is_list_old:
            self._entries = {i: w.entry() for i, w in self.worker_by_id.items()}
        rows = [
            Row(RowKey(table, worker_id), entry["born"], entry)
            for worker_id, entry in self._entries.items()
            if worker_id not in self.unlisted_ids
        ]
        return Snapshot(rows, 1)

    async def wait_until_stored(self, worker, end):
        """Wait for nothing, as the owner's store of states; see `store`."""
        return True

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.advance(seconds)
        for worker in self.worker_by_id.values():
            worker.incarnation.advance(self.now)
        self.session.note_renewed(self.now)

    def cancel_job(self, call: Call) -> None:
        """Cancel the job whose run a call is for."""
        self.dispatcher.cancel_job(call.body["Task"].partition(".")[0])

    def submit(self, seconds: float, n_tasks: int = 1) -> None:
        """Submit a job with tasks that take ``seconds``."""
        self._n_jobs += 1
        job_id = f"{self._n_jobs:016x}"
        steps = [make_step(n_tasks)._replace(estimate_seconds=seconds)]
        job = make_job(job_id, steps, specification=f"seconds={seconds} cores=4")
        self.dispatcher.add_job(job, self.now)

    def list_workers(self) -> None:
        """Read the list of workers; all of them are enrolled."""
        listed = asyncio.run(self.session.ports.workers.list_workers())
        self.dispatcher.update_workers(listed, self.now, self.now)
        for worker in self.dispatcher.worker_by_id.values():
            worker.is_enrolled = True

    def poll(self, worker_id: str) -> None:
        """Poll a worker."""
        asyncio.run(self.watch.poll(self.dispatcher.worker_by_id[worker_id]))

    def poll_all(self) -> None:
        """Poll the workers."""
        for worker_id in list(self.dispatcher.worker_by_id):
            self.poll(worker_id)

    def plan(self) -> None:
        """Send the starts that are due."""
        for start in self.find_starts():
            asyncio.run(self.orders._send_start(start))

    def hold_up_start(self, worker_id: str) -> Call:
        """Submit a job whose only start is sent to a worker, but not carried out yet.

        The other workers can't be reached from then on.

        Args:
            worker_id: the worker.

        Returns:
            The start.
        """
        for other_id in self.worker_by_id.keys() - {worker_id}:
            self.worker_by_id[other_id].is_reachable = False
            self.poll(other_id)
        self.submit(60.0)
        self.holds_up = "/run-start"
        self.plan()
        self.holds_up = ""
        (start,) = self.held_up
        assert start.worker_id == worker_id
        return start

    def find_starts(self) -> list[PlannedStart]:
        """Return the starts that are due."""
        self.dispatcher.expire(self.now)
        return self._planner.plan(self.now, self.now)

    def stop(self) -> None:
        """Send the stops that are due."""
        for stop in list(find_stops(self.dispatcher, self.now)):
            asyncio.run(self.orders._send_stop(stop))

    def store(self) -> None:
        """Store the states of the jobs."""
        for record in self.dispatcher.dirty_jobs():
            record.row_version += 1
            record.is_dirty = False
            self.dispatcher.forget_ended(record)
        for worker in self.dispatcher.worker_by_id.values():
            worker.stored_end = worker.processed_end

    def run_owner(self, seconds: float) -> None:
        """Let time pass in which the owner does all that is due, twice a second."""
        for _ in range(int(seconds * 2)):
            self.advance(0.5)
            self.list_workers()
            self.poll_all()
            self.store()
            self.stop()
            self.plan()

    def deliver(self, call: Call) -> Reply:
        """Let a worker carry out a call that was held up."""
        worker = self.worker_by_id[call.worker_id]
        return worker.carry_out(call.path, call.body, self.now)

    def second_runs(self) -> Iterator[str]:
        """Yield each start of a task that runs, or that has ended as done and noted."""
        open_runs: dict[str, set[tuple[str, int]]] = {}
        noted: set[str] = set()
        for event in self.events:
            runs = open_runs.setdefault(event.task, set())
            run = (event.worker, event.run)
            if event.what == "noted":
                noted.add(event.task)
            elif event.what != "started":
                runs.discard(run)
            else:
                if runs:
                    yield f"{event.task} starts on {run} while it runs on {runs}"
                if event.task in noted:
                    yield f"{event.task} starts on {run} after its end"
                runs.add(run)
