"""Timeouts of calls to a store that is slow, or loses answers."""

from ..adaptive_timeout import AdaptiveTimeout


def make_timeout(*seconds):
    timeout = AdaptiveTimeout(0.6, 3.0)
    for each in seconds:
        timeout.on_answer(each)
    return timeout


class TestSlowStore:
    def test_transactions_that_queue_up_are_waited_for(self):
        """Guards against calls that are given up just before their answer.

        A store that took 0.3 s for each transaction, one after the other, had no owner
        for three seconds: claims of seven daemons were given up after one second each.
        """
        assert make_timeout(0.01, 0.2, 0.2, 0.2, 0.2).seconds > 1.3

    def test_a_store_that_is_fast_again_is_waited_for_shortly(self):
        assert make_timeout(*[0.3] * 5, *[0.01] * 8).seconds == 0.6


class TestLostAnswers:
    def test_lost_answers_cost_the_least_timeout(self):
        """Guards against callers and owners that wait long for lost answers.

        A lost answer tells nothing of how long others take; reads stay fast.
        """
        assert make_timeout(*[0.01] * 5).seconds == 0.6
