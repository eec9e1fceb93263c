"""A cancelling is answered 410 while the write of the submission is not done yet."""

import sys
import time
from pathlib import Path

from harness import NotRunError, is_troubled, run_case

JOB = "c5e0000000000001"
TASK = f"{JOB}.0.0.0"
PATH = f"/queue-1/{JOB}"
BODY = {
    "Spec": "seconds=1 cores=4",
    "Steps": [{"Count": 1, "Cpu": 4000, "MemMb": 2048, "EstimateMs": 1000}],
}
LATE_SECONDS = 5.9
LOST_SECONDS = 2.5
MAX_LOST_SHARE = 0.35
CANCEL_SECONDS = 3.0
CONTACT_SECONDS = 3.0


def play(deployment) -> bool:
    """Lose the answers to the writes of the job; return whether the rule held."""
    deployment.start()
    daemons = list(deployment.daemon_by_name.values())
    before = deployment.control("GET", "/standin/writes")
    faults = {"late_job_writes": LATE_SECONDS if is_troubled() else 0.0}
    deployment.control("PUT", "/standin/faults", faults)
    began_at = time.monotonic()
    deployment.record.add(f"store: {faults}")
    deployment.call_daemon(daemons[0], "POST", PATH, BODY)
    time.sleep(0.2)
    status, _ = deployment.call_daemon(daemons[1], "DELETE", PATH)
    if status != 410 and not 200 <= status < 300:
        raise NotRunError("the cancelling was not acknowledged")
    acknowledged_at = time.monotonic()
    time.sleep(max(0.0, began_at + LOST_SECONDS - time.monotonic()))
    deployment.control("PUT", "/standin/faults", {"late_job_writes": 0.0})
    stable_at = time.monotonic()
    after = deployment.control("GET", "/standin/writes")
    n_writes, n_lost = (after[name] - before[name] for name in ("all", "lost"))
    text = f"store: sound again; {n_lost} of {n_writes} writes got no answer"
    deployment.record.add(text)
    if n_lost > MAX_LOST_SHARE * n_writes:
        raise NotRunError("more writes got no answer than the pages name")
    time.sleep(9.0)
    deployment.call_daemon(daemons[2], "GET", PATH)
    events = [e for e in deployment.record_events() if e["task"] == TASK]
    late = [
        e
        for e in events
        if e["what"] == "started"
        and e["at"] > acknowledged_at + CANCEL_SECONDS
        and e["at"] > stable_at + CONTACT_SECONDS
    ]
    for event in late:
        seconds = event["at"] - acknowledged_at
        deployment.record.add(f"started {seconds:.2f} s after the acknowledgement")
    return not late


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
