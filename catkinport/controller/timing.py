"""Durations that several parts of the controller use."""

from typing import NamedTuple

CLOCK_DRIFT = 0.02
"""Part of a lease's length that is added to each wait for its end, because the clocks
of two machines may run at different rates."""

MISSED_RENEWALS = 3
"""Number of renewals without an answer after which a worker counts as lost."""


class Timing(NamedTuple):
    """Durations in seconds, from the settings of the process.

    Args:
        round_seconds: longest time between steps of a pool.
        lease_seconds: length of a task lease.
        renew_seconds: time between the calls to a worker that renew its leases.
        scan_seconds: time between scans of all jobs.

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
        """Time after a renewal at which a task's lease has certainly ended."""
        return self.lease_seconds * (1 + CLOCK_DRIFT)

    @property
    def silent_seconds(self) -> float:
        """Time without an answer after which a worker counts as lost."""
        return self.renew_seconds * MISSED_RENEWALS
