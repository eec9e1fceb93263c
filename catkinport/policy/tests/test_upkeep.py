"""Tests of the schedule of a wave over VMs that carry lasting tasks."""

from ..upkeep import (
    MAX_LASTING_DRAINS,
    PLANNED_FRACTION,
    UpkeepCandidate,
    UpkeepCost,
    WaveView,
    choose_upkeep,
)
from .wave_simulation import (
    LIST_LAG_SECONDS,
    UPKEEP_SECONDS,
    Takeover,
    WaveSimulation,
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


class TestShortage:
    """All VMs of a wave have short tasks, and others wait for their room."""

    def test_a_wave_that_few_vms_may_leave_at_once_uses_all_places(self):
        """Guards against a wave that stops while confirmed upkeeps are under way.

        A VM counted as begun and as down, so the wave seemed to be ahead of its
        schedule. Of 97 VMs, 27 were left at the deadline.
        """
        n_undone = WaveSimulation(97, 10, DEADLINE_SECONDS).count_undone()
        n_possible = 10 * DEADLINE_SECONDS / (UPKEEP_SECONDS + LIST_LAG_SECONDS)
        assert n_undone <= 97 - 0.88 * n_possible

    def test_a_wave_that_can_be_done_is_done(self):
        """Guards against VMs that are left though there was time for them."""
        assert WaveSimulation(97, 12, DEADLINE_SECONDS).count_undone() == 0

    def test_crashes_beside_the_wave_are_made_up_for(self):
        """Guards against a wave that is late by the VMs that crashed meanwhile."""
        wave = WaveSimulation(97, 20, DEADLINE_SECONDS, crash_rate=0.02)
        assert wave.count_undone() == 0

    def test_a_successor_goes_on_by_the_age_of_the_wave(self):
        """Guards against a schedule that begins anew with each owner.

        All daemons were killed 8 s after the announcement, and orders went on 4 s
        later. Of 97 VMs, 19 were left at the deadline.
        """
        takeover = Takeover(8.0, 4.0, is_age_known=True)
        wave = WaveSimulation(97, 20, DEADLINE_SECONDS, takeover=takeover)
        assert wave.count_undone() == 0

    def test_a_wave_with_time_left_takes_no_more_vms_than_may_be_down(self):
        """Guards against VMs that are drained ahead for a wave that has time left."""
        wave = WaveSimulation(97, 48, DEADLINE_SECONDS)
        assert wave.count_undone() == 0
        assert wave.max_unavailable <= 48

    def test_a_pressed_wave_drains_few_vms_ahead(self):
        """Guards against VMs that stay empty until there is a place for them."""
        wave = WaveSimulation(97, 10, DEADLINE_SECONDS)
        wave.count_undone()
        assert wave.max_unavailable <= 16


class TestRacks:
    def _choose_drains(self, age_seconds: float) -> list[str]:
        """Drain VMs of three racks of which the first has those with the least work."""
        candidates = [
            UpkeepCandidate(
                f"r{rack}-{i}", "p", UpkeepCost.SHORT_WORK, rack + 1.0, rack=f"r{rack}"
            )
            for rack in range(3)
            for i in range(8)
        ]
        view = WaveView(24, 0, 0, 6, age_seconds, DEADLINE_SECONDS, candidates)
        return choose_upkeep(view).drain

    def test_a_pressed_wave_drains_as_many_of_each_rack(self):
        """Guards against a rack that a pressed wave takes down as a whole."""
        drain = self._choose_drains(age_seconds=12.0)
        assert [vm_id[:2] for vm_id in drain] == ["r0", "r1", "r2"] * 2

    def test_a_wave_with_time_left_goes_by_the_work_on_its_vms(self):
        """Guards against a changed order in waves that finish in time."""
        drain = self._choose_drains(age_seconds=1.0)
        assert {vm_id[:2] for vm_id in drain} == {"r0"}


class TestVmsThatAreOff:
    def test_they_begin_at_once(self):
        """Guards against spare VMs that can't be moved until late in a wave."""
        candidates = [
            UpkeepCandidate(f"off-{i}", "off", UpkeepCost.OFF) for i in range(12)
        ]
        view = WaveView(97, 0, 0, 10, 0.0, DEADLINE_SECONDS, candidates)
        assert len(choose_upkeep(view).maintain) == 10
