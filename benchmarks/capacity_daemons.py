"""Processor time, memory and messages of running daemons at several sizes.

Starts real processes on loopback. ``members`` varies the number of daemons, ``workers``
the number of workers with running tasks, ``load`` the requests per second. Each
measurement prints its rows and a linear fit of each column.

Run ``python -m benchmarks.capacity_daemons members workers load``.
"""

import argparse
import json
import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from verification.client import LoadGenerator, RecordingClient
from verification.deployment import Daemon, Deployment, DeploymentSize
from verification.history import Recorder
from verification.processes import ProcessGroup, Usage

from .capacity_policy import fit_line

MEASURED_SECONDS = 15.0
SETTLE_SECONDS = 8.0
TASKS_PER_WORKER = 4
JOB_SECONDS = 3600.0
SEED = 5


class Row(NamedTuple):
    """Figures of one size: shares in cores, memory in MB, store traffic in bytes/s."""

    size: float
    entry_share: float
    entry_mb: float
    entry_store_bytes: float
    controller_share: float
    controller_mb: float
    controller_store_bytes: float
    reads_per_second: float
    writes_per_second: float


Measurement = Callable[[int], Row]

measurement_by_name: dict[str, tuple[Sequence[int], Measurement]] = {}


def measurement(
    name: str, sizes: Sequence[int]
) -> Callable[[Measurement], Measurement]:
    """Register the decorated function as a measurement at ``sizes``."""

    def register(function: Measurement) -> Measurement:
        measurement_by_name[name] = (sizes, function)
        return function

    return register


@measurement("members", (2, 4, 8))
def measure_members(n_entries: int) -> Row:
    """Measure idle daemons; there are as many controllers as entries."""
    size = DeploymentSize(n_entries=n_entries, n_controllers=n_entries)
    with ProcessGroup() as processes:
        deployment = Deployment(processes, size)
        deployment.start()
        return measure_period(deployment, 2 * n_entries, lambda: None)


@measurement("workers", (12, 36, 72))
def measure_workers(n_workers: int) -> Row:
    """Measure one entry and one controller with tasks running on every worker."""
    size = DeploymentSize(
        n_services=1,
        n_servers=n_workers,
        n_entries=1,
        n_controllers=1,
        n_teams=3,
        max_cores=100_000,
        has_server_processes=False,
    )
    with ProcessGroup() as processes:
        deployment = Deployment(processes, size)
        deployment.start()
        for _ in range(n_workers * TASKS_PER_WORKER):
            deployment.submit_job(JOB_SECONDS, n_cores=8.0)
        return measure_period(deployment, n_workers, lambda: None)


@measurement("load", (1, 4, 8))
def measure_load(n_threads: int) -> Row:
    """Measure daemons under load; the size of the row is the requests per second."""
    size = DeploymentSize(n_entries=1, n_controllers=1)
    recorder = Recorder()
    with ProcessGroup() as processes:
        deployment = Deployment(processes, size)
        deployment.start()
        client = RecordingClient(recorder, deployment.list_caller_addresses)
        callers = deployment.list_callers()
        with LoadGenerator(
            lambda rng: client.send(rng.choice(callers), rng, is_idempotent=True),
            n_threads,
            0.005,
            100_000,
            SEED,
        ):
            n_calls_before = len(recorder.list_operations())
            row = measure_period(deployment, n_threads, lambda: None)
            n_calls = len(recorder.list_operations()) - n_calls_before
    return row._replace(size=n_calls / (MEASURED_SECONDS + SETTLE_SECONDS))


def measure_period(
    deployment: Deployment, size: float, during: Callable[[], None]
) -> Row:
    """Measure all daemons for ``MEASURED_SECONDS``, after ``SETTLE_SECONDS``.

    ``during`` is called at the start of the measured time.
    """
    time.sleep(SETTLE_SECONDS)
    entries = list(deployment.entry_by_name.values())
    controllers = list(deployment.controller_by_name.values())
    before = _measure_all(entries + controllers)
    bytes_before = deployment.count_store_bytes()
    calls_before = deployment.count_store_calls()
    started_at = time.monotonic()
    during()
    time.sleep(MEASURED_SECONDS)
    seconds = time.monotonic() - started_at
    after = _measure_all(entries + controllers)
    bytes_after = deployment.count_store_bytes()
    calls_after = deployment.count_store_calls()

    def mean_share(daemons: Sequence[Daemon]) -> float:
        used = [after[d.name].cpu_seconds - before[d.name].cpu_seconds for d in daemons]
        return sum(used) / len(used) / seconds

    def max_resident_mb(daemons: Sequence[Daemon]) -> float:
        return max(after[d.name].resident_mb for d in daemons)

    def mean_store_bytes(daemons: Sequence[Daemon]) -> float:
        moved = [
            bytes_after.get(d.name, 0) - bytes_before.get(d.name, 0) for d in daemons
        ]
        return sum(moved) / len(moved) / seconds

    return Row(
        size,
        mean_share(entries),
        max_resident_mb(entries),
        mean_store_bytes(entries),
        mean_share(controllers),
        max_resident_mb(controllers),
        mean_store_bytes(controllers),
        _difference(calls_before, calls_after, "reads") / seconds,
        _difference(calls_before, calls_after, "writes") / seconds,
    )


def print_rows(name: str, rows: Sequence[Row]) -> None:
    """Print the rows and a linear fit of each column."""
    print(f"\n{name}: {len(rows)} sizes, {MEASURED_SECONDS:.0f} s each")
    print(json.dumps(rows[0]._fields))
    for row in rows:
        print(json.dumps([round(value, 4) for value in row]))
    sizes = [row.size for row in rows]
    for index, field in enumerate(Row._fields[1:], start=1):
        fit = fit_line(sizes, [row[index] for row in rows])
        print(
            f"  {field:<24} = {fit.intercept:.5g} + {fit.slope:.4g} * size, "
            f"residual {fit.residual:.1%}"
        )


def main() -> None:
    """Run the named measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", choices=[*measurement_by_name, []])
    for name in parser.parse_args().names or list(measurement_by_name):
        sizes, function = measurement_by_name[name]
        print_rows(name, [function(size) for size in sizes])


def _measure_all(daemons: Sequence[Daemon]) -> dict[str, Usage]:
    return {daemon.name: daemon.process.measure() for daemon in daemons}


def _difference(
    before: Mapping[str, int], after: Mapping[str, int], name: str
) -> float:
    return after.get(name, 0) - before.get(name, 0)


if __name__ == "__main__":
    main()
