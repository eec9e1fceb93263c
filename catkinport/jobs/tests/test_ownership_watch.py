"""Tests of what a claim tells about the owners before it."""

import json
import random
from types import SimpleNamespace

import pytest

from ...policy.leadership import HEARTBEAT_SECONDS, TAKEOVER_SECONDS, OwnLease
from ...ports.clock import ManualClock
from ...ports.table import Condition, Transaction, Write
from ...runtime import Metrics
from ..dispatch.dispatcher import Dispatcher
from ..ownership.owner import FleetOwner
from ..ownership.ownership_watch import (
    MAX_CLAIM_DELAY_SECONDS,
    MAX_CLAIM_JITTER_SECONDS,
    Claim,
    OwnershipWatch,
)
from ..ownership.session import OwnerPorts, OwnerSession
from ..ownership.state_store import heartbeat_write
from ..tables import HEARTBEAT_KEY, OWNER_KEY
from .builders import POOL, QUEUE, make_configuration, make_job
from .simulated_store import SimulatedStore, StoreClient, StoreLink, run_now
from .vm_fleet import BOUNDS

LONGEST_LEASE = 10.0


class Daemons:
    """Daemons that claim the ownership in a store, and the owners' heartbeat."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.store = SimulatedStore()

    def claim(self, name, link=StoreLink.SOUND) -> Claim | None:
        """Let a daemon that has just started follow the rows until it claims."""
        client = StoreClient(self.store)
        client.link = link
        watch = OwnershipWatch(client, self.clock, name, random.Random(1))
        for _ in range(8):
            run_now(watch.poll())
            if watch._may_claim(0.0):
                return run_now(watch._claim())
            self.clock.advance(0.3)
        raise AssertionError(f"{name} may not claim")

    def renew(self, claim, **fields):
        value = {"token": claim.token, "released": False, **fields}
        condition = Condition(OWNER_KEY, claim.token)
        self.store.commit(Transaction([condition], [Write(HEARTBEAT_KEY, value)]))


class TestFormerOwner:
    """A successor may wait less if no owner before it renews a lease any more."""

    @pytest.mark.parametrize("fields", [{"resolved": False}, {}])
    def test_a_release_says_nothing_of_the_owners_before(self, fields):
        """Guards against a task that runs twice after two changes of the owner.

        The first owner is cut off from the store and alive; the second one released the
        ownership before it had reached all workers. A row of an earlier version does
        not tell whether it had.
        """
        daemons = Daemons()
        daemons.renew(daemons.claim("first"))
        daemons.renew(daemons.claim("second"), released=True, **fields)
        assert not daemons.claim("third").is_former_ended

    def test_a_restart_says_nothing_of_the_owners_before(self):
        """Guards against a task that runs twice after a crash of the second owner."""
        daemons = Daemons()
        daemons.renew(daemons.claim("first"), resolved=True)
        daemons.renew(daemons.claim("second"), resolved=False)
        assert not daemons.claim("second").is_former_ended

    def test_a_claim_without_an_answer_does_not_end_the_former_owner(self):
        """Guards against a daemon that takes its own claim for an ended process.

        The claim was carried out after the daemon had given up waiting for its answer,
        so the row names the daemon although it has never acted as the owner.
        """
        daemons = Daemons()
        daemons.renew(daemons.claim("first"), resolved=True)
        assert daemons.claim("second", StoreLink.LATE) is None
        daemons.store.carry_out_late()
        assert not daemons.claim("second").is_former_ended

    @pytest.mark.parametrize("name", ["second", "third"])
    def test_an_owner_that_has_resolved_all_workers_ends_for_all(self, name):
        """Guards against a needless wait after an orderly change of the owner."""
        daemons = Daemons()
        daemons.renew(daemons.claim("first"))
        daemons.renew(daemons.claim("second"), released=True, resolved=True)
        assert daemons.claim(name).is_former_ended


class TestHeartbeat:
    """The heartbeat row tells whether the owner has resolved all workers."""

    def test_an_owner_is_resolved_once_it_has_loaded_and_resolved_all_workers(self):
        """Guards against a successor that does not wait for an owner before the last.

        An owner that has not loaded the roster yet knows of no unresolved worker.
        """
        session = make_session()
        assert not read_resolved(session)
        session.dispatcher.unresolved_by_id["w1"] = POOL
        session.loaded_at = 101.0
        assert not read_resolved(session)
        session.dispatcher.resolve_inherited_workers(102.0)
        assert read_resolved(session)


def make_session() -> OwnerSession:
    ports = SimpleNamespace(table=None, clock=None)
    dispatcher = Dispatcher(make_configuration())
    return OwnerSession(ports, dispatcher, OwnLease(1, 100.0))


def read_resolved(session) -> bool:
    return heartbeat_write(session, 100.0).value["resolved"]


class TestLateRenewal:
    """A renewal without an answer may be stored after a newer one of the same owner."""

    # Guards against callers that are told an old number of waiting jobs, and against a
    # released ownership that looks held again.
    def test_a_renewal_that_is_stored_late_replaces_nothing(self):
        daemons = Daemons()
        claim = daemons.claim("first")
        client = StoreClient(daemons.store)
        watch = OwnershipWatch(client, daemons.clock, "second", random.Random(1))
        run_now(watch.poll())
        daemons.renew(claim, sent_at=102.0, waiting={"q": 5}, released=True)
        run_now(watch.poll())
        daemons.renew(claim, sent_at=101.0, waiting={"q": 1}, released=False)
        run_now(watch.poll())
        assert watch.depths is not None
        assert watch.depths.n_by_queue == {"q": 5}
        assert watch._watch.owner_rows.is_released

    # Guards against a successor that is judged by the renewals of the former owner.
    def test_a_renewal_of_another_owner_counts_whenever_it_was_sent(self):
        daemons = Daemons()
        client = StoreClient(daemons.store)
        watch = OwnershipWatch(client, daemons.clock, "third", random.Random(1))
        daemons.renew(daemons.claim("first"), sent_at=102.0, released=True)
        run_now(watch.poll())
        daemons.renew(daemons.claim("second"), sent_at=7.0, waiting={"q": 2})
        run_now(watch.poll())
        assert watch.depths is not None
        assert watch.depths.n_by_queue == {"q": 2}


N_QUEUES = 6000


def make_busy_session(n_waiting_queues: int) -> OwnerSession:
    """Return the session of a fleet of many queues, some with a waiting job."""
    queue = make_configuration().queue_by_name[QUEUE]
    names = [f"queue-{number:06d}" for number in range(N_QUEUES)]
    queue_by_name = {name: queue._replace(name=name) for name in names}
    session = make_session()
    session.dispatcher.apply_configuration(
        make_configuration(version=2)._replace(queue_by_name=queue_by_name)
    )
    for number, name in enumerate(names[:n_waiting_queues]):
        job = make_job(f"{number:016x}", queue=name)
        session.dispatcher.add_job(job, 100.0)
    session.loaded_at = 100.0
    return session


class TestRenewalOfManyQueues:
    """The table service refuses rows over 64 KiB, and all daemons read each renewal."""

    # Guards against a fleet that nobody can own, because the table service refuses each
    # renewal.
    @pytest.mark.parametrize("n_waiting_queues", [0, N_QUEUES])
    def test_its_row_is_not_too_large(self, n_waiting_queues):
        session = make_busy_session(n_waiting_queues)
        value = heartbeat_write(session, 100.0).value
        assert len(json.dumps(value)) < 65536

    # Guards against renewals that fill slow links with the names of idle queues.
    def test_queues_without_waiting_jobs_take_no_room(self):
        session = make_busy_session(3)
        assert len(json.dumps(heartbeat_write(session, 100.0).value)) < 300

    # Guards against callers that are told too few waiting jobs where most jobs wait.
    def test_the_queues_with_most_waiting_jobs_are_kept(self):
        session = make_busy_session(N_QUEUES)
        for number in range(20):
            job = make_job(f"{N_QUEUES + number:016x}", queue="queue-005999")
            session.dispatcher.add_job(job, 100.0)
        waiting = heartbeat_write(session, 100.0).value["waiting"]
        assert waiting["queue-005999"] == 21
        assert len(waiting) > 1000


class TestFarStore:
    """Daemons and owners whose calls of the table service take long."""

    def _watch(self, daemons) -> OwnershipWatch:
        client = StoreClient(daemons.store)
        return OwnershipWatch(client, daemons.clock, "other", random.Random(1))

    def _silent_seconds(self, daemons, watch, jitter=0.0, latency=0.0) -> float:
        """Return after how many seconds without a change the watch may claim."""
        run_now(watch.poll())
        watch._watch.note_latency(latency)
        began_at = daemons.clock.now()
        while not watch._may_claim(jitter):
            daemons.clock.advance(0.1)
            run_now(watch.poll())
            watch._watch.note_latency(latency)
            assert daemons.clock.now() < began_at + 60.0
        return daemons.clock.now() - began_at

    def test_an_owner_far_away_keeps_its_ownership(self):
        """Guards against daemons near the table service that replace it for ever.

        A renewal that takes 0.8 s is followed by the next one 1.1 s later, and may be
        repeated once.
        """
        daemons = Daemons()
        claim = daemons.claim("far")
        daemons.renew(claim, sent_at=100.0, takeover_seconds=4.0)
        assert self._silent_seconds(daemons, self._watch(daemons)) >= 3.9

    def test_a_claim_states_the_time_before_the_first_renewal(self):
        """Guards against a new owner that is replaced before it can renew."""
        daemons = Daemons()
        far = self._watch(daemons)
        run_now(far.poll())
        far._watch.note_latency(0.8)
        claim = run_now(far._claim())
        watch = OwnershipWatch(
            StoreClient(daemons.store), daemons.clock, "near", random.Random(1)
        )
        silent_seconds = self._silent_seconds(daemons, watch)
        assert silent_seconds >= claim.takeover_seconds - 0.1 > 2 * TAKEOVER_SECONDS

    def test_the_time_of_a_former_owner_does_not_hold(self):
        """Guards against a late takeover after a change of the owner."""
        daemons = Daemons()
        daemons.renew(daemons.claim("far"), sent_at=100.0, takeover_seconds=1.9)
        daemons.claim("near")
        silent_seconds = self._silent_seconds(daemons, self._watch(daemons))
        assert silent_seconds < TAKEOVER_SECONDS + 0.2

    def test_a_free_ownership_is_claimed_within_a_bound(self):
        """Guards against pools without an owner for over a minute.

        The random delay grew with the latency, and again with each failed claim.
        """
        daemons = Daemons()
        daemons.renew(daemons.claim("first"), released=True)
        watch = self._watch(daemons)
        jitter = MAX_CLAIM_JITTER_SECONDS
        silent_seconds = self._silent_seconds(daemons, watch, jitter, latency=2.0)
        assert silent_seconds < MAX_CLAIM_DELAY_SECONDS + 0.2

    @pytest.mark.parametrize("seconds", [0.4, 0.8, 1.2, 2.0])
    def test_an_owner_that_renews_is_not_in_doubt(self, seconds):
        """Guards against pools that stand still while the table service is far away.

        An owner in doubt orders no VM and gives no lost task another worker. It was in
        doubt before the answer to each renewal.
        """

        class FarClient(StoreClient):
            async def commit(self, transaction):
                clock.advance(seconds)
                return await super().commit(transaction)

        daemons = Daemons()
        clock = daemons.clock
        claim = daemons.claim("far")
        ports = OwnerPorts(FarClient(daemons.store), None, None, None, clock, Metrics())
        owner = FleetOwner(ports, make_configuration(), claim, BOUNDS, LONGEST_LEASE)
        for _ in range(8):
            run_now(owner._renew())
            clock.advance(HEARTBEAT_SECONDS)
        assert not owner._session.lease.may_be_replaced(clock.now() + seconds)

    def test_a_renewal_without_an_answer_shortens_the_time_at_once(self):
        """Guards against an owner that orders VMs beside its successor.

        Its last renewal was stored and stated less than the one before, but the owner
        did not learn of it.
        """
        daemons = Daemons()
        clock = daemons.clock
        lease = OwnLease(1, clock.now(), 6.0)
        ports = SimpleNamespace(table=None, clock=clock)
        session = OwnerSession(ports, Dispatcher(make_configuration()), lease)
        for _ in range(12):
            sent_at = clock.now()
            session.note_renewal_sent(sent_at)
            clock.advance(0.01)
            session.note_renewed(sent_at)
            clock.advance(0.3)
            before = session.takeover_seconds
            session.note_renewal_sent(clock.now())
            assert session.lease.takeover_seconds <= before


class TestWaitingJobs:
    """Numbers of waiting jobs around a change of the owner."""

    def _watch(self, daemons):
        rng = random.Random(1)
        return OwnershipWatch(StoreClient(daemons.store), daemons.clock, "other", rng)

    def test_an_owner_that_has_not_loaded_the_jobs_tells_no_numbers(self):
        """Guards against an answer that no job waits while some wait for seconds.

        A new owner on a slow link renewed its ownership before it had read the jobs.
        """
        daemons = Daemons()
        daemons.renew(daemons.claim("first"), waiting={QUEUE: 4})
        watch = self._watch(daemons)
        run_now(watch.poll())
        seen_at = watch.depths.seen_at
        daemons.clock.advance(1.0)
        claim = daemons.claim("first")
        dispatcher = Dispatcher(make_configuration())
        session = OwnerSession(
            SimpleNamespace(table=None, clock=daemons.clock),
            dispatcher,
            OwnLease(claim.token, 0.0),
        )
        daemons.renew(claim, **heartbeat_write(session, 1.0).value)
        run_now(watch.poll())
        assert watch.depths.n_by_queue == {QUEUE: 4}
        assert watch.depths.seen_at == seen_at

    def test_a_claim_does_not_make_them_newer(self):
        """Guards against numbers of a lost owner that pass for present ones."""
        daemons = Daemons()
        daemons.renew(daemons.claim("first"), waiting={QUEUE: 4})
        watch = self._watch(daemons)
        run_now(watch.poll())
        seen_at = watch.depths.seen_at
        daemons.clock.advance(1.0)
        daemons.claim("first")
        run_now(watch.poll())
        assert watch.depths.seen_at == seen_at


class TestCandidacy:
    """An owner on a small VM that falls behind hands over to a larger VM, if it can."""

    def _watch(self, daemons, claim_delay_seconds=0.0):
        # With this seed the daemon stands at the first renewal that asks for it.
        rng = random.Random(1)
        client = StoreClient(daemons.store)
        return OwnershipWatch(client, daemons.clock, "other", rng, claim_delay_seconds)

    def _stand(self, watch):
        run_now(watch.poll())
        run_now(watch._stand_as_candidate())
        run_now(watch.poll())

    @pytest.mark.parametrize(
        ("fields", "claim_delay_seconds", "is_candidate"),
        [
            ({"wants_successor": True}, 0.0, True),
            ({"wants_successor": False}, 0.0, False),
            ({}, 0.0, False),
            ({"wants_successor": True}, 0.8, False),
        ],
    )
    def test_a_large_vm_stands_if_the_owner_asks(
        self, fields, claim_delay_seconds, is_candidate
    ):
        """Guards against an owner on half a core that never gets rid of the fleet.

        Ten owners lost their power, and the fast VMs were back soon, but the slow owner
        kept the ownership and fell behind until the end of the day.
        """
        daemons = Daemons()
        claim = daemons.claim("small")
        daemons.renew(claim, **fields)
        watch = self._watch(daemons, claim_delay_seconds)
        self._stand(watch)
        assert (watch.find_candidate_token() == claim.token) == is_candidate

    def test_a_candidate_for_an_earlier_owner_does_not_count(self):
        """Guards against an ownership that goes back and forth."""
        daemons = Daemons()
        daemons.renew(daemons.claim("small"), wants_successor=True)
        watch = self._watch(daemons)
        self._stand(watch)
        second = daemons.claim("small")
        run_now(watch.poll())
        assert watch.find_candidate_token() not in (0, second.token)
