"""What one life of a stand-in's worker does with orders."""

import pytest

from ....policy.resources import Resources
from ..worker_life import StartError, WorkerLife


def make_life(cores=4.0):
    events = []
    return WorkerLife("i-1", Resources(cores, 64.0, 0), 0, events, 6.0), events


def order(task="a.0.0.0", run=1, spec="seconds=1"):
    return {"Task": task, "Run": run, "Spec": spec}


class TestStart:
    def test_a_repeated_start_is_one_run(self):
        life, events = make_life()
        life.start(order(), 5.0, 0.0)
        life.start(order(), 5.0, 0.1)
        assert [event.what for event in events] == ["started"]

    def test_a_stopped_run_does_not_start_any_more(self):
        """Guards against a late start that follows its stop."""
        life, _ = make_life()
        life.stop("a.0.0.0", 1, 0.0)
        with pytest.raises(StartError, match="old"):
            life.start(order(), 5.0, 0.1)

    def test_what_does_not_fit_is_rejected(self):
        life, _ = make_life(cores=1.0)
        life.start(order("a.0.0.0"), 5.0, 0.0)
        with pytest.raises(StartError, match="room"):
            life.start(order("a.0.0.1"), 5.0, 0.0)

    def test_an_expired_lease_is_rejected(self):
        life, _ = make_life()
        with pytest.raises(StartError, match="late"):
            life.start(order(), 0.5, 1.0)

    def test_lower_tokens_are_not_accepted(self):
        life, _ = make_life()
        assert life.accepts(7)
        assert not life.accepts(6)


class TestEnds:
    def test_work_that_is_done_is_listed_until_it_is_noted(self):
        life, events = make_life()
        life.start(order(), 5.0, 0.0)
        assert life.lists(1.1)["Ended"] == [(1, "a.0.0.0", 1, "done", "")]
        life.forget_ends(1, 1.2)
        assert life.lists(1.2)["Ended"] == []
        assert [event.what for event in events] == ["started", "done", "noted"]

    def test_an_end_is_not_noted_after_its_lease_has_lapsed(self):
        life, events = make_life()
        life.start(order(), 2.0, 0.0)
        life.advance(1.1)
        life.extend_lease(9.0, 4.0)
        life.forget_ends(1, 4.0)
        assert [event.what for event in events] == ["started", "done"]

    def test_an_unrenewed_lease_ends_what_runs(self):
        life, _ = make_life()
        life.start(order(spec="lasts"), 2.0, 0.0)
        life.extend_lease(3.0, 1.0)
        life.advance(2.5)
        assert len(life.lists(2.5)["Running"]) == 1
        assert life.lists(3.1)["Ended"][0][3] == "lapsed"

    def test_a_paced_task_takes_longer(self):
        life, _ = make_life()
        life.start(order(), 5.0, 0.0)
        life.pace("a.0.0.0", 1, 50, 0.0)
        assert life.lists(1.5)["Ended"] == []
        assert life.lists(2.1)["Ended"][0][3] == "done"
