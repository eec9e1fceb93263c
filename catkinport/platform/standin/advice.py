"""Advice service of the stand-in: approves workers for the steps of some queues."""

import asyncio
import itertools
import time
import zlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

from aiohttp import web

from ...standins.faults import FaultSettings

MAX_WORKERS_PER_CALL = 100
"""Most workers that a call may name, as the platform's documentation says."""

MAX_WAITING_CALLS = 32
"""Calls that wait for their turn at which another one is refused."""

HASH_RANGE = 2**32


class IssuedTicket(NamedTuple):
    """A ticket that the service has issued.

    Args:
        step: name of the step.
        worker_id: worker that may run it.
        valid_until: time in seconds until which starts with the ticket are accepted.
    """

    step: str
    worker_id: str
    valid_until: float


class AdviceServer:
    """Answers calls for approvals, one at a time.

    The faults hold its terms: ``advice_decide_seconds`` and ``advice_each_seconds``
    (the time that a call takes, and more for each worker named),
    ``advice_valid_seconds`` (how long a ticket holds from its answer on) and
    ``advice_approved_share`` (share of the workers that may run a step, which doesn't
    change). Tickets belong to the id of a worker, also after a restart under it. Until
    it has issued a ticket, those of another service are accepted.

    Args:
        faults: faults that are switched on.
        now: returns the time in seconds.

    Attributes:
        n_handled: calls that it has handled, also those that were given up.
    """

    def __init__(
        self, faults: FaultSettings, now: Callable[[], float] = time.monotonic
    ) -> None:
        self._faults = faults
        self._now = now
        self.n_handled = 0
        self._turn = asyncio.Lock()
        self._n_waiting = 0
        self._numbers = itertools.count(1)
        self._issued_by_ticket: dict[str, IssuedTicket] = {}

    @property
    def is_busy(self) -> bool:
        """Whether it handles a call now."""
        return self._turn.locked()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the service."""
        app.router.add_post("/advise", self._advise)

    def accepts(self, ticket: str, task: str, worker_id: str) -> bool:
        """Return whether a start of a task on a worker with this ticket is accepted."""
        if not self._issued_by_ticket:
            return True
        issued = self._issued_by_ticket.get(ticket)
        if issued is None:
            return False
        # The name of a task is that of its step and its number.
        step = task.rpartition(".")[0]
        is_same = issued.worker_id == worker_id and issued.step == step
        return is_same and self._now() <= issued.valid_until

    async def _advise(self, request: web.Request) -> web.Response:
        if self._faults["is_advice_down"]:
            return web.json_response({}, status=503)
        body = await request.json()
        if len(body["Workers"]) > MAX_WORKERS_PER_CALL:
            return web.json_response({}, status=400)
        if self._n_waiting >= MAX_WAITING_CALLS:
            return web.json_response({}, status=429)
        self._n_waiting += 1
        decision = asyncio.ensure_future(self._decide(request, body))
        # The service goes on with a call that its client has given up.
        return await asyncio.shield(decision)

    async def _decide(
        self, request: web.Request, body: Mapping[str, Any]
    ) -> web.Response:
        step, worker_ids = str(body["Step"]), list(map(str, body["Workers"]))
        try:
            await self._turn.acquire()
        finally:
            self._n_waiting -= 1
        try:
            is_given_up = request.transport is None or request.transport.is_closing()
            if not (is_given_up and self._faults["drops_given_up_advice"]):
                await asyncio.sleep(self._find_seconds(worker_ids))
                self.n_handled += 1
        finally:
            self._turn.release()
        good = [
            [worker_id, self._issue(step, worker_id)]
            for worker_id in worker_ids
            if self._is_approved(step, worker_id)
        ]
        return web.json_response({"Good": good})

    def _find_seconds(self, worker_ids: Sequence[str]) -> float:
        each_seconds = self._faults["advice_each_seconds"]
        return self._faults["advice_decide_seconds"] + len(worker_ids) * each_seconds

    def _is_approved(self, step: str, worker_id: str) -> bool:
        share = zlib.crc32(f"{step} {worker_id}".encode()) / HASH_RANGE
        return share < self._faults["advice_approved_share"]

    def _issue(self, step: str, worker_id: str) -> str:
        ticket = f"ticket-{next(self._numbers)}"
        valid_until = self._now() + self._faults["advice_valid_seconds"]
        self._issued_by_ticket[ticket] = IssuedTicket(step, worker_id, valid_until)
        return ticket
