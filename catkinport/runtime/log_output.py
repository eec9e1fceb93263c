"""Outputs of log lines, which may be slow, full or closed."""

import contextlib
import errno
import os
import select
import time
from bisect import bisect_right
from collections.abc import Callable, Sequence
from itertools import accumulate
from typing import NamedTuple, Protocol, TextIO

CHECK_SECONDS = 0.1
"""Interval at which a write to a full output checks whether it is to be given up."""

RETRY_SECONDS = 0.01
"""Pause after an output was ready and then refused the write."""


class OutputFailure(NamedTuple):
    """A write that was given up.

    Args:
        n_written: number of lines that were written completely before.
        error: name of the error, for instance ``"EPIPE"``.
    """

    n_written: int
    error: str


class LogOutput(Protocol):
    """Where log lines go."""

    def write(
        self, lines: Sequence[str], must_give_up: Callable[[], bool]
    ) -> OutputFailure | None:
        """Write lines, and wait while the output is full.

        Args:
            lines: lines without their ends.
            must_give_up: whether to give up a write to a full output.

        Returns:
            The failure, ``None`` if all lines were written.
        """

    def close(self) -> None:
        """Release the output; nothing is written after it."""


class FileOutput:
    """Output to a file, pipe or terminal, in blocking or non-blocking mode.

    Each write has at most the size that a pipe takes at once if it is ready. So it
    never blocks, and what a full pipe has taken of a line is known.

    Args:
        fd: file descriptor. A duplicate of it is used.
    """

    def __init__(self, fd: int) -> None:
        self._fd = os.dup(fd)
        self._poll = select.poll()
        self._poll.register(self._fd, select.POLLOUT)
        self._is_line_open = False

    def write(
        self, lines: Sequence[str], must_give_up: Callable[[], bool]
    ) -> OutputFailure | None:
        """Write lines, as of `LogOutput`."""
        parts = [f"{line}\n".encode(errors="backslashreplace") for line in lines]
        if self._is_line_open and parts:
            # The rest of the line that the former write has begun is lost.
            parts[0] = b"\n" + parts[0]
        data = memoryview(b"".join(parts))
        n_bytes, error = self._write_bytes(data, must_give_up)
        if n_bytes:
            self._is_line_open = data[n_bytes - 1] != ord("\n")
        if not error:
            return None
        return OutputFailure(
            bisect_right(list(accumulate(map(len, parts))), n_bytes), error
        )

    def close(self) -> None:
        """Close the duplicate of the file descriptor."""
        os.close(self._fd)

    def _write_bytes(
        self, data: memoryview, must_give_up: Callable[[], bool]
    ) -> tuple[int, str]:
        """Return how many bytes were written, and the error that stopped the write."""
        n_bytes = 0
        while n_bytes < len(data):
            if not self._poll.poll(CHECK_SECONDS * 1000):
                if must_give_up():
                    return n_bytes, "ETIMEDOUT"
                continue
            try:
                n_bytes += os.write(self._fd, data[n_bytes : n_bytes + select.PIPE_BUF])
            except BlockingIOError:
                if must_give_up():
                    return n_bytes, "ETIMEDOUT"
                time.sleep(RETRY_SECONDS)
            except OSError as error:
                return n_bytes, errno.errorcode.get(error.errno or 0, str(error.errno))
        return n_bytes, ""


class StreamOutput:
    """Output to a stream that has no file descriptor.

    Args:
        stream: the stream.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def write(
        self, lines: Sequence[str], must_give_up: Callable[[], bool]
    ) -> OutputFailure | None:
        """Write lines, as of `LogOutput`; a write to a full stream is not given up."""
        try:
            self._stream.write("".join(f"{line}\n" for line in lines))
            self._stream.flush()
        except (OSError, ValueError) as error:
            return OutputFailure(0, type(error).__name__)
        return None

    def close(self) -> None:
        """Leave the stream open, as others may use it."""


def open_output(stream: TextIO) -> LogOutput:
    """Return the output that writes to ``stream``."""
    try:
        fd = stream.fileno()
    except (AttributeError, OSError, ValueError):
        return StreamOutput(stream)
    with contextlib.suppress(OSError, ValueError):
        stream.flush()
    return FileOutput(fd)
