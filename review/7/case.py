"""A queue gets another service, its owner is killed, and an old runner is cut off."""

import sys
import time
from pathlib import Path

from harness import NotRunError, is_troubled, run_case

JOB = "b5e0000000000001"
TASK = f"{JOB}.0.0.0"
PATH = f"/queue-1/{JOB}"
BODY = {
    "Spec": "seconds=30 cores=4",
    "Steps": [{"Count": 1, "Cpu": 4000, "MemMb": 2048, "EstimateMs": 30000}],
}
CUT_SECONDS = 5.5
WITHOUT_QUEUE = {"queue-0": "pool-0"}
OTHER_SERVICE = {"queue-0": "pool-0", "queue-1": "pool-0"}


def play(deployment) -> bool:
    """Play the disruptions; return whether no two runs overlapped."""
    deployment.start()
    owner = deployment.find_owner()
    others = [d for d in deployment.daemon_by_name.values() if d is not owner]
    status, _ = deployment.call_daemon(others[0], "POST", PATH, BODY)
    if status != 200:
        raise NotRunError("the submission was not accepted")
    run = deployment.wait_for_run(TASK, 5.0)
    time.sleep(1.0)
    vm = run["worker"].removeprefix("i-").rpartition("-")[0]
    if is_troubled():
        deployment.configure(WITHOUT_QUEUE)
        time.sleep(2.0)
        deployment.configure(OTHER_SERVICE)
        time.sleep(3.0)
        deployment.control("PUT", f"/standin/vms/{vm}", {"is_silent": True})
        deployment.record.add(f"the runner {run['worker']} on {vm} is cut off, runs on")
        owner.process.kill()
        owner.process.wait()
        deployment.record.add(f"daemon {owner.name}, the owner, is killed")
        del deployment.daemon_by_name[owner.name]
        cut_at = time.monotonic()
        time.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
        deployment.control("PUT", f"/standin/vms/{vm}", {"is_silent": False})
        deployment.record.add("the cut ends")
    time.sleep(5.0)
    events = [e for e in deployment.record_events() if e["task"] == TASK]
    deployment.call_daemon(others[0], "GET", PATH)
    return not has_overlap(deployment.record, events)


def has_overlap(record, events) -> bool:
    """Return whether a run of the task started while another one was running."""
    running = {}
    is_double = False
    for event in events:
        key = (event["worker"], event["born"], event["run"])
        if event["what"] == "started":
            for other in running:
                is_double = True
                text = f"run {event['run']} on {event['worker']} started while run"
                record.add(f"{text} {other[2]} was running on {other[0]}", event["at"])
            running[key] = event
        elif event["what"] != "noted":
            running.pop(key, None)
    return is_double


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
