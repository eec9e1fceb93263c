"""End-to-end tests of the evacuation of an availability zone."""

import time

from ..caller import StepSpec
from ..checkers import find_violations
from ..deployment import PlatformSize
from .test_end_to_end import wait_for_owner
from .test_pools_without_spare_vms import run_platform, wait_for_starts

SIZE = PlatformSize(n_daemons=2, n_pools=1, n_vms=6, n_spare_vms=3, n_zones=3)
ZONE = "zone-b"

EVACUATE_SECONDS = 5.0
"""Longest time from the request until nothing more starts in the zone, as promised."""

LEAVE_SECONDS = 25.0
"""Longest time until the lasting tasks have left the zone."""

N_LASTING = 6

N_TASKS_OF_ALL_VMS = 200
"""Tasks that take all cores of all VMs."""


def find_zones(deployment, workers):
    """Return the zone of the VM of each worker, whose id has that of its VM."""
    zone_by_vm = {vm["Machine"]: vm["Zone"] for vm in deployment.list_vms()}
    vm_ids = (worker.removeprefix("i-").rpartition("-")[0] for worker in workers)
    return [zone_by_vm[vm_id] for vm_id in vm_ids]


def submit_for(caller, seconds):
    """Submit short jobs for some time; return them."""
    jobs = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        steps = [StepSpec(6)]
        jobs.append(caller.submit("queue-0", "key-0", steps, "seconds=0.2", 5.0))
        time.sleep(0.1)
    return jobs


def find_starts(deployment, first):
    """Return the zones of the starts among the events from ``first`` on."""
    events = deployment.list_events(first)
    workers = [event["worker"] for event in events if event["what"] == "started"]
    return find_zones(deployment, workers)


def find_running(deployment, job_id):
    """Return the workers of the runs of a job that have not ended."""
    worker_by_run = {}
    for event in deployment.list_events():
        if not event["task"].startswith(job_id):
            continue
        key = event["task"], event["run"]
        if event["what"] == "started":
            worker_by_run[key] = event["worker"]
        elif event["what"] != "noted":
            worker_by_run.pop(key, None)
    return list(worker_by_run.values())


def wait_until_left(deployment, job_id):
    """Wait until all tasks of a job run outside the zone."""
    deadline = time.monotonic() + LEAVE_SECONDS
    while time.monotonic() < deadline:
        zones = find_zones(deployment, find_running(deployment, job_id))
        if len(zones) == N_LASTING and ZONE not in zones:
            return
        time.sleep(0.2)
    raise AssertionError(f"lasting tasks are in {zones}")


class TestZoneEvacuation:
    def test_zone_is_left_and_used_again(self):
        """Guards against starts in an evacuated zone, also by the owner's successor.

        The owner is killed while lasting tasks move, and the store loses its history
        before the request.
        """
        with run_platform(SIZE) as (deployment, caller):
            owner = wait_for_owner(deployment)
            steps = [StepSpec(N_LASTING, is_lasting=True, max_away=1, max_per_worker=1)]
            lasting = caller.submit("queue-0", "key-0", steps, "lasts", 10.0)
            wait_for_starts(deployment, N_LASTING)
            assert ZONE in find_starts(deployment, 0)
            deployment.call_standin("POST", "/standin/compact")
            deployment.evacuate_zone(ZONE)
            jobs = submit_for(caller, 1.5)
            owner.process.kill()
            jobs += submit_for(caller, EVACUATE_SECONDS - 1.5)
            n_events = len(deployment.list_events())
            wait_for_owner(deployment, other_than=owner.name)
            jobs += submit_for(caller, 3.0)
            starts = find_starts(deployment, n_events)
            assert starts and ZONE not in starts
            wait_until_left(deployment, lasting.job_id)
            deployment.end_zone_evacuation(ZONE)
            n_events = len(deployment.list_events())
            steps = [StepSpec(N_TASKS_OF_ALL_VMS)]
            job = caller.submit("queue-0", "key-0", steps, "seconds=1.0", 5.0)
            assert caller.wait_for(job, ["completed"], LEAVE_SECONDS) == "completed"
            assert ZONE in find_starts(deployment, n_events)
            jobs.append(job)
            assert find_violations(deployment.list_events(), [lasting, *jobs]) == []
