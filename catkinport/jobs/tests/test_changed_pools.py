"""Tests of queues whose pool a configuration changes."""

from .builders import JOB_ID, POOL, QUEUE, Fleet, make_configuration, make_job

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
