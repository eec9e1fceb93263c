"""Answers of backend servers whose head must be complete."""

import http.client
from typing import Any


class _CompleteLines:
    """File wrapper that raises when the connection ends in the middle of a line."""

    def __init__(self, file: Any) -> None:
        self._file = file

    def readline(self, *limit: int) -> bytes:
        line = self._file.readline(*limit)
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class CompleteHeadResponse(http.client.HTTPResponse):
    """Answer whose head (status line and headers) must be complete.

    http.client takes the end of the connection for the end of the head, so that a
    head cut after its status line would pass for an answer without a body.
    """

    def begin(self) -> None:
        """Read the head.

        Raises:
            IncompleteRead: if the connection ends before the head does.
        """
        file = self.fp
        self.fp = _CompleteLines(file)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = file
