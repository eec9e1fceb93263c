"""End-to-end tests of faults that show in pools without room elsewhere."""

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager

from ...processes import ProcessGroup
from ..caller import PlatformCaller, SentJob, StepSpec
from ..checkers import find_violations
from ..deployment import PlatformDeployment, PlatformSize
from .test_end_to_end import COMPLETE_SECONDS, wait_for_owner

N_VMS = 4
REFUSAL_SECONDS = 2.0
"""Time for which the platform refuses calls; shorter than a list of VMs may be old."""

WAVE_SECONDS = 30.0

N_JOBS = 10
TASKS_PER_JOB = 110
"""With `N_JOBS`, more tasks than a worker lists ended runs in one answer."""

SUBMIT_SECONDS = 1.2
"""Time from one submission to the next, in which the tasks of a job start."""

LAST_TASK_SECONDS = 6.0


@contextmanager
def run_platform(size: PlatformSize) -> Iterator[tuple[PlatformDeployment, ...]]:
    """Run a deployment; yield it and a caller of it.

    The logs of a test that fails are kept, and its error names their folder.
    """
    with ProcessGroup(label="test-") as processes:
        processes.is_folder_kept = True
        deployment = PlatformDeployment(processes, size)
        deployment.start()
        caller = PlatformCaller(deployment.list_caller_addresses, random.Random(1))
        yield deployment, caller
        processes.is_folder_kept = False


def wait_for_starts(deployment: PlatformDeployment, n_runs: int) -> None:
    deadline = time.monotonic() + COMPLETE_SECONDS
    n_started = 0
    while n_started < n_runs and time.monotonic() < deadline:
        events = deployment.list_events()
        n_started = sum(event["what"] == "started" for event in events)
        time.sleep(0.1)
    assert n_started >= n_runs


class TestRefusedUpkeep:
    def test_the_wave_completes_and_the_pool_takes_tasks(self):
        """Guards against a pool that stands still after one refused upkeep order.

        Each VM has a lasting task, of which one may be unavailable at a time.
        """
        steps = [
            StepSpec(N_VMS, is_lasting=True, max_away=1, max_per_worker=1),
        ]
        with run_platform(PlatformSize(n_spare_vms=0)) as (deployment, caller):
            jobs = [
                caller.submit(queue, "key-0", steps, "lasts", 10.0)
                for queue in ("queue-0", "queue-1")
            ]
            wait_for_starts(deployment, 2 * N_VMS)
            time.sleep(2.0)
            deployment.set_faults(is_vm_interface_down=True)
            deployment.request_upkeep_wave(1, WAVE_SECONDS, max_down=2)
            time.sleep(REFUSAL_SECONDS)
            deployment.reset_faults()
            deadline = time.monotonic() + 2 * WAVE_SECONDS
            while deployment.find_wave_state(1) != "completed":
                assert time.monotonic() < deadline, "the wave did not complete"
                time.sleep(0.2)
            later = caller.submit(
                "queue-0", "key-0", [StepSpec(1)], "seconds=0.3", 10.0
            )
            state = caller.wait_for(later, ["completed"], COMPLETE_SECONDS)
            assert state == "completed"
            events = deployment.list_events()
            assert find_violations(events, [*jobs, later]) == []


class TestManyEnds:
    def test_done_tasks_do_not_start_again_after_the_owner_was_killed(self):
        """Guards against a new owner that reads only the first ends of a worker."""
        with run_platform(PlatformSize(n_pools=1, n_vms=1, n_spare_vms=0)) as (
            deployment,
            caller,
        ):
            owner = wait_for_owner(deployment)
            jobs, ends_at = self._submit_jobs(caller)
            wait_for_starts(deployment, N_JOBS * TASKS_PER_JOB)
            time.sleep(max(0.0, ends_at - 0.2 - time.monotonic()))
            owner.process.kill()
            assert wait_for_owner(deployment, other_than=owner.name)
            states = [caller.wait_for(j, ["completed"], COMPLETE_SECONDS) for j in jobs]
            assert states == ["completed"] * N_JOBS
            assert find_violations(deployment.list_events(), jobs) == []

    def _submit_jobs(self, caller: PlatformCaller) -> tuple[list[SentJob], float]:
        """Submit jobs whose tasks all end at the same time; return it as well."""
        step = StepSpec(TASKS_PER_JOB, cores=0.01, memory_mb=16)
        ends_at = time.monotonic() + LAST_TASK_SECONDS + SUBMIT_SECONDS * (N_JOBS - 1)
        jobs = []
        for _ in range(N_JOBS):
            seconds = ends_at - time.monotonic()
            specification = f"seconds={seconds:.2f} cores=0.01"
            jobs.append(caller.submit("queue-0", "key-0", [step], specification, 10.0))
            time.sleep(SUBMIT_SECONDS)
        return jobs, ends_at
