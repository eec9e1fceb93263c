"""Tests of quarantine, probation and parking."""

import pytest

from ..worker_health import (
    MAX_QUARANTINED_FRACTION,
    QUARANTINE_SECONDS,
    TRIALS_TO_RECOVER,
    TaskOutcome,
    WorkerHealth,
    WorkerState,
)


def add(
    health: WorkerHealth,
    vm: str,
    jobs: list[str],
    is_failed: bool,
    at: float,
    queue: str = "q",
) -> None:
    for job in jobs:
        health.add(TaskOutcome(job, queue, vm, is_failed, at))


def jobs_of(prefix: str, n_jobs: int) -> list[str]:
    return [f"{prefix}-{n}" for n in range(n_jobs)]


class TestQuarantine:
    """Guards against overlooking bad workers, and blaming good ones for bad jobs."""

    def test_finds_a_worker_that_breaks_after_many_successes(self) -> None:
        health = WorkerHealth(10)
        add(health, "vm-1", jobs_of("good", 200), False, 1.0)
        add(health, "vm-1", jobs_of("other", 4), True, 2.0)
        assert health.update(3.0) == ["vm-1"]
        assert health.state_of("vm-1") is WorkerState.QUARANTINED

    def test_blames_jobs_that_fail_everywhere(self) -> None:
        health = WorkerHealth(10)
        for vm in ("vm-1", "vm-2", "vm-3"):
            add(health, vm, jobs_of("bad", 6), True, 1.0)
        assert health.update(2.0) == []

    def test_blames_a_queue_whose_jobs_all_fail(self) -> None:
        health = WorkerHealth(10)
        for n in range(8):
            add(health, f"vm-{n}", jobs_of(f"release-{n}", 5), True, 1.0)
        assert health.update(2.0) == []

    def test_quarantines_only_a_part_of_the_workers(self) -> None:
        health = WorkerHealth(10)
        for n in range(8):
            jobs = jobs_of(f"job-{n}", 6)
            add(health, f"vm-{n}", jobs, True, 1.0, queue=f"q-{n}")
        assert len(health.update(2.0)) == 10 * MAX_QUARANTINED_FRACTION

    def test_rejects_an_empty_pool(self) -> None:
        with pytest.raises(ValueError, match="n_workers must be >= 1, got 0"):
            WorkerHealth(0)


class TestProbation:
    """Guards against a repaired worker that stays in quarantine."""

    def quarantined(self) -> WorkerHealth:
        health = WorkerHealth(10)
        add(health, "vm-1", jobs_of("job", 4), True, 0.0)
        health.update(0.0)
        health.update(QUARANTINE_SECONDS)
        return health

    def test_recovers_after_successes(self) -> None:
        health = self.quarantined()
        assert health.state_of("vm-1") is WorkerState.PROBATION
        jobs = jobs_of("trial", TRIALS_TO_RECOVER)
        add(health, "vm-1", jobs, False, QUARANTINE_SECONDS + 1)
        assert health.state_of("vm-1") is WorkerState.GOOD

    def test_a_failed_trial_doubles_the_quarantine(self) -> None:
        health = self.quarantined()
        add(health, "vm-1", ["trial"], True, QUARANTINE_SECONDS)
        health.update(QUARANTINE_SECONDS * 2.9)
        assert health.state_of("vm-1") is WorkerState.QUARANTINED
        health.update(QUARANTINE_SECONDS * 3)
        assert health.state_of("vm-1") is WorkerState.PROBATION


class TestParking:
    """Guards against parking good jobs because of bad workers, and endless retries."""

    def test_parks_after_three_good_workers(self) -> None:
        health = WorkerHealth(10)
        vms = ["vm-1", "vm-2", "vm-3"]
        for vm in vms:
            add(health, vm, ["bad"], True, 1.0)
            add(health, vm, [f"good-{vm}"], False, 2.0)
        assert health.reason_to_park("bad", vms[:2]) is None
        reason = health.reason_to_park("bad", vms)
        assert reason == "failed on 3 good workers: vm-1, vm-2, vm-3"

    def test_does_not_count_workers_without_a_later_success(self) -> None:
        health = WorkerHealth(10)
        vms = ["vm-1", "vm-2", "vm-3"]
        for vm in vms:
            add(health, vm, ["job"], True, 1.0)
        assert health.reason_to_park("job", vms) is None

    def test_parks_after_six_workers_without_any_success(self) -> None:
        health = WorkerHealth(10)
        vms = [f"vm-{n}" for n in range(6)]
        for vm in vms:
            add(health, vm, ["job"], True, 1.0)
        assert health.reason_to_park("job", vms)
