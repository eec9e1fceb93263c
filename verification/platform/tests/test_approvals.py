"""End-to-end tests of queues whose steps need approvals of their workers."""

import time
from collections.abc import Sequence

import pytest

from ..caller import PlatformCaller, SentJob, StepSpec
from ..checkers import find_violations
from ..deployment import ApprovalSpec, PlatformDeployment, PlatformSize
from .test_end_to_end import wait_for_owner
from .test_pools_without_spare_vms import run_platform

APPROVAL = ApprovalSpec(decide_ms=1000, each_ms=120, valid_ms=10_000)
SIZE = PlatformSize(
    n_pools=1, n_vms=6, n_spare_vms=0, has_spare_pool=False, approval=APPROVAL
)
N_JOBS = 5
CALL_SECONDS = 1.2
"""Time of a call that names one worker or two."""

REST_SECONDS = 8.0
"""Time for which the jobs may take besides their calls."""


def submit_all(deployment: PlatformDeployment, caller: PlatformCaller) -> list[SentJob]:
    """Submit small jobs at once; each needs an approval of its own."""
    steps = [StepSpec(n_tasks=1, cores=1.0)]
    key = deployment.keys[-1]
    return [
        caller.submit("queue-0", key, steps, "seconds=0.2", 5.0) for _ in range(N_JOBS)
    ]


def wait_for_all(
    caller: PlatformCaller, jobs: Sequence[SentJob], seconds: float
) -> list[str]:
    """Return the states of the jobs once all are completed, or after a time."""
    deadline = time.monotonic() + seconds
    return [
        caller.wait_for(job, ["completed"], max(0.0, deadline - time.monotonic()))
        for job in jobs
    ]


class TestBurst:
    @pytest.mark.parametrize("drops_given_up_calls", [False, True])
    def test_all_jobs_complete(self, drops_given_up_calls):
        """Guards against calls that are given up just before their answers.

        A call for six workers took 1.72 s. The owner sent two at a time and waited 3 s,
        so that of eight jobs at most one started (`review/12`).
        """
        with run_platform(SIZE) as (deployment, caller):
            deployment.set_faults(drops_given_up_advice=drops_given_up_calls)
            wait_for_owner(deployment)
            jobs = submit_all(deployment, caller)
            states = wait_for_all(caller, jobs, N_JOBS * CALL_SECONDS + REST_SECONDS)
            assert states == ["completed"] * N_JOBS
            assert find_violations(deployment.list_events(), jobs) == []

    def test_all_jobs_complete_after_the_owner_was_killed(self):
        """Guards against approvals that are lost with the owner that waited for them.

        The service still handles the call of the killed owner.
        """
        with run_platform(SIZE) as (deployment, caller):
            owner = wait_for_owner(deployment)
            jobs = submit_all(deployment, caller)
            time.sleep(1.5 * CALL_SECONDS)
            owner.process.kill()
            seconds = (N_JOBS + 2) * CALL_SECONDS + REST_SECONDS
            assert wait_for_all(caller, jobs, seconds) == ["completed"] * N_JOBS
            assert find_violations(deployment.list_events(), jobs) == []
