"""Processes of a trial deployment: start, signals, output and resource usage."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

from .output_pump import OutputPump

READY_TIMEOUT_SECONDS = 30.0
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(NamedTuple):
    """Processor time and resident memory of a process."""

    cpu_seconds: float
    resident_mb: float


class ManagedProcess:
    """A Python module that runs as a child process, with its output in a file.

    Args:
        name: name of the process in error messages.
        arguments: module to run and its arguments, without the interpreter.
        log_path: file that takes standard output and standard error.
        variables: environment variables in addition to those of this process.
        is_output_piped: whether the output goes to the file through a pipe, whose
            reader `limit_output` can slow down.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        log_path: Path,
        variables: Mapping[str, str] | None = None,
        is_output_piped: bool = False,
    ) -> None:
        self.name = name
        self.log_path = log_path
        log = log_path.open("wb")
        environment = {**os.environ, "PYTHONUNBUFFERED": "1", **(variables or {})}
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE if is_output_piped else log,
            stderr=subprocess.STDOUT,
            env=environment,
        )
        self._log = log
        self._pump: OutputPump | None = None
        if self._process.stdout is not None:
            self._pump = OutputPump(self._process.stdout, log)

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def _is_output_complete(self) -> bool:
        """Return whether the file has all output of a process that has ended."""
        return not self.is_running and (self._pump is None or self._pump.is_over)

    def wait_for_line(self, start: str, n_lines: int = 1) -> list[str]:
        """Wait for ``n_lines`` lines of output that begin with ``start``.

        Returns:
            The rest of each of these lines.

        Raises:
            RuntimeError: if the process ends, or ``READY_TIMEOUT_SECONDS`` pass, before
                the lines are there.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            # What was written before the end is there if this comes before the read.
            is_complete = self._is_output_complete()
            lines = self.log_path.read_text(errors="replace").splitlines()
            found = [line[len(start) :] for line in lines if line.startswith(start)]
            if len(found) >= n_lines:
                return found
            if is_complete:
                break
            time.sleep(0.02)
        tail = self.read_tail()
        raise RuntimeError(f"{self.name} did not print {start!r}; its output: {tail}")

    def limit_output(self, bytes_per_second: float) -> None:
        """Read the output, which must be piped, at this speed from now on.

        Raises:
            ValueError: if the output is not piped.
        """
        if self._pump is None:
            raise ValueError(f"the output of {self.name} must be piped")
        self._pump.bytes_per_second = bytes_per_second

    def read_tail(self) -> str:
        """Return the last 2000 characters of the output."""
        return self.log_path.read_text(errors="replace")[-2000:]

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.is_running:
            self._process.send_signal(signal_number)

    def resume(self) -> None:
        """Resume the process if it is paused."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self, timeout_seconds: float = 30.0) -> int:
        """Ask the process to stop; kill it after the timeout.

        Returns:
            The exit status, negative when a signal ended the process.
        """
        self.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def measure(self) -> Usage:
        """Return the processor time since the start and the resident memory now."""
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
        return Usage(ticks / CLOCK_TICKS_PER_SECOND, pages * PAGE_BYTES / (1024 * 1024))


class ProcessGroup:
    """All processes of a trial; closing the group ends every one of them.

    Args:
        parent: folder in which the group makes its own; that of temporary files if
            ``None``.
        label: part of the name of the group's folder.

    Attributes:
        folder: folder for settings and output.
        is_folder_kept: whether the folder stays when the group is closed.
        is_output_piped: whether the output of new processes is piped.
    """

    def __init__(self, parent: Path | None = None, label: str = "") -> None:
        name = tempfile.mkdtemp(prefix=f"catkinport-{label}", dir=parent)
        self.folder = Path(name)
        self.is_folder_kept = False
        self.is_output_piped = False
        self._processes: list[ManagedProcess] = []
        self._lock = threading.Lock()

    def __enter__(self) -> "ProcessGroup":
        """Return the group."""
        return self

    def __exit__(
        self, kind: object, error: BaseException | None, traceback: object
    ) -> None:
        """End all processes; an error gets a note that names a kept folder."""
        self.close()
        if error is not None and self.is_folder_kept:
            error.add_note(f"The output of the processes is in {self.folder}.")

    def start(
        self,
        name: str,
        arguments: Sequence[str],
        variables: Mapping[str, str] | None = None,
    ) -> ManagedProcess:
        """Start a Python module as a process of the group.

        Args:
            name: name of the process and of its output file.
            arguments: module to run and its arguments, without the interpreter.
            variables: environment variables in addition to those of this process.
        """
        with self._lock:
            log_path = self.folder / f"{name}-{len(self._processes)}.log"
            process = ManagedProcess(
                name, arguments, log_path, variables, self.is_output_piped
            )
            self._processes.append(process)
        return process

    def close(self) -> None:
        """End all processes, and remove the folder unless it is kept."""
        for process in self._processes:
            # A paused process handles SIGTERM only after it is resumed.
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in self._processes:
            process.terminate(timeout_seconds=5.0)
        if not self.is_folder_kept:
            shutil.rmtree(self.folder)
