"""Answers that are compressed when the client accepts it."""

import gzip
import json
from collections.abc import Mapping
from typing import Any

from ..runtime import HttpAnswer, HttpRequest

# For a smaller body, compression saves less than the headers of the answer take.
MIN_COMPRESSED_BYTES = 500


def compressible_answer(
    request: HttpRequest, value: Any, headers: Mapping[str, str] | None = None
) -> HttpAnswer:
    """Return ``value`` as JSON, with gzip if the request accepts it.

    Args:
        request: request whose ``Accept-Encoding`` is used.
        value: body of the answer.
        headers: further headers.
    """
    content = json.dumps(value).encode()
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    accepted = request.headers.get("accept-encoding", "")
    if "gzip" in accepted and len(content) >= MIN_COMPRESSED_BYTES:
        all_headers["Content-Encoding"] = "gzip"
        content = gzip.compress(content, compresslevel=1)
    return HttpAnswer(200, content, all_headers)
