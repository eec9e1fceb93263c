"""Tests of connections to workers of the stand-in that crash."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from ..server import StandinServer
from ..vms import FleetSize, StandinVm

VM = "m-0"
HOLD = {"FencingToken": 1, "LastSeen": 0, "WaitMs": 2000}
DOWN_SECONDS = 0.1
RESET_SECONDS = 1.0
"""Longest time until a client sees that its connection is reset. Shorter than the wait
of a poll."""

DARK_SECONDS = 0.3
"""Time for which a call in the dark must have no answer. Longer than `DOWN_SECONDS`."""

Play = Callable[[StandinServer, aiohttp.ClientSession], Awaitable[None]]


def play(scene: Play) -> None:
    """Play a scene with a stand-in of one VM and a client of one connection a peer."""

    async def run() -> None:
        server = StandinServer(FleetSize(1, 1, 0))
        await server.start()
        ticks = asyncio.ensure_future(server.run())
        connector = aiohttp.TCPConnector(limit_per_host=1)
        try:
            async with aiohttp.ClientSession(connector=connector) as client:
                await scene(server, client)
        finally:
            ticks.cancel()
            await server.stop()

    asyncio.run(run())


def find_vm(server: StandinServer) -> StandinVm:
    return server._fleet.vm_by_id[VM]


async def poll(server, client, **changes) -> dict:
    """Poll the worker; return its lists."""
    url = f"http://{find_vm(server).address}/hold"
    async with client.post(url, json=HOLD | changes) as answer:
        return await answer.json()


async def change_vm(server, client, **change) -> None:
    """Change the VM by the test controls."""
    url = f"http://{server.address}/standin/vms/{VM}"
    async with client.put(url, json=change) as answer:
        assert answer.status == 200


async def wait_for_restart(server, former) -> None:
    async with asyncio.timeout(5.0):
        while find_vm(server).instance in (None, former):
            await asyncio.sleep(0.01)


class TestConnections:
    def test_a_kept_connection_is_reset(self):
        """Guards against a client that keeps a connection across a crash."""

        async def scene(server, client):
            host, _, port = find_vm(server).address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
            )
            assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
            await change_vm(server, client, crash_seconds=DOWN_SECONDS, keeps_id=True)
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.read(), RESET_SECONDS)

        play(scene)

    def test_a_kept_connection_ends_when_it_is_used_after_the_dark(self):
        """Guards against a next incarnation that is reached on a former connection."""

        async def scene(server, client):
            await poll(server, client, WaitMs=0)
            former = find_vm(server).instance
            await change_vm(
                server, client, crash_seconds=DOWN_SECONDS, keeps_id=True, is_dark=True
            )
            await wait_for_restart(server, former)
            with pytest.raises(aiohttp.ClientError):
                await poll(server, client, WaitMs=0)
            answer = await poll(server, client, WaitMs=0)
            assert answer["born"] == find_vm(server).instance.born != former.born

        play(scene)

    def test_a_poll_that_is_under_way_is_reset(self):
        """Guards against a crashed worker that answers with the runs it had."""

        async def scene(server, client):
            call = asyncio.ensure_future(poll(server, client))
            await asyncio.sleep(0.1)
            await change_vm(server, client, crash_seconds=DOWN_SECONDS, keeps_id=True)
            with pytest.raises(aiohttp.ClientError):
                await asyncio.wait_for(call, RESET_SECONDS)

        play(scene)

    @pytest.mark.parametrize(
        "change",
        [
            {"crash_seconds": DOWN_SECONDS, "keeps_id": True, "is_dark": True},
            {"is_silent": True},
        ],
        ids=["crash", "cut"],
    )
    def test_a_poll_that_is_under_way_has_no_answer_in_the_dark(self, change):
        """Guards against a worker that answers though the way back is gone."""

        async def scene(server, client):
            call = asyncio.ensure_future(poll(server, client, WaitMs=100))
            await asyncio.sleep(0.02)
            await change_vm(server, client, **change)
            done, _ = await asyncio.wait([call], timeout=DARK_SECONDS)
            assert not done
            call.cancel()

        play(scene)
