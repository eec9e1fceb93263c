"""A wave for a pool whose lasting submission has one task that fits on no machine."""

import sys
import time
from pathlib import Path

from harness import NotRunError, is_troubled, run_case

N_VMS = 3
REPLICAS = "85e0000000000001"
OTHERS = "85e0000000000002"
LATER = "85e0000000000003"
WAVE = {
    "Wave": 1,
    "Machines": [f"m-{number}" for number in range(N_VMS)],
    "DeadlineS": 26,
    "Maximum": 2,
}
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
CORES = 64


def make_lasting(n_tasks: int, max_away: int) -> dict:
    """Return a submission of lasting tasks, at most one on a runner."""
    step = {"Count": n_tasks, "Cpu": 4000, "MemMb": 2048, "EstimateMs": 700}
    step |= {"LongRunning": True, "AntiAffinity": 1, "MayMiss": max_away}
    return {"Spec": "lasts cores=4", "Steps": [step]}


def play(deployment) -> bool:
    """Request the wave; return whether a later submission was started in time."""
    deployment.start()
    daemon = deployment.find_owner()
    # One task of pool-1 on each of its machines, so that none of them moves to pool-0.
    submit(deployment, daemon, f"/queue-1/{OTHERS}", make_lasting(N_VMS, 1))
    wait_for_runs(deployment, OTHERS, N_VMS)
    submit(deployment, daemon, f"/queue-0/{REPLICAS}", make_lasting(N_VMS + 1, 1))
    wait_for_runs(deployment, REPLICAS, N_VMS)
    time.sleep(3.0)
    if is_troubled():
        deployment.control("PUT", "/standin/operator/wave/1", WAVE)
        deployment.record.add(f"op/wave/1: {WAVE}")
    time.sleep(WAVE["DeadlineS"] + 2.0)
    row = deployment.get_row("status", "", "wave/1")
    deployment.record.add(f"after the deadline, status/wave/1: {row}")
    step = {"Count": 1, "Cpu": 4000, "MemMb": 1024, "EstimateMs": 500}
    body = {"Spec": "seconds=0.5 cores=4", "Steps": [step]}
    submit(deployment, daemon, f"/queue-0/{LATER}", body)
    bound = FINISH_SECONDS + IDLE_SECONDS
    deadline = time.monotonic() + bound
    while time.monotonic() < deadline and not deployment.list_events(LATER):
        time.sleep(0.1)
    deployment.call_daemon(daemon, "GET", f"/queue-0/{LATER}")
    machines = deployment.control("GET", "/machines")["Machines"]
    for machine in machines:
        what = f"{machine['Machine']} {machine['Pool']} {machine['State']}"
        deployment.record.add(f"platform: {what} {machine['Id']}")
    for order in deployment.control("GET", "/standin/orders")["orders"]:
        text = f"platform: {order['path']} {order['machine']} from {order['holder']}"
        deployment.record.add(text, order["at"])
    deployment.record_events()
    n_up = sum(m["Pool"] == "pool-0" and m["State"] == "up" for m in machines)
    n_running = sum(
        deployment.find_run(f"{job}.0.0.{index}") is not None
        for job in (REPLICAS, LATER)
        for index in range(N_VMS + 1)
    )
    has_room = n_up >= 2 and n_running * 4 * 2 < n_up * CORES
    has_started = bool(deployment.list_events(LATER))
    text = f"pool-0: {n_up} machines up, {n_running * 4} of {n_up * CORES} cores in use"
    deployment.record.add(text)
    what = "started" if has_started else f"not started in {bound} s"
    deployment.record.add(f"later submission: {what}")
    return has_started or not has_room


def submit(deployment, daemon, path: str, body: dict) -> None:
    """Submit a job that must be accepted."""
    status, _ = deployment.call_daemon(daemon, "POST", path, body)
    if status != 200:
        raise NotRunError(f"{path} was not accepted")


def wait_for_runs(deployment, job: str, n_runs: int) -> None:
    """Wait until tasks of a job have started."""
    deadline = time.monotonic() + 15.0
    while len(deployment.list_events(job)) < n_runs:
        if time.monotonic() > deadline:
            raise NotRunError(f"{job} has not started {n_runs} tasks")
        time.sleep(0.05)


if __name__ == "__main__":
    arguments = ["--vms", str(N_VMS), "--spare-vms", "0"]
    sys.exit(run_case(str(Path(__file__).parent), play, arguments))
