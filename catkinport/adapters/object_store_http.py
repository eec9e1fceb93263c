"""HTTP client of the object store."""

from urllib.parse import quote

from ..ports import Unavailable
from ._http_client import HttpClient


class HttpObjectStore:
    """Client of the object store.

    Args:
        client: HTTP client of the service.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def put(self, name: str, content: bytes) -> None | Unavailable:
        """Store ``content`` under ``name``, replacing any earlier content."""
        reply = self._client.call("object-put", "PUT", _path(name), content=content)
        return reply if isinstance(reply, Unavailable) else None

    def get(self, name: str) -> bytes | None | Unavailable:
        """Return the content, or ``None`` if there is no such object."""
        reply = self._client.call(
            "object-get", "GET", _path(name), accepted_statuses=(200, 404)
        )
        if isinstance(reply, Unavailable):
            return reply
        return reply.content if reply.status == 200 else None

    def delete(self, name: str) -> None | Unavailable:
        """Delete an object; has no effect if it does not exist."""
        reply = self._client.call("object-delete", "DELETE", _path(name))
        return reply if isinstance(reply, Unavailable) else None


def _path(name: str) -> str:
    return f"/objects/{quote(name)}"
