"""Tests of the spare pool's size and of the moves from and to it."""

from random import Random

import pytest

from ..buffers import (
    LEND_DELAY_SECONDS,
    RETURN_DELAY_SECONDS,
    FailureDomain,
    PoolLoad,
    PoolNeed,
    plan_moves,
    spare_size,
)

NOW = 10_000.0


def make_load(name: str, n_serving: int, n_needed: int, n_on_loan: int = 0) -> PoolLoad:
    """Return the load of a pool that has long been short of VMs or had too many."""
    short_since = 0.0 if n_needed > n_serving else None
    surplus_since = 0.0 if n_needed < n_serving else None
    return PoolLoad(
        name, n_serving, 0, n_on_loan, n_needed, short_since, surplus_since, 1
    )


class TestSpareSize:
    """Guards against a spare pool that is too small or covers the sum of all bursts."""

    def test_covers_one_burst_and_the_largest_domain(self) -> None:
        pools = [PoolNeed(str(n), 6, 2.0, 10.0, 1) for n in range(5)]
        assert spare_size(pools, [FailureDomain("r", 4), FailureDomain("s", 2)]) == 8

    def test_covers_overlapping_bursts(self) -> None:
        pools = [PoolNeed(str(n), 6, 2.0, 10.0, 1) for n in range(5)]
        assert spare_size(pools, [], n_simultaneous_bursts=2) == 9


class TestMoves:
    """Guards against moves that alternate or that take VMs which a pool needs."""

    @pytest.mark.parametrize("seed", range(30))
    def test_never_lends_or_takes_too_much(self, seed: int) -> None:
        rng = Random(seed)
        loads = [
            make_load(str(n), rng.randint(2, 9), rng.randint(0, 12), rng.randint(0, 2))
            for n in range(6)
        ]
        n_spare = rng.randint(0, 8)
        n_by_pool = plan_moves(loads, n_spare, NOW).n_vms_by_pool
        assert sum(n for n in n_by_pool.values() if n > 0) <= n_spare
        for load in loads:
            n_vms = n_by_pool.get(load.name, 0)
            assert -n_vms <= load.n_on_loan
            if n_vms < 0:
                assert load.n_serving + n_vms >= max(load.n_needed, load.min_vms)
            else:
                assert n_vms <= max(0, load.n_needed - load.n_serving)

    def test_waits_before_it_lends(self) -> None:
        load = make_load("a", 6, 10)._replace(short_since=NOW - LEND_DELAY_SECONDS / 2)
        assert not plan_moves([load], 4, NOW).n_vms_by_pool

    def test_keeps_a_surplus_for_a_while(self) -> None:
        load = make_load("a", 10, 4, n_on_loan=4)
        recent = load._replace(surplus_since=NOW - RETURN_DELAY_SECONDS / 2)
        assert not plan_moves([recent], 0, NOW).n_vms_by_pool
        assert plan_moves([load], 0, NOW).n_vms_by_pool == {"a": -4}

    def test_takes_back_at_once_when_another_pool_is_short(self) -> None:
        surplus = make_load("a", 10, 4, n_on_loan=4)
        surplus = surplus._replace(surplus_since=NOW - LEND_DELAY_SECONDS)
        moves = plan_moves([surplus, make_load("b", 6, 10)], 0, NOW)
        assert moves.n_vms_by_pool == {"a": -4}
