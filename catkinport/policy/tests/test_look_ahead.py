"""Tests of room that is held for large short tasks."""

import math
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from ..forecast_trust import MAX_MISSES, ForecastTrust
from ..look_ahead import (
    LATE_SECONDS,
    MAX_HELD_SHARE,
    MAX_HOLD_SECONDS,
    MAX_KEPT_SECONDS,
    MIN_SLACK_SECONDS,
    REST_SECONDS,
    Forecast,
    GapHolds,
    Placement,
)
from ..resources import Resources
from ..worker_choice import CandidateWorker, TaskNeed, fits

SMALL = Resources(4.0, 4.0, 0)
LARGE = Resources(8.0, 8.0, 0)
ON_TIME, LATE = (1, 0), (2, 0)


def make_placement(
    step: str,
    need: Resources = SMALL,
    rank: tuple[int, int] = ON_TIME,
    seconds: float = 2.0,
    benefit: float = 1.0,
    slack_seconds: float = math.inf,
    **fields,
) -> Placement:
    return Placement(
        TaskNeed(step, need, **fields), rank, benefit, seconds, seconds, slack_seconds
    )


LARGE_TASK = make_placement("large", LARGE)


class HeldPool:
    """Workers with 4 free cores each, on which a task of 4 cores ends later.

    Attributes:
        holds: the holds of the pool, of which the first round has begun.
    """

    def __init__(self, n_workers: int = 1, seconds: float = 0.5, source="q") -> None:
        self.trust = ForecastTrust()
        self.holds = GapHolds(self.trust)
        self.now = 100.0
        self.rooms = {
            f"w{n}": CandidateWorker(f"w{n}", ("a",), Resources(4.0, 32.0, 0))
            for n in range(n_workers)
        }
        self._ends_at = self.now + seconds
        self._source = source
        self.holds.shapes.note(SMALL, 1)
        self.end_pass()
        self.begin_round()

    def forecasts(self, worker_id: str) -> Sequence[Forecast]:
        return [Forecast(max(0.0, self._ends_at - self.now), SMALL, self._source)]

    def put_off(self, seconds: float) -> None:
        """Let another task of another queue end so much later than now."""
        self._ends_at = self.now + seconds
        self._source = f"q{self.now}"

    def begin_round(self, seconds: float = 0.0) -> None:
        self.now += seconds
        self.holds.begin_round(self.rooms, self.now, self.forecasts)

    def hold(self, placement: Placement = LARGE_TASK, n_tasks: int = 1) -> None:
        self.holds.hold(placement, n_tasks, self.rooms)

    def end_pass(self) -> None:
        self.holds.shapes.note(SMALL, 1)
        self.holds.end_pass()

    def can_start(self, placement: Placement) -> bool:
        return self.holds.choose(placement, self.rooms.values()) is not None


class TestManySmallTasksAheadOfAWideStep:
    def test_small_task_stays_out_of_a_gap_that_is_needed_sooner(self):
        """Guards against a wide step whose gaps small tasks take one by one."""
        pool = HeldPool()
        pool.hold()
        assert not pool.can_start(make_placement("small"))

    def test_small_task_that_ends_before_fills_the_gap(self):
        """Guards against room that stands empty though a task would end in time."""
        pool = HeldPool()
        pool.hold()
        assert pool.can_start(make_placement("small", seconds=0.4))

    def test_small_task_fits_beside_the_held_room(self):
        """Guards against a whole worker that is closed for one task."""
        pool = HeldPool()
        pool.rooms["w0"].cores = 7.0
        pool.hold()
        need = Resources(3.0, 3.0, 0)
        assert pool.can_start(make_placement("small", need))
        assert not pool.can_start(make_placement("small", Resources(3.5, 3.0, 0)))

    def test_each_waiting_task_has_its_own_gap(self):
        """Guards against one gap for which all tasks of a step wait."""
        pool = HeldPool(15)
        pool.hold(n_tasks=3)
        assert len({hold.worker_id for hold in pool.holds.holds}) == 3

    def test_the_held_task_starts_in_its_gap(self):
        """Guards against a hold that keeps out the task it is for."""
        pool = HeldPool()
        pool.hold()
        pool.rooms["w0"].cores = 8.0
        room = pool.holds.choose(LARGE_TASK, pool.rooms.values())
        assert room is pool.rooms["w0"]
        pool.holds.note_start(LARGE_TASK.need, room)
        assert pool.holds.holds == []

    def test_tasks_of_one_size_hold_nothing(self):
        """Guards against holds in a pool where any end makes enough room."""
        pool = HeldPool()
        pool.hold(make_placement("other", Resources(5.0, 5.0, 0)))
        assert pool.holds.holds == []

    def test_more_benefit_takes_the_place_of_less(self):
        """Guards against few holds that are given away by order of arrival."""
        pool = HeldPool(5)
        pool.hold(make_placement("poor", LARGE, benefit=0.5))
        pool.hold(make_placement("late", LARGE, rank=LATE, benefit=9.0))
        assert [hold.step for hold in pool.holds.holds] == ["poor"]
        pool.rooms["w0"].cores = 0.0
        pool.hold(make_placement("rich", LARGE, benefit=2.0))
        assert [hold.step for hold in pool.holds.holds] == ["rich"]


class TestTasksThatAHoldDoesNotBind:
    def test_earlier_rank_takes_the_room_and_ends_the_hold(self):
        """Guards against a late job that keeps one from being on time."""
        pool = HeldPool()
        pool.hold(make_placement("large", LARGE, rank=LATE))
        assert pool.can_start(make_placement("small", rank=ON_TIME))
        assert pool.holds.holds == []

    def test_job_without_slack_is_not_kept_waiting(self):
        """Guards against small jobs that become late for a large one."""
        pool = HeldPool()
        pool.hold()
        short = MIN_SLACK_SECONDS / 2
        assert pool.can_start(make_placement("small", slack_seconds=short))

    def test_wait_for_holds_is_bounded(self):
        """Guards against a task that fits and waits while holds follow each other."""
        pool = HeldPool(seconds=0.4)
        small = make_placement("small")
        waited_since = pool.now
        for number in range(100):
            pool.put_off(0.4)
            pool.hold(make_placement(f"large{number}", LARGE))
            if pool.can_start(small):
                break
            pool.end_pass()
            pool.begin_round(0.1)
        assert pool.now > waited_since
        assert pool.now - waited_since <= MAX_KEPT_SECONDS + 0.11


class TestEndsLaterThanEstimated:
    def test_hold_ends_soon_after_its_time_and_its_step_pauses(self):
        """Guards against room held until a task ends that takes far longer."""
        pool = HeldPool(seconds=0.3)
        pool.hold()
        pool.begin_round(0.3 + LATE_SECONDS + 0.01)
        assert pool.holds.holds == []
        pool.hold()
        assert pool.holds.holds == []
        pool.end_pass()
        pool.begin_round(REST_SECONDS + 0.01)
        pool.end_pass()
        pool.hold()
        assert len(pool.holds.holds) == 1

    def test_queue_whose_forecasts_are_wrong_holds_no_more(self):
        """Guards against holds for the ends of a queue with useless estimates."""
        pool = HeldPool(seconds=0.1)
        for number in range(MAX_MISSES):
            pool.hold(make_placement(f"large{number}", LARGE))
            assert len(pool.holds.holds) == 1
            pool.begin_round(0.1 + LATE_SECONDS + 0.01)
        pool.hold(make_placement("another", LARGE))
        assert pool.holds.holds == []

    def test_far_end_is_not_waited_for(self):
        """Guards against room that stands empty for longer than it is worth."""
        pool = HeldPool(seconds=MAX_HOLD_SECONDS + 0.1)
        pool.hold(make_placement("large", LARGE, seconds=60.0))
        assert pool.holds.holds == []

    def test_hold_is_short_compared_with_its_task(self):
        """Guards against 0.5 s of empty room for a task of 0.6 s."""
        pool = HeldPool(seconds=0.5)
        pool.hold(make_placement("large", LARGE, seconds=0.6))
        assert pool.holds.holds == []


class TestReservedWorkerThatDies:
    def test_hold_moves_to_another_worker(self):
        """Guards against a task that waits for a worker that is gone or drained."""
        pool = HeldPool(2)
        pool.hold()
        (hold,) = pool.holds.holds
        del pool.rooms[hold.worker_id]
        pool.begin_round(0.1)
        assert pool.holds.holds == []
        pool.hold()
        (moved,) = pool.holds.holds
        assert moved.worker_id in pool.rooms

    def test_canceled_job_holds_nothing(self):
        """Guards against room held for a step that no longer asks."""
        pool = HeldPool()
        pool.hold()
        pool.end_pass()
        pool.end_pass()
        assert pool.holds.holds == []


class TestPlacesWhereTheTaskMayNotRun:
    def test_label_and_anti_affinity_are_respected(self):
        """Guards against room held where its task can never start."""
        pool = HeldPool(2)
        pool.hold(make_placement("gpu", LARGE, required_label="gpu"))
        assert pool.holds.holds == []
        pool.rooms = {"w0": pool.rooms["w0"]}
        pool.rooms["w0"].cores = 40.0
        pool.rooms["w0"].n_tasks_by_step["spread"] = 1
        pool.hold(make_placement("spread", LARGE, max_per_worker=1))
        assert pool.holds.holds == []

    def test_step_with_few_approved_workers_does_not_narrow_others(self):
        """Guards against holds of all steps on the workers approved for one."""
        pool = HeldPool(10)
        approved = {"w9": pool.rooms["w9"]}
        pool.holds.hold(make_placement("approved", LARGE), 1, approved)
        pool.hold()
        assert len({hold.worker_id for hold in pool.holds.holds}) == 2

    def test_worker_reserved_for_a_lasting_task_is_left_alone(self):
        """Guards against two reservations of the same room."""
        pool = HeldPool()
        pool.rooms["w0"].reserved_for.add("lasting")
        pool.hold()
        assert pool.holds.holds == []

    def test_gang_stays_off_held_workers(self):
        """Guards against a gang that takes the held room with several members."""
        pool = HeldPool(2)
        pool.hold()
        gang = make_placement("gang")
        free = pool.holds.find_free(gang, pool.rooms)
        assert len(free) == 1
        pool.holds.note_kept("gang")
        pool.begin_round(MAX_KEPT_SECONDS)
        assert len(pool.holds.find_free(gang, pool.rooms)) == 2


needs = st.builds(
    Resources,
    st.integers(1, 16).map(float),
    st.integers(1, 32).map(float),
    st.integers(0, 1).map(float),
)
placements = st.builds(
    lambda number, need, label, most, rank, seconds, slack: make_placement(
        f"s{number}",
        need,
        (rank, 0),
        seconds,
        slack_seconds=slack,
        required_label=label,
        max_per_worker=most,
    ),
    st.integers(0, 5),
    needs,
    st.sampled_from(["", "a", "gpu"]),
    st.integers(0, 2),
    st.integers(1, 2),
    st.floats(0.05, 5.0),
    st.sampled_from([0.0, 5.0, math.inf]),
)
forecast_lists = st.lists(
    st.builds(Forecast, st.floats(0.0, 2.0), needs, st.sampled_from(["q1", "q2"])),
    max_size=4,
)
rounds = st.lists(
    st.tuples(
        st.floats(0.0, 0.3),
        st.lists(placements, max_size=6),
        st.lists(forecast_lists, min_size=6, max_size=6),
        st.sets(st.integers(0, 5)),
    ),
    min_size=1,
    max_size=12,
)


def make_random_rooms(gone: set[int], number: int) -> dict[str, CandidateWorker]:
    rooms = {}
    for n in set(range(6)) - gone:
        labels = ("a", "gpu") if n % 3 == 0 else ("a",)
        cores = float((7 * n + 5 * number) % 17)
        room = CandidateWorker(f"w{n}", labels, Resources(cores, 24.0, n % 2))
        room.is_last_resort = n == 5
        room.n_tasks_by_step["s0"] = n % 2
        rooms[f"w{n}"] = room
    return rooms


class TestRandomPools:
    @settings(max_examples=200, deadline=None)
    @given(rounds)
    def test_no_hold_lets_a_task_start_where_it_may_not(self, rounds):
        """Guards against a start beyond room, labels or anti-affinity.

        Workers come and go, and forecasts change at random between rounds.
        """
        holds, now = GapHolds(ForecastTrust()), 0.0
        for number, (seconds, tasks, forecasts, gone) in enumerate(rounds):
            now += seconds
            rooms = make_random_rooms(gone, number)
            holds.begin_round(rooms, now, lambda w, f=forecasts: f[int(w[1:])])
            for task in tasks:
                room = holds.choose(task, rooms.values())
                if room is None:
                    holds.shapes.note(task.need.need, 1)
                    holds.hold(task, 2, rooms)
                    continue
                assert fits(task.need, room)
                room.take(task.need)
                holds.note_start(task.need, room)
            self._check_bounds(holds, rooms, now)
            holds.end_pass()

    def _check_bounds(self, holds, rooms, now) -> None:
        held = {hold.worker_id for hold in holds.holds}
        assert held <= rooms.keys()
        assert len(held) <= max(1, MAX_HELD_SHARE * len(rooms))
        for hold in holds.holds:
            assert now <= hold.ends_at <= now + MAX_HOLD_SECONDS
            assert not hold.placement.need.required_label or (
                hold.placement.need.required_label in rooms[hold.worker_id].labels
            )

    @settings(max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.floats(0.01, 0.3), placements), min_size=30))
    def test_task_that_nothing_blocks_is_never_kept_beyond_the_bound(self, others):
        """Guards against a task with room that holds of others keep waiting."""
        pool = HeldPool(2, seconds=0.2)
        small = make_placement("small")
        waited_since = pool.now
        longest_round = 0.0
        for number, (seconds, other) in enumerate(others):
            need = other.need._replace(step=f"other{number}", need=LARGE)
            pool.put_off(0.2)
            pool.hold(other._replace(need=need, rank=ON_TIME), 2)
            if pool.can_start(small):
                waited_since = pool.now
            bound = MAX_KEPT_SECONDS + longest_round
            assert pool.now - waited_since <= bound + 1e-6
            pool.end_pass()
            pool.begin_round(seconds)
            longest_round = max(longest_round, seconds)
