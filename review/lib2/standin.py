"""Stand-in of the platform for the cases of this review, as a program.

It is the project's own stand-in (`catkinport/platform/standin/`) with the times of
kdc-tbilisi and a few more faults, each of which the users' pages name:

* ``late_job_writes``: a write to the table ``jobs`` gets no answer and is done this
  many seconds later (`platform_lost`, late);
* ``refusing_vm``: the runner of this VM answers starts with 503, and has then done
  nothing (`srv_grey`, busy).

``GET /standin/orders`` lists the orders for machines as they arrived, and
``GET /standin/writes`` counts the writes and those that got no answer.
"""

import argparse
import asyncio
import json
import signal
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from catkinport.platform.standin import server, store_server, vms, worker_server
from catkinport.platform.standin.rows import decode_key
from catkinport.ports.fleet_vms import VmState

vms.UPKEEP_SECONDS = 2.0
vms.MOVE_SECONDS = 1.5
vms.HEARTBEAT_SECONDS = 1.5

server.FAULT_DEFAULTS["late_job_writes"] = 0.0
server.FAULT_DEFAULTS["refusing_vm"] = ""


class StoreServer(store_server.StoreServer):
    """Store that can carry out writes of jobs late and leave them unanswered."""

    n_writes = 0
    n_lost_writes = 0

    async def _commit(self, request: web.Request) -> web.StreamResponse:
        seconds = self._faults["late_job_writes"]
        self.n_writes += 1
        body = await request.json()
        writes = {decode_key(e): str(e["Value"]) for e in body.get("Writes") or []}
        if not seconds or not any(key.table == "jobs" for key in writes):
            return await super()._commit(request)
        expected = {decode_key(e): int(e["Ver"]) for e in body.get("Expect") or []}
        self.n_lost_writes += 1
        asyncio.get_running_loop().call_later(seconds, self._do, expected, writes)
        # The channel on which an answer is lost delivers nothing further.
        await asyncio.sleep(store_server.SILENCE_SECONDS)
        return web.json_response({}, status=503)

    async def _follow(self, request: web.Request) -> web.StreamResponse:
        """Answer a feed.

        The project's stand-in answers with the newest version and no rows if a row is
        written just as the wait ends, so that its reader misses the row for good. Here
        the rows are read at the moment of the answer.
        """
        table, after = request.query["Table"], int(request.query["After"])
        deadline = self._now() + int(request.query.get("WaitMs", 0)) / 1000
        while not self.rows.follow(table, after) and self._now() < deadline:
            try:
                async with asyncio.timeout(deadline - self._now()):
                    await self._changed.wait()
            except TimeoutError:
                break
        rows = [store_server.encode_row(row) for row in self.rows.follow(table, after)]
        return web.json_response({**self._common_fields(), "rows": rows})

    def _do(self, expected: dict[Any, int], writes: dict[Any, str]) -> None:
        self.rows.commit(expected, writes, [])
        self._notify_followers()


class WorkerServer(worker_server.WorkerServer):
    """Worker that can refuse starts."""

    async def _start(self, instance: Any, body: Any) -> web.Response:
        if self._faults["refusing_vm"] == self._vm.vm_id:
            return self._answer(instance, 503)
        return await super()._start(instance, body)


class StandinServer(server.StandinServer):
    """Platform that lists the orders for machines that it got."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._orders: list[dict[str, Any]] = []

    def _process_order(
        self, request: web.Request, carry_out: Callable[[], bool]
    ) -> web.Response:
        order = {
            "at": time.monotonic(),
            "path": request.path,
            "machine": json.loads(request._read_bytes or b"{}").get("Machine"),
            "holder": request.headers.get("X-Catkinport-Lease-Holder"),
            "token": int(request.headers.get("X-Catkinport-Fencing-Token", 0)),
            "n_down_before": self._count_down(),
        }
        self._orders.append(order)
        answer = super()._process_order(request, carry_out)
        order["has_begun"] = self._count_down() > order["n_down_before"]
        return answer

    def _count_down(self) -> int:
        """Return how many machines are down for their upkeep."""
        return sum(vm.state is VmState.UPKEEP for vm in self._fleet.vm_by_id.values())

    def _add_test_controls(self, app: web.Application) -> None:
        super()._add_test_controls(app)

        async def show_orders(request: web.Request) -> web.Response:
            return web.json_response({"orders": self._orders})

        async def count_writes(request: web.Request) -> web.Response:
            store = self._store
            return web.json_response(
                {"all": store.n_writes, "lost": store.n_lost_writes}
            )

        app.router.add_get("/standin/orders", show_orders)
        app.router.add_get("/standin/writes", count_writes)


server.StoreServer = StoreServer
server.WorkerServer = WorkerServer


async def serve(size: vms.FleetSize) -> None:
    """Serve until SIGTERM."""
    standin = StandinServer(size)
    await standin.start()
    print(f"listening on {standin.address}", flush=True)
    ticks = asyncio.ensure_future(standin.run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ticks.cancel)
    await asyncio.wait([ticks])
    await standin.stop()


def main() -> None:
    """Parse the arguments and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--pools", type=int, default=2)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--spare-vms", type=int, default=2)
    parser.add_argument("--cores", type=float, default=64.0)
    options = parser.parse_args()
    size = vms.FleetSize(options.pools, options.vms, options.spare_vms, options.cores)
    asyncio.run(serve(size))


if __name__ == "__main__":
    main()
