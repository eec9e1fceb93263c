"""Tests of the leases that polls renew."""

import asyncio
from types import SimpleNamespace

import pytest

from ...policy.leadership import OwnLease
from ...ports import Reason, Unavailable
from ...ports.fleet_workers import EndedTask, EndKind, WorkerLists
from ..ownership import worker_watch
from ..ownership.worker_watch import WorkerWatch
from ..workers.run import RunKey
from ..workers.worker_state import Incarnation
from .builders import POOL, Fleet, make_job, make_step, make_worker

LOST = Unavailable(Reason.CONNECTION_LOST, "worker-hold", "w1", "", True)


class FakeSession:
    """A session whose worker answers each poll with the next of ``outcomes``.

    Attributes:
        answer_seconds: bound of the time that an answer takes.
        polls: length of the lease and wait of each poll, in seconds.
        acknowledged: number of the end that each poll acknowledges.
    """

    def __init__(self, fleet, outcomes, answer_seconds=0.6):
        self.answer_seconds = answer_seconds
        self.dispatcher = fleet.dispatcher
        self.clock = SimpleNamespace(now=lambda: fleet.now)
        self.lease = OwnLease(1, fleet.now)
        self.ports = SimpleNamespace(workers=self)
        self.wake = asyncio.Event()
        self.polls = []
        self.acknowledged = []
        self._outcomes = list(outcomes)

    def bound_answer(self, worker_id):
        return self.answer_seconds

    async def renew_lease(self, worker, token, end, lease_seconds, wait_seconds):
        self.polls.append((lease_seconds, wait_seconds))
        self.acknowledged.append(end)
        return self._outcomes.pop(0)


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(worker_watch, "POLL_PAUSE_SECONDS", 0.0)


ANSWER = WorkerLists(1.0, [], [])


def poll(fleet, *outcomes, answer_seconds=0.6, may_wait=True):
    """Poll the worker once for each outcome; return the session."""
    session = FakeSession(fleet, outcomes, answer_seconds)
    watch = WorkerWatch(session, None, 0.0)

    async def run():
        for _ in outcomes:
            await watch.poll(fleet.dispatcher.worker_by_id["w1"], may_wait)

    asyncio.run(run())
    return session


class TestPollWithoutAnswer:
    def test_next_poll_reads_the_lists_only(self):
        """Guards against a lease on the clock of a worker that has restarted since."""
        fleet = Fleet([make_worker("w1")])
        session = poll(fleet, LOST, WorkerLists(2.0, [], []), LOST)
        assert session.polls == [(4.0, 1.0), (0.0, 0.0), (4.0, 1.0)]

    def test_worker_gets_no_tasks_before_the_next_answer(self):
        """Guards against a start on the clock of a worker that has restarted since."""
        fleet = Fleet([make_worker("w1")])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        poll(fleet, LOST)
        assert fleet.plan() == []
        poll(fleet, WorkerLists(2.0, [], []))
        fleet.renew_entry("w1", 2.0)
        assert len(fleet.plan()) == 1


class TestLateAnswers:
    @pytest.mark.parametrize("seconds", [0.6, 1.2, 1.7, 2.5])
    def test_the_worker_stays_in_contact_until_the_next_answer(self, seconds):
        """Guards against pools without tasks where each answer takes long.

        The next poll is sent at once, and its answer takes as long as its wait and the
        bound of the answer.
        """
        fleet = Fleet([make_worker("w1")])
        session = poll(fleet, ANSWER, ANSWER, answer_seconds=seconds)
        fleet.advance(session.polls[-1][1] + seconds - 0.01)
        assert fleet.dispatcher.worker_by_id["w1"].is_in_contact(fleet.now)

    @pytest.mark.parametrize("seconds", [0.6, 1.2, 1.7, 2.5])
    def test_the_lease_lasts_until_the_next_poll_arrives(self, seconds):
        """Guards against tasks that lapse between two polls with late answers.

        Bounds over 1 s are 0.7 s over the average at most, and the lease counts from
        the clock in the answer before.
        """
        fleet = Fleet([make_worker("w1")])
        session = poll(fleet, ANSWER, answer_seconds=seconds)
        lease_seconds, wait_seconds = session.polls[-1]
        average = max(seconds / 5, seconds - 0.7)
        assert wait_seconds + 2 * average < lease_seconds

    def test_fast_answers_leave_the_contact_as_it_was(self):
        """Guards against starts on a worker that is gone."""
        fleet = Fleet([make_worker("w1")])
        poll(fleet, ANSWER)
        fleet.advance(1.7)
        assert not fleet.dispatcher.worker_by_id["w1"].is_in_contact(fleet.now)


class TestIdleWorkers:
    """Workers without runs in a large fleet."""

    def _poll(self, monkeypatch, *starts):
        monkeypatch.setattr(worker_watch, "LARGE_FLEET_WORKERS", 1)
        fleet = Fleet([make_worker("w1")])
        for key in starts:
            incarnation = Incarnation("w1", 1.0)
            fleet.dispatcher.uncertain_starts.add(incarnation, key, fleet.now)
        return poll(fleet, ANSWER).polls

    def test_they_are_polled_less_often(self, monkeypatch):
        """Guards against an owner that spends its time on workers without runs."""
        assert self._poll(monkeypatch) == [(4.0, 2.0)]

    def test_one_that_may_carry_out_a_late_start_is_not(self, monkeypatch):
        """Guards against a second run of a task whose start was given up.

        If the worker restarts, it may carry the start out until it gets the stop, which
        follows the first answer.
        """
        assert self._poll(monkeypatch, RunKey("0.0.0.0", 1)) == [(4.0, 1.0)]


class TestStartingTask:
    """While lasting tasks start, the next ones of their step must not leave a VM."""

    def _fleet(self, is_lasting):
        fleet = Fleet([make_worker("w1")])
        step = make_step(is_lasting=is_lasting)
        fleet.dispatcher.add_job(make_job(steps=[step]), fleet.now)
        fleet.start()
        return fleet

    def _report(self, fleet, percent):
        ((key, run),) = fleet.running_by_worker["w1"].items()
        fleet.running_by_worker["w1"][key] = run._replace(percent=percent)
        fleet.poll("w1")

    @pytest.mark.parametrize(("is_lasting", "wait"), [(True, 0.25), (False, 1.0)])
    def test_it_is_noticed_soon_that_a_lasting_task_is_ready(self, is_lasting, wait):
        """Guards against a wave that is late because it waits for each report.

        A step of 24 tasks of which two may be away took 2.6 s for each two of them,
        1.5 s of it until a long poll had returned twice.
        """
        fleet = self._fleet(is_lasting)
        assert poll(fleet, ANSWER).polls == [(4.0, wait)]

    def test_long_polls_follow_once_it_is_ready(self):
        fleet = self._fleet(True)
        self._report(fleet, 100.0)
        fleet.advance(0.6)
        self._report(fleet, 100.0)
        assert poll(fleet, ANSWER).polls == [(4.0, 1.0)]

    def test_a_task_that_never_gets_ready_does_not_keep_polls_short(self):
        """Guards against four polls a second of a worker that hangs."""
        fleet = self._fleet(True)
        fleet.advance(6.0)
        fleet.poll("w1")
        assert poll(fleet, ANSWER).polls == [(4.0, 1.0)]


class TestAcknowledgedEnds:
    """The numbers of ends begin anew after a restart.

    A number of the former incarnation covers ends that nobody has read.
    """

    def make_fleet(self):
        fleet = Fleet([make_worker("w1")])
        worker = fleet.dispatcher.worker_by_id["w1"]
        worker.processed_end = worker.stored_end = 57
        return fleet

    def test_the_poll_after_one_without_an_answer_acknowledges_none(self):
        """Guards against a task that runs again after an unread end.

        The worker may have restarted, and that poll is the first one to reach it.
        """
        session = poll(self.make_fleet(), LOST, ANSWER, ANSWER, ANSWER, LOST)
        assert session.acknowledged == [57, 0, 57, 0, 0]

    def test_ends_from_a_held_one_on_wait(self):
        """Guards against an end that counts, and after which its task may start again.

        Its start order was repeated (review/11). Until no order can be left, the polls
        acknowledge the ends before it only, and don't ask the worker to wait.
        """
        fleet = self.make_fleet()
        worker = fleet.dispatcher.worker_by_id["w1"]
        worker.held_ends[50] = fleet.now + 5.0
        session = poll(fleet, ANSWER, ANSWER)
        assert session.acknowledged == [49, 0]
        assert [wait_seconds for _, wait_seconds in session.polls] == [0.0, 0.0]
        fleet.advance(5.1)
        fleet.poll("w1")
        session = poll(fleet, ANSWER)
        assert (session.acknowledged, session.polls) == ([57], [(4.0, 1.0)])

    @pytest.mark.parametrize("is_listed_again", [False, True])
    def test_ends_are_acknowledged_after_an_outdated_list(self, is_listed_again):
        """Guards against ends that are never acknowledged, and fill the list.

        The worker has restarted twice and answered since. A list that was requested
        before shows the incarnation in between.
        """
        fleet = self.make_fleet()
        answer = WorkerLists(3.0, [], [])
        poll(fleet, answer)
        for started_at in (2.0, 3.0) if is_listed_again else (2.0,):
            entry = make_worker("w1", started_at=started_at)
            fleet.dispatcher.update_workers([entry], fleet.now, fleet.now)
        if not is_listed_again:
            poll(fleet, WorkerLists(4.0, [], []))
            answer = WorkerLists(4.0, [], [])
        worker = fleet.dispatcher.worker_by_id["w1"]
        worker.processed_end = worker.stored_end = 1
        assert poll(fleet, answer).acknowledged == [1]

    def test_an_end_that_is_still_listed_is_acknowledged_again(self):
        """Guards against ends that are listed for ever.

        A poll carries no number while the clock of the worker is not known.
        """
        listed = [EndedTask(57, "0000000000000001.0.0.0", 1, EndKind.FAILED, "")]
        answers = (WorkerLists(1.0, [], listed), ANSWER, ANSWER)
        assert poll(self.make_fleet(), *answers).acknowledged == [57, 57, 0]

    def test_a_poll_beside_another_one_acknowledges_none(self):
        """Guards against an unread end after a start that had no answer.

        The poll that was under way at the restart has not failed yet.
        """
        session = poll(self.make_fleet(), ANSWER, may_wait=False)
        assert session.acknowledged == [0]

    def test_none_is_acknowledged_to_an_incarnation_that_is_only_listed(self):
        """Guards against an unread end on a worker whose entry tells its restart."""
        fleet = self.make_fleet()
        fleet.dispatcher.update_workers(
            [make_worker("w1", started_at=2.0)], fleet.now, fleet.now
        )
        session = poll(fleet, ANSWER, WorkerLists(2.0, [], []))
        assert session.acknowledged == [0, 0]

    def test_an_acknowledgment_counts_for_the_incarnation_that_it_was_made_for(
        self, monkeypatch
    ):
        """Guards against ends that the next incarnation lists for ever.

        It has taken the poll, whose number is above those of its own ends, and has
        answered another poll meanwhile.
        """
        fleet = self.make_fleet()
        restarted = WorkerLists(2.0, [], [])
        renew_lease = FakeSession.renew_lease

        async def renew_lease_beside_another_poll(session, *arguments):
            fleet.poll("w1", restarted.started_at)
            return await renew_lease(session, *arguments)

        monkeypatch.setattr(FakeSession, "renew_lease", renew_lease_beside_another_poll)
        poll(fleet, restarted)
        worker = fleet.dispatcher.worker_by_id["w1"]
        worker.processed_end = worker.stored_end = 1
        assert poll(fleet, restarted).acknowledged == [1]

    def test_ends_of_a_restarted_worker_are_acknowledged(self):
        """Guards against ends that are listed for ever after a restart."""
        fleet = Fleet([make_worker("w1")])
        worker = fleet.dispatcher.worker_by_id["w1"]
        worker.processed_end = worker.stored_end = 57
        poll(fleet, ANSWER, WorkerLists(2.0, [], []))
        worker.processed_end = worker.stored_end = 1
        session = poll(fleet, WorkerLists(2.0, [], []))
        assert session.acknowledged == [1]


class TestUnreachedWorkers:
    FORMER_BOUND = 90.0

    def is_resolved(self, renewed_at):
        """Return whether a pool is resolved, one worker of which was not reached."""
        fleet = Fleet([])
        fleet.dispatcher.unresolved_by_id["gone"] = POOL
        session = FakeSession(fleet, [])
        session.lease = OwnLease(1, renewed_at)
        watch = WorkerWatch(session, None, self.FORMER_BOUND)
        watch._resolve_unreached_workers(fleet.now)
        return fleet.dispatcher.is_pool_resolved(POOL)

    def test_renewal_after_the_bound_resolves_them_while_the_store_is_slow(self):
        """Guards against inherited jobs that never start.

        Each stored renewal is older than `MAY_BE_REPLACED_SECONDS` if the store takes
        that long to answer, so that the ownership is always in doubt.
        """
        assert self.is_resolved(renewed_at=98.0)

    def test_renewal_before_the_bound_does_not(self):
        """Guards against a second run of a task that a successor has adopted."""
        assert not self.is_resolved(renewed_at=89.0)


class TestLargeFleet:
    """Load: thousands of workers, most of them idle, that one owner polls."""

    def _fleet(self, n_workers, n_tasks=0):
        fleet = Fleet([make_worker(f"w{number}") for number in range(1, n_workers + 1)])
        if n_tasks:
            fleet.dispatcher.add_job(make_job(steps=[make_step(n_tasks)]), fleet.now)
            fleet.start()
        return fleet

    def test_idle_workers_are_polled_half_as_often(self):
        """Guards against an owner whose processor is used up by polls."""
        session = poll(self._fleet(worker_watch.LARGE_FLEET_WORKERS), ANSWER)
        assert session.polls == [(4.0, 2.0)]

    def test_small_fleets_are_polled_as_before(self):
        """Guards against workers that are lost without notice for longer."""
        session = poll(self._fleet(worker_watch.LARGE_FLEET_WORKERS - 1), ANSWER)
        assert session.polls == [(4.0, 1.0)]

    def test_workers_with_runs_are_polled_as_before(self):
        """Guards against progress and readiness that are learned late."""
        n_workers = worker_watch.LARGE_FLEET_WORKERS
        fleet = self._fleet(n_workers, n_tasks=n_workers * 64)
        assert fleet.dispatcher.worker_by_id["w1"].run_by_key
        session = poll(fleet, WorkerLists(1.0, [], []))
        assert session.polls == [(4.0, 1.0)]

    def test_the_worker_stays_in_contact_during_its_wait(self):
        """Guards against idle workers that get no tasks for a part of each poll."""
        fleet = self._fleet(worker_watch.LARGE_FLEET_WORKERS)
        poll(fleet, ANSWER, ANSWER)
        worker = fleet.dispatcher.worker_by_id["w1"]
        fleet.advance(2.5)
        assert worker.is_in_contact(fleet.now)
        fleet.advance(0.2)
        assert not worker.is_in_contact(fleet.now)

    def test_the_next_poll_renews_the_lease(self):
        """Guards against polls that read only, as the last answer seems too old."""
        fleet = self._fleet(worker_watch.LARGE_FLEET_WORKERS)
        poll(fleet, ANSWER)
        fleet.advance(2.1)
        session = poll(fleet, ANSWER)
        assert session.polls == [(4.0, 2.0)]


class TestDroppedReport:
    """Two polls are under way, and different incarnations answer them."""

    def test_the_next_poll_reads_the_lists_only(self, monkeypatch):
        """Guards against an unread end on the incarnation whose report was dropped.

        The worker has restarted twice, and the poll that was sent first is carried out
        last. Its report counts as one of the first incarnation.
        """
        fleet = Fleet([make_worker("w1")])
        renew_lease = FakeSession.renew_lease

        async def renew_lease_beside_another_poll(session, *arguments):
            fleet.advance(0.5)
            fleet.poll("w1", started_at=2.0)
            worker = fleet.dispatcher.worker_by_id["w1"]
            worker.processed_end = worker.stored_end = 3
            return await renew_lease(session, *arguments)

        monkeypatch.setattr(FakeSession, "renew_lease", renew_lease_beside_another_poll)
        poll(fleet, WorkerLists(3.0, [], []))
        monkeypatch.setattr(FakeSession, "renew_lease", renew_lease)
        assert fleet.dispatcher.worker_by_id["w1"].started_at == 2.0
        session = poll(fleet, WorkerLists(3.0, [], []))
        assert session.acknowledged == [0]
        assert session.polls == [(0.0, 0.0)]
