"""Tests of the trust in forecasts."""

from ..forecast_trust import DISTRUST_SECONDS, MAX_MISSES, ForecastTrust


def _miss(trust: ForecastTrust, n_times: int, now: float = 0.0) -> None:
    for _ in range(n_times):
        trust.note_missed("nightly", now)


class TestEstimatesThatTurnOutWrong:
    def test_several_misses_in_a_row_end_the_trust(self):
        """Guards against room that is held again and again for a wrong forecast."""
        trust = ForecastTrust()
        _miss(trust, MAX_MISSES - 1)
        assert trust.is_trusted("nightly", 0.0)
        _miss(trust, 1)
        assert not trust.is_trusted("nightly", 0.0)
        assert trust.is_trusted("hourly", 0.0)

    def test_a_right_forecast_between_them_keeps_it(self):
        """Guards against trust that rare misses use up over days."""
        trust = ForecastTrust()
        for _ in range(10):
            _miss(trust, MAX_MISSES - 1)
            trust.note_kept("nightly")
        assert trust.is_trusted("nightly", 0.0)

    def test_trust_comes_back_and_one_more_miss_ends_it(self):
        """Guards against a queue that is left out of forecasts for good."""
        trust = ForecastTrust()
        _miss(trust, MAX_MISSES)
        later = DISTRUST_SECONDS + 0.1
        assert trust.is_trusted("nightly", later)
        _miss(trust, 1, later)
        assert not trust.is_trusted("nightly", later + 0.1)
