"""Limits how many orders to one worker are on their way at a time.

Each order takes a connection until its answer is there. Workers that answer fast need
few connections for many orders; the orders for far workers would wait for each other.
"""

import asyncio
from collections import deque
from collections.abc import Callable

MIN_ORDERS = 5
"""Orders on their way to a worker that answers fast."""

MAX_ORDERS = 24
"""Most orders on their way to a worker. It accepts 64 connections from all its
clients together, among them the owners before."""

ORDERS_PER_SECOND = 50.0
"""Orders that a worker gets in a second, up to `MAX_ORDERS` at a time."""


class OrderTurns:
    """Turns of the orders for each worker, in the order of their requests.

    Args:
        answer_seconds: returns the usual time in seconds of a worker's answer.
    """

    def __init__(self, answer_seconds: Callable[[str], float]) -> None:
        self._answer_seconds = answer_seconds
        self._n_by_worker: dict[str, int] = {}
        self._waiters_by_worker: dict[str, deque[asyncio.Future[None]]] = {}

    async def begin(self, worker_id: str, timeout_seconds: float) -> bool:
        """Wait for the turn of an order.

        Args:
            worker_id: worker that the order is for.
            timeout_seconds: longest wait.

        Returns:
            Whether the order may be sent; if so, `end` must follow.
        """
        if self._n_by_worker.get(worker_id, 0) < self._limit(worker_id):
            self._n_by_worker[worker_id] = self._n_by_worker.get(worker_id, 0) + 1
            return True
        waiter = asyncio.get_running_loop().create_future()
        waiters = self._waiters_by_worker.setdefault(worker_id, deque())
        waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_seconds):
                await waiter
        except TimeoutError:
            # The turn may have come in the same round of the event loop.
            return waiter.done() and not waiter.cancelled()
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.end(worker_id)
            raise
        finally:
            self._forget(worker_id, waiter)
        return True

    def end(self, worker_id: str) -> None:
        """Note that an order is answered or given up."""
        self._n_by_worker[worker_id] -= 1
        waiters = self._waiters_by_worker.get(worker_id, deque())
        while waiters and self._n_by_worker[worker_id] < self._limit(worker_id):
            waiter = waiters.popleft()
            if not waiter.done():
                self._n_by_worker[worker_id] += 1
                waiter.set_result(None)
        if not self._n_by_worker[worker_id]:
            del self._n_by_worker[worker_id]

    def _limit(self, worker_id: str) -> int:
        n_orders = int(ORDERS_PER_SECOND * self._answer_seconds(worker_id))
        return min(max(n_orders, MIN_ORDERS), MAX_ORDERS)

    def _forget(self, worker_id: str, waiter: asyncio.Future[None]) -> None:
        waiters = self._waiters_by_worker.get(worker_id)
        if waiters is None:
            return
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            del self._waiters_by_worker[worker_id]
