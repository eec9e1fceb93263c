"""Authenticates messages between members with the shared cluster key."""

import hashlib
import hmac
import secrets
from collections.abc import Mapping
from typing import NamedTuple

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MIN_KEY_BYTES = 16

_NONCE = "catkin-nonce"
_LENGTH = "catkin-length"
_DIGEST = "catkin-digest"
_MAC = "catkin-mac"


class Seal(NamedTuple):
    """Authenticated facts about a body, checked before the body is read."""

    nonce: str
    length: int
    digest: str

    def matches(self, body: bytes) -> bool:
        """Return whether ``body`` is the one that was sealed."""
        return len(body) == self.length and _digest(body) == self.digest


class MessageAuthenticator:
    """Seals and checks messages.

    The code covers the method, the direction and a nonce, and an answer repeats
    the nonce of its request: a recorded answer must not renew a lease.

    Args:
        cluster_key: secret that all members share, at least 16 bytes.

    Example:
        >>> authenticator = MessageAuthenticator(b"0123456789abcdef")
        >>> metadata = authenticator.seal("request/Confirm", b"body")
        >>> authenticator.check("request/Confirm", metadata).matches(b"body")
        True
        >>> authenticator.check("request/Leave", metadata) is None
        True
    """

    def __init__(self, cluster_key: bytes) -> None:
        if len(cluster_key) < MIN_KEY_BYTES:
            raise ValueError(
                f"cluster_key must have at least {MIN_KEY_BYTES} bytes, "
                f"got {len(cluster_key)}"
            )
        self._key = cluster_key

    def seal(self, purpose: str, body: bytes, nonce: str = "") -> dict[str, str]:
        """Return the metadata for ``body``."""
        seal = Seal(nonce or secrets.token_hex(16), len(body), _digest(body))
        return {
            _NONCE: seal.nonce,
            _LENGTH: str(seal.length),
            _DIGEST: seal.digest,
            _MAC: self._code(purpose, seal),
        }

    def check(
        self, purpose: str, metadata: Mapping[str, str], nonce: str = ""
    ) -> Seal | None:
        """Return the seal in ``metadata``, or ``None`` if it is not valid.

        Args:
            purpose: method and direction.
            metadata: what came with the message.
            nonce: nonce that an answer must repeat, empty for a request.
        """
        length = str(metadata.get(_LENGTH, ""))
        if not (length.isascii() and length.isdigit() and len(length) <= 8):
            return None
        seal = Seal(
            str(metadata.get(_NONCE, "")), int(length), str(metadata.get(_DIGEST, ""))
        )
        code = str(metadata.get(_MAC, "")).encode(errors="replace")
        if not hmac.compare_digest(self._code(purpose, seal).encode(), code):
            return None
        if nonce and seal.nonce != nonce:
            return None
        return seal if seal.length <= MAX_MESSAGE_BYTES else None

    def _code(self, purpose: str, seal: Seal) -> str:
        text = "\n".join((purpose, seal.nonce, str(seal.length), seal.digest))
        content = text.encode(errors="replace")
        return hmac.new(self._key, content, hashlib.sha256).hexdigest()


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()
