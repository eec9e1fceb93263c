"""Tests of the tasks of a job and of their counters."""

import random
import tracemalloc

from ...ports.fleet_workers import EndKind
from ..dispatch.record import RUN_GAP_AFTER_TAKEOVER, JobRecord
from ..dispatch.task import TaskPhase
from ..ownership.state_sizes import encode_batch
from ..vms.pool_demand import measure_demand
from .builders import JOB_ID, Fleet, make_job, make_step, make_worker

MAX_RECURRING_JOB_BYTES = 2_000_000


def make_fleet():
    return Fleet([make_worker(f"w{i}", cores=64.0) for i in range(4)])


class TestCreatedTasks:
    def test_it_takes_memory_only_for_what_has_begun(self):
        """Guards against a daemon that exceeds its memory with a few such jobs."""
        job = make_job(n_occurrences=20_000, first_due_at=1.0, interval_seconds=1000.0)
        tracemalloc.start()
        fleet = make_fleet()
        fleet.dispatcher.add_job(job, fleet.now)
        fleet.start()
        measure_demand(fleet.dispatcher, fleet.now)
        (record,) = fleet.dispatcher.job_by_id.values()
        encode_batch([record])
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak_bytes < MAX_RECURRING_JOB_BYTES


class TestCounters:
    """The counts of tasks by phase follow each change of a task."""

    def test_they_agree_with_the_tasks_in_a_history(self):
        """Guards against a demand that counts tasks which have begun or are done."""
        rng = random.Random(5)
        steps = [make_step(3), make_step(2, after=(0,)), make_step(2, after=(0, 1))]
        fleet = make_fleet()
        fleet.dispatcher.add_job(make_job(JOB_ID, steps), fleet.now)
        record = fleet.dispatcher.job_by_id[JOB_ID]
        running = []
        while not record.is_final:
            running += fleet.start()
            assert_counted(record)
            rng.shuffle(running)
            how = rng.choice([EndKind.DONE, EndKind.STOPPED])
            fleet.end(running.pop(), how)
            assert_counted(record)
            fleet.advance(0.5)
            fleet.poll_all()

    def test_a_loaded_job_has_the_same(self):
        """Guards against a successor that counts other tasks as waiting."""
        steps = [make_step(3), make_step(2, after=(0,))]
        record = JobRecord(make_job(JOB_ID, steps, n_occurrences=3), True)
        for task in list(record.all_tasks())[:4]:
            record.mark_done(task)
        loaded = JobRecord(record.job, True)
        loaded.load_row(record.to_row(), 1)
        loaded.advance_run_numbers()
        assert_counted(loaded)
        runs = {task.run for task in loaded.all_tasks()}
        assert runs == {RUN_GAP_AFTER_TAKEOVER}


def assert_counted(record):
    """Compare the counts of a job with its tasks."""
    for number in range(len(record.job.steps)):
        tasks = [t for t in record.all_tasks() if t.task_id.step == number]
        n_waiting = sum(task.phase is TaskPhase.WAITING for task in tasks)
        assert record.count_waiting(number) == n_waiting
        ready = [
            task
            for task in tasks
            if record.is_stage_ready((task.task_id.occurrence, number))
        ]
        for phase in TaskPhase:
            n_ready = sum(task.phase is phase for task in ready)
            assert record.count_ready(number, phase) == n_ready
        for occurrence in range(max(1, record.job.n_occurrences)):
            stage = (occurrence, number)
            waiting = [
                task
                for task in record.tasks_by_stage[stage]
                if task.phase is TaskPhase.WAITING
            ]
            assert list(record.waiting_tasks(stage)) == waiting
