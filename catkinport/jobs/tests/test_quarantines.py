"""Tests of the times without new tasks of workers on which runs fail."""

from ...ports.fleet_workers import EndKind, Rejected, Rejection
from .builders import Fleet, make_job, make_worker


class TestPauses:
    def test_rejected_start_does_not_end_a_quarantine(self):
        """Guards against a pause for lack of room that replaces a quarantine."""
        fleet = Fleet([make_worker()], max_failures=9)
        for number in range(3):
            fleet.dispatcher.add_job(make_job(f"{number:016x}"), fleet.now)
        first, second, third = fleet.plan()
        for start in (first, second):
            fleet.end(start, EndKind.FAILED)
        fleet.answer(third, Rejected(Rejection.NO_ROOM))
        fleet.advance(1.0)
        fleet.poll_all()
        assert fleet.plan() == []
