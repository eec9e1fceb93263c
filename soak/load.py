"""Callers of a soak: they hand jobs in, cancel some, and ask for all of them."""

import random
import threading
import time
from typing import NamedTuple

from verification.platform.caller import PlatformCaller, SentJob, StepSpec

from .world import SoakWorld

PAUSE_SECONDS = 0.15
"""Mean pause of a caller between two jobs."""

PATIENCE_SECONDS = 6.0
"""How long a caller tries to hand one job in."""

CANCELED_FRACTION = 0.15
LASTING_FRACTION = 0.05
SHAPES = (
    (StepSpec(1),),
    (StepSpec(4),),
    (StepSpec(3), StepSpec(2, after=(0,))),
    (StepSpec(2, cores=4.0), StepSpec(1, after=(0,)), StepSpec(2, after=(1,))),
)
LASTING_SHAPE = (StepSpec(2, is_lasting=True, max_away=1),)


class Cancel(NamedTuple):
    """A cancellation and the time in seconds of its acknowledgement."""

    job: SentJob
    acknowledged_at: float


class SoakLoad:
    """Threads of callers.

    Args:
        world: the deployment.
        seed: seed of all choices.
        n_callers: number of threads.
    """

    def __init__(self, world: SoakWorld, seed: int, n_callers: int = 3) -> None:
        self.jobs: list[SentJob] = []
        self.cancels: list[Cancel] = []
        self._world = world
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(random.Random(f"{seed}-{n}"),))
            for n in range(n_callers)
        ]

    def start(self) -> None:
        """Start to send jobs."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send nothing more and wait for the callers."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _call(self, rng: random.Random) -> None:
        caller = PlatformCaller(self._world.list_callers, rng)
        while not self._stop.is_set():
            is_lasting = rng.random() < LASTING_FRACTION
            shape = LASTING_SHAPE if is_lasting else rng.choice(SHAPES)
            words = "lasts" if is_lasting else f"seconds={rng.uniform(0.1, 1.0):.2f}"
            queue = f"queue-{rng.randrange(self._world.deployment.size.n_pools)}"
            key = self._world.deployment.keys[-1]
            job = caller.submit(queue, key, shape, words, PATIENCE_SECONDS)
            self.jobs.append(job)
            if job.accepted_at and (is_lasting or rng.random() < CANCELED_FRACTION):
                time.sleep(rng.uniform(0.0, 1.0) + 3.0 * is_lasting)
                key = self._world.deployment.keys[-1]
                at = caller.cancel(job._replace(key=key), PATIENCE_SECONDS)
                self.cancels.append(Cancel(job, at))
            time.sleep(rng.expovariate(1 / PAUSE_SECONDS))
