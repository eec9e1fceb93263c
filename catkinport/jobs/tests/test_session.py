"""Tests of the tasks that an owner's session runs."""

import asyncio
import random

import pytest

from ...policy.leadership import STOP_RENEWING_SECONDS
from ...ports.table import Transaction, Write
from ...runtime import BootTimeClock
from ..ownership.owner import UNANSWERED_HEARTBEAT_SECONDS, FleetOwner
from ..ownership.ownership_watch import Claim, OwnershipWatch
from ..ownership.session import OwnerSession
from ..tables import HEARTBEAT_KEY
from .builders import make_configuration
from .late_table import AsyncLateTable, make_session
from .vm_fleet import BOUNDS

LONGEST_LEASE = 10.0


async def ignore_first_cancellation(steps: list[str]) -> None:
    """Go on once after a cancellation, as a wait that completes meanwhile may do."""
    try:
        await asyncio.sleep(60.0)
    except asyncio.CancelledError:
        steps.append("went on")
    await asyncio.sleep(60.0)


async def send_order(steps: list[str]) -> None:
    steps.append("sent")


async def wait_for(future: asyncio.Future[None]) -> None:
    await future


async def end(session: OwnerSession) -> None:
    await session.end()


async def depose(session: OwnerSession) -> None:
    session.depose("order-fenced")


class TestEnd:
    # Guards against a replaced owner that goes on to send orders because one of its
    # loops has missed the cancellation.
    def test_waits_for_a_task_that_has_missed_its_cancellation(self):
        async def run():
            session = make_session(AsyncLateTable())
            steps: list[str] = []
            task = session.spawn(ignore_first_cancellation(steps))
            await asyncio.sleep(0)
            await asyncio.wait_for(session.end(), 5.0)
            assert task.cancelled()
            assert steps == ["went on"]

        asyncio.run(run())

    # Guards against orders that are sent in the moment between the loss of the
    # ownership and the end of the loops, or by a loop that has not ended yet.
    @pytest.mark.parametrize("stop", [end, depose])
    def test_nothing_begins_after_it(self, stop):
        async def run():
            session = make_session(AsyncLateTable())
            await stop(session)
            steps: list[str] = []
            task = session.spawn(send_order(steps))
            await asyncio.wait([task])
            assert steps == []

        asyncio.run(run())

    # Guards against a daemon that claims the ownership again while a loop of its former
    # ownership goes on.
    def test_an_owner_returns_only_once_its_tasks_have_ended(self):
        async def run():
            session = make_session(AsyncLateTable())
            claim = Claim(session.lease.token, 100.0, None, False)
            owner = FleetOwner(
                session.ports, make_configuration(), claim, BOUNDS, LONGEST_LEASE
            )
            steps: list[str] = []
            owner._load_and_run = lambda: ignore_first_cancellation(steps)
            owner._renewal_loop = lambda: asyncio.sleep(60.0)
            task = asyncio.ensure_future(owner.run(asyncio.Event()))
            await asyncio.sleep(0.02)
            owner._session.depose("order-fenced")
            await asyncio.wait_for(task, 5.0)
            assert steps == ["went on"]
            assert not owner._session._tasks

        asyncio.run(run())


class TestHandover:
    def _make_owner(self, session):
        claim = Claim(session.lease.token, 100.0, None, False)
        configuration = make_configuration()
        owner = FleetOwner(session.ports, configuration, claim, BOUNDS, LONGEST_LEASE)
        owner._session.wants_successor = True
        owner._session.loaded_at = 100.0
        return owner

    def test_it_releases_the_ownership_after_all_tasks_have_ended(self):
        """Guards against two owners that give orders for a moment."""

        async def run():
            table = AsyncLateTable()
            session = make_session(table)
            owner = self._make_owner(session)
            steps: list[str] = []
            owner._load_and_run = lambda: ignore_first_cancellation(steps)
            owner._follow_lag = lambda: asyncio.sleep(60.0)
            task = asyncio.ensure_future(owner.run(asyncio.Event()))
            await asyncio.sleep(0.02)
            owner.hand_over(session.lease.token)
            await asyncio.wait_for(task, 5.0)
            assert steps == ["went on"]
            (row,) = table.memory.read([HEARTBEAT_KEY]).values()
            assert row.value["released"]

        asyncio.run(run())

    @pytest.mark.parametrize("missing", ["token", "wish", "resolved"])
    def test_it_needs_a_candidate_for_this_overloaded_owner(self, missing):
        """Guards against a change of the owner that helps nobody."""

        async def run():
            session = make_session(AsyncLateTable())
            owner = self._make_owner(session)
            token = session.lease.token
            if missing == "token":
                token -= 1
            elif missing == "wish":
                owner._session.wants_successor = False
            else:
                owner._session.loaded_at = 0.0
            owner.hand_over(token)
            assert not owner._handover.is_set()

        asyncio.run(run())


class TestUnexpectedEnd:
    # Guards against an owner that renews its lease while it stores no states or reads
    # no jobs, because a loop has ended by a cancellation that came out of a call.
    def test_a_loop_that_is_canceled_by_itself_ends_the_ownership(self):
        async def run():
            session = make_session(AsyncLateTable())
            waiting = asyncio.get_running_loop().create_future()
            task = session.spawn(wait_for(waiting))
            await asyncio.sleep(0)
            waiting.cancel()
            await asyncio.wait([task])
            assert session.deposed.is_set()

        asyncio.run(run())

    # Guards against an ownership that is taken for lost because it is released.
    def test_the_loops_of_an_owner_that_stops_do_not_depose_it(self):
        async def run():
            session = make_session(AsyncLateTable())
            session.spawn(asyncio.sleep(60.0))
            await asyncio.sleep(0)
            await session.end()
            assert not session.deposed.is_set()

        asyncio.run(run())


class TestOrders:
    # Guards against orders of an owner that has been replaced or may have been.
    def test_they_end_with_the_ownership_and_without_renewals(self):
        session = make_session(AsyncLateTable())
        assert session.may_order()
        session.clock.advance(STOP_RENEWING_SECONDS + 0.1)
        assert not session.may_order()
        session.note_renewed(session.clock.now())
        assert session.may_order()
        session.depose("order-fenced")
        assert not session.may_order()


class TestRenewals:
    def _make_owner(self, session):
        """Return an owner with the claim of the session, and what it sees of others."""
        claim = Claim(session.lease.token, session.clock.now(), None, False)
        configuration = make_configuration()
        owner = FleetOwner(session.ports, configuration, claim, BOUNDS, LONGEST_LEASE)
        rng = random.Random(1)
        return owner, OwnershipWatch(session.table, session.clock, "owner", rng)

    # Guards against an owner that holds back all orders for good, though its renewals
    # are stored and keep others from taking over, because their answers come too late.
    def test_a_renewal_that_is_seen_in_its_row_counts_as_stored(self):
        async def run():
            table = AsyncLateTable()
            table.loses_answers = True
            owner, watch = self._make_owner(make_session(table))
            session = owner._session
            session.clock.advance(STOP_RENEWING_SECONDS + 0.1)
            await owner._renew()
            assert not session.may_order()
            await watch.poll()
            owner.follow_ownership(watch)
            assert session.may_order()
            assert session.lease.renewed_at == session.clock.now()

        asyncio.run(run())

    # Guards against an owner that counts the renewals of its successor as its own.
    def test_a_renewal_of_another_owner_does_not_count(self):
        async def run():
            table = AsyncLateTable()
            owner, watch = self._make_owner(make_session(table))
            renewed_at = owner._session.lease.renewed_at
            value = {"token": table.claim(), "sent_at": renewed_at + 5.0}
            table.memory.commit(Transaction([], [Write(HEARTBEAT_KEY, value)]))
            await watch.poll()
            owner.follow_ownership(watch)
            assert owner._session.lease.renewed_at == renewed_at

        asyncio.run(run())

    # Guards against an ownership that seems older after the late answer to an earlier
    # renewal.
    def test_a_late_answer_does_not_replace_a_newer_renewal(self):
        session = make_session(AsyncLateTable())
        for sent_at in (100.5, 101.0):
            session.note_renewal_sent(sent_at)
        session.clock.advance(2.0)
        session.note_renewed(101.0)
        session.note_renewed(100.5)
        assert session.lease.renewed_at == 101.0

    # Guards against an owner that is replaced while it waits for one lost answer.
    def test_the_next_renewal_does_not_wait_for_an_answer(self):
        async def run():
            table = AsyncLateTable()
            table.commit_seconds = 9.0
            session = make_session(table)
            ports = session.ports._replace(clock=BootTimeClock())
            owner, _ = self._make_owner(
                OwnerSession(ports, session.dispatcher, session.lease)
            )
            loop = asyncio.ensure_future(owner._renewal_loop())
            await asyncio.sleep(2.5 * UNANSWERED_HEARTBEAT_SECONDS)
            loop.cancel()
            await owner._session.end()
            assert table.n_commits >= 2

        asyncio.run(run())
