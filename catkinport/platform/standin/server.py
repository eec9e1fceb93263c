"""Server of the stand-in: store, workers, VMs, advice and faults in one process."""

import asyncio
import random
import time
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from aiohttp import web

from ...standins.faults import FaultSettings
from .advice import AdviceServer
from .rows import RowStore, StoreKey
from .store_server import StoreServer
from .vms import Crash, FleetSize, VmFleet, decode_value, encode_value
from .worker_server import WorkerServer

FAULT_DEFAULTS = {
    "is_store_down": False,
    "is_store_silent": False,
    "store_delay_seconds": 0.0,
    # Share of the commits that get no answer, and the share of these that take effect
    # only later.
    "store_lost_answers": 0.0,
    "store_late_writes": 0.0,
    # Delay of the answers to commits of one part that took effect, and perhaps to
    # conflicts too. Reads are answered at once.
    "late_answer_seconds": 0.0,
    "late_answer_part": "",
    "are_conflicts_late": False,
    # Share of the orders that get no answer and are carried out seconds later.
    "late_orders": 0.0,
    # Lists of VMs are refused. Orders for VMs are refused and carried out without an
    # answer by turns.
    "is_vm_interface_down": False,
    # Share of the orders for VMs that are refused, and of the others the share that get
    # no answer, every other one of which is carried out.
    "refused_vm_orders": 0.0,
    "lost_vm_orders": 0.0,
    # Delay of each request and of each answer, by the system that is called.
    "store_one_way_seconds": 0.0,
    "vms_one_way_seconds": 0.0,
    "workers_one_way_seconds": 0.0,
    # Age of the data in the lists of VMs.
    "vm_list_age_seconds": 0.0,
    # Terms of the advice service, whether it refuses calls, and whether it leaves out
    # those that were given up while they waited.
    "advice_decide_seconds": 0.0,
    "advice_each_seconds": 0.0,
    "advice_valid_seconds": 10.0,
    "advice_approved_share": 1.0,
    "is_advice_down": False,
    "drops_given_up_advice": False,
}
"""Faults and their values while they are switched off."""

HISTORY_SECONDS = 20.0
"""How long the store keeps changes for followers."""

TICK_SECONDS = 0.05
"""Time between two steps of the simulated VMs and workers."""

MAX_LIST_AGE_SECONDS = 10.0
"""Largest age of the data in a list of VMs."""

PATH_BY_KIND = {"starts": "/run-start", "polls": "/hold"}
"""Paths of the calls to workers that can be held up, by their name in the controls."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StandinServer:
    """The whole stand-in in one process.

    Args:
        size: pools and VMs.
        seed: seed of the faults.
        host: IP address to listen on.
        port: port of the store, the interface for VMs, the advice service and the test
            controls; 0 lets the kernel choose.
    """

    def __init__(
        self, size: FleetSize, seed: int = 1, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.faults = FaultSettings(FAULT_DEFAULTS)
        self._host = host
        self._port = port
        self._rng = random.Random(seed)
        rows = RowStore(time.monotonic, HISTORY_SECONDS)
        self._store = StoreServer(rows, time.monotonic, self.faults, self._rng)
        self._advice = AdviceServer(self.faults)
        self._fleet = VmFleet(self._store, size, time.monotonic)
        self._runners: list[web.AppRunner] = []
        self._is_next_order_refused = True
        self._is_next_lost_order_done = True
        # Lists of VMs with the times at which they were true, oldest first.
        self._vm_lists: deque[tuple[float, list[dict[str, Any]]]] = deque()
        self.address = ""

    async def start(self) -> None:
        """Open the ports and start the workers."""
        app = web.Application(middlewares=[self._delay_platform])
        self._store.add_routes(app)
        self._advice.add_routes(app)
        self._add_vm_routes(app)
        self._add_test_controls(app)
        self.address = await self._listen(app, self._port)
        for vm in self._fleet.vm_by_id.values():
            server = WorkerServer(
                vm,
                time.monotonic,
                self.faults,
                self._rng,
                self._fleet.crash,
                self._fleet.misdirected_calls,
                self._advice.accepts,
            )
            worker_app = server.create_app()
            worker_app.middlewares.append(self._delay_workers)
            vm.address = await self._listen(worker_app, 0)
        self._fleet.start_workers()

    async def run(self) -> None:
        """Advance the simulated VMs and workers until it is canceled."""
        while True:
            self._fleet.tick()
            self._keep_vm_list()
            await asyncio.sleep(TICK_SECONDS)

    async def stop(self) -> None:
        """Close all connections and ports."""
        for runner in self._runners:
            await runner.cleanup()

    async def _listen(self, app: web.Application, port: int) -> str:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, self._host, port)
        await site.start()
        self._runners.append(runner)
        _, bound_port = runner.addresses[0][:2]
        return f"{self._host}:{bound_port}"

    @web.middleware
    async def _delay_platform(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith("/standin/"):
            return await handler(request)
        called = "vms" if request.path.startswith("/machine") else "store"
        return await self._delay(called, request, handler)

    @web.middleware
    async def _delay_workers(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        return await self._delay("workers", request, handler)

    async def _delay(
        self, called: str, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        seconds = self.faults[f"{called}_one_way_seconds"]
        if not seconds:
            return await handler(request)
        await asyncio.sleep(seconds)
        answer = await handler(request)
        await asyncio.sleep(seconds)
        return answer

    def _keep_vm_list(self) -> None:
        now = time.monotonic()
        self._vm_lists.append((now, self._fleet.list_vms()))
        while now - self._vm_lists[0][0] > MAX_LIST_AGE_SECONDS:
            self._vm_lists.popleft()

    def _list_vms(self) -> list[dict[str, Any]]:
        """Return the list of VMs as it was before the time that the faults name."""
        age = self.faults["vm_list_age_seconds"]
        if not age:
            return self._fleet.list_vms()
        true_at = time.monotonic() - age
        lists = [vms for at, vms in self._vm_lists if at <= true_at]
        return lists[-1] if lists else self._vm_lists[0][1]

    def _add_vm_routes(self, app: web.Application) -> None:
        async def list_vms(request: web.Request) -> web.Response:
            if self.faults["is_vm_interface_down"]:
                return web.json_response({}, status=503)
            body = {"Machines": self._list_vms(), "NextToken": None}
            return web.json_response(body)

        async def move(request: web.Request) -> web.Response:
            body = await request.json()
            vm_id, pool = body["Machine"], body["Pool"]
            return self._process_order(request, lambda: self._fleet.move(vm_id, pool))

        async def maintain(request: web.Request) -> web.Response:
            body = await request.json()
            vm_id, wave = body["Machine"], int(body["Wave"])
            return self._process_order(
                request, lambda: self._fleet.maintain(vm_id, wave)
            )

        app.router.add_get("/machines", list_vms)
        app.router.add_post("/machine-move", move)
        app.router.add_post("/machine-upkeep", maintain)

    def _process_order(
        self, request: web.Request, carry_out: Callable[[], bool]
    ) -> web.Response:
        is_down = self.faults["is_vm_interface_down"]
        if is_down:
            self._is_next_order_refused = not self._is_next_order_refused
            if not self._is_next_order_refused:
                return web.json_response({}, status=503)
        elif self._rng.random() < self.faults["refused_vm_orders"]:
            return web.json_response({}, status=503)
        is_lost = self._rng.random() < self.faults["lost_vm_orders"]
        if is_lost:
            self._is_next_lost_order_done = not self._is_next_lost_order_done
        # An order that is not carried out gets no answer that could say so.
        is_done = not is_lost or self._is_next_lost_order_done
        is_accepted = is_done and carry_out()
        if (is_down or is_lost) and request.transport is not None:
            request.transport.abort()
        return self._answer_order(is_accepted)

    def _answer_order(self, is_done: bool) -> web.Response:
        if is_done:
            return web.json_response({})
        return web.json_response({"Reason": "busy"}, status=409)

    def _add_test_controls(self, app: web.Application) -> None:
        async def change_faults(request: web.Request) -> web.Response:
            self.faults.update(await request.json())
            return web.json_response(self.faults.to_dict())

        async def reset_faults(request: web.Request) -> web.Response:
            self.faults.reset()
            return web.json_response(self.faults.to_dict())

        async def write_operator_row(request: web.Request) -> web.Response:
            key = StoreKey("op", "", request.match_info["key"])
            self._store.write(key, encode_value(await request.json()))
            return web.json_response({"version": self._store.rows.version})

        async def remove_operator_row(request: web.Request) -> web.Response:
            self._store.write(StoreKey("op", "", request.match_info["key"]), None)
            return web.json_response({"version": self._store.rows.version})

        async def write_worker_entry(request: web.Request) -> web.Response:
            """Write an entry of a worker as another writer may do."""
            key = StoreKey("servers", "", request.match_info["key"])
            self._store.write(key, encode_value(await request.json()))
            return web.json_response({"version": self._store.rows.version})

        async def show_row(request: web.Request) -> web.Response:
            query = request.query
            key = StoreKey(query["table"], query.get("part", ""), query["key"])
            row = self._store.rows.get(key)
            value = decode_value(row.value) if row and row.value else None
            return web.json_response({"value": value})

        async def show_events(request: web.Request) -> web.Response:
            first = int(request.query.get("first", 0))
            events = [event._asdict() for event in self._fleet.events[first:]]
            return web.json_response({"events": events, "now": time.monotonic()})

        async def show_misdirected_calls(request: web.Request) -> web.Response:
            calls = [call._asdict() for call in self._fleet.misdirected_calls]
            return web.json_response({"calls": calls})

        async def show_vms(request: web.Request) -> web.Response:
            return web.json_response({"vms": self._fleet.list_vms()})

        async def change_vm(request: web.Request) -> web.Response:
            return self._change_vm(request.match_info["vm"], await request.json())

        async def compact(request: web.Request) -> web.Response:
            self._store.rows.compact()
            return web.json_response({})

        app.router.add_put("/standin/faults", change_faults)
        app.router.add_delete("/standin/faults", reset_faults)
        app.router.add_put("/standin/operator/{key:.+}", write_operator_row)
        app.router.add_delete("/standin/operator/{key:.+}", remove_operator_row)
        app.router.add_put("/standin/workers/{key:.+}", write_worker_entry)
        app.router.add_get("/standin/row", show_row)
        app.router.add_get("/standin/events", show_events)
        app.router.add_get("/standin/misdirected-calls", show_misdirected_calls)
        app.router.add_get("/standin/vms", show_vms)
        app.router.add_put("/standin/vms/{vm}", change_vm)
        app.router.add_post("/standin/compact", compact)

    def _change_vm(self, vm_id: str, change: dict[str, Any]) -> web.Response:
        vm = self._fleet.vm_by_id.get(vm_id)
        if vm is None:
            return web.json_response({"error": f"no VM {vm_id!r}"}, status=404)
        if "is_silent" in change:
            vm.is_silent = bool(change["is_silent"])
        if "hold_up" in change:
            vm.held_paths = frozenset(PATH_BY_KIND[kind] for kind in change["hold_up"])
            vm.crash_at_held_call = None
        if change.get("is_at_held_call"):
            vm.crash_at_held_call = _decode_crash(change)
        elif "crash_seconds" in change:
            self._fleet.crash(vm_id, _decode_crash(change))
        if "cold_seconds" in change:
            vm.cold_until = time.monotonic() + float(change["cold_seconds"])
        return web.json_response({})


def _decode_crash(change: Mapping[str, Any]) -> Crash:
    return Crash(
        float(change["crash_seconds"]),
        bool(change.get("keeps_id", False)),
        bool(change.get("is_dark", False)),
    )
