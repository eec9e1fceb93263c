"""Counts the requests whose answer has not yet been written in full."""

import threading
from collections.abc import Iterable, Iterator
from typing import Any


class InFlightCounter:
    """Counts the requests of a WSGI application until their answers' bodies close.

    Args:
        application: the WSGI application.
    """

    def __init__(self, application: Any) -> None:
        self._application = application
        self._lock = threading.Lock()
        self._count = 0

    @property
    def count(self) -> int:
        """Number of requests in flight."""
        with self._lock:
            return self._count

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Count a request and pass it to the application."""
        self._add(1)
        try:
            body = self._application(environ, start_response)
        except BaseException:
            self._add(-1)
            raise
        return _CountedBody(body, self)

    def _add(self, amount: int) -> None:
        with self._lock:
            self._count += amount


class _CountedBody:
    def __init__(self, body: Iterable[bytes], counter: InFlightCounter) -> None:
        self._body = body
        self._counter = counter
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        close = getattr(self._body, "close", None)
        if close is not None:
            close()
        self._counter._add(-1)
