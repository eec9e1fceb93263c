"""Tests of states of jobs that are large, and of the limits of the table service."""

import json

import pytest

from ..dispatch.record import JobRecord
from .builders import make_job, make_step


def count_bytes(value) -> int:
    return len(json.dumps(value, separators=(",", ":")))


class TestUnlimitedFailures:
    # Guards against a row that grows with each failure of a task that is started again
    # without end, until the table service refuses it.
    @pytest.mark.parametrize(("is_lasting", "max_failures"), [(True, 3), (False, 0)])
    def test_they_do_not_make_the_row_grow(self, is_lasting, max_failures):
        record = JobRecord(make_job(steps=[make_step(1, is_lasting=is_lasting)]))
        (task,) = record.all_tasks()
        for run in range(20000):
            record.note_run(task, run)
            record.mark_failed(task, run, max_failures)
        assert record.is_dirty
        assert count_bytes(record.to_row()) < 1000
