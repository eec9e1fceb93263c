"""Run the platform's daemons with the stand-in, kill the owner and count the runs."""

import random
import sys
import time

from verification.platform.caller import PlatformCaller, SentJob, StepSpec
from verification.platform.checkers import find_violations
from verification.platform.deployment import PlatformDeployment, PlatformSize
from verification.processes import ProcessGroup

N_JOBS = 24
STEPS = (StepSpec(4), StepSpec(2, after=(0,)))
SPECIFICATION = "seconds=0.5"
JOB_TIMEOUT_SECONDS = 40.0
SEED = 1


def main() -> int:
    """Run the demo; return 0 if every job completed and no check is violated."""
    with ProcessGroup() as processes:
        deployment = PlatformDeployment(processes, PlatformSize())
        print("starting the stand-in of the platform and three daemons")
        deployment.start()
        caller = PlatformCaller(deployment.list_caller_addresses, random.Random(SEED))
        jobs = [submit(caller, number) for number in range(N_JOBS // 2)]
        owner = deployment.find_owner()
        if owner is not None:
            print(f"killing the owner {owner.name}")
            owner.process.kill()
        jobs += [submit(caller, number) for number in range(N_JOBS // 2)]
        began_at = time.monotonic()
        states = [
            caller.wait_for(job, ["completed", "failed"], JOB_TIMEOUT_SECONDS)
            for job in jobs
        ]
        seconds = time.monotonic() - began_at
        new_owner = deployment.find_owner()
        events = deployment.list_events()
        violations = find_violations(events, jobs)
    print("\njobs")
    print(f"  completed    {states.count('completed'):>6} of {N_JOBS}")
    print(f"  waited for   {seconds:>8.1f} s after the kill")
    print(f"runs started   {sum(e['what'] == 'started' for e in events):>6}")
    print(f"owner now      {new_owner.name if new_owner else 'nobody':>10}")
    print(f"violations     {len(violations):>6}")
    return 0 if states.count("completed") == N_JOBS and not violations else 1


def submit(caller: PlatformCaller, number: int) -> SentJob:
    """Submit a job to one of two queues in turn."""
    return caller.submit(f"queue-{number % 2}", "key-0", STEPS, SPECIFICATION, 10.0)


if __name__ == "__main__":
    sys.exit(main())
