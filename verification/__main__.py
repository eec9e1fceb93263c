"""Run fault schedules and print a table of the results (``make prove``)."""

import sys
from dataclasses import field
from typing import Annotated

import cappa

from .report import print_report
from .schedules import list_schedules, run_schedule


@cappa.command(name="verification")
class ProveCommand:
    """Run every fault schedule, or those that are named, with each seed."""

    schedules: Annotated[list[str], cappa.Arg()] = field(default_factory=list)
    seeds: Annotated[list[int], cappa.Arg(long=True)] = field(
        default_factory=lambda: [1, 2]
    )

    def __call__(self) -> None:
        """Run the fault schedules; exit with 1 if a promise was broken, else with 0.

        A promise is a guarantee to users that the checkers test.
        """
        names = self.schedules or list_schedules()
        results = []
        for name in names:
            for seed in self.seeds:
                print(f"running {name} with seed {seed}", flush=True)
                results.append(run_schedule(name, seed))
        n_violations = print_report(results)
        sys.exit(1 if n_violations else 0)


if __name__ == "__main__":
    cappa.invoke(ProveCommand)
