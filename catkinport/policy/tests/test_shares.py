"""Tests of weighted max-min sharing by water filling."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ..resources import Resources, dominant_share, is_within, scale, total
from ..shares import Claim, water_fill

AMOUNTS = st.builds(
    Resources,
    st.floats(0.1, 500),
    st.floats(0, 2000),
    st.sampled_from([0.0, 0.0, 4.0, 30.0]),
)
CLAIMS = st.lists(
    st.tuples(st.floats(0.1, 10), AMOUNTS, st.sampled_from([5.0, 50.0, 1e9])),
    min_size=1,
    max_size=8,
).map(
    lambda rows: [
        Claim(f"team-{n}", weight, demand, cap)
        for n, (weight, demand, cap) in enumerate(rows)
    ]
)
POOL = Resources(300.0, 1200.0, 16.0)


class TestWaterFill:
    """Guards against allocations that exceed the pool, waste it or are unfair."""

    @seed(1)
    @settings(max_examples=60, deadline=None)
    @given(CLAIMS)
    def test_keeps_within_capacity_demand_and_caps(self, claims: list[Claim]) -> None:
        allocation_by_name = water_fill(POOL, claims)
        assert is_within(total(allocation_by_name.values()), scale(POOL, 1 + 1e-6))
        for claim in claims:
            amount = allocation_by_name[claim.name]
            assert is_within(amount, scale(claim.demand, 1 + 1e-6))
            assert amount.cores <= claim.max_cores * (1 + 1e-6)

    @seed(2)
    @settings(max_examples=60, deadline=None)
    @given(CLAIMS)
    def test_gives_less_than_demand_only_where_a_resource_ran_out(
        self, claims: list[Claim]
    ) -> None:
        allocation_by_name = water_fill(POOL, claims)
        used = total(allocation_by_name.values())
        is_full = [u >= c * (1 - 1e-6) for u, c in zip(used, POOL, strict=True)]
        for claim in claims:
            amount = allocation_by_name[claim.name]
            wanted = min(claim.demand.cores, claim.max_cores)
            if amount.cores < wanted * (1 - 1e-6):
                needs = [need > 0 for need in claim.demand]
                assert any(n and full for n, full in zip(needs, is_full, strict=True))

    @seed(3)
    @settings(max_examples=40, deadline=None)
    @given(CLAIMS)
    def test_unmet_teams_of_one_resource_have_equal_levels(
        self, claims: list[Claim]
    ) -> None:
        plain = [c._replace(demand=Resources(c.demand.cores, 0.0, 0.0)) for c in claims]
        allocation_by_name = water_fill(POOL, plain)
        levels = [
            dominant_share(allocation_by_name[claim.name], POOL) / claim.weight
            for claim in plain
            if allocation_by_name[claim.name].cores
            < min(claim.demand.cores, claim.max_cores) * (1 - 1e-6)
        ]
        assert not levels or max(levels) == pytest.approx(min(levels), rel=1e-6)

    def test_rejects_a_weight_of_zero(self) -> None:
        with pytest.raises(ValueError, match="weight of a must be > 0, got 0"):
            water_fill(POOL, [Claim("a", 0, POOL)])
