"""Tests of workers that list their ended runs in several answers."""

from ...ports.fleet_workers import EndedTask, EndKind, WorkerLists
from ..workers.run import RunKey
from ..workers.worker_state import FRESH_CONTACT_SECONDS, MAX_LEASE_SECONDS
from .builders import JOB_ID, POOL, Fleet, make_job, make_step, make_worker

N_TASKS = 3


def make_fleet(is_inherited: bool = False) -> Fleet:
    """Return a fleet with one worker and a job of several tasks."""
    fleet = Fleet([make_worker()])
    job = make_job(steps=[make_step(N_TASKS)])
    fleet.dispatcher.add_job(job, fleet.now, is_inherited)
    if is_inherited:
        fleet.dispatcher.unresolved_by_id["w1"] = POOL
    return fleet


def list_ends(fleet: Fleet, first: int, n_ends: int, may_lack_ends: bool) -> None:
    """Let the worker list ends from number ``first`` on, and no run at work."""
    keys = [RunKey(f"{JOB_ID}.0.0.{number}", 1) for number in range(N_TASKS)]
    ended = [
        EndedTask(number, *keys[number - 1], EndKind.DONE, "")
        for number in range(first, first + n_ends)
    ]
    fleet.advance(0.1)
    fleet.dispatcher.worker_by_id["w1"].extend_lease(fleet.now)
    lists = WorkerLists(1.0, [], ended, may_lack_ends)
    fleet.dispatcher.on_worker_report("w1", lists, fleet.now, fleet.now)


class TestOwnRuns:
    def test_task_whose_end_is_listed_later_does_not_start_again(self):
        """Guards against a second start of done tasks after many ends at once.

        Its end did not fit into the answer that lists the others.
        """
        fleet = make_fleet()
        assert len(fleet.start()) == N_TASKS
        fleet.poll("w1")
        list_ends(fleet, 1, 2, may_lack_ends=True)
        assert fleet.plan() == []
        list_ends(fleet, 3, 1, may_lack_ends=False)
        assert fleet.states() == {JOB_ID: "completed"}

    def test_run_that_is_in_no_list_is_given_up_with_the_last_answer(self):
        """Guards against a task that waits for good for a run that never began."""
        fleet = make_fleet()
        assert len(fleet.start()) == N_TASKS
        fleet.poll("w1")
        list_ends(fleet, 1, 2, may_lack_ends=True)
        list_ends(fleet, 3, 0, may_lack_ends=False)
        (start,) = fleet.plan()
        assert start.run.key == (f"{JOB_ID}.0.0.2", 2)


class TestRunsOfAFormerOwner:
    def test_no_task_starts_before_all_ends_are_listed(self):
        """Guards against a second start of done tasks after a change of owner.

        The former owner was killed before it took note of more ends than fit into one
        answer.
        """
        fleet = make_fleet(is_inherited=True)
        list_ends(fleet, 1, 2, may_lack_ends=True)
        assert fleet.plan() == []
        list_ends(fleet, 3, 1, may_lack_ends=False)
        assert fleet.dispatcher.is_pool_resolved(POOL)
        assert fleet.states() == {JOB_ID: "completed"}

    def test_end_of_the_former_leases_does_not_replace_the_other_ends(self):
        """Guards against such starts while the store holds up the second answer.

        The worker has a lease of this owner, and lists the other ends once the first
        ones are stored.
        """
        fleet = make_fleet(is_inherited=True)
        for _ in range(60):
            list_ends(fleet, 1, 2, may_lack_ends=True)
            fleet.dispatcher.resolve_inherited_workers(fleet.now)
        assert not fleet.dispatcher.is_pool_resolved(POOL)
        assert fleet.plan() == []

    def test_a_worker_that_falls_silent_is_resolved_after_its_lease(self):
        """Guards against a pool that waits for good for a worker that has gone."""
        fleet = make_fleet(is_inherited=True)
        list_ends(fleet, 1, 2, may_lack_ends=True)
        fleet.advance(FRESH_CONTACT_SECONDS + 0.1)
        fleet.dispatcher.resolve_inherited_workers(fleet.now)
        assert not fleet.dispatcher.is_pool_resolved(POOL)
        fleet.advance(MAX_LEASE_SECONDS)
        fleet.dispatcher.resolve_inherited_workers(fleet.now)
        assert fleet.dispatcher.is_pool_resolved(POOL)
