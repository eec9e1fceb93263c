"""Tests of timeouts for a store that is slow or loses answers."""

from ..adaptive_timeout import AdaptiveTimeout


def make_timeout(*seconds):
    timeout = AdaptiveTimeout(0.6, 3.0)
    for each in seconds:
        timeout.on_answer(each)
    return timeout


class TestSlowStore:
    def test_slow_store_lengthens_the_timeout(self):
        """Guards against calls that time out just before their answer.

        On a store that takes 0.3 s for each transaction, one after the other, the
        claims of seven daemons timed out after one second each, and for three seconds
        the fleet had no owner.
        """
        assert make_timeout(0.01, 0.2, 0.2, 0.2, 0.2).seconds > 1.3

    def test_store_that_is_fast_again_shortens_the_timeout(self):
        """Guards against long waits for lost answers after a slow phase."""
        assert make_timeout(*[0.3] * 5, *[0.01] * 8).seconds == 0.6


class TestLostAnswers:
    def test_fast_answers_keep_the_shortest_timeout(self):
        """Guards against callers and owners that wait long for lost answers.

        A lost answer has no duration, and reads of the store stay fast.
        """
        assert make_timeout(*[0.01] * 5).seconds == 0.6

    def test_one_timeout_does_not_lengthen_the_next(self):
        """Guards against a wait that doubles with each lost answer."""
        timeout = make_timeout(0.01)
        timeout.on_timeout(0.6)
        assert timeout.seconds == 0.6


class TestTimeoutsInARow:
    def test_they_lengthen_the_timeout_up_to_its_limit(self):
        """Guards against a service whose answers all come after a fixed timeout."""
        timeout = make_timeout()
        seconds = []
        for _ in range(5):
            seconds.append(timeout.seconds)
            timeout.on_timeout(timeout.seconds)
        assert seconds == [0.6, 0.6, 1.2, 2.4, 3.0]

    def test_fast_answers_shorten_it_again(self):
        """Guards against long waits for lost answers after an outage."""
        timeout = make_timeout()
        for _ in range(5):
            timeout.on_timeout(timeout.seconds)
        for _ in range(8):
            timeout.on_answer(0.01)
        assert timeout.seconds == 0.6


class TestAnswersThatAreAlwaysLate:
    def test_timeouts_lengthen_the_timeout_until_an_answer_comes(self):
        """Guards against a service whose answers are all given up just before.

        An interface for VMs that always took 1.6 s had a timeout of 1.5 s: no list was
        read, and no order was ever answered.
        """
        timeout = AdaptiveTimeout(1.5, 6.0, 2.0, n_lost_answers=0)
        timeout.on_timeout(timeout.seconds)
        assert timeout.seconds == 3.0
        timeout.on_answer(1.6)
        assert timeout.seconds == 3.2

    def test_timeout_has_a_limit(self):
        """Guards against a wait without end for a service that is silent."""
        timeout = AdaptiveTimeout(1.5, 6.0, 2.0, n_lost_answers=0)
        for _ in range(2000):
            timeout.on_timeout(timeout.seconds)
        assert timeout.seconds == 6.0
        timeout.on_answer(0.01)
        assert timeout.seconds == 1.5

    def test_calls_that_fail_together_lengthen_it_once(self):
        """Guards against a long wait after one burst of lost answers."""
        timeout = AdaptiveTimeout(1.5, 6.0, 2.0, n_lost_answers=0)
        for _ in range(8):
            timeout.on_timeout(1.5)
        assert timeout.seconds == 3.0
