"""Limits for all clients of a process: who is admitted, refused or read next."""

import asyncio
import logging
from collections import deque
from typing import Protocol, cast

from ..policy.client_limits import (
    Admission,
    ClientBounds,
    ClientLedger,
    RequestLimits,
    derive_bounds,
)
from ..runtime import Metrics
from ..runtime.logs import log_event
from .request_collector import READ_BYTES

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.5
LOG_SECONDS = 10.0


class GatedConnection(Protocol):
    """Connection of a client, as its gate sees it; times are in seconds."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Read on."""

    def check_times(self, now: float) -> None:
        """Refuse an unfinished request that takes too long."""

    def check_unread(self, now: float) -> None:
        """Close the connection if its client has taken no answers for long."""

    def displace(self, bound: str) -> None:
        """Close the connection for others, and count the bound that was met."""

    def abort(self) -> None:
        """Close the connection at once."""


class ClientGate:
    """Limits for all clients of a process, over all its listeners.

    Args:
        bounds: bounds over all clients; those of a VM of unknown size by default.
        limits: limits on each request.
        metrics: metrics of the process.
    """

    def __init__(
        self,
        bounds: ClientBounds | None = None,
        limits: RequestLimits | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.ledger = ClientLedger(bounds or derive_bounds(0, 0))
        self.limits = limits or RequestLimits()
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.closing: dict[GatedConnection, float] = {}
        # Connections whose clients leave answers, with the bytes that wait for them.
        self.unread: dict[GatedConnection, int] = {}
        self._held_up: deque[GatedConnection] = deque()
        self._metrics = metrics or Metrics()
        self._n_by_bound: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._logged_at = -LOG_SECONDS

    def count(self, bound: str) -> None:
        """Count a client that was refused at a bound."""
        self._n_by_bound[bound] = self._n_by_bound.get(bound, 0) + 1
        doc = "Clients refused or closed, by the bound that they met."
        self._metrics.increment("client_limits", doc, {"bound": bound})
        self.start_timer()

    def settle(self, admission: Admission, bound: str) -> bool:
        """Close the displaced clients; return whether the newcomer is admitted."""
        for client in admission.displaced:
            cast(GatedConnection, client.key).displace(bound)
        return admission.is_admitted

    def hold_up(self, handler: GatedConnection) -> None:
        """Read no more from a connection until its turn.

        One of these connections is read in each round of the event loop, so that costly
        reads delay the other connections by one of them only.
        """
        handler.pause()
        if not self._held_up:
            asyncio.get_running_loop().call_soon(self._resume_next)
        self._held_up.append(handler)

    def _resume_next(self) -> None:
        self._held_up.popleft().resume()
        if self._held_up:
            asyncio.get_running_loop().call_soon(self._resume_next)

    def start_timer(self) -> None:
        """Check the times of unfinished requests from now on, until there are none."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_SECONDS, self._tick, loop)

    def export(self) -> None:
        """Set the gauges."""
        doc = "Memory counted for requests of clients."
        self._metrics.set("client_held_bytes", doc, {}, self.ledger.held_bytes)
        doc = "Connections of clients."
        self._metrics.set("client_connections", doc, {}, self.ledger.n_connections)

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        now = loop.time()
        for client in self.ledger.list_unfinished():
            cast(GatedConnection, client.key).check_times(now)
        for handler in list(self.unread):
            handler.check_unread(now)
        for handler, closing_at in list(self.closing.items()):
            if now >= closing_at:
                handler.abort()
        if self._n_by_bound and now - self._logged_at >= LOG_SECONDS:
            self._logged_at = now
            log_event(
                logger,
                "clients refused",
                level=logging.WARNING,
                open_connections=self.ledger.n_connections,
                held_bytes=self.ledger.held_bytes,
                **self._n_by_bound,
            )
            self._n_by_bound.clear()
        is_waiting = self.ledger.list_unfinished() or self.closing or self.unread
        if is_waiting or self._n_by_bound:
            self.start_timer()
