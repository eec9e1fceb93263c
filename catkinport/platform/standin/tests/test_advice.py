"""Tests of the advice service of the stand-in."""

import asyncio
import time

import aiohttp
import pytest

from ..advice import MAX_WAITING_CALLS
from ..server import StandinServer
from ..vms import FleetSize
from .test_crashes import find_vm

STEP = "a.0.0"
OTHER_STEP = "a.0.1"
START = {"Run": 1, "Spec": "lasts", "FencingToken": 1, "UntilMs": 486_000}


def play(scene, **faults):
    """Play a scene with a stand-in of one VM, whose advice service has these terms."""

    async def run():
        server = StandinServer(FleetSize(1, 1, 0))
        server.faults.update(faults)
        await server.start()
        try:
            async with aiohttp.ClientSession() as client:
                return await scene(server, client)
        finally:
            await server.stop()

    return asyncio.run(run())


async def advise(server, client, step=STEP, worker_ids=("w1",)):
    """Call the service; return the status and the answer."""
    body = {"Step": step, "Workers": list(worker_ids)}
    url = f"http://{server.address}/advise"
    async with client.post(url, json=body) as answer:
        return answer.status, await answer.json()


class TestTurns:
    def test_a_call_takes_its_time_for_each_worker(self):
        """Guards against a service that hides what many named workers cost."""

        async def scene(server, client):
            began_at = time.monotonic()
            await advise(server, client, worker_ids=["w1"] * 20)
            return time.monotonic() - began_at

        seconds = play(scene, advice_decide_seconds=0.1, advice_each_seconds=0.01)
        assert seconds >= 0.3

    def test_calls_wait_for_each_other(self):
        """Guards against a service that hides calls which hold each other up."""

        async def scene(server, client):
            began_at = time.monotonic()
            await asyncio.gather(*(advise(server, client) for _ in range(3)))
            return time.monotonic() - began_at

        assert play(scene, advice_decide_seconds=0.1) >= 0.3

    def test_a_call_is_refused_while_many_wait(self):
        """Guards against clients that never meet a full service."""

        async def scene(server, client):
            calls = [asyncio.ensure_future(advise(server, client))]
            # Once it is handled, it is none of those that wait.
            while not server._advice.is_busy:
                await asyncio.sleep(0.01)
            calls += [
                asyncio.ensure_future(advise(server, client))
                for _ in range(MAX_WAITING_CALLS + 1)
            ]
            done, waiting = await asyncio.wait(
                calls, return_when=asyncio.FIRST_COMPLETED
            )
            for call in waiting:
                call.cancel()
            return [call.result()[0] for call in done]

        assert play(scene, advice_decide_seconds=5.0) == [429]

    @pytest.mark.parametrize(("is_dropped", "n_handled"), [(False, 3), (True, 2)])
    def test_a_call_that_was_given_up_may_keep_its_turn(self, is_dropped, n_handled):
        """Guards against clients that repeat calls to a service that handles them."""

        async def scene(server, client):
            first = asyncio.ensure_future(advise(server, client))
            await asyncio.sleep(0.1)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await advise(server, client)
            await advise(server, client)
            await first
            return server._advice.n_handled

        faults = {"advice_decide_seconds": 0.6, "drops_given_up_advice": is_dropped}
        assert play(scene, **faults) == n_handled


class TestTickets:
    @staticmethod
    async def start(server, client, step, ticket):
        """Start a task of a step with a ticket; return the status and the answer."""
        body = {**START, "Task": f"{step}.0", "Ticket": ticket}
        url = f"http://{find_vm(server).address}/run-start"
        async with client.post(url, json=body) as answer:
            return answer.status, (await answer.json()).get("Reason")

    def play_start(self, step, valid_seconds=10.0, worker_id=""):
        """Return the outcome of a start of ``step`` with a ticket for `STEP`."""

        async def scene(server, client):
            approved_id = worker_id or find_vm(server).instance.worker_id
            _, answer = await advise(server, client, worker_ids=[approved_id])
            ((_, ticket),) = answer["Good"]
            await asyncio.sleep(0.01)
            return await self.start(server, client, step, ticket)

        return play(scene, advice_valid_seconds=valid_seconds)

    def test_a_start_with_its_ticket_is_accepted(self):
        """Guards against a service whose tickets no worker takes."""
        assert self.play_start(STEP) == (200, None)

    def test_a_start_of_another_step_is_rejected(self):
        """Guards against an owner that mixes up the tickets of steps."""
        assert self.play_start(OTHER_STEP) == (409, "ticket")

    def test_a_start_on_another_worker_is_rejected(self):
        """Guards against an owner that mixes up the tickets of workers."""
        assert self.play_start(STEP, worker_id="w9") == (409, "ticket")

    def test_a_late_start_is_rejected(self):
        """Guards against an owner that uses tickets that are no longer valid."""
        assert self.play_start(STEP, valid_seconds=0.0) == (409, "ticket")

    @pytest.mark.parametrize(
        ("is_asked", "outcome"), [(False, (200, None)), (True, (409, "ticket"))]
    )
    def test_a_ticket_of_another_service_is_taken_until_it_is_asked(
        self, is_asked, outcome
    ):
        """Guards against workers that reject all tickets of another advice service.

        Also guards against those that take any ticket while this one is in use.
        """

        async def scene(server, client):
            if is_asked:
                await advise(server, client)
            return await self.start(server, client, STEP, "ticket-of-another-service")

        assert play(scene) == outcome

    def test_the_approved_workers_do_not_change(self):
        """Guards against a service that approves whom it has rejected."""

        async def scene(server, client):
            worker_ids = [f"w{number}" for number in range(50)]
            answers = [
                await advise(server, client, worker_ids=worker_ids) for _ in range(2)
            ]
            return [[worker for worker, _ in body["Good"]] for _, body in answers]

        first, second = play(scene, advice_approved_share=0.5)
        assert first == second
        assert 0 < len(first) < 50
