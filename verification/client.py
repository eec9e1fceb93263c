"""Clients that record every call in a history."""

import json
import random
import threading
import time
import uuid
from collections.abc import Callable, Sequence
from typing import NamedTuple

import urllib3

from .history import Operation, Outcome, Recorder


class Caller(NamedTuple):
    """Who calls: a team's key and the queue that it uses.

    ``secret`` is the whole text after ``Bearer``; ``team`` is empty for a key that
    must not work.
    """

    team: str
    key_name: str
    secret: str
    queue: str


class RecordingClient:
    """Sends requests to entries and records how each of them ended.

    Args:
        recorder: where operations go.
        list_entries: returns the addresses that the balancer would use now.
        timeout_seconds: longest wait for an answer.
    """

    def __init__(
        self,
        recorder: Recorder,
        list_entries: Callable[[], Sequence[str]],
        timeout_seconds: float = 15.0,
    ) -> None:
        self._recorder = recorder
        self._list_entries = list_entries
        self._timeout_seconds = timeout_seconds
        self._pool = urllib3.PoolManager(maxsize=20, retries=False)

    def send(
        self,
        caller: Caller,
        rng: random.Random,
        seconds: float = 0.0,
        is_idempotent: bool = False,
        idempotency_key: str = "",
        body: bytes = b"",
        deadline_ms: int = 10_000,
    ) -> Operation:
        """Send one request to an entry chosen at random and record its outcome."""
        entry = rng.choice(list(self._list_entries()))
        operation_id = uuid.UUID(int=rng.getrandbits(128)).hex
        # In a header, because a retry must repeat path and body of its request.
        headers = {
            "Catkin-Deadline-Ms": str(deadline_ms),
            "Operation-Id": operation_id,
        }
        if caller.secret:
            headers["Authorization"] = f"Bearer {caller.secret}"
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        if is_idempotent:
            headers["Catkin-Idempotent"] = "true"
        path = f"/v1/queues/{caller.queue}/requests/work"
        url = f"http://{entry}{path}?seconds={seconds}"
        started_at = time.time()
        outcome, status, reason, answered = self._call(url, headers, body)
        operation = Operation(
            operation_id,
            caller.key_name,
            caller.team,
            idempotency_key,
            is_idempotent,
            entry,
            started_at,
            time.time(),
            outcome,
            status,
            reason,
            answered,
        )
        self._recorder.add(operation)
        return operation

    def _call(
        self, url: str, headers: dict[str, str], body: bytes
    ) -> tuple[Outcome, int, str, str]:
        try:
            answer = self._pool.request(
                "POST",
                url,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=1.0, read=self._timeout_seconds),
            )
        except urllib3.exceptions.NewConnectionError:
            return Outcome.NOT_RUN, 0, "no connection to the entry", ""
        except urllib3.exceptions.HTTPError as error:
            return Outcome.BROKEN, 0, type(error).__name__, ""
        reason = answer.headers.get("Catkin-Reason", "")
        outcome = _parse_outcome(answer.headers.get("Catkin-Outcome", ""))
        answered = ""
        if outcome is Outcome.ANSWERED and answer.status == 200:
            answered = _parse_operation(answer.data)
        return outcome, answer.status, reason, answered


class LoadGenerator:
    """Calls from several threads until it is stopped or has sent enough.

    Args:
        send_one: called with the thread's own random generator.
        n_threads: number of threads.
        pause_seconds: pause of a thread between two calls.
        max_calls: calls of all threads together, after which they stop.
        seed: seed of the random generators.
    """

    def __init__(
        self,
        send_one: Callable[[random.Random], object],
        n_threads: int,
        pause_seconds: float,
        max_calls: int,
        seed: int,
    ) -> None:
        self._send_one = send_one
        self._pause_seconds = pause_seconds
        self._remaining = max_calls
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(seed + index),))
            for index in range(n_threads)
        ]

    def __enter__(self) -> "LoadGenerator":
        """Start all threads."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exception_info: object) -> None:
        """Stop and wait for the calls in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, rng: random.Random) -> None:
        while not self._stop.wait(self._pause_seconds):
            with self._lock:
                if self._remaining <= 0:
                    return
                self._remaining -= 1
            self._send_one(rng)


def _parse_outcome(text: str) -> Outcome:
    try:
        return Outcome(text)
    except ValueError:
        return Outcome.UNKNOWN


def _parse_operation(content: bytes) -> str:
    try:
        return str(json.loads(content)["operation"])
    except (ValueError, KeyError, TypeError):
        return ""
