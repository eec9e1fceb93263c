"""End-to-end tests of calls that reach a later incarnation of their worker.

A worker that starts again under its id takes calls that were made for its former
incarnation, whose clock and counts of ends were others.
"""

import time

import pytest

from ..caller import StepSpec
from ..checkers import find_violations
from ..deployment import PlatformSize
from .test_end_to_end import COMPLETE_SECONDS, wait_for_owner
from .test_pools_without_spare_vms import run_platform

LONGEST_LEASE_SECONDS = 10.0
"""Longest lease that a worker grants; longer than those that the owner asks for."""

UPTIME_SECONDS = 7.0
"""Time after which a lease on the clock of a worker is the longest one on the clock of
its next incarnation."""

DOWN_SECONDS = 0.1
"""Time for which a worker is down; shorter than the timeout of a start."""

TASK_SECONDS = 14.0
"""Duration of a task that outlasts the longest lease."""

CUT_SECONDS = 12.0
"""Time for which a worker is cut off; longer than the longest lease."""

N_RESTARTS = 4
"""Number of restarts in tests of calls that race with the owner's list of workers."""

IDLE_SECONDS = 1.0
"""Time without tasks before a restart. A lease on the former clock then ends later than
one on the clock of the next incarnation."""

CUT_AFTER_STOP_SECONDS = 0.6
"""Time from the end of the owner to the cut of the workers."""

STORE_ONE_WAY_SECONDS = 0.15
"""Delay of the store. Between the report of an end and its acknowledgment, it leaves
time for a restart."""

SIZE = PlatformSize(
    n_daemons=1,
    n_pools=1,
    n_vms=2,
    n_spare_vms=0,
    has_spare_pool=False,
    longest_lease_seconds=LONGEST_LEASE_SECONDS,
)
"""Sizes of a deployment with two workers and one daemon, which succeeds itself."""


def restart_at(deployment, kind):
    """Let each worker crash at its next call of a kind.

    The call reaches the next incarnation, which answers it.
    """
    for vm in deployment.list_vms():
        deployment.set_vm_faults(
            vm["Machine"],
            hold_up=[kind],
            is_at_held_call=True,
            crash_seconds=DOWN_SECONDS,
            keeps_id=True,
            is_dark=True,
        )


def restart_all(deployment, is_dark):
    """Let each worker crash and start again under its id at once."""
    for vm in deployment.list_vms():
        deployment.set_vm_faults(
            vm["Machine"], crash_seconds=0.0, keeps_id=True, is_dark=is_dark
        )


def submit_tasks(caller, n_tasks, seconds):
    specification = f"seconds={seconds}"
    return caller.submit("queue-0", "key-0", (StepSpec(n_tasks),), specification, 10.0)


def run_tasks(caller, n_tasks, seconds):
    """Submit a job and wait until it is completed."""
    job = submit_tasks(caller, n_tasks, seconds)
    state = caller.wait_for(job, ["completed"], 2 * COMPLETE_SECONDS)
    assert state == "completed"
    return job


def wait_for_end(deployment, job):
    """Wait until a run of a job has ended as done."""
    deadline = time.monotonic() + COMPLETE_SECONDS
    while time.monotonic() < deadline:
        for event in deployment.list_events():
            if event["what"] == "done" and event["task"].startswith(job.job_id):
                return
        time.sleep(0.01)
    raise AssertionError("no run has ended as done in time")


def find_starts(deployment, job):
    events = deployment.list_events()
    is_of_job = [event["task"].startswith(job.job_id) for event in events]
    return [
        event
        for event, is_its in zip(events, is_of_job, strict=True)
        if is_its and event["what"] == "started"
    ]


def wait_for_starts(deployment, job, n_starts, seconds):
    """Wait for starts of the tasks of a job; return those that there are."""
    deadline = time.monotonic() + seconds
    starts = find_starts(deployment, job)
    while len(starts) < n_starts and time.monotonic() < deadline:
        time.sleep(0.02)
        starts = find_starts(deployment, job)
    return starts


def read_births(deployment):
    """Return the start of each worker as the list of workers shows it."""
    rows = [deployment.get_row("servers", "", vm["Id"]) for vm in deployment.list_vms()]
    return [row["born"] if row else 0 for row in rows]


def wait_for_restarts(deployment, former_births):
    deadline = time.monotonic() + COMPLETE_SECONDS
    while time.monotonic() < deadline:
        pairs = zip(read_births(deployment), former_births, strict=True)
        if all(born > former for born, former in pairs):
            return
        time.sleep(0.02)
    raise AssertionError("not all workers have restarted in time")


def submit_long_task(caller):
    steps = (StepSpec(1),)
    specification = f"seconds={TASK_SECONDS}"
    return caller.submit("queue-0", "key-0", steps, specification, 10.0)


def cut_off(deployment, start):
    """Cut off the worker of a start, and let no other worker crash."""
    for vm in deployment.list_vms():
        if vm["Id"] == start["worker"]:
            deployment.set_vm_faults(vm["Machine"], is_silent=True)
        else:
            deployment.set_vm_faults(vm["Machine"], hold_up=[])


def check_runs_of_cut_worker(deployment, job):
    """Check that the task of a worker that is cut off starts again, not too soon."""
    starts = wait_for_starts(deployment, job, 2, CUT_SECONDS)
    deployment.reset_faults()
    starts = starts[1:] or wait_for_starts(deployment, job, 2, COMPLETE_SECONDS)[1:]
    assert starts
    assert find_violations(deployment.list_events(), [job]) == []


class TestLeases:
    """A lease on the former clock ends far ahead on the clock of the incarnation.

    So the worker grants its longest lease.
    """

    @pytest.mark.parametrize("kill_seconds", [0.0, 1.5])
    def test_a_successor_counts_on_the_lease_of_a_start(self, kill_seconds):
        """Guards against a task that runs twice after a restart and an owner change.

        The owner is killed some seconds after the restart, before or after it has
        noticed it, and its daemon claims without a wait.
        """
        with run_platform(SIZE) as (deployment, caller):
            owner = wait_for_owner(deployment)
            time.sleep(UPTIME_SECONDS)
            restart_at(deployment, "starts")
            job = submit_long_task(caller)
            (start,) = wait_for_starts(deployment, job, 1, COMPLETE_SECONDS)
            time.sleep(kill_seconds)
            owner.process.kill()
            cut_off(deployment, start)
            deployment.start_daemon(owner.name)
            check_runs_of_cut_worker(deployment, job)

    def test_a_successor_counts_on_the_lease_of_a_poll(self):
        """Guards against a task that runs twice under a lease from before its start.

        The poll reaches the worker before any task is started on the incarnation.
        """
        with run_platform(SIZE) as (deployment, caller):
            owner = wait_for_owner(deployment)
            time.sleep(UPTIME_SECONDS)
            former_births = read_births(deployment)
            restart_at(deployment, "polls")
            wait_for_restarts(deployment, former_births)
            job = submit_long_task(caller)
            (start,) = wait_for_starts(deployment, job, 1, COMPLETE_SECONDS)
            owner.process.kill()
            cut_off(deployment, start)
            deployment.start_daemon(owner.name)
            check_runs_of_cut_worker(deployment, job)

    def test_the_same_owner_counts_on_the_lease_of_a_start(self):
        """Guards against a task that runs twice beside an unread restart.

        The worker is cut off before the owner has read an answer that tells it.
        """
        with run_platform(SIZE) as (deployment, caller):
            wait_for_owner(deployment)
            time.sleep(UPTIME_SECONDS)
            restart_at(deployment, "starts")
            job = submit_long_task(caller)
            (start,) = wait_for_starts(deployment, job, 1, COMPLETE_SECONDS)
            cut_off(deployment, start)
            check_runs_of_cut_worker(deployment, job)


class TestEnds:
    """The numbers of ends begin anew with each incarnation."""

    def test_an_end_is_read_after_a_restart(self):
        """Guards against a task that runs again as its end was forgotten unread.

        The worker restarts while the first end is acknowledged, which gets no answer.
        Its next incarnation has ended the second task when the next poll arrives.
        """
        steps = (StepSpec(1), StepSpec(1, after=(0,)))
        with run_platform(SIZE._replace(n_vms=1)) as (deployment, caller):
            wait_for_owner(deployment)
            job = caller.submit("queue-0", "key-0", steps, "seconds=0.6", 10.0)
            assert wait_for_starts(deployment, job, 1, COMPLETE_SECONDS)
            restart_at(deployment, "starts")
            assert caller.wait_for(job, ["completed"], COMPLETE_SECONDS) == "completed"
            starts = find_starts(deployment, job)
            assert starts[0]["born"] < starts[-1]["born"]
            assert find_violations(deployment.list_events(), [job]) == []


class TestCallsOnNewConnections:
    """A restart ends the connections to a worker, and no call is held up on its way.

    So a call reaches the next incarnation on a new connection only.
    """

    @pytest.mark.parametrize("stop", ["kill", "terminate"])
    @pytest.mark.parametrize("stop_seconds", [0.0, 1.4])
    def test_no_lease_on_the_former_clock(self, stop, stop_seconds):
        """Guards against starts and polls that make a worker grant its longest lease.

        The VMs are gone at once, so the poll that is under way shows no restart. At
        last the owner ends some seconds after a restart, and the workers are cut off.
        """
        with run_platform(SIZE) as (deployment, caller):
            wait_for_owner(deployment)
            jobs = []
            for _ in range(N_RESTARTS):
                jobs.append(run_tasks(caller, 2, 0.3))
                time.sleep(IDLE_SECONDS)
                former_births = read_births(deployment)
                restart_all(deployment, is_dark=True)
                wait_for_restarts(deployment, former_births)
                jobs.append(submit_tasks(caller, 8, 0.6))
            time.sleep(stop_seconds)
            owner = wait_for_owner(deployment)
            getattr(owner.process, stop)()
            time.sleep(CUT_AFTER_STOP_SECONDS)
            for vm in deployment.list_vms():
                deployment.set_vm_faults(vm["Machine"], is_silent=True)
            deployment.start_daemon(owner.name)
            deployment.wait_until_ready()
            deployment.reset_faults()
            for job in jobs:
                state = caller.wait_for(job, ["completed"], 2 * COMPLETE_SECONDS)
                assert state == "completed"
            assert deployment.list_misdirected_calls() == []
            assert find_violations(deployment.list_events(), jobs) == []

    def test_no_number_of_a_former_end(self):
        """Guards against ends that a worker forgets before anybody has read them.

        The workers restart while the store takes the ends of the former incarnation,
        so no poll is under way that could show it.
        """
        with run_platform(SIZE) as (deployment, caller):
            wait_for_owner(deployment)
            jobs = []
            for _ in range(N_RESTARTS):
                jobs.append(run_tasks(caller, 2, 0.3))
                deployment.set_faults(store_one_way_seconds=STORE_ONE_WAY_SECONDS)
                jobs.append(submit_tasks(caller, 4, 1.5))
                wait_for_end(deployment, jobs[-1])
                former_births = read_births(deployment)
                restart_all(deployment, is_dark=False)
                wait_for_restarts(deployment, former_births)
                state = caller.wait_for(jobs[-1], ["completed"], 2 * COMPLETE_SECONDS)
                assert state == "completed"
                deployment.reset_faults()
            assert deployment.list_misdirected_calls() == []
            assert find_violations(deployment.list_events(), jobs) == []
