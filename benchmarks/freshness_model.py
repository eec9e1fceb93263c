"""Does a member with a running lease always know every acknowledged change?

Runs a seeded randomized model of ``policy/freshness.py`` itself, and deliberately
wrong variants of its rule, and counts the runs with a violation. Also prints the
share of time that leases run under each fault.

Run ``python -m benchmarks.freshness_model --runs 3000 --processes 4``.
"""

import argparse
import statistics
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from catkinport.policy.freshness import Freshness, PeerAnswer, View

from ._freshness_world import TIMING, Process, World
from .registry import Figure, register

RUN_SECONDS = 60.0
# Seeds of the registered benchmark; the command line runs 3,000.
N_SEEDS = 300
FAULT_START = 12.0
FAULT_END = 42.0


class AnyPeerConfirms(Freshness):
    """Wrong: the answer of one peer renews the lease."""

    def _confirmed_at(self) -> float | None:
        known = self._confirmed_at_by_peer
        return max((known[p] for p in self._peer_ids() & known.keys()), default=None)


class NewMemberWaitsOnlyT(Freshness):
    """Wrong: a new member accepts changes after T, acknowledged or not."""

    def _initial_established_at(self) -> float:
        return self._registered_at + self.timing.wait(self.timing.lease)


class ViewsNotMerged(Freshness):
    """Wrong: the view comes from the own store reads only."""

    def _learn_from_peer(self, revision: int, view: View, now: float) -> None:
        self.on_revision_known(revision, now)


class AnyMemberAcknowledges(Freshness):
    """Wrong: a member that may not accept changes itself acknowledges another."""

    def _is_acknowledged_by(self, answer: PeerAnswer) -> bool:
        return super()._is_acknowledged_by(answer._replace(is_established=True))


VARIANT_BY_NAME: dict[str, type[Freshness]] = {
    "product": Freshness,
    "any peer confirms": AnyPeerConfirms,
    "new member waits only T": NewMemberWaitsOnlyT,
    "views not merged": ViewsNotMerged,
    "any member acknowledges": AnyMemberAcknowledges,
}


class RunResult(NamedTuple):
    """Outcome of one run; ``violation`` is empty when there was none."""

    seed: int
    violation: str
    n_acknowledged: int


def run_randomized(seed: int, variant: str = "product") -> RunResult:
    """Run one seed with random faults.

    Example:
        >>> run_randomized(1).violation
        ''
    """
    world = World(seed, VARIANT_BY_NAME[variant], late_share=0.05, lost_share=0.02)
    rng = world.rng
    for _ in range(rng.randint(2, 4)):
        world.start_process()
        world.run_until(world.time + rng.uniform(0.0, 1.0))
    world.run_until(5.0)
    # Few kinds of faults a run, at different rates, so that rare combinations occur
    # and changes are still acknowledged between them.
    faults = rng.sample(_FAULTS, rng.randint(2, 5))
    rates = [rng.choice((0.05, 0.2, 0.6)) for _ in faults]
    while world.time < RUN_SECONDS and not world.violations:
        world.run_until(world.time + 0.25)
        for rate, fault in zip(rates, faults, strict=True):
            if rng.random() < rate * 0.25:
                fault(world)
        if rng.random() < 0.25 and world.alive():
            rng.choice(world.alive()).accept_change()
    violation = world.violations[0] if world.violations else ""
    return RunResult(seed, violation, world.n_acknowledged)


def _cut_link(world: World) -> None:
    if len(world.alive()) < 2:
        return
    first, second = world.rng.sample(world.alive(), 2)
    link = frozenset((first.number, second.number))
    world.down_links.add(link)
    world.after(_duration(world), lambda: world.down_links.discard(link))


def _isolate(world: World) -> None:
    if not world.alive():
        return
    chosen = world.rng.choice(world.alive())
    links = {
        frozenset((chosen.number, other.number))
        for other in world.processes
        if other is not chosen
    }
    world.down_links |= links
    world.after(_duration(world), lambda: world.down_links.difference_update(links))


def _cut_island(world: World) -> None:
    numbers = [process.number for process in world.alive()]
    n_chosen = world.rng.choice((len(numbers), world.rng.randint(0, len(numbers))))
    island = frozenset(world.rng.sample(numbers, n_chosen))
    world.islands.append(island)
    world.after(_duration(world), lambda: world.islands.remove(island))


def _cut_store(world: World) -> None:
    if not world.alive():
        return
    number = world.rng.choice(world.alive()).number
    world.without_store.add(number)
    world.after(_duration(world), lambda: world.without_store.discard(number))


def _stop_store(world: World) -> None:
    world.is_store_down = True

    def restore() -> None:
        world.is_store_down = False

    world.after(_duration(world), restore)


def _pause(world: World) -> None:
    if world.alive():
        world.rng.choice(world.alive()).pause(world.rng.uniform(0.2, 8.0))


def _crash(world: World) -> None:
    if len(world.alive()) > 1:
        world.rng.choice(world.alive()).crash()


def _leave(world: World) -> None:
    if len(world.alive()) > 1:
        world.rng.choice(world.alive()).leave()


def _join(world: World) -> None:
    if len(world.alive()) < 6:
        world.start_process()


def _duration(world: World) -> float:
    return world.rng.choice((1.0, 3.0, 8.0, 20.0)) * world.rng.uniform(0.5, 1.5)


_FAULTS = (
    _cut_link,
    _isolate,
    _cut_island,
    _cut_store,
    _stop_store,
    _pause,
    _crash,
    _leave,
    _join,
)


def count_violations(
    variant: str, n_runs: int, n_processes: int = 1, first_seed: int = 0
) -> list[RunResult]:
    """Run ``n_runs`` seeds of a variant and return the results."""
    seeds = range(first_seed, first_seed + n_runs)
    if n_processes == 1:
        return [run_randomized(seed, variant) for seed in seeds]
    with ProcessPoolExecutor(n_processes) as executor:
        variants = [variant] * n_runs
        return list(executor.map(run_randomized, seeds, variants, chunksize=25))


Scenario = Callable[[World, list[Process]], list[Process]]
"""Starts a fault and returns the processes whose leases are observed."""


def _no_fault(world: World, members: list[Process]) -> list[Process]:
    return members


def _store_down_for_all(world: World, members: list[Process]) -> list[Process]:
    world.is_store_down = True
    return members


def _store_down_for_one(world: World, members: list[Process]) -> list[Process]:
    world.without_store.add(members[0].number)
    return members[:1]


def _cut_from_peers(world: World, members: list[Process]) -> list[Process]:
    world.down_links |= {frozenset((members[0].number, m.number)) for m in members[1:]}
    return members[:1]


def _cut_one_link(world: World, members: list[Process]) -> list[Process]:
    world.down_links.add(frozenset((members[0].number, members[1].number)))
    return members[:2]


def _cut_from_both(world: World, members: list[Process]) -> list[Process]:
    _store_down_for_one(world, members)
    return _cut_from_peers(world, members)


def _crash_in_outage(world: World, members: list[Process]) -> list[Process]:
    world.is_store_down = True
    members[0].crash()
    return members[1:]


def _goodbye_in_outage(world: World, members: list[Process]) -> list[Process]:
    world.is_store_down = True
    members[0].leave()
    return members[1:]


def _replaced_in_outage(world: World, members: list[Process]) -> list[Process]:
    world.is_store_down = True
    members[0].leave()
    return [world.start_process()]


def _paused(world: World, members: list[Process]) -> list[Process]:
    members[0].pause(5.0)
    return members[:1]


SCENARIO_BY_NAME: dict[str, Scenario] = {
    "none": _no_fault,
    "store down for all, 30 s (M is 15 s here)": _store_down_for_all,
    "store down for one member": _store_down_for_one,
    "one member cut off from peers": _cut_from_peers,
    "link between two members down: these two": _cut_one_link,
    "one member cut off from both": _cut_from_both,
    "member crashes in a store outage": _crash_in_outage,
    "member says goodbye in a store outage": _goodbye_in_outage,
    "member replaced in a store outage: the new one": _replaced_in_outage,
    "member paused for 5 of 30 s": _paused,
}


def lease_share(scenario: str, seed: int) -> float:
    """Return the share of time that the observed leases run during a fault."""
    world = World(seed)
    members = [world.start_process() for _ in range(4)]
    world.run_until(FAULT_START)
    observed = SCENARIO_BY_NAME[scenario](world, members)
    samples = []
    while world.time < FAULT_END:
        world.run_until(world.time + 0.05)
        samples += [_is_serving(process) for process in observed]
    return statistics.mean(samples)


def _is_serving(process: Process) -> bool:
    freshness = process.freshness
    if freshness is None or process.is_paused:
        return False
    return freshness.is_fresh(process.now())


@register("freshness")
def measure() -> list[Figure]:
    """Count violating runs of the product and of the variants, and lease shares."""
    n_failed = {
        variant: sum(bool(r.violation) for r in count_violations(variant, N_SEEDS))
        for variant in VARIANT_BY_NAME
    }
    setting = f"{N_SEEDS} seeds of {RUN_SECONDS:.0f} s"
    figures = [
        Figure(
            f"{setting}; baseline: {variant}",
            "violating runs",
            n_failed["product"],
            baseline=n_failed[variant],
            target=0,
            is_promise=True,
        )
        for variant in VARIANT_BY_NAME
        if variant != "product"
    ]
    for scenario in SCENARIO_BY_NAME:
        share = statistics.mean(lease_share(scenario, seed) for seed in range(10))
        figures.append(Figure(scenario, "share of time without lease", 1 - share))
    return figures


def _report(n_runs: int, n_processes: int, n_scenario_runs: int) -> Iterator[str]:
    yield f"randomized model, {n_runs} seeds of {RUN_SECONDS:.0f} s, T {TIMING.lease} s"
    yield f"{'variant':<28}{'violating runs':>15}{'acknowledged':>14}{'seconds':>9}"
    for variant in VARIANT_BY_NAME:
        started = time.monotonic()
        results = count_violations(variant, n_runs, n_processes)
        n_failed = sum(bool(result.violation) for result in results)
        n_acknowledged = sum(result.n_acknowledged for result in results)
        elapsed = time.monotonic() - started
        yield f"{variant:<28}{n_failed:>15}{n_acknowledged:>14}{elapsed:>9.1f}"
        for result in [r for r in results if r.violation][:1]:
            yield f"  first: seed {result.seed}: {result.violation}"
    yield f"share of time that leases run during the fault, {n_scenario_runs} seeds"
    for scenario in SCENARIO_BY_NAME:
        shares = [lease_share(scenario, seed) for seed in range(n_scenario_runs)]
        yield f"{scenario:<52}{statistics.mean(shares):>7.3f}"


def main() -> None:
    """Print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3000)
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument("--scenario-runs", type=int, default=10)
    arguments = parser.parse_args()
    for line in _report(arguments.runs, arguments.processes, arguments.scenario_runs):
        print(line, flush=True)


if __name__ == "__main__":
    main()
