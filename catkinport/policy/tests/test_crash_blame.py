"""Tests of the blame for crashes of workers."""

from ..crash_blame import (
    MAX_CRASHES,
    SUSPECT_SECONDS,
    Crash,
    SuspectRun,
    find_suspects,
    must_give_up,
)
from ..resources import Resources
from ..worker_choice import CandidateWorker, TaskNeed, choose_worker

NEED = Resources(1.0, 1.0, 0)


class TestSuspects:
    """A crash ends innocent runs too; blaming one of them would fail its job."""

    def test_only_young_run_is_to_blame(self) -> None:
        """Guards against blaming a run that has long survived its start."""
        old = SuspectRun("old", 0, SUSPECT_SECONDS)
        assert find_suspects([old, SuspectRun("new", 0, 0.1)]) == {"new": True}

    def test_tie_blames_nobody(self) -> None:
        """Guards against blame without evidence that tells two runs apart."""
        runs = [SuspectRun(name, 1, 0.1) for name in "ab"]
        assert not any(find_suspects(runs).values())

    def test_common_run_of_two_crashes_is_to_blame(self) -> None:
        """Guards against a guilty task that hides among new ones each time."""
        runs = [SuspectRun("a", 0, 0.1), SuspectRun("b", 1, 0.1)]
        assert find_suspects(runs) == {"a": False, "b": True}

    def test_no_suspect_among_long_runs(self) -> None:
        """Guards against suspecting lasting tasks of a rack that has lost power."""
        assert find_suspects([SuspectRun("a", 0, 60.0)]) == {}


class TestGivingUp:
    """A task given up too early is lost; one given up too late crashes more workers."""

    def test_one_crash_is_never_enough(self) -> None:
        """Guards against a job failed by a single crash of its worker."""
        assert not must_give_up([Crash("a", True)])

    def test_flapping_vm_is_not_the_task(self) -> None:
        """Guards against blaming a task for a VM that crashes again and again."""
        assert not must_give_up([Crash("a", True)] * (MAX_CRASHES - 1))

    def test_uncertain_crashes_are_limited(self) -> None:
        """Guards against an endless series in which the blame is never certain."""
        crashes = [Crash(vm, False) for vm in "abcd"]
        assert not must_give_up(crashes[:3])
        assert must_give_up(crashes)

    def test_third_vm_after_one_certain_crash(self) -> None:
        """Guards against a fourth crash of a task that shared its first workers."""
        assert must_give_up([Crash("a", False), Crash("b", False), Crash("c", True)])


class TestPlacementOfSuspects:
    """Suspects that share a worker again can't be told apart by its next crash."""

    def test_suspect_prefers_worker_without_suspect(self) -> None:
        """Guards against best fit that packs all tasks of a crashed worker together."""
        suspect = TaskNeed("s", NEED, n_crashes=1)
        packed = CandidateWorker("packed", (), Resources(2.0, 2.0, 0))
        packed.take(suspect)
        idle = CandidateWorker("idle", (), Resources(8.0, 8.0, 0))
        for need in (suspect, TaskNeed("t", NEED)):
            chosen = choose_worker(need, [packed, idle])
            assert chosen is not None
            assert chosen.worker_id == "idle"

    def test_suspect_starts_although_all_workers_have_one(self) -> None:
        """Guards against tasks that wait for long after a rack was lost."""
        suspect = TaskNeed("s", NEED, n_crashes=1)
        room = CandidateWorker("w", (), Resources(4.0, 4.0, 0))
        room.take(suspect)
        assert choose_worker(suspect, [room]) is room

    def test_nothing_joins_a_task_with_repeated_crashes(self) -> None:
        """Guards against further tasks lost beside the probable cause of crashes."""
        room = CandidateWorker("w", (), Resources(4.0, 4.0, 0))
        room.take(TaskNeed("s", NEED, n_crashes=2))
        assert choose_worker(TaskNeed("t", NEED), [room]) is None
