"""Histories of former owners that still run beside the present one."""

import pytest

from ...ports.fleet_workers import EndKind
from .rival_fleet import RivalFleet
from .simulated_store import StoreLink


@pytest.fixture
def fleet():
    fleet = RivalFleet(("w0", "w1"))
    yield fleet
    fleet.close()


class TestFormerOwner:
    """A former owner whose renewals fail while a successor reaches one worker."""

    def test_a_job_that_was_stored_late_is_started_by_the_successor_only(self, fleet):
        """Guards against a start by both owners of a job accepted before the change.

        Its row was stored after the successor had read the jobs.
        """
        split_fleet(fleet, StoreLink.LATE)
        fleet.submit(1, delay_seconds=5.0)
        fleet.run_cycle("d1")
        fleet.run_cycle("d0")
        assert not fleet.violations

    def test_a_restarted_worker_gets_no_task_of_a_former_owner(self, fleet):
        """Guards against a worker that has forgotten the token of the successor.

        The successor had reached it before it restarted and started the task elsewhere.
        """
        fleet.submit(5)
        split_fleet(fleet, StoreLink.CUT)
        restart_and_move_on(fleet)
        fleet.run_cycle("d0")
        fleet.run_cycle("d0")
        assert not fleet.violations

    def test_a_worker_that_left_a_poll_unanswered_gets_no_task(self, fleet):
        """Guards against a task that runs twice before an answer shows the restart."""
        fleet.claim("d0")
        run_cycles(fleet, "d0", 2)
        owner = fleet.owner_by_name["d0"]
        fleet.submit(1)
        owner.learn_jobs()
        owner.store.link = StoreLink.CUT
        fleet.advance(1.0)
        crash_all(fleet)
        owner.poll_workers()
        restart_all(fleet)
        fleet.run_cycle("d0", plans_first=True)
        assert not any(worker.running for worker in fleet.worker_by_id.values())

    @pytest.mark.parametrize("end", ["released", "killed", "unanswered"])
    def test_a_successor_waits_for_an_owner_before_the_last(self, fleet, end):
        """Guards against a task that runs twice after two changes of the owner.

        The first owner goes on renewing the lease of w0. The second one ends before it
        has reached w0, or never begins because its claim has no answer.
        """
        fleet.submit(4)
        fleet.claim("d0")
        run_cycles(fleet, "d0", 2)
        fleet.owner_by_name["d0"].store.link = StoreLink.CUT
        fleet.owner_by_name["d0"].workers.cut_off(["w1"])
        claim_and_end(fleet, "d1", end)
        assert fleet.claim("d1")
        fleet.owner_by_name["d1"].workers.cut_off(["w0"])
        fleet.end_a_run("w1", EndKind.DONE)
        fleet.end_a_run("w1", EndKind.DONE)
        fleet.run_all(0.5, n_cycles=30)
        assert not fleet.violations
        assert len(fleet.worker_by_id["w1"].running) == 2

    def test_an_owner_in_doubt_does_not_count_unreached_workers_as_resolved(
        self, fleet
    ):
        """Guards against a start of a task that a successor has adopted.

        The first owner was killed. The second one can't reach w0, and its renewals are
        late. The third one reaches w0 and renews the lease there.
        """
        fleet.submit(1)
        fleet.claim("d0")
        run_cycles(fleet, "d0", 2)
        fleet.restart_daemon("d0")
        assert fleet.claim("d0")
        second = fleet.owner_by_name["d0"]
        second.workers.cut_off(["w0"])
        fleet.run_cycle("d0")
        second.store.link = StoreLink.LATE
        assert fleet.claim("d1")
        fleet.owner_by_name["d1"].workers.cut_off(["w1"])
        fleet.run_all(0.5, n_cycles=10)
        assert not fleet.violations
        assert fleet.worker_by_id["w0"].running

    def test_orders_of_former_owners_are_expected_until_the_claim(self, fleet):
        """Guards against an owner that trusts a list of VMs from before its claim."""
        fleet.advance(0.5)
        claimed_at = fleet.clock.now()
        fleet.claim("d0")
        workers = fleet.owner_by_name["d0"]._session.dispatcher._workers
        assert workers.former_orders_until >= claimed_at

    def test_tasks_go_on_while_the_store_is_down(self, fleet):
        """Guards against an owner in doubt that starts nothing at all."""
        fleet.claim("d0")
        fleet.submit(5)
        run_cycles(fleet, "d0", 2)
        fleet.owner_by_name["d0"].store.link = StoreLink.CUT
        for _ in range(3):
            fleet.advance(0.5)
            fleet.run_cycle("d0")
        fleet.end_a_run("w0", EndKind.DONE)
        run_cycles(fleet, "d0", 2)
        assert len(fleet.worker_by_id["w0"].running) == 2


def run_cycles(fleet, name, n):
    for _ in range(n):
        fleet.run_cycle(name)


def split_fleet(fleet, former_link):
    """Let d1 replace d0; both have reached all workers, then d0 reaches w0 only."""
    fleet.claim("d0")
    run_cycles(fleet, "d0", 3)
    former = fleet.owner_by_name["d0"]
    former.store.link = former_link
    assert fleet.claim("d1")
    former.workers.cut_off(["w1"])
    if former_link is StoreLink.CUT:
        fleet.run_cycle("d1")
    fleet.owner_by_name["d1"].workers.cut_off(["w0"])
    fleet.run_cycle("d1")


def claim_and_end(fleet, name, end):
    """Let a daemon claim and end before it has reached w0."""
    link = StoreLink.UNANSWERED if end == "unanswered" else StoreLink.SOUND
    if not fleet.claim(name, link):
        return
    owner = fleet.owner_by_name[name]
    owner.workers.cut_off(["w0"])
    fleet.run_cycle(name)
    if end == "released":
        owner.release()
    fleet.restart_daemon(name)


def restart_and_move_on(fleet):
    """Restart w0, and let d1 start the task that waits for room on w1."""
    fleet.crash("w0")
    fleet.restart("w0")
    fleet.end_a_run("w1", EndKind.DONE)
    fleet.run_cycle("d1")


def crash_all(fleet):
    for worker_id in fleet.worker_by_id:
        fleet.crash(worker_id)


def restart_all(fleet):
    for worker_id in fleet.worker_by_id:
        fleet.restart(worker_id)
