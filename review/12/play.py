"""A burst of jobs in a queue that needs advice: all of them must start."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from advice import AdviceService  # noqa: E402
from harness import Deployment, Record, run_case  # noqa: E402

N_VMS = 6
CORES = 16
TERMS = {"DecideMs": 1000, "EachMs": 120, "ValidMs": 10000}
"""A call takes 1.72 s for 6 workers."""

N_JOBS = 8
BURST_SECONDS = 0.13
CALM_SECONDS = 4.0
"""Times between two submissions, with and without the burst."""

FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
"""``finish_s`` after the last submission, and the time for which nothing may be idle
after that."""

STEP = {"Count": 2, "Cpu": 1000, "MemMb": 256, "EstimateMs": 500}
SPECIFICATION = "seconds=0.5 cores=1"


def play(record: Record, has_trouble: bool) -> bool:
    """Return whether all jobs had begun in time."""
    address = AdviceService(TERMS, record.write).start()
    with Deployment(
        record, N_VMS, float(CORES), advice=address, advice_terms=TERMS
    ) as deployment:
        job_ids = []
        for number in range(1, N_JOBS + 1):
            job_id = f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"
            daemon = deployment.daemons[number % len(deployment.daemons)]
            body = {"Spec": SPECIFICATION, "Steps": [STEP]}
            status = deployment.submit(daemon, job_id, body).status
            record.write(f"POST {job_id} to {daemon.name}: {status}")
            job_ids.append(job_id)
            time.sleep(BURST_SECONDS if has_trouble else CALM_SECONDS)
        time.sleep(FINISH_SECONDS + IDLE_SECONDS)
        events = deployment.list_events()
        for job_id in job_ids:
            answer = deployment.show_state(deployment.daemons[0], job_id)
            record.write(f"GET {job_id}: {answer.status} {dict(answer.body)}")
    begun = {e["task"].partition(".")[0] for e in events if e["what"] == "started"}
    for event in events:
        record.write(f"{event['task']} run {event['run']} {event['what']}", event["at"])
    record.write(f"{len(begun)} of {N_JOBS} jobs had begun")
    return len(begun) == N_JOBS


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
