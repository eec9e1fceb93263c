"""Runs one stand-in as a process."""

from collections.abc import Callable
from typing import Protocol

from ..runtime import StopSignal, configure_logging


class Standin(Protocol):
    """A server that stands in for an outside system."""

    @property
    def address(self) -> str:
        """``host:port`` that the stand-in listens on."""

    def start(self) -> None:
        """Start serving in the background."""

    def stop(self) -> None:
        """Stop serving."""


def serve_until_stopped(make_standin: Callable[[], Standin]) -> None:
    """Serve until SIGTERM or SIGINT, and print the address at the start."""
    configure_logging()
    stop_signal = StopSignal()
    standin = make_standin()
    standin.start()
    print(f"listening on {standin.address}", flush=True)
    stop_signal.wait()
    standin.stop()
