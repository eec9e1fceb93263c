"""Tests of the series around workers that restart under their ids."""

import random
import threading
from types import SimpleNamespace

import pytest

from catkinport.platform.standin.worker_incarnation import Behavior
from verification.platform.deployment import PlatformSize

from .. import load
from ..environment import SoakEnvironment
from ..load import LONG_TASK_SECONDS, SoakLoad
from ..restarts import (
    CUT_AFTER_SECONDS,
    CUT_SECONDS,
    cut_workers,
    draw_restarts,
    restart_workers,
)
from ..run import _plan_restarts, _plan_standard_faults

OWNER_FAULTS = {"kill_owner", "stop_owner", "pause_owner"}


def draw_rounds(n_seeds=200):
    """Return restart, owner fault and cut of each round of many seeds."""
    rounds = []
    for seed in range(n_seeds):
        for series in draw_restarts(random.Random(seed), 20.0):
            beside = {"late_orders", "vm_list_old"}
            faults = [fault for fault in series if fault.name not in beside]
            rounds += [faults[n : n + 3] for n in range(0, len(faults), 3)]
    return rounds


class TestSchedule:
    def test_the_same_seed_gives_the_same_series(self):
        """Guards against failed seeds that cannot be repeated."""
        first = draw_restarts(random.Random(7), 20.0)
        assert first == draw_restarts(random.Random(7), 20.0)
        assert first != draw_restarts(random.Random(8), 20.0)

    def test_short_runs_have_one_too(self):
        """Guards against a run in CI without any restart."""
        for seed in range(20):
            assert draw_restarts(random.Random(seed), 1.0)

    def test_cuts_follow_restarts_with_an_owner_fault_between(self):
        """Guards against series in which the owner has time to learn of restarts."""
        for restart, owner_fault, cut in draw_rounds():
            assert (restart.name, cut.name) == ("restart_workers", "cut_workers")
            assert owner_fault.name in OWNER_FAULTS
            back_seconds = restart.start_seconds + restart.duration_seconds
            shortest, longest = CUT_AFTER_SECONDS
            cut_after_seconds = cut.start_seconds - back_seconds
            assert shortest - 1e-6 <= cut_after_seconds <= longest + 1e-6
            assert CUT_SECONDS[0] <= cut.duration_seconds <= CUT_SECONDS[1]
            assert back_seconds <= owner_fault.start_seconds <= cut.start_seconds

    def test_some_series_restart_their_workers_twice(self):
        """Guards against series without a lease of the former incarnation."""
        series = draw_restarts(random.Random(1), 500.0)
        n_restarts = [
            sum(fault.name == "restart_workers" for fault in faults)
            for faults in series
        ]
        assert set(n_restarts) == {1, 2}

    def test_restarts_leave_the_other_faults_of_a_seed_as_they_are(self):
        """Guards against known seeds that play other faults than when they failed."""
        faults = [step.fault for step in _plan_standard_faults(7, 20.0, PlatformSize())]
        names = {fault.name for fault in faults}
        assert not names & {"restart_workers", "cut_workers", "stop_owner"}


class FakeDeployment:
    """Deployment that notes the faults of its VMs; one that has crashed stays down."""

    def __init__(self, size):
        self.size = size
        self.state_by_vm = {
            f"m-{n}": "up" for n in range(size.n_pools * size.n_vms + size.n_spare_vms)
        }
        self.changes = []

    def set_vm_faults(self, vm_id, **change):
        self.changes.append((vm_id, change))
        if change.get("crash_seconds"):
            self.state_by_vm[vm_id] = "down"

    def list_vms(self):
        return [
            {"Machine": vm, "State": state} for vm, state in self.state_by_vm.items()
        ]


class TestFaults:
    @pytest.fixture
    def environment(self):
        """Return an environment of three zones without processes."""
        size = PlatformSize(n_zones=3)
        return SimpleNamespace(deployment=FakeDeployment(size))

    @staticmethod
    def _inject(environment, fault, rng):
        environment.deployment.changes.clear()
        end = fault(environment, rng)
        return [vm for vm, _ in environment.deployment.changes], end

    def test_the_faults_of_a_series_concern_the_same_workers(self, environment):
        """Guards against cuts of workers that have not restarted."""
        for seed in range(20):
            steps = _plan_restarts(seed, 6.0)
            first = steps[
                : len(draw_restarts(random.Random(f"{seed}-restarts"), 6.0)[0])
            ]
            targets = []
            for step in first:
                fault = {"restart_workers": restart_workers, "cut_workers": cut_workers}
                if step.fault.name in fault:
                    vms, _ = self._inject(environment, fault[step.fault.name], step.rng)
                    targets.append(vms)
            assert len(targets) >= 2
            assert all(vms == targets[0] for vms in targets)

    def test_one_worker_or_those_of_a_zone_restart(self, environment):
        """Guards against series that never concern whole zones, or always do."""
        n_workers = set()
        for seed in range(40):
            vms, _ = self._inject(environment, restart_workers, random.Random(seed))
            n_workers.add(len(vms))
            assert len({int(vm.removeprefix("m-")) % 3 for vm in vms}) == 1
        assert n_workers == {1, 2, 3}

    def test_workers_start_again_under_their_ids(self, environment):
        """Guards against restarts that the new id gives away to the owner."""
        vms, end = self._inject(environment, restart_workers, random.Random(1))
        end()
        changes = environment.deployment.changes
        assert [vm for vm, _ in changes] == vms + vms
        assert all(change["keeps_id"] for _, change in changes)
        assert changes[-1][1]["crash_seconds"] == 0.0

    def test_a_worker_that_is_back_is_not_restarted_again(self, environment):
        """Guards against ends of a fault that end tasks of the next incarnation."""
        vms, end = self._inject(environment, restart_workers, random.Random(1))
        environment.deployment.state_by_vm[vms[0]] = "up"
        end()
        assert len(environment.deployment.changes) == 2 * len(vms) - 1

    def test_a_cut_ends(self, environment):
        """Guards against workers that stay cut off after their series."""
        vms, end = self._inject(environment, cut_workers, random.Random(1))
        end()
        silent_by_vm = {vm: c["is_silent"] for vm, c in environment.deployment.changes}
        assert silent_by_vm == dict.fromkeys(vms, False)


class TestLoad:
    def test_long_tasks_run_beside_the_others(self, monkeypatch):
        """Guards against restarts of workers on which nothing runs."""
        sent = []
        is_sent = threading.Event()

        class FakeCaller:
            def __init__(self, list_addresses, rng):
                pass

            def submit(self, queue, key, steps, specification, timeout_seconds):
                sent.append((steps, specification))
                is_sent.set()
                return SimpleNamespace(job_id="0" * 16, accepted_at=0.0, may_run=False)

        monkeypatch.setattr(load, "PlatformCaller", FakeCaller)
        monkeypatch.setattr(load, "LONG_PAUSE_SECONDS", 0.01)
        environment = SoakEnvironment(None, PlatformSize())
        long_load = SoakLoad(environment, 1, n_callers=0, has_long_jobs=True)
        long_load.start()
        assert is_sent.wait(5.0)
        long_load.stop()
        environment.close()
        (steps, specification), *_ = sent
        behavior = Behavior.parse(specification)
        assert LONG_TASK_SECONDS[0] <= behavior.seconds <= LONG_TASK_SECONDS[1]
        assert behavior.cores == steps[0].cores
