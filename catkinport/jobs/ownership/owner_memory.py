"""Statistics that an owner has learned, stored in a row for its successor.

They are the durations of tasks and the turns of pools (periods in which the demand for
a pool is high, see `TurnTracker`). Correctness does not depend on them: without the
row, or with an old one, a new owner learns them again.
"""

import logging
import time
from collections.abc import Mapping
from typing import Any

from ...policy.durations import DurationModel
from ...policy.turns import PoolMemory, TurnTracker
from ...runtime.logs import log_event
from ..dispatch.dispatcher import Dispatcher

logger = logging.getLogger(__name__)

MEMORY_STORE_SECONDS = 1.0
"""Time between two writes of the row. Each write is charged."""

MAX_TURNS_AGE_SECONDS = 30.0
"""Age beyond which a row says nothing about the present turns of the pools."""


def build_memory(
    dispatcher: Dispatcher, turns: TurnTracker, now: float
) -> dict[str, Any]:
    """Return the value of the row that an owner of the fleet stores for its successor.

    The times of turns are given in seconds before ``now``.
    """
    return {
        "saved_at": time.time(),
        "period_seconds": turns.period_seconds,
        "turns": {pool: list(m) for pool, m in turns.to_memory(now).items()},
        "durations": {
            queue: model.to_sums()
            for queue, model in dispatcher.estimates.durations_by_queue.items()
        },
    }


def restore_memory(
    value: Mapping[str, Any], dispatcher: Dispatcher, turns: TurnTracker, now: float
) -> None:
    """Restore the statistics that a former owner has stored.

    Steady clocks of different daemons cannot be compared, so the age of the row is
    taken from the wall clock. A row that cannot be decoded is ignored.
    """
    try:
        age = max(0.0, time.time() - float(value["saved_at"]))
        memory = {pool: PoolMemory(*entry) for pool, entry in value["turns"].items()}
        period = value["period_seconds"]
        durations = {
            queue: DurationModel.from_sums(sums)
            for queue, sums in value["durations"].items()
        }
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        log_event(logger, "owner memory decode failed", reason=repr(error)[:200])
        return
    dispatcher.estimates.durations_by_queue.update(durations)
    if age <= MAX_TURNS_AGE_SECONDS:
        turns.restore({p: _add_age(m, age) for p, m in memory.items()}, period, now)
    log_event(
        logger,
        "owner memory restored",
        age_seconds=round(age, 2),
        n_queues=len(durations),
        n_pools=len(memory),
    )


def _add_age(memory: PoolMemory, age: float) -> PoolMemory:
    return PoolMemory(*(None if part is None else part + age for part in memory))
