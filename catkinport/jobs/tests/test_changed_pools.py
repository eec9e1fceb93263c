"""Tests of queues whose pool a configuration changes."""

from ..configuration import AcceptedRules
from ..placement.account_usage import usage_by_account
from .builders import (
    ACCOUNT,
    JOB_ID,
    NEED,
    POOL,
    QUEUE,
    Fleet,
    make_configuration,
    make_job,
    make_worker,
)

OTHER_POOL = "off"


def make_closing_fleet() -> Fleet:
    """Return a fleet with a canceled job that a former owner may have started."""
    fleet = Fleet([])
    fleet.dispatcher.unresolved_by_id["w1"] = POOL
    fleet.dispatcher.add_job(make_job(), fleet.now, is_inherited=True)
    fleet.dispatcher.cancel_job(JOB_ID)
    assert fleet.states() == {JOB_ID: "queued"}
    return fleet


def move_queue(fleet: Fleet, pool: str) -> None:
    """Apply a configuration that sends the queue to another pool."""
    configuration = make_configuration(version=2)
    queue = configuration.queue_by_name[QUEUE]._replace(pool=pool)
    fleet.dispatcher.apply_configuration(
        configuration._replace(queue_by_name={QUEUE: queue})
    )


class TestClosingJobs:
    # Guards against a canceled job that is never shown as canceled, because its queue
    # has got another pool before the workers of the former one were reached.
    def test_a_job_ends_once_the_workers_of_its_former_pool_are_reached(self):
        fleet = make_closing_fleet()
        move_queue(fleet, OTHER_POOL)
        fleet.dispatcher.resolve_inherited_workers(fleet.now)
        assert fleet.states() == {JOB_ID: "canceled"}

    # Guards against an end while workers that may run tasks of the job are not reached.
    def test_a_job_goes_on_while_workers_of_its_pool_are_not_reached(self):
        fleet = make_closing_fleet()
        fleet.dispatcher.unresolved_by_id["w2"] = OTHER_POOL
        fleet.dispatcher.unresolved_by_id["w3"] = POOL
        for worker_id in ("w2", "w1"):
            fleet.dispatcher._inherited.resolve(worker_id, "reached", fleet.now)
            assert fleet.states() == {JOB_ID: "queued"}


class TestInheritedTasks:
    """Guards against tasks that run twice after a change of owner.

    The first run goes on, on a worker of the queue's former pool that the new owner has
    not reached, while a worker of the present pool would be free.
    """

    def make_fleet(self, pool_of_unreached: str, version: int = 1) -> Fleet:
        """Return a fleet with an inherited job that was accepted under ``version``."""
        fleet = Fleet([make_worker("w1", pool=POOL)])
        fleet.dispatcher.unresolved_by_id["w2"] = pool_of_unreached
        queue = fleet.dispatcher.configuration.queue_by_name[QUEUE]
        rules = AcceptedRules(queue._replace(pool=POOL), version)
        fleet.dispatcher.add_job(make_job(), fleet.now, is_inherited=True, rules=rules)
        return fleet

    def test_they_wait_for_the_pool_under_which_the_job_was_accepted(self):
        fleet = self.make_fleet(POOL)
        move_queue(fleet, OTHER_POOL)
        fleet.workers.append(make_worker("w3", pool=OTHER_POOL))
        fleet.running_by_worker["w3"] = {}
        fleet.ended_by_worker["w3"] = []
        fleet.list_workers()
        fleet.dispatcher.note_stored_queues({QUEUE: OTHER_POOL})
        assert fleet.plan() == []
        fleet.dispatcher._inherited.resolve("w2", "reached", fleet.now)
        (start,) = fleet.plan()
        assert start.worker.worker_id == "w3"

    def test_they_wait_for_a_pool_that_the_queue_had_in_between(self):
        fleet = self.make_fleet(OTHER_POOL)
        fleet.dispatcher.restore_former_pools(QUEUE, {OTHER_POOL: 1})
        assert fleet.plan() == []
        fleet.dispatcher._inherited.resolve("w2", "reached", fleet.now)
        assert len(fleet.plan()) == 1

    def test_they_wait_for_the_pool_that_a_former_owner_knew(self):
        fleet = self.make_fleet(OTHER_POOL)
        queue = fleet.dispatcher.configuration.queue_by_name[QUEUE]
        fleet.dispatcher.restore_queue(queue._replace(pool=OTHER_POOL))
        assert fleet.plan() == []

    def test_they_do_not_wait_for_other_pools(self):
        """Guards against pools that stand still for workers of others."""
        fleet = self.make_fleet(OTHER_POOL)
        assert len(fleet.plan()) == 1

    def test_a_job_accepted_after_the_change_does_not_wait_for_the_former_pool(self):
        """Guards against pools that stand still for workers of others."""
        fleet = self.make_fleet(OTHER_POOL, version=2)
        fleet.dispatcher.restore_former_pools(QUEUE, {OTHER_POOL: 1})
        assert len(fleet.plan()) == 1

    def test_they_count_towards_the_limit_of_their_account(self):
        """Guards against an account that runs more than its limit."""
        fleet = self.make_fleet(POOL)
        move_queue(fleet, OTHER_POOL)
        assert usage_by_account(fleet.dispatcher)[ACCOUNT] == NEED

    def test_a_job_without_a_known_queue_ends_after_all_workers_are_reached(self):
        """Guards against the end of a canceled job whose tasks may still run."""
        fleet = Fleet([])
        fleet.dispatcher.unresolved_by_id["w1"] = POOL
        job = make_job()._replace(queue="unknown")
        fleet.dispatcher.add_job(job, fleet.now, is_inherited=True)
        fleet.dispatcher.cancel_job(JOB_ID)
        assert fleet.states() == {JOB_ID: "queued"}
        fleet.dispatcher.resolve_inherited_workers(fleet.now)
        assert fleet.states() == {JOB_ID: "canceled"}


class TestFormerPools:
    def test_they_are_kept_while_a_job_may_have_runs_there(self):
        """Guards against a second change of owner that forgets a former pool."""
        fleet = Fleet([])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        move_queue(fleet, OTHER_POOL)
        assert fleet.dispatcher.find_former_pools(QUEUE) == {POOL: 2}

    def test_they_are_forgotten_with_the_last_job_that_may_have_runs_there(self):
        """Guards against jobs that wait for a pool that their queue had long ago."""
        fleet = Fleet([])
        move_queue(fleet, OTHER_POOL)
        queue = fleet.dispatcher.configuration.queue_by_name[QUEUE]
        fleet.dispatcher.add_job(make_job(), fleet.now, rules=AcceptedRules(queue, 3))
        assert fleet.dispatcher.find_former_pools(QUEUE) == {}
