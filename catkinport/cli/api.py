"""A client of the administration API over HTTP."""

import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlencode, urlsplit

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from .exit_codes import ExitCode, Failure

# The API answers a change when all members apply it, which takes up to about 8 s when
# it has to retry calls to the store.
TIMEOUT_SECONDS = 20.0
N_ATTEMPTS = 3
RETRY_SECONDS = 1.0
_EXIT_CODE_BY_STATUS = {
    400: ExitCode.INVALID,
    401: ExitCode.ACCESS,
    404: ExitCode.NOT_FOUND,
    405: ExitCode.INVALID,
    409: ExitCode.CONFLICT,
    422: ExitCode.INVALID,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNKNOWN,
}
_HINT_BY_STATUS = {
    401: "set CATKIN_OPERATOR_KEY or --key-file to the NAME.SECRET of an operator",
}


class ApiClient:
    """Client of the administration API of one environment.

    A failed attempt is retried with the same change id, so that a change whose answer
    was lost is not made twice.

    Args:
        address: ``http://host:port``.
        key: ``NAME.SECRET`` of an operator.
        change_id: id of the change, sent as ``Idempotency-Key``.
        sleep: waits for a number of seconds between attempts.
    """

    def __init__(
        self,
        address: str,
        key: str,
        change_id: str,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._address = address.rstrip("/")
        self._change_id = change_id
        self._sleep = sleep
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Idempotency-Key": change_id,
            "Content-Type": "application/json",
        }
        self._pool = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=TIMEOUT_SECONDS)
        )

    def get(self, path: str, **query: str) -> dict[str, Any] | Failure:
        """Return a resource or why it can't be read.

        Empty values of ``query`` are left out.
        """
        given = {name: value for name, value in query.items() if value}
        path = f"{path}?{urlencode(given)}" if given else path
        return self._send_with_retries("GET", path, None, is_change=False)

    def compute(self, path: str, body: dict[str, Any]) -> dict[str, Any] | Failure:
        """Send ``body`` to a route that changes nothing and return the answer."""
        return self._send_with_retries("POST", path, body, is_change=False)

    def change(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any] | Failure:
        """Send a change, with retries, and return the answer or why it failed."""
        return self._send_with_retries(method, path, body, is_change=True)

    def _send_with_retries(
        self, method: str, path: str, body: dict[str, Any] | None, is_change: bool
    ) -> dict[str, Any] | Failure:
        may_have_run = False
        failure = self._check_address()
        for attempt in range(N_ATTEMPTS if failure is None else 0):
            if attempt:
                self._sleep(RETRY_SECONDS)
            outcome = self._send(method, path, body)
            if not isinstance(outcome, Failure):
                return outcome
            failure = outcome
            if outcome.exit_code not in (ExitCode.UNAVAILABLE, ExitCode.UNKNOWN):
                return outcome
            may_have_run |= is_change and outcome.exit_code == ExitCode.UNKNOWN
        assert failure is not None
        return self._add_hint(failure, may_have_run)

    def _check_address(self) -> Failure | None:
        parts = urlsplit(self._address)
        if parts.scheme in ("http", "https") and parts.netloc:
            return None
        error = f"the API address must be http://host:port, got {self._address!r}"
        return Failure(ExitCode.USAGE, error, "set CATKIN_API or --api")

    def _send(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> dict[str, Any] | Failure:
        content = None if body is None else json.dumps(body).encode()
        url = self._address + path
        try:
            answer = self._pool.request(
                method, url, body=content, headers=self._headers, redirect=False
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Failure(ExitCode.UNAVAILABLE, f"{url} cannot be reached: {error}")
        except (HTTPError, UnicodeError) as error:
            return Failure(ExitCode.UNKNOWN, f"the answer of {url} was lost: {error}")
        return _read_answer(answer.status, answer.data)

    def _add_hint(self, failure: Failure, may_have_run: bool) -> Failure:
        """Return ``failure`` with whether the change may have taken effect."""
        if may_have_run:
            hint = (
                "the change may have taken effect; run the command again with"
                f" --change-id {self._change_id} to learn its outcome"
            )
            return failure._replace(exit_code=ExitCode.UNKNOWN, hint=hint)
        if failure.exit_code not in (ExitCode.UNAVAILABLE, ExitCode.UNKNOWN):
            return failure
        hint = "nothing was changed; try again or name another entry with --api"
        return failure._replace(exit_code=ExitCode.UNAVAILABLE, hint=hint)


def path_of(*parts: str) -> str:
    """Return a path below ``/v1`` with quoted parts.

    Example:
        >>> path_of("vms", "vm 1", "drain")
        '/v1/vms/vm%201/drain'
    """
    return "/v1/" + "/".join(quote(part, safe="") for part in parts)


def _read_answer(status: int, data: bytes) -> dict[str, Any] | Failure:
    try:
        value = json.loads(data)
    except ValueError:
        value = None
    if not isinstance(value, dict) or (status != 200 and "error" not in value):
        # A proxy or a failing server may have sent it, so whether the change took
        # effect is unknown.
        error = f"the answer with status {status} is not from the administration API"
        return Failure(ExitCode.UNKNOWN, error)
    if status == 200:
        return value
    code = _EXIT_CODE_BY_STATUS.get(status, ExitCode.UNKNOWN)
    error = str(value.pop("error", f"status {status}"))
    return Failure(code, error, _HINT_BY_STATUS.get(status, ""), value)
