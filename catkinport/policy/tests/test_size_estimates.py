"""Tests of the correction of declared job sizes."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ..resources import Resources
from ..size_estimates import MAX_FACTOR, SizeEstimates, UsageReport

DECLARED = Resources(4.0, 16.0, 1.0)


def report(used: Resources, n: int = 0, age_seconds: float = 60.0) -> UsageReport:
    return UsageReport("q", "a", f"job-{n}", DECLARED, used, age_seconds)


class TestSizeEstimates:
    """Guards against corrected sizes that match neither declaration nor usage."""

    @pytest.mark.parametrize("factor", [0.1, 0.5, 2.0, 10.0])
    def test_learns_the_error_of_a_queue(self, factor: float) -> None:
        estimates = SizeEstimates()
        for n in range(40):
            estimates.add(report(Resources(4.0 * factor, 16.0, 1.0), n))
        corrected = estimates.correct("q", "a", DECLARED)
        assert corrected.cores == pytest.approx(4.0 * factor, rel=0.1)
        assert corrected.memory_gb == pytest.approx(16.0)

    @seed(1)
    @settings(max_examples=30, deadline=None)
    @given(st.lists(st.floats(0, 1000), max_size=80))
    def test_stays_within_ten_times(self, used_cores: list[float]) -> None:
        estimates = SizeEstimates()
        for n, cores in enumerate(used_cores):
            estimates.add(report(Resources(cores, 16.0, 1.0), n))
        corrected = estimates.correct("q", "a", DECLARED)
        low, high = 4.0 / MAX_FACTOR, 4.0 * MAX_FACTOR
        assert low * 0.999 <= corrected.cores <= high * 1.001
        assert corrected.accelerators == DECLARED.accelerators

    def test_ignores_reports_of_young_tasks(self) -> None:
        estimates = SizeEstimates()
        estimates.add(report(Resources(0.1, 0.1, 0.0), age_seconds=5.0))
        assert estimates.correct("q", "a", DECLARED) == DECLARED

    def test_counts_each_job_once(self) -> None:
        repeated, single = SizeEstimates(), SizeEstimates()
        for _ in range(50):
            repeated.add(report(Resources(40.0, 16.0, 1.0)))
        single.add(report(Resources(40.0, 16.0, 1.0)))
        corrected = repeated.correct("q", "a", DECLARED)
        assert corrected == single.correct("q", "a", DECLARED)

    def test_keeps_teams_apart(self) -> None:
        estimates = SizeEstimates()
        estimates.add(report(Resources(40.0, 16.0, 1.0)))
        assert estimates.correct("q", "b", DECLARED) == DECLARED
