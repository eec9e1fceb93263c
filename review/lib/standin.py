"""Start the project's own stand-in of the platform with the deployed libraries.

The project's entry point for it needs a library that the deploy file doesn't install,
so this one builds the same server, `catkinport/platform/standin`. It is stricter in two
points, as the users' pages say:

* An order for a VM that is answered with 503 has not been carried out.
* A worker that has ended, or that is cut off, answers no call that has reached it
  before. Calls to a worker that has crashed are reset, and calls to one that is cut
  off or dark get no answer.

It also knows gangs: the tasks whose specification says ``lasts gang=8 seconds=3`` work
only while all 8 tasks of one run are present, and end as done together after 3 s. And
it can hold the first start order of a job up until its worker has restarted.
"""

import argparse
import asyncio
import re
import signal
import time
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from catkinport.platform.standin import server as server_module
from catkinport.platform.standin import vms as vms_module
from catkinport.platform.standin.server import StandinServer
from catkinport.platform.standin.vms import FleetSize, VmFleet
from catkinport.platform.standin.worker_incarnation import WorkerIncarnation
from catkinport.platform.standin.worker_server import WorkerServer

GANG_SECONDS = 3.0
"""Longest time that a task of a gang waits for the others (`GangMs`)."""


class GangIncarnation(WorkerIncarnation):
    """Incarnation of a worker that remembers which of its tasks belong to a gang."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.specification_by_task: dict[str, str] = {}

    def start(self, body: Mapping[str, Any], until: float, now: float) -> None:
        """Start a run."""
        super().start(body, until, now)
        self.specification_by_task[str(body["Task"])] = str(body.get("Spec", ""))


class Gangs:
    """Ends the tasks of gangs, which can be on several workers.

    Args:
        fleet: VMs and their workers.
    """

    def __init__(self, fleet: VmFleet) -> None:
        self._fleet = fleet
        self._complete_at: dict[tuple[str, int], float] = {}

    def advance(self, now: float) -> None:
        """End gangs that are done or broken, and tasks that have waited too long."""
        for key, members in self._find_members().items():
            specification = members[0][0].specification_by_task[members[0][1].task]
            size = int(re.search(r"gang=(\d+)", specification)[1])
            if len(members) == size:
                complete_at = self._complete_at.setdefault(key, now)
                if now - complete_at >= members[0][1].behavior.seconds:
                    end_all(members, "done", now)
            elif key in self._complete_at:
                end_all(members, "broken", now)
            else:
                late = [m for m in members if now - m[1].started_at >= GANG_SECONDS]
                end_all(late, "alone", now)

    def _find_members(self) -> dict[tuple[str, int], list[tuple[GangIncarnation, Any]]]:
        members: dict[tuple[str, int], list[tuple[GangIncarnation, Any]]] = {}
        for vm in self._fleet.vm_by_id.values():
            for one in list(vm.instance._running.values()) if vm.instance else []:
                if "gang=" in vm.instance.specification_by_task[one.task]:
                    key = (one.task.rpartition(".")[0], one.run)
                    members.setdefault(key, []).append((vm.instance, one))
        return members


def end_all(members: list[tuple[GangIncarnation, Any]], how: str, now: float) -> None:
    """End runs."""
    for instance, one in members:
        instance._end(one, how, now)


class HoldUp:
    """Start order that gets no answer and that the next incarnation carries out.

    Attributes:
        job_id: job whose next start order is held up; empty for none.
        vm_id: VM of the order that was held up; empty before.
    """

    def __init__(self) -> None:
        self.job_id = ""
        self.vm_id = ""


HOLD_UP = HoldUp()

HOLD_UP_POLL_SECONDS = 0.005
"""How often an order that is held up checks whether it can be carried out."""


class StrictWorkerServer(WorkerServer):
    """Worker whose pending answers are lost when it ends or is cut off."""

    def _with_faults(self, handler, may_be_late=True):
        answer = super()._with_faults(handler, may_be_late)

        async def handle(request: web.Request) -> web.StreamResponse:
            instance = self._vm.instance
            if request.path == "/run-start" and HOLD_UP.job_id:
                body = await request.json()
                if str(body["Task"]).startswith(HOLD_UP.job_id):
                    return await self._hold_up(request, body)
            response = None
            if instance is not None and not self._vm.is_silent:
                response = await answer(request)
            while self._vm.is_silent:
                await asyncio.sleep(server_module.TICK_SECONDS)
                response = None
            if response is None or self._vm.instance is not instance:
                return abort(request)
            return response

        return handle

    async def _hold_up(
        self, request: web.Request, body: Mapping[str, Any]
    ) -> web.Response:
        """Carry a start out late, on the incarnation that has the id by then."""
        HOLD_UP.job_id = ""
        HOLD_UP.vm_id = self._vm.vm_id
        former = self._vm.instance
        while self._vm.instance in (None, former) or self._vm.is_silent:
            await asyncio.sleep(HOLD_UP_POLL_SECONDS)
        if self._vm.instance.worker_id == former.worker_id:
            await self._carry_out(self._vm.instance, self._start, body)
        return abort(request)


def abort(request: web.Request) -> web.Response:
    """Reset the connection of a request."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


class StrictStandinServer(StandinServer):
    """Stand-in that carries out no order that it refuses."""

    def _answer_order(self, is_done: bool) -> web.Response:
        if is_done:
            return web.json_response({})
        return web.json_response({"Reason": "busy"}, status=409)

    def _add_vm_routes(self, app: web.Application) -> None:
        super()._add_vm_routes(app)

        async def hold_up(request: web.Request) -> web.Response:
            HOLD_UP.job_id = (await request.json())["job"]
            return web.json_response({})

        async def show_held_up(request: web.Request) -> web.Response:
            return web.json_response({"vm": HOLD_UP.vm_id})

        app.router.add_put("/standin/hold-up", hold_up)
        app.router.add_get("/standin/hold-up", show_held_up)

        @web.middleware
        async def refuse(request: web.Request, handler) -> web.StreamResponse:
            is_order = request.path in ("/machine-move", "/machine-upkeep")
            if is_order and self.faults["is_vm_interface_down"]:
                return web.json_response({}, status=503)
            return await handler(request)

        app.middlewares.append(refuse)


async def serve(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    size = FleetSize(
        arguments.pools, arguments.vms, arguments.spare_vms, arguments.cores
    )
    server_module.WorkerServer = StrictWorkerServer
    vms_module.WorkerIncarnation = GangIncarnation
    server = StrictStandinServer(size, seed=1)
    gangs = Gangs(server._fleet)
    await server.start()
    print(f"listening on {server.address}", flush=True)
    ticks = asyncio.ensure_future(run(server, gangs))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ticks.cancel)
    await asyncio.wait([ticks])
    await server.stop()


async def run(server: StandinServer, gangs: Gangs) -> None:
    """Advance the VMs, workers and gangs until it is canceled."""
    while True:
        server._fleet.tick()
        gangs.advance(time.monotonic())
        await asyncio.sleep(server_module.TICK_SECONDS)


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--pools", type=int, default=2)
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument("--spare-vms", type=int, default=0)
    parser.add_argument("--cores", type=float, default=16.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
