"""Checks of what the workers of the stand-in have seen against what callers sent."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from .caller import SentJob


def check_never_together(events: Sequence[Mapping[str, Any]]) -> list[str]:
    """Return each start of a task while another run of it was alive."""
    faults = []
    alive: dict[str, set[tuple[str, int, int]]] = {}
    for event in events:
        run = (event["worker"], event["born"], event["run"])
        runs = alive.setdefault(event["task"], set())
        if event["what"] != "started":
            runs.discard(run)
            continue
        if runs:
            faults.append(f"TWICE: {event['task']} run {event['run']} beside {runs}")
        runs.add(run)
    return faults


def check_not_after_done(
    events: Sequence[Mapping[str, Any]], lasting_ids: Iterable[str] = ()
) -> list[str]:
    """Return each start of a task after a run of it had ended as done.

    An end that a worker lost with its life before it was stored does not count; a
    worker's ``gone`` runs never were done, so only listed ends are looked at.
    """
    faults = []
    lasting = set(lasting_ids)
    done: dict[str, tuple[str, int]] = {}
    for event in events:
        task = event["task"]
        if event["what"] == "done":
            done.setdefault(task, (event["worker"], event["run"]))
            continue
        is_lasting = task.partition(".")[0] in lasting
        if event["what"] == "started" and task in done and not is_lasting:
            faults.append(f"TWICE: {task} run {event['run']} after {done[task]}")
    return faults


def check_order(
    events: Sequence[Mapping[str, Any]], job_by_id: Mapping[str, SentJob]
) -> list[str]:
    """Return each start before all tasks of an earlier step were done."""
    faults = []
    done: dict[tuple[str, int], set[str]] = {}
    for event in events:
        job_id, _, step, index = event["task"].split(".")
        job = job_by_id.get(job_id)
        if job is None:
            continue
        if event["what"] == "done":
            done.setdefault((job_id, int(step)), set()).add(index)
        elif event["what"] == "started":
            for former in job.steps[int(step)].after:
                n_done = len(done.get((job_id, former), ()))
                if n_done < job.steps[former].n_tasks:
                    faults.append(f"ORDER: {event['task']} before step {former}")
    return faults


def check_asked(
    events: Sequence[Mapping[str, Any]], job_by_id: Mapping[str, SentJob]
) -> list[str]:
    """Return each start of a job that was never sent or was surely refused."""
    faults = []
    for event in events:
        job = job_by_id.get(event["task"].partition(".")[0])
        if job is None:
            faults.append(f"UNASKED: {event['task']}")
        elif event["what"] == "started" and not job.may_run:
            faults.append(f"REFUSED: {event['task']} was refused and started")
    return faults
