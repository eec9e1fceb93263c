"""Copies the output of a process from a pipe into a file, at a limited speed."""

import math
import os
import threading
import time
from typing import BinaryIO

MAX_CHUNK_BYTES = 65536

READ_SECONDS = 0.1
"""Time between two reads at a limited speed."""


class OutputPump:
    """Thread that reads a pipe until its end.

    Args:
        pipe: output of a process.
        file: takes what is read; the thread closes it.

    Attributes:
        bytes_per_second: greatest speed; infinity for no limit.
    """

    def __init__(self, pipe: BinaryIO, file: BinaryIO) -> None:
        self.bytes_per_second = math.inf
        self._pipe = pipe
        self._file = file
        self._thread = threading.Thread(target=self._copy, daemon=True)
        self._thread.start()

    @property
    def is_over(self) -> bool:
        """Whether all output of a process that has ended is in the file."""
        return not self._thread.is_alive()

    def join(self, timeout_seconds: float) -> None:
        """Wait until the pipe has ended, for the timeout at most."""
        self._thread.join(timeout_seconds)

    def _copy(self) -> None:
        with self._pipe, self._file:
            while chunk := os.read(self._pipe.fileno(), self._chunk_bytes()):
                self._file.write(chunk)
                self._file.flush()
                if math.isfinite(self.bytes_per_second):
                    time.sleep(READ_SECONDS)

    def _chunk_bytes(self) -> int:
        allowed = self.bytes_per_second * READ_SECONDS
        return int(max(1, min(MAX_CHUNK_BYTES, allowed)))
