"""Authenticates messages between members with the shared cluster key."""

import base64
import hashlib
import hmac
import secrets
from collections.abc import Mapping
from typing import NamedTuple

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MIN_KEY_BYTES = 16

SEAL = "catkin-seal"
"""Metadata ``nonce.length.digest.code``, the last two cut to 192 bits."""

_N_PARTS = 4
_NONCE_BYTES = 12
_CODE_BYTES = 24


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
        nonce = nonce or _encode(secrets.token_bytes(_NONCE_BYTES))
        seal = Seal(nonce, len(body), _digest(body))
        code = self._code(purpose, seal)
        return {SEAL: f"{seal.nonce}.{seal.length}.{seal.digest}.{code}"}

    def check(
        self, purpose: str, metadata: Mapping[str, str], nonce: str = ""
    ) -> Seal | None:
        """Return the seal in ``metadata``, or ``None`` if it is not valid.

        Args:
            purpose: method and direction.
            metadata: what came with the message.
            nonce: nonce that an answer must repeat, empty for a request.
        """
        parts = str(metadata.get(SEAL, "")).split(".")
        if len(parts) != _N_PARTS or not _is_length(parts[1]):
            return None
        seal = Seal(parts[0], int(parts[1]), parts[2])
        code = parts[3].encode(errors="replace")
        if not hmac.compare_digest(self._code(purpose, seal).encode(), code):
            return None
        if nonce and seal.nonce != nonce:
            return None
        return seal if seal.length <= MAX_MESSAGE_BYTES else None

    def _code(self, purpose: str, seal: Seal) -> str:
        text = "\n".join((purpose, seal.nonce, str(seal.length), seal.digest))
        content = text.encode(errors="replace")
        return _encode(hmac.digest(self._key, content, "sha256")[:_CODE_BYTES])


def nonce_of(metadata: Mapping[str, str]) -> str:
    """Return the nonce of a seal made by ``MessageAuthenticator.seal``."""
    return metadata[SEAL].partition(".")[0]


def _is_length(text: str) -> bool:
    return (
        text.isascii() and text.isdigit() and len(text) <= len(str(MAX_MESSAGE_BYTES))
    )


def _digest(body: bytes) -> str:
    return _encode(hashlib.sha256(body).digest()[:_CODE_BYTES])


def _encode(content: bytes) -> str:
    return base64.urlsafe_b64encode(content).decode()
