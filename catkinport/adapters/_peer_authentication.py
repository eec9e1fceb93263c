"""Authentication of messages between members with the shared cluster key."""

import base64
import hashlib
import hmac
import secrets
from collections.abc import Mapping
from typing import NamedTuple

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MIN_KEY_BYTES = 16

SIGNATURE_ENTRY = "catkin-seal"
"""Name of the metadata entry that authenticates a message.

Its value is ``nonce.length.digest.code``: SHA-256 of the body and an HMAC-SHA-256 over
the purpose, nonce, length and digest, both cut to 192 bits and in base64.
"""

_N_SIGNATURE_PARTS = 4
_NONCE_BYTES = 12
_TRUNCATED_HASH_BYTES = 24


class MessageSignature(NamedTuple):
    """Authenticated length and digest of a body, verified before the body is read."""

    nonce: str
    length: int
    digest: str

    def matches(self, body: bytes) -> bool:
        """Return whether ``body`` is the one that was signed."""
        return len(body) == self.length and _digest(body) == self.digest


class MessageAuthenticator:
    """Signer and verifier of messages, with a message authentication code (MAC).

    The code covers the method, the direction and a nonce, and an answer repeats
    the nonce of its request, so that a replayed answer cannot renew a lease.

    Args:
        cluster_key: secret that all members share, at least 16 bytes.

    Example:
        >>> authenticator = MessageAuthenticator(b"0123456789abcdef")
        >>> metadata = authenticator.sign("request/Confirm", b"body")
        >>> authenticator.verify("request/Confirm", metadata).matches(b"body")
        True
        >>> authenticator.verify("request/Leave", metadata) is None
        True
    """

    def __init__(self, cluster_key: bytes) -> None:
        if len(cluster_key) < MIN_KEY_BYTES:
            raise ValueError(
                f"cluster_key must have at least {MIN_KEY_BYTES} bytes, "
                f"got {len(cluster_key)}"
            )
        self._key = cluster_key

    def sign(self, purpose: str, body: bytes, nonce: str = "") -> dict[str, str]:
        """Return the metadata that authenticates ``body``.

        Args:
            purpose: direction and method, for instance ``"request/Confirm"``.
            body: serialized message.
            nonce: nonce of the request that an answer repeats; empty for a request,
                which gets a random one.
        """
        nonce = nonce or _encode(secrets.token_bytes(_NONCE_BYTES))
        signature = MessageSignature(nonce, len(body), _digest(body))
        code = self._code(purpose, signature)
        return {
            SIGNATURE_ENTRY: f"{signature.nonce}.{signature.length}."
            f"{signature.digest}.{code}"
        }

    def verify(
        self, purpose: str, metadata: Mapping[str, str], nonce: str = ""
    ) -> MessageSignature | None:
        """Return the signature in ``metadata``, or ``None`` if it is not valid.

        Args:
            purpose: direction and method, for instance ``"request/Confirm"``.
            metadata: metadata that was received with the message.
            nonce: nonce that an answer must repeat, empty for a request.
        """
        parts = str(metadata.get(SIGNATURE_ENTRY, "")).split(".")
        if len(parts) != _N_SIGNATURE_PARTS or not _is_length(parts[1]):
            return None
        signature = MessageSignature(parts[0], int(parts[1]), parts[2])
        code = parts[3].encode(errors="replace")
        if not hmac.compare_digest(self._code(purpose, signature).encode(), code):
            return None
        if nonce and signature.nonce != nonce:
            return None
        return signature if signature.length <= MAX_MESSAGE_BYTES else None

    def _code(self, purpose: str, signature: MessageSignature) -> str:
        text = "\n".join(
            (purpose, signature.nonce, str(signature.length), signature.digest)
        )
        content = text.encode(errors="replace")
        return _encode(
            hmac.digest(self._key, content, "sha256")[:_TRUNCATED_HASH_BYTES]
        )


def nonce_of(metadata: Mapping[str, str]) -> str:
    """Return the nonce in metadata made by ``MessageAuthenticator.sign``."""
    return metadata[SIGNATURE_ENTRY].partition(".")[0]


def _is_length(text: str) -> bool:
    return (
        text.isascii() and text.isdigit() and len(text) <= len(str(MAX_MESSAGE_BYTES))
    )


def _digest(body: bytes) -> str:
    return _encode(hashlib.sha256(body).digest()[:_TRUNCATED_HASH_BYTES])


def _encode(content: bytes) -> str:
    return base64.urlsafe_b64encode(content).decode()
