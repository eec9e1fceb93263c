"""Tests of predictions from estimates that are right, off or unrelated."""

import random

from ..durations import DurationModel


def make_trained_model(make_estimate, n_tasks=300, seed=1):
    rng = random.Random(seed)
    model = DurationModel()
    for _ in range(n_tasks):
        seconds = max(0.2, rng.gauss(1.0, 0.4))
        model.learn(make_estimate(rng, seconds), seconds)
    return model


class TestPredict:
    def test_unrelated_estimates_are_ignored(self):
        """Guards against jobs given up as late because their estimate is small."""
        model = make_trained_model(lambda rng, seconds: rng.uniform(0.2, 2.0))
        assert 0.8 < model.predict(0.2) < 1.3
        assert 0.8 < model.predict(2.0) < 1.3

    def test_right_estimates_are_kept(self):
        """Guards against a model that ignores estimates which are right."""
        model = make_trained_model(lambda rng, seconds: seconds * rng.uniform(0.9, 1.1))
        assert 0.45 < model.predict(0.5) < 0.55
        assert 1.4 < model.predict(1.5) < 1.6

    def test_estimates_that_are_too_small_by_a_factor_are_corrected(self):
        """Guards against predictions that repeat a constant error of callers."""
        model = make_trained_model(lambda rng, seconds: seconds / 3)
        assert 0.8 < model.predict(1.0 / 3) < 1.2

    def test_change_is_learned_within_a_hundred_tasks(self):
        """Guards against predictions from durations that no longer hold."""
        model = make_trained_model(lambda rng, seconds: seconds)
        for _ in range(100):
            model.learn(1.0, 4.0)
        assert model.predict(1.0) > 3.0


class TestLongest:
    def test_longest_of_many_takes_longer_than_the_mean(self):
        """Guards against steps that are expected to end with their mean task."""
        model = make_trained_model(lambda rng, seconds: 1.0)
        assert model.predict_longest(1.0, 1) == model.predict(1.0)
        assert 1.4 < model.predict_longest(1.0, 8) < 2.2
