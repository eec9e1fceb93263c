"""Limits how many orders to one worker are on their way at a time.

Each order takes a connection until its answer is there. Workers that answer fast need
few connections for many orders; the orders for far workers would wait for each other.

Starts go before stops and paces. Hundreds of runs of a canceled job may have to be
stopped on a worker. A start that waited behind them would be given up, while the other
members of its gang start.
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

STARTS_PER_OTHER = 4
"""Starts that get their turn before another order that waits for the same worker, so
that many short tasks can't keep runs from being stopped."""


class WaitingOrders:
    """Orders that wait for a turn at one worker.

    Attributes:
        starts: starts, in the order of their requests.
        others: stops and paces, in the order of their requests.
        n_starts_in_row: starts that got a turn since the latest other order.
    """

    def __init__(self) -> None:
        self.starts: deque[asyncio.Future[None]] = deque()
        self.others: deque[asyncio.Future[None]] = deque()
        self.n_starts_in_row = 0

    def __bool__(self) -> bool:
        return bool(self.starts or self.others)

    def add(self, waiter: asyncio.Future[None], is_start: bool) -> None:
        """Add an order behind the others of its kind."""
        (self.starts if is_start else self.others).append(waiter)

    def pop(self) -> asyncio.Future[None]:
        """Remove and return the order whose turn is next."""
        is_others_turn = self.n_starts_in_row >= STARTS_PER_OTHER
        if self.starts and not (self.others and is_others_turn):
            self.n_starts_in_row += 1
            return self.starts.popleft()
        self.n_starts_in_row = 0
        return self.others.popleft()

    def discard(self, waiter: asyncio.Future[None]) -> None:
        """Remove an order that waits no more, if it is there."""
        for waiters in (self.starts, self.others):
            if waiter in waiters:
                waiters.remove(waiter)


class OrderTurns:
    """Turns of the orders for each worker: starts first, else as they were requested.

    Args:
        answer_seconds: returns the usual time in seconds of a worker's answer.
    """

    def __init__(self, answer_seconds: Callable[[str], float]) -> None:
        self._answer_seconds = answer_seconds
        self._n_by_worker: dict[str, int] = {}
        self._waiting_by_worker: dict[str, WaitingOrders] = {}

    async def begin(
        self, worker_id: str, timeout_seconds: float, is_start: bool = False
    ) -> bool:
        """Wait for the turn of an order.

        Args:
            worker_id: worker that the order is for.
            timeout_seconds: longest wait.
            is_start: whether the order starts a task.

        Returns:
            Whether the order may be sent; if so, `end` must follow.
        """
        if self._n_by_worker.get(worker_id, 0) < self._limit(worker_id):
            self._n_by_worker[worker_id] = self._n_by_worker.get(worker_id, 0) + 1
            return True
        waiter = asyncio.get_running_loop().create_future()
        waiting = self._waiting_by_worker.setdefault(worker_id, WaitingOrders())
        waiting.add(waiter, is_start)
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
        waiting = self._waiting_by_worker.get(worker_id, WaitingOrders())
        while waiting and self._n_by_worker[worker_id] < self._limit(worker_id):
            waiter = waiting.pop()
            if not waiter.done():
                self._n_by_worker[worker_id] += 1
                waiter.set_result(None)
        if not self._n_by_worker[worker_id]:
            del self._n_by_worker[worker_id]

    def _limit(self, worker_id: str) -> int:
        n_orders = int(ORDERS_PER_SECOND * self._answer_seconds(worker_id))
        return min(max(n_orders, MIN_ORDERS), MAX_ORDERS)

    def _forget(self, worker_id: str, waiter: asyncio.Future[None]) -> None:
        waiting = self._waiting_by_worker.get(worker_id)
        if waiting is None:
            return
        waiting.discard(waiter)
        if not waiting:
            del self._waiting_by_worker[worker_id]
