"""Runs blocking store calls apart from the actor that decides."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import pykka

_logger = logging.getLogger(__name__)


class StoreCall(NamedTuple):
    """Run ``function`` and hand its result to ``on_done``.

    ``on_done`` gets ``None`` as result when the call raised; the error is logged.
    """

    function: Callable[[], Any]
    on_done: Callable[[Any], None]


class StoreActor(pykka.ThreadingActor):
    """Runs one ``StoreCall`` after another, so that a slow store delays no one else."""

    use_daemon_thread = True

    def on_receive(self, message: StoreCall) -> None:
        """Run a call."""
        try:
            result = message.function()
        except Exception:
            _logger.exception("store call raised")
            result = None
        message.on_done(result)
