"""End-to-end tests of workers whose answers take long all the time."""

import time

import pytest

from ..caller import StepSpec
from ..checkers import find_violations
from ..deployment import PlatformSize
from .test_pools_without_spare_vms import run_platform

FINISH_SECONDS = 17.0
"""Longest time until a job with room in its pool must have started, as promised to
users: 14 s, and 3 s in which nothing of it may be waiting."""

SETTLE_SECONDS = 6.0
"""Time after which no answer that was under way before the delays is left."""

STEPS = [StepSpec(4), StepSpec(2, after=(0,))]


class TestFarWorkers:
    @pytest.mark.parametrize("one_way_seconds", [0.35, 0.8])
    def test_tasks_run_on_workers_that_answer_late(self, one_way_seconds):
        """Guards against pools without tasks while answers of workers take long.

        A poll was given up 0.6 s after the wait that it asked for. Where each answer
        takes longer, all workers stayed out of contact for good.
        """
        with run_platform(PlatformSize()) as (deployment, caller):
            deployment.set_faults(workers_one_way_seconds=one_way_seconds)
            time.sleep(SETTLE_SECONDS)
            jobs = [
                caller.submit(queue, "key-0", STEPS, "seconds=0.5", 10.0)
                for queue in ("queue-0", "queue-1")
            ]
            deadline = time.monotonic() + FINISH_SECONDS
            for job in jobs:
                left_seconds = max(0.0, deadline - time.monotonic())
                state = caller.wait_for(job, ["completed"], left_seconds)
                assert state == "completed"
            assert find_violations(deployment.list_events(), jobs) == []
