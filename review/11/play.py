"""Starts without an answer on a worker that starts again under its id.

None of the tasks may start again after an end that was taken note of, or beside a run.
"""

import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from harness import Deployment, Record, run_case  # noqa: E402

N_VMS = 8
CORES = 16
N_JOBS = 20
JOB_SECONDS = 0.25
"""Time between two submissions."""

STEP = {"Count": 24, "Cpu": 250, "MemMb": 64, "EstimateMs": 500}
SPECIFICATION = "seconds=0.5 cores=0.25"
LATE_SHARE = 0.5
"""Share of the orders that get no answer and are carried out 2 to 8 s later, while the
jobs are submitted."""

N_CRASHES = 4
DOWN_SECONDS = 1.0
UP_SECONDS = 0.3
"""Time from the end of a crash to the next one, so that one worker is down at a time.
"""

WATCH_SECONDS = 12.0


def play(record: Record, has_trouble: bool) -> bool:
    """Return whether no task started twice."""
    with Deployment(record, N_VMS, float(CORES)) as deployment:
        if has_trouble:
            deployment.control("PUT", "/standin/faults", {"late_orders": LATE_SHARE})
            record.write(f"{LATE_SHARE} of the orders are carried out late")
        job_ids = submit_all(deployment, record)
        if has_trouble:
            deployment.control("DELETE", "/standin/faults")
            record.write("orders are carried out at once again")
        for number in range(N_CRASHES if has_trouble else 0):
            crash(deployment, record, number)
            time.sleep(DOWN_SECONDS + UP_SECONDS)
        time.sleep(WATCH_SECONDS)
        write_states(deployment, record, job_ids)
        events = deployment.list_events()
    return check(record, events)


def submit_all(deployment: Deployment, record: Record) -> list[str]:
    """Submit the jobs one after the other, and return their ids."""
    job_ids = [f"{n * 0x9E3779B97F4A7C15 % 2**64:016x}" for n in range(1, N_JOBS + 1)]
    for number, job_id in enumerate(job_ids):
        daemon = deployment.daemons[number % len(deployment.daemons)]
        body = {"Spec": SPECIFICATION, "Steps": [STEP]}
        status = deployment.submit(daemon, job_id, body).status
        record.write(f"POST {job_id} to {daemon.name}: {status}")
        time.sleep(JOB_SECONDS)
    return job_ids


def write_states(
    deployment: Deployment, record: Record, job_ids: Sequence[str]
) -> None:
    """Write the states that a daemon shows."""
    for job_id in job_ids:
        answer = deployment.show_state(deployment.daemons[0], job_id)
        record.write(f"GET {job_id}: {answer.status} {dict(answer.body)}")


def crash(deployment: Deployment, record: Record, number: int) -> None:
    """Crash the worker of a VM; it starts again under its id."""
    change = {"crash_seconds": DOWN_SECONDS, "keeps_id": True}
    deployment.control("PUT", f"/standin/vms/m-{number}", change)
    record.write(f"worker on m-{number} crashed for {DOWN_SECONDS} s")


def check(record: Record, events: Sequence[dict[str, Any]]) -> bool:
    """Write the events of the runs, and return whether no task started twice."""
    noted = {find_run(event) for event in events if event["what"] == "noted"}
    done: set[str] = set()
    running: dict[str, set[tuple[Any, ...]]] = {}
    n_twice = 0
    for event in events:
        task, what, run = event["task"], event["what"], find_run(event)
        is_twice = False
        if what == "started":
            is_twice = task in done or bool(running.get(task))
            running.setdefault(task, set()).add(run)
        elif what != "noted":
            running.get(task, set()).discard(run)
            if what == "done" and run in noted:
                done.add(task)
        n_twice += is_twice
        record.write(
            f"{task} run {event['run']} {what} on {event['worker']} born "
            f"{event['born']}" + (" TWICE" if is_twice else ""),
            event["at"],
        )
    record.write(f"{n_twice} starts beside a run or after an end that was noted")
    return not n_twice


def find_run(event: dict[str, Any]) -> tuple[Any, ...]:
    """Return what tells a run from all others."""
    return event["worker"], event["born"], event["task"], event["run"]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
