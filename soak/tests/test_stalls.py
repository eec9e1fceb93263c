"""Tests of the monitor that looks for jobs that stall beside room."""

import pytest

from verification.platform.caller import SentJob, StepSpec

from ..stalls import LASTING_GRACE_SECONDS, MIN_STALL_SECONDS, RunBook, StallMonitor

JOB_ID = "00000000000000a1"
ACCEPTED_AT = 100.0
TASK_CORES = 8.0


def make_event(what, task, run=1, worker="w1", at=ACCEPTED_AT):
    return {"what": what, "task": task, "run": run, "worker": worker, "at": at}


def make_job(*steps):
    return SentJob(JOB_ID, "queue-0", "key-0", steps, ACCEPTED_AT, True)


class FakeDeployment:
    """Deployment with the VMs and events that the test sets."""

    def __init__(self, n_vms=2, cores=16.0):
        self.events = []
        self.vms = [
            {
                "Pool": "pool-0",
                "State": "up",
                "Id": f"w{number}",
                "Capacity": {"Cpu": cores * 1000},
            }
            for number in range(n_vms)
        ]

    def list_events(self, first=0):
        return self.events[first:]

    def list_vms(self):
        return self.vms


def find_stalls(deployment, job, seconds):
    """Look twice, ``seconds`` apart; return the stalls that last until then."""
    monitor = StallMonitor(deployment, [job])
    monitor.look(ACCEPTED_AT + LASTING_GRACE_SECONDS + 1.0)
    monitor.look(ACCEPTED_AT + LASTING_GRACE_SECONDS + 1.0 + seconds)
    deployment.vms = []
    monitor.look(ACCEPTED_AT + LASTING_GRACE_SECONDS + 1.0 + seconds)
    return monitor.stalls


class TestStall:
    @pytest.mark.parametrize(
        ("seconds", "n_stalls"),
        [(MIN_STALL_SECONDS - 0.5, 0), (MIN_STALL_SECONDS + 0.5, 1)],
    )
    def test_a_job_without_a_run_beside_room(self, seconds, n_stalls):
        """Guards against a monitor that sees no stall, or one in each short wait."""
        stalls = find_stalls(FakeDeployment(), make_job(StepSpec(2, 8.0)), seconds)
        assert len(stalls) == n_stalls

    def test_a_job_of_which_a_task_runs(self):
        """Guards against stalls of jobs that go on."""
        deployment = FakeDeployment()
        deployment.events = [make_event("started", f"{JOB_ID}.0.0.0")]
        assert find_stalls(deployment, make_job(StepSpec(2, 8.0)), 9.0) == []

    def test_a_job_in_a_pool_that_is_half_used(self):
        """Guards against stalls in pools where tasks have to wait for their turn."""
        deployment = FakeDeployment(n_vms=1)
        other = make_job(StepSpec(1, TASK_CORES))._replace(job_id="0" * 16)
        deployment.events = [make_event("started", f"{other.job_id}.0.0.0", 1, "w0")]
        monitor = StallMonitor(deployment, [make_job(StepSpec(1, 4.0)), other])
        monitor.look(110.0)
        monitor.look(120.0)
        deployment.vms = []
        monitor.look(120.0)
        assert monitor.stalls == []

    def test_a_step_whose_earlier_step_is_not_done(self):
        """Guards against stalls of tasks that may not start yet."""
        deployment = FakeDeployment()
        deployment.events = [
            make_event("started", f"{JOB_ID}.0.0.0"),
            make_event("stopped", f"{JOB_ID}.0.0.0"),
            make_event("started", f"{JOB_ID}.0.0.0", 2),
        ]
        job = make_job(StepSpec(1, 8.0), StepSpec(1, 8.0, after=(0,)))
        assert find_stalls(deployment, job, 9.0) == []

    def test_a_lasting_task_that_is_away_beside_others(self):
        """Guards against lasting tasks that are only missed with their whole job."""
        deployment = FakeDeployment()
        deployment.events = [make_event("started", f"{JOB_ID}.0.0.0")]
        job = make_job(StepSpec(2, 4.0, is_lasting=True))
        (stall,) = find_stalls(deployment, job, 9.0)
        assert stall.name == f"{JOB_ID}.0.0.1"


class TestRunBook:
    def test_a_run_ends_with_its_own_end(self):
        """Guards against an earlier run whose late end hides a later one."""
        book = RunBook()
        task = f"{JOB_ID}.0.0.0"
        book.add([make_event("started", task, 1, "w1")])
        book.add([make_event("started", task, 2, "w2")])
        book.add([make_event("lapsed", task, 1, "w1")])
        assert book.is_running(task)
        assert book.workers_of(task) == ["w2"]
        book.add([make_event("done", task, 2, "w2"), make_event("noted", task, 2)])
        assert not book.is_running(task)
        assert task in book.done
