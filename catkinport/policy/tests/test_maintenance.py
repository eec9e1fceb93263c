"""Tests of the choice of VMs to maintain."""

from random import Random

import pytest

from ..maintenance import (
    LEAD_FRACTION,
    MaintainableVm,
    PoolMaintenance,
    choose_vms_to_drain,
)

PERIOD = 1000.0


def make_vm(
    n: int, rack: int = 0, age: float = PERIOD, n_tasks: int = 0
) -> MaintainableVm:
    return MaintainableVm(
        f"vm-{n}", f"zone-{rack}", f"rack-{rack}", True, -age, n_tasks, 0
    )


@pytest.mark.parametrize("seed", range(40))
class TestAnyPool:
    """Guards against drains that exceed the budget or span two racks."""

    def test_keeps_budget_and_rack(self, seed: int) -> None:
        rng = Random(seed)
        vms = []
        for n in range(rng.randint(1, 24)):
            vm = make_vm(n, n // 4, rng.uniform(0, 2 * PERIOD), rng.randint(0, 3))
            if rng.random() < 0.2:
                vm = vm._replace(is_serving=False, is_failed=rng.random() < 0.5)
            vms.append(vm)
        pool = PoolMaintenance("pool", rng.randint(0, 6), vms)
        chosen = set(choose_vms_to_drain(pool, 0.0, PERIOD))
        n_unavailable = sum(not vm.is_serving for vm in vms)
        assert not chosen or n_unavailable + len(chosen) <= pool.max_unavailable
        drained = [vm for vm in vms if vm.vm_id in chosen]
        in_wave = [vm for vm in vms if not vm.is_serving and not vm.is_failed]
        assert all(vm.is_serving for vm in drained)
        assert not chosen or len({vm.rack for vm in drained + in_wave}) == 1


class TestChoice:
    """Guards against VMs that are maintained late, or at a needless cost to tasks."""

    def test_takes_idle_vms_first(self) -> None:
        vms = [make_vm(0, n_tasks=3), make_vm(1), make_vm(2, n_tasks=1)]
        pool = PoolMaintenance("pool", 2, vms)
        assert choose_vms_to_drain(pool, 0.0, PERIOD) == ["vm-1", "vm-2"]

    def test_takes_overdue_vms_before_idle_ones(self) -> None:
        vms = [make_vm(0), make_vm(1, age=2 * PERIOD, n_tasks=3)]
        pool = PoolMaintenance("pool", 1, vms)
        assert choose_vms_to_drain(pool, 0.0, PERIOD) == ["vm-1"]

    def test_leaves_vms_that_are_not_due(self) -> None:
        vms = [make_vm(0, age=PERIOD * (1 - LEAD_FRACTION) - 1)]
        assert choose_vms_to_drain(PoolMaintenance("pool", 1, vms), 0.0, PERIOD) == []

    def test_starts_with_racks_that_have_no_failed_vm(self) -> None:
        failed = make_vm(0)._replace(is_serving=False, is_failed=True)
        vms = [failed, make_vm(1, age=2 * PERIOD), make_vm(2, rack=1)]
        pool = PoolMaintenance("pool", 2, vms)
        assert choose_vms_to_drain(pool, 0.0, PERIOD) == ["vm-2"]

    def test_stops_while_failures_use_up_the_budget(self) -> None:
        failed = make_vm(0)._replace(is_serving=False, is_failed=True)
        pool = PoolMaintenance("pool", 1, [failed, make_vm(1)])
        assert choose_vms_to_drain(pool, 0.0, PERIOD) == []
