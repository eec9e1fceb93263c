"""Tests of the orders that are on their way to one worker."""

import asyncio

import pytest

from ..order_turns import MAX_ORDERS, MIN_ORDERS, STARTS_PER_OTHER, OrderTurns


async def send(turns, worker_id, seconds, timeout_seconds=0.5):
    """Send an order that is answered after ``seconds``; return whether it was sent."""
    if not await turns.begin(worker_id, timeout_seconds):
        return False
    try:
        await asyncio.sleep(seconds)
    finally:
        turns.end(worker_id)
    return True


class TestTurns:
    @pytest.mark.parametrize(
        ("answer_seconds", "n_orders"), [(0.01, MIN_ORDERS), (0.2, 10), (0.7, 24)]
    )
    def test_far_workers_get_more_orders_at_a_time(self, answer_seconds, n_orders):
        """Guards against starts that are given up while they wait for each other."""

        async def run():
            turns = OrderTurns(lambda worker_id: answer_seconds)
            sent = [turns.begin("w1", 0.01) for _ in range(2 * MAX_ORDERS)]
            return await asyncio.gather(*sent)

        assert sum(asyncio.run(run())) == n_orders

    def test_orders_for_a_full_worker_get_their_turn_later(self):
        """Guards against turns that are lost with the order before."""

        async def run():
            turns = OrderTurns(lambda worker_id: 0.01)
            orders = [send(turns, "w1", 0.01) for _ in range(4 * MIN_ORDERS)]
            return await asyncio.gather(*orders)

        assert all(asyncio.run(run()))

    def test_one_worker_does_not_hold_up_the_others(self):
        """Guards against a worker that is gone and delays all starts."""

        async def run():
            turns = OrderTurns(lambda worker_id: 0.01)
            first = [send(turns, "gone", 0.2, 0.05) for _ in range(2 * MIN_ORDERS)]
            other = send(turns, "w1", 0.0, 0.0)
            return await asyncio.gather(*first, other)

        *first, other = asyncio.run(run())
        assert other
        assert sum(first) == MIN_ORDERS

    def test_canceled_orders_give_their_turns_back(self):
        """Guards against a worker that gets no orders after the end of an ownership."""

        async def run():
            turns = OrderTurns(lambda worker_id: 0.01)
            orders = [
                asyncio.ensure_future(send(turns, "w1", 5.0, 5.0))
                for _ in range(3 * MIN_ORDERS)
            ]
            await asyncio.sleep(0.01)
            for order in orders:
                order.cancel()
            await asyncio.gather(*orders, return_exceptions=True)
            return await send(turns, "w1", 0.0, 0.0)

        assert asyncio.run(run())


class TestStartsBesideStops:
    N_STOPS = 250
    N_STARTS = 16

    @staticmethod
    def request_all(n_stops, n_starts):
        """Return the kinds of the orders behind the first few, as they get a turn."""

        async def run():
            turns = OrderTurns(lambda worker_id: 0.01)
            kinds = []

            async def send_kind(kind, is_start):
                assert await turns.begin("w1", 5.0, is_start)
                kinds.append(kind)
                await asyncio.sleep(0)
                turns.end("w1")

            stops = [send_kind("stop", False) for _ in range(n_stops)]
            starts = [send_kind("start", True) for _ in range(n_starts)]
            await asyncio.gather(*stops, *starts)
            return kinds

        return asyncio.run(run())[MIN_ORDERS:]

    def test_starts_do_not_wait_for_the_stops_before(self):
        """Guards against a gang of which some members start and others are not sent.

        Hundreds of stops of canceled jobs were before them at one worker (`review/14`).
        """
        kinds = self.request_all(self.N_STOPS, self.N_STARTS)
        n_turns = self.N_STARTS + self.N_STARTS // STARTS_PER_OTHER
        assert kinds[:n_turns].count("start") == self.N_STARTS

    def test_stops_get_turns_among_the_starts(self):
        """Guards against runs that go on while short tasks start all the time."""
        kinds = self.request_all(self.N_STARTS, self.N_STOPS)
        n_stops = self.N_STARTS - MIN_ORDERS
        n_turns = n_stops * (STARTS_PER_OTHER + 1)
        assert kinds[:n_turns].count("stop") == n_stops

    def test_a_start_that_was_given_up_takes_no_turn(self):
        """Guards against turns that are lost with orders that wait no more."""

        async def run():
            turns = OrderTurns(lambda worker_id: 0.01)
            first = [send(turns, "w1", 0.1) for _ in range(MIN_ORDERS)]
            given_up = turns.begin("w1", 0.01, True)
            last = send(turns, "w1", 0.0)
            return await asyncio.gather(*first, given_up, last)

        *first, given_up, last = asyncio.run(run())
        assert all(first)
        assert not given_up
        assert last
