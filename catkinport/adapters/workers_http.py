"""HTTP client of workers."""

import threading
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

from ..ports import (
    NotRun,
    Reason,
    TaskReport,
    TaskSpecification,
    TaskState,
    Unavailable,
    Unknown,
)
from ._http_client import HttpClient

TIMEOUT_SECONDS = 2.0


class HttpWorkers:
    """Client of all workers, with one persistent connection to each.

    Args:
        client_name: sent with each call, so that workers can tell clients apart.
        timeout_seconds: longest wait for an answer.
    """

    def __init__(
        self, client_name: str = "", timeout_seconds: float = TIMEOUT_SECONDS
    ) -> None:
        self._client_name = client_name
        self._timeout_seconds = timeout_seconds
        self._client_by_address: dict[str, HttpClient] = {}
        self._lock = threading.Lock()

    def start_task(
        self, address: str, task: TaskSpecification, lease_seconds: float
    ) -> None | NotRun | Unknown:
        """Start an attempt; repeating it for the same attempt has no effect."""
        body = {**task._asdict(), "lease_seconds": lease_seconds}
        reply = self._client(address).call(
            "task-start", "POST", "/tasks", body, accepted_statuses=(200, 409, 503)
        )
        if isinstance(reply, Unavailable):
            if reply.may_have_committed:
                return Unknown(reply.reason, "task-start", address, reply.detail)
            return NotRun(reply.reason, "task-start", address, reply.detail)
        if reply.status == 409:
            return NotRun(Reason.NOT_OWNER, "task-start", address)
        if reply.status == 503:
            return NotRun(Reason.BACKEND_FULL, "task-start", address)
        return None

    def renew_leases(
        self, address: str, epoch: int, job_ids: Sequence[str], lease_seconds: float
    ) -> list[TaskReport] | Unavailable:
        """Renew the leases of ``job_ids`` and return a report of each task there."""
        body = {
            "epoch": epoch,
            "job_ids": list(job_ids),
            "lease_seconds": lease_seconds,
        }
        reply = self._client(address).call("lease-renew", "POST", "/leases", body)
        if isinstance(reply, Unavailable):
            return reply
        try:
            reports = reply.decode()["reports"]
            return [
                TaskReport(**{**entry, "state": TaskState(entry["state"])})
                for entry in reports
            ]
        except (KeyError, TypeError, ValueError) as error:
            detail = f"malformed reports: {error}"
            return Unavailable(
                Reason.ANSWER_TRUNCATED, "lease-renew", address, detail, True
            )

    def checkpoint_task(
        self, address: str, job_id: str, attempt: int, epoch: int
    ) -> None | Unavailable:
        """Ask for a checkpoint, after which the task stops.

        A later report of ``renew_leases`` has the state and the checkpoint.
        """
        return self._post_operation(address, job_id, "checkpoint", attempt, epoch)

    def throttle_task(
        self, address: str, job_id: str, attempt: int, epoch: int, fraction: float
    ) -> None | Unavailable:
        """Limit a task to ``fraction`` of its declared processors (0 to 1)."""
        return self._post_operation(
            address, job_id, "throttle", attempt, epoch, fraction=fraction
        )

    def stop_task(
        self, address: str, job_id: str, attempt: int, epoch: int
    ) -> None | Unavailable:
        """Stop a task; has no effect if the worker does not have it."""
        return self._post_operation(address, job_id, "stop", attempt, epoch)

    def _post_operation(
        self,
        address: str,
        job_id: str,
        operation: str,
        attempt: int,
        epoch: int,
        **values: Any,
    ) -> None | Unavailable:
        body = {"attempt": attempt, "epoch": epoch, **values}
        path = f"/tasks/{quote(job_id, safe='')}/{operation}"
        reply = self._client(address).call(f"task-{operation}", "POST", path, body)
        return reply if isinstance(reply, Unavailable) else None

    def _client(self, address: str) -> HttpClient:
        with self._lock:
            client = self._client_by_address.get(address)
            if client is None:
                client = HttpClient(
                    address, self._client_name, self._timeout_seconds, n_connections=1
                )
                self._client_by_address[address] = client
            return client
