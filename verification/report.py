"""Printed report on the results of fault schedules."""

from collections.abc import Sequence

from .trial import TrialResult

MAX_VIOLATIONS_SHOWN = 5


def print_report(results: Sequence[TrialResult]) -> int:
    """Print one row for each run, then the violations.

    At most ``MAX_VIOLATIONS_SHOWN`` violations of a run are printed.

    Returns:
        The number of violations in all runs.
    """
    print(
        f"\n{'schedule':<28}{'seed':>5}{'calls':>7}{'runs':>7}{'served':>9}"
        f"{'recovery':>10}{'violations':>12}  refused"
    )
    for result in results:
        refusals = ", ".join(
            f"{reason} {count}" for reason, count in result.n_by_refusal.most_common(4)
        )
        print(
            f"{result.schedule:<28}{result.seed:>5}{result.n_operations:>7}"
            f"{result.n_executions:>7}{result.share_served:>9.1%}"
            f"{result.recovery_seconds:>8.1f} s{len(result.violations):>12}  {refusals}"
        )
    for result in results:
        for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
            print(
                f"{result.schedule} seed {result.seed}: "
                f"{violation.promise} {violation.detail}"
            )
    return sum(len(result.violations) for result in results)
