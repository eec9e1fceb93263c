"""Processor time of an owner until the lasting jobs of a large fleet have started.

All tasks wait, as they do for a new owner after all daemons have been killed.
"""

import time
from collections.abc import Sequence

from catkinport.jobs.model import Step
from catkinport.jobs.placement.run_stops import StopTurns
from catkinport.jobs.tests.builders import NEED, Fleet, make_job, make_worker
from catkinport.policy.concurrency_limit import INITIAL_CALLS

from .registry import Figure, register

N_WORKERS = 3000
N_JOBS = 100
N_TASKS = 24
MAX_AWAY = 2


@register("new-owner")
def measure_new_owner() -> Sequence[Figure]:
    """Measure the rounds of planning in which all tasks start, and those after them."""
    fleet = _make_fleet()
    seconds = _start_all(fleet)
    assert len(fleet.dispatcher.runs_by_task) == N_JOBS * N_TASKS
    began_at = time.process_time()
    fleet.poll_all()
    reports_ms = (time.process_time() - began_at) * 1000
    turns = StopTurns(fleet.dispatcher)
    began_at = time.process_time()
    turns.take(fleet.now, INITIAL_CALLS)
    stops_ms = (time.process_time() - began_at) * 1000
    setting = f"{N_WORKERS} workers, {N_JOBS} lasting jobs of {N_TASKS} tasks"
    return [
        Figure(setting, "planning until all have started, ms", sum(seconds) * 1000),
        Figure(setting, "rounds of planning", len(seconds)),
        Figure(setting, "longest round of planning, ms", max(seconds) * 1000),
        Figure(setting, "a report of each worker, ms", reports_ms),
        Figure(setting, "stop orders of a round, ms", stops_ms),
    ]


def _make_fleet() -> Fleet:
    fleet = Fleet([make_worker(f"w{number}") for number in range(N_WORKERS)])
    step = Step(
        N_TASKS, NEED, 1.0, is_lasting=True, max_per_worker=1, max_away=MAX_AWAY
    )
    for number in range(N_JOBS):
        job = make_job(f"{number:016x}", steps=[step])
        fleet.dispatcher.add_job(job, fleet.now, is_inherited=True)
    return fleet


def _start_all(fleet: Fleet) -> list[float]:
    """Start all tasks; return the processor time of each round in seconds."""
    seconds = []
    is_planned = False
    while not is_planned:
        began_at = time.process_time()
        starts = fleet.start(max_starts=INITIAL_CALLS, clock=time.thread_time)
        seconds.append(time.process_time() - began_at)
        is_planned = not starts and not fleet.planner.is_unfinished
    return seconds
