"""Tests of the VMs of pools whose queues have peaks one after the other."""

from ..pool_size import (
    BusyVm,
    IdleVm,
    PoolView,
    choose_moves,
    choose_vms_to_cordon,
    find_lendable_vms,
    urgent_vms,
    wanted_vms,
)

CORES = 64.0


def make_pool(name="a", **fields):
    values = {
        "is_spare": False,
        "busy_cores": 0.0,
        "waiting_cores": 0.0,
        "vm_cores": CORES,
        "own_vms": 6,
        "n_vms": 3,
        **fields,
    }
    return PoolView(name, **values)


def by_name(*pools):
    return {pool.name: pool for pool in pools}


class TestWanted:
    def test_late_work_brings_in_fewer_vms(self):
        """Guards against VMs that are brought in for jobs that are late in any case."""
        on_time = make_pool(waiting_cores=20 * CORES)
        late = make_pool(late_cores=20 * CORES)
        assert wanted_vms(on_time) == 14
        assert wanted_vms(late) == 4

    def test_late_work_is_not_urgent(self):
        pool = make_pool(busy_cores=10 * CORES, late_cores=50 * CORES, n_vms=20)
        assert urgent_vms(pool) == 1


class TestOverloadBeforeAnotherTurn:
    """A client account overloads its pool, then the next pool's turn begins."""

    def _pools(self):
        crowded = make_pool("crowded", n_vms=20, busy_cores=20 * CORES, late_cores=1e4)
        next_one = make_pool("next", n_vms=4, waiting_cores=20 * CORES, is_busy=True)
        return by_name(crowded, next_one, make_pool("spare", is_spare=True, n_vms=0))

    def test_vms_with_late_jobs_take_no_more_tasks(self):
        """Guards against a turn that waits for VMs with another pool's late jobs."""
        busy = [BusyVm(f"m{i}", "crowded", CORES) for i in range(20)]
        assert len(choose_vms_to_cordon(self._pools(), busy, 0)) == 10

    def test_free_vms_reduce_the_number_of_chosen_vms(self):
        busy = [BusyVm(f"m{i}", "crowded", CORES) for i in range(20)]
        assert len(choose_vms_to_cordon(self._pools(), busy, 8)) == 2

    def test_pool_keeps_vms_for_its_own_urgent_jobs(self):
        pools = self._pools()
        pools["crowded"] = pools["crowded"]._replace(urgent_cores=19 * CORES)
        busy = [BusyVm(f"m{i}", "crowded", CORES) for i in range(20)]
        assert len(choose_vms_to_cordon(pools, busy, 0)) == 1

    def test_chosen_vms_stay_chosen_and_the_least_busy_come_first(self):
        busy = [BusyVm("m0", "crowded", 60.0, True), BusyVm("m1", "crowded", 10.0)]
        pools = self._pools()
        pools["next"] = pools["next"]._replace(n_vms=13)
        assert choose_vms_to_cordon(pools, busy, 0) == {"m0"}
        assert choose_vms_to_cordon(
            pools, [busy[0]._replace(is_cordoned=False), busy[1]], 0
        )

    def test_chosen_vm_moves_as_soon_as_it_is_idle(self):
        idle = [IdleVm("m0", "crowded", 0.0, False, is_cordoned=True)]
        (move,) = choose_moves(self._pools(), idle)
        assert move.pool == "next"


class TestLastingTasks:
    """Lasting tasks of a pool wait for VMs that other pools have."""

    def _pools(self, **fields):
        lender = make_pool("lender", may_rest=True, **fields)
        return by_name(lender, make_pool("short", n_vms=6))

    # Guards against lasting tasks that wait for as long as no VM becomes idle by
    # itself, while by its cores their pool has enough.
    def test_busy_vms_are_cordoned_for_them(self):
        busy = [BusyVm(f"m{i}", "lender", CORES) for i in range(3)]
        pools = self._pools(late_cores=1e4)
        assert choose_vms_to_cordon(pools, busy, 0) == set()
        assert len(choose_vms_to_cordon(pools, busy, 0, {"short": 2})) == 2

    # Guards against a cordon on the VMs of the pool whose tasks wait.
    def test_their_own_pool_is_not_cordoned(self):
        busy = [BusyVm(f"m{i}", "short", CORES) for i in range(6)]
        assert choose_vms_to_cordon(self._pools(), busy, 0, {"short": 2}) == set()

    def test_pools_lend_their_surplus_and_vms_that_are_off(self):
        idle = [IdleVm(f"m{i}", "lender", 1.0, False) for i in range(3)]
        idle += [IdleVm("off0", "spare", 1.0, True)]
        lendable = find_lendable_vms(self._pools(), idle)
        assert [vm.vm_id for vm in lendable] == ["off0", "m0", "m1"]

    # Guards against lending a VM that has been idle only between two tasks.
    def test_vm_that_has_just_become_idle_is_lent_only_if_cordoned(self):
        vm = IdleVm("m0", "lender", 0.1, False)
        assert find_lendable_vms(self._pools(), [vm]) == []
        assert find_lendable_vms(self._pools(), [vm._replace(is_cordoned=True)])


class TestMoves:
    def test_pool_with_jobs_that_can_be_on_time_gets_the_last_vm(self):
        late = make_pool("late", n_vms=1, late_cores=500 * CORES)
        on_time = make_pool("on-time", n_vms=3, waiting_cores=6 * CORES)
        idle = [IdleVm("m0", "spare", 9.0, True)]
        (move,) = choose_moves(by_name(late, on_time), idle)
        assert move.pool == "on-time"

    def test_surplus_vm_is_switched_off_after_some_seconds(self):
        spare = make_pool("spare", is_spare=True)
        pools = by_name(make_pool(n_vms=5), spare)
        assert choose_moves(pools, [IdleVm("m0", "a", 1.0, False)]) == []
        (move,) = choose_moves(pools, [IdleVm("m0", "a", 3.0, False)])
        assert move.pool == "spare"
