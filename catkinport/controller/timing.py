"""Durations that the parts of the controller share."""

from typing import NamedTuple

CLOCK_DRIFT = 0.02
"""A waiter counts 2% more than the length of a lease, because clocks drift."""

MISSED_RENEWALS = 3
"""Renewals without an answer after which a worker counts as silent."""


class Timing(NamedTuple):
    """Durations in seconds, from the settings of the process.

    Args:
        round_seconds: longest time between steps of a pool.
        lease_seconds: length of a task lease.
        renew_seconds: time between the calls to each worker.
        scan_seconds: time between scans for jobs.

    Example:
        >>> Timing().silent_seconds
        30.0
    """

    round_seconds: float = 0.5
    lease_seconds: float = 300.0
    renew_seconds: float = 10.0
    scan_seconds: float = 30.0

    @property
    def lease_wait_seconds(self) -> float:
        """Time after which a task's lease has certainly ended."""
        return self.lease_seconds * (1 + CLOCK_DRIFT)

    @property
    def silent_seconds(self) -> float:
        """Silence after which a worker counts as lost."""
        return self.renew_seconds * MISSED_RENEWALS
