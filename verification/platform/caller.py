"""A caller of the platform's daemons, which retries as the users' clients do."""

import json
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import urllib3

from .deployment import HOST

ATTEMPT_SECONDS = 3.0
"""Longest wait of one attempt."""

RETRY_SECONDS = 0.2
"""Pause between two attempts."""


class StepSpec(NamedTuple):
    """A step of a job: tasks, their cores, and the step that must be done before."""

    n_tasks: int
    cores: float = 1.0
    after: tuple[int, ...] = ()
    is_lasting: bool = False
    max_away: int = 0


class SentJob(NamedTuple):
    """A job that was handed in.

    Args:
        job_id: its id.
        queue: its queue.
        key: key that it was sent with.
        steps: its steps.
        accepted_at: time in seconds of the answer that accepted it; 0 for none.
        may_run: whether any attempt had no answer that rules a run out.
    """

    job_id: str
    queue: str
    key: str
    steps: Sequence[StepSpec]
    accepted_at: float
    may_run: bool


class PlatformCaller:
    """Hands jobs in and asks for them.

    Args:
        list_addresses: returns the daemons that may be called.
        rng: source of ids and choices.
    """

    def __init__(
        self, list_addresses: Callable[[], Sequence[str]], rng: random.Random
    ) -> None:
        self._list_addresses = list_addresses
        self._rng = rng
        self._pool = urllib3.PoolManager(
            retries=False, timeout=ATTEMPT_SECONDS, maxsize=4
        )

    def submit(
        self,
        queue: str,
        key: str,
        steps: Sequence[StepSpec],
        specification: str,
        patience_seconds: float,
    ) -> SentJob:
        """Hand a job in, with further attempts under the same id."""
        job_id = f"{self._rng.getrandbits(64):016x}"
        body = {"Spec": specification, "Steps": [_encode_step(s) for s in steps]}
        deadline = time.monotonic() + patience_seconds
        may_run = False
        while time.monotonic() < deadline:
            status = self.call("POST", queue, job_id, key, body)[0]
            if 200 <= status < 300:
                now = time.monotonic()
                return SentJob(job_id, queue, key, steps, now, True)
            may_run = may_run or status not in (401, 404, 429, 503)
            if status in (401, 404):
                break
            time.sleep(RETRY_SECONDS)
        return SentJob(job_id, queue, key, steps, 0.0, may_run)

    def cancel(self, job: SentJob, patience_seconds: float) -> float:
        """Cancel a job; return the time of the answer, 0 for none."""
        deadline = time.monotonic() + patience_seconds
        while time.monotonic() < deadline:
            status = self.call("DELETE", job.queue, job.job_id, job.key)[0]
            if status == 410 or 200 <= status < 300:
                return time.monotonic()
            time.sleep(RETRY_SECONDS)
        return 0.0

    def state(self, job: SentJob) -> str:
        """Return the state that is shown: a name, ``absent``, or empty for none."""
        status, answer = self.call("GET", job.queue, job.job_id, job.key)
        if status == 200:
            return str(answer["State"])
        return "absent" if status == 410 else ""

    def wait_for(self, job: SentJob, states: Sequence[str], seconds: float) -> str:
        """Ask until one of ``states`` is shown; return what was shown last."""
        deadline = time.monotonic() + seconds
        state = self.state(job)
        while state not in states and time.monotonic() < deadline:
            time.sleep(0.1)
            state = self.state(job)
        return state

    def call(
        self, method: str, queue: str, job_id: str, key: str, body: Any = None
    ) -> tuple[int, Mapping[str, Any]]:
        """Call one daemon once; the status is 0 if there was no answer."""
        addresses = self._list_addresses()
        if not addresses:
            return 0, {}
        url = f"http://{self._rng.choice(addresses)}/{queue}/{job_id}"
        content = None if body is None else json.dumps(body).encode()
        headers = {"Host": HOST, "Authorization": f"Token {key}"}
        try:
            answer = self._pool.request(method, url, body=content, headers=headers)
            return answer.status, json.loads(answer.data or b"{}")
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return 0, {}


def _encode_step(step: StepSpec) -> dict[str, Any]:
    entry: dict[str, Any] = {
        "Count": step.n_tasks,
        "Cpu": int(step.cores * 1000),
        "MemMb": 256,
        "EstimateMs": 300,
    }
    if step.after:
        entry["After"] = list(step.after)
    if step.is_lasting:
        entry["LongRunning"] = True
    if step.max_away:
        entry["MayMiss"] = step.max_away
    return entry
