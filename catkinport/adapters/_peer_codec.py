"""Codec of the bodies of calls between members."""

from typing import Any

from grpclib.encoding.base import CodecBase


class BytesCodec(CodecBase):
    """Codec that leaves bodies as bytes: the signature covers the exact bytes sent."""

    __content_subtype__ = "proto"

    def encode(self, message: bytes, message_type: Any) -> bytes:
        """Return the body as it is."""
        return message

    def decode(self, data: bytes, message_type: Any) -> bytes:
        """Return the body as it is."""
        return data
