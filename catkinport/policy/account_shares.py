"""Divides a pool that is short among the client accounts that wait for it.

Two rules put jobs behind those of other accounts. A job is surplus if its account
sends clearly more jobs than its weight in jobs a second. A job is beyond the share if
what its account runs, and what waits ahead of the job, takes up the account's weighted
max-min share.
"""

import math
from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import NamedTuple

from .resources import Resources
from .shares import Claim, water_fill

RATE_SECONDS = 8.0
"""Seconds of its rate that an account may send at once: two usual periods of the turns,
as an account sends most of its jobs within a part of a turn."""

RATE_TOLERANCE = 1.25
"""Factor on the rate. Jobs that arrive at random exceed their mean rate for a time, and
the loss is larger if these count as surplus than if some surplus does not."""

MIN_BURST_JOBS = 4.0
"""Jobs that any account may send at once, as small rates vary most."""

USE_SECONDS = 4.0
"""Time constant of the moving average of the cores that an account runs."""

MIN_WEIGHT = 0.001
"""Smallest weight that counts, as a share needs a weight above 0."""


class AccountTurn(IntEnum):
    """Place of a job by the account that has sent it; the smallest is served first."""

    WITHIN_SHARE = 0
    BEYOND_SHARE = 1
    SURPLUS = 2


class ArrivalRates:
    """Tells which jobs exceed the rate of their account, by a token bucket for each."""

    def __init__(self) -> None:
        self._bucket_by_account: dict[str, tuple[float, float]] = {}

    def is_surplus(self, account: str, weight: float, accepted_at: float) -> bool:
        """Count a job; return whether it exceeds the rate of its account.

        Args:
            account: name of the account.
            weight: jobs a second that it may send.
            accepted_at: time of the job's acceptance in seconds.
        """
        rate = max(weight, MIN_WEIGHT) * RATE_TOLERANCE
        size = max(MIN_BURST_JOBS, rate * RATE_SECONDS)
        tokens, counted_at = self._bucket_by_account.get(account, (size, accepted_at))
        # Jobs of several daemons may be learned in another order than accepted.
        elapsed = max(0.0, accepted_at - counted_at)
        tokens = min(size, tokens + rate * elapsed)
        is_surplus = tokens < 1.0
        self._bucket_by_account[account] = (
            tokens if is_surplus else tokens - 1.0,
            max(counted_at, accepted_at),
        )
        return is_surplus

    def keep_only(self, accounts: Mapping[str, object]) -> None:
        """Forget all accounts but these."""
        for account in self._bucket_by_account.keys() - accounts.keys():
            del self._bucket_by_account[account]


class RecentUse:
    """Moving averages of the cores that each account runs in one pool."""

    def __init__(self) -> None:
        self.cores_by_account: dict[str, float] = {}
        self._noted_at = -math.inf

    def note(self, running_by_account: Mapping[str, float], now: float) -> None:
        """Count the cores that the accounts run at ``now``."""
        part = 1.0 - math.exp((self._noted_at - now) / USE_SECONDS)
        self._noted_at = now
        former = self.cores_by_account
        self.cores_by_account = {}
        for account in former.keys() | running_by_account.keys():
            running = running_by_account.get(account, 0.0)
            mean = former.get(account, 0.0)
            cores = mean + (running - mean) * part
            if cores > MIN_WEIGHT:
                self.cores_by_account[account] = cores


class AccountDemand(NamedTuple):
    """What an account runs and wants to run in a pool.

    Args:
        account: its name.
        weight: weight of its share.
        running_cores: cores of its runs in the pool.
        waiting_cores: cores of its tasks that could run in the pool.
        max_cores: limit of its cores.
    """

    account: str
    weight: float
    running_cores: float
    waiting_cores: float
    max_cores: float = math.inf


def find_allowances(
    cores: float, demands: Sequence[AccountDemand], recent: Mapping[str, float]
) -> dict[str, float]:
    """Return the cores up to which each account is within its share.

    An account that has recently run less than its weighted max-min share may run that
    much more now, up to twice its share; one that has run more may run less. So two
    accounts whose bursts alternate get the same.

    Args:
        cores: cores of the pool that the accounts share.
        demands: one for each account.
        recent: moving average of the cores that each account runs.
    """
    claims = [
        Claim(
            demand.account,
            max(demand.weight, MIN_WEIGHT),
            Resources(demand.running_cores + demand.waiting_cores, 0.0, 0.0),
            demand.max_cores,
        )
        for demand in demands
    ]
    share_by_account = water_fill(Resources(cores, 0.0, 0.0), claims)
    allowances = {
        claim.name: min(
            max(0.0, 2.0 * share_by_account[claim.name].cores - recent_cores),
            claim.demand.cores,
        )
        for claim in claims
        for recent_cores in [recent.get(claim.name, 0.0)]
    }
    # Accounts that all begin to wait at once can't all have twice their share.
    excess = max(1.0, sum(allowances.values()) / cores) if cores > 0 else 1.0
    return {name: allowance / excess for name, allowance in allowances.items()}
