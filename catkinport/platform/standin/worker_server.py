"""HTTP interface of the stand-in's workers."""

import asyncio
import random
import socket
import struct
from collections.abc import Awaitable, Callable, Mapping
from typing import Any
from weakref import WeakSet

from aiohttp import web

from ...standins.faults import FaultSettings
from ..workers import INCARNATION_HEADER
from .vms import Crash, MisdirectedCall, StandinVm
from .worker_incarnation import StartError, WorkerIncarnation

MAX_HOLD_SECONDS = 2.0
"""Longest wait of a call to ``/hold``, as the platform's documentation says.
Calls that get no answer are aborted after the same time."""

HOLD_POLL_SECONDS = 0.02
"""How often a waiting call to ``/hold`` checks for ended runs."""

HELD_POLL_SECONDS = 0.005
"""How often a call that is held up checks whether the next incarnation is up."""

LATE_ORDER_SECONDS = (2.0, 8.0)
"""Shortest and longest delay of an order that is carried out late."""

LONGEST_ASKED_LEASE_SECONDS = 4.3
"""Longest lease that an owner asks for, with the margin that it counts with. It reckons
with a lower bound of the clock, so a lease that ends later is on another clock."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which a close resets the connection."""

Handler = Callable[[WorkerIncarnation, Mapping[str, Any]], Awaitable[web.Response]]


class WorkerServer:
    """Serves the HTTP calls of the worker of one VM.

    Args:
        vm: the VM.
        now: returns the time in seconds.
        faults: faults that are switched on.
        rng: decides which orders are late, and by how much.
        crash: lets the worker of a VM crash.
        misdirected_calls: list to which calls are appended that are carried out with a
            value of a former incarnation.
        accepts_ticket: returns whether a start of a task on a worker with a ticket is
            accepted.
    """

    def __init__(
        self,
        vm: StandinVm,
        now: Callable[[], float],
        faults: FaultSettings,
        rng: random.Random,
        crash: Callable[[str, Crash], None] = lambda vm_id, crash: None,
        misdirected_calls: list[MisdirectedCall] | None = None,
        accepts_ticket: Callable[[str, str, str], bool] = lambda *_: True,
    ) -> None:
        self._vm = vm
        self._now = now
        self._faults = faults
        self._rng = rng
        self._crash = crash
        self._misdirected_calls = [] if misdirected_calls is None else misdirected_calls
        self._accepts_ticket = accepts_ticket
        self._late: set[asyncio.Task[None]] = set()
        self._connections: WeakSet[asyncio.Transport] = WeakSet()
        # Connections of former incarnations whose clients don't know of their end yet.
        self._ended_connections: WeakSet[asyncio.Transport] = WeakSet()
        vm.on_crash = self._end_connections

    def create_app(self) -> web.Application:
        """Return the application that handles the worker's calls."""
        app = web.Application()
        app.router.add_post("/run-start", self._with_faults(self._start))
        app.router.add_post("/run-stop", self._with_faults(self._stop))
        app.router.add_post("/pace", self._with_faults(self._pace))
        app.router.add_post("/hold", self._with_faults(self._hold, may_be_late=False))
        return app

    def _with_faults(self, handler: Handler, may_be_late: bool = True):
        async def handle(request: web.Request) -> web.StreamResponse:
            if request.path in self._vm.held_paths:
                await self._wait_for_next_incarnation(request)
                if _is_given_up(request):
                    return _abort(request)
            instance = self._vm.instance
            if instance is None or self._vm.is_silent:
                return await self._leave_unanswered(request)
            if request.transport in self._ended_connections:
                return _abort(request)
            if request.transport is not None:
                self._connections.add(request.transport)
            expected = request.headers.get(INCARNATION_HEADER, instance.worker_id)
            if expected != instance.worker_id:
                return self._answer(instance, 421)
            body = await request.json()
            if may_be_late and self._rng.random() < self._faults["late_orders"]:
                self._run_late(instance, handler, request.path, body)
                return await self._leave_unanswered(request)
            answer = await self._carry_out(instance, handler, request.path, body)
            if self._vm.instance is not instance or self._vm.is_silent:
                return await self._leave_unanswered(request)
            return answer

        return handle

    async def _wait_for_next_incarnation(self, request: web.Request) -> None:
        """Hold a call up until the next incarnation is up or the client gives it up.

        The call is on its way, so its connection doesn't end with a crash.
        """
        former = self._vm.instance
        if request.transport is not None:
            self._connections.discard(request.transport)
            self._ended_connections.discard(request.transport)
        if self._vm.crash_at_held_call is not None:
            crash, self._vm.crash_at_held_call = self._vm.crash_at_held_call, None
            self._crash(self._vm.vm_id, crash)
        while self._vm.instance in (None, former) and not _is_given_up(request):
            await asyncio.sleep(HELD_POLL_SECONDS)

    async def _leave_unanswered(self, request: web.Request) -> web.Response:
        await asyncio.sleep(MAX_HOLD_SECONDS)
        return _abort(request)

    def _end_connections(self, is_dark: bool) -> None:
        """End the connections to an incarnation that has crashed.

        Args:
            is_dark: whether the VM can't reset them, so that they end when they are
                used again.
        """
        for transport in list(self._connections):
            if is_dark:
                self._ended_connections.add(transport)
            else:
                _reset(transport)
        self._connections.clear()

    async def _carry_out(
        self,
        instance: WorkerIncarnation,
        handler: Handler,
        path: str,
        body: Mapping[str, Any],
        is_late: bool = False,
    ) -> web.Response:
        if not instance.accepts(int(body.get("FencingToken", 0))):
            return self._answer(instance, 409, {"Reason": "fence"})
        self._record_if_misdirected(instance, path, body, is_late)
        return await handler(instance, body)

    def _record_if_misdirected(
        self,
        instance: WorkerIncarnation,
        path: str,
        body: Mapping[str, Any],
        is_late: bool,
    ) -> None:
        """Record a call with a lease or a number of ends of a former incarnation."""
        now = self._now()
        lease_seconds = 0.0
        if body.get("UntilMs") is not None:
            lease_seconds = (int(body["UntilMs"]) + instance.born) / 1000 - now
        last_seen = int(body.get("LastSeen", 0))
        has_lease = lease_seconds > LONGEST_ASKED_LEASE_SECONDS
        if not has_lease and last_seen <= instance.n_listed:
            return
        self._misdirected_calls.append(
            MisdirectedCall(
                now,
                path,
                instance.worker_id,
                instance.born,
                lease_seconds,
                last_seen,
                instance.n_listed,
                is_late,
            )
        )

    def _run_late(
        self,
        instance: WorkerIncarnation,
        handler: Handler,
        path: str,
        body: Mapping[str, Any],
    ) -> None:
        async def run() -> None:
            await asyncio.sleep(self._rng.uniform(*LATE_ORDER_SECONDS))
            # The header of the order names the id only, so an incarnation that has
            # started again under it carries the order out.
            present = self._vm.instance
            if present is not None and present.worker_id == instance.worker_id:
                await self._carry_out(present, handler, path, body, is_late=True)

        task = asyncio.ensure_future(run())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _start(
        self, instance: WorkerIncarnation, body: Mapping[str, Any]
    ) -> web.Response:
        ticket, task = body.get("Ticket"), str(body["Task"])
        if ticket and not self._accepts_ticket(ticket, task, instance.worker_id):
            return self._answer(instance, 409, {"Reason": "ticket"})
        try:
            instance.start(
                body, int(body["UntilMs"]) / 1000 + self._clock_zero, self._now()
            )
        except StartError as error:
            return self._answer(instance, 409, {"Reason": str(error)})
        return self._answer(instance, 200)

    async def _stop(
        self, instance: WorkerIncarnation, body: Mapping[str, Any]
    ) -> web.Response:
        instance.stop(str(body["Task"]), int(body["Run"]), self._now())
        return self._answer(instance, 200)

    async def _pace(
        self, instance: WorkerIncarnation, body: Mapping[str, Any]
    ) -> web.Response:
        instance.pace(
            str(body["Task"]), int(body["Run"]), int(body["Percent"]), self._now()
        )
        return self._answer(instance, 200)

    async def _hold(
        self, instance: WorkerIncarnation, body: Mapping[str, Any]
    ) -> web.Response:
        instance.acknowledge_ends(int(body.get("LastSeen", 0)), self._now())
        until = body.get("UntilMs")
        until_seconds = None if until is None else int(until) / 1000 + self._clock_zero
        instance.extend_lease(until_seconds, self._now())
        wait_seconds = min(int(body.get("WaitMs", 0)) / 1000, MAX_HOLD_SECONDS)
        deadline = self._now() + wait_seconds
        instance.advance(self._now())
        while not instance.has_ended_runs() and self._now() < deadline:
            await asyncio.sleep(HOLD_POLL_SECONDS)
            instance.advance(self._now())
        return self._answer(instance, 200, instance.encode_lists(self._now()))

    @property
    def _clock_zero(self) -> float:
        """Time in seconds at which the incarnation started and its clock was zero."""
        instance = self._vm.instance
        return instance.born / 1000 if instance else 0.0

    def _answer(
        self,
        instance: WorkerIncarnation,
        status: int,
        body: Mapping[str, Any] | None = None,
    ) -> web.Response:
        clock = int((self._now() - instance.born / 1000) * 1000)
        answer = {"ClockMs": clock, "born": instance.born, **(body or {})}
        return web.json_response(answer, status=status)


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _is_given_up(request: web.Request) -> bool:
    """Return whether the client has ended the connection of its call."""
    return request.transport is None or request.transport.is_closing()


def _reset(transport: asyncio.Transport) -> None:
    """Reset a connection, so that its client sees its end at once."""
    if transport.is_closing():
        return
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
