"""Computes how long a call of a caller may take.

A caller that waits no longer than its deadline takes a later answer for a lost one, and
an answer that the outcome is unknown tells it less than one that a later attempt could
have given.
"""

DEFAULT_DEADLINE_SECONDS = 3.0
"""Deadline of a call that names none."""

MAX_DEADLINE_SECONDS = 30.0
"""Longest deadline. A submission must not be repeated for as long as a cancellation is
kept that prevents it."""

ANSWER_MARGIN_SECONDS = 0.15
"""How long before its deadline a call is answered."""


def answer_seconds(deadline_ms: float | None) -> float:
    """Return within how many seconds after its arrival a call is answered.

    Args:
        deadline_ms: deadline that the call names, in milliseconds; ``None`` if it names
            none, or not a positive number. A call with a very short one gets half of
            its time.

    Example:
        >>> answer_seconds(2000.0)
        1.85
        >>> answer_seconds(None)
        2.85
        >>> answer_seconds(100.0)
        0.05
    """
    seconds = DEFAULT_DEADLINE_SECONDS if deadline_ms is None else deadline_ms / 1000
    seconds = min(seconds, MAX_DEADLINE_SECONDS)
    return max(seconds - ANSWER_MARGIN_SECONDS, seconds / 2)
