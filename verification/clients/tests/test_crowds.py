"""Tests of one daemon that meets a small crowd of clients nobody controls.

Limits are lowered in the daemon's settings. The crowd and the bounds were fixed before
the daemon had limits, so that most of these tests failed then.
"""

import random
import time

import pytest

from ...platform.caller import PlatformCaller, StepSpec
from ...platform.deployment import HOST, PlatformDeployment, PlatformSize
from ...processes import ProcessGroup
from ..crowds import Crowd, build_further_kinds, build_kinds
from ..usage import read_usage

N_CLIENTS = 160
MAX_CONNECTIONS = 100
HELD_KB = 2048
"""Settings of the daemon: connections, and memory for requests of clients."""

BUDGET_KB = 12 * 1024
"""Peak memory allowed beyond that at rest. Held requests take `HELD_KB`; the rest is
for `MAX_CONNECTIONS` connections (6 KB each when idle) and for work on a request."""

DESCRIPTOR_BUDGET = MAX_CONNECTIONS + 30
"""Descriptors allowed beyond those at rest; the daemon's own connections to the store
and to workers vary by less than 30."""

SEND_SECONDS = 15.0
HOLD_SECONDS = 1.0
"""Time for which the crowd stays open after its last byte."""

ANSWER_SECONDS = 20.0
SETTLE_SECONDS = 2.0
"""Time in which a started daemon claims the fleet and reaches its memory at rest."""

KINDS = build_kinds(HOST, "/queue-0/", "key-0")

LIMITS = {"held_kb": HELD_KB, "connections": MAX_CONNECTIONS}
SIZE = PlatformSize(
    n_daemons=1, n_pools=1, n_vms=2, n_spare_vms=0, daemon_limits=LIMITS
)


@pytest.fixture
def deployment():
    with ProcessGroup() as processes:
        deployment = PlatformDeployment(processes, SIZE)
        deployment.start()
        time.sleep(SETTLE_SECONDS)
        yield deployment


def submit(deployment):
    """Submit an ordinary job; return whether it was accepted."""
    caller = PlatformCaller(deployment.list_caller_addresses, random.Random(1))
    steps = [StepSpec(1)]
    sent = caller.submit("queue-0", "key-0", steps, "seconds=0.1", ANSWER_SECONDS)
    return sent.accepted_at > 0


def check_crowd(deployment, kinds, listener="caller", answers_beside=False):
    """Let a crowd come and go; check what the daemon needs, and who is answered.

    Args:
        deployment: the deployment of one daemon.
        kinds: what the clients of the crowd send.
        listener: address of the daemon that the crowd calls.
        answers_beside: whether an ordinary request must be answered while the crowd is
            there, too.
    """
    (daemon,) = deployment.daemon_by_name.values()
    address = getattr(daemon, f"{listener}_address")
    rest = read_usage(daemon.process.pid)
    with Crowd(address, kinds, N_CLIENTS) as crowd:
        crowd.connect()
        crowd.send(SEND_SECONDS)
        time.sleep(HOLD_SECONDS)
        assert daemon.process.is_running, daemon.process.read_tail()
        usage = read_usage(daemon.process.pid)
        is_answered_beside = not answers_beside or submit(deployment)
    is_answered = submit(deployment)
    assert daemon.process.is_running, daemon.process.read_tail()
    extra_kb = read_usage(daemon.process.pid).peak_kb - rest.peak_kb
    extra_descriptors = usage.n_descriptors - rest.n_descriptors
    found = f"{[kind.name for kind in kinds]}: {extra_kb} KB and {extra_descriptors} "
    found += f"descriptors over {rest}, ordinary request answered: {is_answered}"
    found += f", beside the crowd: {is_answered_beside}" if answers_beside else ""
    print(found)
    is_within = extra_kb <= BUDGET_KB and extra_descriptors <= DESCRIPTOR_BUDGET
    assert is_within and is_answered and is_answered_beside, found


class TestCrowds:
    def check(self, deployment, name, listener="caller"):
        check_crowd(deployment, [KINDS[name]], listener)

    def test_heads_over_the_limit(self, deployment):
        """Guards against heads that are kept whole before they are refused."""
        self.check(deployment, "long-heads")

    def test_heads_without_end(self, deployment):
        """Guards against fields of a head that are collected without a bound."""
        self.check(deployment, "endless-heads")

    def test_empty_lines_without_end(self, deployment):
        """Guards against empty lines that keep a connection and the process busy."""
        self.check(deployment, "empty-lines")

    def test_whole_bodies_that_stop_short(self, deployment):
        """Guards against large bodies that are all admitted at once."""
        self.check(deployment, "whole-bodies")

    def test_bodies_in_pieces_that_stop_short(self, deployment):
        """Guards against bodies whose size shows only as they arrive slowly."""
        self.check(deployment, "bodies-in-pieces")

    def test_large_chunks_that_stop_short(self, deployment):
        """Guards against bodies of unknown size that no budget counts."""
        self.check(deployment, "large-chunks")

    def test_small_chunks_that_stop_short(self, deployment):
        """Guards against chunks whose objects take far more memory than their bytes."""
        self.check(deployment, "small-chunks")

    @pytest.mark.parametrize("listener", ["ready", "metrics"])
    def test_other_addresses(self, deployment, listener):
        """Guards against an address of the daemon that has no limits."""
        self.check(deployment, "whole-bodies", listener)


FURTHER_KINDS = build_further_kinds(HOST, "/queue-0/", "key-0")


class TestFurtherCrowds:
    """Crowds of clients whose requests are legal, or that come back after a refusal.

    An ordinary caller is answered while they are there, which comes from the same
    address.
    """

    def check(self, deployment, kinds, listener="caller"):
        check_crowd(deployment, kinds, listener, answers_beside=True)

    @pytest.mark.parametrize("name", ["unread-answers", "unread-bodies"])
    def test_clients_that_read_no_answers(self, deployment, name):
        """Guards against connections that are never closed, as an answer waits."""
        self.check(deployment, [FURTHER_KINDS[name]])

    @pytest.mark.parametrize("listener", ["ready", "metrics"])
    def test_unread_answers_at_other_addresses(self, deployment, listener):
        """Guards against an address of the daemon that waits for its readers."""
        self.check(deployment, [FURTHER_KINDS["unread-answers"]], listener)

    def test_heads_that_arrive_a_byte_at_a_time(self, deployment):
        """Guards against work for each byte, and heads that seem to make progress."""
        self.check(deployment, [FURTHER_KINDS["heads-by-byte"]])

    @pytest.mark.parametrize("name", ["returning-bodies", "returning-heads"])
    def test_clients_that_return_after_a_refusal(self, deployment, name):
        """Guards against refused connections that pile up."""
        self.check(deployment, [FURTHER_KINDS[name]])

    def test_all_kinds_at_once(self, deployment):
        """Guards against bounds that hold for each kind alone."""
        self.check(deployment, [*KINDS.values(), *FURTHER_KINDS.values()])
