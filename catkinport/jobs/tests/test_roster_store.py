"""Tests of the stored list of the workers that may run tasks."""

import asyncio
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...ports import Reason, Unavailable
from ..dispatch.task import ORDER_DELAY_SECONDS
from ..ownership.owner import RETRY_SECONDS
from ..ownership.roster_rows import MAX_WORKERS_PER_ROW, RosterRows, group_linked
from ..ownership.roster_store import LOOK_SECONDS, RosterStore
from ..tables import ROSTER_TABLE, roster_key
from ..workers.worker_state import LEASE_SECONDS, bound_lease
from .builders import POOL, make_worker
from .late_table import AsyncLateTable, make_session

OTHER_POOL = "previews"

REFUSED = Unavailable(Reason.STORE_UNAVAILABLE, "table-commit", "store:1", "status 400")


class PickyTable(AsyncLateTable):
    """A table that refuses commits with certain rows.

    Attributes:
        refused_rows: names of the rows of the roster that it refuses.
        n_written: number of rows of each commit that was not refused.
    """

    def __init__(self):
        super().__init__()
        self.refused_rows = set()
        self.n_written = []

    async def commit(self, transaction):
        names = {write.row_key.key for write in transaction.writes}
        if names & self.refused_rows:
            return REFUSED
        self.n_written.append(len(names))
        return await super().commit(transaction)


class Owner:
    """An owner that applies lists of workers and stores the roster."""

    def __init__(self, table):
        self.table = table
        self.session = make_session(table)
        self.roster = RosterStore(self.session)
        self.worker_by_id = self.session.dispatcher.worker_by_id

    def list_workers(self, *workers):
        self.session.dispatcher.update_workers(workers, 0.0, self.session.clock.now())

    async def store(self, *workers):
        self.list_workers(*workers)
        return await self.roster.store()

    def find_enrolled(self):
        return {w.worker_id for w in self.worker_by_id.values() if w.is_enrolled}


def read_pools(table):
    """Return the pool of each worker as a successor reads the roster."""
    successor = RosterStore(make_session(AsyncLateTable()))
    return {
        worker.worker_id: worker.listed.pool
        for row in table.memory.scan(ROSTER_TABLE).rows
        for worker in successor.restore(row)
    }


def check_enrolled(owner):
    """Check that a successor knows each enrolled worker in its pool."""
    pool_by_id = read_pools(owner.table)
    for worker_id in owner.find_enrolled():
        assert pool_by_id[worker_id] == owner.worker_by_id[worker_id].listed.pool


class TestRefusedRow:
    # Guards against one row that the store refuses, at each attempt, and that keeps the
    # new workers of all pools from getting tasks.
    def test_it_holds_back_no_other_pool(self):
        async def run():
            table = PickyTable()
            table.refused_rows = {OTHER_POOL}
            owner = Owner(table)
            workers = make_worker("w1"), make_worker("v1", pool=OTHER_POOL)
            for _ in range(2):
                assert not await owner.store(*workers)
            assert owner.find_enrolled() == {"w1"}
            table.refused_rows = set()
            assert await owner.store(*workers)
            assert owner.find_enrolled() == {"w1", "v1"}

        asyncio.run(run())

    # Guards against a further new worker that waits for the refused row again.
    def test_later_workers_of_other_pools_are_enrolled_beside_it(self):
        async def run():
            table = PickyTable()
            table.refused_rows = {OTHER_POOL}
            owner = Owner(table)
            workers = [make_worker("v1", pool=OTHER_POOL)]
            for number in range(5):
                workers.append(make_worker(f"w{number}"))
                for _ in range(2):
                    await owner.store(*workers)
                assert f"w{number}" in owner.find_enrolled()

        asyncio.run(run())

    # Guards against a new worker without tasks because its entry is one that no row can
    # hold, and against others that wait for it.
    def test_an_entry_that_no_row_can_hold_is_left_out(self, caplog):
        async def run():
            owner = Owner(PickyTable())
            large = make_worker("w2", labels=("x" * 2_000,))
            for _ in range(2):
                assert await owner.store(make_worker("w1"), large)
            assert owner.find_enrolled() == {"w1"}

        asyncio.run(run())
        events = [record.getMessage() for record in caplog.records]
        assert events.count("worker not enrolled") == 1

    # Guards against a successor that doesn't know of a worker which may run tasks.
    def test_a_stored_worker_whose_entry_grows_stays_stored(self):
        async def run():
            owner = Owner(PickyTable())
            await owner.store(make_worker("w1"))
            await owner.store(make_worker("w1", labels=("x" * 2_000,)))
            await owner.store(
                make_worker("w1", labels=("x" * 2_000,)), make_worker("w2")
            )
            assert read_pools(owner.table) == {"w1": POOL, "w2": POOL}

        asyncio.run(run())


class TestLateAnswers:
    # Guards against workers that are never enrolled because the answer to each commit
    # comes too late.
    def test_workers_are_enrolled_though_no_commit_is_answered(self):
        async def run():
            owner = Owner(AsyncLateTable())
            owner.table.loses_answers = True
            assert await owner.store(make_worker("w1"))
            assert await owner.store(make_worker("w1"), make_worker("w2"))
            assert owner.find_enrolled() == {"w1", "w2"}
            assert owner.table.n_commits == 2

        asyncio.run(run())

    # Guards against workers that wait while the store answers neither commits nor
    # conflicts in time, which a read tells.
    def test_a_read_tells_which_workers_are_stored(self):
        async def run():
            owner = Owner(AsyncLateTable())
            owner.table.late.n_held = 2
            assert not await owner.store(make_worker("w1"))
            assert owner.find_enrolled() == set()
            owner.table.late.carry_out_held()
            assert await owner.store(make_worker("w1"))
            assert owner.find_enrolled() == {"w1"}

        asyncio.run(run())

    # Guards against workers that wait for the answer to a commit which was carried out
    # at once.
    def test_an_answer_that_comes_late_is_not_waited_for(self):
        async def run():
            owner = Owner(AsyncLateTable())
            owner.table.answer_seconds = 20 * LOOK_SECONDS
            started_at = time.monotonic()
            assert await owner.store(make_worker("w1"))
            assert time.monotonic() - started_at < 10 * LOOK_SECONDS
            assert owner.find_enrolled() == {"w1"}
            owner.table.answer_seconds = 0.0
            assert await owner.store(make_worker("w1"), make_worker("w2"))
            assert owner.table.n_commits == 2

        asyncio.run(run())

    # Guards against workers that wait for a slow read after the answer to their commit.
    def test_a_read_delays_no_answer(self):
        async def run():
            owner = Owner(AsyncLateTable())
            owner.table.answer_seconds = 2 * LOOK_SECONDS
            owner.table.read_seconds = 20 * LOOK_SECONDS
            started_at = time.monotonic()
            assert await owner.store(make_worker("w1"))
            assert time.monotonic() - started_at < 10 * LOOK_SECONDS

        asyncio.run(run())

    # Guards against a worker that may run tasks while a late write takes it out of the
    # roster that a successor reads.
    def test_an_unchanged_row_is_not_taken_for_certain(self):
        async def run():
            owner = Owner(AsyncLateTable())
            await owner.store(make_worker("w1"), make_worker("w2"))
            owner.table.late.n_held = 1
            assert not await owner.store(make_worker("w1"))
            owner.list_workers(make_worker("w1"), make_worker("w2"))
            owner.roster._enroll()
            assert owner.find_enrolled() == {"w1"}

        asyncio.run(run())

    # Guards against workers that wait until the list of workers is read again, which
    # may take long, after a commit that failed.
    def test_a_commit_is_tried_again_without_another_list(self):
        async def run():
            owner = Owner(AsyncLateTable())
            owner.table.late.n_held = 1
            owner.list_workers(make_worker("w1"))
            loop = asyncio.ensure_future(owner.roster.run())
            owner.roster.check_soon()
            await asyncio.sleep(3 * RETRY_SECONDS)
            loop.cancel()
            assert owner.find_enrolled() == {"w1"}

        asyncio.run(run())


class TestLargePool:
    def make_workers(self, n_workers):
        return [make_worker(f"w{number}") for number in range(n_workers)]

    # Guards against a change of one worker that writes the rows of all.
    def test_a_change_writes_one_row(self):
        async def run():
            owner = Owner(PickyTable())
            workers = self.make_workers(4 * MAX_WORKERS_PER_ROW)
            await owner.store(*workers)
            assert owner.table.n_written == [4]
            await owner.store(*workers, make_worker("new"))
            await owner.store(*workers[1:], make_worker("new"))
            assert owner.table.n_written == [4, 1, 1]
            assert len(read_pools(owner.table)) == len(workers)

        asyncio.run(run())

    # Guards against a transaction that is larger than the store accepts.
    def test_many_rows_are_written_in_several_transactions(self):
        async def run():
            owner = Owner(PickyTable())
            workers = self.make_workers(25 * MAX_WORKERS_PER_ROW)
            assert await owner.store(*workers)
            assert owner.table.n_written == [10, 10, 5]
            assert owner.find_enrolled() == set(read_pools(owner.table))

        asyncio.run(run())

    # Guards against a successor that takes a further row for another pool.
    def test_a_successor_goes_on_with_the_rows(self):
        async def run():
            table = PickyTable()
            workers = self.make_workers(2 * MAX_WORKERS_PER_ROW)
            await Owner(table).store(*workers)
            successor = Owner(table)
            for row in table.memory.scan(ROSTER_TABLE).rows:
                for worker in successor.roster.restore(row):
                    successor.worker_by_id[worker.worker_id] = worker
            table.n_written.clear()
            assert await successor.store(*workers)
            assert table.n_written == []
            assert await successor.store(*workers, make_worker("new"))
            assert table.n_written == [1]

        asyncio.run(run())


class TestChangedPool:
    # Guards against a moment in which the roster names a worker in no pool.
    @pytest.mark.parametrize("is_split", [False, True])
    def test_both_rows_are_written_together(self, is_split):
        async def run():
            owner = Owner(PickyTable())
            await owner.store(make_worker("w1"), make_worker("w2", pool=OTHER_POOL))
            owner.roster._is_split = is_split
            owner.table.n_written.clear()
            moved = make_worker("w1", pool=OTHER_POOL)
            await owner.store(moved, make_worker("w2", pool=OTHER_POOL))
            assert owner.table.n_written == [2]
            assert read_pools(owner.table) == {"w1": OTHER_POOL, "w2": OTHER_POOL}

        asyncio.run(run())


class TestRosterRows:
    # Guards against workers of two pools in a row of one name.
    def test_a_pool_with_the_name_of_a_further_row_has_rows_of_its_own(self):
        rows = RosterRows()
        for number in range(MAX_WORKERS_PER_ROW + 1):
            rows.place(f"w{number}", "a")
        assert rows.place("v1", "a#1") == "a#1#1"
        assert rows.pool_by_row == {"a": "a", "a#1": "a", "a#1#1": "a#1"}

    def test_a_free_place_is_taken_again(self):
        rows = RosterRows()
        for number in range(MAX_WORKERS_PER_ROW):
            rows.place(f"w{number}", "a")
        rows.release("w3")
        assert rows.place("new", "a") == "a"

    def test_rows_that_exchange_workers_form_one_group(self):
        changed = {"a": {"w1": {}}, "b": {"w2": {}}, "c": {"w3": {}}, "d": {}}
        rows_by_id = {"w1": {"b"}, "w2": {"b", "c"}, "w3": {"c"}, "w4": {"d"}}
        groups = group_linked(changed, rows_by_id)
        assert sorted(map(sorted, groups)) == [["a", "b", "c"], ["d"]]


class TestUncertainRows:
    # Guards against a successor that waits for a worker in the pool that it has left: a
    # write to that pool's row had no answer, and was carried out later.
    def test_a_worker_waits_until_no_other_row_may_name_it(self):
        async def run():
            owner = Owner(PickyTable())
            table = owner.table
            await owner.store(make_worker("w1", pool=OTHER_POOL))
            table.late.n_held = 1
            await owner.store(make_worker("w1"))
            table.refused_rows = {OTHER_POOL}
            await owner.store()
            table.late.carry_out_held()
            table.refused_rows = set()
            table.loses_answers = True
            await owner.store(make_worker("w1", pool=OTHER_POOL))
            check_enrolled(owner)

        asyncio.run(run())


FAULTS = st.sampled_from(["none", "none", "lost", "held", "refused"])

LISTS = st.dictionaries(
    st.sampled_from(["w1", "w2", "w3", "w4"]), st.sampled_from([POOL, OTHER_POOL])
)


class TestRandomHistories:
    # Guards against a worker that may run tasks while a successor doesn't know of it,
    # or waits for it in another pool, and against workers that are never enrolled.
    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.tuples(LISTS, FAULTS, st.booleans()), max_size=12))
    def test_a_successor_knows_each_enrolled_worker(self, history):
        asyncio.run(self._play(history))

    async def _play(self, history):
        owner = Owner(PickyTable())
        table = owner.table
        for pool_by_id, fault, is_carried_out in history:
            table.loses_answers = fault == "lost"
            table.late.n_held = 1 if fault == "held" else 0
            table.refused_rows = {OTHER_POOL} if fault == "refused" else set()
            await owner.store(*(make_worker(i, pool=p) for i, p in pool_by_id.items()))
            check_enrolled(owner)
            if is_carried_out:
                table.late.carry_out_held()
                check_enrolled(owner)
        table.loses_answers = False
        table.late.n_held = 0
        table.refused_rows = set()
        workers = [make_worker(worker_id) for worker_id in ("w1", "w5")]
        assert await owner.store(*workers)
        assert owner.find_enrolled() == {"w1", "w5"}
        check_enrolled(owner)


def test_the_first_row_of_a_pool_has_its_name():
    """Guards against daemons of earlier versions that read rows by the pool's name."""
    assert roster_key(RosterRows().place("w1", POOL)).key == POOL


class TestRestartedWorkers:
    """A worker that has started again under its id.

    Calls for its former incarnation may reach the next one, which grants its longest
    lease.
    """

    def restart(self, table):
        """Return an owner that has stored a worker and then reads of its restart."""

        async def run():
            owner = Owner(table)
            await owner.store(make_worker("w1", started_at=1.0))
            owner.list_workers(make_worker("w1", started_at=2.0))
            return owner

        return asyncio.run(run())

    def restore(self, table, called_until=100.0):
        """Return the worker as a successor reads it.

        Args:
            table: the table.
            called_until: clock time after which the former owner calls no worker.
        """
        roster = RosterStore(make_session(AsyncLateTable()), called_until)
        (row,) = table.memory.scan(ROSTER_TABLE).rows
        (worker,) = roster.restore(row)
        return worker

    def test_it_gets_no_tasks_before_the_row_names_its_incarnation(self):
        """Guards against tasks of which a successor doesn't know how long they run."""
        table = AsyncLateTable()
        owner = self.restart(table)
        assert owner.find_enrolled() == set()
        assert asyncio.run(owner.roster.store())
        assert owner.find_enrolled() == {"w1"}

    def test_a_successor_counts_on_calls_for_the_former_incarnation(self):
        """Guards against a second run by a successor that sees no restart itself."""
        table = AsyncLateTable()
        asyncio.run(self.restart(table).roster.store())
        longest = bound_lease(LEASE_SECONDS)
        assert self.restore(table).runs_end_by == 100.0 + ORDER_DELAY_SECONDS + longest

    # Guards against a VM that was down before the former owner's last calls: its worker
    # has started again since and has taken them.
    @pytest.mark.parametrize(("ended_at", "is_over"), [(99.0, False), (101.0, True)])
    def test_a_list_of_vms_ends_them_only_by_data_after_the_last_calls(
        self, ended_at, is_over
    ):
        table = AsyncLateTable()
        asyncio.run(self.restart(table).roster.store())
        worker = self.restore(table)
        worker.former_leases.note_ended(ended_at)
        assert (worker.runs_end_by == 0.0) is is_over

    def test_a_successor_recognizes_a_restart_that_is_not_stored(self):
        """Guards against a restart that only the list of workers shows."""
        table = AsyncLateTable()
        self.restart(table)
        worker = self.restore(table)
        assert worker.runs_end_by == 0.0
        worker.note_incarnation(2.0, 101.0, LEASE_SECONDS)
        longest = bound_lease(LEASE_SECONDS)
        assert worker.runs_end_by == 100.0 + ORDER_DELAY_SECONDS + longest

    def test_a_successor_does_not_wait_longer_once_those_leases_are_over(self):
        """Guards against long waits for all workers that have ever restarted."""
        table = AsyncLateTable()
        owner = self.restart(table)
        owner.worker_by_id["w1"].former_leases.limit(float("-inf"))
        assert asyncio.run(owner.roster.store())
        assert owner.find_enrolled() == {"w1"}
        worker = self.restore(table)
        worker.note_incarnation(2.0, 101.0, LEASE_SECONDS)
        assert worker.runs_end_by == 0.0

    def test_an_entry_of_an_earlier_version_counts_as_one_with_such_leases(self):
        """Guards against a second run after an upgrade."""
        table = AsyncLateTable()
        asyncio.run(self.restart(table).roster.store())
        (row,) = table.memory.scan(ROSTER_TABLE).rows
        for field in ("started_at", "has_former_leases"):
            del row.value["workers"]["w1"][field]
        (worker,) = RosterStore(make_session(AsyncLateTable()), 100.0).restore(row)
        assert worker.runs_end_by > 100.0 + ORDER_DELAY_SECONDS
