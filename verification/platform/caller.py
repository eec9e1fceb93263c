"""A client of the platform's daemons that retries as the clients of users do.

A job consists of steps, and a step of equal tasks. A *lasting* task runs until its job
is canceled.
"""

import json
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import urllib3

from .deployment import HOST

ATTEMPT_TIMEOUT_SECONDS = 3.0
RETRY_PAUSE_SECONDS = 0.2


class StepSpec(NamedTuple):
    """A step of a job.

    Args:
        n_tasks: number of tasks.
        cores: number of cores of each task.
        after: indexes of the steps that must be done before.
        is_lasting: whether the tasks run until the job is canceled.
        max_away: largest number of lasting tasks that the platform may interrupt at
            the same time.
        max_per_worker: largest number of tasks on one worker; 0 for no limit.
        memory_mb: memory of each task in MB.
    """

    n_tasks: int
    cores: float = 1.0
    after: tuple[int, ...] = ()
    is_lasting: bool = False
    max_away: int = 0
    max_per_worker: int = 0
    memory_mb: int = 256


class SentJob(NamedTuple):
    """A job that a caller submitted.

    Args:
        job_id: id of the job.
        queue: queue that it was submitted to.
        key: API key that it was sent with.
        steps: steps of the job.
        accepted_at: time of the monotonic clock, in seconds, at which the job was
            accepted; 0 if it was not.
        may_run: whether the job may run: an attempt was accepted, or had no answer
            that rules out that it was.
    """

    job_id: str
    queue: str
    key: str
    steps: Sequence[StepSpec]
    accepted_at: float
    may_run: bool


class PlatformCaller:
    """Client that submits and cancels jobs and reads their state.

    Args:
        list_addresses: returns the addresses of the daemons that may be called.
        rng: random generator of the job ids and of the daemon for each call.
    """

    def __init__(
        self, list_addresses: Callable[[], Sequence[str]], rng: random.Random
    ) -> None:
        self._list_addresses = list_addresses
        self._rng = rng
        self._http = urllib3.PoolManager(
            retries=False, timeout=ATTEMPT_TIMEOUT_SECONDS, maxsize=4
        )

    def submit(
        self,
        queue: str,
        key: str,
        steps: Sequence[StepSpec],
        specification: str,
        timeout_seconds: float,
    ) -> SentJob:
        """Submit a job; retry under the same id until the job is accepted.

        Stops early if the key or the queue is unknown (401, 404), else after
        ``timeout_seconds``. ``specification`` tells the simulated workers how the tasks
        behave, for example ``seconds=0.3 fails`` or ``lasts``.
        """
        job_id = f"{self._rng.getrandbits(64):016x}"
        body = {"Spec": specification, "Steps": [_encode_step(s) for s in steps]}
        deadline = time.monotonic() + timeout_seconds
        may_run = False
        while time.monotonic() < deadline:
            status = self.call("POST", queue, job_id, key, body)[0]
            if 200 <= status < 300:
                now = time.monotonic()
                return SentJob(job_id, queue, key, steps, now, True)
            may_run = may_run or status not in (401, 404, 429, 503)
            if status in (401, 404):
                break
            time.sleep(RETRY_PAUSE_SECONDS)
        return SentJob(job_id, queue, key, steps, 0.0, may_run)

    def cancel(self, job: SentJob, timeout_seconds: float) -> float:
        """Cancel a job; retry until the cancellation is acknowledged.

        Returns:
            The time of the monotonic clock, in seconds, at which it was acknowledged;
            0 if it was not within ``timeout_seconds``.
        """
        deadline = time.monotonic() + timeout_seconds
        while time.monotonic() < deadline:
            status = self.call("DELETE", job.queue, job.job_id, job.key)[0]
            if status == 410 or 200 <= status < 300:
                return time.monotonic()
            time.sleep(RETRY_PAUSE_SECONDS)
        return 0.0

    def get_state(self, job: SentJob) -> str:
        """Return the state of a job.

        Returns:
            The name of the state, ``absent`` if the daemon has no such job, or an empty
            text if there was no usable answer.
        """
        status, answer = self.call("GET", job.queue, job.job_id, job.key)
        if status == 200:
            return str(answer["State"])
        return "absent" if status == 410 else ""

    def wait_for(self, job: SentJob, states: Sequence[str], seconds: float) -> str:
        """Poll the state of a job until it is one of ``states`` or ``seconds`` pass.

        Returns:
            The state that was read last, as ``get_state`` returns it.
        """
        deadline = time.monotonic() + seconds
        state = self.get_state(job)
        while state not in states and time.monotonic() < deadline:
            time.sleep(0.1)
            state = self.get_state(job)
        return state

    def call(
        self, method: str, queue: str, job_id: str, key: str, body: Any = None
    ) -> tuple[int, Mapping[str, Any]]:
        """Call one daemon chosen at random, once.

        Returns:
            The HTTP status and the decoded answer; status 0 if there was no answer.
        """
        addresses = self._list_addresses()
        if not addresses:
            return 0, {}
        url = f"http://{self._rng.choice(addresses)}/{queue}/{job_id}"
        content = None if body is None else json.dumps(body).encode()
        headers = {"Host": HOST, "Authorization": f"Token {key}"}
        try:
            answer = self._http.request(method, url, body=content, headers=headers)
            return answer.status, json.loads(answer.data or b"{}")
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return 0, {}


def _encode_step(step: StepSpec) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "Count": step.n_tasks,
        "Cpu": int(step.cores * 1000),
        "MemMb": step.memory_mb,
        "EstimateMs": 300,
    }
    if step.after:
        encoded["After"] = list(step.after)
    if step.is_lasting:
        encoded["LongRunning"] = True
    if step.max_away:
        encoded["MayMiss"] = step.max_away
    if step.max_per_worker:
        encoded["AntiAffinity"] = step.max_per_worker
    return encoded
