"""Logs with one line per event, either ``key=value`` pairs or JSON."""

import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from .bounded_logs import EVENT_FIELDS, BoundedHandler

LOG_FORMATS = ("keyvalue", "json")


class KeyValueFormatter(logging.Formatter):
    """Formatter of ``key=value`` pairs, which quotes values with spaces."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for ``record``."""
        fields: dict[str, Any] = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
            + f".{int(record.msecs):03d}",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        fields.update(getattr(record, EVENT_FIELDS, {}))
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={_quote(value)}" for name, value in fields.items())


class _JsonEventFormatter(JsonFormatter):
    def add_fields(self, log_data, record, message_dict):
        super().add_fields(log_data, record, message_dict)
        log_data["level"] = record.levelname.lower()
        log_data["event"] = log_data.pop("message")
        log_data.pop(EVENT_FIELDS, None)
        log_data.update(getattr(record, EVENT_FIELDS, {}))


def configure_logging(
    level: str = "INFO",
    log_format: str = "keyvalue",
    stream: TextIO | None = None,
    is_bounded: bool = False,
) -> None:
    """Send all log records to ``stream`` (standard error by default).

    Args:
        level: lowest level that is written.
        log_format: ``"keyvalue"`` or ``"json"``.
        stream: where lines go.
        is_bounded: whether lines are dropped when the output is too slow or there are
            too many; otherwise the caller waits until they are written.

    Raises:
        ValueError: if ``log_format`` is unknown.
    """
    if log_format not in LOG_FORMATS:
        raise ValueError(f"log_format must be one of {LOG_FORMATS}, got {log_format!r}")
    target = stream or sys.stderr
    handler = BoundedHandler(target) if is_bounded else logging.StreamHandler(target)
    if log_format == "json":
        handler.setFormatter(_JsonEventFormatter("%(asctime)s %(message)s"))
    else:
        handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # pykka logs each actor's start and stop at debug level and nothing useful at info.
    logging.getLogger("pykka").setLevel(logging.WARNING)


def log_event(
    logger: logging.Logger, event: str, level: int = logging.INFO, **fields: Any
) -> None:
    """Log one event with its fields.

    Args:
        logger: logger of the module.
        event: short text without variable parts, for instance ``"lease renewed"``.
        level: level of the record.
        **fields: values such as ``request_id``, ``step`` and ``peer``; never an API key
            or another secret.
    """
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={EVENT_FIELDS: fields})


def _quote(value: Any) -> str:
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
