"""A pool takes no more tasks after the platform refused one order for a VM of it."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from trial import BROKEN, HELD, Trial, run

REPLICAS = {"queue-0": "00000000000000b1", "queue-1": "00000000000000b2"}
LATER = "00000000000000b3"
LATER_CORES = 2
N_VMS = 4
REFUSAL_SECONDS = 3.0
DEADLINE_SECONDS = 26
FINISH_SECONDS = 14.0
NOTHING_RUNS_SECONDS = 3.0


def case(trial: Trial) -> int:
    """Refuse orders for VMs for a moment as a wave begins."""
    trial.start_platform("--pools", "2", "--vms", str(N_VMS))
    trial.configure(1, {"queue-0": "pool-0", "queue-1": "pool-1"})
    trial.start_daemons()
    for queue, job_id in REPLICAS.items():
        trial.submit(
            queue,
            job_id,
            "lasts cores=1",
            Count=N_VMS,
            Cpu=1000,
            AntiAffinity=1,
            LongRunning=True,
            MayMiss=1,
        )
    for job_id in REPLICAS.values():
        wait_for_starts(trial, job_id, N_VMS)
    time.sleep(3)
    if trial.is_troubled:
        trial.set_faults(is_vm_interface_down=True)
    wave = {
        "Wave": 1,
        "Machines": [f"m-{number}" for number in range(N_VMS)],
        "DeadlineS": DEADLINE_SECONDS,
        "Maximum": 2,
    }
    trial.control("PUT", "/standin/operator/wave/1", wave)
    trial.note(f"operator: {wave} confirmed")
    time.sleep(REFUSAL_SECONDS)
    if trial.is_troubled:
        trial.set_faults(is_vm_interface_down=False)
    time.sleep(DEADLINE_SECONDS - REFUSAL_SECONDS + 4)
    status = trial.control("GET", "/standin/row?table=status&part=&key=wave/1")
    trial.note(f"operator: after the deadline, status/wave/1 is {status['value']}")
    trial.submit("queue-0", LATER, "seconds=0.5 cores=2", Count=1, Cpu=2000)
    time.sleep(FINISH_SECONDS + NOTHING_RUNS_SECONDS)
    trial.call("entry-0", "GET", f"/queue-0/{LATER}")
    cores = trial.list_cores("pool-0")
    free = {vm: n - trial.count_running(vm) for vm, n in cores.items()}
    has_room = sum(n // LATER_CORES for n in free.values()) >= 2
    is_half_free = sum(free.values()) * 2 > sum(cores.values())
    if count_started(trial, LATER) or not has_room or not is_half_free:
        return HELD
    trial.note(
        f"rule LOST broken: {LATER} has run nothing for "
        f"{FINISH_SECONDS + NOTHING_RUNS_SECONDS} s; free cores by VM: {free}"
    )
    return BROKEN


def wait_for_starts(trial: Trial, job_id: str, n_runs: int) -> None:
    """Wait until runs of a job have started."""
    trial.wait_for(lambda: count_started(trial, job_id) == n_runs, 15, "replicas")


def count_started(trial: Trial, job_id: str) -> int:
    """Return how many runs of a job have started."""
    return sum(
        event["what"] == "started" and event["task"].startswith(job_id)
        for event in trial.list_events()
    )


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, case))
