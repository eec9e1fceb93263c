"""Run a small deployment, kill an entry under load and print what was served."""

import random
import sys
import time
from collections import Counter

from verification.checkers import check_at_most_once, check_own_answer
from verification.client import LoadGenerator, RecordingClient
from verification.deployment import Deployment, DeploymentSize, SubmittedJob
from verification.history import Operation, Outcome, Recorder
from verification.processes import ProcessGroup

N_REQUESTS = 600
N_JOBS = 12
JOB_SECONDS = 1.0
JOB_TIMEOUT_SECONDS = 60.0
SEED = 1


def main() -> int:
    """Run the demo; return 0 if no request or job is lost and no check is violated."""
    with ProcessGroup() as processes:
        deployment = Deployment(processes, DeploymentSize())
        print("starting platform, backend servers, workers, entries, controllers")
        deployment.start()
        jobs = [deployment.submit_job(JOB_SECONDS) for _ in range(N_JOBS)]
        operations = send_requests_and_kill_an_entry(deployment)
        n_done = count_finished_jobs(deployment, jobs)
        executions = deployment.list_executions()
        violations = check_at_most_once(operations, executions)
        violations += check_own_answer(operations)
    print_table(operations, n_done, len(violations))
    is_good = n_done == N_JOBS and not violations
    return 0 if is_good and count_lost(operations) == 0 else 1


def send_requests_and_kill_an_entry(deployment: Deployment) -> list[Operation]:
    """Send requests from several threads and kill one entry after half of them."""
    recorder = Recorder()
    client = RecordingClient(recorder, deployment.list_caller_addresses)
    callers = deployment.list_callers()

    def send_one(rng: random.Random) -> None:
        is_idempotent = rng.random() < 0.5
        idempotency_key = "" if is_idempotent else f"{rng.getrandbits(64):x}"
        caller = rng.choice(callers)
        for _ in range(4):
            operation = client.send(
                caller, rng, 0.01, is_idempotent, idempotency_key, b"x" * 100
            )
            if operation.outcome is Outcome.ANSWERED:
                return

    with LoadGenerator(send_one, 8, 0.01, N_REQUESTS, SEED):
        while len(recorder.list_operations()) < N_REQUESTS // 2:
            time.sleep(0.02)
        name = next(iter(deployment.entry_by_name))
        print(f"killing {name}")
        deployment.entry_by_name[name].process.kill()
        while len(recorder.list_operations()) < N_REQUESTS:
            time.sleep(0.02)
    return recorder.list_operations()


def count_finished_jobs(deployment: Deployment, jobs: list[SubmittedJob]) -> int:
    """Wait until the jobs have results; return how many finished in time."""
    deadline = time.monotonic() + JOB_TIMEOUT_SECONDS
    waiting = list(jobs)
    while waiting and time.monotonic() < deadline:
        time.sleep(0.2)
        waiting = [job for job in waiting if not deployment.has_result(job)]
    return len(jobs) - len(waiting)


def list_undecided(operations: list[Operation], outcome: Outcome) -> set[str]:
    """Return the keys of unanswered requests whose last attempt had ``outcome``."""
    keyed = [o for o in operations if o.idempotency_key]
    answered = {o.idempotency_key for o in keyed if o.outcome is Outcome.ANSWERED}
    last_by_key = {o.idempotency_key: o.outcome for o in keyed}
    return {
        key
        for key, last in last_by_key.items()
        if key not in answered and last is outcome
    }


def count_lost(operations: list[Operation]) -> int:
    """Return how many keyed requests ended without an answer or a known outcome.

    A request that was in flight at the killed entry may have run. The entry that gets
    the retry then answers "unknown" and does not run the request again.
    """
    return len(list_undecided(operations, Outcome.BROKEN))


def print_table(operations: list[Operation], n_done: int, n_violations: int) -> None:
    """Print the outcomes, latencies, finished jobs and violations."""
    counts = Counter(operation.outcome.value for operation in operations)
    print("\nrequests")
    for outcome, count in sorted(counts.items()):
        print(f"  {outcome:<12} {count:>6}")
    durations = sorted(o.ended_at - o.started_at for o in operations)
    median = durations[len(durations) // 2]
    p99 = durations[int(len(durations) * 0.99)]
    print(f"  median {median * 1000:.1f} ms, p99 {p99 * 1000:.1f} ms")
    print(f"jobs done        {n_done:>6} of {N_JOBS}")
    print("entries killed        1")
    n_unknown = len(list_undecided(operations, Outcome.UNKNOWN))
    print(f"unknown, run at most once {n_unknown}")
    print(f"no definite outcome {count_lost(operations):>4}")
    print(f"violations       {n_violations:>6}")


if __name__ == "__main__":
    sys.exit(main())
