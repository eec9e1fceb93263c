"""Checks of the events that the simulated workers recorded against the submitted jobs.

The name of a task is ``job.occurrence.step.index``; a run is one start of a task on a
worker. A lasting task runs until its job is canceled. The owner of the fleet is the one
daemon that gives orders to the workers.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from .caller import SentJob


def find_violations(
    events: Sequence[Mapping[str, Any]], jobs: Sequence[SentJob]
) -> list[str]:
    """Return the violations that all checks find in the events of the workers."""
    job_by_id = {job.job_id: job for job in jobs}
    lasting_ids = [j.job_id for j in jobs if any(s.is_lasting for s in j.steps)]
    return [
        *check_no_concurrent_runs(events),
        *check_no_run_after_done(events, lasting_ids),
        *check_step_order(events, job_by_id),
        *check_only_submitted(events, job_by_id),
    ]


def check_no_misdirected_calls(calls: Sequence[Mapping[str, Any]]) -> list[str]:
    """Return each call that a worker carried out with a value of a former one.

    Orders that were carried out late are left out, as nothing in them names the
    incarnation.
    """
    return [
        f"MISDIRECTED: {call['path']} on {call['worker']} born {call['born']}, lease"
        f" {call['lease_seconds']:.1f} s, ends to {call['last_seen']}"
        for call in calls
        if not call["is_late"]
    ]


def check_no_concurrent_runs(events: Sequence[Mapping[str, Any]]) -> list[str]:
    """Return each start of a task while another run of it had not ended."""
    violations = []
    active_runs_by_task: dict[str, set[tuple[str, int, int]]] = {}
    for event in events:
        run = (event["worker"], event["born"], event["run"])
        runs = active_runs_by_task.setdefault(event["task"], set())
        if event["what"] != "started":
            runs.discard(run)
            continue
        if runs:
            violations.append(
                f"TWICE: {event['task']} run {event['run']} beside {runs}"
            )
        runs.add(run)
    return violations


def check_no_run_after_done(
    events: Sequence[Mapping[str, Any]], lasting_ids: Iterable[str] = ()
) -> list[str]:
    """Return each start of a task after a run of it that had ended as done.

    Only ends count that the owner of the fleet acknowledged to the worker at any time.
    An end without acknowledgement is lost with its worker, so the task may rightly run
    again. Lasting tasks, which have no end of their own, are left out.
    """
    violations = []
    lasting = set(lasting_ids)
    acknowledged = {
        _identify_run(event) for event in events if event["what"] == "noted"
    }
    done_run_by_task: dict[str, tuple[str, int, str, int]] = {}
    for event in events:
        task = event["task"]
        if event["what"] == "done" and _identify_run(event) in acknowledged:
            done_run_by_task.setdefault(task, _identify_run(event))
        is_lasting = task.partition(".")[0] in lasting
        if event["what"] == "started" and task in done_run_by_task and not is_lasting:
            violations.append(
                f"TWICE: {task} run {event['run']} after {done_run_by_task[task]}"
            )
    return violations


def _identify_run(event: Mapping[str, Any]) -> tuple[str, int, str, int]:
    return event["worker"], event["born"], event["task"], event["run"]


def check_step_order(
    events: Sequence[Mapping[str, Any]], job_by_id: Mapping[str, SentJob]
) -> list[str]:
    """Return each start of a task before all tasks of a required step were done."""
    violations = []
    done_indexes_by_step: dict[tuple[str, int], set[str]] = {}
    for event in events:
        job_id, _, step, index = event["task"].split(".")
        job = job_by_id.get(job_id)
        if job is None:
            continue
        if event["what"] == "done":
            done_indexes_by_step.setdefault((job_id, int(step)), set()).add(index)
        elif event["what"] == "started":
            for required in job.steps[int(step)].after:
                n_done = len(done_indexes_by_step.get((job_id, required), ()))
                if n_done < job.steps[required].n_tasks:
                    violations.append(f"ORDER: {event['task']} before step {required}")
    return violations


def check_only_submitted(
    events: Sequence[Mapping[str, Any]], job_by_id: Mapping[str, SentJob]
) -> list[str]:
    """Return each event of an unknown job, and each start of a refused job.

    A job is unknown if it was never submitted, and refused if every attempt to submit
    it was surely refused.
    """
    violations = []
    for event in events:
        job = job_by_id.get(event["task"].partition(".")[0])
        if job is None:
            violations.append(f"UNASKED: {event['task']}")
        elif event["what"] == "started" and not job.may_run:
            violations.append(f"REFUSED: {event['task']} was refused and started")
    return violations
