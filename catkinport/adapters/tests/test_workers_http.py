"""Tests of the HTTP client of workers against the worker stand-in."""

import pytest

from ...ports import NotRun, Reason, TaskSpecification, TaskState, Unavailable, Unknown
from ...standins.worker import WorkerStandin
from ..workers_http import HttpWorkers

TASK = TaskSpecification("j/1", 1, 2, "a", "sleep", "", "", "r", 1.0, 1.0, 0, 60.0)


@pytest.fixture
def worker():
    standin = WorkerStandin()
    standin.start()
    yield standin
    standin.stop()


class TestHttpWorkers:
    def test_task_is_started_throttled_and_checkpointed(self, worker):
        """Guards against calls that the worker does not understand."""
        workers = HttpWorkers()
        assert workers.start_task(worker.address, TASK, 60.0) is None
        assert workers.throttle_task(worker.address, "j/1", 1, 2, 0.5) is None
        report = workers.renew_leases(worker.address, 2, ["j/1"], 60.0)[0]
        assert (report.state, report.used_cores) == (TaskState.THROTTLED, 0.5)
        assert workers.checkpoint_task(worker.address, "j/1", 1, 2) is None
        report = workers.renew_leases(worker.address, 2, [], 60.0)[0]
        assert report.state is TaskState.CHECKPOINTED
        assert workers.stop_task(worker.address, "j/1", 1, 2) is None

    def test_lower_epoch_and_full_worker_are_not_run(self, worker):
        """Guards against a rejected start that is taken for a success."""
        workers = HttpWorkers()
        workers.start_task(worker.address, TASK, 60.0)
        old = workers.start_task(worker.address, TASK._replace(epoch=1), 60.0)
        assert isinstance(old, NotRun) and old.reason == Reason.NOT_OWNER
        worker.faults.update({"is_full": True})
        full = workers.start_task(worker.address, TASK._replace(attempt=2), 60.0)
        assert isinstance(full, NotRun) and full.reason == Reason.BACKEND_FULL

    def test_start_without_an_answer_is_unknown(self, worker):
        """Guards against ``NotRun`` for a task that the worker runs."""
        worker.faults.update({"delay_seconds": 0.3})
        outcome = HttpWorkers(timeout_seconds=0.05).start_task(
            worker.address, TASK, 60.0
        )
        assert isinstance(outcome, Unknown)

    def test_unreachable_worker(self):
        """Guards against an exception when no worker listens at the address."""
        workers = HttpWorkers()
        assert isinstance(workers.start_task("127.0.0.1:1", TASK, 60.0), NotRun)
        renewed = workers.renew_leases("127.0.0.1:1", 1, [], 60.0)
        assert isinstance(renewed, Unavailable) and not renewed.may_have_committed
