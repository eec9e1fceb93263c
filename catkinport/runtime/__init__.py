"""Parts that every daemon uses: logs, metrics, clock, HTTP server, signals."""

from .clock import BootTimeClock
from .http import (
    BadRequestError,
    HttpAnswer,
    HttpRequest,
    HttpServer,
    Router,
    json_answer,
    read_chunks,
)
from .logs import configure_logging, log_event
from .loop_actor import LoopActor
from .metrics import Metrics
from .signals import StopSignal

__all__ = [
    "BadRequestError",
    "BootTimeClock",
    "HttpAnswer",
    "HttpRequest",
    "HttpServer",
    "LoopActor",
    "Metrics",
    "Router",
    "StopSignal",
    "configure_logging",
    "json_answer",
    "log_event",
    "read_chunks",
]
