"""Clients that record every call, and a generator of concurrent load."""

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
    """Credentials of a caller and the queue that it uses.

    ``secret`` is the whole text after ``Bearer``; ``team`` is empty for a key that
    the entries must refuse.
    """

    team: str
    key_name: str
    secret: str
    queue: str


class RecordingClient:
    """Client that sends requests to entries and records how each of them ended.

    Args:
        recorder: collects the operations.
        list_entries: returns the addresses that a load balancer would use now.
        timeout_seconds: read timeout of a call.
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
        self._http = urllib3.PoolManager(maxsize=20, retries=False)

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
        # The id is sent in a header, because a retry under the same idempotency key
        # must have the same path and body as the first attempt.
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
        outcome, status, reason, answered_operation_id = self._call(url, headers, body)
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
            answered_operation_id,
        )
        self._recorder.add(operation)
        return operation

    def _call(
        self, url: str, headers: dict[str, str], body: bytes
    ) -> tuple[Outcome, int, str, str]:
        try:
            answer = self._http.request(
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
        answered_operation_id = ""
        if outcome is Outcome.ANSWERED and answer.status == 200:
            answered_operation_id = _parse_operation_id(answer.data)
        return outcome, answer.status, reason, answered_operation_id


class LoadGenerator:
    """Threads that send requests until they are stopped or reach ``max_calls``.

    Args:
        send_one: sends one request; it gets the random generator of the thread.
        n_threads: number of threads.
        pause_seconds: pause of a thread before each call.
        max_calls: number of calls of all threads together, after which they stop.
        seed: seed of the first thread; each further thread adds 1.
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
        self._n_remaining_calls = max_calls
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
        """Stop all threads and wait for the calls in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, rng: random.Random) -> None:
        while not self._stop.wait(self._pause_seconds):
            with self._lock:
                if self._n_remaining_calls <= 0:
                    return
                self._n_remaining_calls -= 1
            self._send_one(rng)


def _parse_outcome(text: str) -> Outcome:
    try:
        return Outcome(text)
    except ValueError:
        return Outcome.UNKNOWN


def _parse_operation_id(content: bytes) -> str:
    try:
        return str(json.loads(content)["operation"])
    except (ValueError, KeyError, TypeError):
        return ""
