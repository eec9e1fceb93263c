"""Randomized test of the freshness lease against faults.

A member must not hold a lease while it lacks an acknowledged change. Seeded runs of
``policy/freshness/`` in a simulation count the violations of that rule. Deliberately
wrong variants of the code show that the simulation detects violations. The report also
gives the share of time that leases run during each fault.

T is the length of a lease, and M the longest time that a lease lasts after the last
read of the store.

Run ``python -m benchmarks.freshness_model --runs 3000 --processes 4``.
"""

import argparse
import statistics
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from catkinport.policy.freshness import Freshness, PeerAnswer, View

from ._freshness_simulation import TIMING, Process, Simulation
from .registry import Figure, register

RUN_SECONDS = 60.0
# Seeds of the registered benchmark; the command line runs 3,000 by default.
N_SEEDS = 300
FAULT_START = 12.0
FAULT_END = 42.0


class AnyPeerConfirms(Freshness):
    """Wrong variant in which the answer of one peer renews the lease."""

    def _confirmed_at(self) -> float | None:
        known = self._contacts.confirmed_at_by_peer
        return max((known[p] for p in self._peer_ids() & known.keys()), default=None)


class NewMemberSkipsAcknowledgment(Freshness):
    """Wrong variant in which a new member waits for no acknowledgment.

    It accepts changes one lease time T after its registration.
    """

    def _initial_established_at(self) -> float:
        return self._registered_at + self.timing.plus_margin(self.timing.lease)


class PeerViewsIgnored(Freshness):
    """Wrong variant in which a member ignores the views of its peers."""

    def _learn_from_peer(self, revision: int, view: View, now: float) -> None:
        self.on_revision_known(revision, now)


class AnyMemberAcknowledges(Freshness):
    """Wrong variant in which a member that is not established acknowledges others."""

    def _is_acknowledged_by(self, answer: PeerAnswer) -> bool:
        return super()._is_acknowledged_by(answer._replace(is_established=True))


VARIANT_BY_NAME: dict[str, type[Freshness]] = {
    "product": Freshness,
    "any peer confirms": AnyPeerConfirms,
    "new member waits only T": NewMemberSkipsAcknowledgment,
    "views not merged": PeerViewsIgnored,
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
    simulation = Simulation(
        seed, VARIANT_BY_NAME[variant], late_share=0.05, lost_share=0.02
    )
    rng = simulation.rng
    for _ in range(rng.randint(2, 4)):
        simulation.start_process()
        simulation.run_until(simulation.time + rng.uniform(0.0, 1.0))
    simulation.run_until(5.0)
    # Each run has few kinds of faults at different rates, so that rare combinations
    # occur and changes are still acknowledged between faults.
    faults = rng.sample(_FAULTS, rng.randint(2, 5))
    rates = [rng.choice((0.05, 0.2, 0.6)) for _ in faults]
    while simulation.time < RUN_SECONDS and not simulation.violations:
        simulation.run_until(simulation.time + 0.25)
        for rate, fault in zip(rates, faults, strict=True):
            if rng.random() < rate * 0.25:
                fault(simulation)
        if rng.random() < 0.25 and simulation.alive():
            rng.choice(simulation.alive()).accept_change()
    violation = simulation.violations[0] if simulation.violations else ""
    return RunResult(seed, violation, simulation.n_acknowledged)


def run_island(variant: str, n_members: int, n_newcomers: int) -> RunResult:
    """Cut two members off from all others and the store; the others accept changes."""
    simulation = Simulation(0, VARIANT_BY_NAME[variant])
    members = [simulation.start_process() for _ in range(n_members)]
    simulation.run_until(5.0)
    simulation.partitions.append(frozenset(member.number for member in members[:2]))
    newcomers = [simulation.start_process() for _ in range(n_newcomers)]
    # Ends before ``without_store`` (M), so that the partitioned members hold leases.
    while simulation.time < 5.0 + TIMING.minus_margin(TIMING.without_store):
        simulation.run_until(simulation.time + 0.5)
        for process in (*members[2:], *newcomers):
            process.accept_change()
    violation = simulation.violations[0] if simulation.violations else ""
    return RunResult(0, violation, simulation.n_acknowledged)


def _cut_link(simulation: Simulation) -> None:
    if len(simulation.alive()) < 2:
        return
    first, second = simulation.rng.sample(simulation.alive(), 2)
    link = frozenset((first.number, second.number))
    simulation.down_links.add(link)
    simulation.after(
        _draw_duration(simulation), lambda: simulation.down_links.discard(link)
    )


def _isolate(simulation: Simulation) -> None:
    if not simulation.alive():
        return
    chosen = simulation.rng.choice(simulation.alive())
    links = {
        frozenset((chosen.number, other.number))
        for other in simulation.processes
        if other is not chosen
    }
    simulation.down_links |= links
    simulation.after(
        _draw_duration(simulation),
        lambda: simulation.down_links.difference_update(links),
    )


def _cut_partition(simulation: Simulation) -> None:
    numbers = [process.number for process in simulation.alive()]
    n_chosen = simulation.rng.choice(
        (len(numbers), simulation.rng.randint(0, len(numbers)))
    )
    partition = frozenset(simulation.rng.sample(numbers, n_chosen))
    simulation.partitions.append(partition)
    simulation.after(
        _draw_duration(simulation), lambda: simulation.partitions.remove(partition)
    )


def _cut_from_store(simulation: Simulation) -> None:
    if not simulation.alive():
        return
    number = simulation.rng.choice(simulation.alive()).number
    simulation.numbers_without_store.add(number)
    simulation.after(
        _draw_duration(simulation),
        lambda: simulation.numbers_without_store.discard(number),
    )


def _stop_store(simulation: Simulation) -> None:
    simulation.is_store_down = True

    def restore() -> None:
        simulation.is_store_down = False

    simulation.after(_draw_duration(simulation), restore)


def _pause(simulation: Simulation) -> None:
    if simulation.alive():
        simulation.rng.choice(simulation.alive()).pause(
            simulation.rng.uniform(0.2, 8.0)
        )


def _crash(simulation: Simulation) -> None:
    if len(simulation.alive()) > 1:
        simulation.rng.choice(simulation.alive()).crash()


def _leave(simulation: Simulation) -> None:
    if len(simulation.alive()) > 1:
        simulation.rng.choice(simulation.alive()).leave()


def _join(simulation: Simulation) -> None:
    if len(simulation.alive()) < 6:
        simulation.start_process()


def _draw_duration(simulation: Simulation) -> float:
    return simulation.rng.choice((1.0, 3.0, 8.0, 20.0)) * simulation.rng.uniform(
        0.5, 1.5
    )


_FAULTS = (
    _cut_link,
    _isolate,
    _cut_partition,
    _cut_from_store,
    _stop_store,
    _pause,
    _crash,
    _leave,
    _join,
)


def run_seeds(
    variant: str, n_runs: int, n_processes: int = 1, first_seed: int = 0
) -> list[RunResult]:
    """Run ``n_runs`` seeds of a variant and return one result per seed."""
    seeds = range(first_seed, first_seed + n_runs)
    if n_processes == 1:
        return [run_randomized(seed, variant) for seed in seeds]
    with ProcessPoolExecutor(n_processes) as executor:
        variants = [variant] * n_runs
        return list(executor.map(run_randomized, seeds, variants, chunksize=25))


Scenario = Callable[[Simulation, list[Process]], list[Process]]
"""Function that starts a fault and returns the processes to observe."""


def _no_fault(simulation: Simulation, members: list[Process]) -> list[Process]:
    return members


def _store_down_for_all(
    simulation: Simulation, members: list[Process]
) -> list[Process]:
    simulation.is_store_down = True
    return members


def _store_down_for_one(
    simulation: Simulation, members: list[Process]
) -> list[Process]:
    simulation.numbers_without_store.add(members[0].number)
    return members[:1]


def _cut_from_peers(simulation: Simulation, members: list[Process]) -> list[Process]:
    simulation.down_links |= {
        frozenset((members[0].number, m.number)) for m in members[1:]
    }
    return members[:1]


def _cut_one_link(simulation: Simulation, members: list[Process]) -> list[Process]:
    simulation.down_links.add(frozenset((members[0].number, members[1].number)))
    return members[:2]


def _cut_from_store_and_peers(
    simulation: Simulation, members: list[Process]
) -> list[Process]:
    _store_down_for_one(simulation, members)
    return _cut_from_peers(simulation, members)


def _crash_in_outage(simulation: Simulation, members: list[Process]) -> list[Process]:
    simulation.is_store_down = True
    members[0].crash()
    return members[1:]


def _leave_in_outage(simulation: Simulation, members: list[Process]) -> list[Process]:
    simulation.is_store_down = True
    members[0].leave()
    return members[1:]


def _replaced_in_outage(
    simulation: Simulation, members: list[Process]
) -> list[Process]:
    simulation.is_store_down = True
    members[0].leave()
    return [simulation.start_process()]


def _paused(simulation: Simulation, members: list[Process]) -> list[Process]:
    members[0].pause(5.0)
    return members[:1]


SCENARIO_BY_NAME: dict[str, Scenario] = {
    "none": _no_fault,
    "store down for all, 30 s (M is 15 s here)": _store_down_for_all,
    "store down for one member": _store_down_for_one,
    "one member cut off from peers": _cut_from_peers,
    "link between two members down: these two": _cut_one_link,
    "one member cut off from both": _cut_from_store_and_peers,
    "member crashes in a store outage": _crash_in_outage,
    "member leaves in a store outage": _leave_in_outage,
    "member replaced in a store outage: the new one": _replaced_in_outage,
    "member paused for 5 of 30 s": _paused,
}


def lease_share(scenario: str, seed: int) -> float:
    """Return the share of time that the observed members hold leases in a fault."""
    simulation = Simulation(seed)
    members = [simulation.start_process() for _ in range(4)]
    simulation.run_until(FAULT_START)
    observed = SCENARIO_BY_NAME[scenario](simulation, members)
    samples = []
    while simulation.time < FAULT_END:
        simulation.run_until(simulation.time + 0.05)
        samples += [_has_lease(process) for process in observed]
    return statistics.mean(samples)


def eviction_seconds(seed: int, n_members: int = 4) -> float:
    """Return the seconds from a member's crash to its eviction, with the store up."""
    simulation = Simulation(seed)
    members = [simulation.start_process() for _ in range(n_members)]
    simulation.run_until(FAULT_START + simulation.rng.uniform(0.0, 2.0))
    crashed_at = simulation.time
    members[0].crash()
    while not simulation.store.member_by_id[members[0].member_id].is_evicted:
        simulation.run_until(simulation.time + 0.05)
    return simulation.time - crashed_at


def _has_lease(process: Process) -> bool:
    freshness = process.freshness
    if freshness is None or process.is_paused:
        return False
    return freshness.is_fresh(process.now())


@register("freshness")
def measure() -> list[Figure]:
    """Count violating runs of the product and of the variants, and lease shares."""
    n_violating = {
        variant: sum(bool(r.violation) for r in run_seeds(variant, N_SEEDS))
        for variant in VARIANT_BY_NAME
    }
    setting = f"{N_SEEDS} seeds of {RUN_SECONDS:.0f} s"
    figures = [
        Figure(
            f"{setting}; baseline: {variant}",
            "violating runs",
            n_violating["product"],
            baseline=n_violating[variant],
            target=0,
            is_promise=True,
        )
        for variant in VARIANT_BY_NAME
        if variant != "product"
    ]
    for scenario in SCENARIO_BY_NAME:
        share = statistics.mean(lease_share(scenario, seed) for seed in range(10))
        figures.append(Figure(scenario, "share of time without lease", 1 - share))
    for n_members in (2, 4, 9):
        seconds = [eviction_seconds(seed, n_members) for seed in range(30)]
        setting = f"crash of one of {n_members} members"
        quantity = "seconds until evicted, longest of 30"
        figures.append(Figure(setting, quantity, max(seconds)))
    return figures


def _report(n_runs: int, n_processes: int, n_scenario_runs: int) -> Iterator[str]:
    yield f"randomized model, {n_runs} seeds of {RUN_SECONDS:.0f} s, T {TIMING.lease} s"
    yield f"{'variant':<28}{'violating runs':>15}{'acknowledged':>14}{'seconds':>9}"
    for variant in VARIANT_BY_NAME:
        started = time.monotonic()
        results = run_seeds(variant, n_runs, n_processes)
        n_violating = sum(bool(result.violation) for result in results)
        n_acknowledged = sum(result.n_acknowledged for result in results)
        elapsed = time.monotonic() - started
        yield f"{variant:<28}{n_violating:>15}{n_acknowledged:>14}{elapsed:>9.1f}"
        for result in [r for r in results if r.violation][:1]:
            yield f"  first: seed {result.seed}: {result.violation}"
    yield f"share of time that leases run during the fault, {n_scenario_runs} seeds"
    for scenario in SCENARIO_BY_NAME:
        shares = [lease_share(scenario, seed) for seed in range(n_scenario_runs)]
        yield f"{scenario:<52}{statistics.mean(shares):>7.3f}"
    yield "seconds from a crash to the eviction: median, longest of 30 seeds"
    for n_members in (2, 4, 9):
        times = [eviction_seconds(seed, n_members) for seed in range(30)]
        yield f"{n_members} members{statistics.median(times):>8.2f}{max(times):>8.2f}"


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
