"""Load whose queues have their peaks of demand one after the other.

Each queue asks for several times its mean during its turn, which is more than its pool
holds, and for almost nothing between its turns.
"""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from verification.platform.caller import PlatformCaller, SentJob, StepSpec

from .environment import SoakEnvironment

TURN_SECONDS = 4.0
"""Length of a turn."""

REST_FACTOR = 0.05
"""Demand between the turns of a queue, as a multiple of its mean."""

REQUEST_TIMEOUT_SECONDS = 12.0
"""Time within which a caller retries one submission."""

N_CALLERS = 48
"""Most submissions in flight."""

LASTING_SHAPE = (StepSpec(5, cores=4.0, is_lasting=True, max_away=1, memory_mb=4096),)


class QueueDemand(NamedTuple):
    """Demand of a queue for its mean load.

    Args:
        jobs_per_second: mean number of jobs a second.
        n_steps: mean number of steps, which follow one another.
        n_tasks: tasks of each step.
        task_seconds: duration of a task.
        cores: cores of a task.
    """

    jobs_per_second: float
    n_steps: float
    n_tasks: int
    task_seconds: float
    cores: float


DEMANDS_BY_DEPLOYMENT = {
    "kdc-tbilisi": (
        QueueDemand(2.25, 1.6, 6, 1.0, 4.6),
        QueueDemand(0.543, 2.0, 8, 1.3, 9.9),
        QueueDemand(2.82, 1.6, 6, 1.0, 4.6),
        QueueDemand(0.664, 2.0, 8, 1.3, 9.9),
    ),
    "waitaha-placement": (
        QueueDemand(2.96, 1.6, 6, 1.0, 3.5),
        QueueDemand(0.699, 2.0, 8, 1.3, 7.7),
        QueueDemand(3.70, 1.6, 6, 1.0, 3.5),
        QueueDemand(0.855, 2.0, 8, 1.3, 7.7),
    ),
}
"""Demands of the queues, in the order of their turns, by deployment."""


class TurnsLoad:
    """Callers that submit jobs in turns until they are stopped.

    Args:
        environment: environment with the daemons to call.
        demands: demand of each queue.
        seed: seed of all random choices.

    Attributes:
        jobs: jobs that were submitted, accepted or not.
    """

    def __init__(
        self, environment: SoakEnvironment, demands: tuple[QueueDemand, ...], seed: int
    ) -> None:
        self.jobs: list[SentJob] = []
        self._environment = environment
        self._demands = demands
        self._seed = seed
        self._stop = threading.Event()
        self._executor = ThreadPoolExecutor(N_CALLERS)
        self._threads = [
            threading.Thread(target=self._submit_jobs, args=(number,))
            for number in range(len(demands))
        ]

    def start(self) -> None:
        """Submit a lasting job to each queue, then begin the turns."""
        for number in range(len(self._demands)):
            rng = random.Random(f"{self._seed}-lasting-{number}")
            self._submit(rng, number, LASTING_SHAPE, "lasts cores=4")
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop, and wait for the calls in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self._executor.shutdown()

    def _submit_jobs(self, number: int) -> None:
        rng = random.Random(f"{self._seed}-{number}")
        demand = self._demands[number]
        began_at = time.monotonic()
        while not self._stop.is_set():
            factor = self._factor(number, time.monotonic() - began_at)
            # A pause is cut short at the next change of the demand.
            pause = rng.expovariate(demand.jobs_per_second * factor)
            if pause > TURN_SECONDS / 4:
                self._stop.wait(TURN_SECONDS / 4)
                continue
            self._stop.wait(pause)
            steps = self._draw_steps(rng, demand)
            text = f"seconds={demand.task_seconds} cores={demand.cores}"
            caller_rng = random.Random(rng.getrandbits(64))
            self._executor.submit(self._submit, caller_rng, number, steps, text)

    def _factor(self, number: int, seconds: float) -> float:
        """Return the present demand of a queue as a multiple of its mean."""
        n_queues = len(self._demands)
        if int(seconds / TURN_SECONDS) % n_queues == number:
            return n_queues - (n_queues - 1) * REST_FACTOR
        return REST_FACTOR

    @staticmethod
    def _draw_steps(rng: random.Random, demand: QueueDemand) -> tuple[StepSpec, ...]:
        n_steps = int(demand.n_steps) + (rng.random() < demand.n_steps % 1)
        return tuple(
            StepSpec(
                demand.n_tasks,
                cores=demand.cores,
                after=(index - 1,) if index else (),
                memory_mb=int(demand.cores * 500),
            )
            for index in range(n_steps)
        )

    def _submit(
        self,
        rng: random.Random,
        number: int,
        steps: tuple[StepSpec, ...],
        specification: str,
    ) -> None:
        caller = PlatformCaller(self._environment.list_caller_addresses, rng)
        key = self._environment.deployment.keys[-1]
        job = caller.submit(
            f"queue-{number}", key, steps, specification, REQUEST_TIMEOUT_SECONDS
        )
        self.jobs.append(job)
