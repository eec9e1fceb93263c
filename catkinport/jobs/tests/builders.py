"""Builds jobs, workers and configurations for tests."""

from collections.abc import Mapping, Sequence

from ...policy.resources import NO_RESOURCES, Resources
from ...ports.fleet_workers import (
    Done,
    EndedTask,
    EndKind,
    ListedWorker,
    OrderOutcome,
    RunningTask,
    WorkerLists,
)
from ..configuration import Account, FleetConfiguration, Pool, Queue
from ..dispatch.dispatcher import Dispatcher
from ..model import Job, Step
from ..placement.planner import Planner
from ..placement.round_budget import PlannedStart

POOL = "renders"
QUEUE = "nightly"
ACCOUNT = "studio"
JOB_ID = "00000000000000a1"
NEED = Resources(4.0, 8.0, 0)


def make_step(n_tasks: int = 1, **fields) -> Step:
    return Step(n_tasks, fields.pop("need", NEED), 1.0, **fields)


def make_job(job_id: str = JOB_ID, steps: Sequence[Step] = (), **fields) -> Job:
    values = {"queue": QUEUE, "account": ACCOUNT, "specification": "s", **fields}
    return Job(
        job_id=job_id, steps=tuple(steps or [make_step()]), accepted_at=0.0, **values
    )


def make_configuration(
    max_failures: int = 3,
    limit: Resources = NO_RESOURCES,
    version: int = 1,
    forbids_overcommit: bool = True,
) -> FleetConfiguration:
    queue = Queue(QUEUE, "h", "/q/", POOL, False, 0, max_failures, 1.6, 0.6, 3.0)
    return FleetConfiguration(
        version,
        {QUEUE: queue},
        {
            POOL: Pool(POOL, forbids_overcommit, False),
            "off": Pool("off", True, True),
        },
        {ACCOUNT: Account(ACCOUNT, 1.0, limit)},
        {"key": ACCOUNT},
        262144,
    )


def make_worker(worker_id: str = "w1", cores: float = 16.0, **fields) -> ListedWorker:
    values = {
        "pool": POOL,
        "address": "h:1",
        "zone": "z",
        "is_draining": False,
        "remaining_seconds": 0.0,
        "capacity": Resources(cores, 256.0, 0),
        "labels": ("a", "r1"),
        "started_at": 1.0,
        **fields,
    }
    return ListedWorker(worker_id=worker_id, **values)


class Fleet:
    """A dispatcher with simulated workers that the test controls.

    The roster is stored at once: a worker that restarts stays enrolled.

    Attributes:
        now: clock time in seconds; it only advances when the test says so.
    """

    def __init__(self, workers: Sequence[ListedWorker], **configuration) -> None:
        self.now = 100.0
        self.dispatcher = Dispatcher(make_configuration(**configuration))
        self.planner = Planner(self.dispatcher)
        self.workers = list(workers)
        self.running_by_worker: dict[str, dict[tuple[str, int], RunningTask]] = {
            worker.worker_id: {} for worker in workers
        }
        self.ended_by_worker: dict[str, list[EndedTask]] = {
            worker.worker_id: [] for worker in workers
        }
        self.list_workers()

    def list_workers(self) -> None:
        self.dispatcher.update_workers(self.workers, self.now, self.now)
        for worker_record in self.dispatcher.worker_by_id.values():
            worker_record.is_enrolled = True
        for worker in self.workers:
            self.poll(worker.worker_id)

    def renew_entry(self, worker_id: str, started_at: float) -> None:
        """Read the list with the entry of an incarnation, and store the roster."""
        self.workers = [
            worker._replace(started_at=started_at)
            if worker.worker_id == worker_id
            else worker
            for worker in self.workers
        ]
        self.dispatcher.update_workers(self.workers, self.now, self.now)
        self.dispatcher.worker_by_id[worker_id].is_enrolled = True

    def advance(self, seconds: float) -> None:
        self.now += seconds

    def poll(
        self, worker_id: str, started_at: float = 1.0, sent_at: float | None = None
    ) -> None:
        """Process a report of a poll that was sent at ``sent_at``, or just now."""
        lists = WorkerLists(
            started_at,
            list(self.running_by_worker[worker_id].values()),
            list(self.ended_by_worker[worker_id]),
        )
        worker = self.dispatcher.worker_by_id[worker_id]
        worker.extend_lease(self.now)
        sent_at = self.now if sent_at is None else sent_at
        is_enrolled = worker.is_enrolled
        self.dispatcher.on_worker_report(worker_id, lists, sent_at, self.now)
        worker.is_enrolled = is_enrolled

    def poll_all(self) -> None:
        for worker_id in self.running_by_worker:
            self.poll(worker_id)

    def plan(self, **options) -> list[PlannedStart]:
        return self.planner.plan(self.now, self.now, **options)

    def start(self, **options) -> list[PlannedStart]:
        """Plan, and let the workers carry out every start order."""
        starts = self.plan(**options)
        for start in starts:
            self.answer(start, Done())
        return starts

    def answer(self, start: PlannedStart, outcome: OrderOutcome) -> None:
        run = start.run
        if isinstance(outcome, Done):
            self.running_by_worker[run.worker_id][run.key] = RunningTask(
                run.key.task, run.key.run, "", 0.0, 0.0
            )
        self.dispatcher.on_start_outcome(run, outcome, self.now)

    def end(
        self, start: PlannedStart, how: EndKind = EndKind.DONE, checkpoint: str = ""
    ) -> None:
        run = start.run
        self.running_by_worker[run.worker_id].pop(run.key, None)
        ended = self.ended_by_worker[run.worker_id]
        number = len(ended) + 1
        ended.append(EndedTask(number, run.key.task, run.key.run, how, checkpoint))
        self.poll(run.worker_id)

    def states(self) -> Mapping[str, str]:
        return {i: r.state.value for i, r in self.dispatcher.job_by_id.items()}
