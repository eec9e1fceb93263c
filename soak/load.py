"""Load of a soak test: callers that submit jobs and cancel some of them.

Some jobs are lasting: their tasks run until the job is canceled.
"""

import logging
import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from catkinport.runtime.logs import log_event
from verification.platform.caller import PlatformCaller, SentJob, StepSpec

from .environment import SoakEnvironment

logger = logging.getLogger(__name__)

PAUSE_SECONDS = 0.15
"""Mean pause of a caller between two jobs."""

LONG_PAUSE_SECONDS = 0.15
"""Mean pause between two jobs with long tasks. These tasks are many and small, so that
some start in each moment and they use half of all cores."""

REQUEST_TIMEOUT_SECONDS = 6.0
"""Time within which a caller retries one submission or cancellation."""

CANCELED_FRACTION = 0.15
LASTING_FRACTION = 0.05
JOB_SHAPES = (
    (StepSpec(1),),
    (StepSpec(4),),
    (StepSpec(3), StepSpec(2, after=(0,))),
    (StepSpec(2, cores=4.0), StepSpec(1, after=(0,)), StepSpec(2, after=(1,))),
)
LASTING_JOB_SHAPE = (StepSpec(2, is_lasting=True, max_away=1),)
LONG_JOB_SHAPE = (StepSpec(4, cores=0.25),)
LONG_TASK_SECONDS = (8.0, 15.0)
"""Shortest and longest duration of a long task."""


class _Draft(NamedTuple):
    """A job that is to be submitted."""

    steps: tuple[StepSpec, ...]
    specification: str
    is_lasting: bool = False


class Cancellation(NamedTuple):
    """A cancellation of a job.

    ``acknowledged_at`` is a time of the monotonic clock in seconds, 0 if the
    cancellation was not acknowledged.
    """

    job: SentJob
    acknowledged_at: float


class SoakLoad:
    """Threads that submit jobs until they are stopped.

    Args:
        environment: environment with the daemons to call.
        seed: seed of all random choices.
        n_callers: number of threads.
        has_long_jobs: whether a further thread submits jobs with long tasks.

    Attributes:
        jobs: jobs that were submitted, accepted or not.
        cancellations: cancellations that were tried.
    """

    def __init__(
        self,
        environment: SoakEnvironment,
        seed: int,
        n_callers: int = 3,
        has_long_jobs: bool = False,
    ) -> None:
        self.jobs: list[SentJob] = []
        self.cancellations: list[Cancellation] = []
        self._environment = environment
        self._stop = threading.Event()
        self._threads = [
            self._create_thread(f"{seed}-{n}", _draw_job, PAUSE_SECONDS)
            for n in range(n_callers)
        ]
        if has_long_jobs:
            self._threads.append(
                self._create_thread(f"{seed}-long", _draw_long_job, LONG_PAUSE_SECONDS)
            )

    def start(self) -> None:
        """Start all threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all threads and wait for the calls in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _create_thread(
        self, seed: str, draw: Callable[[random.Random], _Draft], pause_seconds: float
    ) -> threading.Thread:
        arguments = (random.Random(seed), draw, pause_seconds)
        return threading.Thread(target=self._submit_jobs, args=arguments)

    def _submit_jobs(
        self,
        rng: random.Random,
        draw: Callable[[random.Random], _Draft],
        pause_seconds: float,
    ) -> None:
        caller = PlatformCaller(self._environment.list_caller_addresses, rng)
        while not self._stop.is_set():
            steps, specification, is_lasting = draw(rng)
            queue = f"queue-{rng.randrange(self._environment.deployment.size.n_pools)}"
            key = self._environment.deployment.keys[-1]
            job = caller.submit(
                queue, key, steps, specification, REQUEST_TIMEOUT_SECONDS
            )
            self.jobs.append(job)
            log_event(
                logger,
                "job submitted",
                request_id=job.job_id,
                queue=queue,
                specification=specification,
                accepted=job.accepted_at > 0,
                may_run=job.may_run,
            )
            if job.accepted_at and (is_lasting or rng.random() < CANCELED_FRACTION):
                time.sleep(rng.uniform(0.0, 1.0) + 3.0 * is_lasting)
                key = self._environment.deployment.keys[-1]
                acknowledged_at = caller.cancel(
                    job._replace(key=key), REQUEST_TIMEOUT_SECONDS
                )
                self.cancellations.append(Cancellation(job, acknowledged_at))
                log_event(
                    logger,
                    "job canceled",
                    request_id=job.job_id,
                    acknowledged=acknowledged_at > 0,
                )
            time.sleep(rng.expovariate(1 / pause_seconds))


def _draw_job(rng: random.Random) -> _Draft:
    if rng.random() < LASTING_FRACTION:
        return _Draft(LASTING_JOB_SHAPE, "lasts", is_lasting=True)
    steps = rng.choice(JOB_SHAPES)
    return _Draft(steps, f"seconds={rng.uniform(0.1, 1.0):.2f}")


def _draw_long_job(rng: random.Random) -> _Draft:
    seconds = rng.uniform(*LONG_TASK_SECONDS)
    return _Draft(LONG_JOB_SHAPE, f"seconds={seconds:.2f} cores=0.25")
