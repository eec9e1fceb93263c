"""Tests of the evacuations of zones and of the check of starts in them."""

import random
from types import SimpleNamespace

import pytest

from verification.platform.deployment import PlatformSize

from ..environment import Evacuation
from ..faults import InjectedFault
from ..zone_evacuations import (
    EVACUATE_SECONDS,
    check_no_late_starts,
    draw_evacuations,
    evacuate_zone,
)

ZONE_BY_VM = {"m-0": "zone-a", "m-1": "zone-b"}


def check(seconds, vm="m-0", what="started", faults=()):
    """Check an event so many seconds after the request to evacuate zone-a.

    The request is removed after 20 s.
    """
    event = {"at": 100.0 + seconds, "what": what, "task": "t", "run": 1}
    event["worker"] = f"i-{vm}-7"
    evacuations = [Evacuation("zone-a", stored_at=100.0, removed_at=120.0)]
    return check_no_late_starts([event], ZONE_BY_VM, evacuations, faults)


class TestCheck:
    def test_late_start_in_the_zone_is_a_violation(self):
        """Guards against a check that finds nothing."""
        (violation,) = check(EVACUATE_SECONDS + 0.1)
        assert violation.startswith("EVAC: t run 1 started on i-m-0-7 in zone-a")

    @pytest.mark.parametrize("seconds", [-1.0, EVACUATE_SECONDS - 0.1, 20.0, 30.0])
    def test_starts_before_the_promise_and_after_the_removal_are_allowed(self, seconds):
        """Guards against a check that forbids what the promise allows."""
        assert check(seconds) == []

    def test_other_zones_and_ends_are_allowed(self):
        """Guards against a check that blames the zones that tasks move to."""
        assert check(10.0, vm="m-1") == []
        assert check(10.0, what="done") == []

    def test_evacuation_that_was_not_removed_is_checked(self):
        """Guards against a check that passes over the last evacuation of a run."""
        event = {"at": 110.0, "what": "started", "task": "t", "run": 1}
        event["worker"] = "i-m-0-7"
        evacuations = [Evacuation("zone-a", stored_at=100.0)]
        assert check_no_late_starts([event], ZONE_BY_VM, evacuations, [])

    def test_time_without_contact_to_the_store_does_not_count(self):
        """Guards against violations by an owner that could not read the row.

        Faults that overlap count once, and only from the request on.
        """
        faults = [
            InjectedFault("store_down", 98.0, 102.0),
            InjectedFault("cut_owner", 101.0, 103.0),
        ]
        assert check(EVACUATE_SECONDS + 2.9, faults=faults) == []
        assert check(EVACUATE_SECONDS + 3.1, faults=faults)

    def test_faults_of_workers_excuse_nothing(self):
        """Guards against an allowance for all faults, by which nothing is checked."""
        faults = [InjectedFault("crash_worker", 100.0, 110.0)]
        assert check(EVACUATE_SECONDS + 0.1, faults=faults)


class FakeEnvironment:
    """Environment that notes which rows the operator has."""

    def __init__(self, n_zones):
        self.rows = set()
        self.evacuations = []
        self.deployment = SimpleNamespace(
            size=PlatformSize(n_zones=n_zones),
            evacuate_zone=self.rows.add,
            end_zone_evacuation=self.rows.remove,
        )


class TestEvacuations:
    def test_zones_are_evacuated_and_used_again(self):
        """Guards against rows that outlast the run, and times that are not noted."""
        environment = FakeEnvironment(3)
        end = evacuate_zone(environment, random.Random(1))
        (evacuation,) = environment.evacuations
        assert environment.rows == {evacuation.zone}
        assert evacuation.stored_at and not evacuation.removed_at
        end()
        assert environment.rows == set()
        assert evacuation.removed_at >= evacuation.stored_at

    def test_one_zone_is_left(self):
        """Guards against runs in which nothing can start, and rows removed twice."""
        environment = FakeEnvironment(3)
        ends = [evacuate_zone(environment, random.Random(n)) for n in range(4)]
        assert [end is None for end in ends] == [False, False, True, True]
        assert len(environment.rows) == 2

    def test_short_runs_have_one_too(self):
        """Guards against a run in CI without any evacuation."""
        for seed in range(20):
            assert draw_evacuations(random.Random(seed), 1.0)
