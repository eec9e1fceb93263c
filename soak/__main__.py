"""Run seeds of the soak and print what they have shown (``make soak``)."""

import random
import sys
from typing import Annotated

import cappa

from verification.platform.deployment import PlatformSize

from .regressions import CAUSE_BY_SEED
from .run import SoakResult, run_seed


@cappa.command(name="soak")
class SoakCommand:
    """Run seeds one after the other; a seed repeats its schedule of faults."""

    first: Annotated[int, cappa.Arg(long=True, help="first seed; 0 draws one")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="number of seeds")] = 50
    seconds: Annotated[float, cappa.Arg(long=True, help="time with faults")] = 20.0
    daemons: Annotated[int, cappa.Arg(long=True)] = 3
    vms: Annotated[int, cappa.Arg(long=True, help="VMs of each pool")] = 4
    regressions: Annotated[
        bool, cappa.Arg(long=True, help="play the seeds that have failed instead")
    ] = False

    def __call__(self) -> None:
        """Exit with 1 when a promise was broken."""
        seeds = self._list_seeds()
        size = PlatformSize(n_daemons=self.daemons, n_vms=self.vms)
        n_broken = 0
        for seed in seeds:
            result = run_seed(seed, self.seconds, size)
            n_broken += bool(result.faults)
            print_result(result)
        print(f"{len(seeds)} seeds from {seeds[0]}, {n_broken} with a broken promise")
        sys.exit(1 if n_broken else 0)

    def _list_seeds(self) -> list[int]:
        if self.regressions:
            return sorted(CAUSE_BY_SEED)
        first = self.first or random.SystemRandom().randrange(10**6, 10**9)
        return list(range(first, first + self.seeds))


def print_result(result: SoakResult) -> None:
    """Print a line for a seed, and what went wrong with it."""
    verdict = "broken" if result.faults else "ok"
    print(
        f"seed {result.seed}: {verdict}, {len(result.schedule)} faults, "
        f"{result.n_accepted} of {result.n_jobs} jobs accepted, "
        f"{result.n_starts} runs",
        flush=True,
    )
    for fault in result.faults:
        print(f"  {fault}")
    if result.faults:
        for planned in result.schedule:
            print(f"  {planned.at:6.2f} s {planned.name} {planned.for_seconds:.2f} s")


if __name__ == "__main__":
    cappa.invoke(SoakCommand)
