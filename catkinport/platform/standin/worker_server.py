"""HTTP interface of the workers of the stand-in."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from aiohttp import web

from ...standins._faults import FaultSettings
from ..workers import INSTANCE_HEADER
from .vms import StandinVm
from .worker_life import StartError, WorkerLife

MAX_HOLD_SECONDS = 2.0
"""Longest wait of a look at the lists, as the platform's pages say."""

HOLD_POLL_SECONDS = 0.02
"""How often a waiting look finds out whether something has ended."""

LATE_SECONDS = (2.0, 8.0)
"""An order without an answer is carried out so much later."""

Handler = Callable[[WorkerLife, Mapping[str, Any]], Awaitable[web.Response]]


class WorkerServer:
    """Answers orders for the worker of one VM.

    Args:
        vm: the VM.
        now: returns the time in seconds.
        faults: faults that are switched on.
        rng: decides which orders are late.
    """

    def __init__(
        self,
        vm: StandinVm,
        now: Callable[[], float],
        faults: FaultSettings,
        rng: random.Random,
    ) -> None:
        self._vm = vm
        self._now = now
        self._faults = faults
        self._rng = rng
        self._late: set[asyncio.Task[None]] = set()

    def create_app(self) -> web.Application:
        """Return the application with the worker's calls."""
        app = web.Application()
        app.router.add_post("/run-start", self._guarded(self._start))
        app.router.add_post("/run-stop", self._guarded(self._stop))
        app.router.add_post("/pace", self._guarded(self._pace))
        app.router.add_post("/hold", self._guarded(self._hold, may_be_late=False))
        return app

    def _guarded(self, handler: Handler, may_be_late: bool = True):
        async def handle(request: web.Request) -> web.StreamResponse:
            life = self._vm.life
            if life is None or self._vm.is_silent:
                await asyncio.sleep(MAX_HOLD_SECONDS)
                return _abort(request)
            expected = request.headers.get(INSTANCE_HEADER, life.worker_id)
            if expected != life.worker_id:
                return self._answer(life, 421)
            body = await request.json()
            if may_be_late and self._rng.random() < self._faults["late_orders"]:
                self._run_late(life, handler, body)
                await asyncio.sleep(MAX_HOLD_SECONDS)
                return _abort(request)
            return await self._carry_out(life, handler, body)

        return handle

    async def _carry_out(
        self, life: WorkerLife, handler: Handler, body: Mapping[str, Any]
    ) -> web.Response:
        if not life.accepts(int(body.get("FencingToken", 0))):
            return self._answer(life, 409, {"Reason": "fence"})
        return await handler(life, body)

    def _run_late(
        self, life: WorkerLife, handler: Handler, body: Mapping[str, Any]
    ) -> None:
        async def run() -> None:
            await asyncio.sleep(self._rng.uniform(*LATE_SECONDS))
            if self._vm.life is life:
                await self._carry_out(life, handler, body)

        task = asyncio.ensure_future(run())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _start(self, life: WorkerLife, body: Mapping[str, Any]) -> web.Response:
        try:
            life.start(body, int(body["UntilMs"]) / 1000 + self._epoch, self._now())
        except StartError as error:
            return self._answer(life, 409, {"Reason": str(error)})
        return self._answer(life, 200)

    async def _stop(self, life: WorkerLife, body: Mapping[str, Any]) -> web.Response:
        life.stop(str(body["Task"]), int(body["Run"]), self._now())
        return self._answer(life, 200)

    async def _pace(self, life: WorkerLife, body: Mapping[str, Any]) -> web.Response:
        life.pace(
            str(body["Task"]), int(body["Run"]), int(body["Percent"]), self._now()
        )
        return self._answer(life, 200)

    async def _hold(self, life: WorkerLife, body: Mapping[str, Any]) -> web.Response:
        life.forget_ends(int(body.get("LastSeen", 0)), self._now())
        until = body.get("UntilMs")
        until_seconds = None if until is None else int(until) / 1000 + self._epoch
        life.extend_lease(until_seconds, self._now())
        wait_seconds = min(int(body.get("WaitMs", 0)) / 1000, MAX_HOLD_SECONDS)
        deadline = self._now() + wait_seconds
        life.advance(self._now())
        while not life.has_news() and self._now() < deadline:
            await asyncio.sleep(HOLD_POLL_SECONDS)
            life.advance(self._now())
        return self._answer(life, 200, life.lists(self._now()))

    @property
    def _epoch(self) -> float:
        """Time in seconds at which the worker's clock showed zero."""
        life = self._vm.life
        return life.born / 1000 if life else 0.0

    def _answer(
        self, life: WorkerLife, status: int, body: Mapping[str, Any] | None = None
    ) -> web.Response:
        clock = int((self._now() - life.born / 1000) * 1000)
        answer = {"ClockMs": clock, "born": life.born, **(body or {})}
        return web.json_response(answer, status=status)


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
