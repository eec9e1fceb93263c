"""End-to-end tests of new workers, which get no tasks before they are enrolled."""

import time

import pytest

from ..caller import StepSpec
from ..checkers import find_violations
from ..deployment import PlatformSize
from .test_end_to_end import wait_for_owner
from .test_pools_without_spare_vms import run_platform

FINISH_SECONDS = 17.0
"""Longest time until a job with room in its pool must have started, as promised to
users: 14 s, and 3 s in which nothing of it may be waiting."""

LATE_SECONDS = 0.8
"""Delay of the answers to commits of the owner, longer than the timeout of a commit at
a store that answers reads at once."""

DOWN_SECONDS = 0.5

SIZE = PlatformSize(n_vms=3, n_spare_vms=0)


def replace_workers(deployment):
    """Let all VMs crash, which come back with new workers."""
    for number in range(SIZE.n_pools * SIZE.n_vms):
        deployment.set_vm_faults(f"m-{number}", crash_seconds=DOWN_SECONDS)


def submit_jobs(caller):
    """Submit a job to each pool."""
    return [
        caller.submit(queue, "key-0", [StepSpec(4)], "seconds=0.5", 10.0)
        for queue in ("queue-0", "queue-1")
    ]


def wait_for_jobs(caller, jobs):
    """Return the states in which jobs are in the end."""
    deadline = time.monotonic() + FINISH_SECONDS
    states = []
    for job in jobs:
        left_seconds = max(0.0, deadline - time.monotonic())
        states.append(caller.wait_for(job, ["completed"], left_seconds))
    return states


class TestLateAnswers:
    def test_new_workers_get_tasks_though_the_owner_gets_late_answers(self):
        """Guards against pools without tasks while commits are answered too late.

        The store carries out each commit of the owner at once, and answers it after its
        timeout. Reads are answered at once, so that the timeout stays short.
        """
        with run_platform(SIZE) as (deployment, caller):
            wait_for_owner(deployment)
            jobs = submit_jobs(caller)
            assert wait_for_jobs(caller, jobs) == ["completed"] * 2
            deployment.set_faults(
                late_answer_part="fleet", late_answer_seconds=LATE_SECONDS
            )
            replace_workers(deployment)
            jobs += submit_jobs(caller)
            assert wait_for_jobs(caller, jobs) == ["completed"] * 4
            assert find_violations(deployment.list_events(), jobs) == []


class TestForeignEntries:
    @pytest.mark.parametrize(
        "change",
        [{"Service": ""}, {"Service": "x" * 201}, {"Labels": ["x" * 66_000]}],
        ids=["no-name", "long-name", "large"],
    )
    def test_new_workers_get_tasks_beside_an_entry_that_no_row_can_hold(self, change):
        """Guards against one entry of another writer that stops all new workers."""
        with run_platform(SIZE) as (deployment, caller):
            wait_for_owner(deployment)
            deployment.write_worker_entry("foreign", **change)
            replace_workers(deployment)
            jobs = submit_jobs(caller)
            assert wait_for_jobs(caller, jobs) == ["completed"] * 2
            assert find_violations(deployment.list_events(), jobs) == []
