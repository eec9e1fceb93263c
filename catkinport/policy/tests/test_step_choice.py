"""Tests of the choice of workers for the tasks of a step."""

import random

import pytest

from ..resources import Resources
from ..step_choice import StepChooser
from ..worker_choice import CandidateWorker, TaskNeed, choose_worker

N_TASKS = 30


def make_rooms(rng: random.Random) -> list[CandidateWorker]:
    rooms = []
    for number in range(12):
        free = Resources(rng.choice([1.0, 4.0, 8.0, 8.0]), rng.choice([4.0, 8.0]), 0)
        label = rng.choice(["r1", "r2"])
        room = CandidateWorker(
            f"w{number}", (label,), free, rng.choice([0.0, 0.0, 1.0])
        )
        room.is_maintenance_due = rng.random() < 0.2
        room.is_last_resort = rng.random() < 0.1
        if rng.random() < 0.2:
            room.reserved_for.add(f"s.{rng.randrange(N_TASKS)}")
        rooms.append(room)
    return rooms


def make_needs(rng: random.Random) -> list[TaskNeed]:
    shared = TaskNeed(
        "s",
        Resources(rng.choice([1.0, 2.0]), 1.0, 0),
        preferred_rack=rng.choice(["", "r1"]),
        max_per_worker=rng.choice([0, 1, 2]),
        is_lasting=rng.random() < 0.5,
        preferred_max_per_worker=rng.choice([0, 1, 3]),
        is_filler=rng.random() < 0.2,
        has_target=rng.random() < 0.5,
    )
    needs = []
    for number in range(N_TASKS):
        need = shared._replace(task=f"s.{number}")
        if rng.random() < 0.1:
            need = need._replace(avoided_worker="w3", n_crashes=rng.choice([0, 1]))
        needs.append(need)
    return needs


def place_all(seed: int, is_ranked: bool) -> list[str]:
    """Place the tasks of a random step; return the workers that they get."""
    rng = random.Random(seed)
    rooms, needs = make_rooms(rng), make_needs(rng)
    chooser = StepChooser(rooms)
    chosen = []
    for need in needs:
        room = chooser.choose(need) if is_ranked else choose_worker(need, rooms)
        chosen.append(room.worker_id if room else "")
        if room is not None:
            room.take(need)
            room.reserved_for.discard(need.task)
    return chosen


class TestStepChooser:
    @pytest.mark.parametrize("seed", range(200))
    def test_it_chooses_what_a_look_at_all_workers_does(self, seed):
        """Guards against a ranking that is out of date after a start."""
        assert place_all(seed, is_ranked=True) == place_all(seed, is_ranked=False)

    def test_a_ranking_is_made_once(self, monkeypatch):
        """Guards against rounds of planning of seconds on thousands of workers."""
        n_costs = 0

        def count_cost(task, room):
            nonlocal n_costs
            n_costs += 1
            return (room.cores,)

        monkeypatch.setattr("catkinport.policy.step_choice.placement_cost", count_cost)
        need = Resources(1.0, 1.0, 0)
        rooms = [
            CandidateWorker(f"w{i}", (), Resources(8.0, 8.0, 0)) for i in range(1000)
        ]
        chooser = StepChooser(rooms)
        for number in range(N_TASKS):
            room = chooser.choose(TaskNeed("s", need, task=f"s.{number}"))
            assert room is not None
            room.take(TaskNeed("s", need, task=f"s.{number}"))
        assert n_costs <= len(rooms) + N_TASKS
