"""A large submission of one tenant, beside the work of another on another service."""

import sys
import time
from pathlib import Path

from harness import KEY, RIVAL_KEY, NotRunError, is_troubled, run_case

LARGE_JOB = "f5e0000000000001"
LARGE_BODY = {
    "Spec": "seconds=1 cores=0.005",
    "Steps": [{"Count": 8000, "Cpu": 5, "MemMb": 4, "EstimateMs": 1000}],
}
SMALL_JOB = "f5e0000000000002"
SMALL_BODY = {
    "Spec": "seconds=1 cores=4",
    "Steps": [{"Count": 1, "Cpu": 4000, "MemMb": 2048, "EstimateMs": 1000}],
}
LASTING_JOB = "f5e0000000000003"
LASTING_BODY = {
    "Spec": "lasts cores=4",
    "Steps": [
        {"Count": 1, "Cpu": 4000, "MemMb": 2048, "EstimateMs": 700, "LongRunning": True}
    ],
}
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
LASTING_IDLE_SECONDS = 6.0 + IDLE_SECONDS
END_SECONDS = 60.0


def play(deployment) -> bool:
    """Return whether the work of the other tenant was done."""
    deployment.start()
    first = deployment.find_owner()
    other = next(d for d in deployment.daemon_by_name.values() if d is not first)
    submit(deployment, other, f"/queue-0/{LASTING_JOB}", LASTING_BODY)
    deployment.wait_for_run(f"{LASTING_JOB}.0.0.0", 5.0)
    time.sleep(2.0)
    if is_troubled():
        submit(deployment, other, f"/queue-1/{LARGE_JOB}", LARGE_BODY, RIVAL_KEY)
        time.sleep(1.0)
    submit(deployment, other, f"/queue-0/{SMALL_JOB}", SMALL_BODY)
    ended_at = time.monotonic()
    end_at = ended_at + (
        END_SECONDS if is_troubled() else FINISH_SECONDS + IDLE_SECONDS
    )
    owners = []
    while time.monotonic() < end_at:
        row = deployment.get_row("leader", "fleet", "owner")
        if row not in owners:
            owners.append(row)
            deployment.record.add(f"leader/owner: {row['owner']}")
        time.sleep(0.25)
    deployment.call_daemon(other, "GET", f"/queue-0/{SMALL_JOB}")
    events = deployment.record_events()
    deployment.record.add(f"changes of the owner: {len(owners) - 1}")
    starts = [e["at"] for e in events if e["task"].startswith(SMALL_JOB)]
    started_at = min(starts, default=time.monotonic())
    bound = FINISH_SECONDS + IDLE_SECONDS
    what = "started" if starts else "not started"
    text = f"small submission: {what}, {started_at - ended_at:.1f} s; bound {bound} s"
    deployment.record.add(text)
    gap = find_longest_gap([e for e in events if e["task"].startswith(LASTING_JOB)])
    text = (
        f"lasting task: nothing running for {gap:.1f} s; bound {LASTING_IDLE_SECONDS} s"
    )
    deployment.record.add(text)
    return started_at - ended_at <= bound and gap <= LASTING_IDLE_SECONDS


def submit(deployment, daemon, path, body, key=KEY) -> None:
    """Submit a job that must be accepted."""
    status, _ = deployment.call_daemon(daemon, "POST", path, body, key)
    if status != 200:
        raise NotRunError(f"{path} was not accepted")


def find_longest_gap(events) -> float:
    """Return for how many seconds at most no run of the task was running."""
    longest = 0.0
    ended_at = None
    for event in events:
        if event["what"] == "started":
            if ended_at is not None:
                longest = max(longest, event["at"] - ended_at)
            ended_at = None
        elif event["what"] != "noted":
            ended_at = ended_at or event["at"]
    if ended_at is not None:
        longest = max(longest, time.monotonic() - ended_at)
    return longest


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
