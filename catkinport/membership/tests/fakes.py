"""Fakes and helpers for the tests of membership."""

import threading
import time
from collections.abc import Callable

from ...ports import Reason, Unavailable
from ...runtime import BootTimeClock
from ...settings.environment import Environment, Maintenance
from ...standins import MemoryTable
from ..service import RunningMembership, start_membership
from ..settings import MembershipSettings

CLUSTER_KEY = b"cluster key of the tests"
DOWN = Unavailable(Reason.STORE_UNAVAILABLE, "table-read")
LOST = Unavailable(Reason.CONNECTION_LOST, "table-commit", may_have_committed=True)


class FaultyTable:
    """A member's connection to a shared table, with faults that a test switches on.

    Calls block while ``unblocked`` is cleared, fail while ``is_down`` is set, and the
    answers of the next ``n_lost_answers`` commits are lost after they took effect.
    """

    def __init__(self, table: MemoryTable) -> None:
        self._table = table
        self.is_down = False
        self.n_lost_answers = 0
        self.unblocked = threading.Event()
        self.unblocked.set()

    def read(self, row_keys):
        self.unblocked.wait()
        return DOWN if self.is_down else self._table.read(row_keys)

    def commit(self, transaction):
        self.unblocked.wait()
        if self.is_down:
            return DOWN
        outcome = self._table.commit(transaction)
        if self.n_lost_answers > 0:
            self.n_lost_answers -= 1
            return LOST
        return outcome


def parse(document: str) -> Environment:
    """Return an empty environment, or reject the document ``bad``."""
    if document == "bad":
        raise ValueError("bad document")
    return Environment({}, {}, {}, {}, {}, {}, {}, Maintenance(56.0, 60.0, 60.0))


def start_member(table, cluster_key=CLUSTER_KEY, **timing) -> RunningMembership:
    """Start a member on a free port."""
    settings = MembershipSettings(
        "entry", "zone-a", "127.0.0.1", 0, "127.0.0.1:1", cluster_key
    )
    settings = settings._replace(timing=settings.timing._replace(**timing))
    return start_membership(settings, table, BootTimeClock(), parse)


def wait_for(condition: Callable[[], bool], seconds: float = 20.0) -> None:
    """Wait until ``condition`` holds; fail the test after ``seconds``."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "condition did not come true"
        time.sleep(0.01)
