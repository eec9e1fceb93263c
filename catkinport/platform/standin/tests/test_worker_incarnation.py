"""Tests of how an incarnation of a stand-in's worker handles orders and leases."""

import pytest

from ....policy.resources import Resources
from ..worker_incarnation import StartError, WorkerIncarnation


def make_instance(cores=4.0):
    events = []
    return WorkerIncarnation("i-1", Resources(cores, 64.0, 0), 0, events, 6.0), events


def order(task="a.0.0.0", run=1, spec="seconds=1"):
    return {"Task": task, "Run": run, "Spec": spec}


class TestStart:
    def test_a_repeated_start_is_one_run(self):
        instance, events = make_instance()
        instance.start(order(), 5.0, 0.0)
        instance.start(order(), 5.0, 0.1)
        assert [event.what for event in events] == ["started"]

    def test_a_stopped_run_does_not_start_any_more(self):
        """Guards against a late start order that arrives after the run was stopped."""
        instance, _ = make_instance()
        instance.stop("a.0.0.0", 1, 0.0)
        with pytest.raises(StartError, match="old"):
            instance.start(order(), 5.0, 0.1)

    def test_a_run_that_needs_too_many_cores_is_rejected(self):
        instance, _ = make_instance(cores=1.0)
        instance.start(order("a.0.0.0"), 5.0, 0.0)
        with pytest.raises(StartError, match="room"):
            instance.start(order("a.0.0.1"), 5.0, 0.0)

    def test_a_start_with_an_expired_lease_is_rejected(self):
        instance, _ = make_instance()
        with pytest.raises(StartError, match="late"):
            instance.start(order(), 0.5, 1.0)

    def test_lower_tokens_are_not_accepted(self):
        instance, _ = make_instance()
        assert instance.accepts(7)
        assert not instance.accepts(6)


class TestEnds:
    def test_a_done_run_is_listed_until_it_is_acknowledged(self):
        instance, events = make_instance()
        instance.start(order(), 5.0, 0.0)
        assert instance.encode_lists(1.1)["Ended"] == [(1, "a.0.0.0", 1, "done", "")]
        instance.acknowledge_ends(1, 1.2)
        assert instance.encode_lists(1.2)["Ended"] == []
        assert [event.what for event in events] == ["started", "done", "noted"]

    def test_an_end_acknowledged_after_its_lease_lapsed_is_not_recorded(self):
        instance, events = make_instance()
        instance.start(order(), 2.0, 0.0)
        instance.advance(1.1)
        instance.extend_lease(9.0, 4.0)
        instance.acknowledge_ends(1, 4.0)
        assert [event.what for event in events] == ["started", "done"]

    def test_runs_end_when_their_lease_is_not_renewed(self):
        instance, _ = make_instance()
        instance.start(order(spec="lasts"), 2.0, 0.0)
        instance.extend_lease(3.0, 1.0)
        instance.advance(2.5)
        assert len(instance.encode_lists(2.5)["Running"]) == 1
        assert instance.encode_lists(3.1)["Ended"][0][3] == "lapsed"

    def test_a_paced_task_takes_longer(self):
        instance, _ = make_instance()
        instance.start(order(), 5.0, 0.0)
        instance.pace("a.0.0.0", 1, 50, 0.0)
        assert instance.encode_lists(1.5)["Ended"] == []
        assert instance.encode_lists(2.1)["Ended"][0][3] == "done"
