"""Histories of calls for a former incarnation that reach the next one.

A worker that starts again under its id has a clock, counts of ends and a highest
fencing token that begin anew. Until an answer or the list of workers shows the restart,
its owner goes on with those of the former incarnation.
"""

import pytest

from ...ports.fleet_workers import EndKind
from ..workers.worker_state import UNCERTAIN_WORKER_PAUSE_SECONDS
from .rival_fleet import RivalFleet
from .simulated_store import StoreLink

CYCLE_SECONDS = 0.5
N_LEASE_CYCLES = 64
"""Cycles in 32 s, after which no lease can be in force: an owner that was replaced may
call for 6 s, calls are late by 12 s at most, and the longest lease is 10 s."""


@pytest.fixture
def fleet():
    fleet = RivalFleet(("w0",))
    yield fleet
    fleet.close()


class TestAcknowledgedEnds:
    """The owner has stored end 1 of the former incarnation and not acknowledged it."""

    def test_no_end_is_acknowledged_after_a_poll_without_an_answer(self, fleet):
        """Guards against a task that starts again after an end that nobody has read.

        The poll that was under way at the restart has failed, and the next one repeated
        its number, which the new incarnation took for one of its own.
        """
        owner = begin_with_stored_end(fleet)
        fleet.restart_unnoticed("w0", is_listed=False)
        start_task(fleet, owner)
        fleet.end_a_run("w0", EndKind.DONE)
        owner.workers.delivery_by_call = {"hold": "lost"}
        owner.poll_worker("w0")
        owner.workers.delivery_by_call = {}
        fleet.run_all(CYCLE_SECONDS, 2)
        assert not fleet.violations

    def test_no_end_is_acknowledged_beside_a_poll_that_is_under_way(self, fleet):
        """Guards against an unread end that is forgotten after an unanswered start.

        The owner polls the worker at once then, while the poll that was under way at
        the restart has not failed yet.
        """
        owner = begin_with_stored_end(fleet)
        fleet.restart_unnoticed("w0", is_listed=False)
        start_task(fleet, owner)
        fleet.end_a_run("w0", EndKind.DONE)
        owner.workers.delivery_by_call = {"start": "no answer"}
        start_task(fleet, owner)
        owner.workers.delivery_by_call = {}
        fleet.run_all(CYCLE_SECONDS, 2)
        assert not fleet.violations


class TestAcknowledgmentWithoutASign:
    """A poll that acknowledges end 1 is the next poll that reaches the worker."""

    def test_an_end_that_was_not_read_is_not_forgotten(self, fleet):
        """Guards against a task that starts again after an unread end.

        Only the answer to the start shows the restart, by a clock that begins anew.
        """
        owner = begin_with_stored_end(fleet)
        owner.workers.compares_clocks = True
        fleet.restart_unnoticed("w0", is_listed=False)
        start_task(fleet, owner)
        fleet.end_a_run("w0", EndKind.DONE)
        fleet.run_all(CYCLE_SECONDS, 2)
        assert not fleet.violations

    def test_a_later_end_is_not_hidden(self, fleet):
        """Guards against a task that starts again after an end that was never listed.

        Nothing has shown the restart before the poll. Its number is above all ends of
        the worker, which may count it for the ends to come.
        """
        fleet.binds_calls = True
        owner = begin_with_stored_end(fleet)
        owner.workers.compares_clocks = True
        fleet.restart_unnoticed("w0", is_listed=False)
        owner.poll_workers()
        fleet.list_incarnation("w0")
        fleet.submit(1)
        fleet.run_all(CYCLE_SECONDS, 3)
        assert fleet.worker_by_id["w0"].running
        fleet.end_a_run("w0", EndKind.DONE)
        fleet.run_all(CYCLE_SECONDS, 2)
        assert not fleet.violations


class TestLeaseOnTheFormerClock:
    """A start with a lease on the former clock, which the new incarnation grants.

    That time is far ahead on the new clock, so the task may run for the longest lease.
    """

    @pytest.mark.parametrize("start", ["answered", "no answer"])
    def test_the_owner_counts_on_the_longest_lease_once_the_list_shows_it(
        self, fleet, start
    ):
        """Guards against a second run while the worker is cut off and runs the first.

        The worker was cut off before its first answer after the restart.
        """
        owner = begin(fleet)
        fleet.restart_unnoticed("w0", is_listed=False)
        owner.workers.delivery_by_call = {"start": start, "hold": "lost"}
        start_task(fleet, owner)
        owner.workers.delivery_by_call = {}
        assert fleet.worker_by_id["w0"].running
        fleet.list_incarnation("w0")
        fleet.join("w1")
        owner.workers.cut_off(["w0"])
        check_task_moves_on(fleet)

    @pytest.mark.parametrize("end", ["killed", "released"])
    @pytest.mark.parametrize("is_listed_late", [False, True])
    def test_a_successor_counts_on_it_by_the_list_of_workers(
        self, fleet, end, is_listed_late
    ):
        """Guards against a second run by a successor that doesn't reach the worker.

        The former owner has ended and has not noticed the restart. The list of workers
        shows it, perhaps only a second after the change of the owner.
        """
        owner = begin(fleet)
        fleet.restart_unnoticed("w0", is_listed=False)
        start_task(fleet, owner)
        assert fleet.worker_by_id["w0"].running
        fleet.join("w1")
        if not is_listed_late:
            fleet.list_incarnation("w0")
        change_owner(fleet, end)
        fleet.run_all(CYCLE_SECONDS, 2)
        fleet.list_incarnation("w0")
        check_task_moves_on(fleet)

    @pytest.mark.parametrize("end", ["killed", "released"])
    def test_a_successor_counts_on_it_after_a_report_to_the_former_owner(
        self, fleet, end
    ):
        """Guards against a second run by a successor that sees no restart itself.

        The former owner knew of the restart, and had enrolled the new incarnation.
        """
        owner = begin(fleet)
        fleet.restart_unnoticed("w0", is_listed=False)
        start_task(fleet, owner)
        assert fleet.worker_by_id["w0"].running
        fleet.list_incarnation("w0")
        owner.run_cycle()
        owner.run_cycle()
        fleet.join("w1")
        change_owner(fleet, end)
        check_task_moves_on(fleet)


class TestCallThatWasKeptBack:
    """The sign of the restart is a call that was not sent to the new incarnation.

    The owner has not read a list of the new incarnation when the worker is cut off. A
    start for the former one is then carried out late.
    """

    @pytest.mark.parametrize("call", ["poll", "start"])
    def test_the_owner_counts_on_the_longest_lease(self, fleet, call):
        """Guards against a second run while the worker is cut off and runs the first.

        A poll that the new incarnation answers tells the owner of the restart. One that
        is not sent told it nothing but that there was no answer.
        """
        owner = begin_with_late_start(fleet)
        keep_back(fleet, owner, call)
        owner.workers.cut_off(["w0"])
        fleet.carry_out_late_call(reaches_later_incarnation=True)
        assert fleet.worker_by_id["w0"].running
        check_task_moves_on(fleet)

    @pytest.mark.parametrize("call", ["poll", "start"])
    def test_a_successor_counts_on_it(self, fleet, call):
        """Guards against a second run by a successor that doesn't reach the worker.

        The roster has to tell it that leases of calls for a former incarnation may be
        in force.
        """
        owner = begin_with_late_start(fleet)
        keep_back(fleet, owner, call)
        owner.learn_jobs()
        owner.workers.cut_off(["w0"])
        fleet.carry_out_late_call(reaches_later_incarnation=True)
        assert fleet.worker_by_id["w0"].running
        change_owner(fleet, "killed")
        check_task_moves_on(fleet)


class TestAcknowledgmentAfterAStartThatWasKeptBack:
    def test_no_end_of_the_former_incarnation_is_acknowledged(self, fleet):
        """Guards against a task that starts again after an end that was never listed.

        The start has shown the restart, and the client doesn't hold back the next poll,
        as it knows no incarnation any more.
        """
        fleet.binds_calls = True
        owner = begin_with_stored_end(fleet)
        fleet.restart_unnoticed("w0", is_listed=False)
        start_task(fleet, owner)
        owner.poll_workers()
        fleet.list_incarnation("w0")
        fleet.run_all(CYCLE_SECONDS, 3)
        assert fleet.worker_by_id["w0"].running
        fleet.end_a_run("w0", EndKind.DONE)
        fleet.run_all(CYCLE_SECONDS, 2)
        assert not fleet.violations


class TestStartBeforeAnEarlierAnswer:
    def test_a_run_that_was_confirmed_after_the_poll_is_kept(self, fleet):
        """Guards against a second run of a task that the new incarnation has started.

        It had written its first answer before that start, and the answer arrived after
        the confirmation of the start.
        """
        owner = begin(fleet)
        fleet.submit(1)
        owner.learn_jobs()
        fleet.restart_unnoticed("w0", is_listed=False)
        owner.plan_before_answer("w0", 0.1)
        assert fleet.worker_by_id["w0"].running
        fleet.join("w1")
        owner.workers.cut_off(["w0"])
        check_task_moves_on(fleet)


class TestOwnerInDoubt:
    def test_a_former_owner_starts_nothing_on_a_worker_without_the_later_token(
        self, fleet
    ):
        """Guards against a second run by a former owner that sees no restart.

        The successor has reached both workers, w0 has restarted and forgotten its
        token, and the successor has started the task elsewhere.
        """
        fleet.binds_calls = True
        fleet.join("w1")
        fleet.submit(5)
        former = begin(fleet)
        former.store.link = StoreLink.CUT
        former.is_paused = True
        assert fleet.claim("d1")
        fleet.end_a_run("w0", EndKind.FAILED)
        former.poll_workers()
        fleet.end_a_run("w1", EndKind.FAILED)
        successor = fleet.owner_by_name["d1"]
        successor.load()
        successor.learn_jobs()
        successor.poll_workers()
        fleet.restart_unnoticed("w0", is_listed=False)
        successor.workers.cut_off(["w0"])
        fleet.run_cycle("d1")
        former.plan()
        assert not fleet.violations


def begin(fleet):
    """Let d0 own the fleet; return the owner."""
    fleet.claim("d0")
    fleet.run_all(CYCLE_SECONDS, 3)
    return fleet.owner_by_name["d0"]


def begin_with_stored_end(fleet):
    """Let d0 store an end of w0 that it has not acknowledged; return the owner."""
    owner = begin(fleet)
    start_task(fleet, owner)
    fleet.end_a_run("w0", EndKind.DONE)
    owner.poll_workers()
    return owner


def start_task(fleet, owner):
    """Submit a task, and let the owner plan before it polls a worker again."""
    fleet.submit(1)
    owner.learn_jobs()
    owner.plan()


def begin_with_late_start(fleet):
    """Let d0 send a start that w0 carries out only after a restart; return the owner.

    Calls that were made for a former incarnation are not sent to the next one.
    """
    fleet.binds_calls = True
    owner = begin(fleet)
    owner.workers.delivery_by_call = {"start": "late"}
    start_task(fleet, owner)
    owner.workers.delivery_by_call = {}
    fleet.join("w1")
    fleet.advance(UNCERTAIN_WORKER_PAUSE_SECONDS + 0.1)
    fleet.restart_unnoticed("w0", is_listed=False)
    return owner


def keep_back(fleet, owner, call):
    """Let the owner make a call to w0 that is not sent."""
    if call == "poll":
        owner.poll_worker("w0")
    else:
        owner.workers.delivery_by_call = {"stop": "lost"}
        start_task(fleet, owner)
        owner.workers.delivery_by_call = {}


def change_owner(fleet, end):
    """End d0, and let a successor claim at once that does not reach w0."""
    if end == "released":
        fleet.owner_by_name["d0"].release()
    fleet.restart_daemon("d0")
    name = "d0" if end == "killed" else "d1"
    assert fleet.claim(name)
    fleet.owner_by_name[name].workers.cut_off(["w0"])


def check_task_moves_on(fleet):
    """Check that the task runs on w1 in the end, and never on both workers."""
    fleet.run_all(CYCLE_SECONDS, N_LEASE_CYCLES)
    assert not fleet.violations
    assert fleet.worker_by_id["w1"].running
