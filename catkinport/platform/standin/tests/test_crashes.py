"""Tests of connections and calls to workers of the stand-in that crash."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from ...workers import INCARNATION_HEADER
from ..server import StandinServer
from ..vms import FleetSize, StandinVm

VM = "m-0"
HOLD = {"FencingToken": 1, "LastSeen": 0, "WaitMs": 2000}
START = {"Task": "a.0.0.0", "Run": 1, "Spec": "lasts", "FencingToken": 1} | {
    "UntilMs": 486_000
}
DOWN_SECONDS = 0.1
RESET_SECONDS = 1.0
"""Longest time until a client sees that its connection is reset. Shorter than the wait
of a poll."""

DARK_SECONDS = 0.3
"""Time for which a call in the dark must have no answer. Longer than `DOWN_SECONDS`."""

AT_HELD_CALL = {
    "is_at_held_call": True,
    "crash_seconds": DOWN_SECONDS,
    "keeps_id": True,
}

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


async def call(server, client, path, body) -> dict:
    """Call the worker that is up, by its id; return its answer."""
    vm = find_vm(server)
    headers = {INCARNATION_HEADER: vm.instance.worker_id}
    url = f"http://{vm.address}{path}"
    async with client.post(url, json=body, headers=headers) as answer:
        return {"status": answer.status, **await answer.json()}


async def poll(server, client, **changes) -> dict:
    """Poll the worker; return its lists."""
    return await call(server, client, "/hold", HOLD | changes)


async def start(server, client) -> dict:
    """Start a run on the worker; return its answer."""
    return await call(server, client, "/run-start", START)


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


class TestHeldCalls:
    """Calls that are held up until the next incarnation is up."""

    def test_a_start_reaches_the_next_incarnation(self):
        """Guards against a call of a former incarnation that no test can play.

        The lease of the start ends far ahead on the clock of the next incarnation.
        """

        async def scene(server, client):
            former = find_vm(server).instance
            await change_vm(server, client, hold_up=["starts"], **AT_HELD_CALL)
            answer = await start(server, client)
            present = find_vm(server).instance
            assert answer["status"] == 200
            assert answer["born"] == present.born != former.born
            lists = await poll(server, client, WaitMs=0)
            assert [run[:2] for run in lists["Running"]] == [["a.0.0.0", 1]]

        play(scene)

    def test_a_poll_reaches_the_next_incarnation(self):
        """Guards against a poll of a former incarnation that no test can play."""

        async def scene(server, client):
            former = find_vm(server).instance
            await change_vm(server, client, hold_up=["polls"], **AT_HELD_CALL)
            answer = await poll(server, client, WaitMs=0)
            assert answer["born"] == find_vm(server).instance.born != former.born

        play(scene)

    def test_a_call_during_the_crash_reaches_the_next_incarnation(self):
        """Guards against a call that is lost because another one was held up first."""

        async def scene(server, client):
            await poll(server, client, WaitMs=0)
            former = find_vm(server).instance
            crash = {"crash_seconds": DOWN_SECONDS, "keeps_id": True, "is_dark": True}
            await change_vm(server, client, hold_up=["polls"], **crash)
            url = f"http://{find_vm(server).address}/hold"
            async with client.post(url, json=HOLD | {"WaitMs": 0}) as answer:
                assert (await answer.json())["born"] > former.born

        play(scene)

    @pytest.mark.parametrize(
        ("held", "other"), [("starts", poll), ("polls", start)], ids=["start", "poll"]
    )
    def test_calls_of_another_kind_are_not_held_up(self, held, other):
        """Guards against a fault that takes a worker out of contact by itself."""

        async def scene(server, client):
            former = find_vm(server).instance
            await change_vm(server, client, hold_up=[held], **AT_HELD_CALL)
            assert (await other(server, client))["born"] == former.born

        play(scene)

    def test_calls_of_the_next_incarnation_are_not_held_up(self):
        """Guards against a fault that goes on when the worker is up again."""

        async def scene(server, client):
            await change_vm(server, client, hold_up=["starts"], **AT_HELD_CALL)
            first = await start(server, client)
            second = await start(server, client)
            assert first["born"] == second["born"]

        play(scene)

    def test_a_call_that_is_given_up_is_not_carried_out(self):
        """Guards against a start that arrives though its connection was reset."""

        async def scene(server, client):
            former = find_vm(server).instance
            await change_vm(server, client, hold_up=["starts"])
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(start(server, client), 0.1)
            await change_vm(server, client, crash_seconds=DOWN_SECONDS, keeps_id=True)
            await wait_for_restart(server, former)
            await asyncio.sleep(DARK_SECONDS)
            assert (await poll(server, client, WaitMs=0))["Running"] == []

        play(scene)

    def test_a_call_does_not_reach_a_worker_with_another_id(self):
        """Guards against an incarnation that ignores for whom a call is meant."""

        async def scene(server, client):
            change = AT_HELD_CALL | {"keeps_id": False}
            await change_vm(server, client, hold_up=["starts"], **change)
            assert (await start(server, client))["status"] == 421

        play(scene)
