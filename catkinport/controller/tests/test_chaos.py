"""Seeded random faults, with the invariants checked after every step."""

import random

import pytest

from ...ports import Write
from ...ports.table import Transaction
from ...standins import LossyTable
from ...state import MAINTENANCE, allowance_key, vm_key
from .cluster import Cluster
from .test_fleet import BudgetChecker

POOLS = ("p", "q")
N_JOBS = 30
MAX_CORES = 20


class RandomFaultRun:
    """Two pools with jobs, maintenance and random faults.

    Args:
        seed: seed of the faults.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)

        def make_table(table):
            rng = random.Random(seed + 1)
            return LossyTable(BudgetChecker(table), fault_rate=0.15, rng=rng)

        self.cluster = Cluster(MAX_CORES, pools=POOLS, wrap_table=make_table)
        for number in range(8):
            pool, rack = POOLS[number % 2], f"r-{number // 4}"
            self.cluster.add_vm(f"vm-{number}", pool, rack, cores=16.0)
        value = {"is_paused": False, "is_started": True, "operator": "ana"}
        self.cluster.table.commit(Transaction([], [Write(MAINTENANCE, value)]))
        for number in range(N_JOBS):
            pool = POOLS[number % 2]
            is_restartable = number % 3 != 0
            seconds = self.rng.uniform(5.0, 120.0)
            self.cluster.submit(
                f"j-{number}", pool, run_seconds=seconds, is_restartable=is_restartable
            )
        self.owners = {
            pool: [self.cluster.add_owner(pool, f"c-{pool}")] for pool in POOLS
        }

    def run(self, n_steps: int) -> None:
        for step in range(n_steps):
            if step < n_steps // 3 and step % 20 == 0:
                self._inject()
            if step == n_steps // 3:
                self._repair()
            managers = [m for owners in self.owners.values() for m in owners]
            self.cluster.run(*managers, seconds=1.0, period=1.0)
            self._check()

    def _inject(self) -> None:
        vm_id = f"vm-{self.rng.randrange(8)}"
        fault = self.rng.choice(["down", "up", "answers", "owner", "reboot", "cancel"])
        if fault == "down":
            self.cluster.workers.down.add(f"w-{vm_id}")
        elif fault == "up":
            self.cluster.workers.down.clear()
        elif fault == "answers":
            self.cluster.workers.loses_start_answers ^= {f"w-{vm_id}"}
        elif fault == "owner":
            pool = self.rng.choice(POOLS)
            # The former owner keeps running its steps.
            self.owners[pool].append(
                self.cluster.add_owner(pool, f"c-{self.rng.random()}")
            )
        elif fault == "reboot":
            self.cluster.vm_list.reboot(vm_id, f"platform-{self.rng.random()}")
            self.cluster.workers.drop_tasks(f"w-{vm_id}")
        else:
            number = self.rng.randrange(N_JOBS)
            self.cluster.cancel(f"j-{number}", POOLS[number % 2])

    def _repair(self) -> None:
        self.cluster.workers.down.clear()
        self.cluster.workers.loses_start_answers.clear()
        self.cluster.manager_table.fault_rate = 0.0

    def _check(self) -> None:
        assert self.cluster.manager_table.n_violations == 0
        key = allowance_key("a", "cores")
        rows = self.cluster.table.read([key])
        amounts = rows[key].value["amount_by_holder"] if key in rows else {}
        assert sum(amounts.values()) <= MAX_CORES
        for number in range(0, N_JOBS, 3):
            assert self.cluster.workers.count_starts(f"j-{number}") <= 1

    def states(self) -> list[str]:
        jobs = [self.cluster.job(f"j-{n}", POOLS[n % 2]) for n in range(N_JOBS)]
        return [job["state"] for job in jobs]


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(4))
    def test_invariants_hold_and_every_job_ends(self, seed):
        """Guards against faults that break an invariant only in combination.

        No maintenance drain exceeds the availability budget, no team exceeds its limit
        of cores, no job that is not restartable starts twice, every job ends and every
        VM serves its pool again.
        """
        run = RandomFaultRun(seed)
        run.run(1200)
        states = run.states()
        assert set(states) <= {"done", "cancelled", "unknown"}
        assert all(states[n] != "unknown" for n in range(N_JOBS) if n % 3)
        vms = [run.cluster.table.read([vm_key(f"vm-{n}")]) for n in range(8)]
        rows = [next(iter(found.values())).value for found in vms]
        assert {row["state"] for row in rows} == {"active"}
        assert [row["pool"] for row in rows] == list(POOLS) * 4
