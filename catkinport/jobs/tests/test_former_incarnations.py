"""Histories of calls for a former incarnation that reach the next one.

A worker that starts again under its id has a clock, counts of ends and a highest
fencing token that begin anew. Until an answer or the list of workers shows the restart,
its owner goes on with those of the former incarnation.
"""

import pytest

from ...ports.fleet_workers import EndKind
from .rival_fleet import RivalFleet

CYCLE_SECONDS = 0.5


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
