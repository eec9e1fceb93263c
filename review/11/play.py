"""A task whose worker crashes twice: its job must not be shown as failed."""

import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from harness import Deployment, Record, run_case, wait_for  # noqa: E402

JOB_ID = "5c0e7a21d94b36f8"
TASK_SECONDS = 6.0
RUN_SECONDS = 0.5
"""Time from the start of the task until its worker crashes."""

DOWN_SECONDS = 4.5
"""Time for which a crashed worker is down."""

N_CRASHES = 2
END_SECONDS = 60.0


def play(record: Record, has_trouble: bool) -> bool:
    """Return whether the job, none of whose runs fails, was never shown as failed."""
    with Deployment(record, n_vms=6, cores=16.0) as deployment:
        step = {"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimateMs": 6000}
        body = {"Spec": f"seconds={TASK_SECONDS}", "Steps": [step]}
        answer = deployment.submit(deployment.daemons[0], JOB_ID, body)
        record.write(f"POST job {JOB_ID}: {answer.status}")
        n_crashes = N_CRASHES if has_trouble else 0
        for number in range(n_crashes):
            started = wait_for(
                lambda n=number: find_start(deployment, n), f"start {number + 1}"
            )
            record.write(f"run {started['run']} started on {started['worker']}")
            time.sleep(RUN_SECONDS)
            vm_id = started["worker"].split("-", 1)[1].rpartition("-")[0]
            change = {"crash_seconds": DOWN_SECONDS}
            deployment.control("PUT", f"/standin/vms/{vm_id}", change)
            record.write(f"worker on {vm_id} crashed for {DOWN_SECONDS} s")
        state = wait_for_end(deployment, record)
        events = deployment.list_events()
        for event in events:
            record.write(f"run {event['run']} {event['what']} on {event['worker']}")
        n_failed = sum(event["what"] == "failed" for event in events)
        record.write(f"state {state!r}, runs that ended failed: {n_failed}")
        return state == "completed" or (state != "failed" and has_trouble)


def find_start(deployment: Deployment, number: int) -> Any:
    """Return the start event with this number, counted from 0; ``None`` before it."""
    started = [e for e in deployment.list_events() if e["what"] == "started"]
    return started[number] if len(started) > number else None


def wait_for_end(deployment: Deployment, record: Record) -> str:
    """Return the final state of the job, or the last one that was shown."""
    deadline = time.monotonic() + END_SECONDS
    shown = ""
    while time.monotonic() < deadline:
        for daemon in deployment.daemons:
            answer = deployment.show_state(daemon, JOB_ID)
            state = str(answer.body.get("State", answer.status))
            if state != shown:
                record.write(f"GET from {daemon.name}: {answer.status} {state}")
            shown = state
            if state in ("completed", "failed", "canceled"):
                return state
        time.sleep(0.2)
    return shown


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
