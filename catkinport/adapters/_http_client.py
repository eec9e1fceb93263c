"""HTTP client for JSON services."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import urllib3

from ..ports import Reason, Unavailable

CONNECT_TIMEOUT_SECONDS = 0.5


class JsonReply(NamedTuple):
    """Status, body and headers of an answer."""

    status: int
    content: bytes
    headers: Mapping[str, str] = {}

    def decode(self) -> Any:
        """Return the body parsed as JSON; an empty body is ``None``."""
        return json.loads(self.content or b"null")


class HttpClient:
    """Client of one HTTP service; a failed call returns ``Unavailable``.

    Args:
        address: ``host:port`` of the service.
        client_name: sent with each call, so that the service can tell clients apart.
        timeout_seconds: longest wait for an answer.
        n_connections: largest number of idle connections that are kept open.
    """

    def __init__(
        self,
        address: str,
        client_name: str = "",
        timeout_seconds: float = 1.0,
        n_connections: int = 8,
    ) -> None:
        self.address = address
        # Workers' reports of 8 tasks compress to a quarter; urllib3 decompresses them.
        self._headers = {"Client-Name": client_name, "Accept-Encoding": "gzip"}
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=n_connections,
            block=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_SECONDS, read=timeout_seconds
            ),
            retries=False,
        )

    def call(
        self,
        step: str,
        method: str,
        path: str,
        body: Any = None,
        content: bytes | None = None,
        accepted_statuses: tuple[int, ...] = (200,),
        extra_headers: Mapping[str, str] | None = None,
    ) -> JsonReply | Unavailable:
        """Call the service once.

        Args:
            step: name of the operation, for ``Unavailable``.
            method: HTTP method.
            path: path and query string.
            body: value sent as JSON.
            content: bytes sent as they are, instead of ``body``.
            accepted_statuses: statuses that count as an answer.
            extra_headers: headers of this call alone.
        """
        headers = {**self._headers, **(extra_headers or {})}
        if body is not None:
            content = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            answer = self._pool.request(method, path, body=content, headers=headers)
        except urllib3.exceptions.NewConnectionError as error:
            return self._unavailable(step, Reason.CONNECT_FAILED, str(error), False)
        except urllib3.exceptions.ConnectTimeoutError as error:
            return self._unavailable(step, Reason.TIMEOUT, str(error), False)
        except urllib3.exceptions.HTTPError as error:
            return self._unavailable(step, Reason.CONNECTION_LOST, str(error), True)
        if answer.status in accepted_statuses:
            return JsonReply(answer.status, answer.data, answer.headers)
        # 503 and 429 mean that the operation did not start. After others it may have:
        # a proxy sends 504 without knowing whether the service carried it out.
        may_have_committed = answer.status not in (429, 503)
        detail = f"status {answer.status}"
        return self._unavailable(
            step, Reason.STORE_UNAVAILABLE, detail, may_have_committed
        )

    def _unavailable(
        self, step: str, reason: Reason, detail: str, may_have_committed: bool
    ) -> Unavailable:
        return Unavailable(reason, step, self.address, detail, may_have_committed)
