"""The components of a daemon that the administration API uses."""

import time
from collections.abc import Callable
from typing import NamedTuple

from ..membership.interface import Membership
from ..ports import Clock, Table
from ..runtime import Metrics
from ..settings.environment import Operator


class AdministrationContext(NamedTuple):
    """Components of a daemon that the API uses.

    Args:
        membership: accepts documents and lists the members.
        table: client of the table service.
        clock: clock by which the freshness lease expires.
        metrics: metrics of the process.
        check_ready: returns why the process isn't ready, an empty text if it is.
        bootstrap: operator who may apply the first document; ``None`` for no one.
        wall_clock: returns seconds since the Unix epoch.
    """

    membership: Membership
    table: Table
    clock: Clock
    metrics: Metrics
    check_ready: Callable[[], str]
    bootstrap: Operator | None = None
    wall_clock: Callable[[], float] = time.time
