"""Interface to the platform's object store."""

from typing import Protocol

from .outcomes import Unavailable


class ObjectStore(Protocol):
    """Client of the object store. All methods block and are thread-safe."""

    def put(self, name: str, content: bytes) -> None | Unavailable:
        """Store ``content`` under ``name``, replacing an existing object."""
        ...

    def get(self, name: str) -> bytes | None | Unavailable:
        """Return the content, or ``None`` if there is no such object."""
        ...

    def delete(self, name: str) -> None | Unavailable:
        """Delete an object; deleting a missing object is no error."""
        ...
