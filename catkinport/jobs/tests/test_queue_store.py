"""Tests of jobs whose queue the configuration has removed."""

import asyncio
import json
import math
import random
from types import SimpleNamespace

import pytest

from ...policy.leadership import OwnLease
from ...ports import Reason, Unavailable
from ...ports.async_table import Snapshot
from ...ports.table import Committed, Conflict, Row
from ...runtime import Metrics
from ..caller_commits import CallerCommits
from ..configuration import (
    AcceptedRules,
    ApprovalTerms,
    rules_from_row,
    rules_to_row,
)
from ..intake import Intake
from ..ownership.job_rows import JobRows
from ..ownership.queue_store import QueueStore, decode_queue, encode_queue
from ..ownership.session import OwnerSession
from ..placement.planner import Planner
from ..tables import OWNER_KEY, REMOVED_QUEUES_KEY
from .builders import (
    JOB_ID,
    POOL,
    QUEUE,
    Fleet,
    make_configuration,
    make_job,
    make_worker,
)

TOKEN = 1


class FakeTable:
    """Table service with the row of removed queues.

    Attributes:
        n_lost: number of the next commits that are carried out without an answer.
        is_replaced: whether another owner has taken over.
    """

    def __init__(self) -> None:
        self.row: Row | None = None
        self.n_commits = 0
        self.n_lost = 0
        self.is_replaced = False

    async def read_range(self, table, start="", end=""):
        return Snapshot([self.row] if self.row else [], 0)

    async def commit(self, transaction):
        self.n_commits += 1
        if self.is_replaced:
            return Conflict({OWNER_KEY: TOKEN + 1}, "commit", "t", [])
        conditions = {c.row_key: c.version for c in transaction.conditions}
        assert conditions[OWNER_KEY] == TOKEN
        version = self.row.version if self.row else 0
        if conditions[REMOVED_QUEUES_KEY] != version:
            differing = {REMOVED_QUEUES_KEY: version}
            return Conflict(differing, "commit", "t", [self.row])
        (write,) = transaction.writes
        self.row = Row(REMOVED_QUEUES_KEY, version + 1, write.value)
        if self.n_lost:
            self.n_lost -= 1
            return Unavailable(Reason.TIMEOUT, "commit", "t", "", True)
        return Committed({REMOVED_QUEUES_KEY: version + 1})


class Owner:
    """One period of ownership with a fleet of one worker."""

    def __init__(self, table, configuration=None) -> None:
        self.fleet = Fleet([make_worker()])
        dispatcher = self.fleet.dispatcher
        if configuration is not None:
            dispatcher._known_queue_by_name.clear()
            dispatcher.apply_configuration(configuration)
        session = OwnerSession.__new__(OwnerSession)
        session.table = table
        session.dispatcher = dispatcher
        session.lease = OwnLease(TOKEN, 0.0)
        session.deposed = asyncio.Event()
        session.wake = asyncio.Event()
        self.session = session
        self.queues = QueueStore(session)

    def add_job(self, is_inherited=False) -> None:
        self.fleet.dispatcher.add_job(make_job(), self.fleet.now, is_inherited)

    def read_job(self, row) -> None:
        """Read the row of a job as a successor does."""
        mover = SimpleNamespace(note_work=lambda pool, work, now: None)
        rows = JobRows(self.fleet.dispatcher, mover)
        rows.apply(row, self.fleet.now, False, set())


class AcceptingTable:
    """Table service that keeps the row of the latest accepted job."""

    async def commit(self, transaction):
        (write,) = transaction.writes
        self.row = Row(write.row_key, 1, json.loads(json.dumps(write.value)))
        return Committed({write.row_key: 1})


def accept_job(configuration) -> Row:
    """Accept a job under a configuration; return its row."""
    table = AcceptingTable()
    rules = AcceptedRules(configuration.queue_by_name[QUEUE], configuration.version)
    job = make_job()._replace(accepted_at=1.0)
    intake = Intake(table, lambda: True, CallerCommits(Metrics()))
    asyncio.run(intake.submit(job, rules, answer_by=math.inf))
    return table.row


class TestSuccessor:
    @pytest.mark.parametrize("n_lost", [0, 1, 2])
    def test_a_job_of_a_removed_queue_goes_on(self, n_lost):
        """Guards against accepted jobs that stay unfinished once the owner changes."""

        async def change_owner():
            table = FakeTable()
            table.n_lost = n_lost
            without_queue = make_configuration(version=2)._replace(queue_by_name={})
            former = Owner(table)
            former.add_job()
            former.fleet.dispatcher.apply_configuration(without_queue)
            while not await former.queues._store():
                pass
            successor = Owner(table, without_queue)
            await successor.queues.load()
            successor.add_job(is_inherited=True)
            return successor.fleet.plan()

        assert len(asyncio.run(change_owner())) == 1

    def test_a_queue_may_be_removed_while_there_is_no_owner(self):
        """Guards against jobs that no owner starts again.

        The former owner ended before the configuration changed, and the successor has
        read only the new version.
        """

        async def change_owner():
            table = FakeTable()
            former = Owner(table)
            former.add_job()
            assert await former.queues._store()
            without_queue = make_configuration(version=2)._replace(queue_by_name={})
            successor = Owner(table, without_queue)
            await successor.queues.load()
            successor.add_job(is_inherited=True)
            return successor.fleet.plan()

        assert len(asyncio.run(change_owner())) == 1

    def test_inherited_tasks_wait_for_the_former_pool_of_their_queue(self):
        """Guards against a second run in the pool that the queue has got since.

        The queue is removed and added again with another pool, then the owner changes.
        """

        async def change_owner():
            table = FakeTable()
            former = Owner(table)
            former.add_job()
            dispatcher = former.fleet.dispatcher
            without_queue = make_configuration(version=2)._replace(queue_by_name={})
            dispatcher.apply_configuration(without_queue)
            queue = make_configuration().queue_by_name[QUEUE]._replace(pool="off")
            moved = make_configuration(version=3)
            moved = moved._replace(queue_by_name={QUEUE: queue})
            dispatcher.apply_configuration(moved)
            assert await former.queues._store()
            successor = Owner(table, moved)
            await successor.queues.load()
            successor.add_job(is_inherited=True)
            successor.fleet.dispatcher.unresolved_by_id["w2"] = POOL
            (record,) = successor.fleet.dispatcher.job_by_id.values()
            return successor.fleet.dispatcher.is_job_resolved(record)

        assert not asyncio.run(change_owner())

    def test_the_row_stays_while_jobs_of_a_configured_queue_come_and_go(self):
        """Guards against a write each time that a queue becomes empty."""

        async def end_job():
            table = FakeTable()
            owner = Owner(table)
            assert await owner.queues._store()
            assert table.n_commits == 0
            owner.add_job()
            await owner.queues._store()
            del owner.fleet.dispatcher.job_by_id[JOB_ID]
            await owner.queues._store()
            owner.add_job()
            await owner.queues._store()
            return table.n_commits

        assert asyncio.run(end_job()) == 1

    def test_a_replaced_owner_ends(self):
        """Guards against a replaced owner that tries to store again and again."""

        async def store():
            table = FakeTable()
            table.is_replaced = True
            owner = Owner(table)
            owner.add_job()
            owner.fleet.dispatcher.apply_configuration(
                make_configuration(version=2)._replace(queue_by_name={})
            )
            assert not await owner.queues._store()
            return owner.session.deposed.is_set()

        assert asyncio.run(store())

    def test_a_queue_leaves_the_row_with_its_last_job(self):
        """Guards against a row that grows with every queue that ever was."""

        async def end_job():
            table = FakeTable()
            owner = Owner(table)
            owner.add_job()
            await owner.queues._store()
            assert table.n_commits == 1
            owner.fleet.dispatcher.apply_configuration(
                make_configuration(version=2)._replace(queue_by_name={})
            )
            await owner.queues._store()
            assert list(table.row.value) == [QUEUE]
            assert table.n_commits == 1
            del owner.fleet.dispatcher.job_by_id[JOB_ID]
            await owner.queues._store()
            await owner.queues._store()
            return table

        table = asyncio.run(end_job())
        assert table.row.value == {}
        assert table.n_commits == 2

    def test_the_present_configuration_goes_before_the_row(self):
        """Guards against old rules of a queue that was removed and added again."""
        fleet = Fleet([make_worker()])
        present = fleet.dispatcher.configuration.queue_by_name[QUEUE]
        fleet.dispatcher.restore_queue(present._replace(pool="former"))
        fleet.dispatcher.add_job(make_job(), fleet.now)
        record = fleet.dispatcher.job_by_id[JOB_ID]
        assert fleet.dispatcher.queue_of(record) == present
        fleet.dispatcher.note_stored_queues({QUEUE: present.pool})
        assert len(Planner(fleet.dispatcher).plan(fleet.now, 0.0)) == 1


class QueueHistory:
    """Random changes of a queue's pool and of its owner.

    Args:
        seed: seed of the history.

    Attributes:
        pools_by_job: pools in which tasks of each job have started.
    """

    POOLS = ("a", "b", "c")

    def __init__(self, seed) -> None:
        self._rng = random.Random(seed)
        self._table = FakeTable()
        self._rules_by_job: dict[str, AcceptedRules] = {}
        self.pools_by_job: dict[str, set[str]] = {}
        self._change_configuration()
        self._take_over()

    def step(self) -> None:
        """Let one event happen, then start what may start."""
        happen = self._rng.choice(
            [self._change_configuration, self._accept, self._store, self._take_over]
        )
        happen()
        dispatcher = self._owner.fleet.dispatcher
        for record in dispatcher.job_by_id.values():
            queue = dispatcher.queue_of(record)
            if queue is not None and dispatcher.may_start_in(record, queue):
                self.pools_by_job[record.job.job_id].add(queue.pool)

    def find_unknown_pools(self) -> set[str]:
        """Return pools in which jobs have runs that a new owner would not wait for."""
        jobs = self._owner.fleet.dispatcher._jobs
        return {
            pool
            for record in jobs.job_by_id.values()
            for pool in self.pools_by_job[record.job.job_id]
            if pool not in jobs._find_possible_pools(record)
        }

    def _change_configuration(self) -> None:
        version = self._rng.randrange(1, 4)
        if hasattr(self, "_configuration"):
            version += self._configuration.version
        configuration = make_configuration(version=version)
        queue = configuration.queue_by_name[QUEUE]
        queue = queue._replace(pool=self._rng.choice(self.POOLS))
        queue_by_name = {QUEUE: queue} if self._rng.random() < 0.8 else {}
        self._configuration = configuration._replace(queue_by_name=queue_by_name)
        # Nobody may own the fleet as the configuration changes.
        if hasattr(self, "_owner") and self._rng.random() < 0.7:
            self._owner.fleet.dispatcher.apply_configuration(self._configuration)

    def _accept(self) -> None:
        queue = self._configuration.queue_by_name.get(QUEUE)
        if queue is None:
            return
        job_id = f"{len(self._rules_by_job):016x}"
        self._rules_by_job[job_id] = AcceptedRules(queue, self._configuration.version)
        self.pools_by_job[job_id] = set()
        self._add(job_id, is_inherited=False)

    def _add(self, job_id, is_inherited) -> None:
        rules = self._rules_by_job[job_id]
        fleet = self._owner.fleet
        fleet.dispatcher.add_rules(rules)
        job = make_job(job_id)
        fleet.dispatcher.add_job(job, fleet.now, is_inherited, rules=rules)

    def _store(self) -> None:
        asyncio.run(self._owner.queues._store())

    def _take_over(self) -> None:
        self._owner = Owner(self._table, self._configuration)
        asyncio.run(self._owner.queues.load())
        for job_id in self._rules_by_job:
            self._add(job_id, is_inherited=True)


class TestOwnerThatEndsSoon:
    """The queue has got another pool, and the owner ends before it has stored that."""

    def test_no_task_starts_in_a_pool_that_a_successor_does_not_know(self):
        """Guards against a second run beside that on a worker that is not reached."""

        async def move_queue():
            table = FakeTable()
            owner = Owner(table)
            dispatcher = owner.fleet.dispatcher
            queue = dispatcher.configuration.queue_by_name[QUEUE]
            rules = AcceptedRules(queue._replace(pool="former"), 1)
            dispatcher.add_job(make_job(), owner.fleet.now, rules=rules)
            starts_before = owner.fleet.plan()
            assert await owner.queues._store()
            return starts_before, owner.session.wake.is_set(), owner.fleet.plan()

        starts_before, is_awake, starts = asyncio.run(move_queue())
        assert starts_before == []
        assert is_awake
        assert len(starts) == 1

    def test_a_job_starts_at_once_in_the_pool_under_which_it_was_accepted(self):
        """Guards against urgent jobs that wait for a write that they don't need."""
        owner = Owner(FakeTable())
        queue = owner.fleet.dispatcher.configuration.queue_by_name[QUEUE]
        rules = AcceptedRules(queue, 1)
        owner.fleet.dispatcher.add_job(make_job(), owner.fleet.now, rules=rules)
        assert len(owner.fleet.plan()) == 1

    @pytest.mark.parametrize("first_seed", range(0, 200, 50))
    def test_a_successor_waits_for_each_pool_with_runs(self, first_seed):
        """Guards against tasks that run twice, in random histories of the queue."""
        for seed in range(first_seed, first_seed + 50):
            history = QueueHistory(seed)
            for _ in range(30):
                history.step()
                assert history.find_unknown_pools() == set(), seed


class TestFirstJob:
    # Guards against an accepted job that stands still for good, as its queue is removed
    # and its owner lost within the second until the next check.
    def test_its_queue_is_stored_at_once(self):
        async def run() -> None:
            table = FakeTable()
            owner = Owner(table)
            following = asyncio.ensure_future(owner.queues.run())
            await asyncio.sleep(0.05)
            owner.add_job()
            await asyncio.sleep(0.3)
            following.cancel()
            assert table.row is not None
            assert QUEUE in table.row.value

        asyncio.run(run())

    def test_a_successor_learns_its_queue_from_the_job(self):
        """Guards against an accepted job that stands still for good.

        Its queue is removed and the owner lost before any owner has read the job.
        """
        accepting = make_configuration(version=1)
        row = accept_job(accepting)
        without_queue = make_configuration(version=2)._replace(queue_by_name={})
        successor = Owner(FakeTable(), without_queue)
        successor.read_job(row)
        assert len(successor.fleet.plan()) == 1

    @pytest.mark.parametrize("next_has_queue", [False, True])
    def test_a_queue_of_a_newer_configuration_waits_for_it(self, next_has_queue):
        """Guards against tasks that start before the limit of their account is known.

        Also guards against their job being forgotten if the version that comes then
        has removed the queue again.
        """
        row = accept_job(make_configuration(version=2))
        old = make_configuration(version=1)._replace(queue_by_name={})
        owner = Owner(FakeTable(), old)
        owner.read_job(row)
        assert owner.fleet.plan() == []
        newer = make_configuration(version=3)
        if not next_has_queue:
            newer = newer._replace(queue_by_name={})
        owner.fleet.dispatcher.apply_configuration(newer)
        assert len(owner.fleet.plan()) == 1

    def test_a_job_whose_rules_cannot_be_decoded_runs(self, caplog):
        """Guards against a job that is lost with rules of another version."""
        row = accept_job(make_configuration())
        row.value["rules"] = {"pool": POOL}
        owner = Owner(FakeTable())
        owner.read_job(row)
        assert "stored rules decode failed" in caplog.text
        assert len(owner.fleet.plan()) == 1

    def test_its_rules_are_the_same_after_they_were_stored(self):
        """Guards against rules of a queue that the job's row leaves out."""
        queue = make_configuration().queue_by_name[QUEUE]
        queue = queue._replace(approval=ApprovalTerms(5.0), priority=2)
        rules = rules_from_row(QUEUE, rules_to_row(AcceptedRules(queue, 7)))
        unused = {"host": "", "path_prefix": "", "timeout_seconds": 0.0}
        assert rules == AcceptedRules(queue._replace(**unused), 7)


class TestRow:
    def test_a_queue_that_cannot_be_decoded_is_logged_and_left_out(self, caplog):
        """Guards against an owner that ends for the row of another version."""
        table = FakeTable()
        fields = encode_queue(make_configuration().queue_by_name[QUEUE])
        value = {QUEUE: fields, "other": {"unknown": 1}}
        table.row = Row(REMOVED_QUEUES_KEY, 1, value)
        owner = Owner(table, make_configuration()._replace(queue_by_name={}))
        assert asyncio.run(owner.queues.load())
        assert "removed queue decode failed" in caplog.text
        owner.add_job(is_inherited=True)
        assert len(owner.fleet.plan()) == 1

    @pytest.mark.parametrize("approval", [None, ApprovalTerms(5.0)])
    def test_a_queue_is_the_same_after_it_was_stored(self, approval):
        """Guards against rules of a queue that the row leaves out."""
        queue = make_configuration().queue_by_name[QUEUE]._replace(approval=approval)
        assert decode_queue(QUEUE, encode_queue(queue)) == queue
