"""Tests of the schedule of a wave over VMs that carry lasting tasks."""

from ..upkeep import (
    MAX_LASTING_DRAINS,
    PLANNED_FRACTION,
    UpkeepCandidate,
    UpkeepCost,
    WaveView,
    choose_upkeep,
)

DEADLINE_SECONDS = 24.0


def make_lasting(n_vms: int, pool: str = "p", **fields) -> list[UpkeepCandidate]:
    return [
        UpkeepCandidate(f"{pool}-{i}", pool, UpkeepCost.LASTING_WORK, **fields)
        for i in range(n_vms)
    ]


def choose_drains(candidates, age_seconds: float = 0.0) -> list[str]:
    n_vms = len(candidates)
    view = WaveView(
        n_vms, 0, 0, n_vms, age_seconds, DEADLINE_SECONDS, candidates=candidates
    )
    return choose_upkeep(view).drain


class TestLastingTasks:
    def test_a_pool_with_time_drains_one_vm(self):
        """Guards against capacity that is drained long before it is needed."""
        assert choose_drains(make_lasting(3)) == ["p-0"]

    def test_a_pool_with_many_vms_drains_several(self):
        """Guards against a wave that is late because a pool drains one by one.

        Of 90 VMs with a deadline of 24 s, those with lasting tasks went down one after
        the other, and the last five followed 20 s too late.
        """
        n_vms = 9
        drains = choose_drains(make_lasting(n_vms))
        planned_seconds = DEADLINE_SECONDS * PLANNED_FRACTION
        assert len(drains) * planned_seconds / 2.5 >= n_vms

    def test_a_late_wave_drains_as_many_as_may_be(self):
        drains = choose_drains(make_lasting(9), age_seconds=DEADLINE_SECONDS)
        assert len(drains) == MAX_LASTING_DRAINS

    def test_vms_that_drain_already_count(self):
        """Guards against a pool that loses more and more VMs to a wave."""
        draining = make_lasting(MAX_LASTING_DRAINS, is_reserved=True)
        others = [c._replace(vm_id=f"x{c.vm_id}") for c in make_lasting(6)]
        assert choose_drains([*draining, *others], DEADLINE_SECONDS) == []

    def test_each_pool_drains_its_own(self):
        drains = choose_drains([*make_lasting(2, "p"), *make_lasting(2, "q")])
        assert drains == ["p-0", "q-0"]

    def test_a_pool_at_its_peak_waits_while_there_is_time(self):
        """Guards against urgent work that waits for a wave with time left."""
        assert choose_drains(make_lasting(2, is_pool_busy=True)) == []


class TestIdleVms:
    """A wave comes just before the demand of a queue rises to five times its mean."""

    def _choose(self, age_seconds: float, n_begun: int = 0) -> list[str]:
        idle = [
            UpkeepCandidate(f"m-{i}", "p", UpkeepCost.IDLE) for i in range(72 - n_begun)
        ]
        view = WaveView(72, n_begun, 0, 38, age_seconds, DEADLINE_SECONDS, idle)
        return choose_upkeep(view).maintain

    def test_most_of_them_stay_for_demand_that_rises(self):
        """Guards against urgent jobs that wait for VMs which a wave has just taken.

        Of 72 VMs without tasks 38 went down in the first round, for a wave of 24 s.
        """
        assert 1 <= len(self._choose(0.0)) <= 10

    def test_all_of_them_are_done_well_before_the_deadline(self):
        """Guards against a wave that is late for the sake of demand."""
        n_begun = 0
        for second in range(12):
            n_begun += len(self._choose(second, n_begun))
        assert n_begun == 72
