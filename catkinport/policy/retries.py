"""Decides whether and when an idempotent request is sent again."""

import random
from typing import NamedTuple

RETRY_FRACTION = 0.2
# Initial tokens, so that a service with few requests can retry at all.
INITIAL_TOKENS = 3.0
MAX_TOKENS = 100.0


class RetryDelay(NamedTuple):
    """Exponential backoff with full jitter."""

    base_seconds: float = 0.02
    max_seconds: float = 1.0

    def draw(self, attempt: int, rng: random.Random) -> float:
        """Return the delay in seconds after the attempt ``attempt``, counted from 1."""
        ceiling = min(self.max_seconds, self.base_seconds * 2 ** (attempt - 1))
        return rng.uniform(0, ceiling)


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests.

    Without such a limit, retries multiply the load on a service that already fails.

    Args:
        fraction: tokens that each request adds, from 0 to 1; a retry takes one token.

    Example:
        >>> budget = RetryBudget(fraction=0.2)
        >>> [budget.take() for _ in range(4)]
        [True, True, True, False]
        >>> for _ in range(5):
        ...     budget.record_request()
        >>> budget.take(), budget.take()
        (True, False)
    """

    def __init__(self, fraction: float = RETRY_FRACTION) -> None:
        if not 0 <= fraction <= 1:
            raise ValueError(f"fraction must be in [0, 1], got {fraction!r}")
        self._fraction = fraction
        self._tokens = INITIAL_TOKENS

    def record_request(self) -> None:
        """Add the tokens of one request."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._fraction)

    def take(self) -> bool:
        """Take the token of one retry; return whether there was one."""
        # Rounding errors can make five requests at 0.2 sum to just below 1.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens -= 1
        return True


def plan_retry(
    attempt: int,
    now: float,
    deadline: float,
    budget: RetryBudget,
    rng: random.Random,
    delay: RetryDelay | None = None,
) -> float | None:
    """Return the delay before the next attempt, or ``None`` for no retry.

    Args:
        attempt: number of the attempt that failed, from 1.
        now: current time in seconds.
        deadline: time by which the answer is needed, on the clock of ``now``.
        budget: retry budget of the service; a planned retry takes a token.
        rng: source of the jitter.
        delay: backoff to use; ``None`` for the default.
    """
    seconds = (delay or RetryDelay()).draw(attempt, rng)
    if now + seconds >= deadline:
        return None
    return seconds if budget.take() else None
