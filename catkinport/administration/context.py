"""What the administration API works with."""

import time
from collections.abc import Callable
from typing import NamedTuple

from ..membership.interface import Membership
from ..ports import Clock, Table
from ..runtime import Metrics
from ..settings.environment import Operator


class AdministrationContext(NamedTuple):
    """The parts of a daemon that the API uses.

    Args:
        membership: accepts documents and knows the roster.
        table: client of the table service.
        clock: the clock that the freshness lease counts on.
        metrics: metrics of the process.
        check_ready: returns why the process isn't ready, empty when it is.
        bootstrap: operator who may apply the first document; ``None`` for nobody.
        wall_clock: returns seconds since the Unix epoch.
    """

    membership: Membership
    table: Table
    clock: Clock
    metrics: Metrics
    check_ready: Callable[[], str]
    bootstrap: Operator | None = None
    wall_clock: Callable[[], float] = time.time
