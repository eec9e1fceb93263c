"""Tests of reports of a worker that arrive after newer ones."""

from ...ports.fleet_workers import Done, RunningTask, WorkerLists
from .builders import Fleet, make_job, make_worker


class TestReportOfAnEarlierProcess:
    def test_it_takes_no_run_away_from_the_present_process(self):
        """Guards against a second run beside one that a restarted worker executes.

        Two polls of a worker may be under way. The answer of the process that has ended
        may arrive after that of the process that has taken its place.
        """
        fleet = Fleet([make_worker()])
        fleet.dispatcher.add_job(make_job(), fleet.now)
        (first,) = fleet.start()
        fleet.poll("w1")
        late = WorkerLists(1.0, [RunningTask(*first.run.key, "", 0.0, 0.0)], [])
        late_sent_at = fleet.now
        fleet.advance(1.0)
        fleet.running_by_worker["w1"] = {}
        fleet.poll("w1", started_at=2.0)
        fleet.renew_entry("w1", 2.0)
        (second,) = fleet.plan()
        fleet.answer(second, Done())
        fleet.poll("w1", started_at=2.0)
        fleet.advance(0.1)
        fleet.dispatcher.on_worker_report("w1", late, late_sent_at, fleet.now)
        assert fleet.dispatcher.runs_by_task[second.run.key.task] == [second.run]
        assert fleet.plan() == []
