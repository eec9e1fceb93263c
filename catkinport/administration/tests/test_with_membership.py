"""Tests of the API with real members that share a table."""

import threading
import time

import pytest

from ...membership.service import start_membership
from ...membership.settings import MembershipSettings
from ...runtime import BootTimeClock, Metrics
from ...settings.document import parse_document
from ...settings.keys import Caller, check_key
from ...standins import MemoryTable
from .. import AdministrationContext, build_router
from .fakes import BOOTSTRAP, OPERATOR_DOCUMENT, SALTED_HASH, SECRET
from .test_api import Client

START_SECONDS = 30


class Member:
    """A real member with its administration API."""

    def __init__(self, table):
        clock = BootTimeClock()
        settings = MembershipSettings("entry", "a", "127.0.0.1", 0, "", b"k" * 32)
        self.membership = start_membership(settings, table, clock, parse_document)
        context = AdministrationContext(
            self.membership, table, clock, Metrics(), lambda: "", BOOTSTRAP
        )
        self.router = build_router(context)
        self._clock = clock

    def wait_until_fresh(self):
        deadline = time.monotonic() + START_SECONDS
        while not self.membership.snapshot().is_fresh(self._clock.now()):
            assert time.monotonic() < deadline, "the member got no lease"
            time.sleep(0.05)

    def is_fresh(self):
        return self.membership.snapshot().is_fresh(self._clock.now())

    def accepts(self, header):
        """Return whether this member accepts the key.

        A member without a freshness lease accepts no key.
        """
        caller = check_key(self.membership.snapshot().environment, header)
        return self.is_fresh() and isinstance(caller, Caller)


@pytest.fixture
def members():
    table = MemoryTable()
    members = [Member(table) for _ in range(3)]
    for member in members:
        member.wait_until_fresh()
    yield members
    for member in members:
        member.membership.leave()


class TestWithMembership:
    """Tests of how changes made at one member take effect at others."""

    def test_changes_are_in_force_everywhere(self, members):
        """Guards against a change answered before all members apply it.

        Also guards against concurrently applied documents that overwrite each other.
        """
        first = Client(members[0], f"first.{SECRET}")
        assert first.apply(OPERATOR_DOCUMENT, 0, change_id="c-0")[0] == 200
        header = f"Bearer blue-2.{SECRET}"
        body = {"account": "blue-web", **SALTED_HASH._asdict()}
        status, _ = Client(members[1]).call("PUT", "/v1/keys/blue-2", body)
        assert status == 200
        assert all(m.accepts(header) or not m.is_fresh() for m in members)
        assert any(member.accepts(header) for member in members)
        assert Client(members[2]).call("DELETE", "/v1/keys/blue-2")[0] == 200
        assert not any(member.accepts(header) for member in members)
        assert self._race(members) == [200, 409, 409]

    def _race(self, members):
        """Apply a document at each member at once and return the sorted statuses."""
        statuses = []

        def apply(number, member):
            document = OPERATOR_DOCUMENT + f"# {number}\n"
            status, _ = Client(member).apply(document, 3, change_id=f"race-{number}")
            statuses.append(status)

        threads = [
            threading.Thread(target=apply, args=pair) for pair in enumerate(members)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return sorted(statuses)
