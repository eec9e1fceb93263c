"""Run of a fault schedule on a deployment under load, and its recorded history.

A promise is a guarantee that the system gives its users; ``checkers`` has the checks.
"""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from .balancer import Balancer
from .checkers import (
    Violation,
    check_at_most_once,
    check_availability_budgets,
    check_not_run,
    check_one_pool,
    check_own_answer,
    check_team,
    check_upper_limits,
    check_withdrawn_keys,
    measure_recovery,
    measure_share_served,
)
from .client import Caller, LoadGenerator, RecordingClient
from .deployment import Deployment, DeploymentSize
from .history import Operation, Outcome, Recorder, Withdrawal
from .processes import ProcessGroup

FORGED_CALLER = Caller("", "key-forged", "key-forged." + "x" * 43, "queue-0")
WITHDRAWAL_BOUND_SECONDS = 4.0
BUDGET_PER_POOL = 1
SPARE_BUDGET = 100
MAX_CALLS = 20_000
N_THREADS = 8


class TrialResult(NamedTuple):
    """Results of one run of a fault schedule.

    Args:
        schedule: name of the schedule.
        seed: seed of the run.
        n_operations: number of calls.
        n_executions: number of requests that the backend servers ran.
        violations: broken promises.
        share_served: share of the calls with a valid key that were answered, 0 to 1.
        recovery_seconds: time from the first fault to the end of the last failed call.
        n_by_refusal: calls with a valid key that were not answered, counted by
            ``outcome:reason``.
    """

    schedule: str
    seed: int
    n_operations: int
    n_executions: int
    violations: Sequence[Violation]
    share_served: float
    recovery_seconds: float
    n_by_refusal: Counter[str]


class Trial:
    """A running deployment that a fault schedule acts on.

    Args:
        deployment: deployment under test.
        seed: seed of the choices that the schedule makes.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.fault_at = 0.0
        self.withdrawals: list[Withdrawal] = []
        self.extra_violations: list[Violation] = []
        self.recorder = Recorder()

    def mark_fault(self) -> None:
        """Record the time of the first fault; later calls change nothing."""
        self.fault_at = self.fault_at or time.time()

    def run(self, schedule: Callable[["Trial"], None], seed: int) -> None:
        """Run a schedule while clients send requests; ``seed`` seeds the load."""
        with Balancer(self.deployment) as balancer:
            client = RecordingClient(self.recorder, balancer.list_entries)

            def send_one(rng: random.Random) -> None:
                self._send_request(client, rng)

            with LoadGenerator(send_one, N_THREADS, 0.02, MAX_CALLS, seed):
                time.sleep(1.0)
                schedule(self)
                time.sleep(1.0)

    def check(self, schedule: str, seed: int) -> TrialResult:
        """Check the recorded history, and return the results of the run.

        These are the checks that apply under every schedule. A schedule adds what its
        own checks find to ``extra_violations``.
        """
        operations = self.recorder.list_operations()
        executions = self.deployment.list_executions()
        limits = {
            caller.team: self.deployment.size.max_slots
            for caller in self.deployment.list_callers()
        }
        pools = self.deployment.list_row_changes("pools")
        budgets = {change.key: BUDGET_PER_POOL for change in pools}
        budgets["spare"] = SPARE_BUDGET
        violations = [
            *check_at_most_once(operations, executions),
            *check_own_answer(operations),
            *check_not_run(operations, executions),
            *check_team(operations, executions),
            *check_withdrawn_keys(
                operations, self.withdrawals, WITHDRAWAL_BOUND_SECONDS
            ),
            *check_upper_limits(executions, limits, time.time()),
            *check_availability_budgets(pools, budgets),
            *check_one_pool(pools),
            *self.extra_violations,
        ]
        return TrialResult(
            schedule,
            seed,
            len(operations),
            len(executions),
            violations,
            measure_share_served(self._exclude_withdrawn(operations)),
            measure_recovery(self._exclude_withdrawn(operations), self.fault_at),
            _count_refusals(operations),
        )

    def _send_request(self, client: RecordingClient, rng: random.Random) -> None:
        if rng.random() < 0.05:
            client.send(FORGED_CALLER, rng)
            return
        caller = rng.choice(self.deployment.list_callers())
        seconds = rng.choice((0.0, 0.01, 0.05, 0.3))
        if rng.random() < 0.5:
            client.send(caller, rng, seconds, is_idempotent=True)
            return
        key = f"{rng.getrandbits(64):x}"
        for _ in range(2):
            operation = client.send(caller, rng, seconds, False, key, b"x" * 200)
            if operation.outcome is Outcome.ANSWERED:
                return

    def _exclude_withdrawn(self, operations: Sequence[Operation]) -> list[Operation]:
        time_by_key = {w.key_name: w.acknowledged_at for w in self.withdrawals}
        # A key is refused already before its withdrawal is acknowledged.
        return [
            operation
            for operation in operations
            if operation.started_at
            < time_by_key.get(operation.key_name, float("inf")) - 1.0
        ]


def run_trial(
    name: str,
    schedule: Callable[[Trial], None],
    seed: int,
    size: DeploymentSize,
) -> TrialResult:
    """Run a fault schedule on a new deployment and check the recorded history."""
    with ProcessGroup() as processes:
        deployment = Deployment(processes, size)
        deployment.start()
        trial = Trial(deployment, seed)
        trial.run(schedule, seed)
        return trial.check(name, seed)


def run_concurrently(actions: Sequence[Callable[[], object]]) -> None:
    """Run actions at the same time and wait for all of them."""
    threads = [threading.Thread(target=action) for action in actions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _count_refusals(operations: Sequence[Operation]) -> Counter[str]:
    return Counter(
        f"{operation.outcome.value}:{operation.reason or operation.status}"
        for operation in operations
        if operation.outcome is not Outcome.ANSWERED and operation.team
    )
