"""A lasting task whose runners crash twice, while nothing of it ends `failed`."""

import sys
import time
from pathlib import Path

from harness import NotRunError, is_troubled, run_case

JOB = "a5e0000000000001"
TASK = f"{JOB}.0.0.0"
PATH = f"/queue-1/{JOB}"
BODY = {
    "Spec": "lasts cores=4",
    "Steps": [
        {"Count": 1, "Cpu": 4000, "MemMb": 2048, "EstimateMs": 700, "LongRunning": True}
    ],
}
N_CRASHES = 2
CRASH_AFTER_SECONDS = 1.0
DOWN_SECONDS = 4.5


def play(deployment) -> bool:
    """Crash the runner of the task, twice; return whether the rule held."""
    deployment.start()
    caller = deployment.find_owner()
    status, _ = deployment.call_daemon(caller, "POST", PATH, BODY)
    if status != 200:
        raise NotRunError("the submission was not accepted")
    run = deployment.wait_for_run(TASK, 5.0)
    for _ in range(N_CRASHES if is_troubled() else 0):
        time.sleep(max(0.0, run["at"] + CRASH_AFTER_SECONDS - time.monotonic()))
        vm = run["worker"].removeprefix("i-").rpartition("-")[0]
        deployment.record.add(f"the runner {run['worker']} on {vm} crashes")
        change = {"crash_seconds": DOWN_SECONDS}
        deployment.control("PUT", f"/standin/vms/{vm}", change)
        try:
            run = deployment.wait_for_run(TASK, 12.0)
        except NotRunError:
            deployment.record.add("the task was not started again in 12 s")
            break
        deployment.record.add(f"the task was started again on {run['worker']}")
    time.sleep(3.0)
    states = []
    for daemon in deployment.daemon_by_name.values():
        status, answer = deployment.call_daemon(daemon, "GET", PATH)
        states.append(answer.get("State") if status == 200 else str(status))
    events = [e for e in deployment.record_events() if e["task"] == TASK]
    n_failed = sum(e["what"] == "failed" for e in events)
    deployment.record.add(
        f"states shown: {states}; ends `failed` of the task: {n_failed}"
    )
    return n_failed > 0 or not {"failed", "canceled"} & set(states)


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
