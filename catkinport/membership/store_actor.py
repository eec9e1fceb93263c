"""Actor that makes blocking store calls for the membership actor."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import pykka

_logger = logging.getLogger(__name__)


class StoreCall(NamedTuple):
    """Request to run ``function`` and to pass its result to ``on_done``.

    ``on_done`` gets ``None`` when the call raised an exception, which is logged.
    """

    function: Callable[[], Any]
    on_done: Callable[[Any], None]


class StoreActor(pykka.ThreadingActor):
    """Actor that runs each ``StoreCall`` in turn.

    Its own thread keeps a slow store from delaying the sender of the calls.
    """

    use_daemon_thread = True

    def on_receive(self, message: StoreCall) -> None:
        """Run a call and report its result."""
        try:
            result = message.function()
        except Exception:
            _logger.exception("store call failed with an exception")
            result = None
        message.on_done(result)
