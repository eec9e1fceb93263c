"""Handling of the signals that ask a process to stop."""

import signal
import threading


class StopSignal:
    """Event that SIGTERM or SIGINT sets.

    Create it in the main thread: Python installs signal handlers only there.

    Args:
        install: whether to install the signal handlers.

    Example:
        >>> stop_signal = StopSignal(install=False)
        >>> stop_signal.wait(0.0)
        False
    """

    def __init__(self, install: bool = True) -> None:
        self._event = threading.Event()
        if install:
            signal.signal(signal.SIGTERM, self._on_signal)
            signal.signal(signal.SIGINT, self._on_signal)

    def wait(self, timeout_seconds: float | None = None) -> bool:
        """Block until a stop is requested or the time is up.

        Args:
            timeout_seconds: longest wait; ``None`` for no limit.

        Returns:
            Whether a stop was requested.
        """
        return self._event.wait(timeout_seconds)

    def set(self) -> None:
        """Request a stop from inside the process."""
        self._event.set()

    def _on_signal(self, signal_number: int, frame: object) -> None:
        self._event.set()
