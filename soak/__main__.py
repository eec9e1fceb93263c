"""Run the soak test with several seeds and print the results (``make soak``)."""

import random
import sys
from typing import Annotated

import cappa

from verification.platform.deployment import PlatformSize

from .regressions import SEEDS_BY_PLAN
from .run import Plan, SoakResult, run_seed


@cappa.command(name="soak")
class SoakCommand:
    """Run seeds one after the other; the same seed gives the same fault schedule."""

    first: Annotated[
        int, cappa.Arg(long=True, help="first seed; 0 for a random one")
    ] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="number of seeds")] = 50
    seconds: Annotated[
        float, cappa.Arg(long=True, help="time over which faults are injected")
    ] = 20.0
    daemons: Annotated[int, cappa.Arg(long=True)] = 3
    vms: Annotated[int, cappa.Arg(long=True, help="VMs of each pool")] = 4
    zones: Annotated[
        int,
        cappa.Arg(
            long=True, help="availability zones; with several, some are evacuated"
        ),
    ] = 1
    longest_lease: Annotated[
        float, cappa.Arg(long=True, help="longest lease of a worker in seconds")
    ] = 6.0
    plan: Annotated[
        Plan,
        cappa.Arg(
            long=True,
            help="random faults, restarts of workers under their ids, or both",
        ),
    ] = "standard"
    regressions: Annotated[
        bool, cappa.Arg(long=True, help="run the seeds of the plan that failed before")
    ] = False

    def __call__(self) -> None:
        """Run the seeds; exit with 1 if a promise was broken, else with 0."""
        seeds = self._list_seeds()
        size = PlatformSize(
            n_daemons=self.daemons,
            n_vms=self.vms,
            n_zones=self.zones,
            longest_lease_seconds=self.longest_lease,
        )
        n_broken = 0
        for seed in seeds:
            result = run_seed(seed, self.seconds, size, self.plan)
            n_broken += bool(result.violations)
            print_result(result)
        print(f"{len(seeds)} seeds from {seeds[0]}, {n_broken} with a broken promise")
        sys.exit(1 if n_broken else 0)

    def _list_seeds(self) -> list[int]:
        if self.regressions:
            return SEEDS_BY_PLAN[self.plan]
        first = self.first or random.SystemRandom().randrange(10**6, 10**9)
        return list(range(first, first + self.seeds))


def print_result(result: SoakResult) -> None:
    """Print one line for a seed; with violations, print them and the schedule."""
    verdict = "broken" if result.violations else "ok"
    print(
        f"seed {result.seed}: {verdict}, {len(result.schedule)} faults, "
        f"{result.n_accepted} of {result.n_jobs} jobs accepted, "
        f"{result.n_starts} runs",
        flush=True,
    )
    for violation in result.violations:
        print(f"  {violation}")
    if result.violations:
        print(f"  logs, schedule and events: {result.folder}")
        for planned in result.schedule:
            print(
                f"  {planned.start_seconds:6.2f} s {planned.name} "
                f"{planned.duration_seconds:.2f} s"
            )


if __name__ == "__main__":
    cappa.invoke(SoakCommand)
