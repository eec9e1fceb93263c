"""Tests of workers of the stand-in that start again under the same id."""

import asyncio
import json
import random

import pytest

from .. import worker_server
from ..vms import Crash, FleetSize, VmFleet
from ..worker_server import WorkerServer

START = {"Task": "a.0.0.0", "Run": 1, "Spec": "lasts", "FencingToken": 7}
OLD_UNTIL_MS = 486_000


class FakeStore:
    """Keeps nothing; the tests look at the workers themselves."""

    def write(self, key, value):
        pass


class Scene:
    """A VM whose worker restarts, and the server of its calls.

    Attributes:
        now: time in seconds.
    """

    def __init__(self, monkeypatch, **size):
        monkeypatch.setattr(worker_server, "LATE_ORDER_SECONDS", (0.0, 0.0))
        self.now = 1000.0
        self.fleet = VmFleet(FakeStore(), FleetSize(1, 1, 0, **size), lambda: self.now)
        self.fleet.start_workers()
        (self.vm,) = self.fleet.vm_by_id.values()
        self.server = WorkerServer(self.vm, lambda: self.now, {}, random.Random(1))

    def restart(self, keeps_id):
        self.fleet.crash(self.vm.vm_id, Crash(1.0, keeps_id))
        self.now += 1.5
        self.fleet.tick()

    def start_late(self, former):
        """Carry out a start that was sent to a former incarnation."""
        body = {**START, "UntilMs": OLD_UNTIL_MS}

        async def run():
            start = self.server._start
            self.server._run_late(former, start, "/run-start", body)
            await asyncio.gather(*self.server._late)

        asyncio.run(run())

    def running(self):
        return self.vm.instance.encode_lists(self.now)["Running"]


@pytest.fixture
def scene(monkeypatch):
    return Scene(monkeypatch)


class TestRestart:
    def test_late_start_is_carried_out_under_the_same_id(self, scene):
        """Guards against a stand-in that hides faults of late starts after restarts."""
        former = scene.vm.instance
        scene.restart(keeps_id=True)
        assert scene.vm.instance is not former
        assert scene.vm.instance.worker_id == former.worker_id
        scene.start_late(former)
        assert [run[0] for run in scene.running()] == ["a.0.0.0"]

    def test_late_start_on_the_former_clock_gets_the_longest_lease(self, scene):
        """Guards against a stand-in whose restarted worker keeps its clock."""
        former = scene.vm.instance
        scene.restart(keeps_id=True)
        scene.start_late(former)
        scene.now += 5.9
        assert scene.running()
        scene.now += 0.2
        assert not scene.running()

    def test_longest_lease_is_that_of_the_settings(self, monkeypatch):
        """Guards against tests of other leases that are played with the usual ones."""
        scene = Scene(monkeypatch, max_lease_seconds=10.0)
        former = scene.vm.instance
        scene.restart(keeps_id=True)
        scene.start_late(former)
        scene.now += 9.9
        assert scene.running()
        scene.now += 0.2
        assert not scene.running()

    def test_late_start_is_lost_under_another_id(self, scene):
        """Guards against a late order that reaches a worker with another id."""
        former = scene.vm.instance
        scene.restart(keeps_id=False)
        assert scene.vm.instance.worker_id != former.worker_id
        scene.start_late(former)
        assert not scene.running()

    def test_clock_begins_anew(self, scene):
        """Guards against a worker that shows the clock of its former incarnation."""
        scene.now += 50.0
        scene.restart(keeps_id=True)
        answer = scene.server._answer(scene.vm.instance, 200)
        assert json.loads(answer.text)["ClockMs"] < 1000


class TestMisdirectedCalls:
    def find_recorded(self, scene, path, body):
        """Carry a call out and return the calls that were recorded then."""
        server, calls = scene.server, scene.server._misdirected_calls
        handler = server._start if path == "/run-start" else server._hold
        asyncio.run(server._carry_out(scene.vm.instance, handler, path, body))
        return calls

    @pytest.mark.parametrize("path", ["/run-start", "/hold"])
    def test_a_lease_on_the_former_clock_is_recorded(self, scene, path):
        """Guards against tests that pass though a worker takes a former lease."""
        scene.now += 1.0
        scene.restart(keeps_id=True)
        body = {**START, "UntilMs": 5_400}
        (call,) = self.find_recorded(scene, path, body)
        assert (call.path, call.worker) == (path, scene.vm.instance.worker_id)
        assert call.born == scene.vm.instance.born
        assert 4.3 < call.lease_seconds < 5.4

    def test_a_number_that_was_not_listed_is_recorded(self, scene):
        """Guards against tests that pass though a worker forgets unread ends."""
        scene.vm.instance.start(START, scene.now + 1.0, scene.now)
        scene.vm.instance.stop(START["Task"], 1, scene.now)
        body = {"FencingToken": 7, "LastSeen": 1}
        (call,) = self.find_recorded(scene, "/hold", body)
        assert (call.last_seen, call.n_listed) == (1, 0)

    @pytest.mark.parametrize("path", ["/run-start", "/hold"])
    def test_a_call_for_the_present_incarnation_is_not_recorded(self, scene, path):
        """Guards against tests that blame an owner for calls to the right one."""
        scene.vm.instance.start(START, scene.now + 1.0, scene.now)
        scene.vm.instance.stop(START["Task"], 1, scene.now)
        scene.vm.instance.encode_lists(scene.now)
        clock = int(scene.now * 1000) - scene.vm.instance.born
        body = {**START, "Run": 2, "UntilMs": clock + 4000, "LastSeen": 1}
        assert self.find_recorded(scene, path, body) == []

    def test_a_late_order_is_marked(self, scene):
        """Guards against late orders that count as calls on a wrong connection."""
        former = scene.vm.instance
        scene.restart(keeps_id=True)
        scene.start_late(former)
        (call,) = scene.server._misdirected_calls
        assert call.is_late
