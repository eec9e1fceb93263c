"""Reports the shares of accounts that compete for pools in metrics and log lines."""

import logging
from collections.abc import Mapping
from typing import NamedTuple

from ...runtime.logs import log_event
from ...runtime.metrics import Metrics

logger = logging.getLogger(__name__)

REPORT_SECONDS = 1.0
"""Shortest time between two reports."""

REPEAT_SECONDS = 5.0
"""Shortest time between two lines on a pool."""

MAX_LABELS = 100
"""Most pairs of pool and account with a gauge. Those that come later have none."""


class AccountShare(NamedTuple):
    """What an account has and may have of a pool for which several accounts wait.

    Args:
        allowed_cores: cores up to which it is within its share.
        running_cores: cores of its runs.
        n_waiting: its jobs with tasks that wait.
        n_surplus: those of them that exceeded its rate as they arrived.
    """

    allowed_cores: float
    running_cores: float
    n_waiting: int
    n_surplus: int


SharesByPool = Mapping[str, Mapping[str, AccountShare]]


class ShareReporter:
    """Reports the shares of accounts while a daemon is the owner."""

    def __init__(self) -> None:
        self._reported_at = float("-inf")
        self._logged_at_by_pool: dict[str, float] = {}
        self._labels: set[tuple[str, str]] = set()

    def report(
        self, shares_by_pool: SharesByPool, now: float, metrics: Metrics
    ) -> None:
        """Report the shares if that is due.

        Args:
            shares_by_pool: shares of the accounts, by pool and account.
            now: clock time in seconds.
            metrics: metrics of the process.
        """
        if now - self._reported_at < REPORT_SECONDS:
            return
        self._reported_at = now
        self._set_gauges(shares_by_pool, metrics)
        for pool, shares in shares_by_pool.items():
            if now - self._logged_at_by_pool.get(pool, float("-inf")) >= REPEAT_SECONDS:
                self._logged_at_by_pool[pool] = now
                _log_shares(pool, shares)

    def clear(self, metrics: Metrics) -> None:
        """Set the metrics to 0, as this daemon is no longer the owner."""
        self._set_gauges({}, metrics)

    def _set_gauges(self, shares_by_pool: SharesByPool, metrics: Metrics) -> None:
        share_by_labels = {
            (pool, account): share
            for pool, shares in shares_by_pool.items()
            for account, share in shares.items()
        }
        new = sorted(share_by_labels.keys() - self._labels)
        self._labels.update(new[: max(0, MAX_LABELS - len(self._labels))])
        for pool, account in self._labels:
            share = share_by_labels.get((pool, account))
            labels = {"pool": pool, "account": account}
            metrics.set(
                "account_share_cores",
                "Cores up to which a waiting account is within its share of a pool.",
                labels,
                round(share.allowed_cores, 1) if share else 0,
            )
            metrics.set(
                "account_surplus_jobs",
                "Waiting jobs of an account that exceeded its rate as they arrived.",
                labels,
                share.n_surplus if share else 0,
            )


def _log_shares(pool: str, shares: Mapping[str, AccountShare]) -> None:
    account, largest = max(shares.items(), key=lambda item: item[1].n_waiting)
    log_event(
        logger,
        "accounts compete",
        pool=pool,
        n_accounts=len(shares),
        n_waiting=sum(share.n_waiting for share in shares.values()),
        n_surplus=sum(share.n_surplus for share in shares.values()),
        account=account,
        account_waiting=largest.n_waiting,
        account_surplus=largest.n_surplus,
        account_running_cores=round(largest.running_cores, 1),
        account_share_cores=round(largest.allowed_cores, 1),
    )
