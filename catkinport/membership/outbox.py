"""Answers and calls that wait until the membership actor has published its state."""

import logging
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from ..runtime import log_event

_logger = logging.getLogger(__name__)


class Outbox:
    """Answers and calls to peers, in the order in which they were added.

    What they imply must be visible to the readers of the member's snapshot, so
    nothing leaves before ``send_all`` is called.

    Example:
        >>> outbox, future = Outbox(), Future()
        >>> outbox.answer(future, "applied")
        >>> future.done()
        False
        >>> outbox.send_all()
        >>> future.result()
        'applied'
    """

    def __init__(self) -> None:
        self._actions: deque[Callable[[], Any]] = deque()

    def answer(self, future: "Future[Any]", result: Any) -> None:
        """Add an answer; it is dropped if its receiver no longer waits."""
        self.add(lambda: _resolve(future, lambda: future.set_result(result)))

    def fail(self, future: "Future[Any]", error: Exception) -> None:
        """Add an exception as an answer."""
        self.add(lambda: _resolve(future, lambda: future.set_exception(error)))

    def cancel(self, future: "Future[Any]") -> None:
        """Add a cancellation, which says that there will be no answer."""
        self.add(future.cancel)

    def add(self, action: Callable[[], Any]) -> None:
        """Add a function that sends something."""
        self._actions.append(action)

    def send_all(self) -> None:
        """Send everything; an error is logged and does not stop the rest."""
        while self._actions:
            action = self._actions.popleft()
            try:
                action()
            except Exception:
                _logger.exception("sending of an answer or a peer call failed")


def _resolve(future: "Future[Any]", complete: Callable[[], None]) -> None:
    if not future.set_running_or_notify_cancel():
        log_event(_logger, "answer dropped", detail="its receiver no longer waits")
        return
    complete()
